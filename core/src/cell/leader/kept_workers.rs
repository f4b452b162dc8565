//! Whole workers that are kept free for gangs which find no room otherwise.

use crate::cell::{
    leader::{fleet::WorkerIx, Leader},
    StepKey,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of gangs for which workers are kept free at the same time.
const MAX_GANGS: usize = 2;

/// The workers that are kept free, each for one gang; other steps are not placed on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptWorkers {
    by_worker: BTreeMap<WorkerIx, StepKey>,
    by_gang: BTreeMap<StepKey, Vec<WorkerIx>>,
}

impl KeptWorkers {
    /// Returns the gang for which a worker is kept free.
    pub(crate) fn keeper(&self, ix: WorkerIx) -> Option<&StepKey> {
        self.by_worker.get(&ix)
    }

    /// Returns the gangs for which workers are kept free.
    pub(crate) fn gangs(&self) -> Vec<StepKey> {
        self.by_gang.keys().cloned().collect()
    }

    /// Returns the gangs for which one of `workers` is kept free.
    pub(crate) fn gangs_on(&self, workers: &BTreeSet<WorkerIx>) -> Vec<StepKey> {
        let kept = self.by_gang.iter();
        let on_any = kept.filter(|(_, own)| own.iter().any(|ix| workers.contains(ix)));
        on_any.map(|(key, _)| key.clone()).collect()
    }

    fn contains(&self, key: &StepKey) -> bool {
        self.by_gang.contains_key(key)
    }

    /// Keeps other workers free for a gang than before; returns those that it no longer needs.
    fn replace(&mut self, key: &StepKey, workers: Vec<WorkerIx>) -> Vec<WorkerIx> {
        let mut released = self.by_gang.remove(key).unwrap_or_default();
        for ix in &released {
            self.by_worker.remove(ix);
        }
        released.retain(|ix| !workers.contains(ix));
        for &ix in &workers {
            self.by_worker.insert(ix, key.clone());
        }
        if !workers.is_empty() {
            self.by_gang.insert(key.clone(), workers);
        }
        released
    }
}

impl Leader {
    /// Returns whether workers may be kept free for a gang; a less urgent gang gives its own up for it.
    pub(crate) fn may_keep_workers(&mut self, key: &StepKey) -> bool {
        if self.kept_workers.contains(key) {
            return true;
        }
        let gangs = self.kept_workers.gangs();
        if gangs.len() < MAX_GANGS {
            return true;
        }
        // Gangs that are no longer pending come last.
        let order = |gang: &StepKey| (!self.pending.contains(gang), self.pending.order(gang));
        let Some(last) = gangs.into_iter().max_by_key(order) else {
            return true;
        };
        if order(key) >= order(&last) {
            return false;
        }
        self.release_kept_workers(&last);
        true
    }

    /// Keeps workers free for a gang, in place of those that were kept for it before.
    pub(crate) fn keep_workers(&mut self, key: &StepKey, workers: Vec<WorkerIx>) {
        for ix in self.kept_workers.replace(key, workers) {
            self.fleet.add_freed(ix);
        }
    }

    /// Gives up the workers that are kept free for a gang.
    pub(crate) fn release_kept_workers(&mut self, key: &StepKey) {
        if self.kept_workers.contains(key) {
            self.keep_workers(key, Vec::new());
        }
    }
}
