//! Transfers of limits: moves unused parts of a team's limit to failure domains with pending work.
//!
//! Only the leader of the failure domain that holds a part can transfer it. It sets the part aside,
//! then writes a release note with the transfer, in a transaction that requires the table to name it
//! as leader. The sum of all parts thus stays within the limit without any message from the other
//! failure domains, and a partitioned failure domain keeps its parts.

use super::{Core, PendingOp};
use crate::{
    consts,
    limit_transfers::{grant_requests, split_entries, LimitRequest, LimitTransfer},
    Check, Class, DaemonId, DecisionEvent, DomainName, Key, Millis, Note, NoteId, PeerMessage,
    Resources, Revision, Row, TableReply, TeamName, Term, Txn,
};
use std::collections::BTreeMap;

/// The state of limit transfers.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    /// The term and time from which no previous leader of this failure domain can write a note.
    fenced_since: Option<(Term, Millis)>,
    /// The term in which the configuration was confirmed after `fenced_since`.
    confirmed_term: Option<Term>,
    requests: BTreeMap<DomainName, (Millis, Vec<LimitRequest>)>,
    next_request_ms: Millis,
    paused_until_ms: Millis,
    last_transfer: Revision,
    pending: Option<PendingNote>,
    notes_written: u64,
}

/// A note with transfers whose outcome is not known yet.
#[derive(Debug)]
struct PendingNote {
    note: Note,
    revision: Revision,
    txn: Txn,
    retry_ms: Option<Millis>,
    may_be_written: bool,
    /// When a conflict showed that the note is either written already or can't be written any more.
    conflict_ms: Option<Millis>,
}

/// The leader's next action on transfers.
enum Step {
    Wait,
    Retry,
    Abandon,
    Transfer,
}

impl Core {
    pub(super) fn tick_transfers(&mut self) {
        self.track_term();
        if !self.is_leader() {
            return;
        }
        if self.transfers.next_request_ms <= self.now_ms {
            self.transfers.next_request_ms = self.now_ms + consts::LIMIT_REQUEST_INTERVAL_MS;
            self.send_limit_requests();
        }
        match self.next_transfer_step() {
            Step::Wait => {}
            Step::Retry => self.write_pending_note(),
            Step::Abandon => self.abandon_pending_note(),
            Step::Transfer => self.transfer_limits(),
        }
    }

    /// Determines from when on this leader knows every transfer of the previous leaders of its
    /// failure domain, and resets the state of a term that has ended.
    fn track_term(&mut self) {
        let Some(term) = self.leader_term() else {
            if self.transfers.fenced_since.is_some() || self.transfers.pending.is_some() {
                self.limits.release_set_aside();
                self.transfers.fenced_since = None;
                self.transfers.confirmed_term = None;
                self.transfers.pending = None;
            }
            return;
        };
        if self
            .transfers
            .fenced_since
            .is_none_or(|(fenced_term, _)| fenced_term != term)
        {
            let fenced = self.leader_row().is_some() || self.is_table_unreachable();
            if fenced {
                self.transfers.fenced_since = Some((term, self.now_ms));
                self.feed.next_poll_ms = self.now_ms;
            }
        } else if self.transfers.confirmed_term != Some(term) {
            let since = |(_, at_ms)| self.freshness.was_confirmed_since(at_ms);
            if self.transfers.fenced_since.is_some_and(since) {
                self.transfers.confirmed_term = Some(term);
                self.schedule_all();
            }
        }
    }

    /// Returns how much a team may use in this failure domain.
    ///
    /// A new leader uses no allotment that the previous one may have transferred. Teams with open
    /// queues are served at once and with any configuration, since their allotments are never
    /// transferred.
    pub(super) fn usable_allotment(&self, team: &TeamName) -> Resources {
        let is_confirmed = self.transfers.confirmed_term.is_some()
            && self.transfers.confirmed_term == self.leader_term();
        let single_domain = || self.config.domains().nth(1).is_none();
        if is_confirmed || single_domain() || self.config.owns_open_queue(team) {
            self.limits.spendable(team)
        } else {
            Resources::default()
        }
    }

