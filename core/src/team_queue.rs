//! The pending work of one class and team.

use crate::{Millis, Resources, UnitKind, WorkUnit};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The need of one task and the number of tasks of a unit. If one unit of a shape has no room, no
/// other of the same shape has.
type Shape = (Resources, u32);

/// The pending units of one class and team, in order of age within each shape. A search for a unit
/// that fits only needs to try the oldest one of each shape.
#[derive(Debug, Default)]
pub struct TeamQueue {
    units_by_shape: HashMap<Shape, VecDeque<(u64, WorkUnit)>>,
    /// The shapes by the sequence number of their oldest unit.
    oldest_by_shape: BTreeMap<u64, Shape>,
    newest: Option<UnitKind>,
    len: usize,
}

impl TeamQueue {
    /// Adds a unit. A lower sequence number means that the unit is older.
    pub fn insert(&mut self, sequence: u64, unit: WorkUnit) {
        let shape = (unit.need, unit.tasks());
        let units = self.units_by_shape.entry(shape).or_default();
        self.newest = Some(unit.kind.clone());
        let oldest = units.front().map(|(sequence, _)| *sequence);
        match oldest {
            Some(oldest) if oldest < sequence => units.push_back((sequence, unit)),
            _ => {
                units.push_front((sequence, unit));
                oldest.map(|oldest| self.oldest_by_shape.remove(&oldest));
                self.oldest_by_shape.insert(sequence, shape);
            }
        }
        self.len += 1;
    }

    /// Returns the unit at a position among the oldest units of each shape, oldest first.
    pub fn get(&self, position: usize) -> Option<&WorkUnit> {
        let shape = self.oldest_by_shape.values().nth(position)?;
        self.units_by_shape
            .get(shape)?
            .front()
            .map(|(_, unit)| unit)
    }

    /// Removes the unit that [`TeamQueue::get`] returns for a position.
    pub fn remove(&mut self, position: usize) -> Option<WorkUnit> {
        let (sequence, shape) = self.oldest_by_shape.iter().nth(position)?;
        let (sequence, shape) = (*sequence, *shape);
        self.oldest_by_shape.remove(&sequence);
        let units = self.units_by_shape.get_mut(&shape)?;
        let removed = units.pop_front();
        match units.front() {
            Some((next, _)) => {
                self.oldest_by_shape.insert(*next, shape);
            }
            None => {
                self.units_by_shape.remove(&shape);
            }
        }
        self.len -= 1;
        removed.map(|(_, unit)| unit)
    }

    /// Marks the oldest unit as having no room and returns since when it has had none.
    pub fn mark_head_blocked(&mut self, now_ms: Millis) -> Millis {
        let shape = self.oldest_by_shape.values().next();
        let units = shape.and_then(|shape| self.units_by_shape.get_mut(shape));
        let head = units.and_then(|units| units.front_mut());
        head.map_or(now_ms, |(_, unit)| *unit.blocked_ms.get_or_insert(now_ms))
    }

    /// Returns the unit that was last added.
    pub const fn newest(&self) -> Option<&UnitKind> {
        self.newest.as_ref()
    }

    /// Returns the number of units.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
