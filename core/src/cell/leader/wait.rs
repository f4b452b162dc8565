//! What a pending step that can't start waits for.

use crate::{cell::leader::fleet::WorkerIx, Millis, TeamName};
use compact_str::CompactString;

/// The workers of a service, or those of them with one label.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Pool {
    pub(crate) service: CompactString,
    pub(crate) label: Option<CompactString>,
}

/// The workers on which a step waits for room.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomWait {
    /// The processors that one task needs, in thousandths of a core.
    pub(crate) cpu_milli: u64,
    /// The workers that it is known to be allowed on.
    pub(crate) workers: Vec<WorkerIx>,
    /// The workers on which it might be allowed too.
    pub(crate) pool: Option<Pool>,
}

/// What a step waits for.
#[derive(Clone, Debug)]
pub(crate) enum Wait {
    /// The limit of its team allows more: at least these thousandths of a core.
    Team(TeamName, u64),
    /// A worker has room.
    Room(RoomWait),
    /// Several workers have room for a large gang.
    GangRoom,
    /// A call for advice is answered.
    Advice,
    /// A time is reached.
    Until(Millis),
    /// Something else changes, which no event tells; the step is examined in its turn.
    Other,
}

impl Wait {
    /// Returns the name by which it is logged.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Team(..) => "team_limit",
            Self::Room(_) => "room",
            Self::GangRoom => "gang_room",
            Self::Advice => "advice",
            Self::Until(_) => "time",
            Self::Other => "other",
        }
    }
}
