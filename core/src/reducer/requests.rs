//! Requests at the leader of a failure domain.
//!
//! A non-idempotent request is recorded in the table before it may run, so that no later attempt
//! under the same id runs it again. An idempotent request is queued at once and may be retried.

use super::{
    commits::CommitItem,
    orphans::Orphan,
    request_state::{RequestStage, RequestState},
    Core,
};
use crate::{
    consts, AdmittedRequest, Answer, Class, DaemonId, EndedTask, IntentRow, IntentState, Link,
    Millis, Origin, PeerMessage, Refusal, RequestId, TaskEnd, TaskId, UnitKind, WorkUnit,
    WorkerCommand, WorkerId, WorkerIx,
};
use std::collections::BTreeSet;

/// Whether a task that its worker no longer has may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TaskLoss {
    /// It did not start and never will.
    NeverStarted,
    /// It may have run, and no longer does.
    MayHaveRun,
}

/// The action on an incoming request.
pub(super) enum RequestAction {
    /// Adds the caller to the request in progress.
    Attach,
    /// Answers with the stored answer.
    RepeatAnswer(Answer),
    Refuse(Refusal),
    /// Forwards the request to the leader of another failure domain.
    Forward(DaemonId),
    /// Records the request in the table before it is queued.
    Record,
    Queue,
}

impl Core {
    /// Handles a request for this leader's workers.
    pub(super) fn on_run_request(&mut self, admitted: AdmittedRequest) {
        if !self.is_leader() {
            return;
        }
        let origin = admitted.origin.clone();
        match self.request_action(&admitted) {
            RequestAction::Attach => {
                if let Some(state) = self.requests.get_mut(&admitted.request.id) {
                    state.origins.insert(origin.clone());
                    self.requests_by_origin.insert(origin, admitted.request.id);
                }
            }
            RequestAction::RepeatAnswer(answer) => self.answer_origin(&origin, answer),
            RequestAction::Refuse(reason) => self.refuse_request(&admitted, reason),
            RequestAction::Forward(leader) => {
                self.record_forwarded(&admitted, &leader);
                let forwarded = AdmittedRequest {
                    forwarded: true,
                    ..admitted
                };
                self.send_peer(&leader, PeerMessage::Run(Box::new(forwarded)));
            }
            RequestAction::Record => self.open_request(admitted, RequestStage::Recording),
            RequestAction::Queue => self.open_request(admitted, RequestStage::Waiting),
        }
    }

    fn request_action(&self, admitted: &AdmittedRequest) -> RequestAction {
        let request = &admitted.request;
        if let Some(state) = self.requests.get(&request.id) {
            return match &state.stage {
                _ if !state.is_same_request(admitted) => RequestAction::Refuse(Refusal::IdReused),
                RequestStage::Answered(Answer::NotRun { .. }, _) => {
                    self.new_request_action(admitted)
                }
                RequestStage::Answered(answer, _) => RequestAction::RepeatAnswer(answer.clone()),
                RequestStage::Forwarded(leader) => RequestAction::Forward(leader.clone()),
                _ => RequestAction::Attach,
            };
        }
        self.new_request_action(admitted)
    }

    /// Returns the action on a request that has not run here.
    fn new_request_action(&self, admitted: &AdmittedRequest) -> RequestAction {
        let request = &admitted.request;
        let Some(queue) = self.config.queue(&request.queue) else {
            return RequestAction::Refuse(Refusal::UnknownQueue);
        };
        let limit = self
            .config
            .team(&admitted.team)
            .map(|(_, limit)| limit)
            .unwrap_or_default();
        if !queue.need.fits(&limit) {
            return RequestAction::Refuse(Refusal::OverLimit);
        }
        if self.fleet.total_capacity() != crate::Resources::default()
            && !queue.need.fits(&self.fleet.largest_capacity())
        {
            return RequestAction::Refuse(Refusal::NeverFits);
        }
        if self.is_overloaded(&admitted.team, request.deadline_ms) {
            return self.forward_or_refuse(admitted);
        }
        match (request.idempotent, self.can_accept_commits()) {
            (true, _) => RequestAction::Queue,
            (false, true) => RequestAction::Record,
            (false, false) => RequestAction::Refuse(Refusal::TableDown),
        }
    }

    /// Records where a request was forwarded, so that its retries are forwarded to the same leader
    /// and never run here.
    fn record_forwarded(&mut self, admitted: &AdmittedRequest, leader: &DaemonId) {
        let id = admitted.request.id.clone();
        if !self.requests.contains_key(&id) {
            let mut state =
                self.new_request_state(admitted.clone(), RequestStage::Forwarded(leader.clone()));
            // The leader that it was forwarded to answers its callers.
            state.origins.clear();
            self.requests.insert(id, state);
        }
    }

