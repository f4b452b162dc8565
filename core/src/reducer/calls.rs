//! Open calls at the daemon that received them, until their final answer.

use super::{Core, PendingOp};
use crate::{
    consts, AdmittedJob, AdmittedRequest, Answer, CallId, DaemonId, DecisionEvent, Effect, JobId,
    JobSpec, Key, KeyDigest, Millis, Origin, PeerMessage, Query, QueueName, Refusal, Request,
    RequestId, Row, TableReply, TeamName, Term,
};

/// An open call.
#[derive(Debug)]
pub(super) struct Call {
    kind: CallKind,
    deadline_ms: Millis,
    forwarded: Option<Forwarded>,
    /// Whether an earlier leader that the call was forwarded to may have run it.
    may_have_run: bool,
}

#[derive(Clone, Debug)]
enum CallKind {
    Request(Box<AdmittedRequest>),
    Job(Box<AdmittedJob>),
    Cancel {
        team: TeamName,
        job: JobId,
    },
    /// A read of a job's recorded state from the table.
    Lookup,
}

/// The leader that a call was forwarded to, and when.
#[derive(Clone, Debug)]
struct Forwarded {
    to: DaemonId,
    term: Option<Term>,
    at_ms: Millis,
}

impl Call {
    /// Records that the call is forwarded. If it was forwarded to another leader or term before,
    /// that leader may have run it.
    fn mark_forwarded(&mut self, to: &DaemonId, term: Option<Term>, at_ms: Millis) {
        let leader_changed = |forwarded: &Forwarded| forwarded.to != *to || forwarded.term != term;
        self.may_have_run |= self.forwarded.as_ref().is_some_and(leader_changed);
        let to = to.clone();
        self.forwarded = Some(Forwarded { to, term, at_ms });
    }

    /// Returns the answer as far as it is certain: "not run" becomes "outcome unknown" if an
    /// earlier leader may have run the work.
    fn reliable_answer(&self, answer: Answer) -> Answer {
        match answer {
            Answer::NotRun { .. } if self.may_have_run => Answer::OutcomeUnknown,
            answer => answer,
        }
    }
}

impl Core {
    pub(super) fn on_request_arrived(&mut self, call: CallId, mut request: Request) {
        match self.admit_request(&request) {
            Ok(team) => {
                request.id = RequestId::of_team(&team, &request.id);
                self.log(DecisionEvent::RequestAdmitted {
                    request: request.id.clone(),
                    team: team.clone(),
                    queue: request.queue.clone(),
                });
                let deadline_ms = self.now_ms + request.deadline_ms;
                let origin = self.origin(call);
                let admitted = AdmittedRequest {
                    origin,
                    team,
                    request,
                    forwarded: false,
                };
                self.open_call(call, CallKind::Request(Box::new(admitted)), deadline_ms);
            }
            Err(reason) => {
                self.log(DecisionEvent::RequestRefused {
                    request: request.id,
                    reason,
                });
                self.refuse_call(call, reason);
            }
        }
    }

    fn admit_request(&self, request: &Request) -> Result<TeamName, Refusal> {
        let deadline_ms = request.deadline_ms;
        let in_range = deadline_ms > Millis(0) && deadline_ms <= consts::MAX_DEADLINE_MS;
        if !in_range || request.payload.0.len() > consts::MAX_PAYLOAD_BYTES {
            return Err(Refusal::Malformed);
        }
        self.find_team(&request.queue, request.key.as_ref())
    }

    /// Returns the team that a caller's work in a queue counts against, or the reason why the work
    /// is refused.
    fn find_team(&self, queue: &QueueName, key: Option<&KeyDigest>) -> Result<TeamName, Refusal> {
        if self.drain.is_finished() {
            return Err(Refusal::Draining);
        }
        let view = self
            .config
            .queue(queue)
            .ok_or(self.refusal_if_fresh(Refusal::UnknownQueue))?;
        if view.open {
            return view.team.cloned().ok_or(Refusal::UnknownQueue);
        }
        if !self.is_fresh() {
            return Err(Refusal::StaleConfig);
        }
        let team = key.and_then(|key| self.config.team_of_key(key));
        let team = team.ok_or(Refusal::UnknownKey)?;
        match view.team {
            Some(only) if only != team => Err(Refusal::WrongTeam),
            _ => Ok(team.clone()),
        }
    }

    /// Returns the refusal for an unknown name, or `StaleConfig` if the configuration may be too
    /// old to contain the name.
    fn refusal_if_fresh(&self, reason: Refusal) -> Refusal {
        if self.is_fresh() {
            reason
        } else {
            Refusal::StaleConfig
        }
    }

