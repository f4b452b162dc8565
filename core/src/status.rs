//! The status of a daemon.

use crate::{DaemonId, DomainName, Revision};
use serde::{Deserialize, Serialize};

/// A daemon's summary for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The leader of the failure domain, if known.
    #[serde(rename = "keeper")]
    pub leader: Option<DaemonId>,
    /// The configuration revision in use.
    pub revision: Revision,
    /// Whether the configuration is recent enough for keyed work.
    pub fresh: bool,
    /// The number of workers on the host list, as the daemon last read it.
    pub workers: usize,
    /// The number of workers that accept work; zero if the daemon is not the leader.
    pub workers_ready: usize,
    /// The number of running tasks; zero if the daemon is not the leader.
    pub tasks_running: usize,
    /// The number of pending units of work; zero if the daemon is not the leader.
    #[serde(rename = "waiting")]
    pub pending: usize,
    /// The number of calls that this daemon has not answered yet.
    pub open_calls: usize,
    /// Whether the daemon is draining.
    pub draining: bool,
}