    fn send_limit_requests(&mut self) {
        let requests = self.own_limit_requests();
        if requests.is_empty() {
            return;
        }
        let domains = self.config.domains();
        let others = domains.filter(|domain| **domain != self.settings.domain);
        let leaders = others.filter_map(|domain| self.leader_of(domain));
        let to: Vec<DaemonId> = leaders.map(|(id, _)| id.clone()).collect();
        for peer in to {
            let (revision, requests) = (self.config.revision(), requests.clone());
            self.send_peer(&peer, PeerMessage::LimitRequests { revision, requests });
        }
    }

    /// Returns what pending work needs beyond the allotments, up to the free room of this failure
    /// domain's workers.
    fn own_limit_requests(&self) -> Vec<LimitRequest> {
        if self.fleet.unclaimed_count() > 0 || self.queues.is_empty() {
            return Vec::new();
        }
        let free = self.fleet.free(self.now_ms);
        let request = |team: TeamName| {
            let used = self.fleet.usage(&team);
            let held = self.limits.target(&team).minus(used);
            let amount = self.pending_need(&team).minus(held).min(free);
            let missing = amount != Resources::default() && self.config.is_transferable(&team);
            missing.then_some(LimitRequest { team, amount })
        };
        let mut requests: Vec<LimitRequest> = self
            .pending_teams()
            .into_iter()
            .filter_map(request)
            .collect();
        requests.sort_by_key(|request| std::cmp::Reverse(request.amount.amounts()));
        requests.truncate(consts::MAX_TRANSFERS_PER_NOTE);
        requests
    }

    fn pending_teams(&self) -> std::collections::BTreeSet<TeamName> {
        let classes = Class::ALL.iter();
        classes
            .flat_map(|(class, _)| self.queues.teams(*class))
            .collect()
    }

    /// Returns the estimated total need of a team's pending work.
    ///
    /// Every unit of a class counts with the need of the first one.
    fn pending_need(&self, team: &TeamName) -> Resources {
        let need = |class: Class| {
            let first = self.queues.get(class, team, 0)?;
            let together = first.need.times(u64::from(first.tasks()));
            Some(together.times(self.queues.len_of(class, team) as u64))
        };
        let needs = Class::ALL.iter().filter_map(|(class, _)| need(*class));
        needs.fold(Resources::default(), Resources::plus)
    }

    /// Stores the limit requests of another failure domain, unless its configuration is older than
    /// the last transfer, which may have met them.
    pub(super) fn on_limit_requests(
        &mut self,
        from: &DaemonId,
        revision: Revision,
        requests: Vec<LimitRequest>,
    ) {
        let Some(peer) = self.members.peers.get(from) else {
            return;
        };
        let other = peer.domain != self.settings.domain;
        if other && revision >= self.transfers.last_transfer {
            let received = (self.now_ms, requests);
            self.transfers
                .requests
                .insert(peer.domain.clone(), received);
        }
    }

    fn next_transfer_step(&self) -> Step {
        let now_ms = self.now_ms;
        if let Some(pending) = &self.transfers.pending {
            let confirmed = |at_ms| self.freshness.was_confirmed_since(at_ms);
            return match (pending.conflict_ms, pending.retry_ms) {
                (Some(at_ms), _) if confirmed(at_ms) => Step::Abandon,
                (None, Some(at_ms)) if at_ms <= now_ms => Step::Retry,
                _ => Step::Wait,
            };
        }
        let term = self.leader_term();
        let confirmed = self.transfers.confirmed_term == term && self.is_fresh();
        let idle = now_ms < self.transfers.paused_until_ms || self.transfers.requests.is_empty();
        if !confirmed || idle || self.has_commit_in_flight() || self.is_note_in_flight() {
            Step::Wait
        } else {
            Step::Transfer
        }
    }

