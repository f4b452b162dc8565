//! Time limits and sizes of the adapters.

use std::time::Duration;

/// The span between two ticks of the control thread.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// How long one call to the platform may take.
pub(crate) const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// The threads that call the platform.
pub(crate) const PLATFORM_THREADS: usize = 4;
/// How long a caller's connection may be silent.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// The callers' connections that are served at a time.
pub(crate) const MAX_CALLER_CONNECTIONS: usize = 1_024;
/// The wait before a peer's address is dialled again.
pub(crate) const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// How long the opening of a connection may take.
pub(crate) const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The span between two pings to a peer.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);
/// The silence of a peer's connection after which it is opened anew.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The messages that wait for one peer at most; more are dropped.
pub(crate) const MAX_QUEUED_PEER_MESSAGES: usize = 4_096;
/// The largest body of a caller, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 1_048_576;
/// What is read away of a rejected call's body at most, in bytes.
pub(crate) const MAX_DISCARDED_BYTES: u64 = 16 * 1_024 * 1_024;
/// How long the last writes may take when the process ends.
pub(crate) const FINAL_WRITES_DELAY: Duration = Duration::from_millis(300);
/// The decisions about work that a daemon keeps to explain them.
pub(crate) const MAX_JOURNAL_ENTRIES: usize = 8_192;
/// The accepted notes that a daemon shows at most.
pub(crate) const MAX_HISTORY_NOTES: usize = 256;
/// The room for what a worker sends at a time; one of thousands of connections.
pub(crate) const WORKER_READ_BUFFER_BYTES: usize = 2_048;
