//! What becomes of runs: listed, ended, vanished, or over with their lease.

use crate::{
    cell::{
        consts,
        leader::{
            fleet::WorkerIx,
            jobs::Step,
            worker::{Run, RunPhase, Worker},
            Leader,
        },
        node::Ctx,
        ActiveRun, FinishedRun, JobState, LogEvent, RunOutcome, TaskKey, WorkerRuns,
    },
    Millis,
};
use compact_str::CompactString;

/// How long a run that no job on record explains is left alone: accepted jobs are read meanwhile.
const FOREIGN_GRACE_MS: Millis = Millis(2_500);

impl Leader {
    /// Takes a worker's lists, which were asked for at `sent_at`.
    pub(crate) fn on_listed(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        sent_at: Millis,
        clock: Millis,
        view: WorkerRuns,
    ) {
        self.note_life(ctx, ix, &view);
        let worker = self.fleet.get_mut(ix);
        if !worker.contact {
            let line = LogEvent::info("worker_held").with("worker", &worker.entry.id);
            let line = line
                .with("token", self.token)
                .with("active", view.active.len());
            ctx.log(line.with("finished", view.finished.len()));
        }
        self.wants_pass |= !worker.contact || worker.lost_looks > 0 || worker.clock.is_none();
        worker.contact = true;
        worker.clock = Some((clock, ctx.now));
        worker.answered_at = ctx.now;
        worker.lost_looks = 0;
        for end in view.finished {
            self.on_finished(ctx, ix, end);
        }
        self.settle_active(ctx, ix, sent_at, &view.active);
        let worker = self.fleet.get_mut(ix);
        if worker.unstored.is_empty() {
            worker.stored = worker.seen;
        }
    }

    /// Notices that a worker has another life than before: its numbers begin anew.
    fn note_life(&mut self, ctx: &mut Ctx, ix: WorkerIx, view: &WorkerRuns) {
        let worker = self.fleet.get_mut(ix);
        if view.incarnation == worker.incarnation && worker.contact {
            return;
        }
        if worker.contact {
            let line = LogEvent::warn("worker_restarted").with("worker", &worker.entry.id);
            ctx.log(
                line.with("runs", worker.runs.len())
                    .with("seen", worker.seen),
            );
        }
        worker.incarnation = view.incarnation;
        worker.seen = 0;
        worker.stored = 0;
        worker.unstored.clear();
        worker.failures = 0;
        self.advice.forget_tickets(ix);
    }

    fn on_finished(&mut self, ctx: &mut Ctx, ix: WorkerIx, end: FinishedRun) {
        let worker = self.fleet.get_mut(ix);
        if end.number <= worker.seen {
            return;
        }
        worker.seen = end.number;
        let held = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        let line = match end.outcome {
            RunOutcome::Done => LogEvent::info("run_ended"),
            _ => LogEvent::warn("run_ended"),
        };
        let line = line.with("task", &end.task).with("run", end.run);
        let line = line
            .with("worker", &worker.entry.id)
            .with("how", format_args!("{:?}", end.outcome));
        ctx.log(line.with("number", end.number).with("held", held));
        if held {
            self.release(ix, &end.task);
        }
        if let Some(edits) = self.apply_end(ctx, ix, &end) {
            let job = end.task.step.job.clone();
            self.fleet.get_mut(ix).unstored.push((job, edits));
            self.commits.wait(ix);
        }
        self.after_end(ctx, &end.task);
    }

    /// Writes an end into the job's progress; returns the edit that has to be on record before the
    /// worker may forget the end.
    fn apply_end(&mut self, ctx: &mut Ctx, ix: WorkerIx, end: &FinishedRun) -> Option<u64> {
        let id = &end.task.step.job;
        let at = usize::from(end.task.step.step);
        let job = self.jobs.get_mut(id)?;
        let spec = job.row.submission.steps.get(at)?;
        let (gang, lasting) = (spec.gang, spec.long_running);
        if end.task.index >= spec.count {
            return None;
        }
        match end.outcome {
            RunOutcome::Done if !lasting => {
                self.fleet.get_mut(ix).failures = 0;
                self.mark_done(ctx, &end.task, gang)
            }
            RunOutcome::Failed if !lasting => {
                job.steps[at].failed_on.push(ix);
                let index = if gang { 0 } else { end.task.index };
                let failed = job.progress.steps[at].add_failed(index, end.run);
                let queue = self
                    .state
                    .as_ref()
                    .and_then(|state| state.queue(&job.row.queue));
                // A queue that was withdrawn says no more how often its tasks may fail.
                let limit = queue.map_or(usize::MAX, |queue| queue.max_attempts as usize);
                self.keep_checkpoint(&end.task, gang, end.checkpoint.clone());
                let edits = self.edit(id);
                self.blame(ctx, ix);
                if failed >= limit {
                    self.end_job(ctx, id, JobState::Failed);
                    return self.jobs.get(id).map(|job| job.edits);
                }
                Some(edits)
            }
            _ => {
                self.keep_checkpoint(&end.task, gang, end.checkpoint.clone());
                None
            }
        }
    }

