//! Decides which connections are closed so that unfinished requests and connections stay within bounds.
//!
//! It holds plain data and does no I/O. A connection is closed only while no request of it has been passed
//! on, so that closing it always means "not run".

use crate::client_bounds::ClientBounds;
use std::{collections::BTreeMap, fmt};

/// The part of the bytes that is freed beyond what is needed.
const ROOM_DIVISOR: u64 = 16;

/// How long a connection has to bring a request before it may be closed for another one: more than a round trip
/// between failure domains. A shorter time would close callers that have just connected for those behind them.
const MIN_WAIT_MS: u64 = 100;
/// The most connections that are being closed while others are admitted.
const MAX_CLOSING: usize = 32;

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
    /// The process holds too much memory.
    Memory,
    /// The body arrives too slowly.
    SlowBody,
}

impl BudgetLimits {
    /// Returns the bounds on what connections hold.
    pub const fn bounds(&self) -> ClientBounds {
        ClientBounds {
            connections: self.connections,
            unfinished_bytes: self.unfinished_bytes,
        }
    }
}

impl ShedReason {
    /// Returns the name in the log and the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Connections => "connections",
            Self::HeadTimeout => "head_timeout",
            Self::Idle => "idle",
            Self::Memory => "memory",
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
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// No part of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head is complete.
    Body,
    /// The request is complete and waits until it may be passed on.
    Complete,
    /// The request was passed on and is not answered.
    PassedOn,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    since_ms: u64,
    last_byte_ms: u64,
    bytes: u64,
    /// Whether a request of it was passed on and answered.
    served: bool,
}

/// The connections of one listener and the bytes of their unfinished requests.
#[derive(Debug)]
pub struct ClientBudget {
    limits: BudgetLimits,
    /// The bounds at present; those of the limits unless memory is short.
    bounds: ClientBounds,
    connections: BTreeMap<ConnectionId, Connection>,
    served: usize,
    passed_on: usize,
    bytes: u64,
    /// The bytes of connections that are being closed and still hold their memory.
    closing: BTreeMap<ConnectionId, u64>,
    closing_bytes: u64,
    last_id: u64,
}

impl ClientBudget {
    /// Creates a budget without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            bounds: limits.bounds(),
            connections: BTreeMap::new(),
            served: 0,
            passed_on: 0,
            bytes: 0,
            closing: BTreeMap::new(),
            closing_bytes: 0,
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

    /// Returns what the connections hold.
    pub fn held(&self) -> ClientBounds {
        ClientBounds {
            connections: self.connections.len(),
            unfinished_bytes: self.bytes,
        }
    }

