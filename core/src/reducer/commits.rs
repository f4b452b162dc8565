//! Group commit: one transaction at a time carries all rows that wait.

use super::{Core, PendingOp};
use crate::{
    consts, Check, Insert, IntentRow, IntentState, JobId, Key, LeaderRow, Millis, Query, RequestId,
    Row, TableReply, Txn,
};
use std::collections::{BTreeSet, VecDeque};

/// A row that waits to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CommitItem {
    /// A request is about to run; the number tells its attempts to be recorded apart.
    Intent(RequestId, u64),
    /// A recorded request was refused and may be asked again.
    Withdraw(RequestId, u64),
    /// A job is accepted.
    NewJob(JobId),
    /// A job's record changed.
    JobState(JobId),
    /// A lost task of a job is about to run again; the row proves that this keeper still is one.
    Rerun(JobId, u32),
}

/// The rows that wait, and the transaction under way.
#[derive(Debug, Default)]
pub(super) struct Commits {
    items: VecDeque<CommitItem>,
    changed_jobs: BTreeSet<JobId>,
    flight: Option<Flight>,
    last_ms: Millis,
    failed_ms: Option<Millis>,
    nonces: u64,
}

#[derive(Debug)]
struct Flight {
    items: Vec<CommitItem>,
    txn: Txn,
    state: FlightState,
    /// Whether an answer was lost, so that a later refusal proves nothing.
    may_be_written: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlightState {
    Sent,
    /// The answer is missing; the same transaction is sent again.
    Again {
        at_ms: Millis,
    },
    /// It took effect; the rows are read back to see which inserts did.
    ReadBack,
}

impl Core {
    pub(super) fn next_nonce(&mut self) -> u64 {
        self.commits.nonces += 1;
        self.commits.nonces
    }

    /// Says whether new rows are accepted now.
    pub(super) fn commits_open(&self) -> bool {
        let reached = !self.table_failing() && !self.is_table_unreachable();
        reached && self.commits.items.len() < consts::MAX_COMMIT_BACKLOG_ROWS
    }

    /// Says whether a transaction of this keeper is under way.
    pub(super) fn commit_in_flight(&self) -> bool {
        self.commits.flight.is_some()
    }

    /// Says whether every row is written.
    pub(super) fn commits_settled(&self) -> bool {
        self.commits.items.is_empty() && self.commits.flight.is_none()
    }

    pub(super) fn commits_failing(&self) -> bool {
        self.table_failing() || self.leader_row().is_none()
    }

    pub(super) fn commits_failed(&mut self) {
        self.commits.failed_ms = Some(self.now_ms);
    }

    /// Says whether a write failed and no table operation has succeeded since.
    fn table_failing(&self) -> bool {
        self.commits
            .failed_ms
            .is_some_and(|at_ms| self.last_table_reply_ms <= at_ms)
    }

    pub(super) fn reset_commits(&mut self) {
        let nonces = self.commits.nonces;
        self.commits = Commits {
            nonces,
            ..Commits::default()
        };
    }

    /// Has a row written by the next transaction.
    pub(super) fn commit(&mut self, item: CommitItem) {
        if let CommitItem::JobState(job) = &item {
            if !self.commits.changed_jobs.insert(job.clone()) {
                return;
            }
        }
        self.commits.items.push_back(item);
    }

    pub(super) fn tick_commits(&mut self) {
        let now_ms = self.now_ms;
        match self.commits.flight.as_ref().map(|flight| flight.state) {
            Some(FlightState::Again { at_ms }) if at_ms <= now_ms => self.send_flight(),
            Some(_) => {}
            None if self.commits.items.is_empty() => {}
            None if now_ms.since(self.commits.last_ms) < consts::COMMIT_INTERVAL_MS => {}
            None => self.begin_flight(),
        }
    }

    fn begin_flight(&mut self) {
        let Some(row) = self.leader_row() else {
            return;
        };
        let count = self.commits.items.len().min(consts::MAX_COMMIT_ROWS);
        let items: Vec<CommitItem> = self.commits.items.drain(..count).collect();
        let mut txn = self.keeper_txn(row);
        for item in &items {
            self.add_item(&mut txn, item);
        }
        self.commits.last_ms = self.now_ms;
        self.commits.flight = Some(Flight {
            items,
            txn,
            state: FlightState::Sent,
            may_be_written: false,
        });
        self.send_flight();
    }

