//! Units of pending work.

use crate::{Class, JobId, Millis, RequestId, Resources, TeamName, WorkerId};
use serde::{Deserialize, Serialize};

/// The content of a unit of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UnitKind {
    /// A request.
    Request(RequestId),
    /// One task of a job.
    Task {
        /// The job.
        job: JobId,
        /// The task's index.
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

/// A unit of work that is pending until workers have room for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkUnit {
    /// The content.
    pub kind: UnitKind,
    /// The team whose limit it counts against.
    pub team: TeamName,
    /// Its class.
    pub class: Class,
    /// The need of one task.
    pub need: Resources,
    /// When it became pending.
    pub since_ms: Millis,
    /// The worker that failed it before, which is avoided if possible.
    pub avoid: Option<WorkerId>,
    /// Since when it has had no room at the head of its queue.
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

    /// Returns whether both belong to the same job.
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
