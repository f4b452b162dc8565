//! Requests at the keeper: recorded where needed, run, retried, answered once.

use super::{
    commits::CommitItem,
    orphans::Orphan,
    request_state::{RequestState, Stage},
    Core,
};
use crate::{
    consts, AdmittedRequest, Answer, Class, DaemonId, EndedTask, IntentRow, IntentState, Link,
    Millis, Origin, PeerMessage, Refusal, RequestId, TaskEnd, TaskId, UnitKind, WorkUnit,
    WorkerCommand, WorkerId, WorkerIx,
};
use std::collections::BTreeSet;

/// What is known of a task that its worker no longer has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LossKind {
    /// The worker never got it and never will.
    NeverStarted,
    /// It may have run, and runs no more.
    Ended,
}

/// What to do with a request that came in.
pub(super) enum Entry {
    Attach,
    Repeat(Answer),
    Refuse(Refusal),
    PassOn(DaemonId),
    Record,
    Queue,
}

impl Core {
    /// Takes in a request for this keeper's workers.
    pub(super) fn run_asked(&mut self, admitted: AdmittedRequest) {
        if !self.is_leader() {
            return;
        }
        let origin = admitted.origin.clone();
        match self.entry_of(&admitted) {
            Entry::Attach => {
                if let Some(state) = self.requests.get_mut(&admitted.request.id) {
                    state.origins.insert(origin.clone());
                    self.requests_by_origin.insert(origin, admitted.request.id);
                }
            }
            Entry::Repeat(answer) => self.answer_origin(&origin, answer),
            Entry::Refuse(reason) => self.refuse_request(&admitted, reason),
            Entry::PassOn(keeper) => {
                self.note_passed_on(&admitted, &keeper);
                let forwarded = AdmittedRequest {
                    forwarded: true,
                    ..admitted
                };
                self.send_peer(&keeper, PeerMessage::Run(Box::new(forwarded)));
            }
            Entry::Record => self.open_request(admitted, Stage::Recording),
            Entry::Queue => self.open_request(admitted, Stage::Waiting),
        }
    }

    fn entry_of(&self, admitted: &AdmittedRequest) -> Entry {
        let request = &admitted.request;
        if let Some(state) = self.requests.get(&request.id) {
            return match &state.stage {
                _ if !state.is_same(admitted) => Entry::Refuse(Refusal::IdReused),
                Stage::Answered(Answer::NotRun { .. }, _) => self.new_entry_of(admitted),
                Stage::Answered(answer, _) => Entry::Repeat(answer.clone()),
                Stage::PassedOn(keeper) => Entry::PassOn(keeper.clone()),
                _ => Entry::Attach,
            };
        }
        self.new_entry_of(admitted)
    }

    /// Decides on a request that did not run here yet.
    fn new_entry_of(&self, admitted: &AdmittedRequest) -> Entry {
        let request = &admitted.request;
        let Some(view) = self.config.queue(&request.queue) else {
            return Entry::Refuse(Refusal::UnknownQueue);
        };
        let limit = self
            .config
            .team(&admitted.team)
            .map(|(_, limit)| limit)
            .unwrap_or_default();
        if !view.need.fits(&limit) {
            return Entry::Refuse(Refusal::OverLimit);
        }
        if self.fleet.total_capacity() != crate::Resources::default()
            && !view.need.fits(&self.fleet.largest_capacity())
        {
            return Entry::Refuse(Refusal::NeverFits);
        }
        if self.is_overloaded(&admitted.team, request.deadline_ms) {
            return self.forward_or_refuse(admitted);
        }
        match (request.idempotent, self.commits_open()) {
            (true, _) => Entry::Queue,
            (false, true) => Entry::Record,
            (false, false) => Entry::Refuse(Refusal::TableDown),
        }
    }

    /// Remembers where a request went, so that its retries go there too and never run here.
    fn note_passed_on(&mut self, admitted: &AdmittedRequest, keeper: &DaemonId) {
        let id = admitted.request.id.clone();
        if !self.requests.contains_key(&id) {
            let mut state = self.new_state(admitted.clone(), Stage::PassedOn(keeper.clone()));
            // Whoever it was passed on to answers.
            state.origins.clear();
            self.requests.insert(id, state);
        }
    }

    pub(super) fn open_request(&mut self, admitted: AdmittedRequest, stage: Stage) {
        self.retry_budget.record_request();
        let id = admitted.request.id.clone();
        let recording = stage == Stage::Recording;
        let state = self.new_state(admitted, stage);
        let nonce = state.nonce;
        self.requests_by_origin
            .insert(state.admitted.origin.clone(), id.clone());
        self.requests.insert(id.clone(), state);
        if recording {
            self.commit(CommitItem::Intent(id, nonce));
        } else {
            self.queue_request(&id, None);
        }
    }

    fn new_state(&mut self, admitted: AdmittedRequest, stage: Stage) -> RequestState {
        let nonce = self.next_nonce();
        RequestState {
            origins: BTreeSet::from([admitted.origin.clone()]),
            deadline_ms: self.now_ms + admitted.request.deadline_ms,
            since_ms: self.now_ms,
            nonce,
            stage,
            attempts: 0,
            doubtful: 0,
            failed_at: None,
            admitted,
        }
    }

