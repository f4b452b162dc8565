//! Tracks runs by the lists that workers return: active, ended, missing, or expired with the lease.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            fleet::WorkerIx,
            step::{Step, TaskRun},
            worker::{log_unpaired, LeaseRecord, Run, Worker},
            Leader,
        },
        FinishedRun, JobState, LogEvent, RunOutcome, TaskKey, UnreadableRows, WorkerRuns,
    },
    JobId, Millis,
};
use compact_str::CompactString;

/// The maximum number of an ended run. Ends up to the last number seen are ignored, so a malformed
/// higher number would hide all later ends of the worker.
const MAX_END_NUMBER: u64 = 1 << 53;
/// How far above the first run number of the current leader a listed run may be. No leader places a
/// higher one, and a stop of it would make its worker refuse all later runs of the task.
const MAX_RUN_NUMBERS_AHEAD: u32 = 1_000_000;

impl Leader {
    /// Handles a worker's lists of runs, which were requested at `sent_at`, and the rows of these lists
    /// that can't be read.
    pub(crate) fn on_listed(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        sent_at: Millis,
        clock: Millis,
        mut view: WorkerRuns,
        unreadable: &UnreadableRows,
    ) {
        let worker = self.fleet.get_mut(ix);
        if view.incarnation != worker.incarnation() && sent_at < worker.incarnation_seen_at {
            // Its numbers of ended runs would acknowledge those of the present incarnation.
            let event = LogEvent::warn("list_outdated").with("worker", worker.id());
            return ctx.log(event.with("age_ms", ctx.now.since(sent_at).0));
        }
        self.detect_restart(ctx, ix, &view);
        let listed = view.active.len();
        let first_run = self.first_run();
        let max_run = first_run.saturating_add(MAX_RUN_NUMBERS_AHEAD);
        view.active.retain(|run| run.run <= max_run);
        let unreadable_runs = unreadable.active + (listed - view.active.len()) as u32;
        let worker = self.fleet.get_mut(ix);
        if !worker.has_reported {
            let event = LogEvent::info("worker_held").with("worker", worker.id());
            let event = event
                .with("token", self.token)
                .with("active", view.active.len());
            ctx.log(event.with("finished", view.finished.len()));
        }
        self.needs_pass |=
            !worker.has_reported || worker.failed_polls > 0 || worker.clock.is_none();
        worker.has_reported = true;
        worker.clock = Some((clock, ctx.now));
        worker.answered_at = ctx.now;
        worker.failed_polls = 0;
        for end in std::mem::take(&mut view.finished) {
            self.on_finished(ctx, ix, end);
        }
        self.skip_unreadable_ends(ctx, ix, unreadable);
        self.note_unreadable_runs(ctx, ix, unreadable_runs);
        self.note_unlisted_ends(ctx, ix, view.has_more_finished);
        self.reconcile_active(ctx, ix, sent_at, &view);
        let worker = self.fleet.get_mut(ix);
        if worker.unstored.is_empty() {
            worker.last_end_stored = worker.last_end_seen;
        }
    }

    /// Passes over ended runs that can't be read, so that they are acknowledged with the others. No end
    /// is lost by that: a run that ended is missing from the active ones, and its task starts again.
    fn skip_unreadable_ends(&mut self, ctx: &mut Ctx, ix: WorkerIx, unreadable: &UnreadableRows) {
        let worker = self.fleet.get_mut(ix);
        let had_unnumbered = worker.has_unnumbered_ends;
        worker.has_unnumbered_ends = unreadable.unnumbered > 0;
        if worker.has_unnumbered_ends && !had_unnumbered {
            // They are acknowledged with any later end.
            let event = LogEvent::warn("end_unreadable").with("worker", worker.id());
            ctx.log(event.with("unnumbered", unreadable.unnumbered));
        }
        for &number in &unreadable.finished {
            let worker = self.fleet.get_mut(ix);
            let last = worker.last_end_seen;
            if number <= last {
                continue;
            }
            // A number far ahead may be malformed itself, and would hide the next ends.
            let is_next = number <= last.saturating_add(consts::MAX_LISTED_ENDS);
            if is_next {
                worker.last_end_seen = number;
            }
            let event = LogEvent::warn("end_unreadable").with("worker", worker.id());
            ctx.log(event.with("number", number).with("skipped", is_next));
        }
    }

