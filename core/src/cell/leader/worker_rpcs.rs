//! Calls to workers and the handling of their answers.
//!
//! A poll renews the worker's lease, acknowledges ended runs and lists the worker's runs. It waits
//! at the worker until a run ends, so a second, quick poll is sent when the lists are needed at
//! once.
//!
//! No worker's lease outlasts the leader's own by more than its full span: the next leader waits for
//! that time before it starts a silent worker's tasks elsewhere.

use crate::{
    cell::{
        consts,
        ctx::{Ctx, RpcOwner},
        leader::{
            fleet::WorkerIx,
            worker::{LeaseRecord, RunPhase, Worker},
            Leader,
        },
        Effect, LogEvent, RpcId, StartRequest, TaskKey, UnreadableRows, WorkerAnswer, WorkerCall,
        WorkerRefusal,
    },
    Millis,
};

/// A poll of a worker that has not been answered yet.
#[derive(Debug)]
pub(crate) struct OpenPoll {
    ix: WorkerIx,
    sent_at: Millis,
    /// How long the worker may wait for a new ended run before it answers.
    wait_ms: Millis,
    /// The number up to which it acknowledges ended runs.
    acknowledge: u64,
    /// Whether it was sent beside a poll that waits.
    quick: bool,
}

/// A call to a worker that has not been answered yet.
#[derive(Debug)]
pub(crate) enum OpenWorkerRpc {
    Poll(OpenPoll),
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

/// A run that may be started because its placement is stored.
#[derive(Debug)]
pub(crate) struct RecordedStart {
    pub(crate) ix: WorkerIx,
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
}

impl Leader {
    /// Sends a call to a worker and records when a lease that it renews expires.
    fn call_worker(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        call: WorkerCall,
        timeout_ms: Millis,
    ) -> RpcId {
        let rpc = ctx.next_rpc(RpcOwner::Leader);
        let renews = match &call {
            WorkerCall::Start(_) => true,
            WorkerCall::Stop { .. } => false,
            WorkerCall::Renew { lease_until_ms, .. } => lease_until_ms.is_some(),
        };
        let span_ms = self.max_lease_with_drift_ms(ctx);
        let worker = self.fleet.get_mut(ix);
        if renews {
            let expires_at = ctx.now.min(ctx.lead_until()) + span_ms;
            worker.lease_expires_at = worker.lease_expires_at.max(expires_at);
        }
        ctx.push(Effect::Worker {
            rpc,
            worker: worker.id().clone(),
            address: worker.address().clone(),
            token: self.token,
            call,
            timeout_ms,
        });
        rpc
    }

    /// Polls the workers whose next poll is due.
    pub(crate) fn poll_workers(&mut self, ctx: &mut Ctx) {
        for ix in self.fleet.ixs().collect::<Vec<_>>() {
            self.poll_worker(ctx, ix);
        }
    }

    /// Polls a worker, unless a poll is open or not due yet: renews its lease and requests the
    /// lists of its runs.
    pub(crate) fn poll_worker(&mut self, ctx: &mut Ctx, ix: WorkerIx) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let is_relevant = worker.listed || !worker.runs.is_empty();
        if !is_relevant || worker.address().is_empty() {
            return;
        }
        if ctx.has_lead() {
            worker.needs_quick_poll |= std::mem::take(&mut worker.has_capped_lease);
        }
        if worker.poll.is_none() && now >= worker.next_poll_at {
            // Ended runs that can't be acknowledged yet are listed again, so the worker would not
            // wait.
            let has_nothing_to_await = worker.runs.is_empty() || !worker.unstored.is_empty();
            let needs_state = worker.failed_polls > 0
                || !worker.has_reported
                || worker.clock.is_none()
                || worker.lease_record != LeaseRecord::None;
            let wait_ms = match has_nothing_to_await || needs_state || worker.needs_quick_poll {
                true => Millis(0),
                false => consts::POLL_WAIT_MS,
            };
            worker.needs_quick_poll = false;
            self.send_poll(ctx, ix, wait_ms, false);
        } else if worker.needs_quick_poll
            && worker.quick_poll.is_none()
            && (worker.failed_polls == 0 || now >= worker.next_poll_at)
        {
            worker.needs_quick_poll = false;
            self.send_poll(ctx, ix, Millis(0), true);
        }
    }