    /// Counts a failure against a worker; after several in a row it rests, as long as few others do.
    fn blame(&mut self, ctx: &mut Ctx, ix: WorkerIx) {
        let now = ctx.now;
        let rests = |worker: &Worker| worker.listed && now < worker.quarantined_until;
        let resting = self
            .fleet
            .iter()
            .filter(|(_, worker)| rests(worker))
            .count();
        let most = self.fleet.len() / consts::QUARANTINE_DIVISOR;
        let worker = self.fleet.get_mut(ix);
        worker.failures += 1;
        if worker.failures >= consts::QUARANTINE_FAILURES && resting < most {
            worker.quarantined_until = now + consts::QUARANTINE_MS;
            let line = LogEvent::warn("worker_quarantined").with("worker", &worker.entry.id);
            ctx.log(
                line.with("failures", worker.failures)
                    .with("resting", resting),
            );
        }
    }

    /// Marks a task as done; one end of a gang stands for all its members.
    fn mark_done(&mut self, ctx: &mut Ctx, task: &TaskKey, gang: bool) -> Option<u64> {
        let id = &task.step.job;
        let at = usize::from(task.step.step);
        let job = self.jobs.get_mut(id)?;
        let members = match gang {
            true => 0..job.steps[at].tasks.len() as u32,
            false => task.index..task.index + 1,
        };
        let mut elsewhere = Vec::new();
        let mut changed = false;
        for index in members
            .filter(|index| !job.progress.steps[at].is_done(*index))
            .collect::<Vec<_>>()
        {
            job.progress.steps[at].set_done(index);
            job.progress.steps[at].checkpoints.remove(&index);
            let step = &mut job.steps[at];
            step.done += 1;
            changed = true;
            if let Some(worker) = step.tasks[index as usize].worker.take() {
                step.running = step.running.saturating_sub(1);
                elsewhere.push(worker);
            }
        }
        let whole = |step: &Step| step.done as usize == step.tasks.len();
        let complete = job.steps.iter().all(whole);
        if changed {
            self.edit(id);
        }
        if complete {
            self.end_job(ctx, id, JobState::Completed);
        }
        // The other members of a gang end by themselves.
        for worker in elsewhere.into_iter().filter(|_| !gang) {
            self.stop_run(ctx, worker, task);
        }
        self.jobs.get(id).map(|job| job.edits)
    }

