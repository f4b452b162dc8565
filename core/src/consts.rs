//! Named constants with their units.

use crate::Millis;

/// How long a confirmed configuration honours keys at the daemon that confirmed it.
pub const CONFIG_VALIDITY_MS: Millis = Millis(4_900);
/// How long a change waits until every older confirmation has ended (hold plus 4% clock drift).
pub const CONFIG_ACTIVATION_DELAY_MS: Millis = Millis(5_100);
/// The span between two reads of the configuration's head.
pub const CONFIG_POLL_INTERVAL_MS: Millis = Millis(1_000);
/// The span between two reads of the host list by the keeper.
pub const HOST_POLL_INTERVAL_MS: Millis = Millis(1_000);
/// The span between two reads of the host list by a daemon that may have to take over.
pub const FOLLOWER_HOST_POLL_INTERVAL_MS: Millis = Millis(10_000);
/// The span without a reading of the host list, though one is asked for, after which it is stale.
pub const HOST_LIST_TIMEOUT_MS: Millis = Millis(5_000);
/// The span between two writes of a daemon's own membership row.
pub const MEMBER_WRITE_INTERVAL_MS: Millis = Millis(10_000);
/// The span between two reads of the membership rows.
pub const MEMBER_POLL_INTERVAL_MS: Millis = Millis(5_000);
/// How long a daemon's membership row stays as it is before the row is removed.
pub const MEMBER_ROW_TIMEOUT_MS: Millis = Millis(600_000);
/// The membership rows that one transaction removes at most.
pub const MAX_MEMBER_REMOVALS_PER_TXN: usize = 32;
/// The span between two heartbeats to a peer of the same failure domain.
pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(400);
/// The span between two heartbeats of keepers in different failure domains.
pub const REMOTE_HEARTBEAT_INTERVAL_MS: Millis = Millis(1_000);
/// The silence after which a peer counts as gone.
pub const PEER_TIMEOUT_MS: Millis = Millis(1_500);
/// The span between two lease renewals at a worker without open requests.
pub const RENEWAL_INTERVAL_MS: Millis = Millis(20_000);
/// The span between two renewals at a worker that owes an answer.
pub const BUSY_RENEWAL_INTERVAL_MS: Millis = Millis(500);
/// The silence of a worker that owes an answer, after which its connection is opened anew.
pub const LINK_TIMEOUT_MS: Millis = Millis(1_500);
/// The span between two attempts to open a connection to a worker.
pub const RECONNECT_INTERVAL_MS: Millis = Millis(500);
/// How long a worker goes on with a task after the last renewal.
pub const TASK_LEASE_MS: Millis = Millis(60_000);
/// How long a keeper waits until a silent worker has stopped its tasks (lease plus 4% drift).
pub const TASK_EXPIRY_MS: Millis = Millis(62_400);
/// The time after which a refused caller is asked to come back, where nothing better is known.
pub const DEFAULT_RETRY_AFTER_MS: Millis = Millis(1_000);
/// The longest time after which a refused caller is asked to come back.
pub const MAX_RETRY_AFTER_MS: Millis = Millis(60_000);
/// How long the answer to an idempotent request is kept for a retry with the same id.
pub const IDEMPOTENT_ANSWER_RETENTION_MS: Millis = Millis(10_000);
/// How long the answer to a non-idempotent request is kept for a retry with the same id.
pub const ANSWER_RETENTION_MS: Millis = Millis(60_000);
/// The span after which a call that was passed on without an answer is passed on again.
pub const RESEND_INTERVAL_MS: Millis = Millis(2_000);
/// How much longer than the keeper the first daemon waits for an answer.
pub const ANSWER_GRACE_MS: Millis = Millis(300);
/// How long a caller waits until a job is on record, a cancellation or a note is done.
pub const CONTROL_CALL_TIMEOUT_MS: Millis = Millis(12_000);
/// The longest accepted deadline of a request.
pub const MAX_DEADLINE_MS: Millis = Millis(300_000);
/// The span between two looks over workers, calls and waiting requests.
pub const SCAN_INTERVAL_MS: Millis = Millis(100);
/// The span between two looks for tasks above a limit that was lowered.
pub const SURPLUS_CHECK_INTERVAL_MS: Millis = Millis(1_000);
/// The wait of a fenced keeper before it may try again.
pub const FENCED_BACKOFF_MS: Millis = Millis(5_000);
/// The silence of the table after which a daemon says that it does not reach it.
pub const TABLE_TIMEOUT_MS: Millis = Millis(2_000);
/// How long a peer that went silent still has to vouch for the table's silence.
pub const PEER_RETENTION_MS: Millis = Millis(60_000);
/// The span between two transactions of one keeper.
pub const COMMIT_INTERVAL_MS: Millis = Millis(40);
/// The wait before a failed table operation is tried again.
pub const TABLE_RETRY_DELAY_MS: Millis = Millis(300);
/// The notes that a daemon keeps for peers that lack them.
pub const MAX_RECENT_NOTES: usize = 256;
/// The span between two messages about what a failure domain misses of the teams' limits.
pub const LIMIT_REQUEST_INTERVAL_MS: Millis = Millis(1_000);
/// How long such a message counts.
pub const LIMIT_REQUEST_TTL_MS: Millis = Millis(2_500);
/// The span between two notes that move parts of limits, over all failure domains.
pub const LIMIT_TRANSFER_INTERVAL_MS: Millis = Millis(3_000);
/// The moves that one note makes at most.
pub const MAX_TRANSFERS_PER_NOTE: usize = 64;
/// The latest notes whose ids and entries are remembered.
pub const MAX_NOTE_HISTORY: usize = 2_048;
/// The revisions after which what is no longer remembered is dropped.
pub const HISTORY_TRIM_REVISIONS: u64 = 64;
/// The revisions between two snapshots of the configuration.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 512;
/// The objects that the snapshots take turns in.
pub const SNAPSHOT_SLOT_COUNT: u64 = 8;
/// The revisions that a daemon may lack before it reads a snapshot rather than the notes.
pub const SNAPSHOT_MIN_LAG_REVISIONS: u64 = 64;
/// The rows that one transaction trims at most.
pub const MAX_TRIM_ROWS_PER_TXN: u64 = 128;
/// The notes that one message carries at most.
pub const MAX_NOTES_PER_MESSAGE: usize = 64;
/// The part of all workers that may rest in quarantine at once, in percent.
pub const MAX_QUARANTINED_PERCENT: usize = 10;
/// How long a non-idempotent request's row stays in the table.
pub const INTENT_TTL_MS: Millis = Millis(86_400_000);
/// The span after which an unanswered table operation counts as lost.
pub const TABLE_OPERATION_TIMEOUT_MS: Millis = Millis(3_000);
/// The rows that one transaction carries at most.
pub const MAX_COMMIT_ROWS: usize = 256;
/// The rows that may wait for a commit before new work is refused.
pub const MAX_COMMIT_BACKLOG_ROWS: usize = 4_096;
/// The rows that one read of the table returns at most.
pub const MAX_READ_ROWS: u32 = 512;
/// The requests and tasks that one queue and team may have waiting.
pub const MAX_PENDING_UNITS: usize = 50_000;
/// The most requests of one queue that wait for each free slot of the domain.
pub const MAX_PENDING_REQUESTS_PER_SLOT: usize = 16;
/// The attempts after which a failing task fails its job.
pub const MAX_ATTEMPTS: u32 = 4;
/// The retries granted for each hundred requests.
pub const RETRY_BUDGET_PERCENT: u64 = 10;
/// The retries that a fresh budget holds.
pub const RETRY_BUDGET_BURST: u64 = 20;
/// The failures in a row of work that succeeded elsewhere, after which a worker is quarantined.
pub const QUARANTINE_FAILURES: u32 = 3;
/// The failures in a row of work that was not tried elsewhere, after which a worker is quarantined.
pub const QUARANTINE_UNATTRIBUTED_FAILURES: u32 = 20;
/// How long a team's success speaks for the rest of its requests.
pub const RECENT_SUCCESS_MS: Millis = Millis(1_000);
/// The first failures of a job's tasks at one worker that do not count against the job.
pub const MAX_UNCOUNTED_FAILURES: usize = 16;
/// How long a quarantined worker rests before a probe.
pub const QUARANTINE_MS: Millis = Millis(30_000);
/// One worker in so many keeps headroom for small questions.
pub const HEADROOM_WORKER_STRIDE: usize = 4;
/// The questions that each of these workers keeps headroom for.
pub const HEADROOM_REQUESTS_PER_WORKER: u64 = 4;
/// The span without any look for work, after which all workers are looked over.
pub const IDLE_SCHEDULING_INTERVAL_MS: Millis = Millis(1_000);
/// How long the head of a queue finds no room before room is kept for it.
pub const RESERVATION_DELAY_MS: Millis = Millis(3_000);
/// How long room is kept on the same workers before it is planned anew.
pub const RESERVATION_REPLAN_INTERVAL_MS: Millis = Millis(10_000);
/// The workers for each unit that room may be kept for.
pub const WORKERS_PER_RESERVATION: usize = 24;
/// The samples, one each [`SCAN_INTERVAL_MS`], over which a team's running share is averaged.
pub const SHARE_AVERAGE_SAMPLES: u64 = 600;
/// How often the average counts beside what runs now, when teams are ordered.
pub const PAST_SHARE_WEIGHT: u64 = 4;
/// The needs of a queue that are tried, in order of age, for want of room for the first.
pub const BACKFILL_DEPTH: usize = 8;
/// The largest request or task payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 262_144;
/// The most tasks of one job.
pub const MAX_JOB_TASKS: u32 = 10_000;
