//! Derives what clients may hold from the memory that their host has left.
//!
//! The bounds of a listener are fixed parts of the host's memory. They hold for a daemon that has the host to
//! itself; a leader's table may take most of it, and freed memory may not be returned to the system yet.

use crate::{byte_size::ByteSize, client_bounds::ClientBounds};

/// The part of the host's memory that is left for what the kernel holds for connections.
const KERNEL_MEMORY_DIVISOR: u64 = 5;
/// The part of the free memory that unfinished requests may take until the memory is read again.
const REQUESTS_GROWTH_DIVISOR: u64 = 2;
/// The part of the free memory that new connections may take until then.
const CONNECTIONS_GROWTH_DIVISOR: u64 = 4;

/// The memory of a host and what a connection takes of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBounds {
    /// What the process may take in all.
    ceiling: ByteSize,
    /// What a connection takes without its unfinished request.
    connection: ByteSize,
    /// What clients may hold however much memory the rest of the process takes.
    least: ClientBounds,
    /// What clients may hold at most.
    most: ClientBounds,
}

impl MemoryBounds {
    /// Creates the bounds of a listener on a host with this memory.
    pub const fn new(
        host: ByteSize,
        connection: ByteSize,
        least: ClientBounds,
        most: ClientBounds,
    ) -> Self {
        Self {
            ceiling: ByteSize(host.0 - host.0 / KERNEL_MEMORY_DIVISOR),
            connection,
            least,
            most,
        }
    }

    /// Returns what clients may hold whatever else the process holds.
    pub const fn least(&self) -> ClientBounds {
        self.least
    }

    /// Returns what clients may hold at most.
    pub const fn most(&self) -> ClientBounds {
        self.most
    }

    /// Returns an estimate of the memory that clients take.
    pub const fn estimate(&self, held: ClientBounds) -> ByteSize {
        ByteSize(held.connections as u64 * self.connection.0 + held.unfinished_bytes)
    }

    /// Returns whether the process takes more than it may.
    pub fn is_short(&self, resident: ByteSize) -> bool {
        resident > self.ceiling
    }

    /// Returns what clients may hold while the process has this much resident memory, of which they hold
    /// `held`: more by a part of the free memory, or less by what the process takes too much.
    pub fn at(&self, resident: ByteSize, held: ClientBounds) -> ClientBounds {
        let free = self.ceiling.beyond(resident);
        let excess = resident.beyond(self.ceiling);
        let connections_of = |size: ByteSize| (size.0 / self.connection.0) as usize;
        let more_connections = connections_of(ByteSize(free.0 / CONNECTIONS_GROWTH_DIVISOR));
        let connections =
            (held.connections + more_connections).saturating_sub(connections_of(excess));
        let more_bytes = free.0 / REQUESTS_GROWTH_DIVISOR;
        let unfinished_bytes = (held.unfinished_bytes + more_bytes).saturating_sub(excess.0);
        ClientBounds {
            connections: connections.clamp(self.least.connections, self.most.connections),
            unfinished_bytes: unfinished_bytes
                .clamp(self.least.unfinished_bytes, self.most.unfinished_bytes),
        }
    }
}
