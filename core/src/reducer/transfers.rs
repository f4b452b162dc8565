//! Moving parts of the teams' limits to the failure domains whose work waits for them.
//!
//! Only the keeper that holds a part gives it away: it sets the part aside first, then writes the
//! note, and only if the table still names it as keeper. So nobody needs to be heard for the sum
//! of all parts to stay within the limit, and a domain that is cut off keeps what it holds.

use super::{Core, PendingOp};
use crate::{
    consts,
    moves::{answer_wants, entries_of, Move, Want},
    Check, Class, DaemonId, DomainName, Key, Millis, Note, NoteId, PeerMessage, Resources,
    Revision, Row, TableReply, TeamName, Term, Told, Txn,
};
use std::collections::BTreeMap;

/// The state of moving parts of limits.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    /// Since when the table can't take a note of an earlier keeper of this domain any more.
    began: Option<(Term, Millis)>,
    /// The term in which the configuration was confirmed after `began`.
    certain: Option<Term>,
    wants: BTreeMap<DomainName, (Millis, Vec<Want>)>,
    next_want_ms: Millis,
    quiet_until_ms: Millis,
    last_move: Revision,
    pending: Option<Pending>,
    written: u64,
}

/// A note under way that gives parts of limits away.
#[derive(Debug)]
struct Pending {
    note: Note,
    revision: Revision,
    txn: Txn,
    retry_ms: Option<Millis>,
    may_be_written: bool,
    /// When a conflict showed that it is either written already or never will be.
    closed_ms: Option<Millis>,
}

/// What a keeper does next about moves.
enum Step {
    Wait,
    Retry,
    Drop,
    Give,
}

impl Core {
    pub(super) fn tick_moves(&mut self) {
        self.watch_term();
        if !self.is_leader() {
            return;
        }
        if self.transfers.next_want_ms <= self.now_ms {
            self.transfers.next_want_ms = self.now_ms + consts::WANT_MS;
            self.send_wants();
        }
        match self.next_move_step() {
            Step::Wait => {}
            Step::Retry => self.write_pending(),
            Step::Drop => self.drop_pending(),
            Step::Give => self.give(),
        }
    }

    /// Finds out when this keeper knows all that earlier keepers of its domain gave away.
    fn watch_term(&mut self) {
        let Some(term) = self.leader_term() else {
            if self.transfers.began.is_some() || self.transfers.pending.is_some() {
                self.limits.release();
                self.transfers.began = None;
                self.transfers.certain = None;
                self.transfers.pending = None;
            }
            return;
        };
        if self.transfers.began.is_none_or(|(of, _)| of != term) {
            let closed = self.leader_row().is_some() || self.is_table_unreachable();
            if closed {
                self.transfers.began = Some((term, self.now_ms));
                self.feed.next_poll_ms = self.now_ms;
            }
        } else if self.transfers.certain != Some(term) {
            let since = |(_, at_ms)| self.freshness.was_confirmed_since(at_ms);
            if self.transfers.began.is_some_and(since) {
                self.transfers.certain = Some(term);
                self.schedule_all();
            }
        }
    }

    /// Returns what a team may have running here.
    ///
    /// A new keeper spends no part that the keeper before it may have given away. Teams with open
    /// queues are served at once, and with any configuration, since their parts never move.
    pub(super) fn spendable(&self, team: &TeamName) -> Resources {
        let is_certain =
            self.transfers.certain.is_some() && self.transfers.certain == self.leader_term();
        let alone = || self.config.domains().nth(1).is_none();
        if is_certain || alone() || self.config.owns_open_queue(team) {
            self.limits.spendable(team)
        } else {
            Resources::default()
        }
    }

    fn send_wants(&mut self) {
        let wants = self.own_wants();
        if wants.is_empty() {
            return;
        }
        let domains = self.config.domains();
        let others = domains.filter(|domain| **domain != self.settings.domain);
        let keepers = others.filter_map(|domain| self.leader_of(domain));
        let to: Vec<DaemonId> = keepers.map(|(id, _)| id.clone()).collect();
        for peer in to {
            let (revision, wants) = (self.config.revision(), wants.clone());
            self.send_peer(&peer, PeerMessage::Wants { revision, wants });
        }
    }

    /// Returns what waiting work misses, as far as this domain's workers have room for it.
    fn own_wants(&self) -> Vec<Want> {
        if self.fleet.unclaimed_count() > 0 || self.queues.is_empty() {
            return Vec::new();
        }
        let free = self.fleet.free(self.now_ms);
        let want = |team: TeamName| {
            let used = self.fleet.usage(&team);
            let held = self.limits.target(&team).minus(used);
            let amount = self.waiting_need(&team).minus(held).min(free);
            let missing = amount != Resources::default() && self.config.is_movable(&team);
            missing.then_some(Want { team, amount })
        };
        let mut wants: Vec<Want> = self.waiting_teams().into_iter().filter_map(want).collect();
        wants.sort_by_key(|want| std::cmp::Reverse(want.amount.parts()));
        wants.truncate(consts::MOVES_A_NOTE);
        wants
    }

    fn waiting_teams(&self) -> std::collections::BTreeSet<TeamName> {
        let classes = Class::ALL.iter();
        classes
            .flat_map(|(class, _)| self.queues.teams(*class))
            .collect()
    }

    /// Returns what a team's waiting work needs together, by the first unit of each class.
    fn waiting_need(&self, team: &TeamName) -> Resources {
        let need = |class: Class| {
            let first = self.queues.get(class, team, 0)?;
            let together = first.need.times(u64::from(first.tasks()));
            Some(together.times(self.queues.len_of(class, team) as u64))
        };
        let needs = Class::ALL.iter().filter_map(|(class, _)| need(*class));
        needs.fold(Resources::default(), Resources::plus)
    }

