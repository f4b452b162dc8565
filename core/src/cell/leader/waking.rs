//! Wakes waiting steps when workers have new room or teams new headroom: the first ones in scheduling order
//! that fit, as far as it goes.

use crate::{
    cell::{
        leader::{
            fleet::WorkerIx, jobs::Job, limit_reservations::min_tasks, policy::Policy,
            schedule::MAX_CLOCK_AGE_MS, wait_list::PendingId, Leader,
        },
        StepKey,
    },
    Millis, Resources, TeamName,
};

/// Maximum number of workers with new room for which one pass wakes steps.
const MAX_FREED_WORKERS: usize = 64;
/// Maximum number of waiting steps that are compared with a worker's or a team's new room.
const MAX_COMPARED_STEPS: usize = 32;
/// Maximum number of steps, and of gangs among them, that a worker's or a team's new room wakes in one
/// pass.
const MAX_WOKEN_STEPS: usize = 4;
const MAX_WOKEN_GANGS: usize = 2;
/// How often steps are woken for the same room on a worker while none of them starts there: they may
/// have to learn first whether they are allowed on it.
const MAX_FRUITLESS_WAKES: u32 = 4;
/// How many large gangs a pass examines when workers have new room.
const MAX_WOKEN_LARGE_GANGS: usize = 2;

/// The steps that were woken for new room on a worker.
#[derive(Debug)]
pub(crate) struct WokenByWorker {
    ix: WorkerIx,
    free: Resources,
    steps: Vec<PendingId>,
}

/// The steps that were woken for new headroom of a team.
#[derive(Debug)]
pub(crate) struct WokenByTeam {
    team: TeamName,
    steps: Vec<PendingId>,
}

impl Leader {
    /// Wakes steps that wait for the limits of teams which have new headroom.
    pub(crate) fn wake_for_teams(&mut self, policy: &Policy) -> Vec<WokenByTeam> {
        let mut woken = Vec::new();
        for team in std::mem::take(&mut self.freed_teams) {
            let limit = policy.team(&team).map_or(0, |team| team.limit.cpu_milli);
            let used = self.used.get(&team).copied().unwrap_or_default();
            let mut left_milli = match limit {
                0 => u64::MAX,
                limit => limit.saturating_sub(used.cpu_milli),
            };
            let waiting = self
                .pending
                .waiting_for_team(&team, left_milli, MAX_COMPARED_STEPS);
            let mut steps = Vec::new();
            for id in waiting {
                let Some((key, job)) = self.job_of_step(id) else {
                    continue;
                };
                let at = usize::from(key.step);
                let headroom = self.team_headroom(policy, job, at);
                if headroom < min_tasks(job, at) {
                    continue;
                }
                let tasks = headroom.min(u64::from(job.steps[at].count()));
                let need_milli = job.row.submission.steps[at].need.cpu_milli;
                left_milli = left_milli.saturating_sub(need_milli.saturating_mul(tasks));
                self.pending.wake(&key);
                steps.push(id);
                if steps.len() >= MAX_WOKEN_STEPS || left_milli == 0 {
                    break;
                }
            }
            woken.push(WokenByTeam { team, steps });
        }
        woken
    }

    /// Wakes steps that wait for room on workers which have new room.
    pub(crate) fn wake_for_workers(&mut self, now: Millis) -> Vec<WokenByWorker> {
        let mut woken = Vec::new();
        let freed = self.fleet.take_freed(MAX_FREED_WORKERS);
        if !freed.is_empty() {
            self.pending.wake_large_gangs(MAX_WOKEN_LARGE_GANGS);
        }
        for ix in freed {
            if !self.fleet.get(ix).is_usable(now, MAX_CLOCK_AGE_MS) {
                continue;
            }
            if let Some(key) = self.kept_workers.keeper(ix).cloned() {
                self.pending.wake(&key);
                continue;
            }
            let free = self.fleet.get(ix).free();
            let steps = self.wake_for_worker(ix);
            if !steps.is_empty() {
                woken.push(WokenByWorker { ix, free, steps });
            }
        }
        woken
    }

    /// Wakes the first steps that wait for room on a worker and fit there, as far as its room goes.
    fn wake_for_worker(&mut self, ix: WorkerIx) -> Vec<PendingId> {
        let worker = self.fleet.get(ix);
        let mut room = worker.free();
        let pools = worker.pools();
        let waiting =
            self.pending
                .waiting_for_worker(ix, &pools, room.cpu_milli, MAX_COMPARED_STEPS);
        let (mut steps, mut gangs) = (Vec::new(), 0);
        for id in waiting {
            let Some((key, job)) = self.job_of_step(id) else {
                continue;
            };
            let at = usize::from(key.step);
            let (spec, step) = (&job.row.submission.steps[at], &job.steps[at]);
            let on_worker = match spec.per_worker {
                Some(limit) => u64::from(limit.saturating_sub(step.runs_on(ix))),
                None => u64::MAX,
            };
            let tasks = spec.need.count_in(&room).min(on_worker);
            if tasks == 0 || step.advice.denies(ix) || (spec.gang && gangs == MAX_WOKEN_GANGS) {
                continue;
            }
            // Room that a gang, or a step that may not be allowed here, may not use is left for the others.
            gangs += usize::from(spec.gang);
            if !spec.gang && (step.advice.allows(ix) || step.advice.permissions.is_empty()) {
                room = room.minus(spec.need.times(tasks.min(u64::from(step.count()))));
            }
            self.pending.wake(&key);
            steps.push(id);
            if steps.len() >= MAX_WOKEN_STEPS {
                break;
            }
        }
        self.work.workers_considered += 1;
        steps
    }

    /// Returns the key of a pending step, and its job.
    fn job_of_step(&self, id: PendingId) -> Option<(StepKey, &Job)> {
        let key = self.pending.key(id)?;
        Some((key.clone(), self.jobs.get(&key.job)?))
    }

    /// Wakes further steps in the next pass for the workers and teams whose new room was not used up: the
    /// woken steps were placed, or turned out to wait for something else.
    pub(crate) fn keep_changed_room(
        &mut self,
        by_team: Vec<WokenByTeam>,
        by_worker: Vec<WokenByWorker>,
    ) {
        for WokenByWorker { ix, free, steps } in by_worker {
            let worker = self.fleet.get_mut(ix);
            let is_used = worker.free() != free;
            let is_blocked = |id: &PendingId| self.pending.waits_for_team(*id);
            let has_progress = is_used || steps.iter().any(is_blocked);
            worker.fruitless_wakes += u32::from(!has_progress);
            if has_progress || worker.fruitless_wakes < MAX_FRUITLESS_WAKES {
                self.fleet.add_freed(ix);
            }
        }
        for WokenByTeam { team, steps } in by_team {
            let waits_for_team = |id: &PendingId| self.pending.waits_for_team(*id);
            if !steps.iter().all(waits_for_team) {
                self.freed_teams.insert(team);
            }
        }
    }
}
