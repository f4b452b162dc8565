//! Selection of workers for tasks, as pure functions of the free room.

use crate::{
    cell::{consts, leader::fleet::WorkerIx},
    Resources,
};
use std::collections::BTreeSet;

/// A worker that may run a step, with its free room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) ix: WorkerIx,
    pub(crate) free: Resources,
    /// How many more tasks of the step it may run by the step's limit per worker.
    pub(crate) tasks_left: u32,
    /// The penalty of choosing it; a lower penalty takes precedence over a better fit.
    pub(crate) penalty: u32,
    /// A number for its rack, for gangs that run slower on more than one rack.
    pub(crate) rack: u32,
}

impl Candidate {
    fn capacity(&self, need: &Resources) -> u64 {
        need.count_in(&self.free).min(u64::from(self.tasks_left))
    }

    /// Subtracts the room of one task.
    pub(crate) fn occupy(&mut self, need: &Resources) {
        self.free = self.free.minus(*need);
        self.tasks_left = self.tasks_left.saturating_sub(1);
    }
}

/// Returns the index of the candidate with the fewest processors left after the task, so that whole
/// workers stay free for large tasks and gangs.
pub(crate) fn best_fit(candidates: &[Candidate], need: &Resources) -> Option<usize> {
    let fits = |candidate: &&(usize, &Candidate)| candidate.1.capacity(need) > 0;
    let indexed: Vec<(usize, &Candidate)> = candidates.iter().enumerate().collect();
    let best = indexed.iter().filter(fits).min_by_key(|(_, candidate)| {
        (
            candidate.penalty,
            candidate.free.cpu_milli - need.cpu_milli,
            candidate.ix,
        )
    });
    best.map(|(at, _)| *at)
}

/// A gang's call for tickets names one spare worker for every this many places.
const SPARE_DIVISOR: usize = 4;

/// Returns workers that could replace some of `places`, those with the lowest penalty first, as many
/// as fit into one call with the places.
pub(crate) fn spare_workers(candidates: &[Candidate], places: &[WorkerIx]) -> Vec<WorkerIx> {
    let taken: BTreeSet<WorkerIx> = places.iter().copied().collect();
    let mut spares: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !taken.contains(&candidate.ix))
        .collect();
    spares.sort_by_key(|candidate| (candidate.penalty, candidate.ix));
    let left = consts::MAX_ADVICE_WORKERS.saturating_sub(taken.len());
    let count = taken.len().div_ceil(SPARE_DIVISOR).min(left);
    let spares = spares.into_iter().take(count);
    spares.map(|candidate| candidate.ix).collect()
}

/// Returns the number of racks of `places`.
pub(crate) fn rack_count(candidates: &[Candidate], places: &[WorkerIx]) -> usize {
    let placed = candidates
        .iter()
        .filter(|candidate| places.contains(&candidate.ix));
    let racks: BTreeSet<u32> = placed.map(|candidate| candidate.rack).collect();
    racks.len()
}

/// Chooses a worker for each of `count` tasks that start together. With `same_rack`, all are placed
/// in one rack if any rack has room for them.
pub(crate) fn fit_gang(
    candidates: &[Candidate],
    need: &Resources,
    count: u32,
    same_rack: bool,
) -> Option<Vec<WorkerIx>> {
    if same_rack {
        let mut racks: Vec<u32> = candidates.iter().map(|candidate| candidate.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        for rack in racks {
            let in_rack = candidates.iter().filter(|candidate| candidate.rack == rack);
            let in_rack: Vec<&Candidate> = in_rack.collect();
            if let Some(places) = fill_workers(in_rack, need, count) {
                return Some(places);
            }
        }
    }
    fill_workers(candidates.iter().collect(), need, count)
}

/// Assigns tasks to one worker after another until each is full, and returns `None` if there is no
/// room for all tasks.
fn fill_workers(
    mut candidates: Vec<&Candidate>,
    need: &Resources,
    count: u32,
) -> Option<Vec<WorkerIx>> {
    // Workers on which the gang leaves the fewest processors unused come first.
    let unused_cpu_milli = |candidate: &Candidate| {
        let capacity = candidate.capacity(need);
        candidate.free.cpu_milli - capacity * need.cpu_milli
    };
    candidates.retain(|candidate| candidate.capacity(need) > 0);
    candidates
        .sort_by_key(|candidate| (candidate.penalty, unused_cpu_milli(candidate), candidate.ix));
    let mut places = Vec::with_capacity(count as usize);
    for candidate in candidates {
        let missing = u64::from(count) - places.len() as u64;
        let capacity = candidate.capacity(need).min(missing);
        places.extend(std::iter::repeat_n(candidate.ix, capacity as usize));
        if places.len() as u64 == u64::from(count) {
            return Some(places);
        }
    }
    None
}