    pub(super) fn open_request(&mut self, admitted: AdmittedRequest, stage: RequestStage) {
        self.retry_budget.record_request();
        let id = admitted.request.id.clone();
        let needs_intent = stage == RequestStage::Recording;
        let state = self.new_request_state(admitted, stage);
        let nonce = state.nonce;
        self.requests_by_origin
            .insert(state.admitted.origin.clone(), id.clone());
        self.requests.insert(id.clone(), state);
        if needs_intent {
            self.queue_commit(CommitItem::Intent(id, nonce));
        } else {
            self.queue_request(&id, None);
        }
    }

    fn new_request_state(
        &mut self,
        admitted: AdmittedRequest,
        stage: RequestStage,
    ) -> RequestState {
        let nonce = self.next_nonce();
        RequestState {
            origins: BTreeSet::from([admitted.origin.clone()]),
            deadline_ms: self.now_ms + admitted.request.deadline_ms,
            received_ms: self.now_ms,
            nonce,
            stage,
            attempts: 0,
            uncertain_attempts: 0,
            first_failed_worker: None,
            admitted,
        }
    }

    fn queue_request(&mut self, id: &RequestId, avoid: Option<WorkerId>) {
        let Some(state) = self.requests.get_mut(id) else {
            return;
        };
        let Some(queue) = self.config.queue(&state.admitted.request.queue) else {
            return self.finish_request(id, Answer::refused(Refusal::UnknownQueue, Millis(0)));
        };
        state.stage = RequestStage::Waiting;
        let unit = WorkUnit {
            kind: UnitKind::Request(id.clone()),
            team: state.admitted.team.clone(),
            class: Class::Small,
            need: queue.need,
            since_ms: state.received_ms,
            avoid,
            blocked_ms: None,
        };
        self.log_retry(&unit);
        self.enqueue(unit);
    }

    /// Returns the row that records a request before it may run.
    pub(super) fn intent_row(&self, nonce: u64, state: IntentState) -> IntentRow {
        let writer = self.daemon_id().clone();
        IntentRow {
            state,
            writer,
            nonce,
            ttl_ms: consts::INTENT_TTL_MS,
        }
    }

    /// Queues a request whose row is written.
    pub(super) fn on_intent_recorded(&mut self, id: &RequestId) {
        self.queue_request(id, None);
    }

