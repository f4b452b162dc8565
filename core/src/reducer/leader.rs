//! Leader election: decides whether this daemon leads the failure domain and records the term in
//! the table.

use super::{Core, PendingOp};
use crate::{
    consts, Check, DaemonId, DecisionEvent, Heartbeat, Key, LeaderRow, Millis, Query, Row,
    TableReply, Term, Txn,
};

/// The role of this daemon in its failure domain.
#[derive(Debug, Default)]
pub(super) struct Role {
    kind: RoleKind,
    /// The highest term known.
    highest_term: Term,
    /// When the failure domain last had a responsive leader; at first, when this daemon started.
    leader_heartbeat_ms: Option<Millis>,
    /// When this daemon may become leader again after it was fenced.
    standby_until_ms: Millis,
}

#[derive(Debug, Default)]
enum RoleKind {
    #[default]
    Follower,
    Leader {
        term: Term,
        row_state: LeaderRowState,
    },
}

/// The state of this leader's row in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
enum LeaderRowState {
    Unwritten { retry_ms: Millis },
    Reading,
    Writing { seq: u64 },
    Written { seq: u64 },
}

/// The next action on the role.
enum Step {
    Stay,
    BecomeLeader,
    ReadLeaderRow,
}

impl Core {
    pub(super) fn is_leader(&self) -> bool {
        self.leader_term().is_some()
    }

    pub(super) fn leader_term(&self) -> Option<Term> {
        match self.role.kind {
            RoleKind::Leader { term, .. } => Some(term),
            RoleKind::Follower => None,
        }
    }

    /// Returns the term to announce in heartbeats.
    ///
    /// A leader that has claimed no worker announces none, so that it does not displace a leader
    /// that has.
    pub(super) fn announced_term(&self) -> Option<Term> {
        self.leader_term()
            .filter(|_| self.fleet.has_claimed_worker())
    }

    pub(super) fn leader_id(&self) -> Option<DaemonId> {
        if self.is_leader() {
            return Some(self.daemon_id().clone());
        }
        self.leader_of(&self.settings.domain)
            .map(|(id, _)| id.clone())
    }

    pub(super) fn tick_role(&mut self) {
        match self.next_role_step() {
            Step::Stay => {}
            Step::BecomeLeader => self.become_leader(),
            Step::ReadLeaderRow => self.read_leader_row(),
        }
    }

    fn next_role_step(&mut self) -> Step {
        let now_ms = self.now_ms;
        let has_leader = self.leader_of(&self.settings.domain).is_some();
        if has_leader || self.role.leader_heartbeat_ms.is_none() {
            self.role.leader_heartbeat_ms = Some(now_ms);
        }
        match &self.role.kind {
            RoleKind::Leader {
                row_state: LeaderRowState::Unwritten { retry_ms },
                ..
            } if *retry_ms <= now_ms && self.fleet.has_claimed_worker() => Step::ReadLeaderRow,
            RoleKind::Leader { .. } => Step::Stay,
            RoleKind::Follower if self.can_become_leader() => Step::BecomeLeader,
            RoleKind::Follower => Step::Stay,
        }
    }

    /// Returns whether this daemon may become leader: there has been no leader for
    /// [`consts::PEER_TIMEOUT_MS`], and it has the lowest id of the available daemons.
    fn can_become_leader(&self) -> bool {
        let leader_ms = self.role.leader_heartbeat_ms.unwrap_or(self.now_ms);
        let missing = self.now_ms.since(leader_ms) > consts::PEER_TIMEOUT_MS;
        let standby_over = self.role.standby_until_ms <= self.now_ms;
        let first = self
            .available_domain_peers()
            .all(|peer| self.daemon_id() < peer);
        missing && standby_over && first && !self.drain.is_requested()
    }

    /// Becomes leader of the failure domain under a new term.
    pub(super) fn become_leader(&mut self) {
        let term = self.role.highest_term.next();
        self.role.highest_term = term;
        self.reset_leader_state();
        self.role.kind = RoleKind::Leader {
            term,
            row_state: LeaderRowState::Unwritten {
                retry_ms: self.now_ms,
            },
        };
        self.log(DecisionEvent::LeaderStarted { term });
        self.forward_open_calls();
    }

    /// Raises the highest known term, so that this daemon's next term exceeds it.
    pub(super) fn observe_term(&mut self, term: Term) {
        self.role.highest_term = self.role.highest_term.max(term);
    }

    /// Becomes a follower and closes the connections to all workers.
    pub(super) fn step_down(&mut self) {
        let Some(term) = self.leader_term() else {
            return;
        };
        self.role.kind = RoleKind::Follower;
        self.role.leader_heartbeat_ms = Some(self.now_ms);
        self.reset_leader_state();
        self.close_links();
        self.log(DecisionEvent::LeaderStopped { term });
    }

