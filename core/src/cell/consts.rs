//! Spans, limits and weights of the cell.

use crate::Millis;

/// How long a leader's lease lasts after its row was last written: four renewals may be lost.
pub const LEADER_LEASE_MS: Millis = Millis(2_000);
/// What a leader takes off its own lease: 2% of clock drift and the send time of a last order.
pub const LEADER_LEASE_MARGIN_MS: Millis = Millis(300);
/// How often a leader renews its lease: a fifth of the lease.
pub const LEASE_RENEW_INTERVAL_MS: Millis = Millis(400);
/// How long one renewal may take: an answer that comes later says nothing about the lease any more.
pub const LEASE_RENEW_TIMEOUT_MS: Millis = Millis(1_500);
/// How often a leader sends heartbeats: two are missed before its silence counts.
pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(400);
/// How soon after a heartbeat the next is sent where the lease was renewed meanwhile.
pub const MIN_HEARTBEAT_INTERVAL_MS: Millis = Millis(250);
/// After which silence of the leader a daemon reads the store: two missed heartbeats.
pub const LEADER_TIMEOUT_MS: Millis = Millis(1_000);
/// How often a daemon without a leader reads who leads; bounded by the store's rate of reads.
pub const ELECTION_READ_INTERVAL_MS: Millis = Millis(300);
/// How much longer a host waits to lead for each thousandth of a core that it lacks to the
/// strongest: half a core less makes up for a late look at the store.
pub const WEAK_HOST_DELAY_US: u64 = 600;
/// The processor share that the strongest daemon is taken to have before a leader has said so.
pub const DEFAULT_STRONGEST_CPU_MILLI: u64 = 1_000;

/// How long a following read waits at the store: bounds the age of the desired state.
pub const FOLLOW_WAIT_MS: Millis = Millis(1_000);
/// How long the store may take on top of a wait: 60 times its usual answer and a cross-domain trip.
pub const STORE_TIMEOUT_MS: Millis = Millis(1_500);
/// How soon a failed call to the store is repeated: a tenth of a second keeps well below its rates.
pub const STORE_RETRY_DELAY_MS: Millis = Millis(120);
/// What is taken off the span for which a withdrawn key may be honoured: 2% of drift and a call.
pub const KEY_REVOCATION_MARGIN_MS: Millis = Millis(500);
/// After which silence of a member, which answers each heartbeat, it is dialed again: four of them.
pub const MEMBER_TIMEOUT_MS: Millis = Millis(1_600);

/// The partitions over which accepted jobs are spread; each takes 300 transactions a second.
pub const JOB_PARTITIONS: u64 = 4;
/// The partition of the leader's rows, so that one transaction can check who leads.
pub const CELL_PARTITION: &str = "cell";
/// The partition of the daemons' addresses.
pub const MEMBERS_PARTITION: &str = "members";
/// How many writes of progress may be on their way at a time: one can be built while another travels.
pub const MAX_PROGRESS_WRITES: usize = 2;
/// The most rows that a transaction changes: each takes two of the store's hundred entries.
pub const MAX_BATCH_ROWS: usize = 45;

/// How long a submission that the store refuses is tried before it is refused: a quarter of the
/// shortest latency objective.
pub const SUBMIT_REFUSED_TIMEOUT_MS: Millis = Millis(400);
/// How long a submission without any answer from the store is tried: most of a client's patience.
pub const SUBMIT_UNKNOWN_TIMEOUT_MS: Millis = Millis(2_200);
/// When a refused client should come back while the store or the leader is away.
pub const RETRY_AFTER_MS: Millis = Millis(1_000);
/// How long the leader may take to answer a question before the store is asked: the wait for an end
/// and four trips.
pub const QUERY_TIMEOUT_MS: Millis = Millis(700);
/// How long the answer about a job that has not ended waits for its end: the shortest latency objective.
pub const STATE_QUERY_WAIT_MS: Millis = Millis(250);
/// How long a cancellation may take: it is answered once it is on record.
pub const CANCEL_TIMEOUT_MS: Millis = Millis(2_500);
/// How old a leader's counts of waiting jobs may be when they are passed on.
pub const MAX_LEADER_REPORT_AGE_MS: Millis = Millis(1_500);

