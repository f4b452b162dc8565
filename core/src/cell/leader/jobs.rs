//! The leader's state of each job, its steps and its tasks.

use crate::{
    cell::{
        admission::WaitingJob,
        ctx::Ctx,
        leader::{policy::Policy, step::Step, Leader},
        JobRow, JobState, JobStateReply, LinkId, LogEvent, Progress, QueryId, Queue, RowVersion,
        StepKey, StepProgress, TaskKey, ToMember,
    },
    JobId, Millis, QueueName,
};
use std::{collections::BTreeMap, rc::Rc};

/// Upper bound of a recorded job's computed age, because the clocks of daemons may jump.
const MAX_JOB_AGE_MS: u64 = 60_000;
/// The most queues for which the jobs found by a new leader are logged.
const MAX_LOGGED_QUEUES: usize = 16;

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) row: JobRow,
    /// The version of the row, which never changes.
    pub(crate) row_version: RowVersion,
    pub(crate) progress: Progress,
    pub(crate) progress_version: RowVersion,
    /// The number of changes of `progress` so far.
    pub(crate) edits: u64,
    /// The number of the last change that is stored.
    pub(crate) stored_edits: u64,
    pub(crate) stored_state: JobState,
    pub(crate) steps: Vec<Step>,
    /// Whether it exceeded its team's share when it arrived.
    pub(crate) surplus: bool,
    /// Its contribution to the backlog.
    pub(crate) waiting: WaitingJob,
    pub(crate) accepted_at: Millis,
    pub(crate) ended_at: Millis,
    /// Cancellations that are answered once the final state is stored.
    pub(crate) cancel_queries: Vec<(LinkId, QueryId)>,
    /// State queries whose answers are held because the job may end soon.
    pub(crate) state_queries: Vec<(LinkId, QueryId)>,
}

impl Job {
    fn new(ctx: &Ctx, row: JobRow, row_version: RowVersion) -> Self {
        let age_ms = ctx
            .unix_ms
            .saturating_sub(row.accepted_unix_ms)
            .min(MAX_JOB_AGE_MS);
        let paths_ms = row.submission.critical_paths_ms();
        let specs = row.submission.steps.iter().zip(paths_ms);
        let steps = specs.map(|(spec, path_ms)| Step::new(spec.count, path_ms));
        let steps: Vec<Step> = steps.collect();
        Self {
            row_version,
            progress: Progress {
                steps: vec![StepProgress::default(); steps.len()],
                ..Progress::default()
            },
            progress_version: RowVersion(0),
            edits: 0,
            stored_edits: 0,
            stored_state: JobState::Pending,
            steps,
            surplus: false,
            waiting: WaitingJob::default(),
            accepted_at: ctx.now.since(Millis(age_ms)),
            ended_at: Millis(0),
            cancel_queries: Vec::new(),
            state_queries: Vec::new(),
            row,
        }
    }

    /// Returns the state that callers see: a final one only once it is stored.
    pub(crate) fn visible_state(&self) -> JobState {
        match (self.stored_state.is_final(), self.progress.visible_state()) {
            (true, _) => self.stored_state,
            (false, JobState::Pending) => JobState::Pending,
            (false, _) => JobState::Running,
        }
    }

    /// Returns whether the job has not ended.
    pub(crate) fn is_open(&self) -> bool {
        !self.progress.state.is_final()
    }

    /// Returns whether the job has ended, its final state is stored and none of its runs is active.
    pub(crate) fn is_removable(&self) -> bool {
        self.stored_state.is_final() && !self.steps.iter().any(Step::has_runs)
    }

    /// Returns the number of recorded failed runs of a task; the members of a gang share theirs.
    pub(crate) fn failed_runs(&self, at: usize, index: u32) -> usize {
        let index = if self.is_gang(at) { 0 } else { index };
        let failed = self.progress.steps[at].failed.get(&index);
        failed.map_or(0, Vec::len)
    }

