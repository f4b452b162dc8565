//! The settings of the reducer.

use crate::{DaemonId, DomainName, Millis};
use serde::{Deserialize, Serialize};

/// The part of a daemon's settings that the reducer uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoreSettings {
    /// The daemon's id, which changes with each start.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// How long the load balancer may keep sending calls after a stop was requested.
    pub drain_grace_ms: Millis,
}
