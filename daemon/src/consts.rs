//! Time limits and sizes of the adapters.

use std::time::Duration;

/// The span between two ticks of the control thread.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// How long one call to the platform may take.
pub(crate) const PLATFORM_LIMIT: Duration = Duration::from_secs(2);
/// The threads that call the platform.
pub(crate) const PLATFORM_THREADS: usize = 4;
/// How long a caller's connection may be silent.
pub(crate) const CALLER_LIMIT: Duration = Duration::from_secs(60);
/// The callers' connections that are served at a time.
pub(crate) const MAX_CALLERS: usize = 1_024;
/// The wait before a peer's address is dialled again.
pub(crate) const REDIAL: Duration = Duration::from_millis(200);
/// How long the opening of a connection may take.
pub(crate) const DIAL_LIMIT: Duration = Duration::from_secs(1);
/// The span between two pings to a peer.
pub(crate) const PING: Duration = Duration::from_secs(1);
/// The silence of a peer's connection after which it is opened anew.
pub(crate) const LINK_SILENCE: Duration = Duration::from_millis(2_500);
/// The messages that wait for one peer at most; more are dropped.
pub(crate) const PEER_BACKLOG: usize = 4_096;
/// The largest body of a caller, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 1_048_576;
/// What is read away of a rejected call's body at most, in bytes.
pub(crate) const MAX_DROPPED_BYTES: u64 = 16 * 1_024 * 1_024;
/// How long the last writes may take when the process ends.
pub(crate) const LAST_WRITES: Duration = Duration::from_millis(300);
/// The decisions about work that a daemon keeps to explain them.
pub(crate) const JOURNAL_ENTRIES: usize = 8_192;
/// The accepted notes that a daemon shows at most.
pub(crate) const HISTORY_NOTES: usize = 256;
/// The room for what a worker sends at a time; one of thousands of connections.
pub(crate) const WORKER_READ_BYTES: usize = 2_048;