    /// Notes whether a worker's list of active runs has rows that can't be read.
    fn note_unreadable_runs(&mut self, ctx: &mut Ctx, ix: WorkerIx, count: u32) {
        let worker = self.fleet.get_mut(ix);
        let since = worker.unreadable_since;
        worker.unreadable_since = (count > 0).then(|| since.unwrap_or(ctx.now));
        if worker.unreadable_since.is_some() && since.is_none() {
            let event = LogEvent::warn("runs_unreadable").with("worker", worker.id());
            ctx.log(event.with("count", count).with("runs", worker.runs.len()));
        }
    }

    /// Notes whether a worker may hold ended runs that its list does not name.
    fn note_unlisted_ends(&mut self, ctx: &mut Ctx, ix: WorkerIx, has_more: bool) {
        let worker = self.fleet.get_mut(ix);
        let had_more = std::mem::replace(&mut worker.has_more_ends, has_more);
        if has_more != had_more {
            let event = LogEvent::info("ends_unlisted").with("worker", worker.id());
            let event = event.with("more", has_more).with("runs", worker.runs.len());
            ctx.log(event.with("seen", worker.last_end_seen));
        }
    }

    /// Resets the state of a worker's ended runs when it has restarted, or reports for the first
    /// time: each incarnation numbers its ended runs anew.
    fn detect_restart(&mut self, ctx: &mut Ctx, ix: WorkerIx, view: &WorkerRuns) {
        let worker = self.fleet.get_mut(ix);
        if view.incarnation == worker.incarnation() && worker.has_reported {
            return;
        }
        if worker.has_reported {
            let event = LogEvent::warn("worker_restarted").with("worker", worker.id());
            ctx.log(
                event
                    .with("runs", worker.runs.len())
                    .with("seen", worker.last_end_seen),
            );
        }
        self.fleet.set_reported(ix, view.incarnation);
        let worker = self.fleet.get_mut(ix);
        log_unpaired(ctx, worker);
        worker.incarnation_seen_at = ctx.now;
        worker.last_end_seen = 0;
        worker.last_end_stored = 0;
        worker.last_end_acknowledged = 0;
        worker.unstored.clear();
        worker.failures = 0;
        self.advice.invalidate_tickets(ix);
    }

    /// Handles an ended run that a worker lists, unless it was handled before.
    fn on_finished(&mut self, ctx: &mut Ctx, ix: WorkerIx, end: FinishedRun) {
        let worker = self.fleet.get_mut(ix);
        if end.number <= worker.last_end_seen {
            return;
        }
        if end.number > MAX_END_NUMBER {
            let event = LogEvent::warn("end_refused").with("worker", worker.id());
            let event = event.with("task", &end.task).with("run", end.run);
            return ctx.log(event.with("number", end.number));
        }
        worker.last_end_seen = end.number;
        let is_current = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        let event = match end.outcome {
            RunOutcome::Done => LogEvent::info("run_ended"),
            _ => LogEvent::warn("run_ended"),
        };
        let event = event.with("task", &end.task).with("run", end.run);
        let event = event
            .with("worker", worker.id())
            .with("how", format_args!("{:?}", end.outcome));
        ctx.log(event.with("number", end.number).with("held", is_current));
        if is_current {
            self.release_run(ix, &end.task);
        }
        if let Some(edits) = self.apply_end(ctx, ix, &end) {
            let job = end.task.step.job.clone();
            self.fleet.get_mut(ix).unstored.push((job, edits));
            self.progress_writes.add_waiting_worker(ix);
        }
        self.after_end(ctx, &end.task, end.run);
    }

