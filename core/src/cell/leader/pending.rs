//! The steps of which a task may start, in the order in which they should.
//!
//! The load: more work than the fleet holds. Whatever can still end in time goes first, by its latest
//! start. Of the rest, late work and the surplus of teams beyond their share, the smallest goes first:
//! many callers with small questions are answered in the room that one large job takes.

use crate::cell::StepKey;
use std::collections::{BTreeMap, BTreeSet};

/// What decides when a step's turn comes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// The latest time at which it can start and its job still end in time, in milliseconds.
    pub latest_start_ms: u64,
    /// The latest time at which it can start and its job still be of use.
    pub useful_start_ms: u64,
    /// The estimated work of its whole job, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// The waiting steps.
#[derive(Clone, Debug, Default)]
pub struct PendingSteps {
    by_start: BTreeSet<(u64, StepKey)>,
    ranks: BTreeMap<StepKey, Rank>,
}

impl PendingSteps {
    /// Adds a step; says whether it is new.
    pub fn insert(&mut self, key: &StepKey, rank: Rank) -> bool {
        match self.ranks.insert(key.clone(), rank) {
            Some(before) if before.latest_start_ms == rank.latest_start_ms => false,
            before => {
                if let Some(before) = before {
                    self.by_start.remove(&(before.latest_start_ms, key.clone()));
                }
                self.by_start.insert((rank.latest_start_ms, key.clone()));
                before.is_none()
            }
        }
    }

    /// Removes a step.
    pub fn remove(&mut self, key: &StepKey) {
        if let Some(before) = self.ranks.remove(key) {
            self.by_start.remove(&(before.latest_start_ms, key.clone()));
        }
    }

    /// Says whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Returns up to `most` steps with their latest starts: those that can still end in time by that;
    /// then those of use, the smallest first; then those that come too late, the least late first.
    pub fn in_order(&self, now_ms: u64, most: usize) -> Vec<(u64, StepKey)> {
        let first = StepKey {
            job: crate::JobId::new(""),
            occurrence: 0,
            step: 0,
        };
        let bound = (now_ms, first);
        let in_time = self.by_start.range(bound.clone()..).take(most);
        let mut steps: Vec<(u64, StepKey)> = in_time.cloned().collect();
        let late = self.by_start.range(..bound).rev().take(most - steps.len());
        let mut late: Vec<&(u64, StepKey)> = late.collect();
        late.sort_by_cached_key(|(latest_ms, key)| self.late_order(now_ms, *latest_ms, key));
        steps.extend(late.into_iter().cloned());
        steps
    }

    /// Returns where a step stands among those that can't end in time.
    fn late_order(&self, now_ms: u64, latest_start_ms: u64, key: &StepKey) -> (bool, u64) {
        let rank = self.ranks.get(key).copied().unwrap_or_default();
        let useless = rank.useful_start_ms < now_ms;
        let lateness_ms = now_ms.saturating_sub(latest_start_ms);
        (useless, if useless { lateness_ms } else { rank.work })
    }
}
