//! What a keeper knows of one job.

use crate::{consts, Class, JobRow, JobState, Origin, RequestId, TaskId, WorkerId};
use std::collections::BTreeMap;

/// A state of a job's record on its way to the table, and what it settles.
#[derive(Debug)]
pub(super) struct JobWrite {
    pub(super) state: JobState,
    pub(super) origins: Vec<Origin>,
    pub(super) unacked_tasks: Vec<(WorkerId, TaskId)>,
}

/// A job at the keeper.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) row: JobRow,
    pub(super) class: Class,
    pub(super) stage: JobStage,
    /// The caller's id of the submission and the count by which its row is known again.
    pub(super) submission: Option<(RequestId, u64)>,
    pub(super) running: BTreeMap<u32, (TaskId, WorkerId)>,
    pub(super) attempts: u32,
    /// The tasks that failed, each with the worker that failed it first.
    pub(super) last_failed_workers: BTreeMap<u32, WorkerId>,
    /// Whether the gang must start anew once all its tasks have ended.
    pub(super) gang_needs_restart: bool,
    pub(super) gang_queued: bool,
    /// Who waits until the record's latest change is written.
    pub(super) origins: Vec<Origin>,
    /// Ended tasks that their workers may forget once the record is written.
    pub(super) unacked_tasks: Vec<(WorkerId, TaskId)>,
    /// What the transaction under way writes.
    pub(super) pending_write: Option<JobWrite>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobStage {
    /// Its row is being written.
    Recording,
    /// It was read from the table; its tasks may still run on workers that are not claimed.
    Adopting,
    /// Its tasks wait or run.
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

    /// Notes that a task failed; says whether that counts against the job. A worker that fails
    /// several tasks at once counts once, unless they fail elsewhere too.
    pub(super) fn record_failure(&mut self, index: u32, worker: &WorkerId) -> bool {
        let is_below_limit = self.last_failed_workers.len() < consts::FREE_FAILURES;
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

    /// Becomes the record of a row that an earlier keeper wrote; returns who waits for it.
    pub(super) fn adopt(&mut self, row: JobRow, class: Class) -> Vec<Origin> {
        self.row = row;
        self.class = class;
        self.stage = JobStage::Adopting;
        self.submission = None;
        std::mem::take(&mut self.origins)
    }

    /// Notes that the present state is on its way to the table; a transaction that was turned away
    /// is made anew, so that what it was to settle is kept.
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

    /// Says whether a task neither runs nor has ended well.
    pub(super) fn is_task_missing(&self, index: u32) -> bool {
        !self.row.ended.contains(index) && !self.running.contains_key(&index)
    }

    pub(super) fn is_running_as(&self, index: u32, task: &TaskId) -> bool {
        self.running
            .get(&index)
            .is_some_and(|(running, _)| running == task)
    }
}
