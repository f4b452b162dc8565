//! The waiting work of one team, as a table states it.

use crate::TeamName;
use serde::{Deserialize, Serialize};

/// The waiting work of one team, or the sum of several.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireTeamLoad", into = "WireTeamLoad")]
pub struct TeamLoad {
    /// The team; `None` for jobs without a team.
    pub team: Option<TeamName>,
    /// The team's weight, at least 1.
    pub weight: u64,
    /// The work whose result is still useful, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The part of `work` that can still end in time.
    pub in_time_work: u64,
    /// The work whose result is not useful any more.
    pub late_work: u64,
    /// The number of jobs that `work` belongs to.
    pub jobs: u64,
    /// Whether a further job of the team would be surplus, which stands with the late work.
    pub is_surplus: bool,
}

/// A load without the names of its fields, which would double the size of a heartbeat.
#[derive(Deserialize, Serialize)]
struct WireTeamLoad(Option<TeamName>, u64, u64, u64, u64, u64, bool);

impl From<WireTeamLoad> for TeamLoad {
    fn from(wire: WireTeamLoad) -> Self {
        let WireTeamLoad(team, weight, work, in_time_work, late_work, jobs, is_surplus) = wire;
        Self {
            team,
            weight,
            work,
            in_time_work,
            late_work,
            jobs,
            is_surplus,
        }
    }
}

impl From<TeamLoad> for WireTeamLoad {
    fn from(load: TeamLoad) -> Self {
        Self(
            load.team,
            load.weight,
            load.work,
            load.in_time_work,
            load.late_work,
            load.jobs,
            load.is_surplus,
        )
    }
}

impl TeamLoad {
    /// Adds another load to this one.
    pub fn add(&mut self, other: &Self) {
        self.weight = self.weight.saturating_add(other.weight);
        self.work = self.work.saturating_add(other.work);
        self.in_time_work = self.in_time_work.saturating_add(other.in_time_work);
        self.late_work = self.late_work.saturating_add(other.late_work);
        self.jobs = self.jobs.saturating_add(other.jobs);
    }
}
