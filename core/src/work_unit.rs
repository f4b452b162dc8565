//! Units of waiting work.

use crate::{Class, JobId, Millis, RequestId, Resources, TeamName, WorkerId};
use serde::{Deserialize, Serialize};

/// What a unit of waiting work stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UnitKind {
    /// A request.
    Request(RequestId),
    /// One task of a job.
    Task {
        /// The job.
        job: JobId,
        /// The task's number.
        index: u32,
    },
    /// All tasks of a gang job.
    Gang {
        /// The job.
        job: JobId,
        /// The number of tasks.
        tasks: u32,
    },
}

/// Work that waits for workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkUnit {
    /// What it stands for.
    pub kind: UnitKind,
    /// The team that pays for it.
    pub team: TeamName,
    /// Its policy.
    pub class: Class,
    /// The need of one task.
    pub need: Resources,
    /// When it began to wait.
    pub since_ms: Millis,
    /// A worker that just failed it.
    pub avoid: Option<WorkerId>,
    /// When it first found no room at the head of its queue.
    pub blocked_ms: Option<Millis>,
}

impl UnitKind {
    /// Returns the job that the work belongs to.
    pub const fn job(&self) -> Option<&JobId> {
        match self {
            UnitKind::Request(_) => None,
            UnitKind::Task { job, .. } | UnitKind::Gang { job, .. } => Some(job),
        }
    }

    /// Says whether both belong to one job.
    pub fn is_of_same_job(&self, other: &Self) -> bool {
        self.job().is_some() && self.job() == other.job()
    }
}

impl WorkUnit {
    /// Returns the number of tasks that start together.
    pub const fn tasks(&self) -> u32 {
        match self.kind {
            UnitKind::Gang { tasks, .. } => tasks,
            _ => 1,
        }
    }
}