    pub(super) fn on_job_arrived(
        &mut self,
        call: CallId,
        request: RequestId,
        key: Option<KeyDigest>,
        spec: JobSpec,
    ) {
        match self.admit_job(&spec, key.as_ref()) {
            Ok(team) => {
                let request = RequestId::of_team(&team, &request);
                self.log(DecisionEvent::JobAdmitted {
                    request: request.clone(),
                    team: team.clone(),
                    queue: spec.queue.clone(),
                });
                let admitted = AdmittedJob {
                    origin: self.origin(call),
                    team,
                    request,
                    spec,
                };
                let deadline_ms = self.now_ms + consts::CONTROL_CALL_TIMEOUT_MS;
                self.open_call(call, CallKind::Job(Box::new(admitted)), deadline_ms);
            }
            Err(reason) => {
                self.log(DecisionEvent::JobRefused { request, reason });
                self.refuse_call(call, reason);
            }
        }
    }

    fn admit_job(&self, spec: &JobSpec, key: Option<&KeyDigest>) -> Result<TeamName, Refusal> {
        let tasks_in_range = (1..=consts::MAX_JOB_TASKS).contains(&spec.tasks);
        if !tasks_in_range || spec.payload.0.len() > consts::MAX_PAYLOAD_BYTES {
            return Err(Refusal::Malformed);
        }
        let team = self.find_team(&spec.queue, key)?;
        match self.config.queue(&spec.queue).map(|view| view.class) {
            Some(crate::Class::Small) => Err(Refusal::WrongClass),
            _ => Ok(team),
        }
    }

    pub(super) fn on_cancel_arrived(&mut self, call: CallId, job: JobId, key: Option<KeyDigest>) {
        let team = key
            .as_ref()
            .and_then(|key| self.config.team_of_key(key))
            .cloned();
        let reason = if self.is_fresh() {
            Refusal::UnknownKey
        } else {
            Refusal::StaleConfig
        };
        match team.filter(|_| self.is_fresh()) {
            Some(team) => {
                let deadline_ms = self.now_ms + consts::CONTROL_CALL_TIMEOUT_MS;
                self.open_call(call, CallKind::Cancel { team, job }, deadline_ms);
            }
            None => self.refuse_call(call, reason),
        }
    }

    pub(super) fn on_job_state_query(&mut self, call: CallId, job: JobId) {
        if let Some(state) = self.recorded_job_state(&job) {
            self.answer_call(call, Answer::Job(state));
            return;
        }
        let deadline_ms = self.now_ms + consts::CONTROL_CALL_TIMEOUT_MS;
        self.calls.insert(
            call,
            Call {
                kind: CallKind::Lookup,
                deadline_ms,
                forwarded: None,
                may_have_run: false,
            },
        );
        self.read(
            PendingOp::ReadJobState { call },
            Query::Many(vec![Key::DoneJob(job.clone()), Key::Job(job)]),
        );
    }

