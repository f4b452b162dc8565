//! Processors, memory, accelerators and request slots.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of each resource, such as a worker's capacity or a task's need.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a processor.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
    /// Slots for concurrent requests.
    pub slots: u64,
}

/// The number of resources in [`Resources`].
pub const KIND_COUNT: usize = 4;

impl Resources {
    /// The names of the resources in the order of [`Resources::amounts`].
    pub const NAMES: [&'static str; KIND_COUNT] = ["processors", "memory", "accelerators", "slots"];

    /// Returns the amounts as an array, in the order of [`Resources::NAMES`].
    pub const fn amounts(&self) -> [u64; KIND_COUNT] {
        [
            self.cpu_milli,
            self.memory_mib,
            self.accelerators,
            self.slots,
        ]
    }

    /// Returns the resources from an array of amounts in the order of [`Resources::NAMES`].
    pub const fn from_amounts(parts: [u64; KIND_COUNT]) -> Self {
        Self {
            cpu_milli: parts[0],
            memory_mib: parts[1],
            accelerators: parts[2],
            slots: parts[3],
        }
    }

    fn zip(self, other: Self, op: impl Fn(u64, u64) -> u64) -> Self {
        let (a, b) = (self.amounts(), other.amounts());
        Self::from_amounts(std::array::from_fn(|i| op(a[i], b[i])))
    }

    /// Returns the saturating sum.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference, with zero in place of negative amounts.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the saturating product with `count`.
    pub fn times(self, count: u64) -> Self {
        self.zip(self, |a, _| a.saturating_mul(count))
    }

    /// Returns the smaller amount of each resource.
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns whether each amount is at most that in `room`.
    pub fn fits(&self, room: &Self) -> bool {
        let (a, b) = (self.amounts(), room.amounts());
        (0..KIND_COUNT).all(|i| a[i] <= b[i])
    }

    /// Returns the name of the first resource of which `room` has too little.
    pub fn first_excess(&self, room: &Self) -> Option<&'static str> {
        let (a, b) = (self.amounts(), room.amounts());
        (0..KIND_COUNT)
            .find(|&i| a[i] > b[i])
            .map(|i| Self::NAMES[i])
    }

    /// Returns how many times the amounts fit into `room`, or [`u64::MAX`] if all are zero.
    pub fn count_in(&self, room: &Self) -> u64 {
        let (a, b) = (self.amounts(), room.amounts());
        let needed = (0..KIND_COUNT).filter(|&i| a[i] > 0);
        needed.map(|i| b[i] / a[i]).min().unwrap_or(u64::MAX)
    }

    /// Returns the largest share of `total` over all resources, in millionths.
    pub fn dominant_share_ppm(&self, total: &Self) -> u64 {
        let (a, b) = (self.amounts(), total.amounts());
        let share = |i: usize| match b[i] {
            0 => 0,
            total => a[i].saturating_mul(1_000_000) / total,
        };
        (0..KIND_COUNT).map(share).max().unwrap_or(0)
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cpu={}m,memory={}MiB,accelerators={},slots={}",
            self.cpu_milli, self.memory_mib, self.accelerators, self.slots
        )
    }
}
