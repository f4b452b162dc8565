//! Digests of keys' secrets.

use pomelotide_core::KeyDigest;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Returns the digest under which a secret stands in the configuration.
///
/// ```
/// let digest = pomelotide_wire::digest_of("press");
/// assert_eq!(digest.as_str().len(), 64);
/// ```
pub fn digest_of(secret: &str) -> KeyDigest {
    let mut hex = String::new();
    for byte in Sha256::digest(secret.as_bytes()) {
        // Writing to a string does not fail.
        let _ = write!(hex, "{byte:02x}");
    }
    KeyDigest::new(hex)
}
