//! Release notes (changes of the configuration) that operators submit at this daemon.

use super::{Core, PendingOp};
use crate::{
    consts, Answer, CallId, Check, HeadRow, Key, Millis, Note, NoteVerdict, Refusal, Revision, Row,
    TableReply, Txn,
};
use std::collections::VecDeque;

/// The notes that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct ProposedNotes {
    backlog: VecDeque<Proposal>,
    in_flight: Option<Proposal>,
    accepted: Vec<AcceptedNote>,
}

#[derive(Debug)]
struct Proposal {
    call: CallId,
    note: Note,
    deadline_ms: Millis,
    may_be_written: bool,
}

/// An accepted note that is answered once no daemon uses an older revision.
#[derive(Debug)]
struct AcceptedNote {
    call: CallId,
    revision: Revision,
    in_force_ms: Millis,
}

impl Core {
    pub(super) fn on_note_arrived(&mut self, call: CallId, note: Note) {
        let deadline_ms = self.now_ms + consts::CONTROL_CALL_TIMEOUT_MS;
        let proposal = Proposal {
            call,
            note,
            deadline_ms,
            may_be_written: false,
        };
        self.notes.backlog.push_back(proposal);
        self.poll_config();
    }

    /// Writes the next proposal; to be called when the configuration is known to be the latest.
    pub(super) fn propose_next(&mut self) {
        while self.notes.in_flight.is_none() {
            let Some(proposal) = self.notes.backlog.pop_front() else {
                return;
            };
            self.propose(proposal);
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        if let Some(revision) = self.config.accepted_in(&proposal.note.id) {
            self.await_in_force(proposal.call, revision);
            return;
        }
        let faults = self.config.check(&proposal.note);
        if !faults.is_empty() {
            self.answer_note(proposal.call, NoteVerdict::Rejected(faults));
            return;
        }
        let txn = self.note_txn(&proposal.note);
        self.notes.in_flight = Some(proposal);
        self.write(PendingOp::WriteNote, txn);
    }

    /// Returns whether an operator's note is being written.
    pub(super) fn is_note_in_flight(&self) -> bool {
        self.notes.in_flight.is_some()
    }

    /// Returns the transaction that writes a note as the next revision, provided that the revision
    /// in use is still the latest.
    pub(super) fn note_txn(&self, note: &Note) -> Txn {
        let revision = self.config.revision().next();
        let head = |revision, note| Row::Head(HeadRow { revision, note });
        let current_head = self
            .config
            .last_note()
            .map(|id| head(self.config.revision(), id.clone()));
        Txn {
            checks: vec![Check {
                key: Key::ConfigHead,
                row: current_head,
            }],
            puts: vec![
                (Key::ConfigHead, head(revision, note.id.clone())),
                (Key::Delta(revision), Row::Delta(note.clone())),
            ],
            ..Txn::default()
        }
    }

    pub(super) fn on_note_written(&mut self, reply: TableReply) {
        let Some(mut proposal) = self.notes.in_flight.take() else {
            return;
        };
        match reply {
            TableReply::Committed { .. } => {
                let revision = self.config.revision().next();
                if self.config.accepted_in(&proposal.note.id).is_none() {
                    self.apply_note(revision, proposal.note.clone());
                    self.store_snapshot_if_due(revision);
                }
                // Now that it is accepted, `propose` waits until it is in force.
                self.notes.backlog.push_front(proposal);
                self.propose_next();
            }
            TableReply::Lost => {
                proposal.may_be_written = true;
                self.notes.backlog.push_front(proposal);
            }
            _ => {
                self.notes.backlog.push_front(proposal);
                self.poll_config();
            }
        }
    }

    fn await_in_force(&mut self, call: CallId, revision: Revision) {
        let in_force_ms = self.now_ms + consts::CONFIG_ACTIVATION_DELAY_MS;
        self.notes.accepted.push(AcceptedNote {
            call,
            revision,
            in_force_ms,
        });
    }

    pub(super) fn scan_notes(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |accepted: &mut AcceptedNote| accepted.in_force_ms <= now_ms;
        let due: Vec<AcceptedNote> = self.notes.accepted.extract_if(.., is_due).collect();
        for accepted in due {
            self.answer_note(accepted.call, NoteVerdict::InForce(accepted.revision));
        }
        self.expire_proposals();
    }

    fn expire_proposals(&mut self) {
        let now_ms = self.now_ms;
        let (expired, remaining) = std::mem::take(&mut self.notes.backlog)
            .into_iter()
            .partition(|proposal: &Proposal| proposal.deadline_ms <= now_ms);
        self.notes.backlog = remaining;
        let expired: VecDeque<Proposal> = expired;
        for proposal in expired {
            if proposal.may_be_written {
                self.answer_note(proposal.call, NoteVerdict::Unknown);
            } else {
                let answer = Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS);
                self.answer_call(proposal.call, answer);
            }
        }
    }

    fn answer_note(&mut self, call: CallId, verdict: NoteVerdict) {
        self.answer_call(call, Answer::Note(verdict));
    }

    /// Returns whether any note is unanswered.
    pub(super) fn has_pending_notes(&self) -> bool {
        let notes = &self.notes;
        !notes.backlog.is_empty() || notes.in_flight.is_some() || !notes.accepted.is_empty()
    }
}
