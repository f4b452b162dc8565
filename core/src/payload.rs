//! Opaque bytes of callers and backend servers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The body of a request or an answer, which the system does not interpret.
#[derive(Clone, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Payload(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.0.len())
    }
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}
