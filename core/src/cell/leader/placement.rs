//! Choosing workers for tasks: pure functions over the room of the fleet.

use crate::{cell::leader::fleet::WorkerIx, Resources};

/// A worker that may run a step, with the room that is free on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) ix: WorkerIx,
    pub(crate) free: Resources,
    /// How many more tasks of the step it may run by the step's own limit.
    pub(crate) left: u32,
    /// What speaks against it; smaller is better and goes before the fit.
    pub(crate) penalty: u32,
    /// Its rack, for gangs that are slower on more than one.
    pub(crate) rack: u32,
}

impl Candidate {
    fn copies(&self, need: &Resources) -> u64 {
        need.count_in(&self.free).min(u64::from(self.left))
    }

    /// Takes the room of one task.
    pub(crate) fn take(&mut self, need: &Resources) {
        self.free = self.free.minus(*need);
        self.left = self.left.saturating_sub(1);
    }
}

/// Chooses the worker that one task leaves the least processors free on, so that large tasks and
/// gangs find whole workers.
pub(crate) fn best_fit(candidates: &[Candidate], need: &Resources) -> Option<usize> {
    let fits = |own: &&(usize, &Candidate)| own.1.copies(need) > 0;
    let indexed: Vec<(usize, &Candidate)> = candidates.iter().enumerate().collect();
    let best = indexed
        .iter()
        .filter(fits)
        .min_by_key(|(_, own)| (own.penalty, own.free.cpu_milli - need.cpu_milli, own.ix));
    best.map(|(at, _)| *at)
}

/// Chooses a worker for each of `count` tasks that start together, on as few workers as it takes;
/// with `one_rack`, inside the rack that holds them all if there is one.
pub(crate) fn place_gang(
    candidates: &[Candidate],
    need: &Resources,
    count: u32,
    one_rack: bool,
) -> Option<Vec<WorkerIx>> {
    if one_rack {
        let mut racks: Vec<u32> = candidates.iter().map(|own| own.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        for rack in racks {
            let inside = candidates.iter().filter(|own| own.rack == rack);
            let inside: Vec<&Candidate> = inside.collect();
            if let Some(places) = fill(inside, need, count) {
                return Some(places);
            }
        }
    }
    fill(candidates.iter().collect(), need, count)
}

fn fill(mut candidates: Vec<&Candidate>, need: &Resources, count: u32) -> Option<Vec<WorkerIx>> {
    // Workers that the gang fills to the brim come first, then those that hold most of it.
    let waste = |own: &Candidate| {
        let copies = own.copies(need);
        own.free.cpu_milli - copies * need.cpu_milli
    };
    candidates.retain(|own| own.copies(need) > 0);
    candidates.sort_by_key(|own| (own.penalty, waste(own), own.ix));
    let mut places = Vec::with_capacity(count as usize);
    for own in candidates {
        let left = u64::from(count) - places.len() as u64;
        let copies = own.copies(need).min(left);
        places.extend(std::iter::repeat_n(own.ix, copies as usize));
        if places.len() as u64 == u64::from(count) {
            return Some(places);
        }
    }
    None
}
