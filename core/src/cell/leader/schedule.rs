//! Which waiting step starts next, and where: by the latest time at which it can still be done in
//! time, over the whole fleet.

use crate::{
    cell::{
        consts,
        leader::{
            fleet::WorkerIx,
            jobs::Job,
            placement::{best_fit, Candidate},
            ready::Rank,
            Leader,
        },
        node::Ctx,
        AdviceCost, DesiredState, Queue, StepKey, TaskKey,
    },
    Millis, Resources, TeamName,
};
use std::collections::BTreeMap;

/// How old the estimate of a worker's clock may be when work is started on it.
pub(crate) const CLOCK_AGE_MS: Millis = Millis(6_000);
/// What speaks against a worker on which a run of the step has failed.
const FAILED_PENALTY: u32 = 4;
/// What speaks against a worker without the step's data nearby.
const FAR_PENALTY: u32 = 2;
/// What speaks against a worker whose last runs have all failed.
const SICK_PENALTY: u32 = 8;
/// The part of a span by which a worker's clock may be slow: 2%.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// A result is of some use to its caller up to this many times the objective: the service's terms.
const USEFUL_FACTOR: u64 = 3;
/// The most waiting steps that one pass looks at: bounds its time when the fleet is over-full.
const MOST_TURNS: usize = 100;
/// The most waiting steps of which one pass finds out whether they could start at all.
const MOST_READY: usize = 600;
/// A waiting step with the latest time at which it can start and still end in time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Turn {
    pub(crate) latest_start_ms: u64,
    pub(crate) key: StepKey,
}

/// What a pass over the waiting steps keeps in mind.
pub(crate) struct Pass {
    /// The room kept on workers for gangs that come first.
    pub(crate) kept: BTreeMap<WorkerIx, Resources>,
    pub(crate) kept_gangs: usize,
    /// The workers on which work may start, with the room that is left for what comes next.
    pub(crate) open: Vec<(WorkerIx, Resources)>,
    /// The most of each resource that one of them has left.
    most: Resources,
}

impl Pass {
    /// Takes room that a step will use, so that later steps do not count on it.
    pub(crate) fn take(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self.open.binary_search_by_key(&ix, |(own, _)| *own) {
            self.open[at].1 = self.open[at].1.minus(*need);
        }
        self.note_most();
    }

    /// Gives room back that was kept for a step.
    pub(crate) fn give(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self.open.binary_search_by_key(&ix, |(own, _)| *own) {
            self.open[at].1 = self.open[at].1.plus(*need);
            self.most = self.most.max(self.open[at].1);
        }
    }

    pub(crate) fn note_most(&mut self) {
        let rooms = self.open.iter().map(|(_, room)| *room);
        self.most = rooms.fold(Resources::default(), Resources::max);
    }
}

impl Leader {
    /// Starts all that can start, in order.
    pub(crate) fn pass(&mut self, ctx: &mut Ctx, state: &DesiredState) {
        self.void_tickets();
        let mut pass = Pass {
            kept: BTreeMap::new(),
            kept_gangs: 0,
            open: Vec::new(),
            most: Resources::default(),
        };
        let workers = self.fleet.iter();
        let open = workers.filter(|(_, own)| own.is_usable(ctx.now, CLOCK_AGE_MS));
        pass.open = open.map(|(ix, own)| (ix, own.free())).collect();
        pass.note_most();
        let mut looked_at = 0;
        for (latest_start_ms, key) in self.ready.in_order(ctx.now.0, MOST_READY) {
            let turn = Turn {
                latest_start_ms,
                key,
            };
            let Some(job) = self.jobs.get(&turn.key.job) else {
                continue;
            };
            let Some(queue) = state.queue(&job.row.queue) else {
                continue;
            };
            let at = usize::from(turn.key.step);
            if !self.may_fit(state, &pass, job, at) {
                continue;
            }
            let (step, need) = (&job.steps[at], job.row.work.steps[at].need);
            if step.advice.asking.is_some() {
                // Its room stays its own until the tickets come.
                for ix in step.renewing.clone() {
                    pass.take(ix, &need);
                }
                continue;
            }
            self.place_step(ctx, state, queue, &turn, &mut pass);
            looked_at += 1;
            if looked_at == MOST_TURNS {
                break;
            }
        }
    }

    /// Says whether a step's team may run more, and whether some worker has room for a task of it.
    fn may_fit(&self, state: &DesiredState, pass: &Pass, job: &Job, at: usize) -> bool {
        let spec = &job.row.work.steps[at];
        let least = if spec.gang { u64::from(spec.count) } else { 1 };
        let room = self.team_room(state, job.row.team.as_ref(), &spec.need);
        let planned = job.steps[at].plan.is_some();
        room >= least && (planned || spec.need.fits(&pass.most))
    }

