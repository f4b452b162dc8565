//! The objects that snapshots of the configuration are kept in.

use crate::{consts, Config, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Names the object that holds a snapshot; few objects take turns, so that old ones need no
/// removal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SnapshotSlot(u64);

impl SnapshotSlot {
    /// Returns the object for the snapshot of a revision.
    pub const fn of(revision: Revision) -> Self {
        Self(revision.0 / consts::SNAPSHOT_INTERVAL_REVISIONS % consts::SNAPSHOT_SLOT_COUNT)
    }
}

impl fmt::Display for SnapshotSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "config-snapshot-{}", self.0)
    }
}

/// What came of an operation on the object store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ObjectReply {
    /// The snapshot is stored.
    Stored,
    /// The snapshot that was read.
    Found(Box<Config>),
    /// There is no such object, or what it holds is no whole snapshot.
    Unusable,
    /// No answer came; a write may have taken effect.
    Lost,
}
