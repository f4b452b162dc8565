//! The leader's state of one job.

use crate::{consts, Class, JobRow, JobState, Origin, RequestId, TaskId, WorkerId};
use std::collections::BTreeMap;

/// A job row that is being written, with the callers and workers to notify once it is.
#[derive(Debug)]
pub(super) struct JobWrite {
    pub(super) state: JobState,
    pub(super) origins: Vec<Origin>,
    pub(super) unacked_tasks: Vec<(WorkerId, TaskId)>,
}

/// A job at the leader.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) row: JobRow,
    pub(super) class: Class,
    pub(super) stage: JobStage,
    /// The id of the submission and the nonce that identifies its intent row.
    pub(super) submission: Option<(RequestId, u64)>,
    /// The running tasks by index, each with its attempt and worker.
    pub(super) running: BTreeMap<u32, (TaskId, WorkerId)>,
    pub(super) attempts: u32,
    /// The failed tasks, each with the worker at which it failed last.
    pub(super) last_failed_workers: BTreeMap<u32, WorkerId>,
    /// Whether the gang must run again as a whole once none of its tasks is running.
    pub(super) gang_needs_restart: bool,
    pub(super) gang_queued: bool,
    /// The callers that wait until the latest change is written.
    pub(super) origins: Vec<Origin>,
    /// The ended tasks to acknowledge to their workers once the latest change is written.
    pub(super) unacked_tasks: Vec<(WorkerId, TaskId)>,
    /// The write in progress.
    pub(super) pending_write: Option<JobWrite>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobStage {
    /// Its row is being written.
    Recording,
    /// It was read from the table; its tasks may still run at unclaimed workers.
    Adopting,
    /// Its tasks are queued or running.
    Open,
}

impl JobRecord {
    pub(super) fn new(row: JobRow, class: Class, stage: JobStage) -> Self {
        Self {
            row,
            class,
            stage,
            submission: None,
            running: BTreeMap::new(),
            attempts: 0,
            last_failed_workers: BTreeMap::new(),
            gang_needs_restart: false,
            gang_queued: false,
            origins: Vec::new(),
            unacked_tasks: Vec::new(),
            pending_write: None,
        }
    }

    /// Records a task's failure; returns whether it counts against the job.
    ///
    /// If one worker fails several tasks, only the first of them counts, so that a faulty worker
    /// does not fail the job. A task that fails again counts, and so does every failure once
    /// [`consts::MAX_UNCOUNTED_FAILURES`] tasks have failed.
    pub(super) fn record_failure(&mut self, index: u32, worker: &WorkerId) -> bool {
        let is_below_limit = self.last_failed_workers.len() < consts::MAX_UNCOUNTED_FAILURES;
        let has_worker_failed = self
            .last_failed_workers
            .values()
            .any(|other| other == worker);
        let is_first_failure = self
            .last_failed_workers
            .insert(index, worker.clone())
            .is_none();
        !(is_first_failure && has_worker_failed && is_below_limit)
    }

    /// Replaces the record with a row that an earlier leader wrote; returns the callers that wait
    /// for it.
    pub(super) fn adopt(&mut self, row: JobRow, class: Class) -> Vec<Origin> {
        self.row = row;
        self.class = class;
        self.stage = JobStage::Adopting;
        self.submission = None;
        std::mem::take(&mut self.origins)
    }

    /// Starts writing the present state. If an earlier write was refused, its callers and tasks
    /// carry over to this one.
    pub(super) fn begin_write(&mut self) {
        let state = self.row.state;
        let previous = self.pending_write.take();
        let (mut origins, mut unacked_tasks) = previous.map_or_else(Default::default, |previous| {
            (previous.origins, previous.unacked_tasks)
        });
        origins.append(&mut self.origins);
        unacked_tasks.append(&mut self.unacked_tasks);
        self.pending_write = Some(JobWrite {
            state,
            origins,
            unacked_tasks,
        });
    }

    /// Returns whether a task is neither running nor completed.
    pub(super) fn is_task_missing(&self, index: u32) -> bool {
        !self.row.ended.contains(index) && !self.running.contains_key(&index)
    }

    pub(super) fn is_running_as(&self, index: u32, task: &TaskId) -> bool {
        self.running
            .get(&index)
            .is_some_and(|(running, _)| running == task)
    }
}
