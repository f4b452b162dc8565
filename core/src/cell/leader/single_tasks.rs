//! Placement of the tasks of steps that are no gangs, each on its own.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            candidates::may_run,
            fit::{best_fit, Candidate},
            fleet::WorkerIx,
            policy::Policy,
            schedule::MAX_CLOCK_AGE_MS,
            wait::{RoomWait, Wait},
            waiting_calls::Room,
            Leader,
        },
        AdviceCost, Queue, StepKey,
    },
    Millis,
};

/// While a step is allowed on fewer workers than this, or than it has waiting tasks, advice is requested
/// on workers without room for it too.
const MIN_ALLOWED_WORKERS: usize = 8;

impl Leader {
    /// Places the tasks of a step as far as there is room; returns what the others wait for.
    pub(crate) fn place_single_tasks(
        &mut self,
        ctx: &mut Ctx,
        policy: &Policy,
        queue: &Queue,
        key: &StepKey,
    ) -> Wait {
        let at = usize::from(key.step);
        let now = ctx.now;
        self.release_awaited(key);
        let candidates = self.candidates(now, queue, key);
        let Some(job) = self.jobs.get(&key.job) else {
            return Wait::Other;
        };
        let need = job.row.submission.steps[at].need;
        let team_headroom = self.team_headroom(policy, job, at);
        let headroom = team_headroom.min(self.row_headroom(job, at));
        let advice = &job.steps[at].advice;
        let has_ticket = |candidate: &Candidate| {
            queue.advice.is_none() || advice.ticket(candidate.ix, now).is_some()
        };
        let (mut ready, mut expired): (Vec<Candidate>, Vec<Candidate>) =
            candidates.into_iter().partition(has_ticket);
        let waiting: Vec<u32> = job.steps[at].tasks_without_run().collect();
        let startable =
            usize::try_from(headroom).map_or(waiting.len(), |max| max.min(waiting.len()));
        let is_limited = startable < waiting.len();
        let limit = job.row.team.clone().filter(|_| team_headroom <= headroom);
        let mut to_renew = Vec::new();
        let mut unplaced = 0;
        for index in waiting.into_iter().take(startable) {
            if let Some(place) = best_fit(&ready, &need) {
                ready[place].occupy(&need);
                self.place_task(key, index, ready[place].ix);
            } else if let Some(place) = best_fit(&expired, &need) {
                expired[place].occupy(&need);
                to_renew.push(expired[place].ix);
            } else {
                unplaced += 1;
            }
        }
        self.refresh_pending_steps(&key.job);
        if let (Some(cost), true) = (queue.advice, unplaced > 0 || !to_renew.is_empty()) {
            self.request_more_advice(now, queue, key, to_renew, cost);
        }
        let otherwise = match limit {
            _ if unplaced > 0 => Wait::Room(self.room_wait(queue, key)),
            Some(team) if is_limited => Wait::Team(team, need.cpu_milli),
            _ => Wait::Other,
        };
        self.advice_wait(now, key, otherwise)
    }

    /// Returns the wait for room on the workers that a step may run on.
    pub(crate) fn room_wait(&self, queue: &Queue, key: &StepKey) -> RoomWait {
        let Some(job) = self.jobs.get(&key.job) else {
            return RoomWait::default();
        };
        let at = usize::from(key.step);
        let advice = &job.steps[at].advice;
        RoomWait {
            cpu_milli: job.row.submission.steps[at].need.cpu_milli,
            workers: match queue.advice {
                Some(_) => advice.allowed().collect(),
                None => Vec::new(),
            },
            pool: self.pool_of(key),
        }
    }

    /// Requests new tickets for `workers`, where tasks start once they arrive, or, if there are none,
    /// advice on workers on which none has been received yet.
    fn request_more_advice(
        &mut self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        mut workers: Vec<WorkerIx>,
        cost: AdviceCost,
    ) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (spec, advice) = (&job.row.submission.steps[at], &job.steps[at].advice);
        if !advice.in_flight.is_empty() || now < advice.retry_at {
            return;
        }
        let places = workers.clone();
        workers.sort_unstable();
        workers.dedup();
        workers.truncate(consts::MAX_ADVICE_WORKERS);
        if workers.is_empty() {
            // A call costs little more for further workers, which may have room next.
            let need = spec.need;
            let min_allowed = MIN_ALLOWED_WORKERS.max(job.steps[at].tasks_without_run().count());
            let allowed = advice.allowed();
            let is_open = |ix: &WorkerIx| !self.fleet.get(*ix).is_drained;
            let is_scarce = allowed.filter(is_open).count() < min_allowed;
            workers = self.workers_without_advice(now, queue, key, 1);
            let has_room = |ix: &WorkerIx| need.fits(&self.fleet.get(*ix).free());
            if !is_scarce && !workers.iter().any(has_room) {
                workers.clear();
            }
        }
        if self.request_advice(now, key, workers, cost, Room::Free) {
            self.await_places(key, places);
        }
    }

    /// Returns the workers to request advice on, of those with at least `min_free_milli` thousandths of a
    /// core free: warm ones before cold ones, and those with the most free processors first.
    pub(crate) fn workers_without_advice(
        &mut self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        min_free_milli: u64,
    ) -> Vec<WorkerIx> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let at = usize::from(key.step);
        let (spec, advice) = (&job.row.submission.steps[at], &job.steps[at].advice);
        let is_fleet_full = self.fleet.by_free(spec.need.cpu_milli).next().is_none();
        let has_advice = !advice.permissions.is_empty();
        if advice.permissions.len() >= self.fleet.len() || (has_advice && is_fleet_full) {
            return Vec::new();
        }
        let max_workers = match spec.gang {
            true => consts::MAX_ADVICE_WORKERS,
            false => consts::MAX_ADVICE_WORKERS_SINGLE_TASKS,
        };
        let mut considered = 0;
        let may_ask = |ix: &WorkerIx| {
            considered += 1;
            let worker = self.fleet.get(*ix);
            let is_eligible =
                may_run(worker, queue, spec) && worker.is_usable(now, MAX_CLOCK_AGE_MS);
            let fits = spec.need.fits(&worker.capacity());
            is_eligible && fits && !advice.permissions.contains_key(ix)
        };
        let emptiest_first = self.fleet.by_free(min_free_milli).rev();
        let (mut warm, mut cold) = (Vec::new(), Vec::new());
        for ix in emptiest_first.filter(may_ask) {
            match self.fleet.get(ix).is_cold(now) {
                false => warm.push(ix),
                true => cold.push(ix),
            }
            if warm.len() == max_workers {
                break;
            }
        }
        warm.extend(cold);
        warm.truncate(max_workers);
        self.work.workers_considered += considered;
        warm
    }
}