    /// Applies an ended run to the job's progress; returns the number of the change that must be
    /// stored before the run is acknowledged to the worker, if any.
    fn apply_end(&mut self, ctx: &mut Ctx, ix: WorkerIx, end: &FinishedRun) -> Option<u64> {
        let id = &end.task.step.job;
        let at = usize::from(end.task.step.step);
        let spec = self.jobs.get(id)?.row.submission.steps.get(at)?;
        let (gang, long_running) = (spec.gang, spec.long_running);
        if end.task.index >= spec.count {
            return None;
        }
        self.mark_begun(id);
        match end.outcome {
            RunOutcome::Done if !long_running => {
                self.fleet.get_mut(ix).failures = 0;
                self.mark_done(ctx, &end.task, gang)
            }
            RunOutcome::Failed if !long_running => {
                let job = self.jobs.get_mut(id)?;
                job.steps[at].failed_on.push(ix);
                let index = if gang { 0 } else { end.task.index };
                job.progress.steps[at].add_failed(index, end.run);
                self.save_checkpoint(&end.task, gang, end.checkpoint.clone());
                let edits = self.mark_edited(id);
                self.record_failure(ctx, ix);
                if self.has_no_attempt_left(id, at, index) {
                    self.end_job(ctx, id, JobState::Failed);
                    return self.jobs.get(id).map(|job| job.edits);
                }
                Some(edits)
            }
            _ => {
                self.save_checkpoint(&end.task, gang, end.checkpoint.clone());
                None
            }
        }
    }

    /// Returns whether a task has failed in all its attempts. Before a desired state is read the limit is
    /// unknown; the recorded failures are compared with it then.
    fn has_no_attempt_left(&self, id: &JobId, at: usize, index: u32) -> bool {
        let (Some(policy), Some(job)) = (&self.policy, self.jobs.get(id)) else {
            return false;
        };
        !policy.allows_attempt(job, at, index)
    }

    /// Counts a failed run against a worker. After several in a row the worker is quarantined,
    /// unless too many others are.
    fn record_failure(&mut self, ctx: &mut Ctx, ix: WorkerIx) {
        let now = ctx.now;
        let is_quarantined = |worker: &Worker| worker.listed && now < worker.quarantined_until;
        let quarantined = self
            .fleet
            .iter()
            .filter(|(_, worker)| is_quarantined(worker))
            .count();
        let max_quarantined = self.fleet.len() / consts::QUARANTINE_DIVISOR;
        let worker = self.fleet.get_mut(ix);
        worker.failures += 1;
        if worker.failures >= consts::QUARANTINE_FAILURES && quarantined < max_quarantined {
            worker.quarantined_until = now + consts::QUARANTINE_MS;
            let event = LogEvent::warn("worker_quarantined").with("worker", worker.id());
            ctx.log(
                event
                    .with("failures", worker.failures)
                    .with("resting", quarantined),
            );
        }
    }

    /// Marks a task as done, or all members of a gang once one of them has succeeded; returns the
    /// number of the last change.
    fn mark_done(&mut self, ctx: &mut Ctx, task: &TaskKey, gang: bool) -> Option<u64> {
        let id = &task.step.job;
        let at = usize::from(task.step.step);
        let job = self.jobs.get_mut(id)?;
        let members = match gang {
            true => 0..job.steps[at].count(),
            false => task.index..task.index + 1,
        };
        let mut changed = false;
        for index in members {
            if job.steps[at].set_done(index) {
                job.progress.steps[at].set_done(index);
                job.progress.steps[at].checkpoints.remove(&index);
                job.progress.steps[at].failed.remove(&index);
                changed = true;
            }
        }
        let other_runs = job.steps[at].runs_of(task.index).to_vec();
        let is_job_done = job.steps.iter().all(Step::is_done);
        if changed {
            self.refresh_backlog(id);
            self.mark_edited(id);
        }
        if is_job_done {
            self.end_job(ctx, id, JobState::Completed);
        }
        // The other members of a gang end by themselves.
        for run in other_runs.into_iter().filter(|_| !gang) {
            self.stop_run(ctx, run.worker, task);
        }
        self.jobs.get(id).map(|job| job.edits)
    }

