//! Room that is kept for work that did not fit.
//!
//! A reservation names enough room for all its tasks when it is made, and no two reservations share
//! room, so that two gangs never wait for each other.

use super::Core;
use crate::{consts, Millis, Resources, TeamName, Unit, UnitKind, WorkerIx};
use std::collections::BTreeMap;

/// Room that is kept for one unit.
#[derive(Debug)]
pub(super) struct Reservation {
    unit: Unit,
    /// The number of tasks for which each worker keeps room.
    places: BTreeMap<WorkerIx, u64>,
    planned_ms: Millis,
}

/// What becomes of a reservation.
enum Step {
    Wait,
    Start,
    Drop,
    Requeue,
    Replan,
}

impl Core {
    /// Takes a unit that fits nowhere out of the queues and keeps room for it; says whether it did.
    pub(super) fn reserve(&mut self, unit: &Unit) -> bool {
        if !self.may_reserve(unit) {
            return false;
        }
        let Some(places) = self.plan_places(unit) else {
            return false;
        };
        let reservation = Reservation {
            unit: unit.clone(),
            places,
            planned_ms: self.now_ms,
        };
        self.hold_places(&reservation);
        self.reservations.push(reservation);
        true
    }

    /// Room is kept for one gang at a time, since a gang takes much of it.
    fn may_reserve(&self, unit: &Unit) -> bool {
        let gangs = self
            .reservations
            .iter()
            .filter(|r| r.unit.tasks() > 1)
            .count();
        let singles = self.reservations.len() - gangs;
        if unit.tasks() > 1 {
            return gangs == 0;
        }
        let most = self.fleet.places().count() / consts::WORKERS_PER_RESERVATION;
        singles < most.max(1)
    }

    /// Plans each task where the least is missing.
    fn plan_places(&mut self, unit: &Unit) -> Option<BTreeMap<WorkerIx, u64>> {
        let mut planned = Vec::new();
        for _ in 0..unit.tasks() {
            let Some(ix) = self.fleet.roomiest(&unit.need, self.now_ms) else {
                break;
            };
            self.fleet.hold(ix, unit.need);
            planned.push(ix);
        }
        for ix in &planned {
            self.fleet.release(*ix, unit.need);
        }
        let whole = planned.len() == unit.tasks() as usize;
        let mut places = BTreeMap::new();
        for ix in planned {
            *places.entry(ix).or_default() += 1;
        }
        whole.then_some(places)
    }

    fn hold_places(&mut self, reservation: &Reservation) {
        for (ix, count) in &reservation.places {
            self.fleet.hold(*ix, reservation.unit.need.times(*count));
        }
    }

    fn release_places(&mut self, reservation: &Reservation) {
        for (ix, count) in &reservation.places {
            self.fleet.release(*ix, reservation.unit.need.times(*count));
        }
    }

    /// Returns what is kept for a team, which counts as if it ran.
    pub(super) fn reserved_for(&self, team: &TeamName) -> Resources {
        let of_team = self.reservations.iter().filter(|r| r.unit.team == *team);
        let needs = of_team.map(|r| r.unit.need.times(u64::from(r.unit.tasks())));
        needs.fold(Resources::default(), Resources::plus)
    }

    /// Starts what its kept room is free for, on one worker or on all.
    pub(super) fn start_reserved(&mut self, at: Option<WorkerIx>) {
        if let Some(ix) = at {
            self.move_reserved(ix);
        }
        let mut place = 0;
        while place < self.reservations.len() {
            let here = at.is_none_or(|ix| self.reservations[place].places.contains_key(&ix));
            let step = match here {
                true => self.next_reservation_step(&self.reservations[place]),
                false => Step::Wait,
            };
            if let Step::Wait = step {
                place += 1;
                continue;
            }
            let reservation = self.reservations.remove(place);
            self.release_places(&reservation);
            self.settle_reservation(reservation, step);
        }
    }

    fn settle_reservation(&mut self, reservation: Reservation, step: Step) {
        let unit = reservation.unit;
        match step {
            Step::Start => self.start_at_places(&unit, &reservation.places),
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
        let together = unit.need.times(u64::from(unit.tasks()));
        if !self.is_wanted(unit) {
            return Step::Drop;
        }
        if !self.may_spend(&unit.team, together) {
            return Step::Requeue;
        }
        let mut places = reservation.places.iter();
        if places.all(|(ix, count)| self.is_ready(*ix, unit.need.times(*count))) {
            return Step::Start;
        }
        match self.now_ms.since(reservation.planned_ms) > consts::REPLAN_MS {
            true => Step::Replan,
            false => Step::Wait,
        }
    }

    fn is_ready(&self, ix: WorkerIx, need: Resources) -> bool {
        let worker = self.fleet.get(ix);
        worker.takes_work(self.now_ms) && need.fits(&worker.free())
    }

    /// Moves kept room from workers that are not ready to one that has room right now.
    fn move_reserved(&mut self, ix: WorkerIx) {
        for place in 0..self.reservations.len() {
            while let Some(from) = self.place_to_leave(ix, &self.reservations[place]) {
                let need = self.reservations[place].unit.need;
                self.fleet.release(from, need);
                self.fleet.hold(ix, need);
                self.reservations[place].move_one(from, ix);
            }
        }
    }

    /// Returns a place of a reservation that is not ready, if a worker has spare room for it.
    fn place_to_leave(&self, ix: WorkerIx, reservation: &Reservation) -> Option<WorkerIx> {
        let need = reservation.unit.need;
        let worker = self.fleet.get(ix);
        let spare = worker.free().minus(worker.held);
        if !need.fits(&spare) || !worker.takes_work(self.now_ms) {
            return None;
        }
        let mut places = reservation.places.iter();
        let unready = places
            .find(|(place, count)| **place != ix && !self.is_ready(**place, need.times(**count)));
        unready.map(|(place, _)| *place)
    }

    fn start_at_places(&mut self, unit: &Unit, places: &BTreeMap<WorkerIx, u64>) {
        let each = places
            .iter()
            .flat_map(|(ix, count)| (0..*count).map(|_| *ix));
        let each: Vec<WorkerIx> = each.collect();
        match &unit.kind {
            UnitKind::Gang { job, .. } => self.start_gang_at(unit, &job.clone(), &each),
            _ => {
                if let Some(ix) = each.first() {
                    self.start_at(*ix, unit);
                }
            }
        }
    }

    /// Gives up all kept room.
    pub(super) fn clear_reserved(&mut self) {
        for reservation in std::mem::take(&mut self.reservations) {
            self.release_places(&reservation);
        }
    }
}

impl Reservation {
    fn move_one(&mut self, from: WorkerIx, to: WorkerIx) {
        if let Some(count) = self.places.get_mut(&from) {
            *count -= 1;
        }
        self.places.retain(|_, count| *count > 0);
        *self.places.entry(to).or_default() += 1;
    }
}
