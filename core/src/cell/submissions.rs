//! Records submitted jobs in the store: each partition has at most one conditional write in flight,
//! which holds a batch of the pending jobs.

use crate::{
    cell::{
        admission::Verdict,
        consts,
        ctx::{Ctx, RpcOwner, LOCAL_LINK},
        frontend::Frontend,
        ClientAnswer, Effect, JobAccess, JobRow, LinkId, LogEvent, QueryId, Row, RowKey, RowValue,
        RowVersion, RpcId, StoreCall, StoreReply, SubmitOutcome, Table, ToLeader, ToMember,
        Withdrawal, Write,
    },
    CallId, JobId, Millis,
};
use compact_str::{format_compact, CompactString};
use std::collections::BTreeMap;

/// A client or another daemon that waits for the outcome of a submission.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Client(CallId),
    Peer(LinkId, QueryId),
}

#[derive(Debug)]
struct PendingSubmission {
    job: JobRow,
    waiters: Vec<Waiter>,
    submitted_at: Millis,
    /// A time that the store's clock had reached when the submission came in.
    received_ms: Option<Millis>,
    /// Whether a write without an answer may have recorded the job.
    maybe_written: bool,
    /// The version of the row in its place: zero, or that of a withdrawal by callers that may not end it.
    expected: RowVersion,
    /// The query to the leader to record the job, if one is open.
    relay_query: Option<QueryId>,
    /// The refusal to record in place of the job, if it is refused for load.
    refusal: Option<Refusal>,
}

/// A refusal for load, which is answered once it is recorded.
#[derive(Clone, Debug)]
struct Refusal {
    reason: &'static str,
    retry_after_ms: Millis,
    /// The row that it replaces: cancellations by callers that may not end the job, or an earlier refusal.
    replaced: Withdrawal,
}

impl PendingSubmission {
    /// Returns whether the job may be recorded by now, or may be later.
    fn may_be_recorded(&self) -> bool {
        self.maybe_written || self.relay_query.is_some()
    }

    /// Returns the row to write: the job, or its refusal, which is recorded by `recorded_by` of the
    /// store's clock or its answer counts as lost.
    fn row_value(&self, recorded_by: Option<Millis>) -> RowValue {
        match (&self.refusal, recorded_by) {
            (Some(refusal), Some(time)) => {
                RowValue::Withdrawn(Box::new(refusal.replaced.clone().with_refusal(time)))
            }
            // The clock is known where a job is refused.
            (Some(_), None) | (None, _) => RowValue::Job(Box::new(self.job.clone())),
        }
    }

    fn replaced(&self) -> Withdrawal {
        let refusal = self.refusal.as_ref();
        refusal.map_or_else(Withdrawal::default, |refusal| refusal.replaced.clone())
    }

    /// Returns whether a client of this daemon still waits for the outcome.
    fn has_open_client(&self, frontend: &Frontend) -> bool {
        let is_open = |waiter: &Waiter| match waiter {
            Waiter::Client(call) => frontend.is_open(*call),
            Waiter::Peer(..) => false,
        };
        self.waiters.iter().any(is_open)
    }
}

#[derive(Debug, Default)]
struct Partition {
    waiting: BTreeMap<JobId, PendingSubmission>,
    in_flight: Option<(RpcId, Vec<PendingSubmission>)>,
    sent_at: Millis,
    retry_at: Millis,
}

/// The submissions that are not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    partitions: BTreeMap<u64, Partition>,
    /// The connection to the leader.
    pub(crate) leader: Option<LinkId>,
    last_query: u64,
    /// The time until which submissions go through the leader, because the store is slow for this
    /// daemon.
    relay_until: Millis,
}

/// The result of a write for one of its submissions.
enum WriteResult {
    /// The job is recorded, with this version of its row. The row of an earlier write is given; its team
    /// may differ.
    Accepted {
        version: RowVersion,
        earlier: Option<Box<JobRow>>,
    },
    /// Another job with the same id is recorded.
    IdTaken,
    /// A caller that may end the job has cancelled it.
    Withdrawn,
    /// The job was refused, possibly after this submission came in.
    RefusedLater,
    /// The write has to be repeated while the row has this version, or the job forwarded to the leader.
    Retry {
        maybe_written: bool,
        expected: RowVersion,
        /// The row that has this version.
        replaced: Withdrawal,
        /// Whether the store answers, so that the write can be repeated at once.
        store_answers: bool,
    },
}

