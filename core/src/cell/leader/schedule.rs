//! Scheduling of the pending steps on the whole fleet.
//!
//! Steps are placed in the order that the `pending` module describes.

use crate::{
    cell::{
        consts,
        leader::{
            fit::{best_fit, Candidate},
            fleet::WorkerIx,
            jobs::Job,
            limit_reservations::min_tasks,
            pending::Rank,
            Leader,
        },
        node::Ctx,
        row_size::max_placement_bytes,
        AdviceCost, DesiredState, Queue, StepKey, TaskKey,
    },
    Millis, Resources, TeamName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum age of the clock reading of a worker on which tasks are started.
pub(crate) const MAX_CLOCK_AGE_MS: Millis = Millis(6_000);
/// Penalty of a worker on which a run of the step has failed.
const FAILED_STEP_PENALTY: u32 = 4;
/// Penalty of a worker outside the rack near the step's data.
const REMOTE_DATA_PENALTY: u32 = 2;
/// Penalty of a worker whose last [`consts::QUARANTINE_FAILURES`] runs or more have all failed.
const FAILING_WORKER_PENALTY: u32 = 8;
/// How slow a worker's clock may run, as a divisor of the elapsed time: 2%.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// By the terms of the service, a result is useful to its caller up to this multiple of the
/// objective.
const USEFUL_FACTOR: u64 = 3;
/// Maximum number of steps that one pass tries to place: bounds its duration on an overloaded
/// fleet.
const MAX_ATTEMPTED_STEPS: usize = 100;
/// Maximum number of steps for which one pass checks whether a task could start at all.
const MAX_SCANNED_STEPS: usize = 600;
/// Maximum number of further steps that one pass tries to place, in turn.
const MAX_ATTEMPTED_IN_TURN: usize = MAX_ATTEMPTED_STEPS / 4;
/// Maximum number of further steps for which one pass checks whether a task could start, in turn.
const MAX_SCANNED_IN_TURN: usize = MAX_SCANNED_STEPS / 4;

/// A pending step with the latest time at which it can start and still end in time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PendingStep {
    pub(crate) latest_start_ms: u64,
    pub(crate) key: StepKey,
}

/// The state of one scheduling pass through the pending steps.
pub(crate) struct SchedulingPass {
    /// Workers that are reserved for gangs, with their total room; later steps are not placed on
    /// them.
    pub(crate) reserved: BTreeMap<WorkerIx, Resources>,
    pub(crate) reserved_gangs: usize,
    /// The steps that the pass has looked at.
    visited: BTreeSet<StepKey>,
    /// The usable workers, with the room that is left for the following steps.
    pub(crate) workers: Vec<(WorkerIx, Resources)>,
    /// The maximum of each resource that is left on any of `workers`.
    largest_free: Resources,
    /// The teams of which the pass has found a step that the team's limit blocks.
    pub(crate) blocked_teams: BTreeSet<TeamName>,
    /// For how many steps the pass has checked whether the workers could run them at all.
    pub(crate) checked_steps: usize,
    /// The most bytes that the placement of a task takes in the row of its job.
    pub(crate) placement_bytes: usize,
}

impl SchedulingPass {
    /// Reserves room for a step, so that later steps do not use it.
    pub(crate) fn reserve(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self
            .workers
            .binary_search_by_key(&ix, |(worker_ix, _)| *worker_ix)
        {
            self.workers[at].1 = self.workers[at].1.minus(*need);
        }
        self.update_largest_free();
    }

    /// Releases room that was reserved for a step.
    pub(crate) fn release(&mut self, ix: WorkerIx, need: &Resources) {
        if let Ok(at) = self
            .workers
            .binary_search_by_key(&ix, |(worker_ix, _)| *worker_ix)
        {
            self.workers[at].1 = self.workers[at].1.plus(*need);
            self.largest_free = self.largest_free.max(self.workers[at].1);
        }
    }

    pub(crate) fn update_largest_free(&mut self) {
        let rooms = self.workers.iter().map(|(_, room)| *room);
        self.largest_free = rooms.fold(Resources::default(), Resources::max);
    }
}

/// The late steps that one pass skips and tries to place. If a pass places none of them, the next one
/// starts after its late steps, so that steps which no worker can run do not block later ones.
#[derive(Debug, Default)]
struct LateAttempts {
    /// How many late steps the pass skips.
    to_skip: usize,
    skipped: usize,
    attempted: usize,
    has_placed: bool,
}