/// How long a worker may hold a renewal back while nothing ends; the protocol allows 2 s.
pub const POLL_WAIT_MS: Millis = Millis(2_000);
/// How long a worker may take on top of that before the call counts as lost.
pub const WORKER_TIMEOUT_MS: Millis = Millis(700);
/// How soon a worker is looked at again after a lost call.
pub const POLL_RETRY_DELAY_MS: Millis = Millis(250);
/// How often a worker without runs is looked at: keeps the estimate of its clock within 60 ms.
pub const IDLE_POLL_INTERVAL_MS: Millis = Millis(3_000);
/// How often ends that are not on record yet let a lease be renewed without acknowledging them.
pub const UNSTORED_POLL_INTERVAL_MS: Millis = Millis(2_000);
/// After which span without an answer a worker's end numbers may be those of another life.
pub const MAX_ACK_AGE_MS: Millis = Millis(1_500);
/// What is added to a lease before its runs count as over: an estimate's error and a late order.
pub const WORKER_LEASE_MARGIN_MS: Millis = Millis(400);
/// How soon an order to stop is repeated.
pub const STOP_RETRY_DELAY_MS: Millis = Millis(600);
/// How long a worker that refused or lost an order gets no new work.
pub const WORKER_BACKOFF_MS: Millis = Millis(500);

/// How much earlier than said a ticket counts as over: a trip between domains and to the worker.
pub const TICKET_MARGIN_MS: Millis = Millis(200);
/// What is added to a call for advice before it counts as lost: others may wait at the service.
pub const ADVICE_TIMEOUT_MARGIN_MS: Millis = Millis(1_200);
/// How many short calls for advice a daemon makes at a time: one is served while the next travels.
pub const MAX_ADVICE_CALLS_PER_DAEMON: usize = 2;
/// From which cost on a call for advice is long, and keeps off a third of the daemons.
pub const LONG_ADVICE_US: u64 = 250_000;
/// The most workers that one call for advice names.
pub const MAX_ADVICE_WORKERS: usize = 100;
/// How many workers a call for single tasks names: advice allows a third or more of them.
pub const MAX_ADVICE_WORKERS_SINGLE_TASKS: usize = 24;
/// How soon failed advice is asked for again.
pub const ADVICE_RETRY_DELAY_MS: Millis = Millis(100);

/// How often the leader reads accepted jobs that nobody handed over to it.
pub const JOBS_FOLLOW_INTERVAL_MS: Millis = Millis(1_000);
/// How long the leader's read of new daemons waits at the store.
pub const MEMBERS_FOLLOW_WAIT_MS: Millis = Millis(4_000);
/// How soon a daemon that can't be reached is dialed again.
pub const REDIAL_DELAY_MS: Millis = Millis(700);
/// How often ended jobs past their retention are removed.
pub const SWEEP_INTERVAL_MS: Millis = Millis(5_000);
/// The step between the run numbers of two leaders: more than one leader's starts of a task.
pub const RUN_NUMBERS_PER_LEADER: u32 = 100;
/// Which part of the grace of a planned stop is left over for the last answers' way: an eighth.
pub const STOP_RESERVE_DIVISOR: u64 = 8;
/// The least span between two passes over the waiting work: what ends meanwhile is placed together.
pub const MIN_PASS_INTERVAL_MS: Millis = Millis(8);
/// From which time of a write on the store counts as slow: ten times its usual answer.
pub const SLOW_WRITE_THRESHOLD_MS: Millis = Millis(150);
/// How long submissions go through the leader after a slow or refused write, so that one batch
/// takes the place of one from each daemon: longer than a slow call.
pub const RELAY_DURATION_MS: Millis = Millis(2_000);
/// After which time without an answer the store counts as down: shorter than a slow call's limit.
pub const STORE_DOWN_TIMEOUT_MS: Millis = Millis(1_200);
/// After which time without an answer a leader asks who reaches the store: a renewal and its usual
/// answer.
pub const STORE_SLOW_THRESHOLD_MS: Millis = Millis(500);
/// How much later than a leader another daemon must have reached the store for the leader to hand
/// over: longer than the pause between two renewals, so that an outage for all never looks like it.
pub const HANDOVER_THRESHOLD_MS: Millis = Millis(700);
/// How many times a daemon's processor share is a leader's for the leader to yield to it: less is
/// not worth the pause of a takeover.
pub const YIELD_CPU_FACTOR: u64 = 2;
/// How long a leader and a stronger daemon must have stood for that: longer than a takeover.
pub const YIELD_STABLE_MS: Millis = Millis(4_000);
/// After how many failed runs in a row a worker rests: work that fails anywhere rarely comes thrice.
pub const QUARANTINE_FAILURES: u32 = 3;
/// How long it rests before it gets work again; one more failure sends it back.
pub const QUARANTINE_MS: Millis = Millis(4_000);
/// At most one worker in so many rests at a time.
pub const QUARANTINE_DIVISOR: usize = 8;
/// When a client should come back with a job of a kind that is not served yet: after an upgrade.
pub const UNSUPPORTED_RETRY_AFTER_MS: Millis = Millis(60_000);
