//! Putting accepted jobs on record: one conditional write for all that wait in a partition.

use crate::{
    cell::{
        consts,
        frontend::Frontend,
        node::{Ctx, RpcOwner, OWN_LINK},
        ClientAnswer, Effect, JobRow, LinkId, LogEvent, QueryId, Row, RowKey, RowValue, RowVersion,
        RpcId, StoreCall, StoreReply, SubmitView, Table, ToLeader, ToMember, Write,
    },
    CallId, JobId, Millis,
};
use compact_str::{format_compact, CompactString};
use std::collections::BTreeMap;

/// Who waits for a submission.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Client(CallId),
    Peer(LinkId, QueryId),
}

#[derive(Debug)]
struct Pending {
    job: JobRow,
    waiters: Vec<Waiter>,
    since: Millis,
    /// Whether a write without an answer may still put the job on record.
    unknown: bool,
    /// Whether the leader was asked to write it.
    relayed: Option<QueryId>,
}

impl Pending {
    /// Says whether the job may be on record, or may still come there.
    fn is_unknown(&self) -> bool {
        self.unknown || self.relayed.is_some()
    }
}

#[derive(Debug, Default)]
struct Part {
    waiting: BTreeMap<JobId, Pending>,
    in_flight: Option<(RpcId, Vec<Pending>)>,
    sent_at: Millis,
    retry_at: Millis,
}

/// The submissions that are not on record yet.
#[derive(Debug, Default)]
pub(crate) struct Submits {
    parts: BTreeMap<u64, Part>,
    /// The connection to the leader, where another daemon leads.
    pub(crate) leader: Option<LinkId>,
    last_query: u64,
    /// Until when submissions go through the leader, since the store is slow for this daemon.
    relay_until: Millis,
}

/// What becomes of a pending submission.
enum Verdict {
    Accepted(RowVersion),
    Taken,
    Retry { unknown: bool },
}

/// Returns the partition of a job.
pub(crate) fn part_of(job: &JobId) -> u64 {
    let fold = |sum: u64, byte: u8| sum.wrapping_mul(31).wrapping_add(u64::from(byte));
    job.as_str().bytes().fold(7, fold) % consts::JOB_PARTITIONS
}

/// Returns the partition's name.
pub(crate) fn part_name(part: u64) -> CompactString {
    format_compact!("{part}")
}

/// Returns the row of a job.
pub(crate) fn job_key(job: &JobId) -> RowKey {
    RowKey::new(Table::Jobs, &part_name(part_of(job)), job.as_str())
}

impl Submits {
    /// Takes a client's submission.
    pub(crate) fn add_client(&mut self, ctx: &mut Ctx, call: CallId, job: JobRow) {
        self.add(ctx, Waiter::Client(call), job);
    }

    /// Takes a submission that another daemon passed on.
    pub(crate) fn add_relayed(&mut self, ctx: &mut Ctx, link: LinkId, query: QueryId, job: JobRow) {
        self.add(ctx, Waiter::Peer(link, query), job);
    }

    fn add(&mut self, ctx: &mut Ctx, waiter: Waiter, job: JobRow) {
        let number = part_of(&job.id);
        let part = self.parts.entry(number).or_default();
        let open = part.in_flight.as_mut().map(|(_, batch)| batch);
        let sent = open.and_then(|batch| batch.iter_mut().find(|own| own.job.id == job.id));
        if let Some(pending) = sent.or_else(|| part.waiting.get_mut(&job.id)) {
            pending.waiters.push(waiter);
            return;
        }
        let mut pending = Pending {
            waiters: vec![waiter],
            since: ctx.now,
            unknown: false,
            relayed: None,
            job,
        };
        if ctx.now < self.relay_until {
            self.relay(ctx, &mut pending);
        }
        let part = self.parts.entry(number).or_default();
        part.waiting.insert(pending.job.id.clone(), pending);
        self.flush(ctx, number);
    }

