//! Worker connections: claims, lease renewals and the handling of worker reports.

use super::{requests::TaskLoss, Core};
use crate::{
    consts, ActiveTask, Claim, Class, DaemonId, DecisionEvent, Effect, EndedTask, Epoch, Host,
    Link, LostCause, Millis, Resources, Running, TaskAttempt, TaskId, UnitKind, WorkerCommand,
    WorkerId, WorkerIx, WorkerReport, WorkerState,
};

/// The next action on a worker's connection.
enum LinkAction {
    Nothing,
    Open,
    Renew,
    Close,
    ExpireTasks,
}

impl Core {
    pub(super) fn scan_hosts(&mut self) {
        let interval_ms = if self.is_leader() || self.is_awaiting_hosts() {
            consts::HOST_POLL_INTERVAL_MS
        } else {
            consts::FOLLOWER_HOST_POLL_INTERVAL_MS
        };
        let next_read_ms = self.now_ms + interval_ms;
        // A read is due early if the interval has become shorter: this daemon is a new leader, or
        // the last read is unanswered.
        if self.next_host_read_ms <= self.now_ms || self.next_host_read_ms > next_read_ms {
            self.next_host_read_ms = next_read_ms;
            self.record_hosts_requested();
            self.effects.push(Effect::ReadHosts);
        }
    }

    pub(super) fn on_hosts_read(&mut self, hosts: Vec<Host>) {
        self.record_hosts_read();
        let own = &self.settings.domain;
        let own: Vec<Host> = hosts
            .into_iter()
            .filter(|host| host.domain == *own)
            .collect();
        let unclaimed = self.fleet.unclaimed_capacity();
        let delisted = self.fleet.update_hosts(own);
        if !self.is_leader() {
            return;
        }
        for ix in delisted {
            self.on_worker_delisted(ix);
        }
        self.open_adopted_jobs();
        if self.fleet.unclaimed_capacity() != unclaimed {
            self.schedule_all();
        }
    }

    /// Marks the tasks of a worker that left the host list as lost before their leases expire, since
    /// the platform delists only hosts that no longer run.
    fn on_worker_delisted(&mut self, ix: WorkerIx) {
        self.close_link(ix);
        self.mark_tasks_lost(ix, TaskLoss::MayHaveRun);
    }

    pub(super) fn scan_workers(&mut self) {
        if !self.is_leader() {
            return;
        }
        for ix in self.fleet.indices() {
            match self.next_link_action(ix) {
                LinkAction::Nothing => {}
                LinkAction::Open => self.open_link(ix),
                LinkAction::Renew => self.renew_lease(ix),
                LinkAction::Close => self.on_link_lost(ix),
                LinkAction::ExpireTasks => self.expire_tasks(ix),
            }
        }
    }

    fn next_link_action(&self, ix: WorkerIx) -> LinkAction {
        let now_ms = self.now_ms;
        let worker = self.fleet.get(ix);
        let unanswered = worker.last_renewal_ms > worker.last_report_ms;
        let expired = now_ms.since(worker.last_renewal_ms) > consts::TASK_EXPIRY_MS;
        match worker.link {
            Link::Down { .. } if expired && !worker.tasks.is_empty() => LinkAction::ExpireTasks,
            Link::Down { retry_ms } if worker.listed && retry_ms <= now_ms => LinkAction::Open,
            Link::Down { .. } => LinkAction::Nothing,
            Link::Opening { since_ms } | Link::Claiming { since_ms } => {
                let timed_out = now_ms.since(since_ms) > consts::LINK_TIMEOUT_MS;
                if timed_out {
                    LinkAction::Close
                } else {
                    LinkAction::Nothing
                }
            }
            Link::Ready
                if unanswered
                    && now_ms.since(worker.last_report_ms.max(worker.unanswered_since_ms))
                        > consts::LINK_TIMEOUT_MS =>
            {
                LinkAction::Close
            }
            Link::Ready if is_renewal_due(worker, now_ms) => LinkAction::Renew,
            Link::Ready => LinkAction::Nothing,
        }
    }

