//! Callers' open calls at the daemon where they came in.

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
    sent: Option<Sent>,
    /// Whether a keeper that is not asked any more may have run it.
    doubtful: bool,
}

#[derive(Clone, Debug)]
enum CallKind {
    Request(Box<AdmittedRequest>),
    Job(Box<AdmittedJob>),
    Cancel { team: TeamName, job: JobId },
    Lookup,
}

/// To which keeper a call was passed on, and when.
#[derive(Clone, Debug)]
struct Sent {
    to: DaemonId,
    term: Option<Term>,
    at_ms: Millis,
}

impl Call {
    /// Notes that the call is passed on; what an earlier keeper did with it stays in doubt.
    fn send(&mut self, to: &DaemonId, term: Option<Term>, at_ms: Millis) {
        let moved = |sent: &Sent| sent.to != *to || sent.term != term;
        self.doubtful |= self.sent.as_ref().is_some_and(moved);
        let to = to.clone();
        self.sent = Some(Sent { to, term, at_ms });
    }

    /// Returns what may be said: "not run" only where every keeper that was asked says so.
    fn truthful(&self, answer: Answer) -> Answer {
        match answer {
            Answer::NotRun { .. } if self.doubtful => Answer::OutcomeUnknown,
            answer => answer,
        }
    }
}

impl Core {
    pub(super) fn request_arrived(&mut self, call: CallId, mut request: Request) {
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
                self.refuse(call, reason);
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

    /// Finds the team that work in a queue counts for.
    fn find_team(&self, queue: &QueueName, key: Option<&KeyDigest>) -> Result<TeamName, Refusal> {
        if self.drain.is_over() {
            return Err(Refusal::Draining);
        }
        let view = self
            .config
            .queue(queue)
            .ok_or(self.unknown(Refusal::UnknownQueue))?;
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

    /// Returns a refusal for a missing name, unless the configuration is too old to know.
    fn unknown(&self, reason: Refusal) -> Refusal {
        if self.is_fresh() {
            reason
        } else {
            Refusal::StaleConfig
        }
    }

    pub(super) fn job_arrived(
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
                self.refuse(call, reason);
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

    pub(super) fn cancel_arrived(&mut self, call: CallId, job: JobId, key: Option<KeyDigest>) {
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
            None => self.refuse(call, reason),
        }
    }

    pub(super) fn job_asked(&mut self, call: CallId, job: JobId) {
        if let Some(state) = self.kept_job_state(&job) {
            self.answer(call, Answer::Job(state));
            return;
        }
        let deadline_ms = self.now_ms + consts::CONTROL_CALL_TIMEOUT_MS;
        self.calls.insert(
            call,
            Call {
                kind: CallKind::Lookup,
                deadline_ms,
                sent: None,
                doubtful: false,
            },
        );
        self.read(
            PendingOp::ReadJobState { call },
            Query::Many(vec![Key::DoneJob(job.clone()), Key::Job(job)]),
        );
    }

    pub(super) fn job_state_read(&mut self, call: CallId, reply: TableReply) {
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
        self.answer(call, answer);
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
                sent: None,
                doubtful: false,
            },
        );
        self.pass_on(call);
    }

