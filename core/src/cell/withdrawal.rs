//! Cancellations that came before the record of their job.

use crate::cell::{JobAccess, JobRow};
use serde::{Deserialize, Serialize};

/// The row that takes the place of a job's row once a cancellation was answered although no job was
/// recorded. A write of the job that is carried out later meets it and fails.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// The callers' access; jobs that are outside of it are not affected.
    by: Vec<JobAccess>,
}

impl Withdrawal {
    /// Adds a caller's access; returns whether it is new.
    pub fn add(&mut self, access: JobAccess) -> bool {
        let is_new = !self.by.contains(&access);
        if is_new {
            self.by.push(access);
        }
        is_new
    }

    /// Returns whether a caller that may end the job has cancelled it.
    pub fn covers(&self, job: &JobRow) -> bool {
        let queue = job.queue_spec.as_deref();
        self.by.iter().any(|access| access.covers(job, queue))
    }

    /// Returns an upper bound of the encoded size of the callers' access.
    pub(crate) fn text_bytes(&self) -> usize {
        self.by.iter().map(JobAccess::max_encoded_bytes).sum()
    }
}
