//! Submitted jobs and their recorded state.

use crate::{DaemonId, JobId, Millis, Payload, QueueName, Resources, TaskSet, TeamName};
use serde::{Deserialize, Serialize};

/// What a caller asks to be run later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue that the job enters.
    pub queue: QueueName,
    /// The number of tasks.
    pub tasks: u32,
    /// The need of one task.
    pub need: Resources,
    /// The declared run time of one task.
    pub run_ms: Millis,
    /// What each task is given.
    pub payload: Payload,
}

/// What is known of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum JobState {
    /// Some tasks have not ended.
    Active {
        /// Tasks that ended well.
        done: u32,
    },
    /// All tasks ended well.
    Succeeded,
    /// A task failed more often than is allowed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Says whether the state can no longer change.
    pub const fn is_final(self) -> bool {
        !matches!(self, JobState::Active { .. })
    }
}

/// A job as the table holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// The job's id.
    pub id: JobId,
    /// The team that runs it.
    pub team: TeamName,
    /// What was asked for.
    pub spec: JobSpec,
    /// The recorded state.
    pub state: JobState,
    /// The tasks that ended well.
    pub ended: TaskSet,
    /// The failed attempts so far.
    pub failures: u32,
    /// The daemon that wrote the row.
    pub writer: DaemonId,
}
