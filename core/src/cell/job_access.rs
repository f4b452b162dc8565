//! Which jobs a caller may see and end.

use crate::{
    cell::{JobRow, Queue},
    QueueName, TeamName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The fixed part of the encoded size.
const ACCESS_BYTES: usize = 128;

/// The jobs that a call may see and end, as decided when the call came in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAccess {
    /// The team that the caller's key belongs to; `None` without a key on an open queue.
    team: Option<TeamName>,
    /// The queue of the call if it is open: whoever calls may see and end its jobs, also those that were
    /// submitted with a key before it was open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    open_queue: Option<Box<OpenQueue>>,
}

/// An open queue, by its name and by the address that clients use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct OpenQueue {
    name: QueueName,
    host: CompactString,
    path_prefix: CompactString,
}

impl JobAccess {
    /// Returns the access of a call to a queue by a team.
    pub fn new(queue: &Queue, team: Option<TeamName>) -> Self {
        let open_queue = queue.open.then(|| {
            Box::new(OpenQueue {
                name: queue.name.clone(),
                host: queue.host.clone(),
                path_prefix: queue.path_prefix.clone(),
            })
        });
        Self { team, open_queue }
    }

    /// Returns the access of the call that submitted a job.
    pub(crate) fn of_submitter(job: &JobRow) -> Self {
        let team = job.team.clone();
        match &job.queue_spec {
            Some(queue) => Self::new(queue, team),
            None => Self {
                team,
                open_queue: None,
            },
        }
    }

    /// Returns whether a job is one of them. `queue` is the queue that the job belongs to by the desired
    /// state, if known.
    pub fn covers(&self, job: &JobRow, queue: Option<&Queue>) -> bool {
        let is_of_team = job.team.is_none() || job.team == self.team;
        let open_queue = self.open_queue.as_deref();
        is_of_team || open_queue.is_some_and(|own| own.has_job(job, queue))
    }

    /// Returns an upper bound of the encoded size.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        let team = self.team.as_ref().map_or(0, |team| team.as_str().len());
        let queue = self.open_queue.as_deref().map_or(0, OpenQueue::text_bytes);
        ACCESS_BYTES + team + queue
    }
}

impl OpenQueue {
    /// Returns whether a job belongs to this queue. While the job's queue by the desired state is unknown,
    /// its name and its recorded address both count.
    fn has_job(&self, job: &JobRow, queue: Option<&Queue>) -> bool {
        let has_same_address = |queue: &Queue| queue.is_at(&self.host, &self.path_prefix);
        match queue {
            Some(queue) => has_same_address(queue),
            None => {
                let recorded = job.queue_spec.as_deref();
                job.queue == self.name || recorded.is_some_and(has_same_address)
            }
        }
    }

    fn text_bytes(&self) -> usize {
        self.name.as_str().len() + self.host.len() + self.path_prefix.len()
    }
}
