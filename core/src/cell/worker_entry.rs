//! Workers as the platform lists them.

use crate::{cell::Incarnation, Millis, Resources, WorkerId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// The service that it runs tasks for.
    pub service: CompactString,
    /// Its address, as `IP:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it is draining: it takes no new tasks.
    pub draining: bool,
    /// Its processors, memory and accelerators.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Its kind and, as the last one, its rack.
    pub labels: Vec<CompactString>,
    /// Its incarnation, if the entry has one.
    pub incarnation: Option<Incarnation>,
    /// How long its runs stay slower than usual after the entry was written.
    #[serde(default)]
    pub cold_remaining_ms: Millis,
}