    fn open_link(&mut self, ix: WorkerIx) {
        let since_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        worker.link = Link::Opening { since_ms };
        worker.link_number += 1;
        let link = worker.link_number;
        let (worker, address) = (worker.host.worker.clone(), worker.host.address.clone());
        self.effects.push(Effect::LinkWorker {
            worker,
            address,
            link,
        });
    }

    fn renew_lease(&mut self, ix: WorkerIx) {
        let now_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        if worker.last_renewal_ms <= worker.last_report_ms {
            worker.unanswered_since_ms = now_ms;
        }
        worker.last_renewal_ms = now_ms;
        self.send_command(
            ix,
            WorkerCommand::Renew {
                lease_ms: consts::TASK_LEASE_MS,
            },
        );
    }

    /// Sends a command to a worker over its current connection.
    pub(super) fn send_command(&mut self, ix: WorkerIx, command: WorkerCommand) {
        let worker = self.fleet.get(ix);
        let (claim, link) = (worker.claim, worker.link_number);
        let worker = worker.host.worker.clone();
        self.effects.push(Effect::SendWorker {
            worker,
            link,
            claim,
            command,
        });
    }

    /// Returns the worker if `link` is its current connection.
    ///
    /// Reports from an older connection are dropped.
    fn find_linked(&self, worker: &WorkerId, link: u64) -> Option<WorkerIx> {
        let ix = self.fleet.index_of(worker)?;
        let state = self.fleet.get(ix);
        let current = state.link_number == link && !matches!(state.link, Link::Down { .. });
        current.then_some(ix)
    }

    pub(super) fn on_worker_linked(&mut self, worker: &WorkerId, link: u64) {
        let Some(ix) = self.find_linked(worker, link) else {
            return;
        };
        let epoch = self.fleet.get(ix).claim.epoch.next();
        self.send_claim(ix, epoch);
    }

    fn send_claim(&mut self, ix: WorkerIx, epoch: Epoch) {
        let Some(term) = self.leader_term() else {
            return;
        };
        let now_ms = self.now_ms;
        let worker = self.fleet.get_mut(ix);
        worker.claim = Claim { term, epoch };
        worker.link = Link::Claiming { since_ms: now_ms };
        worker.last_renewal_ms = now_ms;
        worker.unanswered_since_ms = now_ms;
        let owner = self.daemon_id().clone();
        self.send_command(ix, WorkerCommand::Claim { owner });
    }

    pub(super) fn on_worker_unlinked(&mut self, worker: &WorkerId, link: u64) {
        if let Some(ix) = self.find_linked(worker, link) {
            self.on_link_lost(ix);
        }
    }

    fn on_link_lost(&mut self, ix: WorkerIx) {
        let was_ready = self.fleet.get(ix).link == Link::Ready;
        self.close_link(ix);
        if was_ready {
            let worker = self.fleet.get(ix).host.worker.clone();
            self.log(DecisionEvent::WorkerUnresponsive { worker });
            self.retry_idempotent_requests(ix);
        }
    }

    fn close_link(&mut self, ix: WorkerIx) {
        let retry_ms = self.now_ms + consts::RECONNECT_INTERVAL_MS;
        let worker = self.fleet.get_mut(ix);
        worker.link = Link::Down { retry_ms };
        let worker = worker.host.worker.clone();
        self.effects.push(Effect::UnlinkWorker { worker });
    }

    pub(super) fn close_links(&mut self) {
        for ix in self.fleet.indices() {
            self.close_link(ix);
        }
    }

    /// Marks the tasks of an unresponsive worker as lost, since their leases have expired there.
    fn expire_tasks(&mut self, ix: WorkerIx) {
        self.mark_tasks_lost(ix, TaskLoss::MayHaveRun);
    }

