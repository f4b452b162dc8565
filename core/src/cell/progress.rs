//! What is kept on record of a job's tasks.

use crate::WorkerId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Pending,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller gave it up.
    Cancelled,
}

impl JobState {
    /// Says whether nothing more will run.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        )
    }
}

/// Where a run of a task may be alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// The run's number.
    pub run: u32,
}

/// The recorded progress of one step.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// The tasks that have ended well, as bits.
    #[serde(with = "serde_bytes")]
    pub done: Vec<u8>,
    /// The runs of a task that have failed; tasks without one are left out. A gang counts at task 0.
    pub failed: BTreeMap<u32, Vec<u32>>,
    /// The latest checkpoints of tasks that are not done.
    pub checkpoints: BTreeMap<u32, CompactString>,
    /// Where tasks that are not done may run; on record before a start is ordered.
    #[serde(default)]
    pub placed: BTreeMap<u32, Placement>,
}

impl StepProgress {
    /// Says whether a task has ended well.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Records a failed run and returns how many have failed; a run counts once.
    pub fn add_failed(&mut self, index: u32, run: u32) -> usize {
        let runs = self.failed.entry(index).or_default();
        if !runs.contains(&run) {
            runs.push(run);
        }
        runs.len()
    }

    /// Marks a task as ended well.
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