    /// Sends the next batch of a partition, if none is on its way.
    fn flush(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(part) = self.parts.get_mut(&number) else {
            return;
        };
        if part.in_flight.is_some() || ctx.now < part.retry_at {
            return;
        }
        let next = |pending: &&Pending| pending.relayed.is_none();
        let ids = part
            .waiting
            .values()
            .filter(next)
            .map(|own| own.job.id.clone());
        let ids: Vec<JobId> = ids.take(consts::MAX_BATCH_ROWS).collect();
        if ids.is_empty() {
            return;
        }
        let batch: Vec<Pending> = ids
            .iter()
            .filter_map(|id| part.waiting.remove(id))
            .collect();
        let key = |pending: &Pending| job_key(&pending.job.id);
        let value = |pending: &Pending| RowValue::Job(Box::new(pending.job.clone()));
        let write = Write {
            expect: batch.iter().map(|own| (key(own), RowVersion(0))).collect(),
            put: batch.iter().map(|own| (key(own), value(own))).collect(),
            remove: Vec::new(),
        };
        let call = StoreCall::Write(write);
        let rpc = ctx.store(RpcOwner::Submits, call, consts::STORE_TIMEOUT_MS);
        part.in_flight = Some((rpc, batch));
        part.sent_at = ctx.now;
    }

    pub(crate) fn on_store(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        rpc: RpcId,
        reply: StoreReply,
    ) {
        let sent = |(open, _): &mut (RpcId, Vec<Pending>)| *open == rpc;
        let found = self
            .parts
            .iter_mut()
            .find_map(|(number, part)| Some((*number, part.in_flight.take_if(sent)?.1)));
        let Some((number, batch)) = found else { return };
        let sent_at = self.parts.get(&number).map_or(ctx.now, |part| part.sent_at);
        let refused = matches!(reply, StoreReply::Refused(_) | StoreReply::Lost);
        if refused || ctx.now.since(sent_at) >= consts::SLOW_WRITE_THRESHOLD_MS {
            self.relay_until = ctx.now + consts::RELAY_DURATION_MS;
        }
        for pending in batch {
            let verdict = verdict_of(&pending, &reply);
            self.settle(ctx, frontend, number, pending, verdict);
        }
        if let (StoreReply::Refused(_), Some(part)) = (&reply, self.parts.get_mut(&number)) {
            part.retry_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
        }
        self.flush(ctx, number);
    }

    fn settle(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        number: u64,
        mut pending: Pending,
        verdict: Verdict,
    ) {
        match verdict {
            Verdict::Accepted(version) => {
                finish(ctx, frontend, &pending, SubmitView::Accepted);
                frontend.hand_over(ctx, pending.job, version);
            }
            Verdict::Taken => {
                ctx.log(LogEvent::warn("job_id_taken").with("job", &pending.job.id));
                finish(ctx, frontend, &pending, SubmitView::NotRun);
            }
            Verdict::Retry { unknown } => {
                pending.unknown |= unknown;
                self.relay(ctx, &mut pending);
                let part = self.parts.entry(number).or_default();
                part.waiting.insert(pending.job.id.clone(), pending);
            }
        }
    }

    /// Asks the leader to write what this daemon could not.
    fn relay(&mut self, ctx: &mut Ctx, pending: &mut Pending) {
        let Some(link) = self.leader.filter(|link| *link != OWN_LINK) else {
            return;
        };
        if pending
            .waiters
            .iter()
            .any(|own| matches!(own, Waiter::Peer(..)))
        {
            return;
        }
        self.last_query += 1;
        let query = QueryId(self.last_query);
        pending.relayed = Some(query);
        let line = LogEvent::info("submission_relayed").with("job", &pending.job.id);
        ctx.log(line.with("waited_ms", ctx.now.since(pending.since).0));
        let job = Box::new(pending.job.clone());
        ctx.push(Effect::ToLeader(link, ToLeader::Submit { query, job }));
    }

