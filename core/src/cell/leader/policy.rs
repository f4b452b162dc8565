//! What the desired state says about jobs.
//!
//! Every decision that depends on the desired state is a method of [`Policy`] or takes one, and a policy
//! is only made from a desired state that has been read. A leader without one records what it learns and
//! neither starts nor ends anything that depends on it.

use crate::{
    cell::{leader::jobs::Job, queue_key::QueueKey, AdviceCost, DesiredState, JobRow, Queue, Team},
    TeamName,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// A desired state, with the definitions of removed queues that open jobs still need.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    state: Rc<DesiredState>,
    /// The queues of open jobs that the state lacks: accepted jobs run although their queue was removed.
    removed: BTreeMap<QueueKey, Queue>,
}

impl Policy {
    /// Returns the policy by a desired state. A queue of an open job that the state lacks keeps its
    /// definition of the `previous` policy or, without one, that recorded with the job.
    pub(crate) fn new<'a>(
        state: &Rc<DesiredState>,
        previous: Option<&Self>,
        open_jobs: impl Iterator<Item = &'a JobRow>,
    ) -> Self {
        let mut policy = Self {
            state: state.clone(),
            removed: BTreeMap::new(),
        };
        let mut checked = BTreeSet::new();
        for row in open_jobs {
            let former = previous.filter(|_| checked.insert(row.queue_key()));
            let former = former.and_then(|previous| previous.queue(row));
            policy.keep(row, former);
        }
        policy
    }

    /// Keeps the definition of a job's queue if the desired state lacks it: `former` or, without one, that
    /// recorded with the job.
    fn keep(&mut self, row: &JobRow, former: Option<&Queue>) {
        if self.queue(row).is_some() {
            return;
        }
        if let Some(queue) = former.or(row.queue_spec.as_deref()) {
            self.removed.insert(row.queue_key(), queue.clone());
        }
    }

    /// Returns whether it has the definition of a job's queue, or can get none from the job.
    pub(crate) fn covers(&self, row: &JobRow) -> bool {
        row.queue_spec.is_none() || self.queue(row).is_some()
    }

    /// Returns the policy with the definition of a job's queue.
    pub(crate) fn with_queue_of(mut self, row: &JobRow) -> Self {
        self.keep(row, None);
        self
    }

    /// Returns the version of the desired state.
    pub(crate) fn version(&self) -> u64 {
        self.state.version
    }

    /// Returns whether another policy defines all queues in the same way.
    pub(crate) fn has_same_queues(&self, other: &Self) -> bool {
        self.state.queues == other.state.queues && self.removed == other.removed
    }

    /// Returns the queue of a job; `None` if it was removed and no definition of it is recorded.
    pub(crate) fn queue(&self, row: &JobRow) -> Option<&Queue> {
        self.queue_by(&row.queue_key())
    }

    /// Returns the queue with a key. One that was removed and added again under another name or with another
    /// service is the new one: no desired state sends its jobs to the former service any more.
    pub(crate) fn queue_by(&self, key: &QueueKey) -> Option<&Queue> {
        let current = self.state.queue_of(key);
        current.or_else(|| self.removed.get(key))
    }

    /// Returns the team with a name.
    pub(crate) fn team(&self, name: &TeamName) -> Option<&Team> {
        self.state.team(name)
    }

    /// Returns the cost of a call for advice on a job's steps; `None` if its tasks need no tickets.
    pub(crate) fn advice_cost(&self, row: &JobRow) -> Option<AdviceCost> {
        self.queue(row)?.advice
    }

    /// Returns whether a task may start once more after its recorded failed runs.
    pub(crate) fn allows_attempt(&self, job: &Job, at: usize, index: u32) -> bool {
        self.is_below_limit(&job.row, job.failed_runs(at, index))
    }

    /// Returns whether a task of the job has failed in all its attempts. A task that may have an active run
    /// is decided when that run ends: the limit may have been lowered after its start.
    pub(crate) fn is_exhausted(&self, job: &Job) -> bool {
        let mut failed = job.failed_tasks();
        failed.any(|(at, index, runs)| {
            let is_idle = job.has_no_attempt(at, index);
            is_idle && !self.is_below_limit(&job.row, runs)
        })
    }

    fn is_below_limit(&self, row: &JobRow, failed_runs: usize) -> bool {
        // Without a definition of its queue the job does not start at all.
        let limit = self.queue(row).map(|queue| queue.max_attempts as usize);
        limit.is_none_or(|limit| failed_runs == 0 || failed_runs < limit)
    }
}
