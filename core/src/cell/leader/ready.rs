//! The steps of which a task may start, in the order of their latest start.

use crate::cell::StepKey;
use std::collections::{BTreeMap, BTreeSet};

/// Waiting steps by the latest time at which they can start and still end in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ready {
    by_start: BTreeSet<(u64, StepKey)>,
    starts: BTreeMap<StepKey, u64>,
}

impl Ready {
    /// Adds a step; says whether it is new.
    pub(crate) fn insert(&mut self, key: &StepKey, latest_start_ms: u64) -> bool {
        match self.starts.insert(key.clone(), latest_start_ms) {
            Some(before) if before == latest_start_ms => false,
            before => {
                if let Some(before) = before {
                    self.by_start.remove(&(before, key.clone()));
                }
                self.by_start.insert((latest_start_ms, key.clone()));
                before.is_none()
            }
        }
    }

    pub(crate) fn remove(&mut self, key: &StepKey) {
        if let Some(before) = self.starts.remove(key) {
            self.by_start.remove(&(before, key.clone()));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Returns up to `most` steps: those that can still end in time by their latest start, then
    /// those that can't, the least late first.
    pub(crate) fn in_order(&self, now_ms: u64, most: usize) -> Vec<(u64, StepKey)> {
        let first = StepKey {
            job: crate::JobId::new(""),
            occurrence: 0,
            step: 0,
        };
        let bound = (now_ms, first);
        let in_time = self.by_start.range(bound.clone()..);
        let late = self.by_start.range(..bound).rev();
        in_time.chain(late).take(most).cloned().collect()
    }
}
