//! What a keeper knows of one job.

use crate::{consts, Class, JobRow, JobState, Origin, RequestId, TaskId, WorkerId};
use std::collections::BTreeMap;

/// A state of a job's record on its way to the table, and what it settles.
#[derive(Debug)]
pub(super) struct Writing {
    pub(super) state: JobState,
    pub(super) origins: Vec<Origin>,
    pub(super) unacked: Vec<(WorkerId, TaskId)>,
}

/// A job at the keeper.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) row: JobRow,
    pub(super) class: Class,
    pub(super) stage: Stage,
    /// The caller's id of the submission and the count by which its row is known again.
    pub(super) request: Option<(RequestId, u64)>,
    pub(super) running: BTreeMap<u32, (TaskId, WorkerId)>,
    pub(super) attempts: u32,
    /// The tasks that failed, each with the worker that failed it first.
    pub(super) failed_at: BTreeMap<u32, WorkerId>,
    /// Whether the gang must start anew once all its tasks have ended.
    pub(super) gang_broken: bool,
    pub(super) gang_queued: bool,
    /// Who waits until the record's latest change is written.
    pub(super) origins: Vec<Origin>,
    /// Ended tasks that their workers may forget once the record is written.
    pub(super) unacked: Vec<(WorkerId, TaskId)>,
    /// What the transaction under way writes.
    pub(super) writing: Option<Writing>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its row is being written.
    Recording,
    /// It was read from the table; its tasks may still run on workers that are not claimed.
    Adopting,
    /// Its tasks wait or run.
    Open,
}

impl JobRecord {
    pub(super) fn new(row: JobRow, class: Class, stage: Stage) -> Self {
        Self {
            row,
            class,
            stage,
            request: None,
            running: BTreeMap::new(),
            attempts: 0,
            failed_at: BTreeMap::new(),
            gang_broken: false,
            gang_queued: false,
            origins: Vec::new(),
            unacked: Vec::new(),
            writing: None,
        }
    }

    /// Notes that a task failed; says whether that counts against the job. A worker that fails
    /// several tasks at once counts once, unless they fail elsewhere too.
    pub(super) fn note_failure(&mut self, index: u32, worker: &WorkerId) -> bool {
        let free = self.failed_at.len() < consts::MAX_UNCOUNTED_FAILURES;
        let known = self.failed_at.values().any(|other| other == worker);
        let first = self.failed_at.insert(index, worker.clone()).is_none();
        !(first && known && free)
    }

    /// Becomes the record of a row that an earlier keeper wrote; returns who waits for it.
    pub(super) fn adopt(&mut self, row: JobRow, class: Class) -> Vec<Origin> {
        self.row = row;
        self.class = class;
        self.stage = Stage::Adopting;
        self.request = None;
        std::mem::take(&mut self.origins)
    }

    /// Notes that the present state is on its way to the table; a transaction that was turned away
    /// is made anew, so that what it was to settle is kept.
    pub(super) fn begin_writing(&mut self) {
        let state = self.row.state;
        let kept = self.writing.take();
        let (mut origins, mut unacked) =
            kept.map_or_else(Default::default, |kept| (kept.origins, kept.unacked));
        origins.append(&mut self.origins);
        unacked.append(&mut self.unacked);
        self.writing = Some(Writing {
            state,
            origins,
            unacked,
        });
    }

    /// Says whether a task neither runs nor has ended well.
    pub(super) fn lacks(&self, index: u32) -> bool {
        !self.row.ended.contains(index) && !self.running.contains_key(&index)
    }

    pub(super) fn runs_as(&self, index: u32, task: &TaskId) -> bool {
        self.running
            .get(&index)
            .is_some_and(|(running, _)| running == task)
    }
}
