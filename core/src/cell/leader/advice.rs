//! Advice: which workers may run a step, and the tickets that let its tasks start there.
//!
//! Calls are scarce: the service takes one at a time from each daemon. So they are spread over all
//! daemons, a long call never holds up the daemons that short calls are kept for, and what was said
//! is remembered, since which workers may run a step does not change.

use crate::{
    cell::{
        consts,
        leader::{fleet::WorkerIx, Leader},
        node::{Ctx, LOCAL_LINK},
        AdviceCost, AdviceReply, LinkId, LogEvent, QueryId, StepKey, TaskKey, Ticket, ToMember,
    },
    Millis, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of one worker for one step.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// It may not run the step.
    Denied,
    /// It may, with a ticket that lasts until this time.
    Allowed(Ticket, Millis),
}

/// What is known of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    pub(crate) verdicts: BTreeMap<WorkerIx, Verdict>,
    pub(crate) asking: Option<QueryId>,
    pub(crate) retry_at: Millis,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if there is one that lasts.
    pub(crate) fn ticket(&self, ix: WorkerIx, now: Millis) -> Option<&Ticket> {
        match self.verdicts.get(&ix) {
            Some(Verdict::Allowed(ticket, until)) if now < *until => Some(ticket),
            _ => None,
        }
    }

    /// Says whether the worker may run the step, whether or not a ticket is at hand.
    pub(crate) fn allows(&self, ix: WorkerIx) -> bool {
        matches!(self.verdicts.get(&ix), Some(Verdict::Allowed(..)))
    }
}

#[derive(Clone, Debug)]
struct Ask {
    step: StepKey,
    workers: Vec<WorkerIx>,
    cost: AdviceCost,
    /// The order among asks: the latest time at which the step should start.
    rank: u64,
    sent: Option<(LinkId, Millis)>,
}

impl Ask {
    fn cost_us(&self) -> u64 {
        self.cost.base_us + self.cost.per_worker_us * self.workers.len() as u64
    }

    fn is_long(&self) -> bool {
        self.cost_us() >= consts::LONG_ADVICE_US
    }

    fn timeout_ms(&self) -> Millis {
        Millis(self.cost_us() / 1_000) + consts::ADVICE_TIMEOUT_MARGIN_MS
    }
}

/// A call for advice that is on its way.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    id: QueryId,
    long: bool,
    /// When it counts as lost.
    until: Millis,
}

/// A daemon that can call the service.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// The service takes these one after another.
    calls: Vec<OpenCall>,
    /// Until when it rests after a failure.
    rests_until: Millis,
}

impl Lane {
    /// Says whether another call may be sent, so that up to `most` are on their way; none is sent behind a
    /// long one.
    fn takes(&self, most: usize, now: Millis) -> bool {
        let waits = self.calls.iter().any(|call| call.long);
        let most = if waits { 0 } else { most };
        self.calls.len() < most && now >= self.rests_until
    }
}

/// The calls for advice that wait or are on their way.
#[derive(Debug)]
pub(crate) struct AdviceDesk {
    asks: BTreeMap<QueryId, Ask>,
    /// The asks that wait, by rank: short calls and long ones.
    waiting: [BTreeSet<(u64, QueryId)>; 2],
    last: u64,
    lanes: BTreeMap<LinkId, Lane>,
    /// Workers whose tickets of an earlier life are void.
    void: Vec<WorkerIx>,
}

impl Default for AdviceDesk {
    fn default() -> Self {
        Self {
            asks: BTreeMap::new(),
            waiting: [BTreeSet::new(), BTreeSet::new()],
            last: 0,
            lanes: BTreeMap::from([(LOCAL_LINK, Lane::default())]),
            void: Vec::new(),
        }
    }
}

impl AdviceDesk {
    pub(crate) fn add_lane(&mut self, link: LinkId) {
        self.lanes.insert(link, Lane::default());
    }

    /// Takes a daemon out; its call is made again by another.
    pub(crate) fn drop_lane(&mut self, link: LinkId) {
        let lane = self.lanes.remove(&link);
        for call in lane.into_iter().flat_map(|lane| lane.calls) {
            if let Some(ask) = self.asks.get_mut(&call.id) {
                ask.sent = None;
                self.waiting[usize::from(call.long)].insert((ask.rank, call.id));
            }
        }
    }

