//! Requests that pass from one keeper to the next, by handover or by a death.

use super::{
    request_state::{RequestState, Stage},
    Core,
};
use crate::{
    consts, AdmittedRequest, Answer, Millis, RequestId, RunningRequest, TaskEnd, TaskEnded, TaskId,
    UnitKind, WaitingRequest, WorkerIx,
};
use std::collections::BTreeSet;

/// A request that an earlier keeper started.
#[derive(Clone, Debug)]
pub(super) enum Orphan {
    /// It runs.
    Running(WorkerIx, TaskId),
    /// It ended; the answer is kept for a while.
    Ended(Answer, Millis),
}

impl Core {
    /// Settles a request that an earlier keeper announced, once its workers have told all.
    pub(super) fn resolve_orphan(&mut self, id: &RequestId) {
        let found = self.orphans.get(id).cloned();
        match found {
            Some(Orphan::Ended(answer, _)) => self.finish_request(id, answer),
            Some(Orphan::Running(ix, task)) => {
                let worker = self.fleet.get(ix).host.worker.clone();
                if let Some(state) = self.requests.get_mut(id) {
                    state.stage = Stage::Running(task.clone(), Some(worker));
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

    /// Keeps the outcome of a request that an earlier keeper started, for the caller's retry.
    pub(super) fn orphan_ended(&mut self, id: RequestId, ended: TaskEnded) {
        let answer = match ended.end {
            TaskEnd::Done => Answer::Done(ended.output),
            TaskEnd::Failed => Answer::Failed(ended.output),
            TaskEnd::Stopped | TaskEnd::Lapsed => Answer::OutcomeUnknown,
        };
        let until_ms = self.now_ms + consts::ANSWER_KEEP_MS;
        self.orphans.insert(id, Orphan::Ended(answer, until_ms));
    }

    /// Finds the request that a running task belongs to, after a claim; says whether it may go on.
    pub(super) fn adopt_request(
        &mut self,
        ix: WorkerIx,
        id: RequestId,
        task: &TaskId,
    ) -> (Option<UnitKind>, bool) {
        let worker = self.fleet.get(ix).host.worker.clone();
        match self.requests.get_mut(&id) {
            Some(state) if state.runs_as(task) => {
                state.stage = Stage::Running(task.clone(), Some(worker));
                (Some(UnitKind::Request(id)), true)
            }
            // One that is being recorded may turn out to be this very run.
            Some(state) if !matches!(state.stage, Stage::Recording | Stage::Seeking) => {
                (None, false)
            }
            _ => {
                self.orphans.insert(id, Orphan::Running(ix, task.clone()));
                (None, true)
            }
        }
    }

    /// Takes out all unanswered requests, for the keeper that follows.
    pub(super) fn take_unanswered_requests(
        &mut self,
    ) -> (Vec<RunningRequest>, Vec<WaitingRequest>) {
        let now_ms = self.now_ms;
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        self.requests_by_origin.clear();
        for (_, state) in std::mem::take(&mut self.requests) {
            for origin in state.origins {
                let mut request = AdmittedRequest {
                    origin,
                    ..state.admitted.clone()
                };
                request.request.deadline_ms = state.deadline_ms.since(now_ms);
                match &state.stage {
                    Stage::Running(task, _) => {
                        running.push(RunningRequest {
                            task: task.clone(),
                            request,
                        });
                    }
                    stage => {
                        let recorded = *stage == Stage::Waiting;
                        let doubtful = state.doubtful > 0;
                        waiting.push(WaitingRequest {
                            recorded,
                            doubtful,
                            request,
                        });
                    }
                }
            }
        }
        (running, waiting)
    }

    /// Takes over a request that waited at the keeper before.
    pub(super) fn take_over_waiting(&mut self, waiting: WaitingRequest) {
        let id = waiting.request.request.id.clone();
        if waiting.recorded && !self.requests.contains_key(&id) {
            self.open_request(waiting.request, Stage::Waiting);
            if let Some(state) = self.requests.get_mut(&id) {
                state.doubtful += u32::from(waiting.doubtful);
            }
        } else {
            self.run_asked(waiting.request);
        }
    }

    /// Takes over a request that runs at a worker which is still to be claimed.
    pub(super) fn take_over_running(&mut self, running: RunningRequest) {
        let id = running.request.request.id.clone();
        if let Some(state) = self.requests.get_mut(&id) {
            state.origins.insert(running.request.origin.clone());
            self.requests_by_origin.insert(running.request.origin, id);
            return;
        }
        let stage = Stage::Running(running.task, None);
        let nonce = self.next_nonce();
        let state = RequestState {
            origins: BTreeSet::from([running.request.origin.clone()]),
            deadline_ms: self.now_ms + running.request.request.deadline_ms,
            since_ms: self.now_ms,
            nonce,
            stage,
            attempts: 1,
            doubtful: 1,
            failed_at: None,
            admitted: running.request,
        };
        self.requests_by_origin
            .insert(state.admitted.origin.clone(), id.clone());
        self.requests.insert(id, state);
    }
}
