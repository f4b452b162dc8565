//! Placements: on record before a start is ordered, so that a later leader knows where each task may run.
//!
//! The load: a failure domain is cut off with the leader in it. The next leader holds back only what
//! was placed on workers that it can't reach, and starts everything else at once.

use crate::{
    cell::{
        leader::{
            fleet::WorkerIx,
            jobs::Job,
            orders::PlacedRun,
            schedule::CLOCK_AGE_MS,
            worker::{Run, RunPhase},
            Leader,
        },
        node::Ctx,
        JobRow, LogEvent, Placement, Progress, StepKey, TaskKey,
    },
    JobId, Millis,
};

impl Job {
    /// Returns the task's latest checkpoint; a gang has one for all its members.
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

fn new_run(row: &JobRow, at: usize, number: u32, phase: RunPhase) -> Run {
    Run {
        number,
        need: row.submission.steps[at].need,
        team: row.team.clone(),
        phase,
        settled_at: None,
        percent: 0,
        checkpoint: None,
    }
}

impl Leader {
    /// Places a task on a worker whose room was found free; its start is ordered once that is on record.
    pub(crate) fn place(&mut self, ix: WorkerIx, task: TaskKey, number: u32) {
        let at = usize::from(task.step.step);
        let edit = self.edit(&task.step.job);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let mut run = new_run(&job.row, at, number, RunPhase::Placed(edit));
        run.checkpoint = job.checkpoint(&task);
        let step = &mut job.steps[at];
        step.tasks[task.index as usize].worker = Some(ix);
        step.tasks[task.index as usize].run = number;
        step.running += 1;
        self.hold_room(ix, &task, run);
    }

    /// Returns a job's progress with the placements of its tasks, as it goes on record.
    pub(crate) fn recorded(&self, job: &Job) -> Progress {
        let mut progress = job.progress.clone();
        for (recorded, step) in progress.steps.iter_mut().zip(&job.steps) {
            let tasks = step.tasks.iter().enumerate();
            let placed = tasks.filter_map(|(index, task)| {
                let worker = self.fleet.get(task.worker?).entry.id.clone();
                let run = task.run;
                Some((index as u32, Placement { worker, run }))
            });
            recorded.placed = placed.collect();
        }
        progress
    }

    /// Notes which runs of a job are on record as placed by now.
    pub(crate) fn on_placed(&mut self, id: &JobId, edits: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        for (at, step) in job.steps.iter().enumerate() {
            for (index, own) in step.tasks.iter().enumerate() {
                let Some(ix) = own.worker else { continue };
                let task = task_key(id, at, index as u32);
                let run = self.fleet.get(ix).runs.get(&task);
                let phase = run.map(|run| run.phase);
                if matches!(phase, Some(RunPhase::Placed(edit)) if edit <= edits) {
                    let run = own.run;
                    self.placed.push(PlacedRun { ix, task, run });
                }
            }
        }
    }

    /// Orders the starts whose placements are on record.
    pub(crate) fn send_placed(&mut self, ctx: &mut Ctx) {
        for PlacedRun { ix, task, run } in std::mem::take(&mut self.placed) {
            let held = self.fleet.get(ix).runs.get(&task);
            let waits =
                |held: &Run| held.number == run && matches!(held.phase, RunPhase::Placed(_));
            if !held.is_some_and(waits) {
                continue;
            }
            if self.may_order(ctx.now, ix, &task) {
                self.order_start(ctx, ix, task, run);
            } else {
                self.take_back(ctx, ix, &task, run);
            }
        }
    }

    /// Says whether a placed run may still start: the worker takes work, and there is a ticket where one
    /// is needed.
    fn may_order(&self, now: Millis, ix: WorkerIx, task: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let state = self.state.as_ref();
        let queue = state.and_then(|state| state.queue(&job.row.queue));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let advice = &job.steps[usize::from(task.step.step)].advice;
        let ticket = !needs_ticket || advice.ticket(ix, now).is_some();
        ticket && self.fleet.get(ix).is_usable(now, CLOCK_AGE_MS)
    }

    /// Gives a placement up before its start was ordered.
    fn take_back(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey, run: u32) {
        let worker = self.fleet.get(ix);
        let line = LogEvent::info("placement_dropped").with("task", task);
        let line = line.with("run", run).with("worker", &worker.entry.id);
        ctx.log(line.with("usable", worker.is_usable(ctx.now, CLOCK_AGE_MS)));
        self.release(ix, task);
        let at = usize::from(task.step.step);
        let job = self.jobs.get(&task.step.job);
        if job.is_some_and(|job| job.row.submission.steps[at].gang) {
            self.abort_gang(ctx, task);
        }
        self.refresh_job(&task.step.job);
    }

    /// Holds the room of the runs that are on record as placed, until their workers have listed their
    /// runs under this leader's token or their leases are over.
    pub(crate) fn adopt_placements(&mut self, ctx: &Ctx, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let ended = job.progress.state.is_final();
        let mut placed = Vec::new();
        for (at, step) in job.progress.steps.iter().enumerate() {
            for (&index, own) in &step.placed {
                let fits = (index as usize) < job.steps[at].tasks.len();
                if fits && !step.is_done(index) {
                    placed.push((task_key(id, at, index), own.clone()));
                }
            }
        }
        if !placed.is_empty() {
            self.mark_started(id);
        }
        let lease_over_at = self.since + self.longest_lease_ms(ctx);
        for (task, placement) in placed {
            let ix = self.placed_worker(&placement.worker);
            let at = usize::from(task.step.step);
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let phase = match ended {
                true => RunPhase::Stopping(ctx.now),
                false => RunPhase::Active,
            };
            let mut run = new_run(&job.row, at, placement.run, phase);
            run.checkpoint = job.checkpoint(&task);
            // Any list that was asked for under this leader's token tells what became of it.
            run.settled_at = (!ended).then_some(Millis(0));
            let step = &mut job.steps[at];
            step.tasks[task.index as usize].worker = Some(ix);
            step.tasks[task.index as usize].run = placement.run;
            step.running += 1;
            self.hold_room(ix, &task, run);
            let worker = self.fleet.get_mut(ix);
            worker.lease_over_at = worker.lease_over_at.max(lease_over_at);
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