/// Returns the number of a job's partition.
pub(crate) fn partition_of(job: &JobId) -> u64 {
    let fold = |sum: u64, byte: u8| sum.wrapping_mul(31).wrapping_add(u64::from(byte));
    job.as_str().bytes().fold(7, fold) % consts::JOB_PARTITIONS
}

/// Returns the name of a partition.
pub(crate) fn partition_name(partition: u64) -> CompactString {
    format_compact!("{partition}")
}

/// Returns the key of a job's row.
pub(crate) fn job_key(job: &JobId) -> RowKey {
    RowKey::new(
        Table::Jobs,
        &partition_name(partition_of(job)),
        job.as_str(),
    )
}

impl Submissions {
    /// Adds a client's submission.
    pub(crate) fn add_client(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        call: CallId,
        job: JobRow,
    ) {
        self.add(ctx, frontend, Waiter::Client(call), job, None);
    }

    /// Records the refusal of a client's submission, so that no earlier attempt is recorded later, and
    /// answers it then. A job that is recorded already is answered as accepted.
    pub(crate) fn refuse_client(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        call: CallId,
        job: JobRow,
        verdict: &Verdict,
    ) {
        log_refusal(ctx, &job, verdict);
        let refusal = Refusal {
            reason: verdict.reason.as_str(),
            retry_after_ms: verdict.retry_after_ms,
            replaced: Withdrawal::default(),
        };
        self.add(ctx, frontend, Waiter::Client(call), job, Some(refusal));
    }

    /// Adds a submission that another daemon forwarded.
    pub(crate) fn add_relayed(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        link: LinkId,
        query: QueryId,
        job: JobRow,
    ) {
        self.add(ctx, frontend, Waiter::Peer(link, query), job, None);
    }

    fn add(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        waiter: Waiter,
        job: JobRow,
        refusal: Option<Refusal>,
    ) {
        let number = partition_of(&job.id);
        let partition = self.partitions.entry(number).or_default();
        let open = partition.in_flight.as_mut().map(|(_, batch)| batch);
        let sent = open.and_then(|batch| batch.iter_mut().find(|pending| pending.job.id == job.id));
        if let Some(pending) = sent.or_else(|| partition.waiting.get_mut(&job.id)) {
            if is_same_submission(&pending.job, &job) {
                pending.waiters.push(waiter);
                return;
            }
            ctx.log(LogEvent::warn("job_id_taken").with("job", &job.id));
            return answer_waiter(ctx, frontend, waiter, SubmitOutcome::NotRun);
        }
        let mut pending = PendingSubmission {
            waiters: vec![waiter],
            submitted_at: ctx.now,
            received_ms: ctx.store_clock.at_least(ctx.now),
            maybe_written: false,
            expected: RowVersion(0),
            relay_query: None,
            refusal,
            job,
        };
        if ctx.now < self.relay_until {
            self.relay(ctx, &mut pending);
        }
        let partition = self.partitions.entry(number).or_default();
        partition.waiting.insert(pending.job.id.clone(), pending);
        self.flush(ctx, number);
    }

