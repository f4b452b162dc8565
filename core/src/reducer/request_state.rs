//! What a keeper knows of one request.

use crate::{consts, AdmittedRequest, Answer, DaemonId, Millis, Origin, TaskId, WorkerId};
use std::collections::BTreeSet;

/// A request at the keeper.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) admitted: AdmittedRequest,
    pub(super) nonce: u64,
    pub(super) origins: BTreeSet<Origin>,
    pub(super) deadline_ms: Millis,
    pub(super) since_ms: Millis,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    /// The worker that failed it first.
    pub(super) failed_at: Option<WorkerId>,
    /// The attempts of which it is not known that they never started.
    pub(super) doubtful: u32,
}

/// How far a request has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its row is being written.
    Recording,
    /// An earlier keeper announced it; its workers are asked what became of it.
    Seeking,
    /// It was passed on to the keeper of another failure domain, whatever comes of it there.
    PassedOn(DaemonId),
    /// It waits for a worker.
    Waiting,
    /// A worker has it.
    Running(TaskId, Option<WorkerId>),
    /// It was answered.
    Answered(Answer, Millis),
}

impl RequestState {
    pub(super) fn runs_as(&self, task: &TaskId) -> bool {
        matches!(&self.stage, Stage::Running(running, _) if running == task)
    }

    /// Returns how long the answer is kept: to run an idempotent request again does no harm.
    pub(super) const fn keep_ms(&self) -> Millis {
        match self.admitted.request.idempotent {
            true => consts::IDEMPOTENT_ANSWER_RETENTION_MS,
            false => consts::ANSWER_RETENTION_MS,
        }
    }

    pub(super) fn is_same(&self, other: &AdmittedRequest) -> bool {
        let (a, b) = (&self.admitted.request, &other.request);
        a.queue == b.queue && a.payload == b.payload && a.idempotent == b.idempotent
    }
}
