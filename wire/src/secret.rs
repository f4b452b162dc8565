//! Digests of keys' secrets.

use pomelotide_core::KeyDigest;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Returns the digest under which a secret stands in the configuration.
///
/// ```
/// let digest = pomelotide_wire::secret_digest("press");
/// assert_eq!(digest.as_str().len(), 64);
/// ```
pub fn secret_digest(secret: &str) -> KeyDigest {
    let mut hex = String::new();
    for byte in Sha256::digest(secret.as_bytes()) {
        // Writing to a string does not fail.
        let _ = write!(hex, "{byte:02x}");
    }
    KeyDigest::new(hex)
}
