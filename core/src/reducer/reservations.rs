//! Reservations: room held free on workers for work that did not fit.
//!
//! A reservation covers all tasks of its unit from the start, and reservations never overlap, so
//! that two gangs can't block each other.

use super::Core;
use crate::{consts, Millis, Resources, TeamName, UnitKind, WorkUnit, WorkerIx};
use std::collections::BTreeMap;

/// Room held for one unit of work.
#[derive(Debug)]
pub(super) struct Reservation {
    unit: WorkUnit,
    /// The number of tasks for which room is held on each worker.
    tasks_per_worker: BTreeMap<WorkerIx, u64>,
    planned_ms: Millis,
}

/// The next action on a reservation.
enum Step {
    Wait,
    Start,
    Drop,
    Requeue,
    Replan,
}

impl Core {
    /// Reserves room for a unit that fits nowhere; returns whether it did.
    ///
    /// The caller removes the unit from its queue.
    pub(super) fn reserve(&mut self, unit: &WorkUnit) -> bool {
        if !self.can_reserve(unit) {
            return false;
        }
        let Some(tasks_per_worker) = self.plan_workers(unit) else {
            return false;
        };
        let reservation = Reservation {
            unit: unit.clone(),
            tasks_per_worker,
            planned_ms: self.now_ms,
        };
        self.hold_room(&reservation);
        self.reservations.push(reservation);
        true
    }

    /// Returns whether another reservation is allowed.
    ///
    /// Only one gang at a time has one, since a gang takes much room.
    fn can_reserve(&self, unit: &WorkUnit) -> bool {
        let gangs = self
            .reservations
            .iter()
            .filter(|r| r.unit.tasks() > 1)
            .count();
        let singles = self.reservations.len() - gangs;
        if unit.tasks() > 1 {
            return gangs == 0;
        }
        let max_singles = self.fleet.indices().count() / consts::WORKERS_PER_RESERVATION;
        singles < max_singles.max(1)
    }

    /// Chooses a worker for each task of a unit, each time the one that would be the least loaded;
    /// returns `None` if not all tasks have one.
    ///
    /// Reserves room for each task so that the next choice accounts for it, then releases all.
    fn plan_workers(&mut self, unit: &WorkUnit) -> Option<BTreeMap<WorkerIx, u64>> {
        let mut planned = Vec::new();
        for _ in 0..unit.tasks() {
            let Some(ix) = self.fleet.best_reservation(&unit.need, self.now_ms) else {
                break;
            };
            self.fleet.reserve(ix, unit.need);
            planned.push(ix);
        }
        for ix in &planned {
            self.fleet.release_reserved(*ix, unit.need);
        }
        let complete = planned.len() == unit.tasks() as usize;
        let mut tasks_per_worker = BTreeMap::new();
        for ix in planned {
            *tasks_per_worker.entry(ix).or_default() += 1;
        }
        complete.then_some(tasks_per_worker)
    }

    fn hold_room(&mut self, reservation: &Reservation) {
        for (ix, count) in &reservation.tasks_per_worker {
            self.fleet.reserve(*ix, reservation.unit.need.times(*count));
        }
    }

    fn release_room(&mut self, reservation: &Reservation) {
        for (ix, count) in &reservation.tasks_per_worker {
            self.fleet
                .release_reserved(*ix, reservation.unit.need.times(*count));
        }
    }

    /// Returns the room reserved for a team, which counts as used by it.
    pub(super) fn reserved_for(&self, team: &TeamName) -> Resources {
        let of_team = self.reservations.iter().filter(|r| r.unit.team == *team);
        let needs = of_team.map(|r| r.unit.need.times(u64::from(r.unit.tasks())));
        needs.fold(Resources::default(), Resources::plus)
    }

