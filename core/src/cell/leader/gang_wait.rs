//! Reasons for which a scheduling pass leaves a gang unplaced.

use std::fmt::{Display, Formatter, Result};

/// Why a scheduling pass did not place a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GangWait {
    /// Its team may not run that many more tasks.
    TeamLimit,
    /// The workers known to be allowed have too little free room.
    NoRoom,
    /// Room is reserved, but tickets for some of its workers are missing or have expired.
    Tickets,
}

impl Display for GangWait {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::TeamLimit => "team_limit",
            Self::NoRoom => "no_room",
            Self::Tickets => "tickets",
        })
    }
}