    /// Returns after which time the leases of earlier leaders are over.
    pub(crate) fn longest_lease_ms(&self, ctx: &Ctx) -> Millis {
        let lease_ms = ctx.settings.max_lease_ms;
        lease_ms + Millis(lease_ms.0 / CLOCK_DRIFT_DIVISOR) + consts::LEASE_MARGIN_MS
    }

    /// Returns what decides when a step's turn comes; a job of a withdrawn queue has no objective.
    pub(crate) fn rank(&self, key: &StepKey) -> Rank {
        let job = self.jobs.get(&key.job);
        let queue = job.and_then(|job| self.state.as_ref()?.queue(&job.row.queue));
        let (Some(job), Some(queue)) = (job, queue) else {
            return Rank {
                latest_start_ms: u64::MAX,
                ..Rank::default()
            };
        };
        let (accepted_ms, objective_ms) = (job.accepted_at.0, job.objective_ms(queue));
        let path_ms = job.steps[usize::from(key.step)].path_ms;
        let start_for = |end_ms: u64| end_ms.saturating_sub(path_ms);
        let latest_start_ms = match job.surplus {
            // It stands with what is late.
            true => accepted_ms.saturating_sub(1),
            false => start_for(accepted_ms + objective_ms),
        };
        Rank {
            latest_start_ms,
            useful_start_ms: start_for(accepted_ms + objective_ms * USEFUL_FACTOR),
            work: job.row.work.work(),
        }
    }

    fn place_step(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        queue: &Queue,
        turn: &Turn,
        pass: &mut Pass,
    ) {
        let key = &turn.key;
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let gang = job.row.work.steps[at].gang;
        let advice = &job.steps[at].advice;
        if queue.advice.is_some() && advice.verdicts.is_empty() {
            if advice.asking.is_none() && ctx.now >= advice.retry_at {
                self.ask_first(ctx.now, state, key);
            }
            return;
        }
        if gang {
            self.place_whole(ctx, state, queue, turn, pass);
        } else {
            self.place_singles(ctx, state, queue, turn, pass);
        }
    }

    /// Asks for advice on a step for the first time, as soon as its turn has come.
    pub(crate) fn ask_first(&mut self, now: Millis, state: &DesiredState, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let at = usize::from(key.step);
        let queue = state.queue(&job.row.queue);
        let Some((queue, cost)) = queue.and_then(|queue| Some((queue, queue.advice?))) else {
            return;
        };
        let rank = self.rank(key).latest_start_ms;
        let workers = self.unasked(now, queue, key, job.row.work.steps[at].gang);
        self.ask_advice(now, key, workers, rank, cost);
    }

