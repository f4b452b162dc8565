//! Decision events about requests and retries, for logs, metrics and explanations.

use super::Core;
use crate::{Answer, DecisionEvent, RequestId, RequestOutcome, TeamName, WorkUnit};

impl Core {
    /// Logs a retry, if the unit is to avoid the worker of an earlier attempt.
    pub(super) fn log_retry(&mut self, unit: &WorkUnit) {
        if unit.avoid.is_some() {
            self.log(DecisionEvent::Retried {
                work: unit.kind.clone(),
                avoid: unit.avoid.clone(),
            });
        }
    }

    /// Logs the answer to an admitted request.
    pub(super) fn log_answered(&mut self, id: &RequestId, team: TeamName, answer: &Answer) {
        let request = id.clone();
        let outcome = match answer {
            Answer::NotRun { reason, .. } => {
                let reason = *reason;
                return self.log(DecisionEvent::RequestRefused { request, reason });
            }
            Answer::Done(_) => RequestOutcome::Done,
            Answer::Failed(_) => RequestOutcome::Failed,
            _ => RequestOutcome::Unknown,
        };
        self.log(DecisionEvent::RequestAnswered {
            request,
            team,
            outcome,
        });
    }
}