    pub(super) fn on_job_state_read(&mut self, call: CallId, reply: TableReply) {
        let answer = match reply {
            TableReply::Rows(rows) => rows
                .into_iter()
                .find_map(|(_, row)| match row {
                    Row::Job(row) => Some(Answer::Job(row.state)),
                    _ => None,
                })
                .unwrap_or(Answer::NoSuchJob),
            _ => Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS),
        };
        self.answer_call(call, answer);
    }

    pub(super) fn origin(&self, call: CallId) -> Origin {
        Origin {
            daemon: self.daemon_id().clone(),
            call,
        }
    }

    fn open_call(&mut self, call: CallId, kind: CallKind, deadline_ms: Millis) {
        self.calls.insert(
            call,
            Call {
                kind,
                deadline_ms,
                forwarded: None,
                may_have_run: false,
            },
        );
        self.forward_call(call);
    }

    /// Forwards a call to the leader that decides it.
    fn forward_call(&mut self, call: CallId) {
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        let kind = open_call.kind.clone();
        let remaining_ms = open_call.deadline_ms.since(self.now_ms);
        let Some(to) = self.leader_for(&kind) else {
            return;
        };
        let term = self.leader_term_of(&to);
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.mark_forwarded(&to, term, self.now_ms);
        }
        let is_local = to == *self.daemon_id();
        self.log_forwarded(&kind, &to);
        match kind {
            CallKind::Request(mut admitted) => {
                admitted.request.deadline_ms = remaining_ms;
                match is_local {
                    true => self.on_run_request(*admitted),
                    false => self.send_peer(&to, PeerMessage::Run(admitted)),
                }
            }
            CallKind::Job(admitted) => match is_local {
                true => self.on_submit_request(*admitted),
                false => self.send_peer(&to, PeerMessage::Submit(admitted)),
            },
            CallKind::Cancel { team, job } => {
                let origin = self.origin(call);
                match is_local {
                    true => self.on_cancel_request(origin, &team, job),
                    false => self.send_peer(&to, PeerMessage::Cancel { origin, team, job }),
                }
            }
            CallKind::Lookup => {}
        }
    }

    fn leader_term_of(&self, leader: &DaemonId) -> Option<Term> {
        if leader == self.daemon_id() {
            return self.leader_term();
        }
        self.members.peers.get(leader)?.leader_term
    }

    fn log_forwarded(&mut self, kind: &CallKind, to: &DaemonId) {
        let request = match kind {
            CallKind::Request(admitted) => admitted.request.id.clone(),
            CallKind::Job(admitted) => admitted.request.clone(),
            CallKind::Cancel { .. } | CallKind::Lookup => return,
        };
        if to != self.daemon_id() {
            let to = to.clone();
            self.log(DecisionEvent::Forwarded { request, to });
        }
    }

    fn leader_for(&self, kind: &CallKind) -> Option<DaemonId> {
        match kind {
            CallKind::Cancel { job, .. } => {
                let domain = job.domain().unwrap_or_else(|| self.settings.domain.clone());
                if domain == self.settings.domain {
                    return self.leader_id();
                }
                self.leader_of(&domain).map(|(id, _)| id.clone())
            }
            CallKind::Lookup => None,
            CallKind::Request(_) | CallKind::Job(_) => self.leader_id(),
        }
    }

    /// Forwards all open calls again, after this daemon became the leader.
    pub(super) fn forward_open_calls(&mut self) {
        let open_calls: Vec<CallId> = self.calls.keys().copied().collect();
        for call in open_calls {
            self.forward_call(call);
        }
    }

    pub(super) fn scan_calls(&mut self) {
        let now_ms = self.now_ms;
        let mut expired = Vec::new();
        let mut to_resend = Vec::new();
        for (call, open_call) in &self.calls {
            let never_forwarded = open_call.forwarded.is_none();
            let grace_ms = if never_forwarded {
                Millis(0)
            } else {
                consts::ANSWER_GRACE_MS
            };
            if open_call.deadline_ms + grace_ms <= now_ms {
                expired.push((*call, never_forwarded));
            } else if open_call
                .forwarded
                .as_ref()
                .is_none_or(|forwarded| self.is_resend_due(forwarded))
            {
                to_resend.push(*call);
            }
        }
        for (call, never_forwarded) in expired {
            self.expire_call(call, never_forwarded);
        }
        for call in to_resend {
            self.forward_call(call);
        }
    }

    /// Returns whether a call must be forwarded again because the leader changed or the answer may
    /// be lost. A leader recognizes a repeated call by its request id, so nothing runs twice.
    fn is_resend_due(&self, forwarded: &Forwarded) -> bool {
        let is_late = self.now_ms.since(forwarded.at_ms) >= consts::RESEND_INTERVAL_MS;
        let is_local = forwarded.to == *self.daemon_id();
        let leader_changed = self
            .leader_id()
            .is_some_and(|leader| leader != forwarded.to);
        leader_changed || (is_late && !is_local)
    }

    fn expire_call(&mut self, call: CallId, never_forwarded: bool) {
        if never_forwarded {
            self.refuse_call(call, Refusal::NoLeader);
        } else {
            self.answer_call(call, Answer::OutcomeUnknown);
        }
    }

    fn refuse_call(&mut self, call: CallId, reason: Refusal) {
        let answer = Answer::refused(reason, consts::DEFAULT_RETRY_AFTER_MS);
        self.answer_call(call, answer);
    }

    /// Sends a caller of this daemon its final answer and closes the call.
    pub(super) fn answer_call(&mut self, call: CallId, answer: Answer) {
        self.calls.remove(&call);
        self.effects.push(Effect::AnswerCall { call, answer });
    }

    /// Sends a caller of any daemon its final answer.
    pub(super) fn answer_origin(&mut self, origin: &Origin, answer: Answer) {
        if origin.daemon == *self.daemon_id() {
            if let Some(open_call) = self.calls.get(&origin.call) {
                let answer = open_call.reliable_answer(answer);
                self.answer_call(origin.call, answer);
            }
            return;
        }
        let message = PeerMessage::Answer {
            call: origin.call,
            answer,
        };
        self.send_peer(&origin.daemon, message);
    }

    pub(super) fn on_call_dropped(&mut self, call: CallId) {
        let Some(open_call) = self.calls.remove(&call) else {
            return;
        };
        let origin = self.origin(call);
        match open_call.forwarded {
            Some(forwarded) if forwarded.to != *self.daemon_id() => {
                self.send_peer(&forwarded.to, PeerMessage::Forget(origin));
            }
            _ => self.forget_origin(&origin),
        }
    }
}