    /// Returns the unfinished tasks with recorded failed runs: the step, the task and the number of these
    /// runs. A gang's are recorded at task 0. Records of tasks that the job does not have are passed over.
    pub(crate) fn failed_tasks(&self) -> impl Iterator<Item = (usize, u32, usize)> + '_ {
        let steps = self.progress.steps.iter().zip(&self.steps).enumerate();
        steps.flat_map(|(at, (recorded, step))| {
            let has_task = |index: &u32| *index < step.count() && !recorded.is_done(*index);
            let failed = recorded.failed.iter();
            let failed = failed.filter(move |(index, _)| has_task(index));
            failed.map(move |(index, runs)| (at, *index, runs.len()))
        })
    }

    /// Returns whether no run of a task, or of any member of its gang, may be active.
    pub(crate) fn has_no_attempt(&self, at: usize, index: u32) -> bool {
        let step = &self.steps[at];
        match self.is_gang(at) {
            true => !step.has_runs(),
            false => step.runs_of(index).is_empty(),
        }
    }

    fn is_gang(&self, at: usize) -> bool {
        self.row.submission.steps[at].gang
    }

    /// Returns whether all steps that the step depends on are done.
    pub(crate) fn is_unblocked(&self, step: usize) -> bool {
        let done = |at: &u16| self.steps[usize::from(*at)].is_done();
        self.row.submission.steps[step].after.iter().all(done)
    }

    /// Returns whether a task of the step could start now.
    fn is_ready(&self, at: usize) -> bool {
        let gang = self.row.submission.steps[at].gang;
        self.steps[at].has_startable_task(gang) && self.is_open() && self.is_unblocked(at)
    }

    /// Returns whether a task of the step waits for its start while none has a run or, in a gang, while
    /// not all members have one.
    fn is_waiting(&self, at: usize) -> bool {
        let step = &self.steps[at];
        let has_no_progress = self.row.submission.steps[at].gang || step.running() == 0;
        let is_unfinished = self.is_open() && self.is_unblocked(at);
        has_no_progress && step.has_task_without_run() && is_unfinished
    }

    /// Returns the time after acceptance within which the job should end: its longest path scaled
    /// by the queue's slack, plus the queue's target latency.
    pub(crate) fn objective_ms(&self, queue: &Queue) -> u64 {
        let remaining_path_ms = self
            .steps
            .iter()
            .map(|step| step.remaining_path_ms)
            .max()
            .unwrap_or(0);
        let slack_ms = remaining_path_ms.saturating_mul(queue.slack_permille) / 1_000;
        slack_ms.saturating_add(queue.target_latency_ms.0)
    }
}

impl Leader {
    /// Adds a recorded job, unless it is known already.
    pub(crate) fn add_job(&mut self, ctx: &mut Ctx, row: JobRow, version: RowVersion) {
        if self.jobs.contains_key(&row.id) {
            return;
        }
        if let Some(reason) = row.submission.validation_error() {
            let event = LogEvent::warn("job_unusable").with("job", &row.id);
            return ctx.log(event.with("reason", reason));
        }
        let id = row.id.clone();
        let queue = row.queue_key();
        let mut job = Job::new(ctx, row, version);
        job.surplus = !self.is_within_share(ctx.now, &job.row);
        let event = LogEvent::info("job_learned")
            .with("job", &id)
            .with("version", version);
        let age_ms = ctx.now.since(job.accepted_at);
        if self.loader.is_done() {
            let event = event.with("surplus", job.surplus);
            ctx.log(
                event
                    .with("age_ms", age_ms.0)
                    .with("steps", job.steps.len()),
            );
        }
        *self.queued.entry(queue).or_default() += 1;
        let lacks_queue = |policy: &&mut Rc<Policy>| !policy.covers(&job.row);
        if let Some(policy) = self.policy.as_mut().filter(lacks_queue) {
            *policy = Rc::new((**policy).clone().with_queue_of(&job.row));
        }
        self.withdrawn.remove(&id);
        self.jobs.insert(id.clone(), job);
        self.refresh_backlog(&id);
        if self.loader.is_done() {
            self.refresh_pending_steps(&id);
        }
    }

    /// Charges a newly accepted job to its team and returns whether it is within the team's share.
    /// Jobs that are found while loading are not charged, others once a desired state has been read.
    fn is_within_share(&mut self, now: Millis, row: &JobRow) -> bool {
        let team = row.team.as_ref().filter(|_| self.loader.is_done());
        let Some(policy) = &self.policy else {
            self.uncharged.extend(team.map(|_| row.id.clone()));
            return true;
        };
        let weight = team.and_then(|team| Some(policy.team(team)?.weight));
        match (team, weight) {
            (Some(team), Some(weight)) if weight > 0 => self.team_rates.admit(now, team, weight),
            _ => true,
        }
    }