    /// Returns whether one more connection exceeds the bounds.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.bounds.connections
    }

    /// Returns whether three quarters of the connections that may be open are. Those that are answered should end
    /// then, so that others get in.
    pub fn is_crowded(&self) -> bool {
        self.connections.len() * 4 >= self.bounds.connections * 3
    }

    /// Returns whether half of the connections that may be open have a request that was passed on. One more has
    /// to wait, so that new connections find one that can be closed for them.
    pub fn passes_on_many(&self) -> bool {
        self.passed_on >= (self.bounds.connections / 2).max(1)
    }

    /// Returns whether these bytes exceed the bounds.
    pub fn exceeds(&self, bytes: u64) -> bool {
        self.bytes + bytes > self.bounds.unfinished_bytes
    }

    /// Sets the bounds, and removes and returns the connections that exceed them.
    pub fn set_bounds(&mut self, bounds: ClientBounds, now_ms: u64) -> Vec<ConnectionId> {
        self.bounds = bounds;
        let mut closed = Vec::new();
        while self.connections.len() > bounds.connections {
            let Some(id) = self.oldest(Phase::Complete, 0, now_ms) else {
                break;
            };
            self.shed(id);
            closed.push(id);
        }
        closed.extend(self.shed_beyond(bounds.unfinished_bytes, now_ms));
        closed
    }

    /// Removes and returns connections until the unfinished requests have room for several reads. Each of them
    /// holds its memory until it runs again, and the others wait for that.
    pub fn make_room(&mut self, now_ms: u64) -> Vec<ConnectionId> {
        let most_bytes = self.bounds.unfinished_bytes;
        self.shed_beyond(most_bytes - most_bytes / ROOM_DIVISOR, now_ms)
    }

    fn shed_beyond(&mut self, most_bytes: u64, now_ms: u64) -> Vec<ConnectionId> {
        let mut closed = Vec::new();
        while self.bytes > most_bytes {
            let Some(id) = self.largest(now_ms) else {
                break;
            };
            self.shed(id);
            closed.push(id);
        }
        closed
    }

    /// Returns whether so many connections are being closed that no other one should be admitted before they
    /// have run.
    pub fn is_closing_many(&self) -> bool {
        self.closing.len() >= MAX_CLOSING
    }

    /// Returns whether these bytes may be received now: not beyond the bounds while connections that are being
    /// closed still hold their memory.
    pub fn may_receive(&self, bytes: u64) -> bool {
        self.closing.is_empty()
            || self.bytes + self.closing_bytes + bytes <= self.bounds.unfinished_bytes
    }

    /// Admits a connection. At the limit, the one that has waited longest is closed, idle or unfinished; not one
    /// whose request is complete, since it may be that of an ordinary caller.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        let closed = if self.is_full() {
            let Some(id) = self.oldest(Phase::Body, MIN_WAIT_MS, now_ms) else {
                return Admission::Refuse;
            };
            self.shed(id);
            Some(id)
        } else {
            None
        };
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            phase: Phase::Idle,
            since_ms: now_ms,
            last_byte_ms: now_ms,
            bytes: 0,
            served: false,
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
        if !self.exceeds(0) {
            return None;
        }
        let shed = self.largest(now_ms)?;
        self.shed(shed);
        Some(shed)
    }

    /// Returns the connection that has waited longest, up to this phase and at least for this time. Those that were
    /// never served come first, unless the others take more than half of the connections.
    fn oldest(&self, last_phase: Phase, min_wait_ms: u64, now_ms: u64) -> Option<ConnectionId> {
        let spares_served = self.served * 2 <= self.bounds.connections;
        let open = self.connections.iter();
        let open = open.filter(|(_, connection)| {
            connection.phase <= last_phase && now_ms >= connection.since_ms + min_wait_ms
        });
        let oldest = open.min_by_key(|(id, connection)| {
            (
                spares_served && connection.served,
                connection.since_ms,
                **id,
            )
        });
        oldest.map(|(id, _)| *id)
    }

    /// Returns the connection whose unfinished bytes times their age are largest.
    fn largest(&self, now_ms: u64) -> Option<ConnectionId> {
        let unfinished = self.connections.iter();
        let unfinished = unfinished
            .filter(|(_, connection)| connection.phase != Phase::PassedOn && connection.bytes > 0);
        let weight = |connection: &Connection| {
            let age_ms = now_ms.saturating_sub(connection.since_ms) + 1;
            connection.bytes.saturating_mul(age_ms)
        };
        let largest = unfinished.max_by_key(|(_, connection)| weight(connection));
        largest.map(|(id, _)| *id)
    }

    /// Records that the head of a request is complete.
    pub fn end_head(&mut self, id: ConnectionId, now_ms: u64) {
        self.set_phase(id, Phase::Body, now_ms);
    }

    /// Records that a request is complete and waits until it may be passed on.
    pub fn complete(&mut self, id: ConnectionId, now_ms: u64) {
        self.set_phase(id, Phase::Complete, now_ms);
    }

    /// Records that a request is passed on. Returns whether it may be: not if its connection was closed.
    pub fn pass_on(&mut self, id: ConnectionId, now_ms: u64) -> bool {
        self.set_phase(id, Phase::PassedOn, now_ms);
        self.connections.contains_key(&id)
    }

    /// Records that a request is answered, so that its bytes are freed.
    pub fn answer(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.bytes -= std::mem::take(&mut connection.bytes);
            if connection.phase == Phase::PassedOn && !connection.served {
                connection.served = true;
                self.served += 1;
            }
        }
        self.set_phase(id, Phase::Idle, now_ms);
    }

    /// Removes a connection that holds no memory any more.
    pub fn close(&mut self, id: ConnectionId) {
        self.shed(id);
        if let Some(bytes) = self.closing.remove(&id) {
            self.closing_bytes -= bytes;
        }
    }

    /// Removes a connection that is to be closed.
    fn shed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.bytes -= connection.bytes;
            self.served -= usize::from(connection.served);
            self.passed_on -= usize::from(connection.phase == Phase::PassedOn);
            self.closing.insert(id, connection.bytes);
            self.closing_bytes += connection.bytes;
        }
    }

    /// Removes and returns the connections that exceed a timeout or stay below the minimum rate.
    pub fn close_overdue(&mut self, now_ms: u64) -> Vec<(ConnectionId, ShedReason)> {
        let limits = self.limits;
        let connections = self.connections.iter();
        let overdue: Vec<_> = connections
            .filter_map(|(id, connection)| Some((*id, connection.overdue(&limits, now_ms)?)))
            .collect();
        overdue.iter().for_each(|(id, _)| self.shed(*id));
        overdue
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.passed_on -= usize::from(connection.phase == Phase::PassedOn);
            self.passed_on += usize::from(phase == Phase::PassedOn);
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
            Phase::Body | Phase::Complete | Phase::PassedOn => None,
        }
    }
}
