//! Why a job is refused for load.

use std::fmt;

/// Why a job is refused for load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The work of its own team alone would keep the whole fleet busy for too long.
    TeamBacklog,
    /// The work of all teams exceeds the fleet.
    FleetFull,
}

impl RefusalReason {
    /// Returns the name of the reason in log events and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::TeamBacklog => "team_backlog",
            Self::FleetFull => "fleet_full",
        }
    }

    /// Returns the reason as callers see it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TeamBacklog => "the team has more work waiting than can start in time",
            Self::FleetFull => "the fleet is full",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
