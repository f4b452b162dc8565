//! Waiting work by class and team.

use crate::{Class, Millis, Resources, TeamName, TeamQueue, UnitKind, WorkUnit};
use std::collections::BTreeMap;

/// Numbers of units that were put back lie below this one.
const FIRST_NUMBER: u64 = 1 << 63;

/// The waiting units, first in first out within each class, team and need.
#[derive(Debug)]
pub struct PendingQueues {
    waiting: BTreeMap<(Class, TeamName), TeamQueue>,
    count: BTreeMap<Class, usize>,
    next_number: u64,
    next_front: u64,
    /// No waiting unit needs less of any resource.
    min_need: Option<Resources>,
}

impl Default for PendingQueues {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            count: BTreeMap::new(),
            next_number: FIRST_NUMBER,
            next_front: FIRST_NUMBER - 1,
            min_need: None,
        }
    }
}

impl PendingQueues {
    /// Adds a unit at the end; says whether it is alone in its queue.
    pub fn push(&mut self, unit: WorkUnit) -> bool {
        let number = self.next_number;
        self.next_number += 1;
        self.insert(number, unit)
    }

    /// Puts a unit back before all others of its queue.
    pub fn push_front(&mut self, unit: WorkUnit) {
        let number = self.next_front;
        self.next_front -= 1;
        self.insert(number, unit);
    }

    fn insert(&mut self, number: u64, unit: WorkUnit) -> bool {
        *self.count.entry(unit.class).or_default() += 1;
        let known = self.min_need.filter(|_| !self.waiting.is_empty());
        self.min_need = Some(known.map_or(unit.need, |min_need| min_need.min(unit.need)));
        let key = (unit.class, unit.team.clone());
        let queue = self.waiting.entry(key).or_default();
        queue.insert(number, unit);
        queue.len() == 1
    }

    /// Says whether room may be enough for some waiting unit; false only where it surely is not.
    pub fn may_fit(&self, room: &Resources) -> bool {
        self.min_need.is_some_and(|min_need| min_need.fits(room))
    }

    /// Returns a unit to try: the oldest one of each need, in order of age.
    pub fn get(&self, class: Class, team: &TeamName, place: usize) -> Option<&WorkUnit> {
        self.waiting.get(&(class, team.clone()))?.get(place)
    }

    /// Removes the unit that [`PendingQueues::get`] returns for a place.
    pub fn remove(&mut self, class: Class, team: &TeamName, place: usize) -> Option<WorkUnit> {
        let key = (class, team.clone());
        let queue = self.waiting.get_mut(&key)?;
        let unit = queue.remove(place)?;
        if queue.is_empty() {
            self.waiting.remove(&key);
        }
        if let Some(count) = self.count.get_mut(&class) {
            *count -= 1;
        }
        Some(unit)
    }

    /// Returns what came last into a queue that is not empty.
    pub fn newest(&self, class: Class, team: &TeamName) -> Option<&UnitKind> {
        self.waiting.get(&(class, team.clone()))?.newest()
    }

    /// Notes that the head of a queue finds no room; returns since when it finds none.
    pub fn mark_head_blocked(&mut self, class: Class, team: &TeamName, now_ms: Millis) -> Millis {
        let queue = self.waiting.get_mut(&(class, team.clone()));
        queue.map_or(now_ms, |queue| queue.mark_head_blocked(now_ms))
    }

    /// Returns the teams that have units of a class waiting.
    pub fn teams(&self, class: Class) -> Vec<TeamName> {
        self.waiting
            .keys()
            .filter(|(of, _)| *of == class)
            .map(|(_, team)| team.clone())
            .collect()
    }

    /// Returns the number of waiting units of a class.
    pub fn len(&self, class: Class) -> usize {
        self.count.get(&class).copied().unwrap_or(0)
    }

    /// Returns the number of waiting units of a class and team.
    pub fn len_of(&self, class: Class, team: &TeamName) -> usize {
        self.waiting
            .get(&(class, team.clone()))
            .map_or(0, TeamQueue::len)
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.count.clear();
        self.waiting.clear();
    }
}
