//! The waiting work of one team on the workers of one service.

use crate::{
    cell::admission::{
        expiring_sum::{ExpiringSum, WorkSum},
        WaitingJob,
    },
    Millis,
};

/// The waiting work of one team by what it can still achieve, as in the scheduling order: work that can
/// end in time, all work whose result is still useful, and all work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TeamBacklog {
    in_time: ExpiringSum,
    useful: ExpiringSum,
    all: WorkSum,
}

impl TeamBacklog {
    /// Adds a job's waiting work.
    pub fn add(&mut self, job: &WaitingJob) {
        self.all.add(job.work, 1);
        self.useful.add(job.useful_start_at, job.work);
        if let Some(latest_start_at) = job.latest_start_at {
            self.in_time.add(latest_start_at, job.work);
        }
    }

    /// Removes a job's waiting work, as it was added.
    pub fn remove(&mut self, job: &WaitingJob) {
        self.all.subtract(job.work, 1);
        self.useful.remove(job.useful_start_at, job.work);
        if let Some(latest_start_at) = job.latest_start_at {
            self.in_time.remove(latest_start_at, job.work);
        }
    }

    /// Moves the work whose time has come by `now` to later tiers; returns the number of operations.
    pub fn advance(&mut self, now: Millis) -> u64 {
        self.in_time.advance(now) + self.useful.advance(now)
    }

    /// Returns the work that can still end in time.
    pub fn in_time(&self) -> WorkSum {
        self.in_time.sum()
    }

    /// Returns the work whose result is still useful.
    pub fn useful(&self) -> WorkSum {
        self.useful.sum()
    }

    /// Returns all work.
    pub fn all(&self) -> WorkSum {
        self.all
    }
}