impl LateAttempts {
    /// Returns the number of late steps that the next pass skips if this one reaches
    /// `MAX_ATTEMPTED_STEPS`.
    fn next_to_skip(&self) -> usize {
        match self.has_placed {
            true => 0,
            false => self.skipped + self.attempted,
        }
    }
}

/// What a pass can do with a pending step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepCheck {
    /// Its team is at its limit, or no worker has room.
    Blocked,
    /// A call for its tickets is in flight.
    AwaitsTickets,
    /// Its tasks may be placed.
    Placeable,
}

impl Leader {
    /// Creates the state of a pass at `now` from the free room of all usable workers.
    fn start_pass(&self, now: Millis) -> SchedulingPass {
        let workers = self.fleet.iter();
        let ids = self.fleet.iter().map(|(_, worker)| &worker.entry.id);
        let longest_id = ids.map(|id| id.as_str().len()).max();
        let usable = workers.filter(|(_, worker)| worker.is_usable(now, MAX_CLOCK_AGE_MS));
        let mut pass = SchedulingPass {
            reserved: BTreeMap::new(),
            reserved_gangs: 0,
            visited: BTreeSet::new(),
            workers: usable.map(|(ix, worker)| (ix, worker.free())).collect(),
            largest_free: Resources::default(),
            blocked_teams: BTreeSet::new(),
            checked_steps: 0,
            placement_bytes: max_placement_bytes(longest_id.unwrap_or(0)),
        };
        pass.update_largest_free();
        pass
    }

    /// Places the pending steps, as far as there is room: the first ones in order, then the due ones
    /// and some of the others in turn.
    pub(crate) fn run_pass(&mut self, ctx: &mut Ctx, state: &DesiredState) {
        self.expire_invalidated_tickets();
        self.end_limit_reservations(ctx, state);
        let mut pass = self.start_pass(ctx.now);
        self.work.workers_considered += self.fleet.len() as u64;
        self.place_first_steps(ctx, state, &mut pass);
        self.place_due_steps(ctx, state, &mut pass);
        self.place_steps_in_turn(ctx, state, &mut pass);
    }

    /// Places the first pending steps in order.
    fn place_first_steps(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        pass: &mut SchedulingPass,
    ) {
        let mut attempted_steps = 0;
        let mut late = LateAttempts {
            to_skip: std::mem::take(&mut self.late_steps_to_skip),
            ..LateAttempts::default()
        };
        for (latest_start_ms, key) in self.pending.in_order(ctx.now.0, MAX_SCANNED_STEPS) {
            let pending = PendingStep {
                latest_start_ms,
                key,
            };
            if self.check_step(ctx, state, &pending.key, pass) != StepCheck::Placeable {
                continue;
            }
            let is_late = pending.latest_start_ms < ctx.now.0;
            if is_late && late.skipped < late.to_skip {
                late.skipped += 1;
                continue;
            }
            let running = self.running_tasks(&pending.key);
            self.place_step(ctx, state, &pending, pass);
            attempted_steps += 1;
            if is_late {
                late.attempted += 1;
                late.has_placed |= self.running_tasks(&pending.key) != running;
            }
            if attempted_steps == MAX_ATTEMPTED_STEPS {
                self.late_steps_to_skip = late.next_to_skip();
                break;
            }
        }
    }

    /// Places the due steps that the pass has not looked at. Those with reserved workers stay due.
    fn place_due_steps(&mut self, ctx: &mut Ctx, state: &DesiredState, pass: &mut SchedulingPass) {
        for key in std::mem::take(&mut self.due_steps) {
            if !pass.visited.contains(&key) {
                self.place_due_step(ctx, state, &key, pass);
            }
            if self.has_plan(&key) {
                self.due_steps.insert(key);
            }
        }
    }

    fn place_due_step(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        key: &StepKey,
        pass: &mut SchedulingPass,
    ) {
        let Some(latest_start_ms) = self.pending.latest_start_ms(key) else {
            // Runs of the step that a worker lists have to end first.
            self.release_plan(key);
            return;
        };
        let pending = PendingStep {
            latest_start_ms,
            key: key.clone(),
        };
        if self.check_step(ctx, state, key, pass) == StepCheck::Placeable {
            self.place_step(ctx, state, &pending, pass);
        }
    }

