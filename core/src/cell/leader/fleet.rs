//! All workers of the cell, by their id.

use crate::{
    cell::{
        leader::{worker::Worker, Leader},
        node::Ctx,
        LogEvent, WorkerEntry,
    },
    Millis, Resources, WorkerId,
};
use std::collections::BTreeMap;

/// The place of a worker in a [`Fleet`]; it is never given to another worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkerIx(pub(crate) usize);

/// The workers.
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

    /// Forgets which workers are listed, before the list is read whole again.
    pub(crate) fn begin_reading(&mut self) {
        for worker in &mut self.workers {
            worker.listed = false;
        }
    }
}

impl Leader {
    /// Returns the worker of a placement on record; one that is not listed is kept in mind without an
    /// address.
    pub(crate) fn placed_worker(&mut self, id: &WorkerId) -> WorkerIx {
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

    /// Takes a worker's entry.
    pub(crate) fn on_entry(&mut self, ctx: &mut Ctx, entry: WorkerEntry) {
        self.wants_pass = true;
        let Some(ix) = self.fleet.ix(&entry.id) else {
            let line = LogEvent::info("worker_listed").with("worker", &entry.id);
            let line = line
                .with("domain", &entry.domain)
                .with("room", entry.capacity);
            ctx.log(line.with("draining", entry.draining));
            self.fleet.add(Worker::new(entry));
            return;
        };
        let worker = self.fleet.get_mut(ix);
        let born = entry.incarnation.is_some() && entry.incarnation != worker.incarnation;
        let moved = entry.address != worker.entry.address;
        if entry.draining != worker.entry.draining || !worker.listed || moved {
            let line = LogEvent::info("worker_changed").with("worker", &entry.id);
            ctx.log(line.with("draining", entry.draining).with("moved", moved));
        }
        worker.entry = entry;
        worker.listed = true;
        if born || moved {
            // What it lists of its new life settles what ran in the one before.
            worker.clock = None;
            worker.next_look_at = Millis(0);
            worker.wants_quick_look = true;
        }
    }

    /// Takes the end of a worker's entry; its runs may go on until their leases are over.
    pub(crate) fn on_entry_gone(&mut self, ctx: &mut Ctx, id: &str) {
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
