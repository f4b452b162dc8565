//! Recorded placements. A placement is stored before the start of its run is sent, so that a later
//! leader knows where each task may run.
//!
//! This covers a failure domain that is cut off with the leader in it: the next leader holds back
//! only the tasks placed on workers that it can't reach, and starts all others at once.

use crate::{
    cell::{
        leader::{
            fleet::WorkerIx,
            jobs::Job,
            schedule::MAX_CLOCK_AGE_MS,
            step::{Step, TaskRun},
            worker::{Run, RunPhase},
            worker_rpcs::RecordedStart,
            Leader,
        },
        node::Ctx,
        JobRow, LogEvent, Placement, Progress, StepKey, TaskKey,
    },
    JobId, Millis,
};

impl Job {
    /// Returns the latest checkpoint of a task; all members of a gang share one.
    fn checkpoint(&self, task: &TaskKey) -> Option<compact_str::CompactString> {
        let at = usize::from(task.step.step);
        let index = if self.row.submission.steps[at].gang {
            0
        } else {
            task.index
        };
        self.progress.steps[at].checkpoints.get(&index).cloned()
    }
}

fn new_run(row: &JobRow, at: usize, number: u32, phase: RunPhase, now: Millis) -> Run {
    Run {
        number,
        need: row.submission.steps[at].need,
        team: row.team.clone(),
        phase,
        phase_since: now,
        confirmed_at: None,
        percent: 0,
        checkpoint: None,
    }
}

impl Leader {
    /// Places a task on a worker with enough free room; its start is sent once the placement is
    /// stored.
    pub(crate) fn record_placement(&mut self, ix: WorkerIx, task: TaskKey, number: u32) {
        let at = usize::from(task.step.step);
        let edit = self.mark_edited(&task.step.job);
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let mut run = new_run(&job.row, at, number, RunPhase::Placed(edit), self.now);
        run.checkpoint = job.checkpoint(&task);
        self.add_run(ix, &task, run);
    }

    /// Returns how many more placements a job's row can hold. Checkpoints are not counted: they are left
    /// out of a row that has no room for them.
    pub(crate) fn row_headroom(&self, job: &Job, placement_bytes: usize) -> u64 {
        let runs: usize = job.steps.iter().map(Step::run_count).sum();
        let used = job.progress.max_base_bytes() + runs * placement_bytes;
        let free = self.max_value_bytes.saturating_sub(used);
        (free / placement_bytes) as u64
    }

    /// Returns a job's progress with the placements of its tasks, as it is written to the store.
    pub(crate) fn progress_with_placements(&self, job: &Job) -> Progress {
        let mut progress = job.progress.clone();
        for (recorded, step) in progress.steps.iter_mut().zip(&job.steps) {
            let placed = step.newest_runs().map(|(index, run)| {
                let worker = self.fleet.get(run.worker).entry.id.clone();
                let run = run.number;
                (index, Placement { worker, run })
            });
            recorded.placed = placed.collect();
        }
        progress
    }

    /// Queues the starts of a job's runs whose placements are stored now that the changes up to
    /// number `edits` are.
    pub(crate) fn queue_recorded_starts(&mut self, id: &JobId, edits: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        for (at, step) in job.steps.iter().enumerate() {
            for (index, TaskRun { worker: ix, number }) in step.runs() {
                let task = task_key(id, at, index);
                let run = self.fleet.get(ix).runs.get(&task);
                let phase = run.map(|run| run.phase);
                if matches!(phase, Some(RunPhase::Placed(edit)) if edit <= edits) {
                    let run = number;
                    self.recorded_starts.push(RecordedStart { ix, task, run });
                }
            }
        }
    }

    /// Sends the queued starts, and drops the placements whose runs can't start any more.
    pub(crate) fn send_recorded_starts(&mut self, ctx: &mut Ctx) {
        for RecordedStart { ix, task, run } in std::mem::take(&mut self.recorded_starts) {
            let current = self.fleet.get(ix).runs.get(&task);
            let is_unsent = |current: &Run| {
                current.number == run && matches!(current.phase, RunPhase::Placed(_))
            };
            if !current.is_some_and(is_unsent) {
                continue;
            }
            if self.can_start(ctx.now, ix, &task) {
                self.send_start(ctx, ix, task, run);
            } else {
                self.drop_placement(ctx, ix, &task, run);
            }
        }
    }

    /// Returns whether a placed run may still start: its worker is usable, its room is not exceeded,
    /// and there is a valid ticket if one is needed.
    fn can_start(&self, now: Millis, ix: WorkerIx, task: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let state = self.state.as_ref();
        let queue = state.and_then(|state| state.queue(&job.row.queue));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let advice = &job.steps[usize::from(task.step.step)].advice;
        let ticket = !needs_ticket || advice.ticket(ix, now).is_some();
        let worker = self.fleet.get(ix);
        let has_room = worker.used.fits(&worker.entry.capacity);
        ticket && has_room && worker.is_usable(now, MAX_CLOCK_AGE_MS)
    }

    /// Drops a placement whose start was never sent.
    fn drop_placement(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey, run: u32) {
        let worker = self.fleet.get(ix);
        let event = LogEvent::info("placement_dropped").with("task", task);
        let event = event.with("run", run).with("worker", &worker.entry.id);
        ctx.log(event.with("usable", worker.is_usable(ctx.now, MAX_CLOCK_AGE_MS)));
        self.release_run(ix, task);
        let at = usize::from(task.step.step);
        let job = self.jobs.get(&task.step.job);
        if job.is_some_and(|job| job.row.submission.steps[at].gang) {
            self.abort_gang(ctx, task);
        }
        self.refresh_pending_steps(&task.step.job);
    }

    /// Occupies the room of a job's recorded placements, until their workers have listed their runs
    /// under this leader's token or their leases have expired.
    pub(crate) fn adopt_placements(&mut self, ctx: &Ctx, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let ended = job.progress.state.is_final();
        let mut placed = Vec::new();
        for (at, step) in job.progress.steps.iter().enumerate() {
            for (&index, placement) in &step.placed {
                let task_exists = index < job.steps[at].count();
                if task_exists && !step.is_done(index) {
                    placed.push((task_key(id, at, index), placement.clone()));
                }
            }
        }
        if !placed.is_empty() {
            self.mark_started(id);
        }
        let lease_expires_at = self.started_at + self.max_lease_with_drift_ms(ctx);
        for (task, placement) in placed {
            let ix = self.worker_or_placeholder(&placement.worker);
            let at = usize::from(task.step.step);
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            let phase = match ended {
                true => RunPhase::Stopping(ctx.now),
                false => RunPhase::Active,
            };
            let mut run = new_run(&job.row, at, placement.run, phase, ctx.now);
            run.checkpoint = job.checkpoint(&task);
            // Any list that this leader requests shows whether the run is still active, so the run
            // counts as confirmed before the first of them.
            run.confirmed_at = (!ended).then_some(Millis(0));
            self.add_run(ix, &task, run);
            let worker = self.fleet.get_mut(ix);
            worker.lease_expires_at = worker.lease_expires_at.max(lease_expires_at);
        }
    }
}

fn task_key(id: &JobId, at: usize, index: u32) -> TaskKey {
    TaskKey {
        step: StepKey {
            job: id.clone(),
            occurrence: 0,
            step: at as u16,
        },
        index,
    }
}