    fn keeper_txn(&self, row: LeaderRow) -> Txn {
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

    fn add_item(&mut self, txn: &mut Txn, item: &CommitItem) {
        match item {
            CommitItem::Intent(id, nonce) if self.is_recording(id, *nonce) => {
                let (key, row) = (Key::Intent(id.clone()), self.own_intent(*nonce));
                let with = None;
                txn.inserts.push(Insert { key, row, with });
            }
            CommitItem::Withdraw(id, nonce) => {
                let row = self.own_intent(*nonce);
                txn.deletes.push((Key::Intent(id.clone()), Some(row)));
            }
            CommitItem::NewJob(job) => txn.inserts.extend(self.new_job_insert(job)),
            CommitItem::JobState(job) => {
                self.commits.changed_jobs.remove(job);
                self.add_job(txn, job);
            }
            CommitItem::Intent(..) | CommitItem::Rerun(..) => {}
        }
    }

    fn own_intent(&self, nonce: u64) -> Row {
        Row::Intent(self.intent_row(nonce, IntentState::MayRun))
    }

    fn send_flight(&mut self) {
        let Some(flight) = &mut self.commits.flight else {
            return;
        };
        flight.state = FlightState::Sent;
        let txn = flight.txn.clone();
        self.write(PendingOp::WriteCommit, txn);
    }

    pub(super) fn commit_answered(&mut self, reply: TableReply) {
        match reply {
            TableReply::Committed { existed } => self.flight_landed(&existed),
            TableReply::Conflict { found, .. } => self.flight_conflicted(found),
            TableReply::Refused => self.flight_refused(),
            TableReply::Lost | TableReply::Rows(_) => self.flight_lost(),
        }
    }

    fn flight_lost(&mut self) {
        self.commits_failed();
        let at_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        if let Some(flight) = &mut self.commits.flight {
            flight.state = FlightState::Again { at_ms };
            flight.may_be_written = true;
        }
    }

    /// Sorts out a conflict on the keeper's row: either this very transaction took effect before
    /// and its answer was lost, or another daemon is keeper.
    fn flight_conflicted(&mut self, found: Option<Box<Row>>) {
        let Some(flight) = &mut self.commits.flight else {
            return;
        };
        let own = flight.txn.puts.first().map(|(_, row)| row);
        if found.is_none() || found.as_deref() != own {
            let term = match found.as_deref() {
                Some(Row::Leader(row)) => row.term,
                _ => crate::Term(0),
            };
            return self.step_down_fenced(term);
        }
        flight.state = FlightState::ReadBack;
        let keys = flight
            .txn
            .inserts
            .iter()
            .map(|insert| insert.key.clone())
            .collect();
        self.read(PendingOp::ReadBackCommit, Query::Many(keys));
    }

    pub(super) fn commit_read_back(&mut self, reply: TableReply) {
        let Some(flight) = &self.commits.flight else {
            return;
        };
        if flight.state != FlightState::ReadBack {
            return;
        }
        match reply {
            TableReply::Rows(rows) => self.flight_landed(&rows),
            _ => self.flight_lost(),
        }
    }

    fn flight_refused(&mut self) {
        if self
            .commits
            .flight
            .as_ref()
            .is_some_and(|flight| flight.may_be_written)
        {
            return self.flight_lost();
        }
        self.commits_failed();
        let Some(flight) = self.commits.flight.take() else {
            return;
        };
        let mut kept = VecDeque::new();
        for item in flight.items {
            match item {
                CommitItem::Intent(id, nonce) => self.intent_refused(&id, nonce),
                CommitItem::NewJob(job) => self.new_job_refused(&job),
                other => kept.push_back(other),
            }
        }
        kept.append(&mut self.commits.items);
        self.commits.items = kept;
        self.commits.last_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
    }

    fn flight_landed(&mut self, existed: &[(Key, Row)]) {
        self.commits.failed_ms = None;
        self.leader_row_advanced();
        let Some(flight) = self.commits.flight.take() else {
            return;
        };
        for item in flight.items {
            self.item_landed(item, existed);
        }
    }

    fn item_landed(&mut self, item: CommitItem, existed: &[(Key, Row)]) {
        match item {
            CommitItem::Intent(id, nonce) if self.is_recording(&id, nonce) => {
                match foreign_intent(existed, &id, self.daemon_id(), Some(nonce)) {
                    Some(row) => self.intent_existed(&id, &row),
                    None => self.intent_recorded(&id),
                }
            }
            CommitItem::NewJob(job) => {
                let (request, nonce) = match self.new_job_request(&job) {
                    Some(found) => found,
                    None => return,
                };
                match foreign_intent(existed, &request, self.daemon_id(), Some(nonce)) {
                    Some(row) => self.new_job_existed(&job, &row),
                    None => self.new_job_recorded(&job),
                }
            }
            CommitItem::JobState(job) => self.job_state_recorded(&job),
            CommitItem::Rerun(job, index) => self.rerun_allowed(&job, index),
            CommitItem::Intent(..) | CommitItem::Withdraw(..) => {}
        }
    }
}

/// Finds the row that another attempt had written for a request.
fn foreign_intent(
    existed: &[(Key, Row)],
    id: &RequestId,
    me: &crate::DaemonId,
    nonce: Option<u64>,
) -> Option<IntentRow> {
    let found = existed.iter().find_map(|(key, row)| match (key, row) {
        (Key::Intent(of), Row::Intent(row)) if of == id => Some(row),
        _ => None,
    })?;
    let own = found.writer == *me && Some(found.nonce) == nonce;
    (!own).then(|| found.clone())
}
