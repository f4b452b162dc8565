//! Rows in the place of a job that is not recorded: cancellations and refusals.

use crate::{
    cell::{JobAccess, JobRow},
    Millis,
};
use serde::{Deserialize, Serialize};

/// The row that takes the place of a job's row once a cancellation was answered although no job was
/// recorded, or the job was refused for load. A write of the job that is carried out later meets it and
/// fails.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// The callers' access; jobs that are outside of it are not affected.
    by: Vec<JobAccess>,
    /// A time of the store's clock by which the row was written, if the job was refused for load. A
    /// submission that came in later replaces the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    refused_by_ms: Option<Millis>,
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

    /// Returns the row with a refusal that is written by `time` of the store's clock.
    pub(crate) fn with_refusal(mut self, time: Millis) -> Self {
        self.refused_by_ms = Some(time);
        self
    }

    /// Returns whether a submission that came in when the store's clock had reached `received` certainly
    /// came after the refusal, if there is one.
    pub(crate) fn is_refused_before(&self, received: Option<Millis>) -> bool {
        match self.refused_by_ms {
            Some(refused_by) => received.is_some_and(|received| received > refused_by),
            None => true,
        }
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
