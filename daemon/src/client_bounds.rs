//! What the clients of a listener hold.

/// What the connections of a listener hold, or may hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientBounds {
    /// The number of connections.
    pub connections: usize,
    /// The bytes of all unfinished requests.
    pub unfinished_bytes: u64,
}

impl ClientBounds {
    /// Returns whether what connections hold is within these bounds.
    pub const fn covers(&self, held: Self) -> bool {
        held.connections <= self.connections && held.unfinished_bytes <= self.unfinished_bytes
    }
}
