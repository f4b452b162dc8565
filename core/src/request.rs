//! Requests of callers.

use crate::{KeyDigest, Millis, Payload, QueueName, RequestId};
use serde::{Deserialize, Serialize};

/// A request whose answer the caller waits for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The caller's id of the request; a retry shows it again.
    pub id: RequestId,
    /// The digest of the key that came with the request.
    pub key: Option<KeyDigest>,
    /// The queue that the request enters.
    pub queue: QueueName,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How long the caller waits, from the arrival at the first daemon.
    pub deadline_ms: Millis,
    /// What the backend server is given.
    pub payload: Payload,
}
