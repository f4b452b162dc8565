//! Scheduling of the pending steps on the whole fleet.
//!
//! A pass examines the steps that are new and those for which something has changed since they were put
//! aside; the `pending` module describes what the others wait for.

use crate::{
    cell::{
        admission::USEFUL_FACTOR,
        consts,
        ctx::Ctx,
        leader::{
            fleet::WorkerIx,
            jobs::Job,
            limit_reservations::min_tasks,
            policy::Policy,
            rank::Rank,
            wait::{Pool, Wait},
            waiting_calls::Room,
            Leader,
        },
        JobState, StepKey, TaskKey,
    },
    Millis,
};

/// Maximum age of the clock reading of a worker on which tasks are started.
pub(crate) const MAX_CLOCK_AGE_MS: Millis = Millis(6_000);
/// How slow a worker's clock may run, as a divisor of the elapsed time: 2%.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// Maximum number of steps that one pass examines; the others stay ready for the next one.
const MAX_EXAMINED_STEPS: usize = 100;
/// How many steps each tick examines in turn, whether or not a change was noticed.
const STEPS_IN_TURN: usize = 8;

impl Leader {
    /// Notes the workers that have become usable by time, and wakes the steps that are examined at each
    /// tick.
    pub(crate) fn prepare_pass(&mut self, now: Millis) {
        self.fleet.note_usable(now);
        self.limits_due = true;
        self.pending.wake_in_turn(STEPS_IN_TURN);
        for key in self.kept_workers.gangs() {
            let is_kept = self.pending.is_in_time(&key) && self.pending.wake(&key);
            if !is_kept {
                self.release_kept_workers(&key);
            }
        }
        self.needs_pass |= self.pending.len() > 0;
    }

    /// Examines the steps for which something has changed, in scheduling order, and places their tasks as
    /// far as there is room.
    pub(crate) fn run_pass(&mut self, ctx: &mut Ctx, policy: &Policy) {
        self.expire_invalidated_tickets();
        self.end_limit_reservations(ctx, policy);
        self.pending.advance(ctx.now);
        let by_team = self.wake_for_teams(policy);
        let by_worker = self.wake_for_workers(ctx.now);
        for _ in 0..MAX_EXAMINED_STEPS {
            let Some(key) = self.pending.next_ready() else {
                break;
            };
            self.work.steps_examined += 1;
            let wait = self.place_step(ctx, policy, &key);
            self.pending.set_waiting(&key, wait);
        }
        self.keep_changed_room(by_team, by_worker);
        if std::mem::take(&mut self.limits_due) {
            self.reserve_limits(ctx, policy);
        }
        self.needs_pass |=
            self.pending.ready_len() > 0 || self.fleet.has_freed() || !self.freed_teams.is_empty();
    }

