//! Which waiting step starts next, and where: by the latest time at which it can still be done in
//! time, over the whole fleet.

use crate::{
    cell::{
        consts,
        leader::{
            fleet::WorkerIx,
            placement::{best_fit, place_gang, Candidate},
            worker::Worker,
            Leader,
        },
        node::Ctx,
        AdviceCost, DesiredState, Line, Queue, StepKey, TaskKey,
    },
    JobId, Millis, Resources, TeamName,
};
use std::collections::BTreeMap;

/// How old the estimate of a worker's clock may be when work is started on it.
const CLOCK_AGE_MS: Millis = Millis(6_000);
/// What speaks against a worker on which a run of the step has failed.
const FAILED_PENALTY: u32 = 4;
/// What speaks against a worker without the step's data nearby.
const FAR_PENALTY: u32 = 2;
/// What speaks against a worker whose last runs have all failed.
const SICK_PENALTY: u32 = 8;
/// The part of a span by which a worker's clock may be slow: 2%.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// The most waiting steps that one pass looks at: bounds its time when the fleet is over-full.
const MOST_TURNS: usize = 100;
/// The most waiting steps of which one pass finds out whether they could start at all.
const MOST_READY: usize = 600;
/// The most gangs for which room is kept at a time.
const KEPT_GANGS: usize = 2;

/// A waiting step with the latest time at which it can start and still end in time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    latest_start_ms: u64,
    key: StepKey,
}

/// What a pass over the waiting steps keeps in mind.
struct Pass {
    /// Whether jobs that an earlier leader may have started can start.
    old_jobs: bool,
    /// The room kept on workers for gangs that come first.
    kept: BTreeMap<WorkerIx, Resources>,
    kept_gangs: usize,
    /// The workers on which work may start, with the room that is left for what comes next.
    open: Vec<(WorkerIx, Resources)>,
    /// The most of each resource that one of them has left.
    most: Resources,
}

impl Pass {
    /// Takes room that a step will use, so that later steps do not count on it.
    fn take(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self.open.binary_search_by_key(&ix, |(own, _)| *own) {
            self.open[at].1 = self.open[at].1.minus(*need);
        }
        self.note_most();
    }

    /// Gives room back that was kept for a step.
    fn give(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self.open.binary_search_by_key(&ix, |(own, _)| *own) {
            self.open[at].1 = self.open[at].1.plus(*need);
            self.most = self.most.max(self.open[at].1);
        }
    }

    fn note_most(&mut self) {
        let rooms = self.open.iter().map(|(_, room)| *room);
        self.most = rooms.fold(Resources::default(), Resources::max);
    }
}

