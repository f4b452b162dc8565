//! Decides when freed memory is returned to the system.
//!
//! The allocator returns only what lies beyond the last block in use. After a crowd of clients, most of what it
//! took stays with the process, and the bounds on clients would follow memory that nothing holds.

use crate::byte_size::ByteSize;

/// The amount of freed memory that is worth a search of the whole heap.
const MIN_FREED: ByteSize = ByteSize::from_mib(8);
/// The minimum interval of such searches, which take milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;

/// What to do with freed memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreedMemory {
    /// It stays with the process.
    Keep,
    /// It is returned to the system.
    Return,
}

/// What clients have held since freed memory was last returned.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryReturn {
    most_held: ByteSize,
    returned_at_ms: Option<u64>,
}

impl MemoryReturn {
    /// Decides by what clients hold now, and whether the process takes more memory than it may.
    pub fn next(&mut self, held: ByteSize, is_short: bool, now_ms: u64) -> FreedMemory {
        self.most_held = self.most_held.max(held);
        let freed = self.most_held.beyond(held);
        let is_due = |at_ms| now_ms >= at_ms + MIN_INTERVAL_MS;
        if (freed < MIN_FREED && !is_short) || !self.returned_at_ms.is_none_or(is_due) {
            return FreedMemory::Keep;
        }
        self.most_held = held;
        self.returned_at_ms = Some(now_ms);
        FreedMemory::Return
    }
}
