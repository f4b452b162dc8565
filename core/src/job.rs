//! Submitted jobs and their recorded state.

use crate::{DaemonId, JobId, Millis, Payload, QueueName, Resources, TaskSet, TeamName};
use serde::{Deserialize, Serialize};

/// The specification of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue that the job enters.
    pub queue: QueueName,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that one task needs.
    pub need: Resources,
    /// The declared run time of one task.
    pub run_ms: Millis,
    /// The input of each task.
    pub payload: Payload,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum JobState {
    /// Some tasks have not succeeded yet.
    Active {
        /// The number of tasks that succeeded.
        done: u32,
    },
    /// All tasks succeeded.
    Succeeded,
    /// Its tasks failed too often; see [`MAX_ATTEMPTS`](crate::consts::MAX_ATTEMPTS).
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub const fn is_final(self) -> bool {
        !matches!(self, JobState::Active { .. })
    }
}

/// The row of a job in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// The job's id.
    pub id: JobId,
    /// The team whose limit the job counts against.
    pub team: TeamName,
    /// The submitted specification.
    pub spec: JobSpec,
    /// The recorded state.
    pub state: JobState,
    /// The tasks that succeeded.
    pub ended: TaskSet,
    /// The number of failed attempts that count against the job.
    pub failures: u32,
    /// The daemon that wrote the row.
    pub writer: DaemonId,
}