    /// Notes that tickets for a worker are void.
    pub(crate) fn forget_tickets(&mut self, ix: WorkerIx) {
        self.void.push(ix);
    }

    fn add(&mut self, ask: Ask) -> QueryId {
        self.last += 1;
        let id = QueryId(self.last);
        self.waiting[usize::from(ask.is_long())].insert((ask.rank, id));
        self.asks.insert(id, ask);
        id
    }

    /// Takes an ask out, with the daemon that was to call.
    fn take(&mut self, id: QueryId) -> Option<Ask> {
        let ask = self.asks.remove(&id)?;
        match ask.sent {
            None => {
                self.waiting[usize::from(ask.is_long())].remove(&(ask.rank, id));
            }
            Some((link, _)) => {
                if let Some(lane) = self.lanes.get_mut(&link) {
                    lane.calls.retain(|call| call.id != id);
                }
            }
        }
        Some(ask)
    }

    /// Returns the calls that are not answered in time.
    fn lost(&self, now: Millis) -> Vec<QueryId> {
        let calls = self.lanes.values().flat_map(|lane| &lane.calls);
        let late = calls.filter(|call| now > call.until);
        late.map(|call| call.id).collect()
    }

    /// Chooses the next call and the daemon that makes it. Long calls and short ones each have a third of
    /// the daemons for themselves; the leader's own daemon, which has most to do, comes last for long
    /// ones.
    fn next(&self, now: Millis) -> Option<(QueryId, LinkId)> {
        let count = self.lanes.len();
        let third = if count > 1 { (count / 3).max(1) } else { 0 };
        let long = |lane: &&Lane| lane.calls.iter().any(|call| call.long);
        let long_sent = self.lanes.values().filter(long).count();
        let free = |most: usize| {
            let lanes = self.lanes.iter();
            let free = lanes.filter(move |(_, own)| own.takes(most, now));
            free.map(|(link, lane)| (lane.calls.len(), *link))
        };
        let [short, longs] = &self.waiting;
        let longs = first_in_time(longs, now).filter(|_| long_sent < count - third);
        let owed = longs.is_some() && long_sent < third;
        let long = longs.and_then(|ask| Some((ask, free(1).map(|(_, link)| link).max()?)));
        let short = first_in_time(short, now).and_then(|(rank, id)| {
            // Work in time does not wait for the way of the call before; a surplus does, and all do where
            // a daemon has to come free for a long call.
            let most = match rank >= now.0 && !owed {
                true => consts::MAX_ADVICE_CALLS_PER_DAEMON,
                false => 1,
            };
            let (_, lane) = free(most).min()?;
            Some(((rank, id), lane))
        });
        let first = |((rank, id), _): &((u64, QueryId), LinkId)| (*rank < now.0, *rank, *id);
        let ((_, id), lane) = match (short, long) {
            (Some(_), Some(long)) if owed => long,
            (Some(short), Some(long)) if first(&short) <= first(&long) => short,
            (short, long) => long.or(short)?,
        };
        Some((id, lane))
    }
}

/// Returns the first ask whose step can still end in time, or else the least late one.
fn first_in_time(asks: &BTreeSet<(u64, QueryId)>, now: Millis) -> Option<(u64, QueryId)> {
    let bound = (now.0, QueryId(0));
    let late = || asks.range(..bound).next_back();
    asks.range(bound..).next().or_else(late).copied()
}

