//! Time spans, limits and weights of the cell.

use crate::Millis;

/// How long a leader's lease lasts after the last write of its row; four renewals may be lost.
pub const LEADER_LEASE_MS: Millis = Millis(2_000);
/// How much earlier than the others a leader treats its own lease as expired: covers 2% of clock
/// drift and the time that its last message to a worker takes.
pub const LEADER_LEASE_MARGIN_MS: Millis = Millis(300);
/// How often a leader renews its lease: a fifth of the lease.
pub const LEASE_RENEW_INTERVAL_MS: Millis = Millis(400);
/// How long one renewal may take; the lease counts from the time of sending, so a later answer
/// would hardly extend it.
pub const LEASE_RENEW_TIMEOUT_MS: Millis = Millis(1_500);
/// How often a leader sends heartbeats; `LEADER_TIMEOUT_MS` allows for two lost ones.
pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(400);
/// The least time between two heartbeats when one is sent early to announce a renewed lease.
pub const MIN_HEARTBEAT_INTERVAL_MS: Millis = Millis(250);
/// How long after the last heartbeat a daemon looks up the leader in the store: two missed
/// heartbeats.
pub const LEADER_TIMEOUT_MS: Millis = Millis(1_000);
/// How often a daemon without a leader reads who leads; bounded by the store's rate of reads.
pub const ELECTION_READ_INTERVAL_MS: Millis = Millis(300);
/// How much longer a host waits before it tries to lead, for each thousandth of a core that it has
/// less than the strongest host. Half a core less amounts to one `ELECTION_READ_INTERVAL_MS`, so a
/// stronger host wins even if it reads the store one interval later.
pub const WEAK_HOST_DELAY_US: u64 = 600;
/// The processor share assumed for the strongest daemon until a leader has reported it.
pub const DEFAULT_STRONGEST_CPU_MILLI: u64 = 1_000;

/// How much longer a host waits before it tries to lead whose link has next to nothing of the rate of the
/// fastest one: one `ELECTION_READ_INTERVAL_MS`.
pub const SLOW_LINK_DELAY_MS: Millis = Millis(300);
/// The rate of a link beyond which a leader has no use for more.
pub const USEFUL_LINK_KBPS: u64 = 100_000;

/// How long a following read waits at the store for a change; bounds the age of the desired state.
pub const FOLLOW_WAIT_MS: Millis = Millis(1_000);
/// How long a call to the store may take, on top of the time that it waits there for a change:
/// 60 times the usual answer time and a round trip between failure domains.
pub const STORE_TIMEOUT_MS: Millis = Millis(1_500);
/// The delay before a failed call to the store is retried; well below the store's rate limits.
pub const STORE_RETRY_DELAY_MS: Millis = Millis(120);
/// How many rows the first page of a full read has; the store gives up to 1 MB.
pub const FIRST_PAGE_ROWS: u32 = 64;
/// The most rows of a page: the store's own limit.
pub const MAX_PAGE_ROWS: u32 = 500;
/// How long a page of a full read should take at most; the renewals of the leader's lease share the
/// link with it.
pub const PAGE_TARGET_MS: Millis = Millis(300);
/// How often the time-out of a read of changes doubles at most while its answers are lost; the sum of all
/// time-outs stays well below the time for which the store keeps its history.
pub const MAX_FOLLOW_TIMEOUT_DOUBLINGS: u32 = 2;
/// How many pages a new leader reads at a time.
pub const MAX_OPEN_SCANS: usize = 3;
/// Subtracted from the time for which a withdrawn key may be accepted: 2% of clock drift and one
/// call.
pub const KEY_REVOCATION_MARGIN_MS: Millis = Millis(500);
/// Subtracted from the time within which a failure domain is drained: one call to a worker
/// (`WORKER_TIMEOUT_MS`), 2% of clock drift over 5 s, and 200 ms between a decision and its call.
pub const DRAIN_MARGIN_MS: Millis = Millis(1_000);
/// How long after its last answer to a heartbeat a member is reconnected: four heartbeats.
pub const MEMBER_TIMEOUT_MS: Millis = Millis(1_600);

/// The number of partitions of accepted jobs; the store does 300 transactions a second in each.
pub const JOB_PARTITIONS: u64 = 4;
/// The partition of the leader's rows; they share one so that a transaction can check who leads.
pub const CELL_PARTITION: &str = "cell";
/// The partition of the daemons' addresses.
pub const MEMBERS_PARTITION: &str = "members";
/// The most writes of progress in flight: one is built while another is sent.
pub const MAX_PROGRESS_WRITES: usize = 2;
/// The most rows that a transaction changes; each counts twice against the store's limit of 100.
pub const MAX_BATCH_ROWS: usize = 45;

