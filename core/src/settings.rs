//! What a daemon knows of itself from its settings.

use crate::{DaemonId, DomainName, Millis};
use serde::{Deserialize, Serialize};

/// The part of a daemon's settings that its decisions need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoreSettings {
    /// The daemon's id, new with each start.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// How long the balancer may keep sending after a stop was asked for.
    pub drain_grace_ms: Millis,
}
