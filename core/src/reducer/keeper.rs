//! Which daemon keeps the failure domain's workers.

use super::{Core, Op};
use crate::{
    consts, Check, DaemonId, DecisionEvent, Heartbeat, Key, LeaderRow, Millis, Query, Row,
    TableReply, Term, Txn,
};

/// Whether this daemon keeps the failure domain's workers.
#[derive(Debug, Default)]
pub(super) struct Role {
    kind: RoleKind,
    /// The highest term known.
    top_term: Term,
    /// When a keeper was last heard, or this daemon started.
    keeper_heard_ms: Option<Millis>,
    /// Until when this daemon may not become keeper.
    rest_until_ms: Millis,
}

#[derive(Debug, Default)]
enum RoleKind {
    #[default]
    Follower,
    Keeper {
        term: Term,
        record: Record,
    },
}

/// Whether the table names this daemon as keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Record {
    Wanted { retry_ms: Millis },
    Reading,
    Writing { seq: u64 },
    Written { seq: u64 },
}

/// What to do about the role.
enum Step {
    Stay,
    Become,
    ReadRecord,
}

impl Core {
    pub(super) fn is_keeper(&self) -> bool {
        self.keeper_term().is_some()
    }

    pub(super) fn keeper_term(&self) -> Option<Term> {
        match self.role.kind {
            RoleKind::Keeper { term, .. } => Some(term),
            RoleKind::Follower => None,
        }
    }

    /// Returns the term that peers are told: a keeper without any worker keeps nothing, and must not
    /// push aside one that does.
    pub(super) fn announced_term(&self) -> Option<Term> {
        self.keeper_term()
            .filter(|_| self.fleet.has_claimed_worker())
    }

    pub(super) fn keeper_name(&self) -> Option<DaemonId> {
        if self.is_keeper() {
            return Some(self.me().clone());
        }
        self.keeper_of(&self.settings.domain)
            .map(|(id, _)| id.clone())
    }

    pub(super) fn tick_keeper(&mut self) {
        match self.next_keeper_step() {
            Step::Stay => {}
            Step::Become => self.become_keeper(),
            Step::ReadRecord => self.read_record(),
        }
    }

    fn next_keeper_step(&mut self) -> Step {
        let now_ms = self.now_ms;
        let heard = self.keeper_of(&self.settings.domain).is_some();
        if heard || self.role.keeper_heard_ms.is_none() {
            self.role.keeper_heard_ms = Some(now_ms);
        }
        match &self.role.kind {
            RoleKind::Keeper {
                record: Record::Wanted { retry_ms },
                ..
            } if *retry_ms <= now_ms && self.fleet.has_claimed_worker() => Step::ReadRecord,
            RoleKind::Keeper { .. } => Step::Stay,
            RoleKind::Follower if self.may_become_keeper() => Step::Become,
            RoleKind::Follower => Step::Stay,
        }
    }

    fn may_become_keeper(&self) -> bool {
        let heard_ms = self.role.keeper_heard_ms.unwrap_or(self.now_ms);
        let missing = self.now_ms.since(heard_ms) > consts::PEER_TIMEOUT_MS;
        let rested = self.role.rest_until_ms <= self.now_ms;
        let first = self.near_staying().all(|peer| self.me() < peer);
        missing && rested && first && !self.drain.is_requested()
    }

    /// Takes the failure domain's workers under a new term.
    pub(super) fn become_keeper(&mut self) {
        let term = self.role.top_term.next();
        self.role.top_term = term;
        self.forget_kept();
        self.role.kind = RoleKind::Keeper {
            term,
            record: Record::Wanted {
                retry_ms: self.now_ms,
            },
        };
        self.tell(DecisionEvent::LeaderStarted { term });
        self.forward_open_calls();
    }

    /// Makes sure that the next own term is higher than another one.
    pub(super) fn follow_term(&mut self, term: Term) {
        self.role.top_term = self.role.top_term.max(term);
    }

    /// Leaves the workers to another keeper.
    pub(super) fn step_down(&mut self) {
        let Some(term) = self.keeper_term() else {
            return;
        };
        self.role.kind = RoleKind::Follower;
        self.role.keeper_heard_ms = Some(self.now_ms);
        self.forget_kept();
        self.unlink_workers();
        self.tell(DecisionEvent::LeaderStopped { term });
    }