    /// Steps down because a worker holds a higher claim, whose term is given.
    pub(super) fn step_down_fenced(&mut self, term: Term) {
        self.observe_term(term);
        self.role.standby_until_ms = self.now_ms + consts::FENCED_BACKOFF_MS;
        self.step_down();
    }

    fn reset_leader_state(&mut self) {
        self.queues.clear();
        self.clear_reservations();
        self.share_meter.clear();
        self.requests.clear();
        self.requests_by_origin.clear();
        self.jobs.clear();
        self.orphans.clear();
        self.adoption = Default::default();
        self.reset_commits();
        self.ops.retain(|_, op| !op.belongs_to_term());
        self.fleet.clear_tasks();
        self.fleet.begin_term();
    }

    /// Updates the highest known term from a peer's heartbeat, and steps down if the peer leads this
    /// failure domain and takes precedence.
    ///
    /// The higher term takes precedence, and at equal terms the lower daemon id. A leader that has
    /// claimed no worker always steps down.
    pub(super) fn observe_peer_leader(&mut self, peer: &DaemonId, heartbeat: &Heartbeat) {
        let Some(term) = heartbeat.leader_term else {
            return;
        };
        if heartbeat.domain != self.settings.domain {
            return;
        }
        self.observe_term(term);
        let held = self.fleet.has_claimed_worker();
        let yields = |mine: Term| !held || (term, self.daemon_id()) > (mine, peer);
        if self.leader_term().is_some_and(yields) {
            self.step_down();
        }
    }

    fn read_leader_row(&mut self) {
        self.set_row_state(LeaderRowState::Reading);
        let key = Key::Leader(self.settings.domain.clone());
        self.read(PendingOp::ReadLeader, Query::One(key));
    }

    fn set_row_state(&mut self, new: LeaderRowState) {
        if let RoleKind::Leader { row_state, .. } = &mut self.role.kind {
            *row_state = new;
        }
    }

    pub(super) fn on_leader_row_read(&mut self, reply: TableReply) {
        let RoleKind::Leader {
            term,
            row_state: LeaderRowState::Reading,
        } = &self.role.kind
        else {
            return;
        };
        let term = *term;
        let TableReply::Rows(rows) = reply else {
            return self.retry_leader_row();
        };
        let found = rows.into_iter().find_map(|(_, row)| match row {
            Row::Leader(row) => Some(row),
            _ => None,
        });
        match found {
            Some(row) if row.daemon == *self.daemon_id() && row.term == term => {
                self.on_leader_row_confirmed(row.seq);
            }
            Some(row) if row.term >= term => {
                self.role.highest_term = row.term;
                self.become_leader();
            }
            found => self.write_leader_row(term, found),
        }
    }

    fn write_leader_row(&mut self, term: Term, found: Option<LeaderRow>) {
        let key = Key::Leader(self.settings.domain.clone());
        let seq = 0;
        let mine = LeaderRow {
            daemon: self.daemon_id().clone(),
            term,
            seq,
        };
        self.set_row_state(LeaderRowState::Writing { seq });
        let txn = Txn {
            checks: vec![Check {
                key: key.clone(),
                row: found.map(Row::Leader),
            }],
            puts: vec![(key, Row::Leader(mine))],
            ..Txn::default()
        };
        self.write(PendingOp::WriteLeader, txn);
    }

    pub(super) fn on_leader_row_written(&mut self, reply: TableReply) {
        let RoleKind::Leader {
            row_state: LeaderRowState::Writing { seq },
            ..
        } = self.role.kind
        else {
            return;
        };
        match reply {
            TableReply::Committed { .. } => self.on_leader_row_confirmed(seq),
            _ => self.retry_leader_row(),
        }
    }

    fn retry_leader_row(&mut self) {
        self.record_commit_failure();
        let retry_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        self.set_row_state(LeaderRowState::Unwritten { retry_ms });
    }

    fn on_leader_row_confirmed(&mut self, seq: u64) {
        self.set_row_state(LeaderRowState::Written { seq });
        self.read_jobs(None);
    }

    /// Returns this leader's row in the table, once it is written.
    pub(super) fn leader_row(&self) -> Option<LeaderRow> {
        match &self.role.kind {
            RoleKind::Leader {
                term,
                row_state: LeaderRowState::Written { seq },
            } => Some(LeaderRow {
                daemon: self.daemon_id().clone(),
                term: *term,
                seq: *seq,
            }),
            _ => None,
        }
    }

    /// Increments the transaction number of this leader's row after a committed transaction.
    pub(super) fn advance_leader_row(&mut self) {
        if let RoleKind::Leader {
            row_state: LeaderRowState::Written { seq },
            ..
        } = &mut self.role.kind
        {
            *seq += 1;
        }
    }
}
