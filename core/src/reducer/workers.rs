//! Connections to workers, their claims, and what they report.

use super::{requests::TaskLoss, Core};
use crate::{
    consts, ActiveTask, Claim, Class, DaemonId, DecisionEvent, Effect, EndedTask, Epoch, Host,
    Link, LostCause, Millis, Resources, Running, TaskAttempt, TaskId, UnitKind, WorkerCommand,
    WorkerId, WorkerIx, WorkerReport, WorkerState,
};

/// What a connection needs.
enum LinkStep {
    Nothing,
    Open,
    Renew,
    Drop,
    Lapse,
}

impl Core {
    pub(super) fn scan_hosts(&mut self) {
        let span_ms = if self.is_keeper() || self.is_awaiting_hosts() {
            consts::HOST_POLL_INTERVAL_MS
        } else {
            consts::FOLLOWER_HOST_POLL_INTERVAL_MS
        };
        let latest_ms = self.now_ms + span_ms;
        // Neither a new keeper nor a lost reading waits out the longer span.
        if self.next_hosts_ms <= self.now_ms || self.next_hosts_ms > latest_ms {
            self.next_hosts_ms = latest_ms;
            self.record_hosts_requested();
            self.out.push(Effect::ReadHosts);
        }
    }

    pub(super) fn hosts_read(&mut self, hosts: Vec<Host>) {
        self.record_hosts_read();
        let own = &self.settings.domain;
        let own: Vec<Host> = hosts
            .into_iter()
            .filter(|host| host.domain == *own)
            .collect();
        let unclaimed = self.fleet.unclaimed_capacity();
        let left = self.fleet.update_hosts(own);
        if !self.is_keeper() {
            return;
        }
        for ix in left {
            self.worker_left(ix);
        }
        self.open_adopted_jobs();
        if self.fleet.unclaimed_capacity() != unclaimed {
            self.schedule_all();
        }
    }

    /// Ends the tasks of a worker that left the host list: the platform lists no host that runs.
    fn worker_left(&mut self, ix: WorkerIx) {
        self.close_link(ix);
        self.lose_tasks(ix, TaskLoss::MayHaveRun);
    }

    pub(super) fn scan_workers(&mut self) {
        if !self.is_keeper() {
            return;
        }
        for ix in self.fleet.indices() {
            match self.next_link_step(ix) {
                LinkStep::Nothing => {}
                LinkStep::Open => self.open_link(ix),
                LinkStep::Renew => self.renew(ix),
                LinkStep::Drop => self.link_lost(ix),
                LinkStep::Lapse => self.lapse(ix),
            }
        }
    }

    fn next_link_step(&self, ix: WorkerIx) -> LinkStep {
        let now_ms = self.now_ms;
        let worker = self.fleet.get(ix);
        let unanswered = worker.last_renewal_ms > worker.last_report_ms;
        let lapsed = now_ms.since(worker.last_renewal_ms) > consts::TASK_EXPIRY_MS;
        match worker.link {
            Link::Down { .. } if lapsed && !worker.tasks.is_empty() => LinkStep::Lapse,
            Link::Down { retry_ms } if worker.listed && retry_ms <= now_ms => LinkStep::Open,
            Link::Down { .. } => LinkStep::Nothing,
            Link::Opening { since_ms } | Link::Claiming { since_ms } => {
                let late = now_ms.since(since_ms) > consts::LINK_TIMEOUT_MS;
                if late {
                    LinkStep::Drop
                } else {
                    LinkStep::Nothing
                }
            }
            Link::Ready
                if unanswered
                    && now_ms.since(worker.last_report_ms.max(worker.unanswered_since_ms))
                        > consts::LINK_TIMEOUT_MS =>
            {
                LinkStep::Drop
            }
            Link::Ready if renewal_is_due(worker, now_ms) => LinkStep::Renew,
            Link::Ready => LinkStep::Nothing,
        }
    }

    fn open_link(&mut self, ix: WorkerIx) {
        let since_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        worker.link = Link::Opening { since_ms };
        worker.link_number += 1;
        let link = worker.link_number;
        let (worker, address) = (worker.host.worker.clone(), worker.host.address.clone());
        self.out.push(Effect::LinkWorker {
            worker,
            address,
            link,
        });
    }

    fn renew(&mut self, ix: WorkerIx) {
        let now_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        if worker.last_renewal_ms <= worker.last_report_ms {
            worker.unanswered_since_ms = now_ms;
        }
        worker.last_renewal_ms = now_ms;
        self.command(
            ix,
            WorkerCommand::Renew {
                lease_ms: consts::TASK_LEASE_MS,
            },
        );
    }

    /// Sends a command to a worker by its present connection.
    pub(super) fn command(&mut self, ix: WorkerIx, command: WorkerCommand) {
        let worker = self.fleet.get(ix);
        let (claim, link) = (worker.claim, worker.link_number);
        let worker = worker.host.worker.clone();
        self.out.push(Effect::SendWorker {
            worker,
            link,
            claim,
            command,
        });
    }