/// The most bytes of the rows that a transaction writes, by their upper bound and before they are
/// encoded as base64; the store takes 1 MB.
pub const MAX_BATCH_BYTES: usize = 650_000;
/// How long a write of one row that the store refuses for its content is not repeated.
pub const REFUSED_ROW_RETRY_MS: Millis = Millis(2_000);
/// The longest id of a worker, in bytes: the store's limit on a key.
pub const MAX_WORKER_ID_BYTES: usize = 200;

/// How long a submission that the store refuses is retried before the client gets a refusal: a
/// quarter of the shortest latency objective.
pub const SUBMIT_REFUSED_TIMEOUT_MS: Millis = Millis(400);
/// How long a submission is retried while the store does not answer: most of the time that a client
/// waits.
pub const SUBMIT_UNKNOWN_TIMEOUT_MS: Millis = Millis(2_200);
/// The delay before a client may retry a call that was refused because the store or the leader is
/// unavailable.
pub const RETRY_AFTER_MS: Millis = Millis(1_000);
/// How long the leader may take to answer a query before the store is read instead:
/// `STATE_QUERY_WAIT_MS` and four trips between daemons.
pub const QUERY_TIMEOUT_MS: Millis = Millis(700);
/// How long the answer about an unfinished job waits for its end: the shortest latency objective.
pub const STATE_QUERY_WAIT_MS: Millis = Millis(250);
/// How long a cancellation may take; it is answered once it is recorded.
pub const CANCEL_TIMEOUT_MS: Millis = Millis(2_500);
/// The age up to which the leader's last report of pending jobs is used to answer clients.
pub const MAX_LEADER_REPORT_AGE_MS: Millis = Millis(1_500);

/// How long a worker may delay its answer to a poll while no run ends; its protocol allows 2 s.
pub const POLL_WAIT_MS: Millis = Millis(2_000);
/// How long a worker may take to answer, on top of that wait, before the call counts as lost.
pub const WORKER_TIMEOUT_MS: Millis = Millis(700);
/// The delay before a worker is polled again after a lost call.
pub const POLL_RETRY_DELAY_MS: Millis = Millis(250);
/// How many polls in a row a worker may answer early without a new ended run before the leader pauses
/// for `POLL_RETRY_DELAY_MS` between polls.
pub const MAX_EARLY_ANSWERS: u32 = 4;
/// How often a worker without runs is polled; keeps the estimate of its clock within 60 ms.
pub const IDLE_POLL_INTERVAL_MS: Millis = Millis(3_000);
/// How often a worker is polled while ended runs that it listed are not recorded yet; such a poll
/// renews the lease without acknowledging them.
pub const UNSTORED_POLL_INTERVAL_MS: Millis = Millis(2_000);
/// How long after a worker's last answer its ended runs may be acknowledged by number; after a
/// longer gap the worker may have restarted and begun its numbering anew.
pub const MAX_ACK_AGE_MS: Millis = Millis(1_500);
/// Added to a worker's lease before its runs count as expired: covers the error of the estimated
/// clock and a call that arrives late.
pub const WORKER_LEASE_MARGIN_MS: Millis = Millis(400);
/// How long a worker that leaves a poll unanswered must be silent before the end of its lease is recorded:
/// longer than a quick poll takes to time out, so that a single lost answer causes no writes.
pub const LEASE_RECORD_DELAY_MS: Millis = Millis(2_000);
/// The most ended runs that a worker lists at a time. It holds back the others until these are
/// acknowledged.
pub const MAX_LISTED_ENDS: u64 = 500;
/// The delay before a call to stop a run is repeated.
pub const STOP_RETRY_DELAY_MS: Millis = Millis(600);
/// How long a worker that refused or did not answer a start gets no new work.
pub const WORKER_BACKOFF_MS: Millis = Millis(500);

/// How much earlier than stated a ticket counts as expired: covers a trip between failure domains
/// and one to the worker.
pub const TICKET_MARGIN_MS: Millis = Millis(200);
/// Added to the expected time of an advice call before it counts as lost; the service may be busy
/// with other calls.
pub const ADVICE_TIMEOUT_MARGIN_MS: Millis = Millis(1_200);
/// How many short advice calls a daemon makes at a time: one is served while the next is sent.
pub const MAX_ADVICE_CALLS_PER_DAEMON: usize = 2;
/// The cost from which an advice call counts as long; a third of the daemons make no long calls.
pub const LONG_ADVICE_US: u64 = 250_000;
/// The most workers that one advice call names.
pub const MAX_ADVICE_WORKERS: usize = 100;
/// The most advice calls in flight for one step.
pub const MAX_ADVICE_CALLS_PER_STEP: usize = 4;
/// The most workers that an advice call for single tasks names; advice allows at least a third.
pub const MAX_ADVICE_WORKERS_SINGLE_TASKS: usize = 24;
/// The delay before a failed advice call is retried.
pub const ADVICE_RETRY_DELAY_MS: Millis = Millis(100);
/// How long after a failed advice call the other daemons are preferred for such calls: longer than
/// a call takes to time out.
pub const ADVICE_AVOIDANCE_MS: Millis = Millis(4_000);

