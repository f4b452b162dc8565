//! The waiting work of one team on the workers of one service.

use crate::Millis;
use std::collections::BTreeMap;

/// The width of the intervals by which jobs lose their use; small against the shortest objective times
/// three.
const INTERVAL_MS: u64 = 500;

/// Work and the number of jobs that it belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Sum {
    work: u64,
    jobs: u64,
}

/// The waiting work of one team, in two tiers: work whose result is still useful if it starts now, and
/// late work, which starts only where no useful work waits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TeamBacklog {
    /// Useful work by the interval in which it loses its use.
    by_interval: BTreeMap<u64, Sum>,
    useful: Sum,
    late: Sum,
    /// Work that loses its use before this interval is late.
    first_useful: u64,
}

impl Sum {
    fn add(&mut self, work: u64) {
        self.work = self.work.saturating_add(work);
        self.jobs += 1;
    }

    fn subtract(&mut self, work: u64) {
        self.work = self.work.saturating_sub(work);
        self.jobs = self.jobs.saturating_sub(1);
    }
}

impl TeamBacklog {
    /// Adds a job's waiting work.
    pub fn add(&mut self, useful_start_at: Millis, work: u64) {
        let interval = useful_start_at.0 / INTERVAL_MS;
        if interval < self.first_useful {
            return self.late.add(work);
        }
        self.useful.add(work);
        self.by_interval.entry(interval).or_default().add(work);
    }

    /// Removes a job's waiting work, as it was added.
    pub fn remove(&mut self, useful_start_at: Millis, work: u64) {
        let interval = useful_start_at.0 / INTERVAL_MS;
        if interval < self.first_useful {
            return self.late.subtract(work);
        }
        self.useful.subtract(work);
        if let Some(sum) = self.by_interval.get_mut(&interval) {
            sum.subtract(work);
            if sum.jobs == 0 {
                self.by_interval.remove(&interval);
            }
        }
    }

    /// Moves the work that has lost its use by `now` to the late work; each interval is moved once.
    /// Returns the number of intervals.
    pub fn advance(&mut self, now: Millis) -> u64 {
        let mut moved = 0;
        self.first_useful = self.first_useful.max(now.0 / INTERVAL_MS);
        while let Some(entry) = self.by_interval.first_entry() {
            if *entry.key() >= self.first_useful {
                break;
            }
            moved += 1;
            let sum = entry.remove();
            self.useful.work = self.useful.work.saturating_sub(sum.work);
            self.useful.jobs = self.useful.jobs.saturating_sub(sum.jobs);
            self.late.work = self.late.work.saturating_add(sum.work);
            self.late.jobs += sum.jobs;
        }
        moved
    }

    /// Returns the useful work, in thousandths of a core times milliseconds.
    pub fn useful_work(&self) -> u64 {
        self.useful.work
    }

    /// Returns the number of jobs with useful work.
    pub fn useful_jobs(&self) -> u64 {
        self.useful.jobs
    }

    /// Returns the late work, in thousandths of a core times milliseconds.
    pub fn late_work(&self) -> u64 {
        self.late.work
    }

    /// Returns whether no work waits.
    pub fn is_empty(&self) -> bool {
        self.useful.jobs == 0 && self.late.jobs == 0
    }
}
