//! Jobs as the leader runs them.

use crate::{
    cell::{
        leader::{advice::StepAdvice, fleet::WorkerIx, Leader},
        node::Ctx,
        JobRow, JobState, JobStateReply, LinkId, LogEvent, Progress, QueryId, Queue, RowVersion,
        StepKey, StepProgress, TaskKey, ToMember,
    },
    JobId, Millis,
};

/// The longest age that a job on record is taken to have: clocks of daemons may jump.
const MAX_AGE_MS: u64 = 60_000;

/// Where a task is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// The worker where a run of it may be alive.
    pub(crate) worker: Option<WorkerIx>,
    /// The highest run number that was used.
    pub(crate) run: u32,
}

/// One step of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) running: u32,
    pub(crate) advice: StepAdvice,
    /// The workers on which a run of the step has failed.
    pub(crate) failed_on: Vec<WorkerIx>,
    /// Where the members of a gang will start once their tickets are there.
    pub(crate) plan: Option<Vec<WorkerIx>>,
    /// Where single tasks will start once the tickets that are asked for are there.
    pub(crate) renewing: Vec<WorkerIx>,
    /// Whether an earlier member could not start, so that all have to end first.
    pub(crate) aborted: bool,
    /// The estimated work from the step's start to the job's end.
    pub(crate) path_ms: u64,
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) row: JobRow,
    pub(crate) progress: Progress,
    pub(crate) progress_version: RowVersion,
    /// Counts the changes of `progress`, and which of them is on record.
    pub(crate) edits: u64,
    pub(crate) stored_edits: u64,
    pub(crate) stored_state: JobState,
    pub(crate) steps: Vec<Step>,
    pub(crate) started: bool,
    /// Whether its team sent more than its share when it came.
    pub(crate) surplus: bool,
    pub(crate) accepted_at: Millis,
    pub(crate) ended_at: Millis,
    pub(crate) cancel_asks: Vec<(LinkId, QueryId)>,
    /// Questions about its state whose answers wait for its end.
    pub(crate) state_asks: Vec<(LinkId, QueryId)>,
}

impl Job {
    fn new(ctx: &Ctx, row: JobRow) -> Self {
        let age_ms = ctx
            .unix_ms
            .saturating_sub(row.accepted_unix_ms)
            .min(MAX_AGE_MS);
        let tasks = |count: u32| vec![Task::default(); count as usize];
        let steps = row
            .submission
            .steps
            .iter()
            .enumerate()
            .map(|(at, spec)| Step {
                tasks: tasks(spec.count),
                path_ms: row.submission.critical_path_from_ms(at),
                ..Step::default()
            });
        let steps: Vec<Step> = steps.collect();
        Self {
            progress: Progress {
                steps: vec![StepProgress::default(); steps.len()],
                ..Progress::default()
            },
            progress_version: RowVersion(0),
            edits: 0,
            stored_edits: 0,
            stored_state: JobState::Pending,
            steps,
            started: false,
            surplus: false,
            accepted_at: ctx.now.since(Millis(age_ms)),
            ended_at: Millis(0),
            cancel_asks: Vec::new(),
            state_asks: Vec::new(),
            row,
        }
    }

    /// Returns the state that callers are shown: an end only once it is on record.
    pub(crate) fn shown(&self) -> JobState {
        match (self.stored_state.is_final(), self.started) {
            (true, _) => self.stored_state,
            (false, true) => JobState::Running,
            (false, false) => JobState::Pending,
        }
    }

    /// Says whether it has ended, its end is on record, and nothing of it runs.
    pub(crate) fn is_settled(&self) -> bool {
        self.stored_state.is_final() && self.steps.iter().all(|step| step.running == 0)
    }

    /// Says whether all earlier steps that a step waits for are done.
    pub(crate) fn is_open(&self, step: usize) -> bool {
        let done = |at: &u16| {
            let step = &self.steps[usize::from(*at)];
            step.done as usize == step.tasks.len()
        };
        self.row.submission.steps[step].after.iter().all(done)
    }

    /// Says whether a task has ended well.
    pub(crate) fn is_done(&self, step: usize, index: u32) -> bool {
        self.progress.steps[step].is_done(index)
    }

    /// Says whether a task of the step could start now.
    fn is_ready(&self, at: usize) -> bool {
        let step = &self.steps[at];
        let left = step.tasks.len() as u32 - step.done - step.running;
        let whole = !self.row.submission.steps[at].gang || step.running == 0;
        !self.progress.state.is_final() && left > 0 && whole && self.is_open(at)
    }

    /// Returns by when it should be done, and the span that its queue allows.
    pub(crate) fn objective_ms(&self, queue: &Queue) -> u64 {
        let path_ms = self
            .steps
            .iter()
            .map(|step| step.path_ms)
            .max()
            .unwrap_or(0);
        path_ms * queue.slack_permille / 1_000 + queue.target_latency_ms.0
    }
}