    /// Steps down since another daemon's claim is higher.
    pub(super) fn fenced_by(&mut self, term: Term) {
        self.follow_term(term);
        self.role.rest_until_ms = self.now_ms + consts::FENCED_BACKOFF_MS;
        self.step_down();
    }

    fn forget_kept(&mut self) {
        self.queues.clear();
        self.clear_reserved();
        self.share_meter.clear();
        self.requests.clear();
        self.asked.clear();
        self.jobs.clear();
        self.orphans.clear();
        self.adoption = Default::default();
        self.reset_commits();
        self.ops.retain(|_, op| !op.belongs_to_term());
        self.fleet.clear_tasks();
        self.fleet.begin_term();
    }

    pub(super) fn peer_keeps(&mut self, peer: &DaemonId, heartbeat: &Heartbeat) {
        let Some(term) = heartbeat.leader_term else {
            return;
        };
        if heartbeat.domain != self.settings.domain {
            return;
        }
        self.follow_term(term);
        let held = self.fleet.has_claimed_worker();
        let yields = |mine: Term| !held || (term, self.me()) > (mine, peer);
        if self.keeper_term().is_some_and(yields) {
            self.step_down();
        }
    }

    fn read_record(&mut self) {
        self.set_record(Record::Reading);
        let key = Key::Leader(self.settings.domain.clone());
        self.read(Op::ReadKeeper, Query::One(key));
    }

    fn set_record(&mut self, new: Record) {
        if let RoleKind::Keeper { record, .. } = &mut self.role.kind {
            *record = new;
        }
    }

    pub(super) fn keeper_read(&mut self, reply: TableReply) {
        let RoleKind::Keeper {
            term,
            record: Record::Reading,
        } = &self.role.kind
        else {
            return;
        };
        let term = *term;
        let TableReply::Rows(rows) = reply else {
            return self.retry_record();
        };
        let found = rows.into_iter().find_map(|(_, row)| match row {
            Row::Leader(row) => Some(row),
            _ => None,
        });
        match found {
            Some(row) if row.daemon == *self.me() && row.term == term => {
                self.record_written(row.seq);
            }
            Some(row) if row.term >= term => {
                self.role.top_term = row.term;
                self.become_keeper();
            }
            found => self.write_record(term, found),
        }
    }

    fn write_record(&mut self, term: Term, found: Option<LeaderRow>) {
        let key = Key::Leader(self.settings.domain.clone());
        let seq = 0;
        let mine = LeaderRow {
            daemon: self.me().clone(),
            term,
            seq,
        };
        self.set_record(Record::Writing { seq });
        let txn = Txn {
            checks: vec![Check {
                key: key.clone(),
                row: found.map(Row::Leader),
            }],
            puts: vec![(key, Row::Leader(mine))],
            ..Txn::default()
        };
        self.write(Op::WriteKeeper, txn);
    }

    pub(super) fn keeper_written(&mut self, reply: TableReply) {
        let RoleKind::Keeper {
            record: Record::Writing { seq },
            ..
        } = self.role.kind
        else {
            return;
        };
        match reply {
            TableReply::Committed { .. } => self.record_written(seq),
            _ => self.retry_record(),
        }
    }

    fn retry_record(&mut self) {
        self.record_commit_failure();
        let retry_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        self.set_record(Record::Wanted { retry_ms });
    }

    fn record_written(&mut self, seq: u64) {
        self.set_record(Record::Written { seq });
        self.read_jobs(None);
    }

    /// Returns the row by which the table knows this keeper, once it does.
    pub(super) fn keeper_row(&self) -> Option<LeaderRow> {
        match &self.role.kind {
            RoleKind::Keeper {
                term,
                record: Record::Written { seq },
            } => Some(LeaderRow {
                daemon: self.me().clone(),
                term: *term,
                seq: *seq,
            }),
            _ => None,
        }
    }

    pub(super) fn keeper_row_advanced(&mut self) {
        if let RoleKind::Keeper {
            record: Record::Written { seq },
            ..
        } = &mut self.role.kind
        {
            *seq += 1;
        }
    }
}
