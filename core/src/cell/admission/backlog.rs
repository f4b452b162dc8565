//! The accepted work that waits, for each service and team.

use crate::{
    cell::admission::{AdmissionTable, PoolTable, TeamBacklog, TeamLoad, WaitingJob},
    Millis, TeamName,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The waiting work of one service by team.
type Teams = BTreeMap<Option<TeamName>, TeamBacklog>;

/// The accepted work that waits. It is updated whenever a job's waiting work changes, at a cost that does
/// not depend on the number of jobs.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    services: BTreeMap<CompactString, Teams>,
    last_version: u64,
    operations: u64,
}

impl Backlog {
    /// Replaces a job's contribution.
    pub fn replace(&mut self, old: &WaitingJob, new: &WaitingJob) {
        if old == new {
            return;
        }
        self.operations += 1;
        self.remove(old);
        if new.work > 0 {
            let teams = self.services.entry(new.service.clone()).or_default();
            let team = teams.entry(new.team.clone()).or_default();
            team.add(new);
        }
    }

    fn remove(&mut self, job: &WaitingJob) {
        if job.work == 0 {
            return;
        }
        let Some(teams) = self.services.get_mut(&job.service) else {
            return;
        };
        if let Some(team) = teams.get_mut(&job.team) {
            team.remove(job);
            if team.all().jobs == 0 {
                teams.remove(&job.team);
            }
        }
        if teams.is_empty() {
            self.services.remove(&job.service);
        }
    }

    /// Returns how many changes were made so far, how many loads were put into tables, and how many
    /// intervals became late.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// Returns all waiting work, late work included, in thousandths of a core times milliseconds.
    pub fn total_work(&self) -> u64 {
        let teams = self.services.values().flat_map(BTreeMap::values);
        let works = teams.map(|team| team.all().work);
        works.fold(0, u64::saturating_add)
    }

    /// Returns the table for the next heartbeat. `capacities` holds the usable processors of each
    /// service's workers, in thousandths of a core, and `share` returns the weight of a team
    /// and whether a further job of it would exceed its rate. Services
    /// without waiting work are left out.
    pub fn table(
        &mut self,
        now: Millis,
        daemons: u64,
        capacities: &BTreeMap<CompactString, u64>,
        share: impl Fn(Option<&TeamName>) -> (u64, bool),
    ) -> AdmissionTable {
        self.last_version += 1;
        let mut pools = Vec::new();
        for (service, teams) in &mut self.services {
            let mut loads = Vec::new();
            for (name, team) in teams {
                self.operations += 1 + team.advance(now);
                let (weight, is_surplus) = share(name.as_ref());
                let useful = team.useful();
                loads.push(TeamLoad {
                    team: name.clone(),
                    weight: weight.max(1),
                    work: useful.work,
                    in_time_work: team.in_time().work,
                    late_work: team.all().work.saturating_sub(useful.work),
                    jobs: useful.jobs,
                    is_surplus,
                });
            }
            let capacity_milli = capacities.get(service).copied().unwrap_or(0);
            pools.push(PoolTable::new(service.clone(), capacity_milli, loads));
        }
        let mut table = AdmissionTable {
            version: self.last_version,
            built_ms: now,
            daemons,
            pools,
        };
        table.sum_unlisted();
        table
    }
}
