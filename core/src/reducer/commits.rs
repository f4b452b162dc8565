//! Group commit: writes all queued rows in one transaction at a time.
//!
//! Each transaction checks and increments the leader's own row, so that it fails once another
//! daemon is leader.

use super::{Core, PendingOp};
use crate::{
    consts, Check, Insert, IntentRow, IntentState, JobId, Key, LeaderRow, Millis, Query, RequestId,
    Row, TableReply, Txn,
};
use std::collections::{BTreeSet, VecDeque};

/// A change to be written by a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CommitItem {
    /// A request is about to run; the nonce identifies the attempt to record it.
    Intent(RequestId, u64),
    /// A recorded request was refused; its row is deleted so that the caller may retry it.
    Withdraw(RequestId, u64),
    /// A job is accepted.
    NewJob(JobId),
    /// A job's state changed.
    JobState(JobId),
    /// A lost task of a job is about to run again; the transaction confirms that this daemon is
    /// still the leader.
    Rerun(JobId, u32),
}

/// The queued rows and the transaction in flight.
#[derive(Debug, Default)]
pub(super) struct Commits {
    items: VecDeque<CommitItem>,
    /// The jobs that have a queued [`CommitItem::JobState`].
    changed_jobs: BTreeSet<JobId>,
    in_flight: Option<InFlightTxn>,
    /// When the latest transaction began; a refusal sets it to a later time to delay the next one.
    last_txn_ms: Millis,
    /// When a write last failed.
    failed_ms: Option<Millis>,
    last_nonce: u64,
}

#[derive(Debug)]
struct InFlightTxn {
    items: Vec<CommitItem>,
    txn: Txn,
    state: TxnState,
    /// Whether an answer was lost, so that a later refusal does not mean that nothing was written.
    may_be_written: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TxnState {
    Sent,
    /// The answer was lost; the same transaction is sent again.
    Retry {
        at_ms: Millis,
    },
    /// It took effect; the rows are read back to find out which inserts did.
    ReadBack,
}

impl Core {
    pub(super) fn next_nonce(&mut self) -> u64 {
        self.commits.last_nonce += 1;
        self.commits.last_nonce
    }

    /// Returns whether new rows can be queued: the table answers and the backlog is not full.
    pub(super) fn can_accept_commits(&self) -> bool {
        let is_table_up = !self.is_table_failing() && !self.is_table_unreachable();
        is_table_up && self.commits.items.len() < consts::MAX_COMMIT_BACKLOG_ROWS
    }

    /// Returns whether a transaction of this leader is in flight.
    pub(super) fn has_commit_in_flight(&self) -> bool {
        self.commits.in_flight.is_some()
    }

    /// Returns whether all queued rows are written.
    pub(super) fn is_fully_committed(&self) -> bool {
        self.commits.items.is_empty() && self.commits.in_flight.is_none()
    }

    /// Returns whether rows can't be written at present.
    pub(super) fn is_commit_failing(&self) -> bool {
        self.is_table_failing() || self.leader_row().is_none()
    }

    pub(super) fn record_commit_failure(&mut self) {
        self.commits.failed_ms = Some(self.now_ms);
    }

    /// Returns whether a write failed and no table operation has succeeded since.
    fn is_table_failing(&self) -> bool {
        self.commits
            .failed_ms
            .is_some_and(|at_ms| self.last_table_reply_ms <= at_ms)
    }

    pub(super) fn reset_commits(&mut self) {
        let last_nonce = self.commits.last_nonce;
        self.commits = Commits {
            last_nonce,
            ..Commits::default()
        };
    }

    /// Queues a row for the next transaction.
    pub(super) fn queue_commit(&mut self, item: CommitItem) {
        if let CommitItem::JobState(job) = &item {
            if !self.commits.changed_jobs.insert(job.clone()) {
                return;
            }
        }
        self.commits.items.push_back(item);
    }

    pub(super) fn tick_commits(&mut self) {
        let now_ms = self.now_ms;
        match self
            .commits
            .in_flight
            .as_ref()
            .map(|in_flight| in_flight.state)
        {
            Some(TxnState::Retry { at_ms }) if at_ms <= now_ms => self.send_txn(),
            Some(_) => {}
            None if self.commits.items.is_empty() => {}
            None if now_ms.since(self.commits.last_txn_ms) < consts::COMMIT_INTERVAL_MS => {}
            None => self.begin_txn(),
        }
    }

    fn begin_txn(&mut self) {
        let Some(row) = self.leader_row() else {
            return;
        };
        let count = self.commits.items.len().min(consts::MAX_COMMIT_ROWS);
        let items: Vec<CommitItem> = self.commits.items.drain(..count).collect();
        let mut txn = self.leader_txn(row);
        for item in &items {
            self.add_item_rows(&mut txn, item);
        }
        self.commits.last_txn_ms = self.now_ms;
        self.commits.in_flight = Some(InFlightTxn {
            items,
            txn,
            state: TxnState::Sent,
            may_be_written: false,
        });
        self.send_txn();
    }

    fn leader_txn(&self, row: LeaderRow) -> Txn {
        let key = Key::Leader(self.settings.domain.clone());
        let next = LeaderRow {
            seq: row.seq + 1,
            ..row.clone()
        };
        Txn {
            checks: vec![Check {
                key: key.clone(),
                row: Some(Row::Leader(row)),
            }],
            puts: vec![(key, Row::Leader(next))],
            ..Txn::default()
        }
    }

