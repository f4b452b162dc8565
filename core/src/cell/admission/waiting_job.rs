//! What a job adds to the backlog.

use crate::{Millis, TeamName};
use compact_str::CompactString;

/// The part of an open job that is accepted and not started.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaitingJob {
    /// The service whose workers run it.
    pub service: CompactString,
    /// The team that it runs for.
    pub team: Option<TeamName>,
    /// The latest start with which it can end in time; `None` for the surplus of a team, which stands
    /// with the late work.
    pub latest_start_at: Option<Millis>,
    /// The latest start with which its result is still useful.
    pub useful_start_at: Millis,
    /// The estimated work of its tasks without a run, in thousandths of a core times milliseconds.
    pub work: u64,
}