    fn send_poll(&mut self, ctx: &mut Ctx, ix: WorkerIx, wait_ms: Millis, quick: bool) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        // After a restart of the worker the number could acknowledge one of its new ended runs. So it is
        // not sent after a lost poll or a long time without an answer, nor twice unless a poll is lost.
        let may_acknowledge = now.since(worker.answered_at) < consts::MAX_ACK_AGE_MS
            && worker.has_reported
            && worker.failed_polls == 0
            && worker.clock.is_some();
        let has_open_ends = worker.last_end_stored > worker.last_end_acknowledged;
        let acknowledge = match may_acknowledge && has_open_ends {
            true => worker.last_end_stored,
            false => 0,
        };
        if acknowledge > 0 {
            worker.last_end_acknowledged = acknowledge;
        }
        // The lease of a worker that does not answer is not renewed, so that it can expire. A
        // worker without runs needs no lease.
        let may_renew = worker.failed_polls == 0 && worker.lease_record == LeaseRecord::None;
        let renews = may_renew && !worker.runs.is_empty() && !worker.should_lapse(now);
        let lease_until_ms = lease_end(ctx, worker).filter(|_| renews);
        worker.has_capped_lease = renews && !ctx.has_lead();
        let call = WorkerCall::Renew {
            lease_until_ms,
            acknowledge,
            wait_ms,
        };
        let rpc = self.call_worker(ctx, ix, call, wait_ms + consts::WORKER_TIMEOUT_MS);
        let worker = self.fleet.get_mut(ix);
        match quick {
            true => worker.quick_poll = Some(rpc),
            false => worker.poll = Some(rpc),
        }
        let poll = OpenPoll {
            ix,
            sent_at: now,
            wait_ms,
            acknowledge,
            quick,
        };
        self.worker_rpcs.insert(rpc, OpenWorkerRpc::Poll(poll));
    }

    pub(crate) fn on_worker_answer(&mut self, ctx: &mut Ctx, rpc: RpcId, answer: WorkerAnswer) {
        match self.worker_rpcs.remove(&rpc) {
            Some(OpenWorkerRpc::Poll(poll)) => self.on_poll(ctx, poll, answer),
            Some(OpenWorkerRpc::Start { ix, task, run }) => {
                self.on_start_answer(ctx, ix, &task, run, answer)
            }
            Some(OpenWorkerRpc::Stop { ix, task, run }) => {
                self.on_stop_answer(ctx, ix, &task, run, answer)
            }
            None => {}
        }
    }

    fn on_poll(&mut self, ctx: &mut Ctx, poll: OpenPoll, answer: WorkerAnswer) {
        let OpenPoll {
            ix,
            sent_at,
            wait_ms,
            acknowledge,
            quick,
        } = poll;
        let worker = self.fleet.get_mut(ix);
        let last_end_seen = worker.last_end_seen;
        match quick {
            true => worker.quick_poll = None,
            false => worker.poll = None,
        }
        let answer = match answer {
            WorkerAnswer::Listed(clock, view) => Ok((clock, view, UnreadableRows::default())),
            WorkerAnswer::PartlyListed(clock, view, unreadable) => Ok((clock, view, unreadable)),
            other => Err(other),
        };
        match answer {
            Ok((clock, view, unreadable)) => {
                self.on_listed(ctx, ix, sent_at, clock, view, &unreadable);
                self.clear_lease_record(ix);
                let worker = self.fleet.get_mut(ix);
                if wait_ms > Millis(0) {
                    let is_early = ctx.now.since(sent_at) < Millis(wait_ms.0 / 2);
                    worker.count_early_answer(is_early && worker.last_end_seen == last_end_seen);
                }
                worker.next_poll_at = ctx.now + worker.poll_pause_ms();
                // Ended runs that changed no progress need no write and can be acknowledged at
                // once.
                self.poll_worker(ctx, ix);
            }
            Err(other) => {
                let worker = self.fleet.get_mut(ix);
                worker.failed_polls += 1;
                if acknowledge > 0 {
                    worker.last_end_acknowledged = 0;
                }
                // The poll that is open may wait for long.
                worker.needs_quick_poll |= quick;
                worker.next_poll_at = ctx.now + consts::POLL_RETRY_DELAY_MS;
                if worker.failed_polls == 1 {
                    let event = LogEvent::warn("worker_silent").with("worker", worker.id());
                    let event = event.with("answer", format_args!("{other:?}"));
                    let age_ms = ctx.now.since(worker.answered_at);
                    ctx.log(
                        event
                            .with("age_ms", age_ms.0)
                            .with("runs", worker.runs.len()),
                    );
                }
            }
        }
    }

    /// Sends the start of a run whose placement is stored.
    pub(crate) fn send_start(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: TaskKey, run: u32) {
        let at = usize::from(task.step.step);
        let worker = self.fleet.get(ix);
        let lease_until_ms = lease_end(ctx, worker).filter(|_| ctx.has_lead());
        let (Some(lease_until_ms), Some(current)) = (lease_until_ms, worker.runs.get(&task)) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let start = StartRequest {
            task: task.clone(),
            run,
            payload: job.row.submission.payload.clone(),
            lease_until_ms,
            checkpoint: current.checkpoint.clone(),
            ticket: job.steps[at].advice.ticket(ix, ctx.now).cloned(),
        };
        log_start(ctx, worker, &task, run, job.accepted_at);
        let worker = self.fleet.get_mut(ix);
        if let Some(current) = worker.runs.get_mut(&task) {
            current.set_phase(RunPhase::Starting, ctx.now);
        }
        worker.next_poll_at = worker
            .next_poll_at
            .min(ctx.now + consts::STORE_RETRY_DELAY_MS);
        let rpc = self.call_worker(ctx, ix, WorkerCall::Start(start), consts::WORKER_TIMEOUT_MS);
        self.worker_rpcs
            .insert(rpc, OpenWorkerRpc::Start { ix, task, run });
    }

    fn on_start_answer(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        answer: WorkerAnswer,
    ) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let current = worker.runs.get_mut(task).filter(|run| run.number == number);
        match answer {
            WorkerAnswer::Carried(clock) => {
                worker.clock = Some((clock, now));
                if let Some(run) = current {
                    if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed(_)) {
                        run.set_phase(RunPhase::Active, now);
                    }
                    // A run that is to be stopped is confirmed by the answer to the stop only.
                    if !matches!(run.phase, RunPhase::Stopping(_)) {
                        run.confirmed_at = run.confirmed_at.or(Some(now));
                    }
                }
                self.mark_begun(&task.step.job);
                self.poll_worker(ctx, ix);
            }
            WorkerAnswer::Lost | WorkerAnswer::Listed(..) | WorkerAnswer::PartlyListed(..) => {
                if let Some(run) = current.filter(|run| run.phase == RunPhase::Starting) {
                    run.set_phase(RunPhase::Unconfirmed(now), now);
                }
                worker.backoff_until = now + consts::WORKER_BACKOFF_MS;
                worker.needs_quick_poll = true;
                let event = LogEvent::warn("order_unanswered")
                    .with("task", task)
                    .with("run", number);
                ctx.log(event.with("worker", worker.id()));
                self.poll_worker(ctx, ix);
            }
            WorkerAnswer::NotSent => self.on_not_started(ctx, ix, task, number, None),
            WorkerAnswer::Refused(why, _) => {
                self.on_not_started(ctx, ix, task, number, Some(why));
            }
        }
    }

    /// Releases a run whose start was certainly not carried out, and aborts its gang. `why` is
    /// `None` if the call was never sent.
    fn on_not_started(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        why: Option<WorkerRefusal>,
    ) {
        let worker = self.fleet.get_mut(ix);
        let event = LogEvent::warn("start_refused")
            .with("task", task)
            .with("run", number);
        let event = event
            .with("worker", worker.id())
            .with("why", format_args!("{why:?}"));
        ctx.log(
            event
                .with("used", worker.used)
                .with("room", worker.capacity()),
        );
        match why {
            Some(WorkerRefusal::BadTicket) => self.expire_ticket(task, ix),
            Some(WorkerRefusal::Late) => {
                worker.clock = None;
                worker.next_poll_at = ctx.now;
            }
            Some(WorkerRefusal::OldRun) => {}
            _ => {
                worker.backoff_until = ctx.now + consts::WORKER_BACKOFF_MS;
                worker.next_poll_at = worker.next_poll_at.min(ctx.now);
            }
        }
        let current = self.fleet.get(ix).runs.get(task);
        if current.is_none_or(|run| run.number != number) {
            return;
        }
        self.release_run(ix, task);
        let job = self.jobs.get(&task.step.job);
        let at = usize::from(task.step.step);
        if job.is_some_and(|job| job.row.submission.steps[at].gang) {
            self.abort_gang(ctx, task);
        }
        self.refresh_pending_steps(&task.step.job);
    }

    /// Stops a run; the call is repeated until it is confirmed.
    pub(crate) fn stop_run(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey) {
        let worker = self.fleet.get_mut(ix);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        match run.phase {
            RunPhase::Stopping(_) => return,
            RunPhase::Placed(_) => {
                // Its start was never sent.
                self.release_run(ix, task);
                return;
            }
            _ => {}
        }
        run.set_phase(
            RunPhase::Stopping(ctx.now + consts::STOP_RETRY_DELAY_MS),
            ctx.now,
        );
        run.confirmed_at = None;
        let number = run.number;
        self.send_stop(ctx, ix, task, number);
    }

    pub(crate) fn send_stop(&mut self, ctx: &mut Ctx, ix: WorkerIx, task: &TaskKey, run: u32) {
        let event = LogEvent::info("stop_ordered")
            .with("task", task)
            .with("run", run);
        ctx.log(event.with("worker", self.fleet.get(ix).id()));
        let task = task.clone();
        let call = WorkerCall::Stop {
            task: task.clone(),
            run,
        };
        let rpc = self.call_worker(ctx, ix, call, consts::WORKER_TIMEOUT_MS);
        self.worker_rpcs
            .insert(rpc, OpenWorkerRpc::Stop { ix, task, run });
    }

    fn on_stop_answer(
        &mut self,
        ctx: &mut Ctx,
        ix: WorkerIx,
        task: &TaskKey,
        number: u32,
        answer: WorkerAnswer,
    ) {
        let now = ctx.now;
        let worker = self.fleet.get_mut(ix);
        let current = worker.runs.get_mut(task).filter(|run| run.number == number);
        let Some(run) = current else { return };
        let settled = matches!(
            answer,
            WorkerAnswer::Carried(_) | WorkerAnswer::Refused(WorkerRefusal::OldRun, _)
        );
        if settled {
            run.confirmed_at = Some(now);
            // If the run has ended, this completes the waiting poll. A run that never started is
            // not listed as ended; the quick poll shows that it is missing.
            worker.needs_quick_poll = true;
        } else {
            run.set_phase(RunPhase::Stopping(now + consts::STOP_RETRY_DELAY_MS), now);
        }
    }

    /// Repeats the stops that were not confirmed.
    pub(crate) fn retry_stops(&mut self, ctx: &mut Ctx) {
        let mut due = Vec::new();
        for (ix, worker) in self.fleet.iter() {
            for (task, run) in &worker.runs {
                let is_unconfirmed = run.confirmed_at.is_none();
                if is_unconfirmed && matches!(run.phase, RunPhase::Stopping(at) if ctx.now >= at) {
                    due.push((ix, task.clone(), run.number));
                }
            }
        }
        for (ix, task, number) in due {
            if let Some(run) = self.fleet.get_mut(ix).runs.get_mut(&task) {
                run.set_phase(
                    RunPhase::Stopping(ctx.now + consts::WORKER_TIMEOUT_MS),
                    ctx.now,
                );
            }
            self.send_stop(ctx, ix, &task, number);
        }
    }
}

/// Returns the latest end of a worker's lease that the leader may grant now, by the worker's clock.
/// The lease counts from the end of the leader's own lease if that is over.
fn lease_end(ctx: &Ctx, worker: &Worker) -> Option<Millis> {
    let begin = worker.clock_at(ctx.now.min(ctx.lead_until()))?;
    Some(begin + ctx.settings.max_lease_ms)
}

fn log_start(ctx: &mut Ctx, worker: &Worker, task: &TaskKey, number: u32, accepted_at: Millis) {
    let event = LogEvent::info("run_ordered")
        .with("task", task)
        .with("run", number);
    let event = event
        .with("worker", worker.id())
        .with("free", worker.free());
    let waited_ms = ctx.now.since(accepted_at);
    let clock_age_ms = worker.clock.map_or(0, |(_, at)| ctx.now.since(at).0);
    ctx.log(
        event
            .with("clock_age_ms", clock_age_ms)
            .with("job_age_ms", waited_ms.0),
    );
}
