//! What the leader tells the daemons about the accepted work that waits.

use crate::{
    cell::admission::{PoolTable, MAX_LISTED_TEAMS},
    Millis,
};
use serde::{Deserialize, Serialize};

/// The accepted work that waits, as the leader knew it at one time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionTable {
    /// The number of the table under its leader.
    pub version: u64,
    /// When it was built, by the leader's clock.
    pub built_ms: Millis,
    /// The number of daemons that accept jobs.
    pub daemons: u64,
    /// The services with waiting work.
    pub pools: Vec<PoolTable>,
}

impl AdmissionTable {
    /// Returns the waiting work for the workers of a service.
    pub fn pool(&self, service: &str) -> Option<&PoolTable> {
        self.pools.iter().find(|pool| pool.service == service)
    }

    /// Returns the longest time after which a new job of a listed team would start.
    pub fn longest_wait_ms(&self) -> Millis {
        let waits = self.pools.iter().map(PoolTable::longest_wait_ms);
        waits.max().unwrap_or_default()
    }

    /// Keeps the teams with the most useful work, at most [`MAX_LISTED_TEAMS`], and sums the others of
    /// each service.
    pub(super) fn sum_unlisted(&mut self) {
        let loads = self.pools.iter().flat_map(|pool| &pool.teams);
        let mut works: Vec<u64> = loads.map(|load| load.work).collect();
        if works.len() <= MAX_LISTED_TEAMS {
            return;
        }
        works.sort_unstable_by(|a, b| b.cmp(a));
        let least = works[MAX_LISTED_TEAMS - 1];
        let ties = works[..MAX_LISTED_TEAMS].iter();
        let mut ties_left = ties.filter(|work| **work == least).count();
        for pool in &mut self.pools {
            for load in std::mem::take(&mut pool.teams) {
                let is_tie = load.work == least && ties_left > 0;
                ties_left -= usize::from(is_tie);
                if load.work > least || is_tie {
                    pool.teams.push(load);
                } else {
                    pool.rest.add(&load);
                }
            }
        }
    }
}