    pub(super) fn on_worker_report(&mut self, worker: &WorkerId, link: u64, report: WorkerReport) {
        let Some(ix) = self.find_linked(worker, link) else {
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
                self.on_worker_claimed(ix, incarnation, capacity, running, ended);
            }
            WorkerReport::Fenced { claim, owner } => self.on_worker_fenced(ix, claim, owner),
            WorkerReport::NoRoom(task) => self.mark_task_lost(ix, &task, TaskLoss::NeverStarted),
            WorkerReport::Ended(ended) => self.on_task_ended(ix, ended),
            WorkerReport::Renewed => {}
        }
    }

    /// Handles a worker's refusal of a command because of a higher claim.
    ///
    /// If that claim is of this daemon's own term, the worker is claimed again under a higher epoch;
    /// otherwise this daemon steps down.
    fn on_worker_fenced(&mut self, ix: WorkerIx, claim: Claim, owner: DaemonId) {
        if owner == *self.daemon_id() && Some(claim.term) == self.leader_term() {
            self.send_claim(ix, claim.epoch.next());
            return;
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        self.log(DecisionEvent::Fenced { worker, owner });
        self.step_down_fenced(claim.term);
    }

    fn on_worker_claimed(
        &mut self,
        ix: WorkerIx,
        incarnation: u64,
        capacity: Resources,
        running: Vec<ActiveTask>,
        ended: Vec<EndedTask>,
    ) {
        let worker = self.fleet.get_mut(ix);
        let same_incarnation = worker.incarnation == Some(incarnation);
        worker.incarnation = Some(incarnation);
        worker.link = Link::Ready;
        let name = worker.host.worker.clone();
        self.log(DecisionEvent::WorkerClaimed {
            worker: name,
            running: running.len() as u64,
        });
        self.fleet.mark_claimed(ix, capacity);
        self.mark_unreported_lost(ix, same_incarnation, &running, &ended);
        for held in running {
            self.adopt_task(ix, held);
        }
        for task in ended {
            self.on_task_ended(ix, task);
        }
        self.open_adopted_jobs();
        // Unclaimed workers count as fully used for every team, so the last claim frees room for
        // all.
        match self.fleet.unclaimed_count() {
            0 => self.schedule_all(),
            _ => self.schedule_on_worker(ix, None),
        }
    }

    /// Marks the tasks as lost that the worker did not report after a claim.
    ///
    /// A worker of the same incarnation never received them and refuses them under the new claim.
    /// After a restart of the worker it is unknown whether they ran.
    fn mark_unreported_lost(
        &mut self,
        ix: WorkerIx,
        same_incarnation: bool,
        running: &[ActiveTask],
        ended: &[EndedTask],
    ) {
        let known = self.fleet.get(ix).tasks.keys();
        let reported = |task: &TaskId| {
            running.iter().any(|held| held.task == *task)
                || ended.iter().any(|ended| ended.task == *task)
        };
        let missing: Vec<TaskId> = known.filter(|task| !reported(task)).cloned().collect();
        let loss = if same_incarnation {
            TaskLoss::NeverStarted
        } else {
            TaskLoss::MayHaveRun
        };
        for task in missing {
            self.mark_task_lost(ix, &task, loss);
        }
    }

    /// Adopts a task that the worker reported as running after a claim, or stops it if it may not
    /// continue.
    ///
    /// A job's task continues at least until the jobs are loaded from the table.
    fn adopt_task(&mut self, ix: WorkerIx, held: ActiveTask) {
        let (unit, continues) = match TaskAttempt::parse(&held.task) {
            Some(TaskAttempt::Request { request, .. }) => {
                self.adopt_request(ix, request, &held.task)
            }
            Some(TaskAttempt::Job { job, index, .. }) => {
                let unit = self.adopt_job_task(ix, job, index, &held.task);
                let continues = unit.is_some() || !self.has_loaded_jobs();
                (unit, continues)
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
            self.log(DecisionEvent::Found {
                task: held.task.clone(),
                team: held.team,
                worker: self.fleet.get(ix).host.worker.clone(),
                continues,
            });
        }
        if !continues {
            self.send_command(ix, WorkerCommand::Stop(held.task));
        }
    }

    fn on_task_ended(&mut self, ix: WorkerIx, ended: EndedTask) {
        let running = self.fleet.remove(ix, &ended.task);
        if let Some(running) = &running {
            self.log_ended(ix, &ended, running);
            self.observe_service_time(running);
        }
        match TaskAttempt::parse(&ended.task) {
            Some(TaskAttempt::Request { request, .. }) => self.on_request_ended(ix, request, ended),
            Some(TaskAttempt::Job { job, index, .. }) => {
                self.on_job_task_ended(ix, job, index, &ended)
            }
            None => self.send_command(ix, WorkerCommand::Ack(vec![ended.task])),
        }
        self.schedule_on_worker(ix, running.map(|running| running.team));
    }

    fn observe_service_time(&mut self, running: &Running) {
        if running.is_request {
            let ran_ms = self.now_ms.since(running.since_ms);
            self.service_time.observe(ran_ms);
        }
    }

    fn log_ended(&mut self, ix: WorkerIx, ended: &EndedTask, running: &Running) {
        let ended = DecisionEvent::Ended {
            task: ended.task.clone(),
            team: running.team.clone(),
            worker: self.fleet.get(ix).host.worker.clone(),
            ran_ms: self.now_ms.since(running.since_ms),
            succeeded: ended.end == crate::TaskEnd::Done,
            end: ended.end,
            class: self.class_of(&ended.task),
        };
        self.log(ended);
    }

    fn class_of(&self, task: &TaskId) -> Option<Class> {
        match TaskAttempt::parse(task)? {
            TaskAttempt::Request { .. } => Some(Class::Small),
            TaskAttempt::Job { job, .. } => self.jobs.get(&job).map(|record| record.class),
        }
    }

    fn mark_tasks_lost(&mut self, ix: WorkerIx, loss: TaskLoss) {
        let tasks: Vec<TaskId> = self.fleet.get(ix).tasks.keys().cloned().collect();
        for task in tasks {
            self.mark_task_lost(ix, &task, loss);
        }
    }

    fn mark_task_lost(&mut self, ix: WorkerIx, task: &TaskId, loss: TaskLoss) {
        let Some(running) = self.fleet.remove(ix, task) else {
            return;
        };
        let worker = self.fleet.get(ix).host.worker.clone();
        self.log(DecisionEvent::Lost {
            task: task.clone(),
            team: running.team.clone(),
            worker: worker.clone(),
            cause: match loss {
                TaskLoss::NeverStarted => LostCause::NeverStarted,
                TaskLoss::MayHaveRun => LostCause::WorkerGone,
            },
        });
        match running.unit {
            Some(UnitKind::Request(request)) => self.on_request_lost(&request, task, worker, loss),
            Some(UnitKind::Task { job, index }) => self.on_job_task_lost(&job, index, task),
            Some(UnitKind::Gang { .. }) | None => {}
        }
        self.schedule_on_worker(ix, Some(running.team));
    }
}

/// Returns whether a renewal is due, to extend the leases or to check whether a worker that runs
/// requests still responds.
///
/// The check is skipped while the worker sends other reports.
fn is_renewal_due(worker: &WorkerState, now_ms: Millis) -> bool {
    let quiet_ms = now_ms.since(worker.last_renewal_ms.max(worker.last_report_ms));
    let check_due = worker.running_requests > 0 && quiet_ms >= consts::BUSY_RENEWAL_INTERVAL_MS;
    check_due || now_ms.since(worker.last_renewal_ms) >= consts::RENEWAL_INTERVAL_MS
}