    fn queue_request(&mut self, id: &RequestId, avoid: Option<WorkerId>) {
        let Some(state) = self.requests.get_mut(id) else {
            return;
        };
        let Some(view) = self.config.queue(&state.admitted.request.queue) else {
            return self.finish_request(id, Answer::refused(Refusal::UnknownQueue, Millis(0)));
        };
        state.stage = Stage::Waiting;
        let unit = WorkUnit {
            kind: UnitKind::Request(id.clone()),
            team: state.admitted.team.clone(),
            class: Class::Small,
            need: view.need,
            since_ms: state.since_ms,
            avoid,
            blocked_ms: None,
        };
        self.log_retry(&unit);
        self.enqueue(unit);
    }

    /// Returns the row that announces a request before it may run.
    pub(super) fn intent_row(&self, nonce: u64, state: IntentState) -> IntentRow {
        let writer = self.daemon_id().clone();
        IntentRow {
            state,
            writer,
            nonce,
            ttl_ms: consts::INTENT_TTL_MS,
        }
    }

    /// Goes on with a request whose row is written.
    pub(super) fn intent_recorded(&mut self, id: &RequestId) {
        self.queue_request(id, None);
    }

    /// Says whether an attempt to record a request is the one that counts.
    pub(super) fn is_recording(&self, id: &RequestId, nonce: u64) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| state.stage == Stage::Recording && state.nonce == nonce)
    }

    /// Settles a request that was announced before, by this daemon or another.
    pub(super) fn intent_existed(&mut self, id: &RequestId, row: &IntentRow) {
        let Some(state) = self.requests.get(id) else {
            return;
        };
        if state.stage != Stage::Recording {
            return;
        }
        if let IntentState::Job(_) = row.state {
            return self.finish_request(id, Answer::refused(Refusal::IdReused, Millis(0)));
        }
        let writer = self.members.peers.get(&row.writer);
        let asks = writer
            .is_some_and(|peer| peer.is_responsive(self.now_ms) && peer.leader_term.is_some());
        if asks && !state.admitted.forwarded {
            return self.ask_writer(id, &row.writer.clone());
        }
        if let Some(state) = self.requests.get_mut(id) {
            state.stage = Stage::Seeking;
        }
        self.resolve_orphan(id);
    }

    /// Lets the keeper that announced a request answer its retry.
    fn ask_writer(&mut self, id: &RequestId, writer: &DaemonId) {
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
    pub(super) fn intent_refused(&mut self, id: &RequestId, nonce: u64) {
        if self.is_recording(id, nonce) {
            let answer = Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS);
            self.finish_request(id, answer);
        }
    }

    /// Says whether a waiting request should still run.
    pub(super) fn wants_request(&self, id: &RequestId) -> bool {
        let Some(state) = self.requests.get(id) else {
            return false;
        };
        state.stage == Stage::Waiting && self.now_ms < state.deadline_ms
    }

    /// Notes that a worker has a request; returns the attempt's number and what to send.
    pub(super) fn request_placed(
        &mut self,
        id: &RequestId,
        worker: &WorkerId,
        make_id: impl Fn(u32) -> TaskId,
    ) -> Option<(TaskId, crate::Payload)> {
        let state = self.requests.get_mut(id)?;
        let task = make_id(state.attempts);
        state.attempts += 1;
        state.doubtful += 1;
        state.stage = Stage::Running(task.clone(), Some(worker.clone()));
        Some((task, state.admitted.request.payload.clone()))
    }

    pub(super) fn request_ended(&mut self, ix: WorkerIx, id: RequestId, ended: EndedTask) {
        self.send_command(ix, WorkerCommand::Ack(vec![ended.task.clone()]));
        if !self
            .requests
            .get(&id)
            .is_some_and(|state| state.runs_as(&ended.task))
        {
            return self.orphan_ended(id, ended);
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        match ended.end {
            TaskEnd::Done => {
                self.request_succeeded(ix, &id);
                self.finish_request(&id, Answer::Done(ended.output));
            }
            TaskEnd::Failed => {
                let retried = self.retry_failed(&id, worker);
                let is_doubtful = !retried && self.asker_succeeds(&id);
                self.worker_failed(ix, is_doubtful);
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

    fn request_succeeded(&mut self, ix: WorkerIx, id: &RequestId) {
        let Some(state) = self.requests.get(id) else {
            return;
        };
        let (team, failed_at) = (state.admitted.team.clone(), state.failed_at.clone());
        self.record_team_success(&team);
        self.worker_succeeded(ix, failed_at);
    }

    /// Says whether requests of a request's team succeeded lately.
    fn asker_succeeds(&self, id: &RequestId) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| self.has_recent_success(&state.admitted.team))
    }

    /// Runs a failed request once more, at another worker, to tell whose fault the failure is.
    fn retry_failed(&mut self, id: &RequestId, worker: WorkerId) -> bool {
        let Some(state) = self.requests.get_mut(id) else {
            return false;
        };
        if state.failed_at.is_some() {
            return false;
        }
        state.failed_at = Some(worker.clone());
        self.retry_request(id, worker)
    }

    /// Runs an idempotent request again, if the retry budget allows it.
    fn retry_request(&mut self, id: &RequestId, avoid: WorkerId) -> bool {
        let Some(state) = self.requests.get(id) else {
            return false;
        };
        let may = state.admitted.request.idempotent
            && state.attempts < consts::MAX_ATTEMPTS
            && self.now_ms < state.deadline_ms;
        let granted = may && self.retry_budget.try_spend();
        if granted {
            self.queue_request(id, Some(avoid));
        }
        granted
    }

    pub(super) fn request_lost(
        &mut self,
        id: &RequestId,
        task: &TaskId,
        worker: WorkerId,
        kind: LossKind,
    ) {
        if !self
            .requests
            .get(id)
            .is_some_and(|state| state.runs_as(task))
        {
            return;
        }
        match kind {
            LossKind::NeverStarted => {
                self.attempt_never_started(id);
                self.queue_request(id, Some(worker));
            }
            LossKind::Ended => {
                if !self.retry_request(id, worker) {
                    self.finish_request(id, Answer::OutcomeUnknown);
                }
            }
        }
    }

    fn attempt_never_started(&mut self, id: &RequestId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.doubtful = state.doubtful.saturating_sub(1);
        }
    }

    /// Runs the idempotent requests of a silent worker elsewhere; the others wait for the worker.
    pub(super) fn move_idempotent(&mut self, ix: WorkerIx) {
        let worker = self.fleet.get(ix);
        let name = worker.host.worker.clone();
        let held: Vec<RequestId> = worker
            .tasks
            .values()
            .filter_map(|running| match &running.unit {
                Some(UnitKind::Request(id)) => Some(id.clone()),
                _ => None,
            })
            .collect();
        for id in held {
            self.retry_request(&id, name.clone());
        }
    }

    pub(super) fn finish_request(&mut self, id: &RequestId, answer: Answer) {
        let Some(state) = self.requests.get_mut(id) else {
            return;
        };
        let answer = match answer {
            Answer::NotRun { .. } if state.doubtful > 0 => Answer::OutcomeUnknown,
            answer => answer,
        };
        let until_ms = self.now_ms + state.keep_ms();
        let running = match &state.stage {
            Stage::Running(task, Some(worker)) => Some((task.clone(), worker.clone())),
            _ => None,
        };
        state.stage = Stage::Answered(answer.clone(), until_ms);
        let refused = matches!(answer, Answer::NotRun { .. });
        let recorded = refused && !state.admitted.request.idempotent;
        let nonce = state.nonce;
        let origins = std::mem::take(&mut state.origins);
        let team = state.admitted.team.clone();
        self.log_answered(id, team, &answer);
        if recorded {
            self.commit(CommitItem::Withdraw(id.clone(), nonce));
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

    /// Lets waiting requests whose every caller went away end.
    pub(super) fn forget(&mut self, origin: &Origin) {
        let Some(id) = self.requests_by_origin.remove(origin) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let is_last = state.origins.remove(origin) && state.origins.is_empty();
        if is_last && state.stage == Stage::Waiting {
            self.finish_request(&id, Answer::refused(Refusal::Cancelled, Millis(0)));
        }
    }

    pub(super) fn scan_requests(&mut self) {
        let now_ms = self.now_ms;
        self.requests.retain(|_, state| match &state.stage {
            Stage::Answered(_, until_ms) => *until_ms > now_ms,
            _ => true,
        });
        self.orphans
            .retain(|_, orphan| !matches!(orphan, Orphan::Ended(_, at) if *at <= now_ms));
        let seeking = self
            .requests
            .iter()
            .filter(|(_, state)| state.stage == Stage::Seeking);
        let seeking: Vec<RequestId> = seeking.map(|(id, _)| id.clone()).collect();
        for id in seeking {
            self.resolve_orphan(&id);
        }
        let late = self
            .requests
            .iter()
            .filter(|(_, state)| state.deadline_ms <= now_ms);
        let late: Vec<(RequestId, Stage)> = late
            .map(|(id, state)| (id.clone(), state.stage.clone()))
            .collect();
        for (id, stage) in late {
            match stage {
                Stage::Recording | Stage::Waiting => {
                    let reason = Refusal::DeadlinePassed;
                    let retry_after_ms = self.retry_after_for(&id, reason);
                    let answer = Answer::refused(reason, retry_after_ms);
                    self.finish_request(&id, answer);
                }
                Stage::Running(..) | Stage::Seeking | Stage::PassedOn(_) => {
                    self.finish_request(&id, Answer::OutcomeUnknown);
                }
                Stage::Answered(..) => {}
            }
        }
    }

    /// Says whether any request is unanswered.
    pub(super) fn requests_open(&self) -> bool {
        self.requests
            .values()
            .any(|state| !matches!(state.stage, Stage::Answered(..) | Stage::PassedOn(_)))
    }
}