    /// Passes a call on to the keeper that has to decide it.
    fn pass_on(&mut self, call: CallId) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let kind = open.kind.clone();
        let left_ms = open.deadline_ms.since(self.now_ms);
        let Some(to) = self.keeper_for(&kind) else {
            return;
        };
        let term = self.term_of(&to);
        if let Some(open) = self.calls.get_mut(&call) {
            open.send(&to, term, self.now_ms);
        }
        let here = to == *self.daemon_id();
        self.log_passed_on(&kind, &to);
        match kind {
            CallKind::Request(mut admitted) => {
                admitted.request.deadline_ms = left_ms;
                match here {
                    true => self.run_asked(*admitted),
                    false => self.send_peer(&to, PeerMessage::Run(admitted)),
                }
            }
            CallKind::Job(admitted) => match here {
                true => self.submit_asked(*admitted),
                false => self.send_peer(&to, PeerMessage::Submit(admitted)),
            },
            CallKind::Cancel { team, job } => {
                let origin = self.origin(call);
                match here {
                    true => self.cancel_asked(origin, &team, job),
                    false => self.send_peer(&to, PeerMessage::Cancel { origin, team, job }),
                }
            }
            CallKind::Lookup => {}
        }
    }

    fn term_of(&self, keeper: &DaemonId) -> Option<Term> {
        if keeper == self.daemon_id() {
            return self.leader_term();
        }
        self.members.peers.get(keeper)?.leader_term
    }

    fn log_passed_on(&mut self, kind: &CallKind, to: &DaemonId) {
        let request = match kind {
            CallKind::Request(admitted) => admitted.request.id.clone(),
            CallKind::Job(admitted) => admitted.request.clone(),
            CallKind::Cancel { .. } | CallKind::Lookup => return,
        };
        if to != self.daemon_id() {
            let to = to.clone();
            self.log(DecisionEvent::PassedOn { request, to });
        }
    }

    fn keeper_for(&self, kind: &CallKind) -> Option<DaemonId> {
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

    /// Passes all open calls on anew, after this daemon became keeper.
    pub(super) fn resend_calls(&mut self) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        for call in open {
            self.pass_on(call);
        }
    }

    pub(super) fn scan_calls(&mut self) {
        let now_ms = self.now_ms;
        let mut late = Vec::new();
        let mut again = Vec::new();
        for (call, open) in &self.calls {
            let unsent = open.sent.is_none();
            let grace_ms = if unsent {
                Millis(0)
            } else {
                consts::ANSWER_GRACE_MS
            };
            if open.deadline_ms + grace_ms <= now_ms {
                late.push((*call, unsent));
            } else if open
                .sent
                .as_ref()
                .is_none_or(|sent| self.is_due_again(sent))
            {
                again.push(*call);
            }
        }
        for (call, unsent) in late {
            self.give_up(call, unsent);
        }
        for call in again {
            self.pass_on(call);
        }
    }

    /// Says whether a call must be passed on again: its keeper is gone, or its answer may be lost.
    /// The keeper knows a call again by its request id, so that nothing runs twice.
    fn is_due_again(&self, sent: &Sent) -> bool {
        let late = self.now_ms.since(sent.at_ms) >= consts::RESEND_INTERVAL_MS;
        let here = sent.to == *self.daemon_id();
        let moved = self.leader_id().is_some_and(|keeper| keeper != sent.to);
        moved || (late && !here)
    }

    fn give_up(&mut self, call: CallId, unsent: bool) {
        if unsent {
            self.refuse(call, Refusal::NoLeader);
        } else {
            self.answer(call, Answer::OutcomeUnknown);
        }
    }

    fn refuse(&mut self, call: CallId, reason: Refusal) {
        let answer = Answer::refused(reason, consts::DEFAULT_RETRY_AFTER_MS);
        self.answer(call, answer);
    }

    /// Gives a caller of this daemon its one final answer.
    pub(super) fn answer(&mut self, call: CallId, answer: Answer) {
        self.calls.remove(&call);
        self.effects.push(Effect::AnswerCall { call, answer });
    }

    /// Gives a caller of any daemon its final answer.
    pub(super) fn answer_origin(&mut self, origin: &Origin, answer: Answer) {
        if origin.daemon == *self.daemon_id() {
            if let Some(open) = self.calls.get(&origin.call) {
                let answer = open.truthful(answer);
                self.answer(origin.call, answer);
            }
            return;
        }
        let message = PeerMessage::Answer {
            call: origin.call,
            answer,
        };
        self.send_peer(&origin.daemon, message);
    }

    pub(super) fn call_dropped(&mut self, call: CallId) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let origin = self.origin(call);
        match open.sent {
            Some(sent) if sent.to != *self.daemon_id() => {
                self.send_peer(&sent.to, PeerMessage::Forget(origin));
            }
            _ => self.forget(&origin),
        }
    }
}
