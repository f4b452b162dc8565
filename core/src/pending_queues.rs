//! Waiting work by class and team.

use crate::{Class, Millis, Resources, TeamName, TeamQueue, UnitKind, WorkUnit};
use std::collections::BTreeMap;

/// Numbers of units that were put back lie below this one.
const FIRST_SEQUENCE: u64 = 1 << 63;

/// The waiting units, first in first out within each class, team and need.
#[derive(Debug)]
pub struct PendingQueues {
    queues: BTreeMap<(Class, TeamName), TeamQueue>,
    unit_counts: BTreeMap<Class, usize>,
    next_sequence: u64,
    next_front_sequence: u64,
    /// No waiting unit needs less of any resource.
    min_need: Option<Resources>,
}

impl Default for PendingQueues {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            unit_counts: BTreeMap::new(),
            next_sequence: FIRST_SEQUENCE,
            next_front_sequence: FIRST_SEQUENCE - 1,
            min_need: None,
        }
    }
}

impl PendingQueues {
    /// Adds a unit at the end; says whether it is alone in its queue.
    pub fn push(&mut self, unit: WorkUnit) -> bool {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.insert(sequence, unit)
    }

    /// Puts a unit back before all others of its queue.
    pub fn push_front(&mut self, unit: WorkUnit) {
        let sequence = self.next_front_sequence;
        self.next_front_sequence -= 1;
        self.insert(sequence, unit);
    }

    fn insert(&mut self, sequence: u64, unit: WorkUnit) -> bool {
        *self.unit_counts.entry(unit.class).or_default() += 1;
        let previous = self.min_need.filter(|_| !self.queues.is_empty());
        self.min_need = Some(previous.map_or(unit.need, |min_need| min_need.min(unit.need)));
        let key = (unit.class, unit.team.clone());
        let queue = self.queues.entry(key).or_default();
        queue.insert(sequence, unit);
        queue.len() == 1
    }

    /// Says whether room may be enough for some waiting unit; false only where it surely is not.
    pub fn may_fit(&self, room: &Resources) -> bool {
        self.min_need.is_some_and(|min_need| min_need.fits(room))
    }

    /// Returns a unit to try: the oldest one of each need, in order of age.
    pub fn get(&self, class: Class, team: &TeamName, position: usize) -> Option<&WorkUnit> {
        self.queues.get(&(class, team.clone()))?.get(position)
    }

    /// Removes the unit that [`PendingQueues::get`] returns for a place.
    pub fn remove(&mut self, class: Class, team: &TeamName, position: usize) -> Option<WorkUnit> {
        let key = (class, team.clone());
        let queue = self.queues.get_mut(&key)?;
        let unit = queue.remove(position)?;
        if queue.is_empty() {
            self.queues.remove(&key);
        }
        if let Some(count) = self.unit_counts.get_mut(&class) {
            *count -= 1;
        }
        Some(unit)
    }

    /// Returns what came last into a queue that is not empty.
    pub fn newest(&self, class: Class, team: &TeamName) -> Option<&UnitKind> {
        self.queues.get(&(class, team.clone()))?.newest()
    }

    /// Notes that the head of a queue finds no room; returns since when it finds none.
    pub fn mark_head_blocked(&mut self, class: Class, team: &TeamName, now_ms: Millis) -> Millis {
        let queue = self.queues.get_mut(&(class, team.clone()));
        queue.map_or(now_ms, |queue| queue.mark_head_blocked(now_ms))
    }

    /// Returns the teams that have units of a class waiting.
    pub fn teams(&self, class: Class) -> Vec<TeamName> {
        self.queues
            .keys()
            .filter(|(of, _)| *of == class)
            .map(|(_, team)| team.clone())
            .collect()
    }

    /// Returns the number of waiting units of a class.
    pub fn len(&self, class: Class) -> usize {
        self.unit_counts.get(&class).copied().unwrap_or(0)
    }

    /// Returns the number of waiting units of a class and team.
    pub fn len_of(&self, class: Class, team: &TeamName) -> usize {
        self.queues
            .get(&(class, team.clone()))
            .map_or(0, TeamQueue::len)
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.unit_counts.clear();
        self.queues.clear();
    }
}
