//! Rows of the platform's table and the transactions on them.

use crate::{DaemonId, DomainName, JobId, JobRow, Millis, Note, NoteId, RequestId, Revision, Term};
use serde::{Deserialize, Serialize};

/// Names a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The configuration's latest revision.
    ConfigHead,
    /// The note that made a revision.
    Delta(Revision),
    /// Where the latest snapshot of the configuration is.
    Snapshot,
    /// A daemon.
    Member(DaemonId),
    /// The daemon that keeps a failure domain's workers.
    #[serde(rename = "Keeper")]
    Leader(DomainName),
    /// A job that is not over.
    Job(JobId),
    /// A job that is over.
    DoneJob(JobId),
    /// The record that a request was about to run.
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
    /// The revision of the snapshot before it; no later note is ever trimmed.
    pub previous: Revision,
    /// The revision up to which the notes' rows are trimmed.
    pub trimmed: Revision,
}

/// A daemon with the address at which its peers reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// Counts the writes of this row.
    pub beat: u64,
}

/// The daemon that keeps a failure domain's workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its term.
    pub term: Term,
    /// Counts the keeper's transactions, so that a delayed one can't take effect out of order.
    pub seq: u64,
}

/// What a request's row says of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum IntentState {
    /// It may run or may have run.
    MayRun,
    /// It became a job.
    Job(JobId),
}

/// The record that a request was about to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentRow {
    /// What is known.
    pub state: IntentState,
    /// The daemon that wrote it.
    pub writer: DaemonId,
    /// The daemon's count of such rows, by which it knows its own again.
    pub nonce: u64,
    /// How long the table keeps the row.
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

/// Demands a row's content before a transaction may take effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row.
    pub key: Key,
    /// Its demanded content; `None` for a row that must be absent.
    pub row: Option<Row>,
}

/// Rows that are inserted together, or not at all where the first of them exists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Insert {
    /// The row that must be absent.
    pub key: Key,
    /// Its content.
    pub row: Row,
    /// A second row that goes with it.
    pub with: Option<Box<(Key, Row)>>,
}

/// A transaction: when all checks hold, all puts and the possible inserts take effect at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// What must hold.
    pub checks: Vec<Check>,
    /// Rows to write over whatever is there.
    pub puts: Vec<(Key, Row)>,
    /// Rows to write only where none is.
    pub inserts: Vec<Insert>,
    /// Rows to remove, where a content is given only if it matches.
    pub deletes: Vec<(Key, Option<Row>)>,
}

impl Txn {
    /// Returns the number of rows that the transaction writes at most.
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
    /// The notes of all revisions above one.
    DeltasAfter(Revision),
    /// All daemons.
    Members,
    /// The jobs of a failure domain that are not over, in the order of their ids, above one.
    JobsAfter(DomainName, Option<JobId>),
}

/// What came of a table operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableReply {
    /// The transaction took effect, but for the inserts whose row existed.
    Committed {
        /// The existing rows.
        existed: Vec<(Key, Row)>,
    },
    /// A check failed; nothing was written.
    Conflict {
        /// The row at fault.
        key: Key,
        /// Its content.
        found: Option<Box<Row>>,
    },
    /// The rows that were read.
    Rows(Vec<(Key, Row)>),
    /// The operation was turned away; nothing was written.
    Refused,
    /// No answer came; a write may have taken effect.
    Lost,
}
