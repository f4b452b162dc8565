//! Decides which connections are closed so that unfinished requests and connections stay within bounds.
//!
//! It holds plain data and does no I/O. A connection is closed only while no request of it has been passed
//! on, so that closing it always means "not run".

use std::{collections::BTreeMap, fmt};

/// The number of a connection, in the order of their arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// The number of connections.
    pub connections: usize,
    /// The bytes of all unfinished requests, as received, with the overhead of chunks.
    pub unfinished_bytes: u64,
    /// The time that the head of a request may take.
    pub head_timeout_ms: u64,
    /// The time for which a connection may be idle, or a body may bring nothing.
    pub idle_timeout_ms: u64,
    /// The rate that a body must keep on average once it has taken longer than `idle_timeout_ms`.
    pub min_body_bytes_per_s: u64,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShedReason {
    /// The unfinished requests exceed their budget.
    Bytes,
    /// There are too many connections.
    Connections,
    /// The head takes too long.
    HeadTimeout,
    /// The connection brings nothing.
    Idle,
    /// The body arrives too slowly.
    SlowBody,
}

impl ShedReason {
    /// Returns the name in the log and the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Connections => "connections",
            Self::HeadTimeout => "head_timeout",
            Self::Idle => "idle",
            Self::SlowBody => "slow_body",
        }
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is served.
    Admit(ConnectionId),
    /// It is served once the other one is closed.
    AdmitAndClose(ConnectionId, ConnectionId),
    /// It is closed: all others have a request that was passed on.
    Refuse,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No part of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head is complete.
    Body,
    /// The request was passed on and is not answered.
    PassedOn,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    since_ms: u64,
    last_byte_ms: u64,
    bytes: u64,
}

/// The connections of one listener and the bytes of their unfinished requests.
#[derive(Debug)]
pub struct ClientBudget {
    limits: BudgetLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    bytes: u64,
    last_id: u64,
}

impl ClientBudget {
    /// Creates a budget without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            bytes: 0,
            last_id: 0,
        }
    }

    /// Sets the timeouts of the desired state.
    pub fn set_timeouts(&mut self, head_timeout_ms: u64, idle_timeout_ms: u64) {
        self.limits.head_timeout_ms = head_timeout_ms;
        self.limits.idle_timeout_ms = idle_timeout_ms;
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes of unfinished requests.
    pub fn unfinished_bytes(&self) -> u64 {
        self.bytes
    }

    /// Admits a connection. At the limit, the one that has waited longest is closed, idle or unfinished.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        let closed = if self.connections.len() < self.limits.connections {
            None
        } else {
            let open = self.connections.iter();
            let open = open.filter(|(_, connection)| connection.phase != Phase::PassedOn);
            let oldest = open.min_by_key(|(id, connection)| (connection.since_ms, **id));
            let Some((&id, _)) = oldest else {
                return Admission::Refuse;
            };
            self.close(id);
            Some(id)
        };
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            phase: Phase::Idle,
            since_ms: now_ms,
            last_byte_ms: now_ms,
            bytes: 0,
        };
        self.connections.insert(id, connection);
        closed.map_or(Admission::Admit(id), |closed| {
            Admission::AdmitAndClose(id, closed)
        })
    }

    /// Counts received bytes and returns the connection to close if the budget is exceeded: the one whose
    /// bytes times their age are largest, so that a request that has just begun is kept.
    pub fn receive(&mut self, id: ConnectionId, bytes: u64, now_ms: u64) -> Option<ConnectionId> {
        let connection = self.connections.get_mut(&id)?;
        if connection.phase == Phase::Idle {
            connection.phase = Phase::Head;
            connection.since_ms = now_ms;
        }
        connection.last_byte_ms = now_ms;
        connection.bytes += bytes;
        self.bytes += bytes;
        if self.bytes <= self.limits.unfinished_bytes {
            return None;
        }
        let unfinished = self.connections.iter();
        let unfinished = unfinished
            .filter(|(_, connection)| connection.phase != Phase::PassedOn && connection.bytes > 0);
        let weight = |connection: &Connection| {
            let age_ms = now_ms.saturating_sub(connection.since_ms) + 1;
            connection.bytes.saturating_mul(age_ms)
        };
        let largest = unfinished.max_by_key(|(_, connection)| weight(connection));
        let shed = largest.map(|(id, _)| *id)?;
        self.close(shed);
        Some(shed)
    }

    /// Records that the head of a request is complete.
    pub fn end_head(&mut self, id: ConnectionId, now_ms: u64) {
        self.set_phase(id, Phase::Body, now_ms);
    }

    /// Records that a request is passed on. Returns whether it may be: not if its connection was closed.
    pub fn pass_on(&mut self, id: ConnectionId, now_ms: u64) -> bool {
        self.set_phase(id, Phase::PassedOn, now_ms);
        self.connections.contains_key(&id)
    }

    /// Records that a request is answered, so that its bytes are freed.
    pub fn answer(&mut self, id: ConnectionId, now_ms: u64) {
        self.set_phase(id, Phase::Idle, now_ms);
        if let Some(connection) = self.connections.get_mut(&id) {
            self.bytes -= std::mem::take(&mut connection.bytes);
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.bytes -= connection.bytes;
        }
    }

    /// Removes and returns the connections that exceed a timeout or stay below the minimum rate.
    pub fn close_overdue(&mut self, now_ms: u64) -> Vec<(ConnectionId, ShedReason)> {
        let limits = self.limits;
        let connections = self.connections.iter();
        let overdue: Vec<_> = connections
            .filter_map(|(id, connection)| Some((*id, connection.overdue(&limits, now_ms)?)))
            .collect();
        overdue.iter().for_each(|(id, _)| self.close(*id));
        overdue
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since_ms = now_ms;
            connection.last_byte_ms = now_ms;
        }
    }
}

impl Connection {
    fn overdue(&self, limits: &BudgetLimits, now_ms: u64) -> Option<ShedReason> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let silent_ms = now_ms.saturating_sub(self.last_byte_ms);
        match self.phase {
            Phase::Idle => (age_ms > limits.idle_timeout_ms).then_some(ShedReason::Idle),
            Phase::Head => (age_ms > limits.head_timeout_ms).then_some(ShedReason::HeadTimeout),
            Phase::Body if silent_ms > limits.idle_timeout_ms => Some(ShedReason::Idle),
            Phase::Body if age_ms > limits.idle_timeout_ms => {
                let due = limits.min_body_bytes_per_s.saturating_mul(age_ms) / 1_000;
                (self.bytes < due).then_some(ShedReason::SlowBody)
            }
            Phase::Body | Phase::PassedOn => None,
        }
    }
}
