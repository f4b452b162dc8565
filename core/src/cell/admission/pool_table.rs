//! The waiting work for the workers of one service, and when new work would start on them.

use crate::{cell::admission::TeamLoad, Millis, TeamName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The waiting work for the workers of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolTable {
    /// The service.
    pub service: CompactString,
    /// The processors of its usable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// The teams with waiting work.
    pub teams: Vec<TeamLoad>,
    /// The sum of the teams that are not listed.
    #[serde(default)]
    pub rest: TeamLoad,
}

impl PoolTable {
    pub(super) fn new(service: CompactString, capacity_milli: u64, teams: Vec<TeamLoad>) -> Self {
        let rest = TeamLoad::default();
        Self {
            service,
            capacity_milli,
            teams,
            rest,
        }
    }

    /// Returns the load of a team, if it is listed.
    pub fn load(&self, team: Option<&TeamName>) -> Option<&TeamLoad> {
        self.teams.iter().find(|load| load.team.as_ref() == team)
    }

    /// Returns after which time a new job of a team would start behind all useful work: when the team's
    /// work is done, given weighted max-min shares of the capacity. `added` is work of the team that the
    /// table does not contain.
    pub fn expected_start_ms(&self, team: Option<&TeamName>, weight: u64, added: u64) -> Millis {
        self.wait_ms(team, weight, added, |load| load.work)
    }

    /// Returns after which time a new job of a team would start behind the work that can end in time.
    pub fn in_time_start_ms(&self, team: Option<&TeamName>, weight: u64, added: u64) -> Millis {
        self.wait_ms(team, weight, added, |load| load.in_time_work)
    }

    /// Returns the longest time after which a new job of a listed team would start: that of the team whose
    /// work is done last.
    pub fn longest_wait_ms(&self) -> Millis {
        let loads = self.teams.iter().chain(std::iter::once(&self.rest));
        let works = loads.map(|load| load.work);
        let total = works.fold(0, u64::saturating_add);
        Millis(total.checked_div(self.capacity_milli).unwrap_or(0))
    }

    fn wait_ms(
        &self,
        team: Option<&TeamName>,
        weight: u64,
        added: u64,
        work: impl Fn(&TeamLoad) -> u64,
    ) -> Millis {
        let weight = u128::from(weight.max(1));
        let ahead = u128::from(self.load(team).map_or(0, &work).saturating_add(added));
        // A team with weight v has done min(its work, ahead * v / weight) when this team's is done.
        let done_by_then = |load: &TeamLoad| {
            let fair = ahead.saturating_mul(u128::from(load.weight)) / weight;
            fair.min(u128::from(work(load)))
        };
        let others = self.teams.iter().filter(|load| load.team.as_ref() != team);
        let others = others.chain(std::iter::once(&self.rest)).map(done_by_then);
        let total = others.fold(ahead, u128::saturating_add);
        let wait_ms = match self.capacity_milli {
            0 => 0,
            capacity_milli => total / u128::from(capacity_milli),
        };
        Millis(u64::try_from(wait_ms).unwrap_or(u64::MAX))
    }

    /// Returns the share of the capacity that a team gets while it has waiting work, in thousandths of a
    /// core, if no other team's work ends before its own.
    pub fn share_milli(&self, team: Option<&TeamName>, weight: u64) -> u64 {
        let others = self.teams.iter().filter(|load| load.team.as_ref() != team);
        let waiting = others.chain(std::iter::once(&self.rest));
        let waiting = waiting.filter(|load| load.work > 0);
        let weights = waiting.map(|load| u128::from(load.weight)).sum::<u128>();
        let weight = u128::from(weight.max(1));
        let share = u128::from(self.capacity_milli) * weight / (weights + weight);
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}