    /// Finds a worker by the connection in use; anything of an older connection is dropped.
    fn linked(&self, worker: &WorkerId, link: u64) -> Option<WorkerIx> {
        let ix = self.fleet.index_of(worker)?;
        let state = self.fleet.get(ix);
        let current = state.link_number == link && !matches!(state.link, Link::Down { .. });
        current.then_some(ix)
    }

    pub(super) fn worker_linked(&mut self, worker: &WorkerId, link: u64) {
        let Some(ix) = self.linked(worker, link) else {
            return;
        };
        let epoch = self.fleet.get(ix).claim.epoch.next();
        self.send_claim(ix, epoch);
    }

    fn send_claim(&mut self, ix: WorkerIx, epoch: Epoch) {
        let Some(term) = self.keeper_term() else {
            return;
        };
        let now_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        worker.claim = Claim { term, epoch };
        worker.link = Link::Claiming { since_ms: now_ms };
        worker.last_renewal_ms = now_ms;
        worker.unanswered_since_ms = now_ms;
        let owner = self.me().clone();
        self.command(ix, WorkerCommand::Claim { owner });
    }

    pub(super) fn worker_unlinked(&mut self, worker: &WorkerId, link: u64) {
        if let Some(ix) = self.linked(worker, link) {
            self.link_lost(ix);
        }
    }

    fn link_lost(&mut self, ix: WorkerIx) {
        let was_ready = self.fleet.get(ix).link == Link::Ready;
        self.close_link(ix);
        if was_ready {
            let worker = self.fleet.get(ix).host.worker.clone();
            self.tell(DecisionEvent::WorkerUnresponsive { worker });
            self.retry_idempotent_requests(ix);
        }
    }

    fn close_link(&mut self, ix: WorkerIx) {
        let retry_ms = self.now_ms + consts::RECONNECT_INTERVAL_MS;
        let worker = self.fleet.get_mut(ix);
        worker.link = Link::Down { retry_ms };
        let worker = worker.host.worker.clone();
        self.out.push(Effect::UnlinkWorker { worker });
    }

    pub(super) fn unlink_workers(&mut self) {
        for ix in self.fleet.indices() {
            self.close_link(ix);
        }
    }

    /// Counts the tasks of a silent worker as ended: their leases have run out at the worker.
    fn lapse(&mut self, ix: WorkerIx) {
        self.lose_tasks(ix, TaskLoss::MayHaveRun);
    }

    pub(super) fn worker_heard(&mut self, worker: &WorkerId, link: u64, report: WorkerReport) {
        let Some(ix) = self.linked(worker, link) else {
            return;
        };
        self.fleet.get_mut(ix).last_report_ms = self.now_ms;
        match report {
            WorkerReport::Claimed {
                incarnation,
                capacity,
                running,
                ended,
            } => {
                self.worker_claimed(ix, incarnation, capacity, running, ended);
            }
            WorkerReport::Fenced { claim, owner } => self.worker_fenced(ix, claim, owner),
            WorkerReport::NoRoom(task) => self.task_lost(ix, &task, TaskLoss::NeverStarted),
            WorkerReport::Ended(ended) => self.task_ended(ix, ended),
            WorkerReport::Renewed => {}
        }
    }