impl Leader {
    /// Starts all that can start, in order.
    pub(crate) fn pass(&mut self, ctx: &mut Ctx, state: &DesiredState) {
        self.void_tickets();
        let mut pass = Pass {
            old_jobs: self.may_start_old(ctx),
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
            let open = pass.old_jobs || job.version.0 > self.token.0;
            let Some(queue) = state.queue(&job.row.queue) else {
                continue;
            };
            let spec = &job.row.work.steps[usize::from(turn.key.step)];
            let need = spec.need;
            let least = if spec.gang { u64::from(spec.count) } else { 1 };
            if self.team_room(state, job.row.team.as_ref(), &need) < least {
                continue;
            }
            let planned = job.steps[usize::from(turn.key.step)].plan.is_some();
            if !open || !(planned || need.fits(&pass.most)) {
                continue;
            }
            let step = &job.steps[usize::from(turn.key.step)];
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

    /// Says whether a job that an earlier leader may have started can start: all workers that it may
    /// run on have listed their runs, or their leases are over. That leader gave no order after this
    /// one took the lead.
    fn may_start_old(&self, ctx: &Ctx) -> bool {
        let unreached = |worker: &Worker| worker.on_roster && !worker.contact;
        let all = !self.fleet.iter().any(|(_, worker)| unreached(worker));
        self.generation == 1 || all || ctx.now.since(self.since) > self.longest_lease_ms(ctx)
    }

    /// Returns after which time the leases of earlier leaders are over.
    pub(crate) fn longest_lease_ms(&self, ctx: &Ctx) -> Millis {
        let lease_ms = ctx.settings.max_lease_ms;
        lease_ms + Millis(lease_ms.0 / CLOCK_DRIFT_DIVISOR) + consts::LEASE_MARGIN_MS
    }

    /// Returns the latest time at which a step can start so that its job ends in time.
    pub(crate) fn latest_start_ms(&self, key: &StepKey) -> Option<u64> {
        let job = self.jobs.get(&key.job)?;
        let queue = self.state.as_ref()?.queue(&job.row.queue)?;
        if job.surplus {
            // It stands with what is late, before what is later.
            return Some(job.accepted_at.0.saturating_sub(1));
        }
        let due_ms = job.accepted_at.0 + job.objective_ms(queue);
        Some(due_ms.saturating_sub(job.steps[usize::from(key.step)].path_ms))
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
        let rank = self.latest_start_ms(key).unwrap_or(u64::MAX);
        let workers = self.unasked(now, queue, key, job.row.work.steps[at].gang);
        self.ask_advice(now, key, workers, rank, cost);
    }

    /// Returns the workers to ask for advice about, those with most room first.
    fn unasked(&self, now: Millis, queue: &Queue, key: &StepKey, gang: bool) -> Vec<WorkerIx> {
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
    fn candidates(
        &self,
        queue: &Queue,
        key: &StepKey,
        pass: &Pass,
    ) -> Vec<Candidate> {
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
            let here = || step.tasks.iter().filter(|task| task.worker == Some(ix)).count() as u32;
            let far = spec.affinity.as_ref().is_some_and(|rack| own.rack() != Some(rack));
            let count = racks.len() as u32;
            let named = own.rack().filter(|_| spec.same_rack);
            let rack = named.map_or(0, |rack| *racks.entry(rack).or_insert(count + 1));
            let failed = u32::from(step.failed_on.contains(&ix)) * FAILED_PENALTY;
            let sick = u32::from(own.failures >= consts::QUARANTINE_FAILURES) * SICK_PENALTY;
            list.push(Candidate {
                ix,
                free: room,
                left: spec.per_worker.map_or(u32::MAX, |most| most.saturating_sub(here())),
                penalty: u32::from(far) * FAR_PENALTY + failed + sick,
                rack,
            });
        }
        list
    }

    /// Returns how many more tasks of this size a team may have running.
    fn team_room(&self, state: &DesiredState, team: Option<&TeamName>, need: &Resources) -> u64 {
        let Some(team) = team.and_then(|name| state.team(name)) else {
            return u64::MAX;
        };
        let used = self.used.get(&team.name).copied().unwrap_or_default();
        let parts = team.cap.parts().into_iter().zip(used.parts()).zip(need.parts());
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
        let waiting = tasks.filter(|(index, task)| {
            task.worker.is_none() && !job.is_done(at, *index as u32)
        });
        let waiting: Vec<u32> = waiting.map(|(index, _)| index as u32).collect();
        let mut renewed = Vec::new();
        let mut left = 0;
        for index in waiting.into_iter().take(usize::try_from(room).unwrap_or(usize::MAX)) {
            if let Some(place) = best_fit(&ready, &need) {
                ready[place].take(&need);
                pass.take(ready[place].ix, &need);
                self.start_one(ctx, queue, key, index, ready[place].ix);
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
            Some(job.steps[usize::from(turn.key.step)].advice.asking.is_some())
        };
        if advice(self).unwrap_or(true) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&turn.key.job) {
            job.steps[usize::from(turn.key.step)].renewing.clone_from(&workers);
        }
        workers.sort_unstable();
        workers.dedup();
        if workers.is_empty() {
            workers = self.unasked(now, queue, &turn.key, false);
            workers.retain(|ix| self.fleet.get(*ix).free().cpu_milli > 0);
        }
        self.ask_advice(now, &turn.key, workers, turn.latest_start_ms, cost);
    }

    fn start_one(&mut self, ctx: &mut Ctx, queue: &Queue, key: &StepKey, index: u32, ix: WorkerIx) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let number = self.next_run(job.steps[at].tasks[index as usize].run);
        let ticket = job.steps[at].advice.ticket(ix, ctx.now).cloned();
        let ticket = ticket.filter(|_| queue.advice.is_some());
        let task = TaskKey {
            step: key.clone(),
            index,
        };
        self.start(ctx, ix, task, number, ticket);
    }

    /// Returns a run number above all that this and earlier leaders may have used.
    fn next_run(&self, last: u32) -> u32 {
        let first = (self.generation - 1) * consts::RUNS_A_LEADER + 1;
        first.max(last + 1)
    }

    /// Starts a gang if there is room for all of it, or keeps room for it.
    fn place_whole(
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
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (need, count) = (job.row.work.steps[at].need, job.row.work.steps[at].count);
        let one_rack = job.row.work.steps[at].same_rack;
        if self.team_room(state, job.row.team.as_ref(), &need) < u64::from(count) {
            return;
        }
        if let Some(places) = self.planned(ctx.now, queue, key) {
            self.drop_plan(key);
            return self.start_gang(ctx, queue, key, &places);
        }
        for ix in self.drop_plan(key) {
            pass.give(ix, &need);
        }
        let candidates = self.candidates(queue, key, pass);
        let Some(places) = place_gang(&candidates, &need, count, one_rack) else {
            if let Some(cost) = queue.advice {
                let workers = self.unasked(now, queue, key, true);
                self.ask_advice(now, key, workers, turn.latest_start_ms, cost);
            }
            return self.keep_room(now, queue, turn, pass);
        };
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        for ix in &places {
            pass.take(*ix, &need);
        }
        let advice = &job.steps[at].advice;
        let mut stale = places.clone();
        stale.retain(|ix| queue.advice.is_some() && advice.ticket(*ix, now).is_none());
        stale.dedup();
        match queue.advice {
            Some(cost) if !stale.is_empty() => {
                self.plan(key, places, need);
                self.ask_advice(now, key, stale, turn.latest_start_ms, cost);
            }
            _ => self.start_gang(ctx, queue, key, &places),
        }
    }

    fn start_gang(&mut self, ctx: &mut Ctx, queue: &Queue, key: &StepKey, places: &[WorkerIx]) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let last = job.steps[at].tasks.iter().map(|task| task.run).max();
        let number = self.next_run(last.unwrap_or(0));
        let line = Line::info("gang_placed").with("step", key).with("members", places.len());
        ctx.log(line.with("run", number));
        for (index, &ix) in places.iter().enumerate() {
            let Some(job) = self.jobs.get(&key.job) else {
                return;
            };
            let ticket = job.steps[at].advice.ticket(ix, ctx.now).cloned();
            let ticket = ticket.filter(|_| queue.advice.is_some());
            let task = TaskKey {
                step: key.clone(),
                index: index as u32,
            };
            self.start(ctx, ix, task, number, ticket);
        }
        self.refresh_job(&key.job);
    }

