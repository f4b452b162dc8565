//! Rows of the platform's table, and transactions and queries on them.

use crate::{DaemonId, DomainName, JobId, JobRow, Millis, Note, NoteId, RequestId, Revision, Term};
use serde::{Deserialize, Serialize};

/// The key of a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The configuration's latest revision.
    ConfigHead,
    /// The release note that made a revision.
    Delta(Revision),
    /// The snapshots of the configuration.
    Snapshot,
    /// The membership row of a daemon.
    Member(DaemonId),
    /// The leader of a failure domain.
    #[serde(rename = "Keeper")]
    Leader(DomainName),
    /// A job that has not ended.
    Job(JobId),
    /// A job that has ended.
    DoneJob(JobId),
    /// The record that a request may run or that a submission became a job.
    Intent(RequestId),
}

/// The configuration's latest revision, and the note that made it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The revision.
    pub revision: Revision,
    /// The note that made it.
    pub note: NoteId,
}

/// The snapshots of the configuration that the object store holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRow {
    /// The revision of the latest snapshot.
    pub latest: Revision,
    /// The revision of the snapshot before it. Notes of later revisions are not trimmed.
    pub previous: Revision,
    /// The revision up to which the rows of notes are trimmed.
    pub trimmed: Revision,
}

/// The membership row of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// The number of writes of this row, which shows that the daemon is still running.
    #[serde(rename = "beat")]
    pub writes: u64,
}

/// The leader of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its term.
    pub term: Term,
    /// The number of the leader's transactions. Each transaction checks and increments it, so that
    /// a delayed one can't take effect out of order.
    pub seq: u64,
}

/// The recorded state of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum IntentState {
    /// It may be running or have run.
    MayRun,
    /// It is a submission, which became the given job.
    Job(JobId),
}

/// The record that a request may run, written before it runs, or that a submission became a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentRow {
    /// The state.
    pub state: IntentState,
    /// The daemon that wrote the row.
    pub writer: DaemonId,
    /// The daemon's number of this row, by which it recognizes its own rows.
    pub nonce: u64,
    /// How long the row stays in the table.
    pub ttl_ms: Millis,
}

/// The content of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Row {
    /// See [`HeadRow`].
    Head(HeadRow),
    /// See [`Note`].
    Delta(Note),
    /// See [`SnapshotRow`].
    Snapshot(SnapshotRow),
    /// See [`MemberRow`].
    Member(MemberRow),
    /// See [`LeaderRow`].
    #[serde(rename = "Keeper")]
    Leader(LeaderRow),
    /// See [`JobRow`].
    Job(JobRow),
    /// See [`IntentRow`].
    Intent(IntentRow),
}

/// A condition on a row's content, under which a transaction takes effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row.
    pub key: Key,
    /// The required content; `None` if the row must be absent.
    pub row: Option<Row>,
}

/// Rows that are inserted together, unless the first of them exists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Insert {
    /// The row that must be absent.
    pub key: Key,
    /// Its content.
    pub row: Row,
    /// A second row, which is inserted with the first.
    #[serde(rename = "with")]
    pub second: Option<Box<(Key, Row)>>,
}

/// A transaction. If all checks hold, its puts, deletes and those inserts whose rows are absent
/// take effect atomically.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// The conditions.
    pub checks: Vec<Check>,
    /// Rows to write, whether or not they exist.
    pub puts: Vec<(Key, Row)>,
    /// Rows to write if they are absent.
    pub inserts: Vec<Insert>,
    /// Rows to remove; if a content is given, only if the row has that content.
    pub deletes: Vec<(Key, Option<Row>)>,
}

impl Txn {
    /// Returns the number of puts, inserts and deletes.
    pub fn rows(&self) -> usize {
        self.puts.len() + self.inserts.len() + self.deletes.len()
    }
}

/// A read of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// One row.
    One(Key),
    /// Several rows.
    Many(Vec<Key>),
    /// The notes of all revisions after the given one.
    DeltasAfter(Revision),
    /// All membership rows.
    Members,
    /// A failure domain's jobs that have not ended, ordered by id, after the given id.
    JobsAfter(DomainName, Option<JobId>),
}

/// The result of a table operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableReply {
    /// The transaction took effect, except for inserts whose row existed.
    Committed {
        /// The existing rows.
        existed: Vec<(Key, Row)>,
    },
    /// A check failed; nothing was written.
    Conflict {
        /// The row whose check failed.
        key: Key,
        /// Its content.
        found: Option<Box<Row>>,
    },
    /// The rows that were read.
    Rows(Vec<(Key, Row)>),
    /// The table refused the operation; nothing was written.
    Refused,
    /// No answer arrived; a write may have taken effect.
    Lost,
}