    /// Writes the next batch of a partition, unless a write is in flight or a retry is not due yet.
    fn flush(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return;
        };
        if partition.in_flight.is_some() || ctx.now < partition.retry_at {
            return;
        }
        let is_not_relayed = |pending: &&PendingSubmission| pending.relay_query.is_none();
        let mut batch_bytes = 0;
        let fits = |pending: &&PendingSubmission| {
            batch_bytes += pending.job.max_encoded_bytes();
            batch_bytes <= consts::MAX_BATCH_BYTES
        };
        let ids = partition
            .waiting
            .values()
            .filter(is_not_relayed)
            .take_while(fits)
            .map(|pending| pending.job.id.clone());
        let ids: Vec<JobId> = ids.take(consts::MAX_BATCH_ROWS).collect();
        if ids.is_empty() {
            return;
        }
        let batch: Vec<PendingSubmission> = ids
            .iter()
            .filter_map(|id| partition.waiting.remove(id))
            .collect();
        let key = |pending: &PendingSubmission| job_key(&pending.job.id);
        let recorded_by = ctx.store_clock.at_most(ctx.now + consts::STORE_TIMEOUT_MS);
        let value = |pending: &PendingSubmission| pending.row_value(recorded_by);
        let write = Write {
            expect: batch
                .iter()
                .map(|pending| (key(pending), pending.expected))
                .collect(),
            put: batch
                .iter()
                .map(|pending| (key(pending), value(pending)))
                .collect(),
            remove: Vec::new(),
        };
        let call = StoreCall::Write(write);
        let rpc = ctx.call_store(RpcOwner::Submissions, call, consts::STORE_TIMEOUT_MS);
        partition.in_flight = Some((rpc, batch));
        partition.sent_at = ctx.now;
    }

    pub(crate) fn on_store(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        rpc: RpcId,
        reply: StoreReply,
    ) {
        let sent = |(open, _): &mut (RpcId, Vec<PendingSubmission>)| *open == rpc;
        let found = self
            .partitions
            .iter_mut()
            .find_map(|(number, partition)| Some((*number, partition.in_flight.take_if(sent)?.1)));
        let Some((number, batch)) = found else { return };
        let sent_at = self
            .partitions
            .get(&number)
            .map_or(ctx.now, |partition| partition.sent_at);
        let refused = matches!(reply, StoreReply::Refused(_) | StoreReply::Lost);
        if refused || ctx.now.since(sent_at) >= consts::SLOW_WRITE_THRESHOLD_MS {
            self.relay_until = ctx.now + consts::RELAY_DURATION_MS;
        }
        for pending in batch {
            let has_open_client = pending.has_open_client(frontend);
            let received = pending.received_ms.filter(|_| has_open_client);
            let result = write_result(&pending, &reply, received);
            self.apply_result(ctx, frontend, number, pending, result);
        }
        if let (StoreReply::Refused(_), Some(partition)) =
            (&reply, self.partitions.get_mut(&number))
        {
            partition.retry_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
        }
        self.flush(ctx, number);
    }

    fn apply_result(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        number: u64,
        mut pending: PendingSubmission,
        result: WriteResult,
    ) {
        match result {
            WriteResult::Accepted {
                earlier: None,
                version,
            } if pending.refusal.is_some() => {
                answer_refused(ctx, frontend, &pending, version);
            }
            WriteResult::Accepted { version, earlier } => {
                answer_waiters(ctx, frontend, &pending, SubmitOutcome::Accepted);
                let job = earlier.map_or(pending.job, |earlier| *earlier);
                frontend.report_accepted(ctx, job, version);
            }
            WriteResult::IdTaken => {
                ctx.log(LogEvent::warn("job_id_taken").with("job", &pending.job.id));
                answer_waiters(ctx, frontend, &pending, SubmitOutcome::NotRun);
            }
            WriteResult::Withdrawn => {
                answer_waiters(ctx, frontend, &pending, SubmitOutcome::Withdrawn);
            }
            WriteResult::RefusedLater => {
                answer_waiters(ctx, frontend, &pending, SubmitOutcome::NotRun);
            }
            WriteResult::Retry {
                maybe_written,
                expected,
                replaced,
                store_answers,
            } => {
                pending.maybe_written |= maybe_written;
                pending.expected = expected;
                if let Some(refusal) = &mut pending.refusal {
                    refusal.replaced = replaced;
                }
                if !store_answers {
                    self.relay(ctx, &mut pending);
                }
                let partition = self.partitions.entry(number).or_default();
                partition.waiting.insert(pending.job.id.clone(), pending);
            }
        }
    }

    /// Forwards a submission to the leader, which records it in place of this daemon; one that was
    /// forwarded by another daemon is not forwarded again.
    fn relay(&mut self, ctx: &mut Ctx, pending: &mut PendingSubmission) {
        let Some(link) = self.leader.filter(|link| *link != LOCAL_LINK) else {
            return;
        };
        if pending.refusal.is_some() {
            return;
        }
        if pending
            .waiters
            .iter()
            .any(|waiter| matches!(waiter, Waiter::Peer(..)))
        {
            return;
        }
        self.last_query += 1;
        let query = QueryId(self.last_query);
        pending.relay_query = Some(query);
        let event = LogEvent::info("submission_relayed").with("job", &pending.job.id);
        ctx.log(event.with("waited_ms", ctx.now.since(pending.submitted_at).0));
        let job = Box::new(pending.job.clone());
        ctx.push(Effect::ToLeader(link, ToLeader::Submit { query, job }));
    }

    /// Handles the leader's answer for a submission that was forwarded to it.
    pub(crate) fn on_relayed(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        query: QueryId,
        outcome: SubmitOutcome,
    ) {
        let is_relayed_as = |pending: &&PendingSubmission| pending.relay_query == Some(query);
        let found = self.partitions.values_mut().find_map(|partition| {
            let id = partition
                .waiting
                .values()
                .find(is_relayed_as)?
                .job
                .id
                .clone();
            partition.waiting.remove(&id)
        });
        let Some(mut pending) = found else { return };
        match outcome {
            SubmitOutcome::Accepted | SubmitOutcome::Withdrawn => {
                answer_waiters(ctx, frontend, &pending, outcome);
            }
            SubmitOutcome::NotRun | SubmitOutcome::Unknown => {
                pending.relay_query = None;
                pending.maybe_written |= outcome == SubmitOutcome::Unknown;
                let number = partition_of(&pending.job.id);
                let partition = self.partitions.entry(number).or_default();
                partition.waiting.insert(pending.job.id.clone(), pending);
            }
        }
    }

    /// Answers the submissions that have timed out and writes the next batches.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx, frontend: &mut Frontend) {
        let down = ctx.store_is_down();
        for partition in self.partitions.values_mut() {
            let is_timed_out = |pending: &PendingSubmission| {
                let waited = ctx.now.since(pending.submitted_at);
                let timeout = match (pending.may_be_recorded(), down) {
                    (true, _) => consts::SUBMIT_UNKNOWN_TIMEOUT_MS,
                    (false, true) => Millis(0),
                    (false, false) => consts::SUBMIT_REFUSED_TIMEOUT_MS,
                };
                waited >= timeout
            };
            let ids: Vec<JobId> = partition
                .waiting
                .values()
                .filter(|pending| is_timed_out(pending))
                .map(|pending| pending.job.id.clone())
                .collect();
            for pending in ids.iter().filter_map(|id| partition.waiting.remove(id)) {
                // Without a record of the refusal, an earlier attempt may still be recorded.
                let is_open = pending.may_be_recorded() || pending.refusal.is_some();
                let outcome = match is_open {
                    true => SubmitOutcome::Unknown,
                    false => SubmitOutcome::NotRun,
                };
                answer_waiters(ctx, frontend, &pending, outcome);
            }
        }
        for number in 0..consts::JOB_PARTITIONS {
            self.flush(ctx, number);
        }
    }
}

