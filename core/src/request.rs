//! Requests of callers.

use crate::{KeyDigest, Millis, Payload, QueueName, RequestId};
use serde::{Deserialize, Serialize};

/// A request, whose caller waits for the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The caller's id of the request. A retry has the same id.
    pub id: RequestId,
    /// The digest of the key in the call.
    pub key: Option<KeyDigest>,
    /// The queue that the request enters.
    pub queue: QueueName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// How long the caller waits, counted from the arrival at the first daemon.
    pub deadline_ms: Millis,
    /// The input of the backend server.
    pub payload: Payload,
}
