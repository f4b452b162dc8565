//! The bytes of an unfinished body.

/// The size of a segment. Growing one buffer for each body left the heap so fragmented that 32 MB of
/// unfinished bodies took 64 MB.
const SEGMENT_BYTES: usize = 4 * 1_024;

/// Bytes in segments of one size, which takes at most a segment more than the bytes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Segments(Vec<Vec<u8>>);

impl Segments {
    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.0.last_mut().filter(|last| last.len() < SEGMENT_BYTES) {
                Some(last) => {
                    let (now, rest) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - last.len()));
                    last.extend_from_slice(now);
                    bytes = rest;
                }
                None => self.0.push(Vec::with_capacity(SEGMENT_BYTES)),
            }
        }
    }

    /// Returns all bytes in one buffer.
    pub fn into_vec(self) -> Vec<u8> {
        self.0.concat()
    }
}
