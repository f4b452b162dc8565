//! Waiting work by class and team.

use crate::{Class, TeamName, Unit};
use std::collections::{BTreeMap, VecDeque};

/// The waiting units, first in first out within each class and team.
#[derive(Debug, Default)]
pub struct Queues {
    waiting: BTreeMap<(Class, TeamName), VecDeque<Unit>>,
    count: BTreeMap<Class, usize>,
}

impl Queues {
    /// Adds a unit at the end; says whether it is alone in its queue.
    pub fn push(&mut self, unit: Unit) -> bool {
        *self.count.entry(unit.class).or_default() += 1;
        let queue = self
            .waiting
            .entry((unit.class, unit.team.clone()))
            .or_default();
        queue.push_back(unit);
        queue.len() == 1
    }

    /// Returns the unit at a place in a queue.
    pub fn get(&self, class: Class, team: &TeamName, place: usize) -> Option<&Unit> {
        self.waiting.get(&(class, team.clone()))?.get(place)
    }

    /// Removes the unit at a place in a queue.
    pub fn remove(&mut self, class: Class, team: &TeamName, place: usize) -> Option<Unit> {
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
            .map_or(0, VecDeque::len)
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns everything.
    pub fn drain(&mut self) -> Vec<Unit> {
        self.count.clear();
        std::mem::take(&mut self.waiting)
            .into_values()
            .flatten()
            .collect()
    }
}
