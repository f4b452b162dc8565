//! The objects that hold snapshots of the configuration.

use crate::{consts, Config, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of the object that holds a snapshot. Snapshots overwrite a fixed number of objects in
/// turn, so old ones need not be deleted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SnapshotSlot(u64);

impl SnapshotSlot {
    /// Returns the slot for the snapshot of a revision.
    pub const fn of(revision: Revision) -> Self {
        Self(revision.0 / consts::SNAPSHOT_INTERVAL_REVISIONS % consts::SNAPSHOT_SLOT_COUNT)
    }
}

impl fmt::Display for SnapshotSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "config-snapshot-{}", self.0)
    }
}

/// The result of an operation on the object store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ObjectReply {
    /// The snapshot was stored.
    Stored,
    /// The snapshot that was read.
    Found(Box<Config>),
    /// The object does not exist or does not contain a complete snapshot.
    Unusable,
    /// No answer arrived; a write may have taken effect.
    Lost,
}