    fn has_plan(&self, key: &StepKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.is_some_and(|job| job.steps[usize::from(key.step)].plan.is_some())
    }

    /// Places steps that the pass has not looked at, beginning behind the last one of the previous
    /// pass, so that any number of steps that can't start hides no other step.
    fn place_steps_in_turn(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        pass: &mut SchedulingPass,
    ) {
        let previous = self.last_in_turn.take();
        let mut attempted_steps = 0;
        for (latest_start_ms, key) in self.pending.in_turn(previous, MAX_SCANNED_IN_TURN) {
            self.last_in_turn = Some((latest_start_ms, key.clone()));
            let pending = PendingStep {
                latest_start_ms,
                key,
            };
            if pass.visited.contains(&pending.key)
                || self.check_step(ctx, state, &pending.key, pass) != StepCheck::Placeable
            {
                continue;
            }
            self.place_step(ctx, state, &pending, pass);
            attempted_steps += 1;
            if attempted_steps == MAX_ATTEMPTED_IN_TURN {
                break;
            }
        }
    }

    /// Checks whether a task of a step could start now. Room that the step waits for stays reserved.
    fn check_step(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        key: &StepKey,
        pass: &mut SchedulingPass,
    ) -> StepCheck {
        self.work.steps_examined += 1;
        let Some(job) = self.jobs.get(&key.job) else {
            return StepCheck::Blocked;
        };
        let at = usize::from(key.step);
        if state.queue(&job.row.queue).is_none() {
            return StepCheck::Blocked;
        }
        if !self.can_fit(state, pass, job, at) {
            pass.visited.insert(key.clone());
            self.release_blocked_plan(ctx, key, pass);
            self.reserve_limit(ctx, state, key, pass);
            return StepCheck::Blocked;
        }
        let (step, need) = (&job.steps[at], job.row.submission.steps[at].need);
        if step.advice.in_flight.is_empty() {
            return StepCheck::Placeable;
        }
        pass.visited.insert(key.clone());
        for &ix in &step.awaiting_tickets {
            pass.reserve(ix, &need);
        }
        StepCheck::AwaitsTickets
    }

    fn running_tasks(&self, key: &StepKey) -> u32 {
        let job = self.jobs.get(&key.job);
        job.map_or(0, |job| job.steps[usize::from(key.step)].running())
    }

    /// Returns whether the step's team may run more tasks and some worker has room for one.
    fn can_fit(&self, state: &DesiredState, pass: &SchedulingPass, job: &Job, at: usize) -> bool {
        let spec = &job.row.submission.steps[at];
        let headroom = self.team_headroom(state, job, at);
        let has_plan = job.steps[at].plan.is_some();
        let headroom = headroom.min(self.row_headroom(job, pass.placement_bytes));
        headroom >= min_tasks(job, at) && (has_plan || spec.need.fits(&pass.largest_free))
    }

    /// Returns how long after this leader's start all leases granted by earlier leaders have
    /// expired.
    pub(crate) fn max_lease_with_drift_ms(&self, ctx: &Ctx) -> Millis {
        let lease_ms = ctx.settings.max_lease_ms;
        lease_ms + Millis(lease_ms.0 / CLOCK_DRIFT_DIVISOR) + consts::WORKER_LEASE_MARGIN_MS
    }

