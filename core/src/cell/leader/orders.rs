//! Calls to workers: when they are made and what their answers mean.

use crate::{
    cell::{
        consts,
        leader::{
            fleet::WorkerIx,
            worker::{RunPhase, Worker},
            Leader,
        },
        node::{Ctx, RpcOwner},
        Effect, LogEvent, RpcId, StartRequest, TaskKey, WorkerAnswer, WorkerCall, WorkerRefusal,
    },
    Millis,
};

/// The drift that a worker's clock may have, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;

/// A call to a worker that is not answered yet.
#[derive(Debug)]
pub(crate) enum OpenOrder {
    Look {
        ix: WorkerIx,
        sent_at: Millis,
        quick: bool,
    },
    Start {
        ix: WorkerIx,
        task: TaskKey,
        run: u32,
    },
    Stop {
        ix: WorkerIx,
        task: TaskKey,
        run: u32,
    },
}

/// A run whose start may be ordered, since its placement is on record.
#[derive(Debug)]
pub(crate) struct PlacedRun {
    pub(crate) ix: WorkerIx,
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
}

impl Leader {
    fn send(&mut self, ctx: &mut Ctx, ix: WorkerIx, call: WorkerCall, timeout_ms: Millis) -> RpcId {
        let rpc = ctx.next_rpc(RpcOwner::Leader);
        let renews = match &call {
            WorkerCall::Start(_) => true,
            WorkerCall::Stop { .. } => false,
            WorkerCall::Renew { lease_until_ms, .. } => lease_until_ms.is_some(),
        };
        let worker = self.fleet.get_mut(ix);
        if renews {
            let lease_ms = ctx.settings.max_lease_ms.0;
            let span = Millis(lease_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100);
            worker.lease_over_at = ctx.now + span + consts::WORKER_LEASE_MARGIN_MS;
        }
        ctx.push(Effect::Worker {
            rpc,
            worker: worker.entry.id.clone(),
            address: worker.entry.address.clone(),
            token: self.token,
            call,
            timeout_ms,
        });
        rpc
    }

    /// Looks at the workers whose time has come.
    pub(crate) fn look_at_workers(&mut self, ctx: &mut Ctx) {
        for ix in self.fleet.ixs().collect::<Vec<_>>() {
            self.look_at(ctx, ix);
        }
    }