    /// Takes in what another domain misses, unless a move that it did not know may have met it.
    pub(super) fn wants_heard(&mut self, from: &DaemonId, revision: Revision, wants: Vec<Want>) {
        let Some(peer) = self.members.peers.get(from) else {
            return;
        };
        let other = peer.domain != self.settings.domain;
        if other && revision >= self.transfers.last_move {
            let heard = (self.now_ms, wants);
            self.transfers.wants.insert(peer.domain.clone(), heard);
        }
    }

    fn next_move_step(&self) -> Step {
        let now_ms = self.now_ms;
        if let Some(pending) = &self.transfers.pending {
            let confirmed = |at_ms| self.freshness.was_confirmed_since(at_ms);
            return match (pending.closed_ms, pending.retry_ms) {
                (Some(at_ms), _) if confirmed(at_ms) => Step::Drop,
                (None, Some(at_ms)) if at_ms <= now_ms => Step::Retry,
                _ => Step::Wait,
            };
        }
        let term = self.leader_term();
        let certain = self.transfers.certain == term && self.is_fresh();
        let quiet = now_ms < self.transfers.quiet_until_ms || self.transfers.wants.is_empty();
        if !certain || quiet || self.commit_in_flight() || self.note_in_flight() {
            Step::Wait
        } else {
            Step::Give
        }
    }

    fn give(&mut self) {
        let moves = self.moves_out();
        self.transfers.wants.clear();
        let Some(keeper) = self.leader_row().filter(|_| !moves.is_empty()) else {
            return;
        };
        let own = self.settings.domain.clone();
        self.transfers.written += 1;
        let id = format!(
            "move/{}/{}/{}",
            self.daemon_id(),
            keeper.term,
            self.transfers.written
        );
        let note = Note {
            id: NoteId::new(id),
            base: self.config.revision(),
            added: Vec::new(),
            changed: entries_of(&self.config, &own, &moves),
            withdrawn: Vec::new(),
        };
        if !self.config.check(&note).is_empty() {
            return;
        }
        for part in &moves {
            self.limits.set_aside(&part.team, part.amount);
        }
        let mut txn = self.note_txn(&note);
        txn.checks.push(Check {
            key: Key::Keeper(own),
            row: Some(Row::Keeper(keeper)),
        });
        self.transfers.pending = Some(Pending {
            revision: note.base.next(),
            note,
            txn,
            retry_ms: None,
            may_be_written: false,
            closed_ms: None,
        });
        self.write_pending();
    }

    fn moves_out(&self) -> Vec<Move> {
        let heard = self.transfers.wants.iter();
        let lately = |at_ms: Millis| self.now_ms.since(at_ms) <= consts::WANT_KEEP_MS;
        let wants: BTreeMap<DomainName, Vec<Want>> = heard
            .filter(|(_, (at_ms, _))| lately(*at_ms))
            .map(|(domain, (_, wants))| (domain.clone(), wants.clone()))
            .collect();
        let asked = wants.values().flatten().map(|want| want.team.clone());
        let spare = asked.map(|team| (team.clone(), self.spare(&team)));
        answer_wants(&spare.collect(), &wants)
    }

    /// Returns what neither runs nor is about to run of a team's part.
    fn spare(&self, team: &TeamName) -> Resources {
        if !self.config.is_movable(team) || self.fleet.unclaimed_count() > 0 {
            return Resources::default();
        }
        let used = self.fleet.usage(team).plus(self.waiting_need(team));
        self.spendable(team).minus(used)
    }

    fn write_pending(&mut self) {
        let Some(pending) = &mut self.transfers.pending else {
            return;
        };
        pending.retry_ms = None;
        let txn = pending.txn.clone();
        self.write(PendingOp::WriteTransfer, txn);
    }

    pub(super) fn move_written(&mut self, reply: TableReply) {
        let Some(pending) = &mut self.transfers.pending else {
            return;
        };
        match reply {
            TableReply::Committed { .. } => {
                let (revision, note) = (pending.revision, pending.note.clone());
                self.apply_note(revision, note);
                self.snapshot_if_due(revision);
            }
            TableReply::Conflict { .. } if pending.may_be_written => {
                // Perhaps the first attempt moved the head; the log will tell.
                pending.closed_ms = Some(self.now_ms);
                self.poll_config();
            }
            TableReply::Conflict { .. } => {
                self.drop_pending();
                self.poll_config();
            }
            TableReply::Refused if !pending.may_be_written => self.drop_pending(),
            _ => {
                pending.may_be_written = true;
                pending.retry_ms = Some(self.now_ms + consts::MOVE_MS);
                self.poll_config();
            }
        }
    }

    /// Gives up a note that certainly was not and never will be written.
    fn drop_pending(&mut self) {
        self.transfers.pending = None;
        self.limits.release();
        self.transfers.quiet_until_ms = self.now_ms + consts::WANT_MS;
        self.schedule_all();
    }

    /// Takes notice of a revision that the log has reached.
    pub(super) fn moves_applied(&mut self, is_move: bool) {
        let revision = self.config.revision();
        if is_move {
            self.transfers.wants.clear();
            self.transfers.last_move = revision;
            self.transfers.quiet_until_ms = self.now_ms + consts::MOVE_MS;
        }
        let decided = |pending: &mut Pending| pending.revision <= revision;
        if let Some(pending) = self.transfers.pending.take_if(decided) {
            self.limits.release();
            if self.config.accepted_in(&pending.note.id) == Some(pending.revision) {
                let (revision, parts) = (pending.revision, pending.note.changed.len() as u64);
                self.log(Told::LimitsGiven { revision, parts });
            }
        }
    }
}