    /// Returns the rank of a step. A job whose queue was removed has no objective and is never
    /// late.
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
        let remaining_path_ms = job.steps[usize::from(key.step)].remaining_path_ms;
        let start_for = |end_ms: u64| end_ms.saturating_sub(remaining_path_ms);
        let latest_start_ms = match job.surplus {
            // Surplus work is ranked with late work.
            true => accepted_ms.saturating_sub(1),
            false => start_for(accepted_ms.saturating_add(objective_ms)),
        };
        Rank {
            latest_start_ms,
            useful_start_ms: start_for(
                accepted_ms.saturating_add(objective_ms.saturating_mul(USEFUL_FACTOR)),
            ),
            work: job.row.submission.total_work(),
        }
    }

    /// Places the tasks of a step, or requests advice on the step if there is none yet.
    fn place_step(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        pending: &PendingStep,
        pass: &mut SchedulingPass,
    ) {
        let key = &pending.key;
        pass.visited.insert(key.clone());
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(queue) = state.queue(&job.row.queue) else {
            return;
        };
        let gang = job.row.submission.steps[at].gang;
        let advice = &job.steps[at].advice;
        if queue.advice.is_some() && advice.permissions.is_empty() {
            if advice.in_flight.is_empty() && ctx.now >= advice.retry_at {
                self.request_first_advice(ctx.now, state, key);
            }
            return;
        }
        if gang {
            self.place_gang(ctx, queue, pending, pass);
        } else {
            self.place_single_tasks(ctx, state, queue, pending, pass);
        }
    }

    /// Requests the first advice on a step.
    pub(crate) fn request_first_advice(
        &mut self,
        now: Millis,
        state: &DesiredState,
        key: &StepKey,
    ) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let at = usize::from(key.step);
        let queue = state.queue(&job.row.queue);
        let Some((queue, cost)) = queue.and_then(|queue| Some((queue, queue.advice?))) else {
            return;
        };
        let latest_start_ms = self.rank(key).latest_start_ms;
        let workers =
            self.workers_without_advice(now, queue, key, job.row.submission.steps[at].gang);
        self.request_advice(now, key, workers, latest_start_ms, cost);
    }

    /// Returns the workers to request advice on, those with the most free processors first.
    pub(crate) fn workers_without_advice(
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
        let (spec, advice) = (&job.row.submission.steps[at], &job.steps[at].advice);
        let mut workers: Vec<(u64, WorkerIx)> = self
            .fleet
            .iter()
            .filter(|(ix, worker)| {
                let serves = worker.entry.service == queue.service
                    && worker.is_usable(now, MAX_CLOCK_AGE_MS);
                let label = spec.requirement.as_ref();
                let labelled = label.is_none_or(|label| worker.has_label(label));
                let fits = spec.need.fits(&worker.entry.capacity);
                serves && labelled && fits && !advice.permissions.contains_key(ix)
            })
            .map(|(ix, worker)| (u64::MAX - worker.free().cpu_milli, ix))
            .collect();
        workers.sort_unstable();
        let max_workers = match gang {
            true => consts::MAX_ADVICE_WORKERS,
            false => consts::MAX_ADVICE_WORKERS_SINGLE_TASKS,
        };
        workers
            .into_iter()
            .take(max_workers)
            .map(|(_, ix)| ix)
            .collect()
    }

    /// Returns the workers that may run a step, with their free room less the reserved room.
    pub(crate) fn candidates(
        &self,
        queue: &Queue,
        key: &StepKey,
        pass: &SchedulingPass,
    ) -> Vec<Candidate> {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let (spec, step) = (&job.row.submission.steps[at], &job.steps[at]);
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        let mut list = Vec::new();
        for &(ix, room) in pass.workers.iter().filter(|(_, room)| spec.need.fits(room)) {
            let worker = self.fleet.get(ix);
            let serves = worker.entry.service == queue.service;
            let allowed = queue.advice.is_none() || step.advice.allows(ix);
            let label = spec.requirement.as_ref();
            if !serves || !allowed || !label.is_none_or(|label| worker.has_label(label)) {
                continue;
            }
            let is_remote = spec
                .affinity
                .as_ref()
                .is_some_and(|rack| worker.rack() != Some(rack));
            let count = racks.len() as u32;
            let grouped = worker.rack().filter(|_| spec.same_rack);
            let rack = grouped.map_or(0, |rack| *racks.entry(rack).or_insert(count + 1));
            let failed = u32::from(step.failed_on.contains(&ix)) * FAILED_STEP_PENALTY;
            let failing =
                u32::from(worker.failures >= consts::QUARANTINE_FAILURES) * FAILING_WORKER_PENALTY;
            list.push(Candidate {
                ix,
                free: room,
                tasks_left: spec
                    .per_worker
                    .map_or(u32::MAX, |limit| limit.saturating_sub(step.runs_on(ix))),
                penalty: u32::from(is_remote) * REMOTE_DATA_PENALTY + failed + failing,
                rack,
            });
        }
        list
    }

    /// Returns how many more tasks of a step its team may run at the same time.
    pub(crate) fn team_headroom(&self, state: &DesiredState, job: &Job, at: usize) -> u64 {
        let team = job.row.team.as_ref();
        let Some(team) = team.and_then(|name| state.team(name)) else {
            return u64::MAX;
        };
        let need = job.row.submission.steps[at].need;
        let used = self.used.get(&team.name).copied().unwrap_or_default();
        let reservations = &self.limit_reservations;
        let used = used.plus(reservations.reserved_from(&team.name, &job.row.id, at));
        let parts = team
            .limit
            .amounts()
            .into_iter()
            .zip(used.amounts())
            .zip(need.amounts());
        let limited = parts.filter(|((limit, _), need)| *limit > 0 && *need > 0);
        limited
            .map(|((limit, used), need)| limit.saturating_sub(used) / need)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Places the tasks of a step that is no gang, each on its own, as far as there is room.
    fn place_single_tasks(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        queue: &Queue,
        pending: &PendingStep,
        pass: &mut SchedulingPass,
    ) {
        let key = &pending.key;
        let at = usize::from(key.step);
        let now = ctx.now;
        let mut candidates = self.candidates(queue, key, pass);
        self.work.workers_considered += pass.workers.len() as u64;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let need = job.row.submission.steps[at].need;
        let headroom = self.team_headroom(state, job, at);
        let headroom = headroom.min(self.row_headroom(job, pass.placement_bytes));
        let advice = &job.steps[at].advice;
        let (mut ready, mut expired): (Vec<Candidate>, Vec<Candidate>) =
            candidates.drain(..).partition(|candidate| {
                queue.advice.is_none() || advice.ticket(candidate.ix, now).is_some()
            });
        let waiting: Vec<u32> = job.steps[at].tasks_without_run().collect();
        if let (Some(team), true) = (&job.row.team, waiting.len() as u64 > headroom) {
            pass.blocked_teams.insert(team.clone());
        }
        let mut to_renew = Vec::new();
        let mut unplaced = 0;
        for index in waiting
            .into_iter()
            .take(usize::try_from(headroom).unwrap_or(usize::MAX))
        {
            if let Some(place) = best_fit(&ready, &need) {
                ready[place].occupy(&need);
                pass.reserve(ready[place].ix, &need);
                self.place_task(key, index, ready[place].ix);
            } else if let Some(place) = best_fit(&expired, &need) {
                expired[place].occupy(&need);
                pass.reserve(expired[place].ix, &need);
                to_renew.push(expired[place].ix);
            } else {
                unplaced += 1;
            }
        }
        self.refresh_pending_steps(&key.job);
        if let (Some(cost), true) = (queue.advice, unplaced > 0 || !to_renew.is_empty()) {
            self.request_more_advice(now, queue, pending, to_renew, cost);
        }
    }

    /// Requests new tickets for `workers` or, if there are none, advice on workers on which none
    /// has been received yet.
    fn request_more_advice(
        &mut self,
        now: Millis,
        queue: &Queue,
        pending: &PendingStep,
        mut workers: Vec<WorkerIx>,
        cost: AdviceCost,
    ) {
        let at = usize::from(pending.key.step);
        let job = self.jobs.get(&pending.key.job);
        if job.is_none_or(|job| !job.steps[at].advice.in_flight.is_empty()) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&pending.key.job) {
            job.steps[at].awaiting_tickets.clone_from(&workers);
        }
        workers.sort_unstable();
        workers.dedup();
        workers.truncate(consts::MAX_ADVICE_WORKERS);
        if workers.is_empty() {
            workers = self.workers_without_advice(now, queue, &pending.key, false);
            workers.retain(|ix| self.fleet.get(*ix).free().cpu_milli > 0);
        }
        self.request_advice(now, &pending.key, workers, pending.latest_start_ms, cost);
    }

    fn place_task(&mut self, key: &StepKey, index: u32, ix: WorkerIx) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let number = self.next_run(job.steps[at].last_run(index));
        let task = TaskKey {
            step: key.clone(),
            index,
        };
        self.record_placement(ix, task, number);
    }

    /// Returns a run number above all that this and earlier leaders may have used.
    pub(crate) fn next_run(&self, last: u32) -> u32 {
        self.first_run().max(last).saturating_add(1)
    }

    /// Returns the highest run number that earlier leaders are expected to have used.
    pub(crate) fn first_run(&self) -> u32 {
        let earlier_leaders = self.generation.saturating_sub(1);
        earlier_leaders.saturating_mul(consts::RUN_NUMBERS_PER_LEADER)
    }
}
