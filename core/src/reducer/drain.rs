//! Planned shutdown: announces it to the peers, hands over leadership, answers all open calls, then
//! ends the process.

use super::Core;
use crate::{
    consts, Answer, CallId, Effect, Key, Millis, PeerMessage, PendingRequest, RunningRequest, Term,
    Txn,
};

/// The progress of a planned shutdown.
#[derive(Debug, Default)]
pub(super) struct Drain {
    requested_ms: Option<Millis>,
    finished: bool,
}

impl Drain {
    pub(super) const fn is_requested(&self) -> bool {
        self.requested_ms.is_some()
    }

    /// Returns whether the daemon has shut down and refuses new calls.
    pub(super) const fn is_finished(&self) -> bool {
        self.finished
    }
}

/// The next step of a planned shutdown.
enum DrainStep {
    Wait,
    HandOver,
    Finish,
}

impl Core {
    /// Begins a planned shutdown. A second request finishes it at once and answers the open calls
    /// with "outcome unknown".
    pub(super) fn on_drain_requested(&mut self) {
        if self.drain.is_requested() {
            return self.finish_drain_now();
        }
        self.drain.requested_ms = Some(self.now_ms);
    }

    pub(super) fn tick_drain(&mut self) {
        match self.next_drain_step() {
            DrainStep::Wait => {}
            DrainStep::HandOver => self.hand_over_leadership(),
            DrainStep::Finish => self.finish_drain(),
        }
    }

    fn next_drain_step(&self) -> DrainStep {
        let Some(requested_ms) = self.drain.requested_ms else {
            return DrainStep::Wait;
        };
        if self.drain.finished {
            return DrainStep::Wait;
        }
        let is_announced = self.now_ms.since(requested_ms)
            >= consts::HEARTBEAT_INTERVAL_MS + consts::HEARTBEAT_INTERVAL_MS;
        let has_successor = self.available_domain_peers().next().is_some();
        if self.is_leader() && has_successor {
            let is_written = self.is_fully_committed() || self.is_commit_failing();
            return if is_announced && is_written {
                DrainStep::HandOver
            } else {
                DrainStep::Wait
            };
        }
        let is_grace_over = self.now_ms.since(requested_ms) >= self.settings.drain_grace_ms;
        let is_idle =
            self.calls.is_empty() && !self.has_pending_notes() && !self.has_open_requests();
        let is_written = self.is_fully_committed() || self.is_commit_failing();
        if is_grace_over && is_idle && (is_written || !self.is_leader()) {
            DrainStep::Finish
        } else {
            DrainStep::Wait
        }
    }

    fn hand_over_leadership(&mut self) {
        let (Some(term), Some(to)) = (
            self.leader_term(),
            self.available_domain_peers().next().cloned(),
        ) else {
            return;
        };
        let (running, pending) = self.take_unanswered_requests();
        let message = PeerMessage::Handover {
            term,
            running,
            pending,
        };
        self.send_peer(&to, message);
        self.step_down();
    }

    /// Takes over leadership and the unanswered requests of a leader that shuts down.
    pub(super) fn on_handover(
        &mut self,
        term: Term,
        running: Vec<RunningRequest>,
        pending: Vec<PendingRequest>,
    ) {
        if !self.is_leader() {
            self.observe_term(term);
            self.become_leader();
        }
        for request in running {
            self.take_over_running(request);
        }
        for request in pending {
            self.take_over_pending(request);
        }
    }

    fn finish_drain_now(&mut self) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        for call in open {
            self.answer_call(call, Answer::OutcomeUnknown);
        }
        self.finish_drain();
    }

    fn finish_drain(&mut self) {
        if self.drain.finished {
            return;
        }
        self.drain.finished = true;
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
