//! CBOR frames between daemons and between a daemon and a worker.

use pomelotide_core::{Claim, DaemonId, PeerMessage, WorkerCommand};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;

/// The version of the protocol between daemons.
const PEER_VERSION: u8 = 1;

/// Says why bytes are not a frame.
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
    /// Makes a frame of the current version.
    pub fn new(from: DaemonId, message: PeerMessage) -> Self {
        Self {
            version: PEER_VERSION,
            from,
            message,
        }
    }

    /// Says whether this build understands the frame's version.
    pub const fn has_current_version(&self) -> bool {
        self.version == PEER_VERSION
    }
}

/// A command to a worker with the right that it is given under.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerFrame {
    /// The right.
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