    fn worker_fenced(&mut self, ix: WorkerIx, claim: Claim, owner: DaemonId) {
        if owner == *self.me() && Some(claim.term) == self.keeper_term() {
            self.send_claim(ix, claim.epoch.next());
            return;
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        self.tell(DecisionEvent::Fenced { worker, owner });
        self.fenced_by(claim.term);
    }

    fn worker_claimed(
        &mut self,
        ix: WorkerIx,
        incarnation: u64,
        capacity: Resources,
        running: Vec<ActiveTask>,
        ended: Vec<EndedTask>,
    ) {
        let worker = self.fleet.get_mut(ix);
        let same = worker.incarnation == Some(incarnation);
        worker.incarnation = Some(incarnation);
        worker.link = Link::Ready;
        let name = worker.host.worker.clone();
        self.tell(DecisionEvent::WorkerClaimed {
            worker: name,
            running: running.len() as u64,
        });
        self.fleet.mark_claimed(ix, capacity);
        self.lose_unreported(ix, same, &running, &ended);
        for held in running {
            self.adopt_task(ix, held);
        }
        for task in ended {
            self.task_ended(ix, task);
        }
        self.open_adopted_jobs();
        // With the last claim, what was counted as full for every team is known.
        match self.fleet.unclaimed_count() {
            0 => self.schedule_all(),
            _ => self.refill(ix, None),
        }
    }

    /// Settles the tasks that the worker does not know. A worker that did not start anew never
    /// got them, and refuses them under the new claim; of one that did, nothing is known.
    fn lose_unreported(
        &mut self,
        ix: WorkerIx,
        same: bool,
        running: &[ActiveTask],
        ended: &[EndedTask],
    ) {
        let known = self.fleet.get(ix).tasks.keys();
        let reported = |task: &TaskId| {
            running.iter().any(|held| held.task == *task)
                || ended.iter().any(|ended| ended.task == *task)
        };
        let missing: Vec<TaskId> = known.filter(|task| !reported(task)).cloned().collect();
        let kind = if same {
            TaskLoss::NeverStarted
        } else {
            TaskLoss::MayHaveRun
        };
        for task in missing {
            self.task_lost(ix, &task, kind);
        }
    }

    fn adopt_task(&mut self, ix: WorkerIx, held: ActiveTask) {
        let (unit, wanted) = match TaskAttempt::parse(&held.task) {
            Some(TaskAttempt::Request { request, .. }) => {
                self.adopt_request(ix, request, &held.task)
            }
            Some(TaskAttempt::Job { job, index, .. }) => {
                let unit = self.adopt_job_task(ix, job, index, &held.task);
                let wanted = unit.is_some() || !self.has_loaded_jobs();
                (unit, wanted)
            }
            None => (None, false),
        };
        if !self.fleet.get(ix).tasks.contains_key(&held.task) {
            let is_request = matches!(unit, Some(UnitKind::Request(_)));
            let ActiveTask { task, team, need } = held.clone();
            let running = Running {
                unit,
                team,
                need,
                since_ms: self.now_ms,
                is_request,
            };
            self.fleet.add(ix, task, running);
            self.tell(DecisionEvent::Found {
                task: held.task.clone(),
                team: held.team,
                worker: self.fleet.get(ix).host.worker.clone(),
                continues: wanted,
            });
        }
        if !wanted {
            self.command(ix, WorkerCommand::Stop(held.task));
        }
    }

    fn task_ended(&mut self, ix: WorkerIx, ended: EndedTask) {
        let running = self.fleet.remove(ix, &ended.task);
        if let Some(running) = &running {
            self.tell_ended(ix, &ended, running);
            self.observe_service(running);
        }
        match TaskAttempt::parse(&ended.task) {
            Some(TaskAttempt::Request { request, .. }) => self.on_request_ended(ix, request, ended),
            Some(TaskAttempt::Job { job, index, .. }) => {
                self.on_job_task_ended(ix, job, index, &ended)
            }
            None => self.command(ix, WorkerCommand::Ack(vec![ended.task])),
        }
        self.refill(ix, running.map(|running| running.team));
    }

    fn observe_service(&mut self, running: &Running) {
        if running.is_request {
            let ran_ms = self.now_ms.since(running.since_ms);
            self.service_time.observe(ran_ms);
        }
    }

    fn tell_ended(&mut self, ix: WorkerIx, ended: &EndedTask, running: &Running) {
        let told = DecisionEvent::Ended {
            task: ended.task.clone(),
            team: running.team.clone(),
            worker: self.fleet.get(ix).host.worker.clone(),
            ran_ms: self.now_ms.since(running.since_ms),
            succeeded: ended.end == crate::TaskEnd::Done,
            end: ended.end,
            class: self.class_of(&ended.task),
        };
        self.tell(told);
    }

    fn class_of(&self, task: &TaskId) -> Option<Class> {
        match TaskAttempt::parse(task)? {
            TaskAttempt::Request { .. } => Some(Class::Small),
            TaskAttempt::Job { job, .. } => self.jobs.get(&job).map(|record| record.class),
        }
    }

    fn lose_tasks(&mut self, ix: WorkerIx, kind: TaskLoss) {
        let tasks: Vec<TaskId> = self.fleet.get(ix).tasks.keys().cloned().collect();
        for task in tasks {
            self.task_lost(ix, &task, kind);
        }
    }

    fn task_lost(&mut self, ix: WorkerIx, task: &TaskId, kind: TaskLoss) {
        let Some(running) = self.fleet.remove(ix, task) else {
            return;
        };
        let worker = self.fleet.get(ix).host.worker.clone();
        self.tell(DecisionEvent::Lost {
            task: task.clone(),
            team: running.team.clone(),
            worker: worker.clone(),
            cause: match kind {
                TaskLoss::NeverStarted => LostCause::NeverStarted,
                TaskLoss::MayHaveRun => LostCause::WorkerGone,
            },
        });
        match running.unit {
            Some(UnitKind::Request(request)) => self.on_request_lost(&request, task, worker, kind),
            Some(UnitKind::Task { job, index }) => self.on_job_task_lost(&job, index, task),
            Some(UnitKind::Gang { .. }) | None => {}
        }
        self.refill(ix, Some(running.team));
    }
}

/// Says whether the leases need a renewal, or a worker that owes an answer a sign of life. A worker
/// that is heard anyway is asked for none.
fn renewal_is_due(worker: &WorkerState, now_ms: Millis) -> bool {
    let quiet_ms = now_ms.since(worker.last_renewal_ms.max(worker.last_report_ms));
    let silent = worker.running_requests > 0 && quiet_ms >= consts::BUSY_RENEWAL_INTERVAL_MS;
    silent || now_ms.since(worker.last_renewal_ms) >= consts::RENEWAL_INTERVAL_MS
}
