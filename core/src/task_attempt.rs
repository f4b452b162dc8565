//! The ids of attempts to run tasks.

use crate::{JobId, RequestId, TaskId, Term};

/// The content of a [`TaskId`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskAttempt {
    /// An attempt to run a request.
    Request {
        /// The request.
        request: RequestId,
        /// The term in which it was made.
        term: Term,
        /// The attempts made before it in that term.
        attempt: u32,
    },
    /// An attempt to run a task of a job.
    Job {
        /// The job.
        job: JobId,
        /// The task's number within the job.
        index: u32,
        /// The term in which it was made.
        term: Term,
        /// The attempts made before it in that term.
        attempt: u32,
    },
}

impl TaskAttempt {
    /// Returns the id of the attempt.
    pub fn id(&self) -> TaskId {
        match self {
            TaskAttempt::Request {
                request,
                term,
                attempt,
            } => TaskId::new(format!("r {term} {attempt} {request}")),
            TaskAttempt::Job {
                job,
                index,
                term,
                attempt,
            } => TaskId::new(format!("j {term} {attempt} {index} {job}")),
        }
    }

    /// Parses an id that [`TaskAttempt::id`] returned.
    pub fn parse(id: &TaskId) -> Option<TaskAttempt> {
        let (kind, rest) = id.as_str().split_once(' ')?;
        let (term, rest) = rest.split_once(' ')?;
        let (attempt, rest) = rest.split_once(' ')?;
        let term = term.parse().ok()?;
        let attempt = attempt.parse().ok()?;
        match kind {
            "r" => Some(TaskAttempt::Request {
                request: RequestId::new(rest),
                term,
                attempt,
            }),
            "j" => {
                let (index, job) = rest.split_once(' ')?;
                let index = index.parse().ok()?;
                Some(TaskAttempt::Job {
                    job: JobId::new(job),
                    index,
                    term,
                    attempt,
                })
            }
            _ => None,
        }
    }
}
