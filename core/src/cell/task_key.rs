//! Identifiers of steps and tasks.

use crate::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a step in one occurrence of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, from 0; always 0 for a job that runs once.
    pub occurrence: u32,
    /// The index of the step in the job.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task of a step.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// The index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}
