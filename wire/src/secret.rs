//! Digests of the secrets of keys.

use pomelotide_core::KeyDigest;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Returns the digest that the configuration stores for a secret.
///
/// ```
/// let digest = pomelotide_wire::secret_digest("press");
/// assert_eq!(digest.as_str().len(), 64);
/// ```
pub fn secret_digest(secret: &str) -> KeyDigest {
    let mut hex = String::new();
    for byte in Sha256::digest(secret.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
    }
    KeyDigest::new(hex)
}
