//! Calls to the store and its answers.

use crate::{
    cell::{DesiredState, JobRow, Progress, RowVersion, Withdrawal, WorkerEntry},
    Millis,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The tables of the store that a cell uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// The desired state, written by operators.
    DesiredState,
    /// The failure domains in which nothing may start, written by operators; read and followed together
    /// with the desired state.
    DomainDrains,
    /// The workers; each writes its own entry.
    Workers,
    /// The leader and its lease.
    Leadership,
    /// The daemons' addresses.
    Members,
    /// Accepted jobs, and cancellations that came before the record of their job.
    Jobs,
    /// The progress of jobs.
    Progress,
}

/// Identifies a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// The table.
    pub table: Table,
    /// The partition; a transaction can't span several.
    #[serde(rename = "part")]
    pub partition: CompactString,
    /// The key in the partition.
    pub key: CompactString,
}

impl RowKey {
    /// Creates the key of a row.
    pub fn new(table: Table, partition: &str, key: &str) -> Self {
        Self {
            table,
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// The row that names the leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermRow {
    /// The leader's host, or `None` if the leader has resigned.
    pub holder: Option<CompactString>,
    /// Distinguishes attempts to become leader.
    pub nonce: u64,
    /// The number of leaders so far.
    pub generation: u32,
}

/// The row with which a daemon registers as a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// The address at which it accepts connections, as `IP:port`.
    pub address: CompactString,
    /// Its processor share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The rate of its host's link; `None` if it is unknown and in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_kbps: Option<u64>,
}

/// The value of a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RowValue {
    /// A desired state.
    DesiredState(Box<DesiredState>),
    /// A request to drain the failure domain that the key names.
    DomainDrain,
    /// A worker.
    Worker(Box<WorkerEntry>),
    /// The current term: who leads, or that the leader has resigned.
    Term(TermRow),
    /// When the leader's lease ends by the store's clock, if the leader can estimate that clock.
    Lease(Option<Millis>),
    /// A registered daemon.
    Member(MemberRow),
    /// An accepted job.
    Job(Box<JobRow>),
    /// No job, but a cancellation that came first, in the place of the job.
    Withdrawn(Box<Withdrawal>),
    /// The progress of a job.
    Progress(Box<Progress>),
    /// A row of another writer that can't be parsed; holds the reason.
    Unusable(CompactString),
    /// No value: the row was removed, or the answer omits its value.
    Gone,
}

/// A row as read from the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version of the transaction that wrote it.
    pub version: RowVersion,
    /// The row's value.
    pub value: RowValue,
}

/// A transaction in one partition.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The versions that rows must have; 0 for a row that must not exist.
    pub expect: Vec<(RowKey, RowVersion)>,
    /// The rows to write.
    pub put: Vec<(RowKey, RowValue)>,
    /// The rows to remove.
    pub remove: Vec<RowKey>,
}

/// A call to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreCall {
    /// Writes and removes rows atomically.
    Write(Write),
    /// Reads rows of a partition in key order.
    Read {
        /// The table.
        table: Table,
        /// The partition.
        #[serde(rename = "part")]
        partition: CompactString,
        /// The first key, inclusive.
        from: CompactString,
        /// The maximum number of rows; 0 for the store's default.
        limit: u32,
    },
    /// Reads the rows that changed after a version, and waits for a change if there is none.
    Follow {
        /// The table.
        table: Table,
        /// The version after which changes are returned.
        after: RowVersion,
        /// How long to wait for the first change.
        wait_ms: Millis,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreReply {
    /// The transaction was committed, with this version.
    Written(RowVersion),
    /// A row did not have the expected version; holds the current rows.
    Conflict(Vec<Row>),
    /// The rows that were read.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// Whether the partition has more rows.
        more: bool,
        /// The newest version that the answer covers.
        version: RowVersion,
        /// The store's monotonic clock at the time of the answer.
        clock_ms: Option<Millis>,
    },
    /// The changes after the given version are no longer available.
    HistoryLost,
    /// The call was not carried out; holds the HTTP status.
    Refused(u16),
    /// There was no usable answer; a write may have been committed, or may be later.
    Lost,
}