impl Leader {
    /// Takes a job that is on record.
    pub(crate) fn learn(&mut self, ctx: &mut Ctx, row: JobRow, version: RowVersion) {
        if self.jobs.contains_key(&row.id) {
            return;
        }
        let id = row.id.clone();
        let queue = row.queue.clone();
        let mut job = Job::new(ctx, row);
        job.surplus = !self.is_within_share(ctx.now, &job.row);
        let line = LogEvent::info("job_learned")
            .with("job", &id)
            .with("version", version);
        let age_ms = ctx.now.since(job.accepted_at);
        if self.load.is_done() {
            let line = line.with("surplus", job.surplus);
            ctx.log(line.with("age_ms", age_ms.0).with("steps", job.steps.len()));
        }
        *self.queued.entry(queue).or_default() += 1;
        self.jobs.insert(id.clone(), job);
        if self.load.is_done() {
            self.refresh_job(&id);
        }
    }

    /// Counts a job that has just come against its team's share; jobs found on record do not count.
    fn is_within_share(&mut self, now: Millis, row: &JobRow) -> bool {
        let team = row.team.as_ref().filter(|_| self.load.is_done());
        let weight = team.and_then(|team| Some(self.state.as_ref()?.team(team)?.weight));
        match (team, weight) {
            (Some(team), Some(weight)) if weight > 0 => self.intake.admit(now, team, weight),
            _ => true,
        }
    }

    /// Gives the jobs that were read their progress, once everything is read.
    pub(crate) fn attach_progress(&mut self, ctx: &mut Ctx) {
        for (id, (version, progress)) in self.commits.take_loaded() {
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
                step.done = (0..step.tasks.len() as u32).filter(done).count() as u32;
            }
            job.progress_version = version;
            job.stored_state = progress.state;
            if progress.state.is_final() {
                let count = self.queued.entry(job.row.queue.clone()).or_default();
                *count = count.saturating_sub(u64::from(!job.started));
                job.started = true;
                job.ended_at = ctx.now;
            }
            job.progress = progress;
            self.adopt_placements(ctx, &id);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.refresh_job(&id);
        }
    }

    /// Notes that a task of the job has started.
    pub(crate) fn mark_started(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.started) else {
            return;
        };
        job.started = true;
        if let Some(count) = self.queued.get_mut(&job.row.queue) {
            *count = count.saturating_sub(1);
        }
    }

    /// Brings the steps that may start up to date.
    pub(crate) fn refresh_job(&mut self, id: &JobId) {
        let count = self.jobs.get(id).map_or(0, |job| job.steps.len());
        for at in 0..count {
            let Some(job) = self.jobs.get(id) else { return };
            let key = StepKey {
                job: id.clone(),
                occurrence: 0,
                step: at as u16,
            };
            if job.is_ready(at) {
                let advice = &job.steps[at].advice;
                let unasked = advice.verdicts.is_empty() && advice.asking.is_none();
                if let (Some(state), true) = (self.state.clone(), unasked) {
                    self.ask_first(self.now, &state, &key);
                }
                let Some(job) = self.jobs.get(id) else { return };
                let advice = &job.steps[at].advice;
                if advice.verdicts.is_empty() && advice.asking.is_some() {
                    // Nothing can be decided before the first answer.
                    self.ready.remove(&key);
                    continue;
                }
                let rank = self.rank(&key);
                self.wants_pass |= self.ready.insert(&key, rank);
            } else {
                self.ready.remove(&key);
            }
        }
    }

    /// Notes that the job's progress has changed and has to be written.
    pub(crate) fn edit(&mut self, id: &JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        job.edits += 1;
        self.commits.mark(id);
        job.edits
    }

    /// Ends a job: stops what runs and starts nothing more.
    pub(crate) fn end_job(&mut self, ctx: &mut Ctx, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        job.progress.state = state;
        job.progress.ended_unix_ms = ctx.unix_ms;
        job.ended_at = ctx.now;
        let line = LogEvent::info("job_ended")
            .with("job", id)
            .with("state", format_args!("{state:?}"));
        let took_ms = ctx.now.since(job.accepted_at);
        ctx.log(
            line.with("queue", &job.row.queue)
                .with("took_ms", took_ms.0),
        );
        for progress in &mut job.progress.steps {
            progress.checkpoints.clear();
        }
        self.mark_started(id);
        self.edit(id);
        self.drop_plans(id);
        self.refresh_job(id);
        if state != JobState::Completed {
            self.stop_job(ctx, id);
        }
    }

    /// Orders all runs of a job to stop.
    fn stop_job(&mut self, ctx: &mut Ctx, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut runs = Vec::new();
        for (at, step) in job.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let Some(ix) = task.worker else { continue };
                let step = StepKey {
                    job: id.clone(),
                    occurrence: 0,
                    step: at as u16,
                };
                let index = index as u32;
                runs.push((ix, TaskKey { step, index }));
            }
        }
        for (ix, task) in runs {
            self.stop_run(ctx, ix, &task);
        }
    }

    /// Notes that a state of a job's progress is on record.
    pub(crate) fn on_stored(&mut self, ctx: &mut Ctx, id: &JobId, edits: u64, version: RowVersion) {
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
            let asks = std::mem::take(&mut job.state_asks);
            for (link, query) in job.cancel_asks.drain(..).chain(asks) {
                ctx.send_member(link, ToMember::State { query, view });
            }
        }
        self.on_placed(id, edits);
    }
}
