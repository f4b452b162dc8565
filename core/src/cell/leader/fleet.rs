//! All workers of the cell, found by index or by id.

use crate::{
    cell::{
        leader::{worker::Worker, Leader},
        node::Ctx,
        LogEvent, WorkerEntry,
    },
    Millis, Resources, WorkerId,
};
use std::collections::BTreeMap;

/// The index of a worker in a [`Fleet`]; it is never reused for another worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkerIx(pub(crate) usize);

/// All workers that the leader knows, whether the store lists them or not.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, WorkerIx>,
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
        self.index.insert(worker.entry.id.clone(), ix);
        self.workers.push(worker);
        ix
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
            self.fleet.add(Worker::new(entry));
            return;
        };
        let worker = self.fleet.get_mut(ix);
        let has_new_incarnation =
            entry.incarnation.is_some() && entry.incarnation != worker.incarnation;
        let address_changed = entry.address != worker.entry.address;
        if entry.draining != worker.entry.draining || !worker.listed || address_changed {
            let event = LogEvent::info("worker_changed").with("worker", &entry.id);
            ctx.log(
                event
                    .with("draining", entry.draining)
                    .with("moved", address_changed),
            );
        }
        worker.entry = entry;
        worker.listed = true;
        if has_new_incarnation || address_changed {
            // The first list of the new incarnation shows which earlier runs have ended.
            worker.clock = None;
            worker.next_poll_at = Millis(0);
            worker.needs_quick_poll = true;
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
