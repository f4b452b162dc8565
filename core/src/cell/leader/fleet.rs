//! All workers of the cell, found by index or by id.

use crate::{
    cell::{
        ctx::Ctx,
        leader::{
            entry_pair::EntryChange,
            schedule::MAX_CLOCK_AGE_MS,
            worker::{log_unpaired, Worker},
            Leader,
        },
        Incarnation, LogEvent, WorkerEntry,
    },
    Millis, Resources, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The index of a worker in a [`Fleet`]; it is never reused for another worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkerIx(pub(crate) usize);

/// All workers that the leader knows, whether the store lists them or not.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, WorkerIx>,
    /// The workers by their free processors, without those in drained domains.
    by_free: BTreeSet<(u64, WorkerIx)>,
    /// Workers that have more room, or became usable, since steps were last woken for them.
    freed: BTreeSet<WorkerIx>,
    longest_id_bytes: usize,
}

impl Fleet {
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn ix(&self, id: &WorkerId) -> Option<WorkerIx> {
        self.index.get(id).copied()
    }

    pub(crate) fn get(&self, ix: WorkerIx) -> &Worker {
        &self.workers[ix.0]
    }

    pub(crate) fn get_mut(&mut self, ix: WorkerIx) -> &mut Worker {
        &mut self.workers[ix.0]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerIx, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .map(|(at, worker)| (WorkerIx(at), worker))
    }

    pub(crate) fn ixs(&self) -> impl Iterator<Item = WorkerIx> {
        (0..self.workers.len()).map(WorkerIx)
    }

    pub(crate) fn add(&mut self, worker: Worker) -> WorkerIx {
        let ix = WorkerIx(self.workers.len());
        let id = worker.id();
        self.longest_id_bytes = self.longest_id_bytes.max(id.as_str().len());
        self.index.insert(id.clone(), ix);
        self.by_free.insert((worker.free().cpu_milli, ix));
        self.workers.push(worker);
        ix
    }

    /// Returns the length of the longest worker's id, in bytes.
    pub(crate) fn longest_id_bytes(&self) -> usize {
        self.longest_id_bytes
    }

    /// Returns the workers with at least `min_cpu_milli` free, those with the least first.
    pub(crate) fn by_free(
        &self,
        min_cpu_milli: u64,
    ) -> impl DoubleEndedIterator<Item = WorkerIx> + '_ {
        let begin = (min_cpu_milli, WorkerIx(0));
        self.by_free.range(begin..).map(|(_, ix)| *ix)
    }

    /// Changes what a worker's free room depends on.
    fn change_room(&mut self, ix: WorkerIx, change: impl FnOnce(&mut Worker)) {
        let worker = &mut self.workers[ix.0];
        let before = worker.free();
        change(worker);
        let after = worker.free();
        if before != after {
            worker.fruitless_wakes = 0;
        }
        if before.cpu_milli != after.cpu_milli && !worker.is_drained {
            self.by_free.remove(&(before.cpu_milli, ix));
            self.by_free.insert((after.cpu_milli, ix));
        }
        if !after.fits(&before) {
            self.freed.insert(ix);
        }
    }

    /// Occupies room on a worker for a run.
    pub(crate) fn occupy(&mut self, ix: WorkerIx, need: Resources) {
        self.change_room(ix, |worker| worker.used = worker.used.plus(need));
    }

    /// Frees the room of a run.
    pub(crate) fn vacate(&mut self, ix: WorkerIx, need: Resources) {
        self.change_room(ix, |worker| worker.used = worker.used.minus(need));
    }

    /// Reserves room on a worker for a task whose ticket is requested.
    pub(crate) fn reserve(&mut self, ix: WorkerIx, need: Resources) {
        self.change_room(ix, |worker| worker.reserved = worker.reserved.plus(need));
    }

    /// Releases room that was reserved for a task.
    pub(crate) fn unreserve(&mut self, ix: WorkerIx, need: Resources) {
        self.change_room(ix, |worker| worker.reserved = worker.reserved.minus(need));
    }

    fn set_entry(&mut self, ix: WorkerIx, entry: WorkerEntry) -> EntryChange {
        let mut change = EntryChange::default();
        self.change_room(ix, |worker| change = worker.entry_mut().set_entry(entry));
        change
    }

    /// Records the incarnation that a worker reports.
    pub(crate) fn set_reported(&mut self, ix: WorkerIx, reported: Option<Incarnation>) {
        self.change_room(ix, |worker| worker.entry_mut().set_reported(reported));
    }

    /// Sets whether a worker's domain is drained; returns whether that is new.
    pub(crate) fn set_drained(&mut self, ix: WorkerIx, is_drained: bool) -> bool {
        let worker = &mut self.workers[ix.0];
        if worker.is_drained == is_drained {
            return false;
        }
        worker.is_drained = is_drained;
        let free = (worker.free().cpu_milli, ix);
        match is_drained {
            true => self.by_free.remove(&free),
            false => self.by_free.insert(free),
        };
        true
    }

    /// Lets steps be woken for a worker.
    pub(crate) fn add_freed(&mut self, ix: WorkerIx) {
        self.freed.insert(ix);
    }

    /// Returns whether steps are to be woken for some worker.
    pub(crate) fn has_freed(&self) -> bool {
        !self.freed.is_empty()
    }

    /// Takes workers for which steps are to be woken.
    pub(crate) fn take_freed(&mut self, max_count: usize) -> Vec<WorkerIx> {
        let taken: Vec<WorkerIx> = self.freed.iter().take(max_count).copied().collect();
        for ix in &taken {
            self.freed.remove(ix);
        }
        taken
    }

    /// Notes which workers are usable now; steps are to be woken for those that were not before.
    pub(crate) fn note_usable(&mut self, now: Millis) {
        for (at, worker) in self.workers.iter_mut().enumerate() {
            let is_usable = worker.is_usable(now, MAX_CLOCK_AGE_MS);
            if is_usable && !worker.was_usable {
                self.freed.insert(WorkerIx(at));
            }
            worker.was_usable = is_usable;
        }
    }

    /// Marks all workers as unlisted, before the table of workers is read in full again.
    pub(crate) fn mark_all_unlisted(&mut self) {
        for worker in &mut self.workers {
            worker.listed = false;
        }
    }
}

