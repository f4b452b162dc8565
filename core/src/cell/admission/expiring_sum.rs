//! A sum of work that each job leaves at its own time.

use crate::Millis;
use std::collections::BTreeMap;

/// The width of the intervals in which jobs leave; small against the shortest objective.
const INTERVAL_MS: u64 = 250;

/// Work and the number of jobs that it belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSum {
    /// In thousandths of a core times milliseconds.
    pub work: u64,
    /// The number of jobs.
    pub jobs: u64,
}

/// The sum of the work of jobs whose time has not come. A job leaves up to one interval early.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExpiringSum {
    by_interval: BTreeMap<u64, WorkSum>,
    sum: WorkSum,
    /// Jobs of earlier intervals have left.
    first: u64,
}

impl WorkSum {
    pub(super) fn add(&mut self, work: u64, jobs: u64) {
        self.work = self.work.saturating_add(work);
        self.jobs = self.jobs.saturating_add(jobs);
    }

    pub(super) fn subtract(&mut self, work: u64, jobs: u64) {
        self.work = self.work.saturating_sub(work);
        self.jobs = self.jobs.saturating_sub(jobs);
    }
}

impl ExpiringSum {
    /// Adds a job that leaves at `until`.
    pub fn add(&mut self, until: Millis, work: u64) {
        let interval = until.0 / INTERVAL_MS;
        if interval >= self.first {
            self.sum.add(work, 1);
            self.by_interval.entry(interval).or_default().add(work, 1);
        }
    }

    /// Removes a job as it was added, unless it has left.
    pub fn remove(&mut self, until: Millis, work: u64) {
        let interval = until.0 / INTERVAL_MS;
        if let Some(sum) = self.by_interval.get_mut(&interval) {
            self.sum.subtract(work, 1);
            sum.subtract(work, 1);
            if sum.jobs == 0 {
                self.by_interval.remove(&interval);
            }
        }
    }

    /// Removes the jobs whose time has come by `now`; returns the number of intervals that this took.
    pub fn advance(&mut self, now: Millis) -> u64 {
        self.first = self.first.max(now.0 / INTERVAL_MS);
        let mut removed = 0;
        while let Some(entry) = self.by_interval.first_entry() {
            if *entry.key() >= self.first {
                break;
            }
            let WorkSum { work, jobs } = entry.remove();
            self.sum.subtract(work, jobs);
            removed += 1;
        }
        removed
    }

    /// Returns the sum.
    pub fn sum(&self) -> WorkSum {
        self.sum
    }
}