    /// Keeps the room of a gang's members while their tickets are fetched.
    fn plan(&mut self, key: &StepKey, places: Vec<WorkerIx>, need: Resources) {
        for &ix in &places {
            let worker = self.fleet.get_mut(ix);
            worker.reserved = worker.reserved.plus(need);
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.steps[usize::from(key.step)].plan = Some(places);
        }
    }

    /// Returns the places of a plan, if the gang can start on them now.
    fn planned(&self, now: Millis, queue: &Queue, key: &StepKey) -> Option<Vec<WorkerIx>> {
        let step = &self.jobs.get(&key.job)?.steps[usize::from(key.step)];
        let places = step.plan.as_ref()?;
        let open = |ix: &WorkerIx| {
            let ticket = queue.advice.is_none() || step.advice.ticket(*ix, now).is_some();
            ticket && self.fleet.get(*ix).is_usable(now, CLOCK_AGE_MS)
        };
        places.iter().all(open).then(|| places.clone())
    }

    /// Gives the room of a plan back and returns where it was.
    fn drop_plan(&mut self, key: &StepKey) -> Vec<WorkerIx> {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return Vec::new();
        };
        let need = job.row.work.steps[at].need;
        let places = job.steps[at].plan.take().unwrap_or_default();
        for &ix in &places {
            let worker = self.fleet.get_mut(ix);
            worker.reserved = worker.reserved.minus(need);
        }
        places
    }

    /// Drops all plans of a job that has ended.
    pub(crate) fn drop_plans(&mut self, id: &JobId) {
        let count = self.jobs.get(id).map_or(0, |job| job.steps.len());
        for step in 0..count as u16 {
            let job = id.clone();
            let occurrence = 0;
            self.drop_plan(&StepKey {
                job,
                occurrence,
                step,
            });
        }
    }

    /// Keeps workers for a gang that comes first and finds no room: those with most room.
    fn keep_room(&mut self, now: Millis, queue: &Queue, turn: &Turn, pass: &mut Pass) {
        if pass.kept_gangs >= KEPT_GANGS || turn.latest_start_ms < now.0 {
            return;
        }
        let key = &turn.key;
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (spec, advice) = (&job.row.work.steps[at], &job.steps[at].advice);
        let mut allowed: Vec<(u64, WorkerIx)> = self
            .fleet
            .iter()
            .filter(|(ix, own)| {
                let serves = own.entry.service == queue.service && own.is_usable(now, CLOCK_AGE_MS);
                let open = queue.advice.is_none() || advice.allows(*ix);
                serves && open && !pass.kept.contains_key(ix) && spec.need.fits(&own.entry.room)
            })
            .map(|(ix, own)| (u64::MAX - own.free().cpu_milli, ix))
            .collect();
        allowed.sort_unstable();
        let mut missing = u64::from(spec.count);
        let mut kept = Vec::new();
        for (_, ix) in allowed {
            if missing == 0 {
                break;
            }
            let room = self.fleet.get(ix).entry.room;
            missing = missing.saturating_sub(spec.need.copies_in(&room));
            kept.push((ix, room));
        }
        if missing == 0 {
            pass.kept.extend(kept);
            pass.kept_gangs += 1;
            let kept = &pass.kept;
            pass.open.retain(|(ix, _)| !kept.contains_key(ix));
            pass.note_most();
        }
    }
}
