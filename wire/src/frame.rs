//! CBOR frames between daemons and between a daemon and a worker.

use pomelotide_core::{Claim, DaemonId, PeerMessage, WorkerCommand};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;

/// The version of the protocol between daemons; frames of other versions are rejected.
const PEER_VERSION: u8 = 1;

/// The reason why a frame can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FrameError(String);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a frame: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

/// A message between daemons with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerFrame {
    version: u8,
    /// The sender.
    pub from: DaemonId,
    /// The message.
    pub message: PeerMessage,
}

impl PeerFrame {
    /// Creates a frame of the current version.
    pub fn new(from: DaemonId, message: PeerMessage) -> Self {
        Self {
            version: PEER_VERSION,
            from,
            message,
        }
    }

    /// Returns whether the frame has the version that this build supports.
    pub const fn has_current_version(&self) -> bool {
        self.version == PEER_VERSION
    }
}

/// A command to a worker with the claim that authorizes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerFrame {
    /// The sender's claim on the worker.
    pub claim: Claim,
    /// The command.
    pub command: WorkerCommand,
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| FrameError(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a value from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    ciborium::from_reader(bytes).map_err(|error| FrameError(error.to_string()))
}