    /// Applies the progress rows to their jobs, once all tables are read.
    pub(crate) fn attach_progress(&mut self, ctx: &mut Ctx) {
        for (id, (version, progress)) in self.progress_writes.take_loaded() {
            let Some(job) = self.jobs.get_mut(&id) else {
                ctx.log(LogEvent::warn("progress_without_job").with("job", &id));
                continue;
            };
            if progress.steps.len() != job.steps.len() {
                ctx.log(LogEvent::warn("progress_unfitting").with("job", &id));
                continue;
            }
            for (at, step) in job.steps.iter_mut().enumerate() {
                let done = |index: &u32| progress.steps[at].is_done(*index);
                for index in (0..step.count()).filter(done) {
                    step.set_done(index);
                }
            }
            job.progress_version = version;
            job.stored_state = progress.state;
            if progress.state.is_final() {
                job.ended_at = ctx.now;
            }
            let state = progress.known_state();
            job.progress = Progress {
                state: job.progress.state,
                ..progress
            };
            self.set_state(&id, state);
            self.adopt_placements(ctx, &id);
            self.refresh_backlog(&id);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.refresh_pending_steps(&id);
        }
    }

    /// Logs the open jobs that were found while loading: for each queue how many there are, how many have
    /// no run, and the newest and the oldest of them. Logs at most [`MAX_LOGGED_QUEUES`] queues.
    pub(crate) fn log_loaded_jobs(&self, ctx: &mut Ctx) {
        let mut by_queue: BTreeMap<&QueueName, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_open()) {
            by_queue.entry(&job.row.queue).or_default().push(job);
        }
        let queues = by_queue.len();
        for (queue, jobs) in by_queue.into_iter().take(MAX_LOGGED_QUEUES) {
            let accepted_at = |job: &&&Job| job.row.accepted_unix_ms;
            let (Some(oldest), Some(newest)) = (
                jobs.iter().min_by_key(accepted_at),
                jobs.iter().max_by_key(accepted_at),
            ) else {
                continue;
            };
            let age_ms = |job: &Job| ctx.unix_ms.saturating_sub(job.row.accepted_unix_ms);
            let has_runs = |job: &&&Job| job.steps.iter().any(Step::has_runs);
            let with_runs = jobs.iter().filter(has_runs).count();
            let event = LogEvent::info("jobs_loaded")
                .with("queue", queue)
                .with("queues", queues)
                .with("open", jobs.len())
                .with("idle", jobs.len() - with_runs);
            let event = event
                .with("oldest", &oldest.row.id)
                .with("oldest_ms", age_ms(oldest))
                .with("newest", &newest.row.id)
                .with("newest_ms", age_ms(newest));
            ctx.log(event);
        }
    }

    /// Records that a task of the job has begun: a worker has confirmed one of its runs, or listed its
    /// end. A placement and a start that was sent are no proof of that.
    pub(crate) fn mark_begun(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.progress.state == JobState::Pending) {
            self.set_state(id, JobState::Running);
        }
    }

    /// Changes a job's state. Its queue counts it as waiting while it is pending, and no job becomes
    /// pending again.
    fn set_state(&mut self, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let former = std::mem::replace(&mut job.progress.state, state);
        if former == JobState::Pending && state != JobState::Pending {
            let count = self.queued.entry(job.row.queue_key()).or_default();
            *count = count.saturating_sub(1);
        }
    }

    /// Adds the job's steps that could start to the pending steps and removes the others.
    pub(crate) fn refresh_pending_steps(&mut self, id: &JobId) {
        let policy = self.policy.clone();
        let count = self.jobs.get(id).map_or(0, |job| job.steps.len());
        for at in 0..count {
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let key = StepKey {
                job: id.clone(),
                occurrence: 0,
                step: at as u16,
            };
            let is_ready = job.is_ready(at);
            let is_waiting = job.is_waiting(at);
            let step = &mut job.steps[at];
            step.waiting_since = is_waiting.then(|| step.waiting_since.unwrap_or(self.now));
            // Before a desired state is read no step is pending.
            if let (Some(policy), true) = (&policy, is_ready) {
                let Some(job) = self.jobs.get(id) else { return };
                let advice = &job.steps[at].advice;
                let has_no_advice = advice.permissions.is_empty() && advice.in_flight.is_empty();
                if has_no_advice {
                    self.request_first_advice(self.now, policy, &key);
                }
                let Some(job) = self.jobs.get(id) else { return };
                let advice = &job.steps[at].advice;
                if advice.permissions.is_empty() && !advice.in_flight.is_empty() {
                    // Without any advice no worker can be chosen yet.
                    self.pending.remove(&key);
                    continue;
                }
                let rank = self.rank(policy, &key);
                self.needs_pass |= self.pending.insert(&key, rank);
            } else {
                self.pending.remove(&key);
                self.release_awaited(&key);
                self.release_kept_workers(&key);
            }
        }
    }

    /// Applies new definitions of the queues to all open jobs: what was recorded before a desired state was
    /// read is decided now, and the pending steps are ranked again.
    pub(crate) fn apply_queues(&mut self, ctx: &mut Ctx) {
        for id in std::mem::take(&mut self.uncharged) {
            let row = self.jobs.get(&id).map(|job| job.row.clone());
            let is_surplus = row.is_some_and(|row| !self.is_within_share(ctx.now, &row));
            if let Some(job) = self.jobs.get_mut(&id) {
                job.surplus = is_surplus;
            }
        }
        self.end_exhausted_jobs(ctx);
        let is_open = |(id, job): (&JobId, &Job)| job.is_open().then(|| id.clone());
        let open: Vec<JobId> = self.jobs.iter().filter_map(is_open).collect();
        for id in open {
            self.refresh_pending_steps(&id);
        }
        // Steps may wait for the workers of a service that their queue no longer has.
        self.pending.wake_all();
    }

    /// Ends the jobs with a task that, by the runs on record, has failed in all its attempts.
    pub(crate) fn end_exhausted_jobs(&mut self, ctx: &mut Ctx) {
        let Some(policy) = self.policy.clone() else {
            return;
        };
        let is_exhausted = |job: &&Job| job.is_open() && policy.is_exhausted(job);
        let jobs = self.jobs.values().filter(is_exhausted);
        let exhausted: Vec<JobId> = jobs.map(|job| job.row.id.clone()).collect();
        for id in exhausted {
            let event = LogEvent::info("job_exhausted").with("job", &id);
            ctx.log(event.with("version", policy.version()));
            self.end_job(ctx, &id, JobState::Failed);
        }
    }

    /// Schedules a write of the job's progress and returns the number of the change.
    pub(crate) fn mark_edited(&mut self, id: &JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        job.edits += 1;
        self.progress_writes.mark_dirty(id);
        job.edits
    }

    /// Ends a job in a final state; unless it completed, its runs are stopped.
    pub(crate) fn end_job(&mut self, ctx: &mut Ctx, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        job.progress.ended_unix_ms = ctx.unix_ms;
        job.ended_at = ctx.now;
        let event = LogEvent::info("job_ended")
            .with("job", id)
            .with("state", format_args!("{state:?}"));
        let took_ms = ctx.now.since(job.accepted_at);
        ctx.log(
            event
                .with("queue", &job.row.queue)
                .with("took_ms", took_ms.0),
        );
        for progress in &mut job.progress.steps {
            progress.checkpoints.clear();
        }
        self.set_state(id, state);
        self.refresh_backlog(id);
        self.mark_edited(id);
        self.release_job_rooms(id);
        self.refresh_pending_steps(id);
        if state != JobState::Completed {
            self.stop_job_runs(ctx, id);
        }
    }

    /// Stops all runs of a job.
    fn stop_job_runs(&mut self, ctx: &mut Ctx, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut runs = Vec::new();
        for (at, step) in job.steps.iter().enumerate() {
            for (index, run) in step.runs() {
                let step = StepKey {
                    job: id.clone(),
                    occurrence: 0,
                    step: at as u16,
                };
                runs.push((run.worker, TaskKey { step, index }));
            }
        }
        for (ix, task) in runs {
            self.stop_run(ctx, ix, &task);
        }
    }

    /// Records that the job's progress up to change `edits` is stored, answers queries that waited
    /// for a final state, and queues the starts of stored placements.
    pub(crate) fn on_progress_stored(
        &mut self,
        ctx: &mut Ctx,
        id: &JobId,
        edits: u64,
        version: RowVersion,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.progress_version = version;
        job.stored_edits = edits;
        if job.edits == edits {
            job.stored_state = job.progress.state;
        }
        if job.stored_state.is_final() {
            let view = JobStateReply::Known(job.stored_state);
            let state_queries = std::mem::take(&mut job.state_queries);
            for (link, query) in job.cancel_queries.drain(..).chain(state_queries) {
                ctx.send_member(link, ToMember::State { query, view });
            }
        }
        self.queue_recorded_starts(id, edits);
    }
}