    fn transfer_limits(&mut self) {
        let transfers = self.planned_transfers();
        self.transfers.requests.clear();
        let Some(leader) = self.leader_row().filter(|_| !transfers.is_empty()) else {
            return;
        };
        let own = self.settings.domain.clone();
        self.transfers.notes_written += 1;
        let id = format!(
            "move/{}/{}/{}",
            self.daemon_id(),
            leader.term,
            self.transfers.notes_written
        );
        let note = Note {
            id: NoteId::new(id),
            base: self.config.revision(),
            added: Vec::new(),
            changed: split_entries(&self.config, &own, &transfers),
            withdrawn: Vec::new(),
        };
        if !self.config.check(&note).is_empty() {
            return;
        }
        for part in &transfers {
            self.limits.set_aside(&part.team, part.amount);
        }
        let mut txn = self.note_txn(&note);
        txn.checks.push(Check {
            key: Key::Leader(own),
            row: Some(Row::Leader(leader)),
        });
        self.transfers.pending = Some(PendingNote {
            revision: note.base.next(),
            note,
            txn,
            retry_ms: None,
            may_be_written: false,
            conflict_ms: None,
        });
        self.write_pending_note();
    }

    fn planned_transfers(&self) -> Vec<LimitTransfer> {
        let received = self.transfers.requests.iter();
        let is_recent = |at_ms: Millis| self.now_ms.since(at_ms) <= consts::LIMIT_REQUEST_TTL_MS;
        let requests: BTreeMap<DomainName, Vec<LimitRequest>> = received
            .filter(|(_, (at_ms, _))| is_recent(*at_ms))
            .map(|(domain, (_, requests))| (domain.clone(), requests.clone()))
            .collect();
        let requested_teams = requests
            .values()
            .flatten()
            .map(|request| request.team.clone());
        let spare = requested_teams.map(|team| (team.clone(), self.unused_allotment(&team)));
        grant_requests(&spare.collect(), &requests)
    }

    /// Returns the part of a team's allotment that neither running nor pending work needs.
    fn unused_allotment(&self, team: &TeamName) -> Resources {
        if !self.config.is_transferable(team) || self.fleet.unclaimed_count() > 0 {
            return Resources::default();
        }
        let used = self.fleet.usage(team).plus(self.pending_need(team));
        self.usable_allotment(team).minus(used)
    }

    fn write_pending_note(&mut self) {
        let Some(pending) = &mut self.transfers.pending else {
            return;
        };
        pending.retry_ms = None;
        let txn = pending.txn.clone();
        self.write(PendingOp::WriteTransfer, txn);
    }

    pub(super) fn on_transfer_written(&mut self, reply: TableReply) {
        let Some(pending) = &mut self.transfers.pending else {
            return;
        };
        match reply {
            TableReply::Committed { .. } => {
                let (revision, note) = (pending.revision, pending.note.clone());
                self.apply_note(revision, note);
                self.store_snapshot_if_due(revision);
            }
            TableReply::Conflict { .. } if pending.may_be_written => {
                // An earlier attempt may have written the note, which the notes read next will
                // show.
                pending.conflict_ms = Some(self.now_ms);
                self.poll_config();
            }
            TableReply::Conflict { .. } => {
                self.abandon_pending_note();
                self.poll_config();
            }
            TableReply::Refused if !pending.may_be_written => self.abandon_pending_note(),
            _ => {
                pending.may_be_written = true;
                pending.retry_ms = Some(self.now_ms + consts::LIMIT_TRANSFER_INTERVAL_MS);
                self.poll_config();
            }
        }
    }

    /// Drops a note that was not written and can't be any more, and releases the parts that were set
    /// aside for it.
    fn abandon_pending_note(&mut self) {
        self.transfers.pending = None;
        self.limits.release_set_aside();
        self.transfers.paused_until_ms = self.now_ms + consts::LIMIT_REQUEST_INTERVAL_MS;
        self.schedule_all();
    }

    /// Updates the transfers after the configuration has reached a new revision.
    pub(super) fn on_config_advanced(&mut self, is_transfer: bool) {
        let revision = self.config.revision();
        if is_transfer {
            self.transfers.requests.clear();
            self.transfers.last_transfer = revision;
            self.transfers.paused_until_ms = self.now_ms + consts::LIMIT_TRANSFER_INTERVAL_MS;
        }
        let decided = |pending: &mut PendingNote| pending.revision <= revision;
        if let Some(pending) = self.transfers.pending.take_if(decided) {
            self.limits.release_set_aside();
            if self.config.accepted_in(&pending.note.id) == Some(pending.revision) {
                let (revision, teams) = (pending.revision, pending.note.changed.len() as u64);
                self.log(DecisionEvent::LimitsTransferred { revision, teams });
            }
        }
    }
}
