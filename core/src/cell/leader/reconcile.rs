//! Compares the recorded runs of a worker with those that it lists as active: which have vanished, never
//! started, or are unknown.

use crate::{
    cell::{
        ctx::Ctx,
        leader::{
            fleet::WorkerIx,
            step::TaskRun,
            worker::{Run, RunPhase},
            Leader,
        },
        ActiveRun, LogEvent, TaskKey, WorkerRuns,
    },
    Millis,
};

/// How long a run of an unknown job is left alone, because its job may still be read from the
/// store.
const UNKNOWN_RUN_GRACE_MS: Millis = Millis(2_500);

impl Leader {
    /// Compares the recorded runs of a worker with those that it lists as active.
    pub(crate) fn reconcile_active(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        sent_at: Millis,
        view: &WorkerRuns,
    ) {
        let active = &view.active;
        let mut has_unknown = false;
        for listed in active {
            match self.on_active(ctx, ix, listed) {
                true => self.mark_begun(&listed.task.step.job),
                false => has_unknown = true,
            }
        }
        let worker = self.fleet.get_mut(ix);
        worker.unknown_runs_since = match (has_unknown, worker.unknown_runs_since) {
            (true, since) => since.or(Some(ctx.now)),
            (false, _) => None,
        };
        if worker.unreadable_since.is_some() || view.has_more_finished {
            // A row that can't be read may be any run, and so may an end that is not listed yet. None
            // counts as missing.
            return;
        }
        let missing = |task: &TaskKey, run: &Run| {
            !active
                .iter()
                .any(|listed| listed.task == *task && listed.run == run.number)
        };
        let mut vanished = Vec::new();
        let mut unconfirmed = Vec::new();
        let mut is_inconclusive = false;
        for (task, run) in worker.runs.iter().filter(|(task, run)| missing(task, run)) {
            if run.confirmed_at.is_some_and(|at| at < sent_at) {
                vanished.push(task.clone());
            } else if matches!(run.phase, RunPhase::Unconfirmed(at) if at <= sent_at) {
                unconfirmed.push(task.clone());
            } else {
                // The list was requested before the stop was confirmed.
                is_inconclusive |=
                    matches!(run.phase, RunPhase::Stopping(_)) && run.confirmed_at.is_some();
            }
        }
        worker.needs_quick_poll |= is_inconclusive;
        for task in vanished {
            let event = LogEvent::warn("run_vanished").with("task", &task);
            ctx.log(event.with("worker", self.fleet.get(ix).id()));
            self.release_ended_run(ctx, ix, &task);
        }
        for task in unconfirmed {
            // The start may still reach the worker; a stop prevents the run from starting then.
            self.stop_run(ctx, ix, &task);
        }
    }

    /// Handles a run that is listed as active; returns whether it belongs to a known task.
    fn on_active(&mut self, ctx: &mut Ctx, ix: WorkerIx, listed: &ActiveRun) -> bool {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        if let Some(run) = worker.runs.get_mut(&listed.task) {
            if run.number == listed.run {
                if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed(_)) {
                    run.set_phase(RunPhase::Active, now);
                    run.confirmed_at = Some(now);
                }
                run.percent = listed.percent;
                if listed.checkpoint.is_some() {
                    run.checkpoint.clone_from(&listed.checkpoint);
                }
                return true;
            }
            if run.number > listed.run && !matches!(run.phase, RunPhase::Placed(_)) {
                // A later list, which arrived earlier, showed that the listed run has ended.
                self.send_stop(ctx, ix, &listed.task, listed.run);
                return true;
            }
            if run.number < listed.run {
                self.release_ended_run(ctx, ix, &listed.task);
            }
        }
        self.stop_unplaced_run(ctx, ix, listed)
    }

    /// Stops a run that no placement records: it has ended and the list is late, or its start was
    /// carried out late. Its task does not start until the run has ended. Returns whether the task is
    /// known; the run of an unknown job is stopped after a grace period.
    fn stop_unplaced_run(&mut self, ctx: &mut Ctx, ix: WorkerIx, listed: &ActiveRun) -> bool {
        let id = &listed.task.step.job;
        let at = usize::from(listed.task.step.step);
        let Some(job) = self.jobs.get(id).filter(|job| at < job.steps.len()) else {
            self.loader.read_jobs_now();
            let since = self.fleet.get(ix).unknown_runs_since.unwrap_or(ctx.now);
            if ctx.now.since(since) > UNKNOWN_RUN_GRACE_MS {
                ctx.log(
                    LogEvent::warn("run_unknown")
                        .with("task", &listed.task)
                        .with("run", listed.run),
                );
                self.send_stop(ctx, ix, &listed.task, listed.run);
            }
            return false;
        };
        let step = &job.steps[at];
        if listed.task.index >= step.count() {
            return false;
        }
        let event = LogEvent::warn("run_unplaced")
            .with("task", &listed.task)
            .with("run", listed.run);
        let event = event.with("last_run", step.last_run(listed.task.index));
        let event = event.with("runs", step.runs_of(listed.task.index).len());
        ctx.log(event.with("worker", self.fleet.get(ix).id()));
        let run = Run {
            number: listed.run,
            need: job.row.submission.steps[at].need,
            team: job.row.team.clone(),
            phase: RunPhase::Active,
            phase_since: ctx.now,
            confirmed_at: Some(ctx.now),
            percent: listed.percent,
            // It may be older than the recorded one.
            checkpoint: None,
        };
        self.drop_unsent_runs(ctx, &listed.task);
        self.add_run(ix, &listed.task, run);
        self.stop_run(ctx, ix, &listed.task);
        self.refresh_pending_steps(id);
        true
    }

    /// Drops the placed runs of a task whose starts were not sent, and aborts its gang.
    fn drop_unsent_runs(&mut self, ctx: &mut Ctx, task: &TaskKey) {
        let at = usize::from(task.step.step);
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.steps.get(at));
        let runs = step.map_or(&[][..], |step| step.runs_of(task.index));
        let is_unsent = |run: &&TaskRun| {
            let run = self.fleet.get(run.worker).runs.get(task);
            run.is_some_and(|run| matches!(run.phase, RunPhase::Placed(_)))
        };
        let unsent: Vec<TaskRun> = runs.iter().filter(is_unsent).copied().collect();
        for run in unsent {
            self.drop_placement(ctx, run.worker, task, run.number);
        }
    }
}
