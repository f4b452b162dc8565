//! The room on which tasks start once their tickets arrive.
//!
//! A call for tickets may wait for others. Its step holds no room before the call is sent, so that room is
//! held for the time of a call at most, however many steps wait.

use crate::cell::{
    leader::{fleet::WorkerIx, Leader},
    StepKey,
};
use std::collections::BTreeSet;

/// The workers on which tasks of a step start once the requested tickets arrive, one for each task.
#[derive(Clone, Debug, Default)]
pub(crate) struct AwaitedPlaces {
    pub(crate) workers: Vec<WorkerIx>,
    /// Whether their room is reserved.
    is_reserved: bool,
}

/// Whether the call for the tickets of awaited places is still worth sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RoomCheck {
    /// The room is reserved, or none is awaited.
    Reserved,
    /// Others have taken the room.
    Taken,
}

impl Leader {
    /// Notes where tasks of a step start once their tickets arrive.
    pub(crate) fn await_places(&mut self, key: &StepKey, workers: Vec<WorkerIx>) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.steps[usize::from(key.step)].awaited = AwaitedPlaces {
                workers,
                is_reserved: false,
            };
        }
    }

    /// Reserves the room on a step's awaited places, because the call for their tickets is about to be sent:
    /// for a gang all of it or none, for single tasks as much as is left.
    pub(crate) fn reserve_awaited(&mut self, key: &StepKey) -> RoomCheck {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return RoomCheck::Reserved;
        };
        let spec = &job.row.submission.steps[at];
        let (need, is_gang) = (spec.need, spec.gang);
        let awaited = &mut job.steps[at].awaited;
        if awaited.is_reserved || awaited.workers.is_empty() {
            return RoomCheck::Reserved;
        }
        let wanted = awaited.workers.len();
        let fleet = &mut self.fleet;
        awaited.workers.retain(|ix| {
            let fits = need.fits(&fleet.get(*ix).free());
            if fits {
                fleet.reserve(*ix, need);
            }
            fits
        });
        awaited.is_reserved = true;
        let reserved = awaited.workers.len();
        if reserved == 0 || (is_gang && reserved < wanted) {
            self.release_awaited(key);
            return RoomCheck::Taken;
        }
        RoomCheck::Reserved
    }

    /// Gives up a step's awaited places on `workers`; a gang gives up all of its places then.
    pub(crate) fn release_awaited_on(&mut self, key: &StepKey, workers: &BTreeSet<WorkerIx>) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let spec = &job.row.submission.steps[at];
        let (need, is_gang) = (spec.need, spec.gang);
        let awaited = &mut job.steps[at].awaited;
        let is_released = |ix: &WorkerIx| workers.contains(ix);
        if is_gang && awaited.workers.iter().any(is_released) {
            self.release_awaited(key);
            return;
        }
        let released = awaited.workers.extract_if(.., |ix| workers.contains(ix));
        let released: Vec<WorkerIx> = released.collect();
        if awaited.is_reserved {
            for ix in released {
                self.fleet.unreserve(ix, need);
            }
        }
    }

    /// Gives up a step's awaited places, and returns them.
    pub(crate) fn release_awaited(&mut self, key: &StepKey) -> Vec<WorkerIx> {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return Vec::new();
        };
        let need = job.row.submission.steps[at].need;
        let awaited = std::mem::take(&mut job.steps[at].awaited);
        if awaited.is_reserved {
            for &ix in &awaited.workers {
                self.fleet.unreserve(ix, need);
            }
        }
        awaited.workers
    }
}