    /// Records the latest checkpoint of an unfinished task; a gang's is recorded at task 0.
    fn save_checkpoint(&mut self, task: &TaskKey, gang: bool, checkpoint: Option<CompactString>) {
        let Some(checkpoint) = checkpoint else { return };
        let at = usize::from(task.step.step);
        let index = if gang { 0 } else { task.index };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            if !job.progress.state.is_final() && !job.progress.steps[at].is_done(index) {
                job.progress.steps[at].checkpoints.insert(index, checkpoint);
            }
        }
    }

    /// Removes a run and frees its room, so that its task may start again.
    pub(crate) fn release_run(&mut self, ix: WorkerIx, task: &TaskKey) -> Option<Run> {
        let worker = self.fleet.get_mut(ix);
        let run = worker.runs.remove(task)?;
        if worker.runs.is_empty() {
            worker.lease_record = LeaseRecord::None;
        }
        self.fleet.vacate(ix, run.need);
        if let Some(team) = &run.team {
            if let Some(used) = self.used.get_mut(team) {
                *used = used.minus(run.need);
            }
            self.freed_teams.insert(team.clone());
        }
        self.needs_pass = true;
        let id = &task.step.job;
        let at = usize::from(task.step.step);
        let job = self.jobs.get_mut(id)?;
        let gang = job
            .row
            .submission
            .steps
            .get(at)
            .is_some_and(|spec| spec.gang);
        let step = job.steps.get_mut(at)?;
        let number = run.number;
        step.remove_run(task.index, TaskRun { worker: ix, number });
        self.refresh_backlog(id);
        self.save_checkpoint(task, gang, run.checkpoint.clone());
        // The recorded placement no longer holds.
        self.mark_edited(id);
        Some(run)
    }

    /// Removes a run that counts as ended although the worker did not list its end, and updates what
    /// depends on it.
    pub(crate) fn release_ended_run(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey) {
        if let Some(run) = self.release_run(ix, task) {
            self.after_end(ctx, task, run.number);
        }
    }

    /// Updates what depends on the ended run with `number`: the other members of its gang and the
    /// pending steps.
    fn after_end(&mut self, ctx: &mut Ctx, task: &TaskKey, number: u32) {
        let id = &task.step.job;
        let at = usize::from(task.step.step);
        let Some(job) = self.jobs.get(id) else { return };
        let gang = job
            .row
            .submission
            .steps
            .get(at)
            .is_some_and(|spec| spec.gang);
        // The members of a gang share a run number; the end of another run does not concern them.
        let is_member = |(_, run): (u32, TaskRun)| run.number == number;
        let step = job.steps.get(at).filter(|step| !step.is_done());
        let has_members = step.is_some_and(|step| step.runs().any(is_member));
        if gang && has_members {
            self.abort_gang(ctx, task);
        }
        self.refresh_pending_steps(id);
    }

    /// Stops the remaining members of a gang that has lost one.
    pub(crate) fn abort_gang(&mut self, ctx: &mut Ctx, task: &TaskKey) {
        let at = usize::from(task.step.step);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let step = &mut job.steps[at];
        if step.aborted || !step.has_runs() {
            return;
        }
        step.aborted = true;
        let members: Vec<(u32, TaskRun)> = step.runs().collect();
        for (index, run) in members {
            let step = task.step.clone();
            self.stop_run(ctx, run.worker, &TaskKey { step, index });
        }
    }

    /// Adds a run to a worker and to its task, and occupies its room.
    pub(crate) fn add_run(&mut self, ix: WorkerIx, task: &TaskKey, run: Run) {
        if self.fleet.get(ix).runs.contains_key(task) {
            self.release_run(ix, task);
        }
        if let Some(team) = &run.team {
            let used = self.used.entry(team.clone()).or_default();
            *used = used.plus(run.need);
        }
        let at = usize::from(task.step.step);
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(step) = job.and_then(|job| job.steps.get_mut(at)) {
            let number = run.number;
            step.add_run(task.index, TaskRun { worker: ix, number });
        }
        self.refresh_backlog(&task.step.job);
        self.fleet.occupy(ix, run.need);
        self.fleet.get_mut(ix).runs.insert(task.clone(), run);
    }

    /// Releases the runs of unresponsive workers whose lease has expired.
    pub(crate) fn expire_leases(&mut self, ctx: &mut Ctx) {
        for ix in self.fleet.ixs().collect::<Vec<_>>() {
            let worker = self.fleet.get(ix);
            let unresponsive =
                worker.failed_polls > 0 || !worker.listed || worker.should_lapse(ctx.now);
            if worker.runs.is_empty() || !unresponsive || ctx.now < worker.lease_expires_at {
                continue;
            }
            let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
            let event = LogEvent::warn("leases_over").with("worker", worker.id());
            let age_ms = ctx.now.since(worker.answered_at);
            ctx.log(event.with("runs", tasks.len()).with("silent_ms", age_ms.0));
            // The worker's next answer counts as its first: its lists are compared with what the
            // leader decides from now on, before the worker gets any work.
            self.fleet.get_mut(ix).has_reported = false;
            for task in tasks {
                self.release_ended_run(ctx, ix, &task);
            }
        }
    }
}
