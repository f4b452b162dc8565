//! Requests that a new leader takes over from the previous one, after a handover or a crash.

use super::{
    request_state::{RequestStage, RequestState},
    Core,
};
use crate::{
    consts, AdmittedRequest, Answer, EndedTask, Millis, PendingRequest, RequestId, RunningRequest,
    TaskEnd, TaskId, UnitKind, WorkerIx,
};
use std::collections::BTreeSet;

/// A request that a previous leader started and that this leader has not matched to a call yet.
#[derive(Clone, Debug)]
pub(super) enum Orphan {
    /// It runs on a worker.
    Running(WorkerIx, TaskId),
    /// It ended; the answer is kept until the given time.
    Ended(Answer, Millis),
}

impl Core {
    /// Resolves a request that a previous leader recorded, from what the workers reported.
    ///
    /// Once all workers are claimed and none reported it, its outcome is unknown.
    pub(super) fn resolve_orphan(&mut self, id: &RequestId) {
        let found = self.orphans.get(id).cloned();
        match found {
            Some(Orphan::Ended(answer, _)) => self.finish_request(id, answer),
            Some(Orphan::Running(ix, task)) => {
                let worker = self.fleet.get(ix).host.worker.clone();
                if let Some(state) = self.requests.get_mut(id) {
                    state.stage = RequestStage::Running(task.clone(), Some(worker));
                }
                if let Some(running) = self.fleet.get_mut(ix).tasks.get_mut(&task) {
                    running.unit = Some(UnitKind::Request(id.clone()));
                }
                self.orphans.remove(id);
            }
            None if self.fleet.unclaimed_count() == 0 => {
                self.finish_request(id, Answer::OutcomeUnknown);
            }
            None => {}
        }
    }

    /// Stores the outcome of a request that a previous leader started, for the caller's retry.
    pub(super) fn on_orphan_ended(&mut self, id: RequestId, ended: EndedTask) {
        let answer = match ended.end {
            TaskEnd::Done => Answer::Done(ended.output),
            TaskEnd::Failed => Answer::Failed(ended.output),
            TaskEnd::Stopped | TaskEnd::Lapsed => Answer::OutcomeUnknown,
        };
        let until_ms = self.now_ms + consts::ANSWER_RETENTION_MS;
        self.orphans.insert(id, Orphan::Ended(answer, until_ms));
    }

    /// Returns the request that a running task belongs to, and whether the task may continue, after
    /// a claim.
    pub(super) fn adopt_request(
        &mut self,
        ix: WorkerIx,
        id: RequestId,
        task: &TaskId,
    ) -> (Option<UnitKind>, bool) {
        let worker = self.fleet.get(ix).host.worker.clone();
        match self.requests.get_mut(&id) {
            Some(state) if state.is_running_as(task) => {
                state.stage = RequestStage::Running(task.clone(), Some(worker));
                (Some(UnitKind::Request(id)), true)
            }
            // A request that is being recorded or recovered may be the one that this task runs.
            Some(state)
                if !matches!(
                    state.stage,
                    RequestStage::Recording | RequestStage::Recovering
                ) =>
            {
                (None, false)
            }
            _ => {
                self.orphans.insert(id, Orphan::Running(ix, task.clone()));
                (None, true)
            }
        }
    }

    /// Removes and returns all unanswered requests, for the next leader.
    pub(super) fn take_unanswered_requests(
        &mut self,
    ) -> (Vec<RunningRequest>, Vec<PendingRequest>) {
        let now_ms = self.now_ms;
        let mut running = Vec::new();
        let mut pending = Vec::new();
        self.requests_by_origin.clear();
        for (_, state) in std::mem::take(&mut self.requests) {
            for origin in state.origins {
                let mut request = AdmittedRequest {
                    origin,
                    ..state.admitted.clone()
                };
                request.request.deadline_ms = state.deadline_ms.since(now_ms);
                match &state.stage {
                    RequestStage::Running(task, _) => {
                        running.push(RunningRequest {
                            task: task.clone(),
                            request,
                        });
                    }
                    stage => {
                        let recorded = *stage == RequestStage::Waiting;
                        let may_have_run = state.uncertain_attempts > 0;
                        pending.push(PendingRequest {
                            recorded,
                            may_have_run,
                            request,
                        });
                    }
                }
            }
        }
        (running, pending)
    }

    /// Takes over a request that was pending at the previous leader.
    pub(super) fn take_over_pending(&mut self, pending: PendingRequest) {
        let id = pending.request.request.id.clone();
        if pending.recorded && !self.requests.contains_key(&id) {
            self.open_request(pending.request, RequestStage::Waiting);
            if let Some(state) = self.requests.get_mut(&id) {
                state.uncertain_attempts += u32::from(pending.may_have_run);
            }
        } else {
            self.on_run_request(pending.request);
        }
    }

    /// Takes over a request that runs on a worker which is not claimed yet.
    pub(super) fn take_over_running(&mut self, running: RunningRequest) {
        let id = running.request.request.id.clone();
        if let Some(state) = self.requests.get_mut(&id) {
            state.origins.insert(running.request.origin.clone());
            self.requests_by_origin.insert(running.request.origin, id);
            return;
        }
        let stage = RequestStage::Running(running.task, None);
        let nonce = self.next_nonce();
        let state = RequestState {
            origins: BTreeSet::from([running.request.origin.clone()]),
            deadline_ms: self.now_ms + running.request.request.deadline_ms,
            received_ms: self.now_ms,
            nonce,
            stage,
            attempts: 1,
            uncertain_attempts: 1,
            first_failed_worker: None,
            admitted: running.request,
        };
        self.requests_by_origin
            .insert(state.admitted.origin.clone(), id.clone());
        self.requests.insert(id, state);
    }
}
