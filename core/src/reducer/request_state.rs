//! The leader's state of one request.

use crate::{consts, AdmittedRequest, Answer, DaemonId, Millis, Origin, TaskId, WorkerId};
use std::collections::BTreeSet;

/// A request at the leader.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) admitted: AdmittedRequest,
    /// Identifies the intent row that this daemon writes for the request.
    pub(super) nonce: u64,
    /// The callers that wait for the answer.
    pub(super) origins: BTreeSet<Origin>,
    pub(super) deadline_ms: Millis,
    pub(super) received_ms: Millis,
    pub(super) stage: RequestStage,
    pub(super) attempts: u32,
    /// The worker at which it failed first.
    pub(super) first_failed_worker: Option<WorkerId>,
    /// The number of attempts that may have started.
    pub(super) uncertain_attempts: u32,
}

/// The progress of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum RequestStage {
    /// Its row is being written.
    Recording,
    /// An earlier leader recorded it; its outcome is looked up among the tasks that the workers
    /// report when they are claimed.
    Recovering,
    /// It was forwarded to the leader of another failure domain and never runs here.
    Forwarded(DaemonId),
    /// It waits for a worker.
    Waiting,
    /// It runs at a worker; `None` after a handover, until that worker is claimed.
    Running(TaskId, Option<WorkerId>),
    /// It was answered; the answer is kept for retries until the given time.
    Answered(Answer, Millis),
}

impl RequestState {
    pub(super) fn is_running_as(&self, task: &TaskId) -> bool {
        matches!(&self.stage, RequestStage::Running(running, _) if running == task)
    }

    /// Returns how long the answer is kept for retries. An idempotent request is kept for a shorter
    /// time, since running it again is harmless.
    pub(super) const fn answer_retention_ms(&self) -> Millis {
        match self.admitted.request.idempotent {
            true => consts::IDEMPOTENT_ANSWER_RETENTION_MS,
            false => consts::ANSWER_RETENTION_MS,
        }
    }

    /// Returns whether a request with the same id is a retry and not another request.
    pub(super) fn is_same_request(&self, other: &AdmittedRequest) -> bool {
        let (a, b) = (&self.admitted.request, &other.request);
        a.queue == b.queue && a.payload == b.payload && a.idempotent == b.idempotent
    }
}
