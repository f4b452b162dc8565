//! Calls to the store and what they return.

use crate::{
    cell::{DesiredState, JobRow, Progress, RowVersion, WorkerEntry},
    Millis,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The tables that the cell uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// The desired state, written by operators.
    DesiredState,
    /// The workers, written by themselves.
    Workers,
    /// Who leads, and its lease.
    Leadership,
    /// The daemons' addresses.
    Members,
    /// Accepted jobs.
    Jobs,
    /// The progress of jobs.
    Progress,
}

/// Names a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// The table.
    pub table: Table,
    /// The partition; a transaction stays inside one.
    #[serde(rename = "part")]
    pub partition: CompactString,
    /// The key.
    pub key: CompactString,
}

impl RowKey {
    /// Names a row.
    pub fn new(table: Table, partition: &str, key: &str) -> Self {
        Self {
            table,
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// The row that says who leads.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermRow {
    /// The leader's host, or `None` where it has resigned.
    pub holder: Option<CompactString>,
    /// Tells attempts to become leader apart.
    pub nonce: u64,
    /// Counts the leaders.
    pub generation: u32,
}

/// The row by which a daemon can be dialed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// Where it accepts connections, as `IP:port`.
    pub address: CompactString,
    /// Its processor share, in thousandths of a core.
    pub cpu_milli: u64,
}

/// What a row holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RowValue {
    /// A desired state.
    DesiredState(Box<DesiredState>),
    /// A worker.
    Worker(Box<WorkerEntry>),
    /// Who leads.
    Term(TermRow),
    /// Until when the leader's lease lasts by the store's clock, where the leader knows that clock.
    Lease(Option<Millis>),
    /// Where a daemon is reached.
    Member(MemberRow),
    /// An accepted job.
    Job(Box<JobRow>),
    /// What is done of a job.
    Progress(Box<Progress>),
    /// Another writer's row that says nothing usable, with the reason.
    Unusable(CompactString),
    /// Nothing: the row was removed, or the answer leaves its value out.
    Gone,
}

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Its name.
    pub key: RowKey,
    /// The transaction that wrote it.
    pub version: RowVersion,
    /// What it holds.
    pub value: RowValue,
}

/// A transaction inside one partition.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The versions that rows must have; version 0 for a row that must not exist.
    pub expect: Vec<(RowKey, RowVersion)>,
    /// The rows to write.
    pub put: Vec<(RowKey, RowValue)>,
    /// The rows to remove.
    pub remove: Vec<RowKey>,
}

/// A call to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreCall {
    /// Writes rows, all or none.
    Write(Write),
    /// Reads the rows of a partition from a key on.
    Read {
        /// The table.
        table: Table,
        /// The partition.
        #[serde(rename = "part")]
        partition: CompactString,
        /// The first key, inclusive.
        from: CompactString,
        /// How many rows at most; 0 leaves it to the store.
        limit: u32,
    },
    /// Waits for rows that changed after a version.
    Follow {
        /// The table.
        table: Table,
        /// The version after which changes are asked for.
        after: RowVersion,
        /// How long to wait for the first change.
        wait_ms: Millis,
    },
}

/// What the store answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreReply {
    /// The transaction took effect.
    Written(RowVersion),
    /// A row did not have the version that was expected.
    Conflict(Vec<Row>),
    /// Rows, as of one version.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// Whether there are more in the partition.
        more: bool,
        /// The newest version that the answer covers.
        version: RowVersion,
        /// The store's steady clock when it answered.
        clock_ms: Option<Millis>,
    },
    /// The history after the version that was asked for is gone.
    HistoryLost,
    /// Nothing was done; the status says why.
    Refused(u16),
    /// No usable answer came; a write may have taken effect or still may.
    Lost,
}
