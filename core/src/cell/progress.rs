//! The recorded progress of jobs.

use crate::{Millis, WorkerId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a job, as clients see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Pending,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has failed in all its attempts.
    Failed,
    /// A client has cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        )
    }
}

/// A run of a task that may be active on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// The number of the run.
    pub run: u32,
    /// When the worker's lease ends by the store's clock, if the leader no longer renews it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ends_ms: Option<Millis>,
}

/// The recorded progress of one step.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// The tasks that have succeeded, as a bit set.
    #[serde(with = "serde_bytes")]
    pub done: Vec<u8>,
    /// The failed runs by task; a gang's failures are recorded at task 0.
    pub failed: BTreeMap<u32, Vec<u32>>,
    /// The latest checkpoints of unfinished tasks.
    pub checkpoints: BTreeMap<u32, CompactString>,
    /// The runs of unfinished tasks; a run is recorded here before its start is sent.
    #[serde(default)]
    pub placed: BTreeMap<u32, Placement>,
}

impl StepProgress {
    /// Returns whether a task has succeeded.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Returns whether it shows that a task has begun; a placement does not.
    fn has_begun(&self) -> bool {
        let has_done = self.done.iter().any(|bits| *bits != 0);
        has_done || !self.failed.is_empty() || !self.checkpoints.is_empty()
    }

    /// Records a failed run and returns the number of failed runs; a run is counted once.
    pub fn add_failed(&mut self, index: u32, run: u32) -> usize {
        let runs = self.failed.entry(index).or_default();
        if !runs.contains(&run) {
            runs.push(run);
        }
        runs.len()
    }

    /// Marks a task as succeeded.
    pub fn set_done(&mut self, index: u32) {
        let at = index as usize / 8;
        if self.done.len() <= at {
            self.done.resize(at + 1, 0);
        }
        self.done[at] |= 1 << (index % 8);
    }
}

/// The recorded progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The job's state.
    pub state: JobState,
    /// Its steps.
    pub steps: Vec<StepProgress>,
    /// When it ended, in Unix milliseconds; 0 before.
    pub ended_unix_ms: u64,
}

impl Progress {
    /// Returns the state that the recorded progress proves.
    pub(crate) fn known_state(&self) -> JobState {
        match self.state {
            JobState::Pending if self.steps.iter().any(StepProgress::has_begun) => {
                JobState::Running
            }
            state => state,
        }
    }

    /// Returns the state that callers see. A job with a recorded placement may have begun, and may have
    /// been shown as running, so it is not shown as pending.
    pub(crate) fn visible_state(&self) -> JobState {
        let is_placed = self.steps.iter().any(|step| !step.placed.is_empty());
        match self.known_state() {
            JobState::Pending if is_placed => JobState::Running,
            state => state,
        }
    }
}
