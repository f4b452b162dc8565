//! Steps with a task that may start now, in scheduling order.
//!
//! While there is more work than the fleet has room for, steps that can still end in time come
//! first, by their latest start. The rest is late work and the surplus of teams beyond their share.
//! Of these, steps whose result is still useful come first, the smallest job before larger ones, so
//! that many callers with small jobs are served in the room of one large job; the others follow,
//! the least late first.

use crate::cell::StepKey;
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// What determines the position of a step in scheduling order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// The latest start with which its job can still end in time, in milliseconds.
    pub latest_start_ms: u64,
    /// The latest start with which the result of its job is still useful, in milliseconds.
    pub useful_start_ms: u64,
    /// The estimated work of the whole job, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// The pending steps.
#[derive(Clone, Debug, Default)]
pub struct PendingSteps {
    by_start: BTreeSet<(u64, StepKey)>,
    ranks: BTreeMap<StepKey, Rank>,
}

impl PendingSteps {
    /// Adds a step or updates its rank; returns whether the step is new.
    pub fn insert(&mut self, key: &StepKey, rank: Rank) -> bool {
        match self.ranks.insert(key.clone(), rank) {
            Some(previous) if previous.latest_start_ms == rank.latest_start_ms => false,
            previous => {
                if let Some(previous) = previous {
                    self.by_start
                        .remove(&(previous.latest_start_ms, key.clone()));
                }
                self.by_start.insert((rank.latest_start_ms, key.clone()));
                previous.is_none()
            }
        }
    }

    /// Removes a step.
    pub fn remove(&mut self, key: &StepKey) {
        if let Some(previous) = self.ranks.remove(key) {
            self.by_start
                .remove(&(previous.latest_start_ms, key.clone()));
        }
    }

    /// Returns whether a step is pending.
    pub fn contains(&self, key: &StepKey) -> bool {
        self.ranks.contains_key(key)
    }

    /// Returns the latest start of a pending step.
    pub fn latest_start_ms(&self, key: &StepKey) -> Option<u64> {
        self.ranks.get(key).map(|rank| rank.latest_start_ms)
    }

    /// Returns whether no step is pending.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Returns up to `max_count` steps with their latest starts: first those that can still end in
    /// time, by latest start; then those that are still useful, the smallest first; then the
    /// others, the least late first.
    pub fn in_order(&self, now_ms: u64, max_count: usize) -> Vec<(u64, StepKey)> {
        let first = StepKey {
            job: crate::JobId::new(""),
            occurrence: 0,
            step: 0,
        };
        let bound = (now_ms, first);
        let in_time = self.by_start.range(bound.clone()..).take(max_count);
        let mut steps: Vec<(u64, StepKey)> = in_time.cloned().collect();
        let late = self
            .by_start
            .range(..bound)
            .rev()
            .take(max_count - steps.len());
        let mut late: Vec<&(u64, StepKey)> = late.collect();
        late.sort_by_cached_key(|(latest_ms, key)| self.late_order(now_ms, *latest_ms, key));
        steps.extend(late.into_iter().cloned());
        steps
    }

    /// Returns up to `max_count` steps with their latest starts, in a cycle through all steps that
    /// continues behind `previous`.
    pub fn in_turn(
        &self,
        previous: Option<(u64, StepKey)>,
        max_count: usize,
    ) -> Vec<(u64, StepKey)> {
        let Some(previous) = previous else {
            return self.by_start.iter().take(max_count).cloned().collect();
        };
        let behind = (Bound::Excluded(&previous), Bound::Unbounded);
        let behind = self.by_start.range::<(u64, StepKey), _>(behind);
        let cycle = behind.chain(self.by_start.range(..=&previous));
        cycle.take(max_count).cloned().collect()
    }

    /// Returns the sort key of a step among those that can't end in time.
    fn late_order(&self, now_ms: u64, latest_start_ms: u64, key: &StepKey) -> (bool, u64) {
        let rank = self.ranks.get(key).copied().unwrap_or_default();
        let useless = rank.useful_start_ms < now_ms;
        let lateness_ms = now_ms.saturating_sub(latest_start_ms);
        (useless, if useless { lateness_ms } else { rank.work })
    }
}
