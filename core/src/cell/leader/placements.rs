//! Recorded placements. A placement is stored before the start of its run is sent, so that a later
//! leader knows where each task may run.
//!
//! This covers a failure domain that is cut off with the leader in it: the next leader holds back
//! only the tasks placed on workers that it can't reach, and starts all others at once.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            candidates::may_run,
            fleet::WorkerIx,
            jobs::Job,
            policy::Policy,
            schedule::MAX_CLOCK_AGE_MS,
            step::{Step, TaskRun},
            worker::{LeaseRecord, Run, RunPhase, Worker},
            worker_rpcs::RecordedStart,
            Leader,
        },
        row_size::{max_id_bytes, max_placement_bytes},
        JobRow, LogEvent, Placement, Progress, StepKey, TaskKey,
    },
    JobId, Millis,
};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a placed run may start, in ascending order of what prevents it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StartCheck {
    Ready,
    /// Its ticket has expired and is being renewed.
    TicketExpired,
    Impossible,
}

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
        if let Some(team) = &run.team {
            self.limit_reservations.mark_placed(team, &task.step);
        }
        self.add_run(ix, &task, run);
        if self.advice_cost(&task.step).is_some() {
            let check_at = self.now + consts::SLOW_WRITE_THRESHOLD_MS;
            self.unsent_starts.add(&task.step, check_at);
        }
    }

    /// Returns how many more placements of a step a job's row can hold; for a gang, on workers with ids of
    /// up to [`Leader::max_gang_id_bytes`].
    pub(crate) fn row_headroom(&self, job: &Job, at: usize) -> u64 {
        let spec = &job.row.submission.steps[at];
        if spec.gang && self.max_gang_id_bytes(job, at) > 0 {
            return u64::from(spec.count);
        }
        let placement_bytes = max_placement_bytes(self.fleet.longest_id_bytes());
        (self.free_row_bytes(job) / placement_bytes) as u64
    }

    /// Returns the longest id of a worker on which members of a gang may be placed, so that the placements of
    /// all members fit into the job's row. Workers with longer ids may have joined after its acceptance.
    pub(crate) fn max_gang_id_bytes(&self, job: &Job, at: usize) -> usize {
        max_id_bytes(self.free_row_bytes(job), job.steps[at].count())
    }

    /// Returns how many bytes a job's row has for more placements. Checkpoints are not counted: they are left
    /// out of a row that has no room for them.
    fn free_row_bytes(&self, job: &Job) -> usize {
        let runs: usize = job.steps.iter().map(Step::run_count).sum();
        let run_bytes = runs * max_placement_bytes(self.fleet.longest_id_bytes());
        let used = job.progress.max_base_bytes() + run_bytes;
        self.max_value_bytes.saturating_sub(used)
    }

    /// Returns a job's progress with the placements of its tasks, as it is written to the store.
    pub(crate) fn progress_with_placements(&self, job: &Job) -> Progress {
        let mut progress = job.progress.clone();
        for (recorded, step) in progress.steps.iter_mut().zip(&job.steps) {
            let placed = step.newest_runs().map(|(index, run)| {
                let worker = self.fleet.get(run.worker);
                let placement = Placement {
                    worker: worker.id().clone(),
                    run: run.number,
                    lease_ends_ms: worker.lease_record.ends_ms(),
                };
                (index, placement)
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

    /// Sends the queued starts whose runs may start. The members of a gang start only if all may.
    pub(crate) fn send_recorded_starts(&mut self, ctx: &mut Ctx, policy: &Policy) {
        let mut steps: BTreeMap<StepKey, Vec<RecordedStart>> = BTreeMap::new();
        for start in std::mem::take(&mut self.recorded_starts) {
            if self.is_unsent(&start) {
                let step = start.task.step.clone();
                steps.entry(step).or_default().push(start);
            }
        }
        for (key, starts) in steps {
            let job = self.jobs.get(&key.job);
            let spec = job.map(|job| &job.row.submission.steps[usize::from(key.step)]);
            if spec.is_some_and(|spec| spec.gang) {
                self.send_recorded_group(ctx, policy, &key, starts);
            } else {
                for start in starts {
                    self.send_recorded_group(ctx, policy, &key, vec![start]);
                }
            }
        }
    }

    /// Sends starts if all of their runs may start, keeps them while tickets are renewed, and drops
    /// the placements that can't start any more.
    fn send_recorded_group(
        &mut self,
        ctx: &mut Ctx,
        policy: &Policy,
        key: &StepKey,
        starts: Vec<RecordedStart>,
    ) {
        let check =
            |start: &RecordedStart| self.check_start(ctx.now, policy, start.ix, &start.task);
        let worst = starts.iter().map(check).max();
        for start in starts {
            // Dropping one member of a gang releases the others.
            if !self.is_unsent(&start) {
                continue;
            }
            let own = self.check_start(ctx.now, policy, start.ix, &start.task);
            let RecordedStart { ix, task, run } = start;
            match (worst, own) {
                (Some(StartCheck::Ready), _) => self.send_start(ctx, ix, task, run),
                (Some(StartCheck::TicketExpired), _) => {
                    self.unsent_starts.hold(key, ctx.now);
                }
                (_, StartCheck::Impossible) => self.drop_placement(ctx, ix, &task, run),
                _ => {}
            }
        }
    }

    /// Returns whether the run of a queued start is still placed and its start has not been sent.
    fn is_unsent(&self, start: &RecordedStart) -> bool {
        let current = self.fleet.get(start.ix).runs.get(&start.task);
        current.is_some_and(|current| {
            current.number == start.run && matches!(current.phase, RunPhase::Placed(_))
        })
    }

    /// Checks whether a placed run may still start: its task has an attempt left, its worker may run
    /// it and is usable, its room is not exceeded, and there is a valid ticket if one is needed.
    fn check_start(
        &self,
        now: Millis,
        policy: &Policy,
        ix: WorkerIx,
        task: &TaskKey,
    ) -> StartCheck {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return StartCheck::Impossible;
        };
        let at = usize::from(task.step.step);
        if !policy.allows_attempt(job, at, task.index) {
            return StartCheck::Impossible;
        }
        let needs_ticket = policy.advice_cost(&job.row).is_some();
        let advice = &job.steps[at].advice;
        let worker = self.fleet.get(ix);
        let spec = &job.row.submission.steps[at];
        let queue = policy.queue(&job.row);
        let has_room = worker.used.fits(&worker.capacity());
        let is_allowed = !needs_ticket || advice.allows(ix);
        let may_run = is_allowed && queue.is_some_and(|queue| may_run(worker, queue, spec));
        if !may_run || !has_room || !worker.is_usable(now, MAX_CLOCK_AGE_MS) {
            return StartCheck::Impossible;
        }
        match !needs_ticket || advice.ticket(ix, now).is_some() {
            true => StartCheck::Ready,
            false if self.unsent_starts.may_wait(&task.step, now) => StartCheck::TicketExpired,
            false => StartCheck::Impossible,
        }
    }

    /// Drops a placement whose start was never sent.
    pub(crate) fn drop_placement(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey, run: u32) {
        let worker = self.fleet.get(ix);
        let event = LogEvent::info("placement_dropped").with("task", task);
        let event = event.with("run", run).with("worker", worker.id());
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
        let longest_lease_ends_at = self.earlier_leads_end_at + self.max_lease_with_drift_ms(ctx);
        for (task, placement) in placed {
            let recorded_end = placement
                .lease_ends_ms
                .and_then(|end_ms| self.loader.time_at_clock(end_ms));
            if recorded_end.is_some_and(|end| end <= ctx.now) {
                // The run has ended with the lease.
                continue;
            }
            let lease_expires_at = recorded_end
                .unwrap_or(longest_lease_ends_at)
                .min(longest_lease_ends_at);
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
            if let Some(ends_ms) = worker.lease_record.ends_ms().max(placement.lease_ends_ms) {
                // The row may be older than the last renewal, so the end also covers the placements on
                // the worker that have none.
                let latest_ms = ctx.store_clock.at_most(worker.lease_expires_at);
                worker.lease_record =
                    LeaseRecord::EndsAt(ends_ms.max(latest_ms.unwrap_or(ends_ms)));
            }
        }
    }

    /// Records when the leases of silent workers end, so that the next leader does not wait for a whole
    /// lease again.
    pub(crate) fn record_lease_ends(&mut self, ctx: &mut Ctx) {
        let started_at = self.started_at;
        let is_due = |worker: &Worker| {
            let is_silent = worker.failed_polls > 0 || worker.address().is_empty();
            let silent_ms = ctx.now.since(worker.answered_at.max(started_at));
            let is_unrecorded = worker.lease_record == LeaseRecord::None;
            let has_runs = !worker.runs.is_empty();
            is_silent && silent_ms >= consts::LEASE_RECORD_DELAY_MS && is_unrecorded && has_runs
        };
        let workers = self.fleet.iter();
        let due = workers.filter(|(_, worker)| is_due(worker));
        for ix in due.map(|(ix, _)| ix).collect::<Vec<_>>() {
            let worker = self.fleet.get_mut(ix);
            let Some(ends_ms) = ctx.store_clock.at_most(worker.lease_expires_at) else {
                continue;
            };
            worker.lease_record = LeaseRecord::EndsAt(ends_ms);
            let event = LogEvent::warn("lease_end_recorded").with("worker", worker.id());
            let event = event.with("runs", worker.runs.len());
            ctx.log(event.with("left_ms", worker.lease_expires_at.since(ctx.now).0));
            self.mark_jobs_edited(ix);
        }
    }

    /// Clears the recorded end of the lease of a worker that answers, so that it may be renewed again.
    pub(crate) fn clear_lease_record(&mut self, ix: WorkerIx) {
        match &self.fleet.get(ix).lease_record {
            LeaseRecord::None => {}
            LeaseRecord::EndsAt(_) => {
                // The changes are written without the end from here on.
                self.fleet.get_mut(ix).lease_record = LeaseRecord::Clearing(Vec::new());
                let edits = self.mark_jobs_edited(ix);
                self.fleet.get_mut(ix).lease_record = LeaseRecord::Clearing(edits);
            }
            LeaseRecord::Clearing(edits) => {
                let is_stored = |(id, edits): &(JobId, u64)| {
                    let job = self.jobs.get(id);
                    job.is_none_or(|job| job.stored_edits >= *edits)
                };
                if edits.iter().all(is_stored) {
                    self.fleet.get_mut(ix).lease_record = LeaseRecord::None;
                }
            }
        }
    }

    /// Schedules a write of the progress of all jobs with runs on a worker; returns the changes.
    fn mark_jobs_edited(&mut self, ix: WorkerIx) -> Vec<(JobId, u64)> {
        let tasks = self.fleet.get(ix).runs.keys();
        let jobs: BTreeSet<JobId> = tasks.map(|task| task.step.job.clone()).collect();
        let edits = jobs.into_iter().map(|id| {
            let edits = self.mark_edited(&id);
            (id, edits)
        });
        edits.collect()
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
