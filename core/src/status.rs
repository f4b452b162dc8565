//! A daemon's summary of itself for operators.

use crate::{DaemonId, DomainName, Revision};
use serde::{Deserialize, Serialize};

/// What a daemon says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The daemon that keeps the failure domain's workers, as far as is known.
    #[serde(rename = "keeper")]
    pub leader: Option<DaemonId>,
    /// The configuration revision in use.
    pub revision: Revision,
    /// Whether keys are honoured.
    pub fresh: bool,
    /// The workers on the host list; zero where the daemon is not the keeper.
    pub workers: usize,
    /// The workers that take work.
    pub workers_ready: usize,
    /// The tasks that run.
    pub tasks_running: usize,
    /// The units of work that wait.
    pub waiting: usize,
    /// The callers that wait for an answer of this daemon.
    pub open_calls: usize,
    /// Whether the daemon is about to stop.
    pub draining: bool,
}
