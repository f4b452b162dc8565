//! Requests for advice that are not sent yet, all with short calls or all with long ones, and which of them is
//! next.
//!
//! A request whose step holds room goes first, so that the room is not held for long. Of the others, those
//! for steps that can still end in time go first, then the least late ones. From time to time it is the turn
//! of the one that was made first: however many come after a request, its wait ends.

use crate::{cell::QueryId, Millis};
use std::collections::BTreeSet;

/// While requests for steps in time wait, one call in this many is for the request that was made first.
const TURN_INTERVAL: u32 = 8;
/// While only requests for late steps wait, one call in this many is for the one that was made first.
const TURN_INTERVAL_LATE: u32 = 2;

/// What decides when a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WaitingCall {
    pub(crate) id: QueryId,
    /// The latest time at which the step can start and still end in time.
    pub(crate) latest_start_ms: u64,
    pub(crate) requested_at: Millis,
    pub(crate) room: Room,
}

/// Whether room is held for the step of a request while the request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Room {
    Free,
    Held,
}

/// Why a request is next, in ascending order of what may wait for it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum CallReason {
    HoldsRoom,
    MadeFirst,
    Urgency,
}

/// The requests of one length that are not sent yet.
#[derive(Debug, Default)]
pub(crate) struct WaitingCalls {
    holding_room: BTreeSet<(Millis, QueryId)>,
    by_age: BTreeSet<(Millis, QueryId)>,
    by_start: BTreeSet<(u64, QueryId)>,
    /// How many calls were sent since the last turn of the request that was made first.
    sent_since_turn: u32,
}

impl WaitingCalls {
    pub(crate) fn len(&self) -> usize {
        self.by_start.len()
    }

    pub(crate) fn insert(&mut self, call: WaitingCall) {
        let by_age = (call.requested_at, call.id);
        if call.room == Room::Held {
            self.holding_room.insert(by_age);
        }
        self.by_age.insert(by_age);
        self.by_start.insert((call.latest_start_ms, call.id));
    }

    pub(crate) fn remove(&mut self, call: WaitingCall) {
        let by_age = (call.requested_at, call.id);
        self.holding_room.remove(&by_age);
        self.by_age.remove(&by_age);
        self.by_start.remove(&(call.latest_start_ms, call.id));
    }

    /// Returns when the oldest request was made.
    pub(crate) fn oldest_since(&self) -> Option<Millis> {
        self.by_age.first().map(|(requested_at, _)| *requested_at)
    }

    /// Returns the next request and why it is the next.
    pub(crate) fn next(&self, now: Millis) -> Option<(CallReason, QueryId)> {
        if let Some((_, id)) = self.holding_room.first() {
            return Some((CallReason::HoldsRoom, *id));
        }
        let bound = (now.0, QueryId(0));
        let in_time = self.by_start.range(bound..).next();
        let interval = match in_time {
            Some(_) => TURN_INTERVAL,
            None => TURN_INTERVAL_LATE,
        };
        if self.sent_since_turn + 1 >= interval {
            let first = self.by_age.first();
            return first.map(|(_, id)| (CallReason::MadeFirst, *id));
        }
        let least_late = || self.by_start.range(..bound).next_back();
        let (_, id) = in_time.or_else(least_late)?;
        Some((CallReason::Urgency, *id))
    }

    /// Notes that a call was sent, and why.
    pub(crate) fn note_sent(&mut self, reason: CallReason) {
        self.sent_since_turn = match reason {
            CallReason::MadeFirst => 0,
            CallReason::HoldsRoom | CallReason::Urgency => self.sent_since_turn.saturating_add(1),
        };
    }
}