    /// Takes the leader's word on a submission that was passed on.
    pub(crate) fn on_relayed(
        &mut self,
        ctx: &mut Ctx,
        frontend: &mut Frontend,
        query: QueryId,
        view: SubmitView,
    ) {
        let asked = |pending: &&Pending| pending.relayed == Some(query);
        let found = self.parts.values_mut().find_map(|part| {
            let id = part.waiting.values().find(asked)?.job.id.clone();
            part.waiting.remove(&id)
        });
        let Some(mut pending) = found else { return };
        match view {
            SubmitView::Accepted => finish(ctx, frontend, &pending, view),
            SubmitView::NotRun | SubmitView::Unknown => {
                pending.relayed = None;
                pending.unknown |= view == SubmitView::Unknown;
                let number = part_of(&pending.job.id);
                let part = self.parts.entry(number).or_default();
                part.waiting.insert(pending.job.id.clone(), pending);
            }
        }
    }

    pub(crate) fn tick(&mut self, ctx: &mut Ctx, frontend: &mut Frontend) {
        let down = ctx.store_is_down();
        for part in self.parts.values_mut() {
            let given_up = |pending: &Pending| {
                let waited = ctx.now.since(pending.since);
                let limit = match (pending.is_unknown(), down) {
                    (true, _) => consts::SUBMIT_UNKNOWN_TIMEOUT_MS,
                    (false, true) => Millis(0),
                    (false, false) => consts::SUBMIT_REFUSED_TIMEOUT_MS,
                };
                waited >= limit
            };
            let ids: Vec<JobId> = part
                .waiting
                .values()
                .filter(|pending| given_up(pending))
                .map(|pending| pending.job.id.clone())
                .collect();
            for pending in ids.iter().filter_map(|id| part.waiting.remove(id)) {
                let view = match pending.is_unknown() {
                    true => SubmitView::Unknown,
                    false => SubmitView::NotRun,
                };
                finish(ctx, frontend, &pending, view);
            }
        }
        for number in 0..consts::JOB_PARTITIONS {
            self.flush(ctx, number);
        }
    }
}

fn finish(ctx: &mut Ctx, frontend: &mut Frontend, pending: &Pending, view: SubmitView) {
    let waited_ms = ctx.now.since(pending.since);
    let line = match view {
        SubmitView::Accepted => LogEvent::info("job_accepted"),
        SubmitView::NotRun | SubmitView::Unknown => LogEvent::warn("job_not_accepted"),
    };
    let team = pending.job.team.as_ref().map_or("-", |team| team.as_str());
    let line = line
        .with("job", &pending.job.id)
        .with("queue", &pending.job.queue);
    let line = line
        .with("team", team)
        .with("outcome", format_args!("{view:?}"));
    ctx.log(line.with("waited_ms", waited_ms.0));
    for waiter in &pending.waiters {
        match *waiter {
            Waiter::Client(call) => frontend.answer(ctx, call, answer_of(view)),
            Waiter::Peer(link, query) => ctx.send_member(link, ToMember::Submitted { query, view }),
        }
    }
}

fn answer_of(view: SubmitView) -> ClientAnswer {
    match view {
        SubmitView::Accepted => ClientAnswer::Accepted,
        SubmitView::NotRun => ClientAnswer::NotRun {
            reason: "the job could not be put on record",
            retry_after_ms: consts::RETRY_AFTER_MS,
        },
        SubmitView::Unknown => ClientAnswer::Unknown,
    }
}

fn verdict_of(pending: &Pending, reply: &StoreReply) -> Verdict {
    match reply {
        StoreReply::Written(version) => Verdict::Accepted(*version),
        StoreReply::Conflict(rows) => {
            let key = job_key(&pending.job.id);
            let exists = |row: &&Row| row.key == key && row.version > RowVersion(0);
            match rows.iter().find(exists) {
                None => Verdict::Retry { unknown: false },
                Some(row) if is_same(&row.value, &pending.job) => Verdict::Accepted(row.version),
                Some(_) => Verdict::Taken,
            }
        }
        StoreReply::Refused(_) => Verdict::Retry { unknown: false },
        _ => Verdict::Retry { unknown: true },
    }
}

/// Says whether a row on record holds the same submission, taken in at any time.
fn is_same(value: &RowValue, job: &JobRow) -> bool {
    match value {
        RowValue::Job(stored) => {
            (&stored.queue, &stored.team, &stored.work) == (&job.queue, &job.team, &job.work)
        }
        _ => false,
    }
}