    /// Places the tasks of a step, as far as it can start; returns what the others wait for.
    pub(crate) fn place_step(&mut self, ctx: &mut Ctx, policy: &Policy, key: &StepKey) -> Wait {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return Wait::Other;
        };
        let Some(queue) = policy.queue(&job.row) else {
            return Wait::Other;
        };
        if policy.is_exhausted(job) {
            self.end_job(ctx, &key.job, JobState::Failed);
            return Wait::Other;
        }
        if let Some(wait) = self.limit_wait(policy, key) {
            self.release_blocked_places(ctx, key);
            self.release_kept_workers(key);
            return wait;
        }
        let advice = &job.steps[at].advice;
        if !advice.in_flight.is_empty() {
            return Wait::Advice;
        }
        if queue.advice.is_some() && advice.permissions.is_empty() {
            if ctx.now >= advice.retry_at {
                self.request_first_advice(ctx.now, policy, key);
            }
            return self.advice_wait(ctx.now, key, Wait::Other);
        }
        match job.row.submission.steps[at].gang {
            true => self.place_gang(ctx, queue, key),
            false => self.place_single_tasks(ctx, policy, queue, key),
        }
    }

    /// Returns the wait of a step whose team or whose job's row allows too few more tasks.
    fn limit_wait(&self, policy: &Policy, key: &StepKey) -> Option<Wait> {
        let job = self.jobs.get(&key.job)?;
        let at = usize::from(key.step);
        let min_tasks = min_tasks(job, at);
        if self.team_headroom(policy, job, at) < min_tasks {
            let team = job.row.team.clone()?;
            let need_milli = job.row.submission.steps[at].need.cpu_milli;
            return Some(Wait::Team(team, need_milli.saturating_mul(min_tasks)));
        }
        (self.row_headroom(job, at) < min_tasks).then_some(Wait::Other)
    }

    /// Returns the wait for advice on a step: for the answer of a call in flight, or for the time of the
    /// next call. Without either it is `otherwise`.
    pub(crate) fn advice_wait(&self, now: Millis, key: &StepKey, otherwise: Wait) -> Wait {
        let Some(job) = self.jobs.get(&key.job) else {
            return otherwise;
        };
        let advice = &job.steps[usize::from(key.step)].advice;
        match advice.in_flight.is_empty() {
            false => Wait::Advice,
            true if now < advice.retry_at => Wait::Until(advice.retry_at),
            true => otherwise,
        }
    }

    /// Returns the workers that serve the queue of a step and have the label that it requires.
    pub(crate) fn pool_of(&self, key: &StepKey) -> Option<Pool> {
        let job = self.jobs.get(&key.job)?;
        let queue = self.policy.as_ref()?.queue(&job.row)?;
        let spec = &job.row.submission.steps[usize::from(key.step)];
        Some(Pool {
            service: queue.service.clone(),
            label: spec.requirement.clone(),
        })
    }

    /// Returns how long after it was granted a worker's lease has certainly expired. A new leader waits
    /// for as long after the end of the earlier leaders' leases, so both have to go by the same span.
    pub(crate) fn max_lease_with_drift_ms(&self, ctx: &Ctx) -> Millis {
        let lease_ms = ctx.settings.max_lease_ms;
        lease_ms + Millis(lease_ms.0 / CLOCK_DRIFT_DIVISOR) + consts::WORKER_LEASE_MARGIN_MS
    }

    /// Returns the rank of a step. A job whose queue was removed, and is recorded without a definition
    /// of it, has no objective and is never late.
    pub(crate) fn rank(&self, policy: &Policy, key: &StepKey) -> Rank {
        let job = self.jobs.get(&key.job);
        let queue = job.and_then(|job| policy.queue(&job.row));
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

    /// Requests the first advice on a step.
    pub(crate) fn request_first_advice(&mut self, now: Millis, policy: &Policy, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let queue = policy.queue(&job.row);
        let Some((queue, cost)) = queue.and_then(|queue| Some((queue, queue.advice?))) else {
            return;
        };
        let workers = self.workers_without_advice(now, queue, key, 0);
        self.request_advice(now, key, workers, cost, Room::Free);
    }

    /// Returns how many more tasks of a step its team may run at the same time.
    pub(crate) fn team_headroom(&self, policy: &Policy, job: &Job, at: usize) -> u64 {
        let team = job.row.team.as_ref();
        let Some(team) = team.and_then(|name| policy.team(name)) else {
            return u64::MAX;
        };
        let need = job.row.submission.steps[at].need;
        let used = self.used.get(&team.name).copied().unwrap_or_default();
        let call_ms = ticket_call_ms(policy, job);
        let reservations = &self.limit_reservations;
        let reserved = reservations.reserved_from(self.now, &team.name, job, at, call_ms);
        let used = used.plus(reserved);
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

    pub(crate) fn place_task(&mut self, key: &StepKey, index: u32, ix: WorkerIx) {
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

/// Returns the longest time that a call for the tickets of a job's step takes; zero if it needs none.
fn ticket_call_ms(policy: &Policy, job: &Job) -> Millis {
    let cost = policy.advice_cost(&job.row);
    cost.map_or(Millis(0), |cost| {
        Millis(cost.call_us(consts::MAX_ADVICE_WORKERS).div_ceil(1_000))
    })
}
