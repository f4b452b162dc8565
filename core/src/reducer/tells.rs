//! What is told of requests and retries, for logs, metrics and explanations.

use super::Core;
use crate::{Answer, DecisionEvent, RequestId, RequestOutcome, TeamName, WorkUnit};

impl Core {
    /// Tells that work is to run again, where a worker had it before.
    pub(super) fn tell_retry(&mut self, unit: &WorkUnit) {
        if unit.avoid.is_some() {
            self.tell(DecisionEvent::Retried {
                work: unit.kind.clone(),
                avoid: unit.avoid.clone(),
            });
        }
    }

    /// Tells how an admitted request was answered.
    pub(super) fn tell_answered(&mut self, id: &RequestId, team: TeamName, answer: &Answer) {
        let request = id.clone();
        let outcome = match answer {
            Answer::NotRun { reason, .. } => {
                let reason = *reason;
                return self.tell(DecisionEvent::RequestRefused { request, reason });
            }
            Answer::Done(_) => RequestOutcome::Done,
            Answer::Failed(_) => RequestOutcome::Failed,
            _ => RequestOutcome::Unknown,
        };
        self.tell(DecisionEvent::RequestAnswered {
            request,
            team,
            outcome,
        });
    }
}