impl Leader {
    /// Returns the worker of a recorded placement; an unknown one is added as a placeholder without
    /// an address.
    pub(crate) fn worker_or_placeholder(&mut self, id: &WorkerId) -> WorkerIx {
        if let Some(ix) = self.fleet.ix(id) {
            return ix;
        }
        let entry = WorkerEntry {
            id: id.clone(),
            service: "".into(),
            address: "".into(),
            domain: "".into(),
            draining: true,
            capacity: Resources::default(),
            labels: Vec::new(),
            incarnation: None,
            cold_remaining_ms: Millis(0),
        };
        let mut worker = Worker::new(entry);
        worker.listed = false;
        self.fleet.add(worker)
    }

    /// Adds or updates a worker from its entry.
    pub(crate) fn on_entry(&mut self, ctx: &mut Ctx, entry: WorkerEntry) {
        self.needs_pass = true;
        let Some(ix) = self.fleet.ix(&entry.id) else {
            let event = LogEvent::info("worker_listed").with("worker", &entry.id);
            let event = event
                .with("domain", &entry.domain)
                .with("room", entry.capacity);
            ctx.log(event.with("draining", entry.draining));
            let mut worker = Worker::new(entry);
            worker.set_cold(ctx.now);
            let ix = self.fleet.add(worker);
            return self.drain_by_entry(ctx, ix);
        };
        let id = entry.id.clone();
        let draining = entry.draining;
        let change = self.fleet.set_entry(ix, entry);
        let worker = self.fleet.get_mut(ix);
        if change.address || change.draining || !worker.listed {
            let event = LogEvent::info("worker_changed").with("worker", id);
            let event = event.with("draining", draining);
            ctx.log(event.with("moved", change.address));
        }
        worker.listed = true;
        log_unpaired(ctx, worker);
        if change.cold {
            worker.set_cold(ctx.now);
        }
        if worker.paired().is_none() || change.address {
            // The first list of the new incarnation shows which earlier runs have ended.
            worker.clock = None;
            worker.next_poll_at = Millis(0);
            worker.needs_quick_poll = true;
        }
        if change.domain {
            self.drain_by_entry(ctx, ix);
        }
    }

    /// Marks a worker as unlisted; its runs may continue until their leases expire.
    pub(crate) fn on_entry_removed(&mut self, ctx: &mut Ctx, id: &str) {
        let Some(ix) = self.fleet.ix(&WorkerId::new(id)) else {
            return;
        };
        let worker = self.fleet.get_mut(ix);
        if worker.listed {
            worker.listed = false;
            ctx.log(
                LogEvent::warn("worker_unlisted")
                    .with("worker", id)
                    .with("runs", worker.runs.len()),
            );
        }
    }
}