fn log_refusal(ctx: &mut Ctx, job: &JobRow, verdict: &Verdict) {
    let team = job.team.as_ref().map_or("-", |team| team.as_str());
    let event = LogEvent::warn("job_refused")
        .with("job", &job.id)
        .with("queue", &job.queue)
        .with("team", team)
        .with("reason", verdict.reason.code());
    let event = event
        .with("expected_start_ms", verdict.expected_start_ms)
        .with("last_useful_start_ms", verdict.last_useful_start_ms)
        .with("retry_ms", verdict.retry_after_ms.0);
    ctx.log(
        event
            .with("table", verdict.table_version)
            .with("table_age_ms", verdict.table_age_ms.0),
    );
}

/// Answers the waiters of a submission whose refusal is recorded.
fn answer_refused(
    ctx: &mut Ctx,
    frontend: &mut Frontend,
    pending: &PendingSubmission,
    version: RowVersion,
) {
    let Some(refusal) = &pending.refusal else {
        return;
    };
    let event = LogEvent::info("refusal_recorded").with("job", &pending.job.id);
    let event = event.with("version", version);
    ctx.log(event.with("waited_ms", ctx.now.since(pending.submitted_at).0));
    for waiter in &pending.waiters {
        match waiter {
            Waiter::Client(call) => {
                let answer = ClientAnswer::NotRun {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                frontend.answer(ctx, *call, answer);
            }
            Waiter::Peer(..) => answer_waiter(ctx, frontend, *waiter, SubmitOutcome::NotRun),
        }
    }
}

fn answer_waiters(
    ctx: &mut Ctx,
    frontend: &mut Frontend,
    pending: &PendingSubmission,
    outcome: SubmitOutcome,
) {
    let waited_ms = ctx.now.since(pending.submitted_at);
    let event = match outcome {
        SubmitOutcome::Accepted => LogEvent::info("job_accepted"),
        SubmitOutcome::NotRun | SubmitOutcome::Unknown | SubmitOutcome::Withdrawn => {
            LogEvent::warn("job_not_accepted")
        }
    };
    let team = pending.job.team.as_ref().map_or("-", |team| team.as_str());
    let event = event
        .with("job", &pending.job.id)
        .with("queue", &pending.job.queue);
    let event = event
        .with("team", team)
        .with("outcome", format_args!("{outcome:?}"));
    ctx.log(event.with("waited_ms", waited_ms.0));
    for waiter in &pending.waiters {
        answer_waiter(ctx, frontend, *waiter, outcome);
    }
}

fn answer_waiter(ctx: &mut Ctx, frontend: &mut Frontend, waiter: Waiter, outcome: SubmitOutcome) {
    match waiter {
        Waiter::Client(call) => frontend.answer(ctx, call, client_answer(outcome)),
        Waiter::Peer(link, query) => ctx.send_member(link, ToMember::Submitted { query, outcome }),
    }
}

fn client_answer(outcome: SubmitOutcome) -> ClientAnswer {
    match outcome {
        SubmitOutcome::Accepted => ClientAnswer::Accepted,
        SubmitOutcome::NotRun => ClientAnswer::NotRun {
            reason: "the job could not be put on record",
            retry_after_ms: consts::RETRY_AFTER_MS,
        },
        SubmitOutcome::Withdrawn => ClientAnswer::NotRun {
            reason: "the job was cancelled before it was accepted",
            retry_after_ms: consts::WITHDRAWN_RETRY_AFTER_MS,
        },
        SubmitOutcome::Unknown => ClientAnswer::Unknown,
    }
}

/// Returns the result of a write for a submission that certainly came in when the store's clock had reached
/// `received`; `None` if that is not known, or no client of this daemon waits for it any more.
fn write_result(
    pending: &PendingSubmission,
    reply: &StoreReply,
    received: Option<Millis>,
) -> WriteResult {
    let repeat = |maybe_written| WriteResult::Retry {
        maybe_written,
        expected: pending.expected,
        replaced: pending.replaced(),
        store_answers: false,
    };
    match reply {
        StoreReply::Written(version) => WriteResult::Accepted {
            version: *version,
            earlier: None,
        },
        StoreReply::Conflict(rows) => {
            let key = job_key(&pending.job.id);
            let exists = |row: &&Row| row.key == key && row.version > RowVersion(0);
            conflict_result(pending, rows.iter().find(exists), received)
        }
        StoreReply::Refused(_) => repeat(false),
        _ => repeat(true),
    }
}

/// Returns the result of a write that met another row, `found` in the place of the submission.
fn conflict_result(
    pending: &PendingSubmission,
    found: Option<&Row>,
    received: Option<Millis>,
) -> WriteResult {
    let retry = |expected, replaced| WriteResult::Retry {
        maybe_written: false,
        expected,
        replaced,
        store_answers: true,
    };
    let Some(row) = found else {
        return retry(RowVersion(0), Withdrawal::default());
    };
    match &row.value {
        RowValue::Withdrawn(withdrawal) if withdrawal.covers(&pending.job) => {
            WriteResult::Withdrawn
        }
        RowValue::Withdrawn(withdrawal) => {
            let is_known = row.version == pending.expected;
            let may_replace = is_known || withdrawal.is_refused_before(received);
            match may_replace || pending.refusal.is_some() {
                true => retry(row.version, (**withdrawal).clone()),
                false => WriteResult::RefusedLater,
            }
        }
        RowValue::Job(earlier) if is_same_submission(earlier, &pending.job) => {
            WriteResult::Accepted {
                version: row.version,
                earlier: Some(earlier.clone()),
            }
        }
        _ => WriteResult::IdTaken,
    }
}

/// Returns whether two jobs with one id are the same submission, regardless of when they came in: the
/// later caller may see the earlier job, whose key it need not show if the queue has become open.
fn is_same_submission(earlier: &JobRow, job: &JobRow) -> bool {
    let has_same_address = match (&earlier.queue_spec, &job.queue_spec) {
        (Some(earlier), Some(queue)) => earlier.is_at(&queue.host, &queue.path_prefix),
        _ => false,
    };
    let is_same_queue = earlier.queue == job.queue || has_same_address;
    is_same_queue
        && earlier.submission == job.submission
        && JobAccess::of_submitter(job).covers(earlier)
}