    /// Renews a worker's lease and asks for its lists, unless a call is open or it is too early.
    pub(crate) fn look_at(&mut self, ctx: &mut Ctx, ix: WorkerIx) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let known = worker.listed || !worker.runs.is_empty();
        if !known || worker.entry.address.is_empty() {
            return;
        }
        if worker.look.is_none() && now >= worker.next_look_at {
            // Ends that are listed again would let the worker answer at once.
            let idle = worker.runs.is_empty() || !worker.unstored.is_empty();
            let unsure = worker.lost_looks > 0 || !worker.contact || worker.clock.is_none();
            let wait_ms = match idle || unsure || worker.wants_quick_look {
                true => Millis(0),
                false => consts::POLL_WAIT_MS,
            };
            worker.wants_quick_look = false;
            self.send_look(ctx, ix, wait_ms, false);
        } else if worker.wants_quick_look && worker.quick_look.is_none() {
            worker.wants_quick_look = false;
            self.send_look(ctx, ix, Millis(0), true);
        }
    }

    fn send_look(&mut self, ctx: &mut Ctx, ix: WorkerIx, wait_ms: Millis, quick: bool) {
        let now = ctx.now;
        let lease_ms = ctx.settings.max_lease_ms;
        let worker = self.fleet.get(ix);
        let current = now.since(worker.answered_at) < consts::MAX_ACK_AGE_MS && worker.contact;
        // A worker that does not answer is only looked at: otherwise its leases would never be over.
        // One without runs needs no lease.
        let renews = worker.lost_looks == 0 && !worker.runs.is_empty();
        let clock = worker.clock_at(now).filter(|_| renews);
        let call = WorkerCall::Renew {
            lease_until_ms: clock.map(|clock| clock + lease_ms),
            acknowledge: if current { worker.stored } else { 0 },
            wait_ms,
        };
        let rpc = self.send(ctx, ix, call, wait_ms + consts::WORKER_TIMEOUT_MS);
        let worker = self.fleet.get_mut(ix);
        match quick {
            true => worker.quick_look = Some(rpc),
            false => worker.look = Some(rpc),
        }
        let sent_at = now;
        self.orders
            .insert(rpc, OpenOrder::Look { ix, sent_at, quick });
    }

    pub(crate) fn on_worker(&mut self, ctx: &mut Ctx, rpc: RpcId, answer: WorkerAnswer) {
        match self.orders.remove(&rpc) {
            Some(OpenOrder::Look { ix, sent_at, quick }) => {
                self.on_look(ctx, ix, sent_at, quick, answer);
            }
            Some(OpenOrder::Start { ix, task, run }) => self.on_start(ctx, ix, &task, run, answer),
            Some(OpenOrder::Stop { ix, task, run }) => self.on_stop(ctx, ix, &task, run, answer),
            None => {}
        }
    }

    fn on_look(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        sent_at: Millis,
        quick: bool,
        answer: WorkerAnswer,
    ) {
        let worker = self.fleet.get_mut(ix);
        match quick {
            true => worker.quick_look = None,
            false => worker.look = None,
        }
        match answer {
            WorkerAnswer::Listed(clock, view) => {
                self.on_listed(ctx, ix, sent_at, clock, view);
                let worker = self.fleet.get_mut(ix);
                let pause_ms = match (worker.runs.is_empty(), worker.unstored.is_empty()) {
                    (_, false) => consts::UNSTORED_POLL_INTERVAL_MS,
                    (true, true) => consts::IDLE_POLL_INTERVAL_MS,
                    (false, true) => Millis(0),
                };
                worker.next_look_at = ctx.now + pause_ms;
                // Ends that need no record can be acknowledged at once.
                self.look_at(ctx, ix);
            }
            other => {
                let worker = self.fleet.get_mut(ix);
                worker.lost_looks += 1;
                worker.next_look_at = ctx.now + consts::POLL_RETRY_DELAY_MS;
                if worker.lost_looks == 1 {
                    let line = LogEvent::warn("worker_silent").with("worker", &worker.entry.id);
                    let line = line.with("answer", format_args!("{other:?}"));
                    let age_ms = ctx.now.since(worker.answered_at);
                    ctx.log(
                        line.with("age_ms", age_ms.0)
                            .with("runs", worker.runs.len()),
                    );
                }
            }
        }
    }

    /// Orders a run to start whose placement is on record.
    pub(crate) fn order_start(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: TaskKey, run: u32) {
        let at = usize::from(task.step.step);
        let worker = self.fleet.get(ix);
        let (Some(clock), Some(held)) = (worker.clock_at(ctx.now), worker.runs.get(&task)) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let order = StartRequest {
            task: task.clone(),
            run,
            payload: job.row.submission.payload.clone(),
            lease_until_ms: clock + ctx.settings.max_lease_ms,
            checkpoint: held.checkpoint.clone(),
            ticket: job.steps[at].advice.ticket(ix, ctx.now).cloned(),
        };
        log_start(ctx, worker, &task, run, job.accepted_at);
        self.mark_started(&task.step.job);
        let worker = self.fleet.get_mut(ix);
        if let Some(held) = worker.runs.get_mut(&task) {
            held.phase = RunPhase::Ordered;
        }
        worker.next_look_at = worker
            .next_look_at
            .min(ctx.now + consts::STORE_RETRY_DELAY_MS);
        let id = self.send(ctx, ix, WorkerCall::Start(order), consts::WORKER_TIMEOUT_MS);
        self.orders.insert(id, OpenOrder::Start { ix, task, run });
    }

    fn on_start(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        answer: WorkerAnswer,
    ) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let held = worker.runs.get_mut(task).filter(|run| run.number == number);
        match answer {
            WorkerAnswer::Carried(clock) => {
                worker.clock = Some((clock, now));
                if let Some(run) = held {
                    if matches!(run.phase, RunPhase::Ordered | RunPhase::Unsure(_)) {
                        run.phase = RunPhase::Active;
                    }
                    run.settled_at = run.settled_at.or(Some(now));
                }
                self.look_at(ctx, ix);
            }
            WorkerAnswer::Lost | WorkerAnswer::Listed(..) => {
                if let Some(run) = held.filter(|run| run.phase == RunPhase::Ordered) {
                    run.phase = RunPhase::Unsure(now);
                }
                worker.rest_until = now + consts::WORKER_BACKOFF_MS;
                worker.wants_quick_look = true;
                let line = LogEvent::warn("order_unanswered")
                    .with("task", task)
                    .with("run", number);
                ctx.log(line.with("worker", &worker.entry.id));
                self.look_at(ctx, ix);
            }
            WorkerAnswer::NotSent => self.on_not_started(ctx, ix, task, number, None),
            WorkerAnswer::Refused(why, _) => {
                self.on_not_started(ctx, ix, task, number, Some(why));
            }
        }
    }

    /// Takes back a start that was certainly not carried out.
    fn on_not_started(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        why: Option<WorkerRefusal>,
    ) {
        let worker = self.fleet.get_mut(ix);
        let line = LogEvent::warn("start_refused")
            .with("task", task)
            .with("run", number);
        let line = line
            .with("worker", &worker.entry.id)
            .with("why", format_args!("{why:?}"));
        ctx.log(
            line.with("used", worker.used)
                .with("room", worker.entry.capacity),
        );
        match why {
            Some(WorkerRefusal::BadTicket) => self.drop_ticket(task, ix),
            Some(WorkerRefusal::Late) => {
                worker.clock = None;
                worker.next_look_at = ctx.now;
            }
            Some(WorkerRefusal::OldRun) => {}
            _ => {
                worker.rest_until = ctx.now + consts::WORKER_BACKOFF_MS;
                worker.next_look_at = worker.next_look_at.min(ctx.now);
            }
        }
        let held = self.fleet.get(ix).runs.get(task);
        if held.is_none_or(|run| run.number != number) {
            return;
        }
        self.release(ix, task);
        let job = self.jobs.get(&task.step.job);
        let at = usize::from(task.step.step);
        if job.is_some_and(|job| job.row.submission.steps[at].gang) {
            self.abort_gang(ctx, task);
        }
        self.refresh_job(&task.step.job);
    }

    /// Orders a run to stop, until it is known to be over.
    pub(crate) fn stop_run(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey) {
        let worker = self.fleet.get_mut(ix);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        match run.phase {
            RunPhase::Stopping(_) => return,
            RunPhase::Placed(_) => {
                // Its start was never ordered.
                self.release(ix, task);
                return;
            }
            _ => {}
        }
        run.phase = RunPhase::Stopping(ctx.now + consts::STOP_RETRY_DELAY_MS);
        run.settled_at = None;
        let number = run.number;
        self.send_stop(ctx, ix, task, number);
    }

    pub(crate) fn send_stop(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey, run: u32) {
        let line = LogEvent::info("stop_ordered")
            .with("task", task)
            .with("run", run);
        ctx.log(line.with("worker", &self.fleet.get(ix).entry.id));
        let task = task.clone();
        let call = WorkerCall::Stop {
            task: task.clone(),
            run,
        };
        let rpc = self.send(ctx, ix, call, consts::WORKER_TIMEOUT_MS);
        self.orders.insert(rpc, OpenOrder::Stop { ix, task, run });
    }

    fn on_stop(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        answer: WorkerAnswer,
    ) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let held = worker.runs.get_mut(task).filter(|run| run.number == number);
        let Some(run) = held else { return };
        let settled = matches!(
            answer,
            WorkerAnswer::Carried(_) | WorkerAnswer::Refused(WorkerRefusal::OldRun, _)
        );
        if settled {
            run.settled_at = Some(now);
            // An end that is listed by then wakes the look that waits; a run that never began does not.
            worker.wants_quick_look = true;
        } else {
            run.phase = RunPhase::Stopping(now + consts::STOP_RETRY_DELAY_MS);
        }
    }

    /// Repeats the orders to stop that were not answered.
    pub(crate) fn retry_stops(&mut self, ctx: &mut Ctx) {
        let mut due = Vec::new();
        for (ix, worker) in self.fleet.iter() {
            for (task, run) in &worker.runs {
                let waits = run.settled_at.is_none();
                if waits && matches!(run.phase, RunPhase::Stopping(at) if ctx.now >= at) {
                    due.push((ix, task.clone(), run.number));
                }
            }
        }
        for (ix, task, number) in due {
            if let Some(run) = self.fleet.get_mut(ix).runs.get_mut(&task) {
                run.phase = RunPhase::Stopping(ctx.now + consts::WORKER_TIMEOUT_MS);
            }
            self.send_stop(ctx, ix, &task, number);
        }
    }
}

fn log_start(ctx: &mut Ctx, worker: &Worker, task: &TaskKey, number: u32, accepted_at: Millis) {
    let line = LogEvent::info("run_ordered")
        .with("task", task)
        .with("run", number);
    let line = line
        .with("worker", &worker.entry.id)
        .with("free", worker.free());
    let waited_ms = ctx.now.since(accepted_at);
    let clock_age_ms = worker.clock.map_or(0, |(_, at)| ctx.now.since(at).0);
    ctx.log(
        line.with("clock_age_ms", clock_age_ms)
            .with("job_age_ms", waited_ms.0),
    );
}
