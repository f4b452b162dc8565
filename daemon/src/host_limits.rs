//! The bounds of a daemon's listeners, derived from its host's memory and descriptors.

use crate::{
    byte_size::ByteSize, client_bounds::ClientBounds, client_budget::BudgetLimits,
    memory_bounds::MemoryBounds,
};
use pomelotide_core::cell::RequestLimits;

/// The descriptors reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The memory of a connection without its unfinished request: 10 KB and the read buffer of 8 KB in the
/// process, and the receive buffer in the kernel.
const CONNECTION: ByteSize = ByteSize(32 * 1_024);
/// The part of the memory that connections may take.
const CONNECTIONS_MEMORY_DIVISOR: u64 = 5;
/// The part of the memory that unfinished requests may take: 20 of 120 MB.
const REQUESTS_MEMORY_DIVISOR: u64 = 6;
/// What clients may hold however much memory the rest of the process takes.
const LEAST_CLIENT_BOUNDS: ClientBounds = ClientBounds {
    connections: 128,
    unfinished_bytes: 2 << 20,
};
/// The minimum rate of a body that takes longer than the idle timeout.
const MIN_BODY_BYTES_PER_S: u64 = 1_000;
/// The connections of a listener for readiness checks, metrics or peers; a cell has about 30 daemons.
const MAX_SMALL_LISTENER_CONNECTIONS: usize = 64;
/// The bytes of unfinished requests to the readiness or metrics listener.
const MAX_SMALL_LISTENER_BYTES: u64 = 1 << 20;
/// The bytes of unfinished messages of peers.
const MAX_PEER_BYTES: u64 = 16 << 20;
/// The time that a message of a peer may take.
const PEER_MESSAGE_TIMEOUT_MS: u64 = 30_000;
/// The time without a message after which a peer's connection is closed; leaders send heartbeats every
/// 400 ms.
const PEER_IDLE_TIMEOUT_MS: u64 = 60_000;

/// The memory and the descriptors of the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLimits {
    /// The memory of the host, in MB.
    pub memory_mb: u64,
    /// The file descriptors of the process.
    pub max_fds: u64,
}

impl Default for HostLimits {
    /// Returns the limits of the smallest host.
    fn default() -> Self {
        Self {
            memory_mb: 120,
            max_fds: 3_075,
        }
    }
}

impl HostLimits {
    /// Returns the bounds of the listener for clients.
    pub fn clients(self) -> BudgetLimits {
        let memory_bytes = self.memory_mb << 20;
        let by_descriptors = self.max_fds.saturating_sub(FILE_DESCRIPTORS) / 2;
        let by_memory = memory_bytes / CONNECTIONS_MEMORY_DIVISOR / CONNECTION.0;
        BudgetLimits {
            connections: by_descriptors.min(by_memory) as usize,
            unfinished_bytes: memory_bytes / REQUESTS_MEMORY_DIVISOR,
            ..http_limits()
        }
    }

    /// Returns how the bounds of the listener for clients follow the memory of the process.
    pub(crate) fn client_memory(self) -> MemoryBounds {
        let host = ByteSize::from_mib(self.memory_mb);
        MemoryBounds::new(
            host,
            CONNECTION,
            LEAST_CLIENT_BOUNDS,
            self.clients().bounds(),
        )
    }

    /// Returns the bounds of the listeners for readiness checks and metrics.
    pub(crate) fn small_listener() -> BudgetLimits {
        BudgetLimits {
            connections: MAX_SMALL_LISTENER_CONNECTIONS,
            unfinished_bytes: MAX_SMALL_LISTENER_BYTES,
            ..http_limits()
        }
    }

    /// Returns the bounds of the listener for other daemons.
    pub(crate) fn peers() -> BudgetLimits {
        BudgetLimits {
            connections: MAX_SMALL_LISTENER_CONNECTIONS,
            unfinished_bytes: MAX_PEER_BYTES,
            head_timeout_ms: PEER_MESSAGE_TIMEOUT_MS,
            idle_timeout_ms: PEER_IDLE_TIMEOUT_MS,
            min_body_bytes_per_s: MIN_BODY_BYTES_PER_S,
        }
    }
}

fn http_limits() -> BudgetLimits {
    let limits = RequestLimits::default();
    BudgetLimits {
        connections: 0,
        unfinished_bytes: 0,
        head_timeout_ms: limits.head_timeout_ms.0,
        idle_timeout_ms: limits.idle_timeout_ms.0,
        min_body_bytes_per_s: MIN_BODY_BYTES_PER_S,
    }
}
