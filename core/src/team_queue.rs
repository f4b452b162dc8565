//! The waiting work of one class and team.

use crate::{Millis, Resources, UnitKind, WorkUnit};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a unit needs at once; units of one shape fit or do not fit together.
type Shape = (Resources, u32);

/// Waiting units in order of age, with the oldest of each shape at hand: where one does not fit,
/// none of its shape does.
#[derive(Debug, Default)]
pub struct TeamQueue {
    units_by_shape: HashMap<Shape, VecDeque<(u64, WorkUnit)>>,
    /// The oldest unit of each shape, by its number.
    oldest_by_shape: BTreeMap<u64, Shape>,
    newest: Option<UnitKind>,
    len: usize,
}

impl TeamQueue {
    /// Adds a unit under its number, which says how old it is.
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

    /// Returns the oldest unit of the shape at a place in the order of age.
    pub fn get(&self, position: usize) -> Option<&WorkUnit> {
        let shape = self.oldest_by_shape.values().nth(position)?;
        self.units_by_shape
            .get(shape)?
            .front()
            .map(|(_, unit)| unit)
    }

    /// Removes the oldest unit of the shape at a place in the order of age.
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

    /// Notes that the oldest unit finds no room; returns since when it finds none.
    pub fn mark_head_blocked(&mut self, now_ms: Millis) -> Millis {
        let shape = self.oldest_by_shape.values().next();
        let units = shape.and_then(|shape| self.units_by_shape.get_mut(shape));
        let head = units.and_then(|units| units.front_mut());
        head.map_or(now_ms, |(_, unit)| *unit.blocked_ms.get_or_insert(now_ms))
    }

    /// Returns what came last.
    pub const fn newest(&self) -> Option<&UnitKind> {
        self.newest.as_ref()
    }

    /// Returns the number of waiting units.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Says whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }
}
