//! What the decision on a job depends on, apart from the table.

use crate::{
    cell::{admission::USEFUL_FACTOR, Queue, Submission},
    Millis, TeamName,
};
use compact_str::CompactString;

/// What the decision on a job depends on, apart from the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobDemand {
    /// The service whose workers would run it.
    pub service: CompactString,
    /// The team that it would run for.
    pub team: Option<TeamName>,
    /// The team's weight; 0 if it has none.
    pub weight: u64,
    /// The estimated work, in thousandths of a core times milliseconds.
    pub work: u64,
    /// How long after its submission its result is useful.
    pub useful_ms: Millis,
    /// Its longest chain of estimated run times.
    pub chain_ms: Millis,
    /// The team's work that this daemon has accepted since the table was built.
    pub accepted_work: u64,
}

impl JobDemand {
    /// Returns the demand of a submission to a queue.
    pub fn new(
        queue: &Queue,
        team: Option<TeamName>,
        weight: u64,
        submission: &Submission,
    ) -> Self {
        let chain_ms = submission.critical_path_ms();
        Self {
            service: queue.service.clone(),
            team,
            weight,
            work: submission.total_work(),
            useful_ms: useful_ms(queue, chain_ms),
            chain_ms: Millis(chain_ms),
            accepted_work: 0,
        }
    }
}

/// Returns how long after its submission the result of a job with this longest chain is useful.
pub(crate) fn useful_ms(queue: &Queue, chain_ms: u64) -> Millis {
    let slack_ms = chain_ms.saturating_mul(queue.slack_permille) / 1_000;
    let objective_ms = slack_ms.saturating_add(queue.target_latency_ms.0);
    Millis(objective_ms.saturating_mul(USEFUL_FACTOR))
}
