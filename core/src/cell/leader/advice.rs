//! Advice: which workers may run a step, and the tickets that let its tasks start there.
//!
//! Calls are scarce: the service takes one at a time from each daemon. So they are spread over all
//! daemons, a long call never holds up the daemons that short calls are kept for, and what was said
//! is remembered, since which workers may run a step does not change.

use crate::{
    cell::{
        consts,
        leader::{fleet::WorkerIx, Leader},
        node::{Ctx, OWN_LINK},
        AdviceCost, AdviceReply, AskId, Line, LinkId, StepKey, TaskKey, Ticket, ToMember,
    },
    Millis, WorkerId,
};
use std::collections::BTreeMap;

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
    pub(crate) asking: Option<AskId>,
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

    fn limit_ms(&self) -> Millis {
        Millis(self.cost_us() / 1_000) + consts::ADVICE_LIMIT_MS
    }
}

/// The calls for advice that wait or are on their way.
#[derive(Debug)]
pub(crate) struct AdviceDesk {
    asks: BTreeMap<AskId, Ask>,
    last: u64,
    /// The daemons that can call, with the time until which one rests after a failure.
    lanes: BTreeMap<LinkId, Millis>,
    /// Workers whose tickets of an earlier life are void.
    void: Vec<WorkerIx>,
}

impl Default for AdviceDesk {
    fn default() -> Self {
        Self {
            asks: BTreeMap::new(),
            last: 0,
            lanes: BTreeMap::from([(OWN_LINK, Millis(0))]),
            void: Vec::new(),
        }
    }
}

impl AdviceDesk {
    pub(crate) fn add_lane(&mut self, link: LinkId) {
        self.lanes.insert(link, Millis(0));
    }

    /// Takes a daemon out; its calls are made again by another.
    pub(crate) fn drop_lane(&mut self, _: Millis, link: LinkId) {
        self.lanes.remove(&link);
        for ask in self.asks.values_mut() {
            if ask.sent.is_some_and(|(lane, _)| lane == link) {
                ask.sent = None;
            }
        }
    }

    /// Notes that tickets for a worker are void.
    pub(crate) fn forget_tickets(&mut self, ix: WorkerIx) {
        self.void.push(ix);
    }

    fn add(&mut self, ask: Ask) -> AskId {
        self.last += 1;
        let id = AskId(self.last);
        self.asks.insert(id, ask);
        id
    }

    /// Chooses the daemon for a call: an idle one, and for a long call one of the first two thirds.
    fn lane_for(&self, now: Millis, long: bool) -> Option<LinkId> {
        let busy = |link: &LinkId| {
            let mut sent = self.asks.values().filter_map(|ask| ask.sent);
            sent.any(|(lane, _)| lane == *link)
        };
        let most = match (long, self.lanes.len()) {
            (true, count) if count > 1 => count - (count / 3).max(1),
            (_, count) => count,
        };
        let long_sent = |ask: &&Ask| ask.sent.is_some() && ask.is_long();
        if long && self.asks.values().filter(long_sent).count() >= most {
            return None;
        }
        let free = |(link, rests): &(&LinkId, &Millis)| now >= **rests && !busy(link);
        let mut lanes = self.lanes.iter().filter(free).map(|(link, _)| *link);
        // The leader's own daemon comes last for long calls: it has most to do.
        match long {
            true => lanes.next_back(),
            false => lanes.next(),
        }
    }
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
        let late = |ask: &Ask| {
            let at = ask.sent.map(|(_, at)| at + ask.limit_ms());
            at.is_some_and(|at| now > at + consts::STORE_RETRY_MS)
        };
        let lost = self.advice.asks.iter().filter(|(_, ask)| late(ask));
        let lost: Vec<AskId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.on_advice(ctx, id, AdviceReply::Lost);
        }
        let waiting = self.advice.asks.iter().filter(|(_, ask)| ask.sent.is_none());
        let mut waiting: Vec<(u64, AskId)> = waiting.map(|(id, ask)| (ask.rank, *id)).collect();
        waiting.sort_unstable();
        for (_, id) in waiting {
            let Some(ask) = self.advice.asks.get(&id) else {
                continue;
            };
            let Some(lane) = self.advice.lane_for(now, ask.is_long()) else {
                continue;
            };
            let name = |ix: &WorkerIx| self.fleet.get(*ix).entry.id.clone();
            let message = ToMember::Advise {
                ask: id,
                step: ask.step.clone(),
                workers: ask.workers.iter().map(name).collect(),
                limit_ms: ask.limit_ms(),
            };
            ctx.to_member(lane, message);
            if let Some(ask) = self.advice.asks.get_mut(&id) {
                ask.sent = Some((lane, now));
            }
        }
    }

    pub(crate) fn on_advice(&mut self, ctx: &mut Ctx, id: AskId, reply: AdviceReply) {
        let Some(ask) = self.advice.asks.remove(&id) else {
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
                let line = Line::info("advice_given").with("step", &ask.step);
                let line = line.with("asked", ask.workers.len()).with("allowed", rows.len());
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
            }
            AdviceReply::Busy | AdviceReply::Lost => {
                advice.retry_at = ctx.now + consts::ADVICE_RETRY_MS;
                if let Some(rests) = ask.sent.and_then(|(link, _)| self.advice.lanes.get_mut(&link)) {
                    *rests = ctx.now + consts::ADVICE_RETRY_MS;
                }
                let line = Line::warn("advice_missing").with("step", &ask.step);
                ctx.log(line.with("reply", format_args!("{reply:?}")).with("took_ms", took_ms.0));
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