    /// Returns whether `nonce` identifies the current attempt to record a request.
    pub(super) fn is_recording(&self, id: &RequestId, nonce: u64) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| state.stage == RequestStage::Recording && state.nonce == nonce)
    }

    /// Handles a request whose row was written before, by this daemon or another.
    ///
    /// A writer that is still a reachable leader knows the outcome, so the request is forwarded to
    /// it. Otherwise the outcome is looked up among the tasks that the workers report.
    pub(super) fn on_intent_existed(&mut self, id: &RequestId, row: &IntentRow) {
        let Some(state) = self.requests.get(id) else {
            return;
        };
        if state.stage != RequestStage::Recording {
            return;
        }
        if let IntentState::Job(_) = row.state {
            return self.finish_request(id, Answer::refused(Refusal::IdReused, Millis(0)));
        }
        let writer = self.members.peers.get(&row.writer);
        let is_writer_leader = writer
            .is_some_and(|peer| peer.is_responsive(self.now_ms) && peer.leader_term.is_some());
        if is_writer_leader && !state.admitted.forwarded {
            return self.forward_to_intent_writer(id, &row.writer.clone());
        }
        if let Some(state) = self.requests.get_mut(id) {
            state.stage = RequestStage::Recovering;
        }
        self.resolve_orphan(id);
    }

    /// Forwards a request to the leader that recorded it, which answers all callers.
    fn forward_to_intent_writer(&mut self, id: &RequestId, writer: &DaemonId) {
        let Some(state) = self.requests.remove(id) else {
            return;
        };
        for origin in state.origins {
            self.requests_by_origin.remove(&origin);
            let admitted = state.admitted.clone();
            let forwarded = AdmittedRequest {
                origin,
                forwarded: true,
                ..admitted
            };
            self.send_peer(writer, PeerMessage::Run(Box::new(forwarded)));
        }
    }

    /// Refuses a request whose row was certainly not written.
    pub(super) fn on_intent_refused(&mut self, id: &RequestId, nonce: u64) {
        if self.is_recording(id, nonce) {
            let answer = Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS);
            self.finish_request(id, answer);
        }
    }

    /// Returns whether a pending request may still start.
    pub(super) fn can_start_request(&self, id: &RequestId) -> bool {
        let Some(state) = self.requests.get(id) else {
            return false;
        };
        state.stage == RequestStage::Waiting && self.now_ms < state.deadline_ms
    }

    /// Records an attempt at a worker; returns its task id and the payload to send.
    pub(super) fn begin_request_attempt(
        &mut self,
        id: &RequestId,
        worker: &WorkerId,
        make_id: impl Fn(u32) -> TaskId,
    ) -> Option<(TaskId, crate::Payload)> {
        let state = self.requests.get_mut(id)?;
        let task = make_id(state.attempts);
        state.attempts += 1;
        state.uncertain_attempts += 1;
        state.stage = RequestStage::Running(task.clone(), Some(worker.clone()));
        Some((task, state.admitted.request.payload.clone()))
    }

    pub(super) fn on_request_ended(&mut self, ix: WorkerIx, id: RequestId, ended: EndedTask) {
        self.send_command(ix, WorkerCommand::Ack(vec![ended.task.clone()]));
        if !self
            .requests
            .get(&id)
            .is_some_and(|state| state.is_running_as(&ended.task))
        {
            return self.on_orphan_ended(id, ended);
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        match ended.end {
            TaskEnd::Done => {
                self.record_request_success(ix, &id);
                self.finish_request(&id, Answer::Done(ended.output));
            }
            TaskEnd::Failed => {
                let retried = self.retry_failed_request(&id, worker);
                let is_unattributed = !retried && self.has_recent_team_success(&id);
                self.on_worker_failure(ix, is_unattributed);
                if !retried {
                    self.finish_request(&id, Answer::Failed(ended.output));
                }
            }
            TaskEnd::Stopped | TaskEnd::Lapsed => {
                if !self.retry_request(&id, worker) {
                    self.finish_request(&id, Answer::OutcomeUnknown);
                }
            }
        }
    }

    fn record_request_success(&mut self, ix: WorkerIx, id: &RequestId) {
        let Some(state) = self.requests.get(id) else {
            return;
        };
        let (team, first_failed_worker) = (
            state.admitted.team.clone(),
            state.first_failed_worker.clone(),
        );
        self.record_team_success(&team);
        self.on_worker_success(ix, first_failed_worker);
    }

    /// Returns whether any request of the same team succeeded recently.
    fn has_recent_team_success(&self, id: &RequestId) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| self.has_recent_success(&state.admitted.team))
    }

    /// Retries a request after its first failure, at another worker if possible, to find out
    /// whether the worker or the request is at fault.
    fn retry_failed_request(&mut self, id: &RequestId, worker: WorkerId) -> bool {
        let Some(state) = self.requests.get_mut(id) else {
            return false;
        };
        if state.first_failed_worker.is_some() {
            return false;
        }
        state.first_failed_worker = Some(worker.clone());
        self.retry_request(id, worker)
    }

    /// Retries an idempotent request if its attempts, its deadline and the retry budget allow it;
    /// returns whether it was queued.
    fn retry_request(&mut self, id: &RequestId, avoid: WorkerId) -> bool {
        let Some(state) = self.requests.get(id) else {
            return false;
        };
        let is_allowed = state.admitted.request.idempotent
            && state.attempts < consts::MAX_ATTEMPTS
            && self.now_ms < state.deadline_ms;
        let granted = is_allowed && self.retry_budget.try_spend();
        if granted {
            self.queue_request(id, Some(avoid));
        }
        granted
    }

    pub(super) fn on_request_lost(
        &mut self,
        id: &RequestId,
        task: &TaskId,
        worker: WorkerId,
        loss: TaskLoss,
    ) {
        if !self
            .requests
            .get(id)
            .is_some_and(|state| state.is_running_as(task))
        {
            return;
        }
        match loss {
            TaskLoss::NeverStarted => {
                self.discount_unstarted_attempt(id);
                self.queue_request(id, Some(worker));
            }
            TaskLoss::MayHaveRun => {
                if !self.retry_request(id, worker) {
                    self.finish_request(id, Answer::OutcomeUnknown);
                }
            }
        }
    }

    fn discount_unstarted_attempt(&mut self, id: &RequestId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.uncertain_attempts = state.uncertain_attempts.saturating_sub(1);
        }
    }

    /// Retries the idempotent requests of an unresponsive worker elsewhere. The others wait until
    /// the worker reports again or its lease expires.
    pub(super) fn retry_idempotent_requests(&mut self, ix: WorkerIx) {
        let worker = self.fleet.get(ix);
        let name = worker.host.worker.clone();
        let running_requests: Vec<RequestId> = worker
            .tasks
            .values()
            .filter_map(|running| match &running.unit {
                Some(UnitKind::Request(id)) => Some(id.clone()),
                _ => None,
            })
            .collect();
        for id in running_requests {
            self.retry_request(&id, name.clone());
        }
    }

    /// Answers all callers of a request.
    ///
    /// "Not run" becomes "outcome unknown" if any attempt may have run. The row of a recorded
    /// request that did not run is deleted, so that the caller may retry it.
    pub(super) fn finish_request(&mut self, id: &RequestId, answer: Answer) {
        let Some(state) = self.requests.get_mut(id) else {
            return;
        };
        let answer = match answer {
            Answer::NotRun { .. } if state.uncertain_attempts > 0 => Answer::OutcomeUnknown,
            answer => answer,
        };
        let until_ms = self.now_ms + state.answer_retention_ms();
        let running = match &state.stage {
            RequestStage::Running(task, Some(worker)) => Some((task.clone(), worker.clone())),
            _ => None,
        };
        state.stage = RequestStage::Answered(answer.clone(), until_ms);
        let is_refused = matches!(answer, Answer::NotRun { .. });
        let must_withdraw = is_refused && !state.admitted.request.idempotent;
        let nonce = state.nonce;
        let origins = std::mem::take(&mut state.origins);
        let team = state.admitted.team.clone();
        self.log_answered(id, team, &answer);
        if must_withdraw {
            self.queue_commit(CommitItem::Withdraw(id.clone(), nonce));
        }
        for origin in origins {
            self.requests_by_origin.remove(&origin);
            self.answer_origin(&origin, answer.clone());
        }
        if let Some((task, worker)) = running {
            self.stop_if_running(&worker, task);
        }
    }

    fn stop_if_running(&mut self, worker: &WorkerId, task: TaskId) {
        let Some(ix) = self.fleet.index_of(worker) else {
            return;
        };
        let state = self.fleet.get(ix);
        if state.tasks.contains_key(&task) && state.link == Link::Ready {
            self.send_command(ix, WorkerCommand::Stop(task));
        }
    }

    /// Removes a caller that disconnected; cancels a pending request that has no caller left.
    pub(super) fn forget_origin(&mut self, origin: &Origin) {
        let Some(id) = self.requests_by_origin.remove(origin) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let is_last = state.origins.remove(origin) && state.origins.is_empty();
        if is_last && state.stage == RequestStage::Waiting {
            self.finish_request(&id, Answer::refused(Refusal::Cancelled, Millis(0)));
        }
    }

    /// Drops answers that are no longer retained, looks up the outcomes of requests that earlier
    /// leaders recorded, and answers the requests whose deadline has passed.
    pub(super) fn scan_requests(&mut self) {
        let now_ms = self.now_ms;
        self.requests.retain(|_, state| match &state.stage {
            RequestStage::Answered(_, until_ms) => *until_ms > now_ms,
            _ => true,
        });
        self.orphans
            .retain(|_, orphan| !matches!(orphan, Orphan::Ended(_, at) if *at <= now_ms));
        let recovering = self
            .requests
            .iter()
            .filter(|(_, state)| state.stage == RequestStage::Recovering);
        let recovering: Vec<RequestId> = recovering.map(|(id, _)| id.clone()).collect();
        for id in recovering {
            self.resolve_orphan(&id);
        }
        let overdue = self
            .requests
            .iter()
            .filter(|(_, state)| state.deadline_ms <= now_ms);
        let overdue: Vec<(RequestId, RequestStage)> = overdue
            .map(|(id, state)| (id.clone(), state.stage.clone()))
            .collect();
        for (id, stage) in overdue {
            match stage {
                RequestStage::Recording | RequestStage::Waiting => {
                    let reason = Refusal::DeadlinePassed;
                    let retry_after_ms = self.retry_after_for(&id, reason);
                    let answer = Answer::refused(reason, retry_after_ms);
                    self.finish_request(&id, answer);
                }
                RequestStage::Running(..)
                | RequestStage::Recovering
                | RequestStage::Forwarded(_) => {
                    self.finish_request(&id, Answer::OutcomeUnknown);
                }
                RequestStage::Answered(..) => {}
            }
        }
    }

    /// Returns whether this daemon still has to answer any request.
    pub(super) fn has_open_requests(&self) -> bool {
        self.requests.values().any(|state| {
            !matches!(
                state.stage,
                RequestStage::Answered(..) | RequestStage::Forwarded(_)
            )
        })
    }
}