/// How often the leader reads accepted jobs that no daemon reported to it.
pub const JOBS_FOLLOW_INTERVAL_MS: Millis = Millis(1_000);
/// How long the leader's read of new daemons waits at the store for a change.
pub const MEMBERS_FOLLOW_WAIT_MS: Millis = Millis(4_000);
/// The delay before a daemon that could not be reached is dialed again.
pub const REDIAL_DELAY_MS: Millis = Millis(700);
/// How often ended jobs past their retention are removed.
pub const SWEEP_INTERVAL_MS: Millis = Millis(5_000);
/// How long a step may be ready without a running task before it is logged as stalled.
pub const STALL_THRESHOLD_MS: Millis = Millis(3_000);
/// How often stalled steps are logged.
pub const STALL_LOG_INTERVAL_MS: Millis = Millis(2_000);
/// The most stalled steps that are logged at a time.
pub const MAX_LOGGED_STALLS: usize = 8;
/// How often it is logged that a gang waits for the same reason as before.
pub const GANG_WAIT_LOG_INTERVAL_MS: Millis = Millis(1_000);
/// The gap between the run numbers of consecutive leaders; greater than the number of times that
/// one leader starts a task.
pub const RUN_NUMBERS_PER_LEADER: u32 = 100;
/// The part of a planned stop's grace period that is reserved for sending the last answers: 1/8.
pub const STOP_RESERVE_DIVISOR: u64 = 8;
/// The least time between two passes over the pending work; work that becomes ready in between is
/// placed together.
pub const MIN_PASS_INTERVAL_MS: Millis = Millis(8);
/// The interval of passes grows by [`MIN_PASS_INTERVAL_MS`] for each this many events that wait to be
/// handled, so that calls and answers go before placement on a leader that is late.
pub const EVENTS_PER_PASS_INTERVAL: u64 = 32;
/// The longest interval of passes; urgent work starts within a multiple of it.
pub const MAX_PASS_INTERVAL_MS: Millis = Millis(200);
/// From how many waiting events on a leader logs that it is late.
pub const LATE_LEADER_EVENTS: usize = 500;
/// How often a leader logs that it is late.
pub const LATE_LEADER_LOG_INTERVAL_MS: Millis = Millis(1_000);
/// How long a write may take before the store counts as slow: ten times its usual answer time.
pub const SLOW_WRITE_THRESHOLD_MS: Millis = Millis(150);
/// How long submissions go through the leader after a slow or refused write, so that one batch
/// replaces one from each daemon; longer than a slow call.
pub const RELAY_DURATION_MS: Millis = Millis(2_000);
/// How long the store may fail to answer before it counts as down; shorter than `STORE_TIMEOUT_MS`.
pub const STORE_DOWN_TIMEOUT_MS: Millis = Millis(1_200);
/// How long the store may fail to answer a leader before the leader asks the other daemons whether
/// they reach it: the interval of renewals and one usual answer time.
pub const STORE_SLOW_THRESHOLD_MS: Millis = Millis(500);
/// How long after the store's last answer to the leader another daemon must have reached the store
/// for the leader to hand over. Longer than the interval of renewals, so that a store outage for
/// all daemons causes no handover.
pub const HANDOVER_THRESHOLD_MS: Millis = Millis(700);
/// A leader hands over to a daemon with at least this many times its processor share or its link's rate;
/// a smaller difference is not worth the pause that a takeover takes.
pub const YIELD_FACTOR: u64 = 2;
/// How long the leader must have led, and the stronger daemon been connected, before that handover;
/// longer than a takeover.
pub const YIELD_STABLE_MS: Millis = Millis(4_000);
/// After how many failed runs in a row a worker is quarantined; a task that fails on every worker
/// rarely runs three times in a row on the same one.
pub const QUARANTINE_FAILURES: u32 = 3;
/// How long a quarantine lasts; one more failure after it starts another.
pub const QUARANTINE_MS: Millis = Millis(4_000);
/// At most one worker in this many is quarantined at a time.
pub const QUARANTINE_DIVISOR: usize = 8;
/// The delay before a client may hand in a job again whose id was cancelled before it was recorded; the
/// id stays cancelled for the retention time of jobs.
pub const WITHDRAWN_RETRY_AFTER_MS: Millis = Millis(120_000);
/// The delay before a client may retry a job of a kind that this version does not run; only an
/// upgrade changes that.
pub const UNSUPPORTED_RETRY_AFTER_MS: Millis = Millis(60_000);
