//! What is told of requests and retries, for logs, metrics and explanations.

use super::Core;
use crate::{Answer, RequestId, RequestOutcome, TeamName, Told, Unit};

impl Core {
    /// Tells that work is to run again, where a worker had it before.
    pub(super) fn log_retry(&mut self, unit: &Unit) {
        if unit.avoid.is_some() {
            self.log(Told::Retried {
                work: unit.kind.clone(),
                avoid: unit.avoid.clone(),
            });
        }
    }

    /// Tells how an admitted request was answered.
    pub(super) fn log_answered(&mut self, id: &RequestId, team: TeamName, answer: &Answer) {
        let request = id.clone();
        let outcome = match answer {
            Answer::NotRun { reason, .. } => {
                let reason = *reason;
                return self.log(Told::RequestRefused { request, reason });
            }
            Answer::Done(_) => RequestOutcome::Done,
            Answer::Failed(_) => RequestOutcome::Failed,
            _ => RequestOutcome::Unknown,
        };
        self.log(Told::RequestAnswered {
            request,
            team,
            outcome,
        });
    }
}
