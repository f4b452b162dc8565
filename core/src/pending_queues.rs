//! Pending work by class and team.

use crate::{Class, Millis, Resources, TeamName, TeamQueue, UnitKind, WorkUnit};
use std::collections::BTreeMap;

/// The sequence number of the first unit. Units that are put back get lower numbers.
const FIRST_SEQUENCE: u64 = 1 << 63;

/// The pending units of work, first in first out within each class, team and need.
#[derive(Debug)]
pub struct PendingQueues {
    queues: BTreeMap<(Class, TeamName), TeamQueue>,
    unit_counts: BTreeMap<Class, usize>,
    next_sequence: u64,
    next_front_sequence: u64,
    /// A lower bound, for each resource, of what any pending unit needs. It is not raised when
    /// units are removed.
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
    /// Adds a unit at the end of its queue and returns whether it is the only one there.
    pub fn push(&mut self, unit: WorkUnit) -> bool {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.insert(sequence, unit)
    }

    /// Adds a unit at the front of its queue.
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

    /// Returns whether some pending unit may fit into `room`; if false, none does.
    pub fn may_fit(&self, room: &Resources) -> bool {
        self.min_need.is_some_and(|min_need| min_need.fits(room))
    }

    /// Returns the unit at a position among the oldest units of each need and number of tasks,
    /// oldest first.
    pub fn get(&self, class: Class, team: &TeamName, position: usize) -> Option<&WorkUnit> {
        self.queues.get(&(class, team.clone()))?.get(position)
    }

    /// Removes the unit that [`PendingQueues::get`] returns for a position.
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

    /// Returns the unit that was last added to a queue, if the queue is not empty.
    pub fn newest(&self, class: Class, team: &TeamName) -> Option<&UnitKind> {
        self.queues.get(&(class, team.clone()))?.newest()
    }

    /// Marks the oldest unit of a queue as having no room and returns since when it has had none.
    pub fn mark_head_blocked(&mut self, class: Class, team: &TeamName, now_ms: Millis) -> Millis {
        let queue = self.queues.get_mut(&(class, team.clone()));
        queue.map_or(now_ms, |queue| queue.mark_head_blocked(now_ms))
    }

    /// Returns the teams with pending units of a class.
    pub fn teams(&self, class: Class) -> Vec<TeamName> {
        self.queues
            .keys()
            .filter(|(of, _)| *of == class)
            .map(|(_, team)| team.clone())
            .collect()
    }

    /// Returns the number of pending units of a class.
    pub fn len(&self, class: Class) -> usize {
        self.unit_counts.get(&class).copied().unwrap_or(0)
    }

    /// Returns the number of pending units of a class and team.
    pub fn len_of(&self, class: Class, team: &TeamName) -> usize {
        self.queues
            .get(&(class, team.clone()))
            .map_or(0, TeamQueue::len)
    }

    /// Returns whether no unit is pending.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Removes all units.
    pub fn clear(&mut self) {
        self.unit_counts.clear();
        self.queues.clear();
    }
}