impl Leader {
    /// Asks for advice on a step, unless a call for it is open or was just refused.
    pub(crate) fn ask_advice(
        &mut self,
        now: Millis,
        step: &StepKey,
        workers: Vec<WorkerIx>,
        rank: u64,
        cost: AdviceCost,
    ) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let advice = &mut job.steps[usize::from(step.step)].advice;
        if advice.asking.is_some() || now < advice.retry_at || workers.is_empty() {
            return;
        }
        let id = self.advice.add(Ask {
            step: step.clone(),
            workers,
            cost,
            rank,
            sent: None,
        });
        advice.asking = Some(id);
    }

    /// Sends the calls that wait to daemons that are free, and gives lost ones up.
    pub(crate) fn dispatch_advice(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        for id in self.advice.lost(now) {
            self.on_advice(ctx, id, AdviceReply::Lost);
        }
        while let Some((id, lane)) = self.advice.next(now) {
            let Some(ask) = self.advice.asks.get_mut(&id) else {
                return;
            };
            let long = ask.is_long();
            ask.sent = Some((lane, now));
            let name = |ix: &WorkerIx| self.fleet.get(*ix).entry.id.clone();
            let message = ToMember::Advise {
                query: id,
                step: ask.step.clone(),
                workers: ask.workers.iter().map(name).collect(),
                timeout_ms: ask.timeout_ms(),
            };
            let until = now + ask.timeout_ms() + consts::STORE_RETRY_DELAY_MS;
            self.advice.waiting[usize::from(long)].remove(&(ask.rank, id));
            if let Some(lane) = self.advice.lanes.get_mut(&lane) {
                lane.calls.push(OpenCall { id, long, until });
            }
            ctx.send_member(lane, message);
        }
    }

    pub(crate) fn on_advice(&mut self, ctx: &mut Ctx, id: QueryId, reply: AdviceReply) {
        let Some(ask) = self.advice.take(id) else {
            return;
        };
        self.wants_pass = true;
        let Some(job) = self.jobs.get_mut(&ask.step.job) else {
            return;
        };
        let advice = &mut job.steps[usize::from(ask.step.step)].advice;
        advice.asking = None;
        let took_ms = ask.sent.map_or(Millis(0), |(_, at)| ctx.now.since(at));
        match reply {
            AdviceReply::Allowed(rows) => {
                let line = LogEvent::info("advice_given").with("step", &ask.step);
                let line = line
                    .with("asked", ask.workers.len())
                    .with("allowed", rows.len());
                ctx.log(line.with("took_ms", took_ms.0));
                let until = ctx.now + ask.cost.valid_ms.since(consts::TICKET_MARGIN_MS);
                let rows: BTreeMap<WorkerId, Ticket> = rows.into_iter().collect();
                for ix in ask.workers {
                    let verdict = match rows.get(&self.fleet.get(ix).entry.id) {
                        Some(ticket) => Verdict::Allowed(ticket.clone(), until),
                        None => Verdict::Denied,
                    };
                    advice.verdicts.insert(ix, verdict);
                }
                self.refresh_job(&ask.step.job);
            }
            AdviceReply::Busy | AdviceReply::Lost => {
                advice.retry_at = ctx.now + consts::ADVICE_RETRY_DELAY_MS;
                let lane = ask
                    .sent
                    .and_then(|(link, _)| self.advice.lanes.get_mut(&link));
                if let Some(lane) = lane {
                    lane.rests_until = ctx.now + consts::ADVICE_RETRY_DELAY_MS;
                }
                self.refresh_job(&ask.step.job);
                let line = LogEvent::warn("advice_missing").with("step", &ask.step);
                ctx.log(
                    line.with("reply", format_args!("{reply:?}"))
                        .with("took_ms", took_ms.0),
                );
            }
        }
    }

    /// Forgets a ticket that a worker refused.
    pub(crate) fn drop_ticket(&mut self, task: &TaskKey, ix: WorkerIx) {
        let at = usize::from(task.step.step);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let verdicts = &mut job.steps[at].advice.verdicts;
            if let Some(Verdict::Allowed(_, until)) = verdicts.get_mut(&ix) {
                *until = Millis(0);
            }
        }
    }

    /// Makes the tickets void that were given for earlier lives of workers.
    pub(crate) fn void_tickets(&mut self) {
        for ix in std::mem::take(&mut self.advice.void) {
            for step in self.jobs.values_mut().flat_map(|job| &mut job.steps) {
                if let Some(Verdict::Allowed(_, until)) = step.advice.verdicts.get_mut(&ix) {
                    *until = Millis(0);
                }
            }
        }
    }
}
