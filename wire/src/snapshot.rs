//! Format of the configuration snapshots in the object store.

use crate::WireError;
use pomelotide_core::Config;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};

/// The version of the format; snapshots of other versions are rejected.
const FORMAT_VERSION: u32 = 1;

/// The encoded configuration with the version of its format and its checksum.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireSnapshot {
    version: u32,
    sha256: ByteBuf,
    config: ByteBuf,
}

/// Encodes a snapshot.
///
/// ```
/// use pomelotide_core::Config;
/// use pomelotide_wire::{decode_snapshot, encode_snapshot};
/// let bytes = encode_snapshot(&Config::default()).unwrap();
/// assert_eq!(decode_snapshot(&bytes), Ok(Config::default()));
/// ```
pub fn encode_snapshot(config: &Config) -> Result<Vec<u8>, WireError> {
    let config = to_cbor(config)?;
    let sha256 = Sha256::digest(&config).to_vec();
    to_cbor(&WireSnapshot {
        version: FORMAT_VERSION,
        sha256: ByteBuf::from(sha256),
        config: ByteBuf::from(config),
    })
}

/// Decodes a snapshot; returns an error if it is damaged or has another version.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Config, WireError> {
    let envelope: WireSnapshot = from_cbor(bytes)?;
    if envelope.version != FORMAT_VERSION {
        let version = envelope.version;
        return Err(WireError::new(format!(
            "unsupported snapshot version {version}"
        )));
    }
    if Sha256::digest(&envelope.config).as_slice() != envelope.sha256.as_slice() {
        return Err(WireError::new("snapshot checksum does not match"));
    }
    from_cbor(&envelope.config)
}

fn to_cbor<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| WireError::new(error.to_string()))?;
    Ok(bytes)
}

fn from_cbor<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::new(error.to_string()))
}
