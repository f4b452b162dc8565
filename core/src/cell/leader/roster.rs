//! The record of the workers that leaders use: a later leader asks each before it starts what may
//! still run there, also where a worker is cut off and no longer listed.

use crate::{
    cell::{
        consts,
        election::fence,
        leader::{worker::Worker, Follow, Leader},
        node::{Ctx, Owner},
        Line, OrderId, RowKey, RowValue, RowVersion, StoreCall, StoreReply, Table, WorkerEntry,
        Write,
    },
    Millis, Resources, WorkerId,
};
use std::collections::BTreeSet;

/// The roster as it is on record.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    stored: BTreeSet<WorkerId>,
    version: RowVersion,
    in_flight: Option<(OrderId, BTreeSet<WorkerId>)>,
    retry_at: Millis,
}

impl Roster {
    pub(crate) fn holds(&self, order: OrderId) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|(open, _)| *open == order)
    }

    pub(crate) fn holds_worker(&self, id: &WorkerId) -> bool {
        self.stored.contains(id)
    }
}

fn roster_key() -> RowKey {
    RowKey::new(Table::Leadership, consts::CELL_PART, "roster")
}

impl Leader {
    pub(crate) fn on_roster_row(&mut self, version: RowVersion, ids: Vec<WorkerId>) {
        self.roster.version = version;
        self.roster.stored = ids.iter().cloned().collect();
        for id in ids {
            match self.fleet.ix(&id) {
                Some(ix) => self.fleet.get_mut(ix).on_roster = true,
                None => self.add_unlisted(id),
            }
        }
    }

    /// Keeps a worker in mind that an earlier leader used and that is not listed.
    fn add_unlisted(&mut self, id: WorkerId) {
        let entry = WorkerEntry {
            id,
            service: "".into(),
            address: "".into(),
            domain: "".into(),
            draining: true,
            room: Resources::default(),
            labels: Vec::new(),
            incarnation: None,
        };
        let mut worker = Worker::new(entry);
        worker.listed = false;
        worker.on_roster = true;
        self.fleet.add(worker);
    }

    /// Writes the roster where a worker is listed that is not on it.
    pub(crate) fn write_roster(&mut self, ctx: &mut Ctx) {
        if self.roster.in_flight.is_some() || ctx.now < self.roster.retry_at {
            return;
        }
        let now = ctx.now;
        // Runs of earlier leaders on workers that never answered end with their leases.
        let unknown = now.since(self.since) < self.longest_lease_ms(ctx);
        let kept = |worker: &&Worker| {
            let alive = !worker.runs.is_empty() || now < worker.lease_over_at;
            worker.listed || alive || (!worker.contact && unknown)
        };
        let changed = |worker: &Worker| worker.on_roster != kept(&worker);
        if !self.fleet.iter().any(|(_, worker)| changed(worker)) {
            return;
        }
        self.roster.retry_at = now + consts::ROSTER_GAP_MS;
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        let ids: BTreeSet<WorkerId> = workers
            .filter(kept)
            .map(|own| own.entry.id.clone())
            .collect();
        let write = Write {
            expect: vec![fence(self.token), (roster_key(), self.roster.version)],
            put: vec![(
                roster_key(),
                RowValue::Roster(ids.iter().cloned().collect()),
            )],
            remove: Vec::new(),
        };
        let order = ctx.store(
            Owner::Leader,
            StoreCall::Write(write),
            consts::STORE_LIMIT_MS,
        );
        self.roster.in_flight = Some((order, ids));
    }

    pub(crate) fn on_roster(&mut self, ctx: &mut Ctx, reply: StoreReply) -> Follow {
        let Some((_, ids)) = self.roster.in_flight.take() else {
            return Follow::Nothing;
        };
        match reply {
            StoreReply::Written(version) => {
                self.roster.version = version;
                for ix in self.fleet.ixs() {
                    let worker = self.fleet.get_mut(ix);
                    worker.on_roster = ids.contains(&worker.entry.id);
                }
                self.roster.stored = ids;
                self.wants_pass = true;
                ctx.log(Line::info("roster_written").with("workers", self.roster.stored.len()));
            }
            StoreReply::Conflict(rows) => {
                if !self.is_leader_row(&rows) {
                    return Follow::Deposed;
                }
                let own = rows.into_iter().find(|row| row.key == roster_key());
                self.roster.version = own.map_or(RowVersion(0), |row| row.version);
            }
            _ => self.roster.retry_at = ctx.now + consts::STORE_RETRY_MS,
        }
        Follow::Nothing
    }
}