    fn add_item_rows(&mut self, txn: &mut Txn, item: &CommitItem) {
        match item {
            CommitItem::Intent(id, nonce) if self.is_recording(id, *nonce) => {
                let (key, row) = (Key::Intent(id.clone()), self.own_intent_row(*nonce));
                let second = None;
                txn.inserts.push(Insert { key, row, second });
            }
            CommitItem::Withdraw(id, nonce) => {
                let row = self.own_intent_row(*nonce);
                txn.deletes.push((Key::Intent(id.clone()), Some(row)));
            }
            CommitItem::NewJob(job) => txn.inserts.extend(self.new_job_insert(job)),
            CommitItem::JobState(job) => {
                self.commits.changed_jobs.remove(job);
                self.add_job_rows(txn, job);
            }
            CommitItem::Intent(..) | CommitItem::Rerun(..) => {}
        }
    }

    fn own_intent_row(&self, nonce: u64) -> Row {
        Row::Intent(self.intent_row(nonce, IntentState::MayRun))
    }

    fn send_txn(&mut self) {
        let Some(in_flight) = &mut self.commits.in_flight else {
            return;
        };
        in_flight.state = TxnState::Sent;
        let txn = in_flight.txn.clone();
        self.write(PendingOp::WriteCommit, txn);
    }

    pub(super) fn on_commit_reply(&mut self, reply: TableReply) {
        match reply {
            TableReply::Committed { existed } => self.on_txn_committed(&existed),
            TableReply::Conflict { found, .. } => self.on_txn_conflict(found),
            TableReply::Refused => self.on_txn_refused(),
            TableReply::Lost | TableReply::Rows(_) => self.on_txn_lost(),
        }
    }

    fn on_txn_lost(&mut self) {
        self.record_commit_failure();
        let at_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        if let Some(in_flight) = &mut self.commits.in_flight {
            in_flight.state = TxnState::Retry { at_ms };
            in_flight.may_be_written = true;
        }
    }

    /// Handles a conflict on the leader's row: either this transaction took effect earlier and its
    /// answer was lost, or another daemon is leader.
    fn on_txn_conflict(&mut self, found: Option<Box<Row>>) {
        let Some(in_flight) = &mut self.commits.in_flight else {
            return;
        };
        let written = in_flight.txn.puts.first().map(|(_, row)| row);
        if found.is_none() || found.as_deref() != written {
            let term = match found.as_deref() {
                Some(Row::Leader(row)) => row.term,
                _ => crate::Term(0),
            };
            return self.step_down_fenced(term);
        }
        in_flight.state = TxnState::ReadBack;
        let keys = in_flight
            .txn
            .inserts
            .iter()
            .map(|insert| insert.key.clone())
            .collect();
        self.read(PendingOp::ReadBackCommit, Query::Many(keys));
    }

    pub(super) fn on_commit_read_back(&mut self, reply: TableReply) {
        let Some(in_flight) = &self.commits.in_flight else {
            return;
        };
        if in_flight.state != TxnState::ReadBack {
            return;
        }
        match reply {
            TableReply::Rows(rows) => self.on_txn_committed(&rows),
            _ => self.on_txn_lost(),
        }
    }

    fn on_txn_refused(&mut self) {
        if self
            .commits
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.may_be_written)
        {
            return self.on_txn_lost();
        }
        self.record_commit_failure();
        let Some(in_flight) = self.commits.in_flight.take() else {
            return;
        };
        let mut remaining = VecDeque::new();
        for item in in_flight.items {
            match item {
                CommitItem::Intent(id, nonce) => self.on_intent_refused(&id, nonce),
                CommitItem::NewJob(job) => self.on_new_job_refused(&job),
                other => remaining.push_back(other),
            }
        }
        remaining.append(&mut self.commits.items);
        self.commits.items = remaining;
        self.commits.last_txn_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
    }

    fn on_txn_committed(&mut self, existed: &[(Key, Row)]) {
        self.commits.failed_ms = None;
        self.advance_leader_row();
        let Some(in_flight) = self.commits.in_flight.take() else {
            return;
        };
        for item in in_flight.items {
            self.apply_committed_item(item, existed);
        }
    }

    fn apply_committed_item(&mut self, item: CommitItem, existed: &[(Key, Row)]) {
        match item {
            CommitItem::Intent(id, nonce) if self.is_recording(&id, nonce) => {
                match find_foreign_intent(existed, &id, self.daemon_id(), Some(nonce)) {
                    Some(row) => self.on_intent_existed(&id, &row),
                    None => self.on_intent_recorded(&id),
                }
            }
            CommitItem::NewJob(job) => {
                let (request, nonce) = match self.job_submission(&job) {
                    Some(found) => found,
                    None => return,
                };
                match find_foreign_intent(existed, &request, self.daemon_id(), Some(nonce)) {
                    Some(row) => self.on_new_job_existed(&job, &row),
                    None => self.on_new_job_recorded(&job),
                }
            }
            CommitItem::JobState(job) => self.on_job_state_recorded(&job),
            CommitItem::Rerun(job, index) => self.on_rerun_recorded(&job, index),
            CommitItem::Intent(..) | CommitItem::Withdraw(..) => {}
        }
    }
}

/// Returns the row that another attempt wrote for a request.
fn find_foreign_intent(
    existed: &[(Key, Row)],
    id: &RequestId,
    me: &crate::DaemonId,
    nonce: Option<u64>,
) -> Option<IntentRow> {
    let found = existed.iter().find_map(|(key, row)| match (key, row) {
        (Key::Intent(of), Row::Intent(row)) if of == id => Some(row),
        _ => None,
    })?;
    let is_own = found.writer == *me && Some(found.nonce) == nonce;
    (!is_own).then(|| found.clone())
}