    /// Starts the units whose reserved room is free, on one worker or on all.
    pub(super) fn start_reserved(&mut self, at: Option<WorkerIx>) {
        if let Some(ix) = at {
            self.shift_reservations(ix);
        }
        let mut position = 0;
        while position < self.reservations.len() {
            let is_affected = at.is_none_or(|ix| {
                self.reservations[position]
                    .tasks_per_worker
                    .contains_key(&ix)
            });
            let step = match is_affected {
                true => self.next_reservation_step(&self.reservations[position]),
                false => Step::Wait,
            };
            if let Step::Wait = step {
                position += 1;
                continue;
            }
            let reservation = self.reservations.remove(position);
            self.release_room(&reservation);
            self.settle_reservation(reservation, step);
        }
    }

    fn settle_reservation(&mut self, reservation: Reservation, step: Step) {
        let unit = reservation.unit;
        match step {
            Step::Start => self.start_reservation(&unit, &reservation.tasks_per_worker),
            Step::Requeue => self.queues.push_front(unit),
            Step::Replan => {
                if !self.reserve(&unit) {
                    self.queues.push_front(unit);
                }
            }
            Step::Drop | Step::Wait => {}
        }
    }

    fn next_reservation_step(&self, reservation: &Reservation) -> Step {
        let unit = &reservation.unit;
        let total_need = unit.need.times(u64::from(unit.tasks()));
        if !self.is_needed(unit) {
            return Step::Drop;
        }
        if !self.is_within_limit(&unit.team, total_need) {
            return Step::Requeue;
        }
        let mut workers = reservation.tasks_per_worker.iter();
        if workers.all(|(ix, count)| self.has_room(*ix, unit.need.times(*count))) {
            return Step::Start;
        }
        match self.now_ms.since(reservation.planned_ms) > consts::RESERVATION_REPLAN_INTERVAL_MS {
            true => Step::Replan,
            false => Step::Wait,
        }
    }

    fn has_room(&self, ix: WorkerIx, need: Resources) -> bool {
        let worker = self.fleet.get(ix);
        worker.accepts_work(self.now_ms) && need.fits(&worker.free())
    }

    /// Moves reservations from workers that still lack room to one that has room now.
    fn shift_reservations(&mut self, ix: WorkerIx) {
        for position in 0..self.reservations.len() {
            while let Some(from) = self.unready_worker(ix, &self.reservations[position]) {
                let need = self.reservations[position].unit.need;
                self.fleet.release_reserved(from, need);
                self.fleet.reserve(ix, need);
                self.reservations[position].move_task(from, ix);
            }
        }
    }

    /// Returns a worker of a reservation that still lacks room, if worker `ix` has unreserved room
    /// for a task.
    fn unready_worker(&self, ix: WorkerIx, reservation: &Reservation) -> Option<WorkerIx> {
        let need = reservation.unit.need;
        let worker = self.fleet.get(ix);
        let spare = worker.free().minus(worker.reserved);
        if !need.fits(&spare) || !worker.accepts_work(self.now_ms) {
            return None;
        }
        let mut workers = reservation.tasks_per_worker.iter();
        let unready = workers.find(|(worker_ix, count)| {
            **worker_ix != ix && !self.has_room(**worker_ix, need.times(**count))
        });
        unready.map(|(worker_ix, _)| *worker_ix)
    }

    fn start_reservation(&mut self, unit: &WorkUnit, tasks_per_worker: &BTreeMap<WorkerIx, u64>) {
        let workers = tasks_per_worker
            .iter()
            .flat_map(|(ix, count)| (0..*count).map(|_| *ix));
        let workers: Vec<WorkerIx> = workers.collect();
        match &unit.kind {
            UnitKind::Gang { job, .. } => self.start_gang_on(unit, &job.clone(), &workers),
            _ => {
                if let Some(ix) = workers.first() {
                    self.start_on(*ix, unit);
                }
            }
        }
    }

    /// Releases all reservations.
    pub(super) fn clear_reservations(&mut self) {
        for reservation in std::mem::take(&mut self.reservations) {
            self.release_room(&reservation);
        }
    }
}

impl Reservation {
    fn move_task(&mut self, from: WorkerIx, to: WorkerIx) {
        if let Some(count) = self.tasks_per_worker.get_mut(&from) {
            *count -= 1;
        }
        self.tasks_per_worker.retain(|_, count| *count > 0);
        *self.tasks_per_worker.entry(to).or_default() += 1;
    }
}
