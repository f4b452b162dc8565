//! A planned stop: announce, hand over, answer everything, then end.

use super::Core;
use crate::{
    consts, Answer, CallId, Effect, Key, Millis, PeerMessage, RunningRequest, Term, Txn,
    WaitingRequest,
};

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(super) struct Drain {
    asked_ms: Option<Millis>,
    over: bool,
}

impl Drain {
    pub(super) const fn is_asked(&self) -> bool {
        self.asked_ms.is_some()
    }

    /// Says whether no new call is taken in any more.
    pub(super) const fn is_over(&self) -> bool {
        self.over
    }
}

/// What a planned stop does next.
enum Step {
    Wait,
    HandOver,
    End,
}

impl Core {
    /// Begins a planned stop; asked a second time, ends it at once with truthful answers.
    pub(super) fn drain_asked(&mut self) {
        if self.drain.is_asked() {
            return self.cut_short();
        }
        self.drain.asked_ms = Some(self.now_ms);
    }

    pub(super) fn tick_drain(&mut self) {
        match self.next_drain_step() {
            Step::Wait => {}
            Step::HandOver => self.hand_over(),
            Step::End => self.end(),
        }
    }

    fn next_drain_step(&self) -> Step {
        let Some(asked_ms) = self.drain.asked_ms else {
            return Step::Wait;
        };
        if self.drain.over {
            return Step::Wait;
        }
        let announced = self.now_ms.since(asked_ms)
            >= consts::HEARTBEAT_INTERVAL_MS + consts::HEARTBEAT_INTERVAL_MS;
        let successor = self.available_domain_peers().next().is_some();
        if self.is_leader() && successor {
            let settled = self.commits_settled() || self.commits_failing();
            return if announced && settled {
                Step::HandOver
            } else {
                Step::Wait
            };
        }
        let served = self.now_ms.since(asked_ms) >= self.settings.drain_grace_ms;
        let idle = self.calls.is_empty() && !self.has_pending_notes() && !self.requests_open();
        let written = self.commits_settled() || self.commits_failing();
        if served && idle && (written || !self.is_leader()) {
            Step::End
        } else {
            Step::Wait
        }
    }

    fn hand_over(&mut self) {
        let (Some(term), Some(to)) = (
            self.leader_term(),
            self.available_domain_peers().next().cloned(),
        ) else {
            return;
        };
        let (running, waiting) = self.take_unanswered_requests();
        let message = PeerMessage::Handover {
            term,
            running,
            waiting,
        };
        self.send_peer(&to, message);
        self.step_down();
    }

    /// Goes on where another keeper stops.
    pub(super) fn handed_over(
        &mut self,
        term: Term,
        running: Vec<RunningRequest>,
        waiting: Vec<WaitingRequest>,
    ) {
        if !self.is_leader() {
            self.observe_term(term);
            self.become_leader();
        }
        for request in running {
            self.take_over_running(request);
        }
        for request in waiting {
            self.take_over_waiting(request);
        }
    }

    fn cut_short(&mut self) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        for call in open {
            self.answer(call, Answer::OutcomeUnknown);
        }
        self.end();
    }

    fn end(&mut self) {
        if self.drain.over {
            return;
        }
        self.drain.over = true;
        if self.is_leader() {
            self.step_down();
        }
        let member = self.own_member_row();
        let deletes = vec![(Key::Member(self.daemon_id().clone()), Some(member))];
        self.write(
            super::PendingOp::WriteMember,
            Txn {
                deletes,
                ..Txn::default()
            },
        );
        self.effects.push(Effect::Exit);
    }
}
