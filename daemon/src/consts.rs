//! Timeouts, intervals and sizes of the adapters.

use std::time::Duration;

/// The interval between two ticks of the control thread.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout of one call to the platform.
pub(crate) const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of threads that call the platform.
pub(crate) const PLATFORM_THREADS: usize = 4;
/// The maximum size of the head of a caller's request, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// The room that a connection's read buffer has beyond the largest head, in bytes.
pub(crate) const READ_BUFFER_BYTES: usize = 8 * 1_024;
/// The delay before a peer is dialed again.
pub(crate) const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// The timeout for opening a connection to a peer or worker.
pub(crate) const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between two pings to a peer.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);
/// The time without any message from a peer after which its connection is reopened.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum number of messages queued for one peer; further messages are dropped.
pub(crate) const MAX_QUEUED_PEER_MESSAGES: usize = 4_096;
/// The maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 1_048_576;
/// The maximum number of bytes of a rejected call's body that are read and discarded.
pub(crate) const MAX_DISCARDED_BYTES: u64 = 2 * 1_024 * 1_024;
/// The delay before the process exits, in which the last answers and messages are written.
pub(crate) const FINAL_WRITES_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of decisions in the journal.
pub(crate) const MAX_JOURNAL_ENTRIES: usize = 8_192;
/// The maximum number of accepted release notes that are listed.
pub(crate) const MAX_HISTORY_NOTES: usize = 256;
/// The read buffer size of a connection to a worker; small, as there are thousands of them.
pub(crate) const WORKER_READ_BUFFER_BYTES: usize = 2_048;