    /// Returns the workers to ask for advice about, those with most room first.
    pub(crate) fn unasked(
        &self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        gang: bool,
    ) -> Vec<WorkerIx> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let at = usize::from(key.step);
        let (spec, advice) = (&job.row.work.steps[at], &job.steps[at].advice);
        let mut workers: Vec<(u64, WorkerIx)> = self
            .fleet
            .iter()
            .filter(|(ix, own)| {
                let serves = own.entry.service == queue.service && own.is_usable(now, CLOCK_AGE_MS);
                let label = spec.requirement.as_ref();
                let labelled = label.is_none_or(|label| own.has_label(label));
                let fits = spec.need.fits(&own.entry.room);
                serves && labelled && fits && !advice.verdicts.contains_key(ix)
            })
            .map(|(ix, own)| (u64::MAX - own.free().cpu_milli, ix))
            .collect();
        workers.sort_unstable();
        let most = match gang {
            true => consts::ADVICE_WORKERS,
            false => consts::ADVICE_SINGLES,
        };
        workers.into_iter().take(most).map(|(_, ix)| ix).collect()
    }

    /// Returns the workers that may run a step, with their free room less what is kept on them.
    pub(crate) fn candidates(&self, queue: &Queue, key: &StepKey, pass: &Pass) -> Vec<Candidate> {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let (spec, step) = (&job.row.work.steps[at], &job.steps[at]);
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        let mut list = Vec::new();
        for &(ix, room) in pass.open.iter().filter(|(_, room)| spec.need.fits(room)) {
            let own = self.fleet.get(ix);
            let serves = own.entry.service == queue.service;
            let allowed = queue.advice.is_none() || step.advice.allows(ix);
            let label = spec.requirement.as_ref();
            if !serves || !allowed || !label.is_none_or(|label| own.has_label(label)) {
                continue;
            }
            let here = || {
                step.tasks
                    .iter()
                    .filter(|task| task.worker == Some(ix))
                    .count() as u32
            };
            let far = spec
                .affinity
                .as_ref()
                .is_some_and(|rack| own.rack() != Some(rack));
            let count = racks.len() as u32;
            let named = own.rack().filter(|_| spec.same_rack);
            let rack = named.map_or(0, |rack| *racks.entry(rack).or_insert(count + 1));
            let failed = u32::from(step.failed_on.contains(&ix)) * FAILED_PENALTY;
            let sick = u32::from(own.failures >= consts::QUARANTINE_FAILURES) * SICK_PENALTY;
            list.push(Candidate {
                ix,
                free: room,
                left: spec
                    .per_worker
                    .map_or(u32::MAX, |most| most.saturating_sub(here())),
                penalty: u32::from(far) * FAR_PENALTY + failed + sick,
                rack,
            });
        }
        list
    }

    /// Returns how many more tasks of this size a team may have running.
    pub(crate) fn team_room(
        &self,
        state: &DesiredState,
        team: Option<&TeamName>,
        need: &Resources,
    ) -> u64 {
        let Some(team) = team.and_then(|name| state.team(name)) else {
            return u64::MAX;
        };
        let used = self.used.get(&team.name).copied().unwrap_or_default();
        let parts = team
            .cap
            .amounts()
            .into_iter()
            .zip(used.amounts())
            .zip(need.amounts());
        let room = parts.filter(|((cap, _), need)| *cap > 0 && *need > 0);
        room.map(|((cap, used), need)| cap.saturating_sub(used) / need)
            .min()
            .unwrap_or(u64::MAX)
    }

    fn place_singles(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        queue: &Queue,
        turn: &Turn,
        pass: &mut Pass,
    ) {
        let key = &turn.key;
        let at = usize::from(key.step);
        let now = ctx.now;
        let mut candidates = self.candidates(queue, key, pass);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let need = job.row.work.steps[at].need;
        let room = self.team_room(state, job.row.team.as_ref(), &need);
        let advice = &job.steps[at].advice;
        let (mut ready, mut stale): (Vec<Candidate>, Vec<Candidate>) = candidates
            .drain(..)
            .partition(|own| queue.advice.is_none() || advice.ticket(own.ix, now).is_some());
        let tasks = job.steps[at].tasks.iter().enumerate();
        let waiting =
            tasks.filter(|(index, task)| task.worker.is_none() && !job.is_done(at, *index as u32));
        let waiting: Vec<u32> = waiting.map(|(index, _)| index as u32).collect();
        let mut renewed = Vec::new();
        let mut left = 0;
        for index in waiting
            .into_iter()
            .take(usize::try_from(room).unwrap_or(usize::MAX))
        {
            if let Some(place) = best_fit(&ready, &need) {
                ready[place].take(&need);
                pass.take(ready[place].ix, &need);
                self.place_one(key, index, ready[place].ix);
            } else if let Some(place) = best_fit(&stale, &need) {
                stale[place].take(&need);
                pass.take(stale[place].ix, &need);
                renewed.push(stale[place].ix);
            } else {
                left += 1;
            }
        }
        self.refresh_job(&key.job);
        if let (Some(cost), true) = (queue.advice, left > 0 || !renewed.is_empty()) {
            self.ask_more(now, queue, turn, renewed, cost);
        }
    }

    /// Asks for new tickets where there is room, or else about workers that were not asked about.
    fn ask_more(
        &mut self,
        now: Millis,
        queue: &Queue,
        turn: &Turn,
        mut workers: Vec<WorkerIx>,
        cost: AdviceCost,
    ) {
        let advice = |leader: &Self| {
            let job = leader.jobs.get(&turn.key.job)?;
            Some(
                job.steps[usize::from(turn.key.step)]
                    .advice
                    .asking
                    .is_some(),
            )
        };
        if advice(self).unwrap_or(true) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&turn.key.job) {
            job.steps[usize::from(turn.key.step)]
                .renewing
                .clone_from(&workers);
        }
        workers.sort_unstable();
        workers.dedup();
        if workers.is_empty() {
            workers = self.unasked(now, queue, &turn.key, false);
            workers.retain(|ix| self.fleet.get(*ix).free().cpu_milli > 0);
        }
        self.ask_advice(now, &turn.key, workers, turn.latest_start_ms, cost);
    }

    fn place_one(&mut self, key: &StepKey, index: u32, ix: WorkerIx) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let number = self.next_run(job.steps[at].tasks[index as usize].run);
        let task = TaskKey {
            step: key.clone(),
            index,
        };
        self.place(ix, task, number);
    }

    /// Returns a run number above all that this and earlier leaders may have used.
    pub(crate) fn next_run(&self, last: u32) -> u32 {
        let first = (self.generation - 1) * consts::RUNS_A_LEADER + 1;
        first.max(last + 1)
    }
}
