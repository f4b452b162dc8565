//! Limits, intervals and timeouts of the reducer.

use crate::Millis;

/// How long a confirmed configuration is valid for keyed work at the daemon that confirmed it.
pub const CONFIG_VALIDITY_MS: Millis = Millis(4_900);
/// How long a change waits before it is in force everywhere: [`CONFIG_VALIDITY_MS`] plus 4% clock
/// drift, after which no daemon still acts on an older configuration.
pub const CONFIG_ACTIVATION_DELAY_MS: Millis = Millis(5_100);
/// The interval between two reads of the configuration's latest revision.
pub const CONFIG_POLL_INTERVAL_MS: Millis = Millis(1_000);
/// The interval between two reads of the host list by the leader.
pub const HOST_POLL_INTERVAL_MS: Millis = Millis(1_000);
/// The interval between two reads of the host list by a daemon that may have to take over.
pub const FOLLOWER_HOST_POLL_INTERVAL_MS: Millis = Millis(10_000);
/// How long a read of the host list may stay unanswered before the list is reported as stale.
pub const HOST_LIST_TIMEOUT_MS: Millis = Millis(5_000);
/// The interval between two writes of a daemon's own membership row.
pub const MEMBER_WRITE_INTERVAL_MS: Millis = Millis(10_000);
/// The interval between two reads of the membership rows.
pub const MEMBER_POLL_INTERVAL_MS: Millis = Millis(5_000);
/// How long a membership row may stay unchanged before the leader removes it.
pub const MEMBER_ROW_TIMEOUT_MS: Millis = Millis(600_000);
/// The maximum number of membership rows that one transaction removes.
pub const MAX_MEMBER_REMOVALS_PER_TXN: usize = 32;
/// The interval between two heartbeats to a peer of the same failure domain.
pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(400);
/// The interval between two heartbeats that a leader sends to other failure domains.
pub const REMOTE_HEARTBEAT_INTERVAL_MS: Millis = Millis(1_000);
/// How long after its last message a peer counts as unresponsive.
pub const PEER_TIMEOUT_MS: Millis = Millis(1_500);
/// The interval between two lease renewals at a worker.
pub const RENEWAL_INTERVAL_MS: Millis = Millis(20_000);
/// The time without any message after which a worker that runs requests gets an extra renewal,
/// which shows whether it still responds.
pub const BUSY_RENEWAL_INTERVAL_MS: Millis = Millis(500);
/// How long a worker may leave a connection attempt, a claim or a renewal unanswered before its
/// connection is closed.
pub const LINK_TIMEOUT_MS: Millis = Millis(1_500);
/// The delay before the next attempt to connect to a worker.
pub const RECONNECT_INTERVAL_MS: Millis = Millis(500);
/// How long a worker continues a task after the last renewal.
pub const TASK_LEASE_MS: Millis = Millis(60_000);
/// How long after the last renewal the tasks of an unreachable worker count as ended:
/// [`TASK_LEASE_MS`] plus 4% clock drift.
pub const TASK_EXPIRY_MS: Millis = Millis(62_400);
/// The retry delay that a refused caller is given where no better estimate exists.
pub const DEFAULT_RETRY_AFTER_MS: Millis = Millis(1_000);
/// The longest retry delay that a refused caller is given.
pub const MAX_RETRY_AFTER_MS: Millis = Millis(60_000);
/// How long the answer to an idempotent request is retained for a retry with the same id. It is
/// shorter than [`ANSWER_RETENTION_MS`] because running the request again does no harm.
pub const IDEMPOTENT_ANSWER_RETENTION_MS: Millis = Millis(10_000);
/// How long the answer to a non-idempotent request is retained for a retry with the same id.
pub const ANSWER_RETENTION_MS: Millis = Millis(60_000);
/// How long a forwarded call may stay unanswered before it is forwarded again.
pub const RESEND_INTERVAL_MS: Millis = Millis(2_000);
/// How much longer than the leader the daemon that accepted a call waits for the answer.
pub const ANSWER_GRACE_MS: Millis = Millis(300);
/// The timeout of a job submission, a cancellation or a release note.
pub const CONTROL_CALL_TIMEOUT_MS: Millis = Millis(12_000);
/// The longest accepted deadline of a request.
pub const MAX_DEADLINE_MS: Millis = Millis(300_000);
/// The interval between two scans of workers, calls and pending requests.
pub const SCAN_INTERVAL_MS: Millis = Millis(100);
/// The interval between two checks for tasks above a lowered limit.
pub const SURPLUS_CHECK_INTERVAL_MS: Millis = Millis(1_000);
/// How long a fenced leader waits before it may become leader again.
pub const FENCED_BACKOFF_MS: Millis = Millis(5_000);
/// The time since its last table answer after which a daemon reports the table as unreachable.
pub const TABLE_TIMEOUT_MS: Millis = Millis(2_000);
/// How long a peer is remembered after its last message or the last read of its membership row. A
/// failure domain counts as cut off from the table only if all its daemons heard within this
/// time have reported so.
pub const PEER_RETENTION_MS: Millis = Millis(60_000);
/// The minimum interval between two transactions of one leader.
pub const COMMIT_INTERVAL_MS: Millis = Millis(40);
/// The delay before a failed table operation is retried.
pub const TABLE_RETRY_DELAY_MS: Millis = Millis(300);
/// The maximum number of recent notes that a daemon holds for peers that cannot read the table.
pub const MAX_RECENT_NOTES: usize = 256;
/// The interval between two messages that request parts of limits from other failure domains.
pub const LIMIT_REQUEST_INTERVAL_MS: Millis = Millis(1_000);
/// How long a received limit request is considered.
pub const LIMIT_REQUEST_TTL_MS: Millis = Millis(2_500);
/// The interval between two notes that transfer parts of limits, over all failure domains.
pub const LIMIT_TRANSFER_INTERVAL_MS: Millis = Millis(3_000);
/// The maximum number of limit transfers in one note, and of requests in one message.
pub const MAX_TRANSFERS_PER_NOTE: usize = 64;
/// The number of latest notes whose ids and touched entries the configuration records.
pub const MAX_NOTE_HISTORY: usize = 2_048;
/// The number of notes above [`MAX_NOTE_HISTORY`] at which the older ones are dropped together.
pub const HISTORY_TRIM_BATCH: u64 = 64;
/// The number of revisions between two snapshots of the configuration.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 512;
/// The number of objects that hold snapshots; each snapshot overwrites the oldest of them.
pub const SNAPSHOT_SLOT_COUNT: u64 = 8;
/// The number of missing revisions from which a daemon reads a snapshot instead of the notes.
pub const SNAPSHOT_MIN_LAG_REVISIONS: u64 = 64;
/// The maximum number of rows that one transaction trims.
pub const MAX_TRIM_ROWS_PER_TXN: u64 = 128;
/// The maximum number of notes in one message.
pub const MAX_NOTES_PER_MESSAGE: usize = 64;
/// The maximum percentage of workers in quarantine at the same time.
pub const MAX_QUARANTINED_PERCENT: usize = 10;
/// How long the row of a non-idempotent request or of a job submission stays in the table.
pub const INTENT_TTL_MS: Millis = Millis(86_400_000);
/// The timeout of a table operation.
pub const TABLE_OPERATION_TIMEOUT_MS: Millis = Millis(3_000);
/// The maximum number of rows in one transaction.
pub const MAX_COMMIT_ROWS: usize = 256;
/// The maximum number of rows that wait for a commit; above it new work is refused.
pub const MAX_COMMIT_BACKLOG_ROWS: usize = 4_096;
/// The maximum number of rows that one read of the table returns.
pub const MAX_READ_ROWS: u32 = 512;
/// The maximum number of pending units of work of one class and team; a job whose tasks would
/// exceed it is refused.
pub const MAX_PENDING_UNITS: usize = 50_000;
/// The maximum number of pending requests for each request slot of the failure domain, over all
/// teams.
pub const MAX_PENDING_REQUESTS_PER_SLOT: usize = 16;
/// The number of failed attempts at which a job fails, and of attempts after which a request is
/// no longer retried.
pub const MAX_ATTEMPTS: u32 = 4;
/// The number of retries granted for each hundred requests.
pub const RETRY_BUDGET_PERCENT: u64 = 10;
/// The number of retries in a full budget; a new budget is full.
pub const RETRY_BUDGET_BURST: u64 = 20;
/// The number of failures since a worker's last success, of work that succeeded elsewhere, at which
/// the worker is quarantined.
pub const QUARANTINE_FAILURES: u32 = 3;
/// The number of unattributed failures since a worker's last success at which the worker is
/// quarantined.
pub const QUARANTINE_UNATTRIBUTED_FAILURES: u32 = 20;
/// How long after a team's last successful request its requests count as succeeding.
pub const RECENT_SUCCESS_MS: Millis = Millis(1_000);
/// The number of failed tasks of a job below which a task's first failure is not counted against
/// the job if another of its tasks failed at the same worker.
pub const MAX_UNCOUNTED_FAILURES: usize = 16;
/// How long a worker stays in quarantine before it gets one task as a probe.
pub const QUARANTINE_MS: Millis = Millis(30_000);
/// The distance between two workers with headroom, by index in the fleet. Only small requests may
/// use the headroom.
pub const HEADROOM_WORKER_STRIDE: usize = 4;
/// The number of the largest small requests for which a worker's headroom suffices.
pub const HEADROOM_REQUESTS_PER_WORKER: u64 = 4;
/// The time without a scheduling pass after which a pass over all workers starts.
pub const IDLE_SCHEDULING_INTERVAL_MS: Millis = Millis(1_000);
/// How long the head of a queue finds no room before room is reserved for it.
pub const RESERVATION_DELAY_MS: Millis = Millis(3_000);
/// How long a reservation stays on the same workers before it is planned again.
pub const RESERVATION_REPLAN_INTERVAL_MS: Millis = Millis(10_000);
/// The number of workers per reservation of a single task; at least one reservation is
/// allowed.
pub const WORKERS_PER_RESERVATION: usize = 24;
/// The number of samples, one per [`SCAN_INTERVAL_MS`], over which a team's share is averaged.
pub const SHARE_AVERAGE_SAMPLES: u64 = 600;
/// The weight of a team's average share, relative to its present one, when teams are ordered.
pub const PAST_SHARE_WEIGHT: u64 = 4;
/// The number of different needs in a queue that are tried, oldest first, while the first has no
/// room.
pub const BACKFILL_DEPTH: usize = 8;
/// The maximum payload of a request or task in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 262_144;
/// The maximum number of tasks of one job.
pub const MAX_JOB_TASKS: u32 = 10_000;
