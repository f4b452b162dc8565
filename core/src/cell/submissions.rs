//! Records submitted jobs in the store: each partition has at most one conditional write in flight,
//! which holds a batch of the pending jobs.

mod answers;
mod pending_submission;
mod write_result;

use crate::{
    cell::{
        admission::Verdict,
        consts,
        ctx::{Ctx, RpcOwner, LOCAL_LINK},
        frontend::Frontend,
        submissions::{
            answers::{answer_refused, answer_waiter, answer_waiters, log_refusal},
            pending_submission::{PendingSubmission, Refusal, Waiter},
            write_result::{is_same_submission, write_result, WriteResult},
        },
        Effect, JobRow, LinkId, LogEvent, QueryId, RowKey, RowVersion, RpcId, StoreCall,
        StoreReply, SubmitOutcome, Table, ToLeader, Withdrawal, Write,
    },
    CallId, JobId, Millis,
};
use compact_str::{format_compact, CompactString};
use std::collections::BTreeMap;

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
            let took_ms = ctx.now.since(sent_at);
            let result = write_result(&pending, &reply, received, took_ms);
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
