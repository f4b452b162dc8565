//! What the platform lists of a worker.

use crate::{cell::Incarnation, Resources, WorkerId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A listed worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// The service that it runs tasks for.
    pub service: CompactString,
    /// Where it is called, as `IP:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its processors, memory and accelerators.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<CompactString>,
    /// Its life, where the entry says it.
    pub incarnation: Option<Incarnation>,
}