    fn keep_checkpoint(&mut self, task: &TaskKey, gang: bool, checkpoint: Option<CompactString>) {
        let Some(checkpoint) = checkpoint else { return };
        let at = usize::from(task.step.step);
        let index = if gang { 0 } else { task.index };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            if !job.progress.state.is_final() && !job.progress.steps[at].is_done(index) {
                job.progress.steps[at].checkpoints.insert(index, checkpoint);
            }
        }
    }

    /// Gives the room of a run back; its task may start again.
    pub(crate) fn release(&mut self, ix: WorkerIx, task: &TaskKey) -> Option<Run> {
        let worker = self.fleet.get_mut(ix);
        let run = worker.runs.remove(task)?;
        worker.used = worker.used.minus(run.need);
        if let Some(used) = run.team.as_ref().and_then(|team| self.used.get_mut(team)) {
            *used = used.minus(run.need);
        }
        self.wants_pass = true;
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
        let own = step.tasks.get_mut(task.index as usize)?;
        if own.worker == Some(ix) && own.run == run.number {
            own.worker = None;
            step.running = step.running.saturating_sub(1);
            if step.running == 0 {
                step.aborted = false;
            }
        }
        self.keep_checkpoint(task, gang, run.checkpoint.clone());
        // The placement on record is over.
        self.edit(id);
        Some(run)
    }

    /// Brings what follows from an end up to date: other members of a gang, later steps.
    fn after_end(&mut self, ctx: &mut Ctx, task: &TaskKey) {
        let id = &task.step.job;
        let at = usize::from(task.step.step);
        let Some(job) = self.jobs.get(id) else { return };
        let gang = job
            .row
            .submission
            .steps
            .get(at)
            .is_some_and(|spec| spec.gang);
        if gang && !job.is_done(at, 0) {
            self.abort_gang(ctx, task);
        }
        self.refresh_job(id);
    }

    /// Stops the members of a gang that is not whole any more.
    pub(crate) fn abort_gang(&mut self, ctx: &mut Ctx, task: &TaskKey) {
        let at = usize::from(task.step.step);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let step = &mut job.steps[at];
        if step.aborted || step.running == 0 {
            return;
        }
        step.aborted = true;
        let members = step.tasks.iter().enumerate();
        let members = members.filter_map(|(index, own)| Some((own.worker?, index as u32)));
        let members: Vec<(WorkerIx, u32)> = members.collect();
        for (ix, index) in members {
            let step = task.step.clone();
            self.stop_run(ctx, ix, &TaskKey { step, index });
        }
    }

    /// Compares the runs in hand with those that a worker lists as running.
    fn settle_active(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        sent_at: Millis,
        active: &[ActiveRun],
    ) {
        let mut foreign = false;
        for listed in active {
            foreign |= !self.on_active(ctx, ix, listed);
        }
        let worker = self.fleet.get_mut(ix);
        worker.foreign_since = match (foreign, worker.foreign_since) {
            (true, since) => since.or(Some(ctx.now)),
            (false, _) => None,
        };
        let missing = |task: &TaskKey, run: &Run| {
            !active
                .iter()
                .any(|own| own.task == *task && own.run == run.number)
        };
        let mut over = Vec::new();
        let mut unsure = Vec::new();
        for (task, run) in worker.runs.iter().filter(|(task, run)| missing(task, run)) {
            if run.settled_at.is_some_and(|at| at < sent_at) {
                over.push(task.clone());
            } else if matches!(run.phase, RunPhase::Unsure(at) if at < sent_at) {
                unsure.push(task.clone());
            }
        }
        for task in over {
            let line = LogEvent::warn("run_vanished").with("task", &task);
            ctx.log(line.with("worker", &self.fleet.get(ix).entry.id));
            self.release(ix, &task);
            self.after_end(ctx, &task);
        }
        for task in unsure {
            // The order may still be carried out: a stop of this run keeps it from starting later.
            self.stop_run(ctx, ix, &task);
        }
    }

    /// Takes a run that is listed as running; says whether it is one that the leader knows.
    fn on_active(&mut self, ctx: &mut Ctx, ix: WorkerIx, listed: &ActiveRun) -> bool {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        if let Some(run) = worker.runs.get_mut(&listed.task) {
            if run.number == listed.run {
                if matches!(run.phase, RunPhase::Ordered | RunPhase::Unsure(_)) {
                    run.phase = RunPhase::Active;
                    run.settled_at = Some(now);
                }
                run.percent = listed.percent;
                if listed.checkpoint.is_some() {
                    run.checkpoint.clone_from(&listed.checkpoint);
                }
                return true;
            }
        }
        self.adopt(ctx, ix, listed)
    }

    /// Takes over a run that an earlier leader started.
    fn adopt(&mut self, ctx: &mut Ctx, ix: WorkerIx, listed: &ActiveRun) -> bool {
        let id = &listed.task.step.job;
        let at = usize::from(listed.task.step.step);
        let Some(job) = self.jobs.get_mut(id).filter(|job| at < job.steps.len()) else {
            self.load.hurry_jobs();
            let since = self.fleet.get(ix).foreign_since.unwrap_or(ctx.now);
            if ctx.now.since(since) > FOREIGN_GRACE_MS {
                ctx.log(
                    LogEvent::warn("run_unknown")
                        .with("task", &listed.task)
                        .with("run", listed.run),
                );
                self.send_stop(ctx, ix, &listed.task, listed.run);
            }
            return false;
        };
        let need = job.row.submission.steps[at].need;
        let team = job.row.team.clone();
        let ended = job.progress.state.is_final() || job.is_done(at, listed.task.index);
        let Some(task) = job.steps[at].tasks.get_mut(listed.task.index as usize) else {
            return false;
        };
        let wanted = !ended && task.worker.is_none();
        task.run = task.run.max(listed.run);
        if wanted {
            task.worker = Some(ix);
            job.steps[at].running += 1;
        }
        let run = Run {
            number: listed.run,
            need,
            team: team.clone(),
            phase: RunPhase::Active,
            settled_at: Some(ctx.now),
            percent: listed.percent,
            checkpoint: listed.checkpoint.clone(),
        };
        let line = LogEvent::info("run_adopted")
            .with("task", &listed.task)
            .with("run", listed.run);
        let line = line.with("worker", &self.fleet.get(ix).entry.id);
        ctx.log(line.with("wanted", wanted));
        self.hold_room(ix, &listed.task, run);
        self.mark_started(id);
        if !wanted {
            self.stop_run(ctx, ix, &listed.task);
        }
        self.refresh_job(id);
        true
    }

    /// Takes room for a run.
    pub(crate) fn hold_room(&mut self, ix: WorkerIx, task: &TaskKey, run: Run) {
        if let Some(team) = &run.team {
            let used = self.used.entry(team.clone()).or_default();
            *used = used.plus(run.need);
        }
        let worker = self.fleet.get_mut(ix);
        worker.used = worker.used.plus(run.need);
        worker.runs.insert(task.clone(), run);
    }

    /// Gives up the runs of workers that did not answer for longer than a lease.
    pub(crate) fn expire_leases(&mut self, ctx: &mut Ctx) {
        for ix in self.fleet.ixs().collect::<Vec<_>>() {
            let worker = self.fleet.get(ix);
            let silent = worker.lost_looks > 0 || !worker.listed;
            if worker.runs.is_empty() || !silent || ctx.now < worker.lease_over_at {
                continue;
            }
            let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
            let line = LogEvent::warn("leases_over").with("worker", &worker.entry.id);
            let age_ms = ctx.now.since(worker.answered_at);
            ctx.log(line.with("runs", tasks.len()).with("silent_ms", age_ms.0));
            // Whatever it lists later is compared with what the leader decides from now on.
            self.fleet.get_mut(ix).contact = false;
            for task in tasks {
                self.release(ix, &task);
                self.after_end(ctx, &task);
            }
        }
    }
}
