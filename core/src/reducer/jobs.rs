//! Jobs at the leader: recorded in the table, run to completion, and adopted by later leaders.

use super::{
    commits::CommitItem,
    job_record::{JobRecord, JobStage},
    Core,
};
use crate::{
    consts, AdmittedJob, Answer, Class, DecisionEvent, EndedTask, Insert, IntentRow, IntentState,
    JobId, JobRow, JobState, Key, Origin, Refusal, RequestId, Resources, Row, TaskEnd, TaskId,
    TaskSet, TeamName, Txn, UnitKind, WorkUnit, WorkerCommand, WorkerId, WorkerIx,
};

impl Core {
    /// Handles a job submission for this leader's workers.
    pub(super) fn on_submit_request(&mut self, admitted: AdmittedJob) {
        if !self.is_leader() {
            return;
        }
        let id = JobId::in_domain(&self.settings.domain, &admitted.request);
        if let Some(record) = self.jobs.get_mut(&id) {
            match record.stage {
                JobStage::Recording => record.origins.push(admitted.origin),
                _ => self.answer_origin(&admitted.origin, Answer::JobAccepted(id)),
            }
            return;
        }
        match self.check_job(&admitted) {
            Ok(class) => self.record_job(id, class, admitted),
            Err(reason) => {
                let request = admitted.request.clone();
                self.log(DecisionEvent::JobRefused { request, reason });
                let answer = Answer::refused(reason, consts::DEFAULT_RETRY_AFTER_MS);
                self.answer_origin(&admitted.origin, answer);
            }
        }
    }

    /// Returns the class of a job that can be accepted, or the reason why not.
    fn check_job(&self, admitted: &AdmittedJob) -> Result<Class, Refusal> {
        let spec = &admitted.spec;
        let queue = self
            .config
            .queue(&spec.queue)
            .ok_or(Refusal::UnknownQueue)?;
        let limit = self
            .config
            .team(&admitted.team)
            .map(|(_, limit)| limit)
            .unwrap_or_default();
        let total_need = match queue.class {
            Class::Gang => spec.need.times(u64::from(spec.tasks)),
            _ => spec.need,
        };
        if !total_need.fits(&limit) {
            return Err(Refusal::OverLimit);
        }
        if self.fleet.total_capacity() == Resources::default() {
            return Err(Refusal::NoLeader);
        }
        let is_gang = queue.class == Class::Gang;
        let is_gang_too_large = is_gang && self.fleet.max_tasks(&spec.need) < u64::from(spec.tasks);
        if !spec.need.fits(&self.fleet.largest_capacity()) || is_gang_too_large {
            return Err(Refusal::NeverFits);
        }
        if !self.can_accept_commits() {
            return Err(Refusal::TableDown);
        }
        let pending = self.queues.len_of(queue.class, &admitted.team);
        if pending + spec.tasks as usize > consts::MAX_PENDING_UNITS {
            return Err(Refusal::Overloaded);
        }
        Ok(queue.class)
    }

    fn record_job(&mut self, id: JobId, class: Class, admitted: AdmittedJob) {
        let row = JobRow {
            id: id.clone(),
            team: admitted.team,
            spec: admitted.spec,
            state: JobState::Active { done: 0 },
            ended: TaskSet::default(),
            failures: 0,
            writer: self.daemon_id().clone(),
        };
        let nonce = self.next_nonce();
        let record = JobRecord {
            submission: Some((admitted.request, nonce)),
            origins: vec![admitted.origin],
            ..JobRecord::new(row, class, JobStage::Recording)
        };
        self.jobs.insert(id.clone(), record);
        self.queue_commit(CommitItem::NewJob(id));
    }

    /// Returns the insert that records a new job together with its intent row.
    pub(super) fn new_job_insert(&self, job: &JobId) -> Option<Insert> {
        let record = self.jobs.get(job)?;
        let (request, nonce) = record.submission.clone()?;
        let intent = self.intent_row(nonce, IntentState::Job(job.clone()));
        let job_row = (Key::Job(job.clone()), Row::Job(record.row.clone()));
        let second = Some(Box::new(job_row));
        Some(Insert {
            key: Key::Intent(request),
            row: Row::Intent(intent),
            second,
        })
    }

    pub(super) fn job_submission(&self, job: &JobId) -> Option<(RequestId, u64)> {
        self.jobs.get(job)?.submission.clone()
    }

    pub(super) fn on_new_job_recorded(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.stage = JobStage::Open;
        let team = record.row.team.clone();
        let origins = std::mem::take(&mut record.origins);
        self.log(DecisionEvent::JobAccepted {
            job: job.clone(),
            team,
        });
        for origin in origins {
            self.answer_origin(&origin, Answer::JobAccepted(job.clone()));
        }
        self.queue_job(job);
    }

    /// Answers a submission that was recorded before.
    pub(super) fn on_new_job_existed(&mut self, job: &JobId, row: &IntentRow) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.stage != JobStage::Recording)
        {
            return;
        }
        let Some(record) = self.jobs.remove(job) else {
            return;
        };
        let answer = match &row.state {
            IntentState::Job(recorded) => Answer::JobAccepted(recorded.clone()),
            IntentState::MayRun => {
                Answer::refused(Refusal::IdReused, consts::DEFAULT_RETRY_AFTER_MS)
            }
        };
        for origin in record.origins {
            self.answer_origin(&origin, answer.clone());
        }
    }

    pub(super) fn on_new_job_refused(&mut self, job: &JobId) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.stage != JobStage::Recording)
        {
            return;
        }
        let Some(record) = self.jobs.remove(job) else {
            return;
        };
        let answer = Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS);
        for origin in record.origins {
            self.answer_origin(&origin, answer.clone());
        }
    }

    pub(super) fn queue_job(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        if record.class == Class::Gang {
            return self.queue_gang(job);
        }
        let tasks = 0..record.row.spec.tasks;
        let indices: Vec<u32> = tasks
            .filter(|index| record.is_task_missing(*index))
            .collect();
        for index in indices {
            self.queue_task(job, index, None);
        }
    }

    /// Queues a gang as one unit, once none of its tasks is running. All its tasks run again, also
    /// those that succeeded before.
    fn queue_gang(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if !record.running.is_empty() || record.gang_queued {
            return;
        }
        record.gang_queued = true;
        record.gang_needs_restart = false;
        record.row.ended = TaskSet::default();
        let tasks = record.row.spec.tasks;
        self.queue_unit(
            job,
            UnitKind::Gang {
                job: job.clone(),
                tasks,
            },
            None,
        );
    }

    fn queue_task(&mut self, job: &JobId, index: u32, avoid: Option<WorkerId>) {
        self.queue_unit(
            job,
            UnitKind::Task {
                job: job.clone(),
                index,
            },
            avoid,
        );
    }

    fn queue_unit(&mut self, job: &JobId, kind: UnitKind, avoid: Option<WorkerId>) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        let unit = WorkUnit {
            kind,
            team: record.row.team.clone(),
            class: record.class,
            need: record.row.spec.need,
            since_ms: self.now_ms,
            avoid,
            blocked_ms: None,
        };
        self.log_retry(&unit);
        self.enqueue(unit);
    }

    /// Returns whether tasks of a job may still be started.
    pub(super) fn can_start_job(&self, job: &JobId) -> bool {
        let record = self.jobs.get(job);
        record.is_some_and(|record| record.stage == JobStage::Open && !record.row.state.is_final())
    }

    /// Returns whether one task of a job may still be started.
    pub(super) fn can_start_task(&self, job: &JobId, index: u32) -> bool {
        self.can_start_job(job)
            && self
                .jobs
                .get(job)
                .is_some_and(|record| record.is_task_missing(index))
    }

    pub(super) fn gang_placed(&mut self, job: &JobId) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.gang_queued = false;
        }
    }

    /// Records an attempt at a worker; returns its task id and the job's specification.
    pub(super) fn begin_task_attempt(
        &mut self,
        job: &JobId,
        index: u32,
        worker: &WorkerId,
        make_id: impl Fn(u32) -> TaskId,
    ) -> Option<(TaskId, crate::JobSpec)> {
        let record = self.jobs.get_mut(job)?;
        let task = make_id(record.attempts);
        record.attempts += 1;
        record.running.insert(index, (task.clone(), worker.clone()));
        Some((task, record.row.spec.clone()))
    }

    pub(super) fn on_job_task_ended(
        &mut self,
        ix: WorkerIx,
        job: JobId,
        index: u32,
        ended: &EndedTask,
    ) {
        let worker = self.fleet.get(ix).host.worker.clone();
        let Some(record) = self.jobs.get_mut(&job) else {
            return self.on_unknown_job_task_ended(ix, job, index, ended);
        };
        let is_current_attempt = record.is_running_as(index, &ended.task);
        if is_current_attempt {
            record.running.remove(&index);
        }
        let takes_effect =
            is_current_attempt || (ended.end == TaskEnd::Done && record.is_task_missing(index));
        record
            .unacked_tasks
            .push((worker.clone(), ended.task.clone()));
        self.queue_commit(CommitItem::JobState(job.clone()));
        if takes_effect {
            self.apply_task_end(ix, &job, index, ended.end);
        }
    }

    fn apply_task_end(&mut self, ix: WorkerIx, job: &JobId, index: u32, end: TaskEnd) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.row.state.is_final())
        {
            return;
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        match end {
            TaskEnd::Done => self.apply_task_success(ix, job, index),
            TaskEnd::Failed => self.apply_task_failure(ix, job, index, worker),
            TaskEnd::Stopped | TaskEnd::Lapsed => self.requeue_task(job, index, Some(worker)),
        }
    }

    /// Acknowledges a task of a job that is no longer recorded as active. While jobs are still
    /// being loaded from the table, the report is kept until they are.
    fn on_unknown_job_task_ended(
        &mut self,
        ix: WorkerIx,
        job: JobId,
        index: u32,
        ended: &EndedTask,
    ) {
        if self.adoption.loaded {
            self.send_command(ix, WorkerCommand::Ack(vec![ended.task.clone()]));
        } else {
            self.adoption
                .early_reports
                .push((ix, job, index, ended.clone()));
        }
    }

    fn apply_task_success(&mut self, ix: WorkerIx, job: &JobId, index: u32) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let last_failed_worker = record.last_failed_workers.remove(&index);
        self.on_worker_success(ix, last_failed_worker);
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.row.ended.insert(index);
        let done = record.row.ended.len();
        if done == record.row.spec.tasks {
            self.finalize_job(job, JobState::Succeeded);
        } else {
            record.row.state = JobState::Active { done };
            if record.gang_needs_restart {
                self.queue_gang(job);
            }
        }
    }

    fn apply_task_failure(&mut self, ix: WorkerIx, job: &JobId, index: u32, worker: WorkerId) {
        self.on_worker_failure(ix, false);
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.row.failures += u32::from(record.record_failure(index, &worker));
        if record.row.failures >= consts::MAX_ATTEMPTS {
            self.finalize_job(job, JobState::Failed);
        } else {
            self.requeue_task(job, index, Some(worker));
        }
    }

    /// Queues a task that no longer runs. A gang is stopped, and queued as a whole once none of its
    /// tasks is running.
    fn requeue_task(&mut self, job: &JobId, index: u32, avoid: Option<WorkerId>) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if record.stage != JobStage::Open {
            return;
        }
        if record.class != Class::Gang {
            return self.queue_task(job, index, avoid);
        }
        record.gang_needs_restart = true;
        self.stop_job_tasks(job);
        self.queue_gang(job);
    }

    fn finalize_job(&mut self, job: &JobId, state: JobState) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.row.state = state;
        let team = record.row.team.clone();
        self.log(DecisionEvent::JobDecided {
            job: job.clone(),
            team,
            state,
        });
        self.stop_job_tasks(job);
        self.queue_commit(CommitItem::JobState(job.clone()));
    }

    pub(super) fn stop_job_tasks(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        let running: Vec<(TaskId, WorkerId)> = record.running.values().cloned().collect();
        for (task, worker) in running {
            if let Some(ix) = self.fleet.index_of(&worker) {
                self.send_command(ix, WorkerCommand::Stop(task));
            }
        }
    }

    /// Handles a task that its worker lost. Another leader may have claimed the worker, so the task
    /// runs again only after a write has confirmed that this daemon is still the leader.
    pub(super) fn on_job_task_lost(&mut self, job: &JobId, index: u32, task: &TaskId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if record.is_running_as(index, task) {
            record.running.remove(&index);
            self.queue_commit(CommitItem::Rerun(job.clone(), index));
        }
    }

    pub(super) fn on_rerun_recorded(&mut self, job: &JobId, index: u32) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        if record.row.state.is_final() {
            self.queue_commit(CommitItem::JobState(job.clone()));
        } else if record.is_task_missing(index) {
            self.requeue_task(job, index, None);
        }
    }

    /// Adds the rows that record a job's latest state to a transaction.
    pub(super) fn add_job_rows(&mut self, txn: &mut Txn, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.begin_write();
        let row = Row::Job(record.row.clone());
        if record.row.state.is_final() {
            txn.deletes.push((Key::Job(job.clone()), None));
            txn.puts.push((Key::DoneJob(job.clone()), row));
        } else {
            txn.puts.push((Key::Job(job.clone()), row));
        }
    }

    pub(super) fn on_job_state_recorded(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(written) = record.pending_write.take() else {
            return;
        };
        // If the job has changed since the write began, a later transaction finishes it.
        let is_finished = written.state.is_final() && record.running.is_empty();
        let is_finished =
            is_finished && record.unacked_tasks.is_empty() && record.origins.is_empty();
        for (worker, task) in written.unacked_tasks {
            if let Some(ix) = self.fleet.index_of(&worker) {
                self.send_command(ix, WorkerCommand::Ack(vec![task]));
            }
        }
        for origin in written.origins {
            self.answer_origin(&origin, Answer::Job(written.state));
        }
        if is_finished {
            let succeeded = written.state == JobState::Succeeded;
            self.jobs.remove(job);
            self.log(DecisionEvent::JobEnded {
                job: job.clone(),
                succeeded,
            });
        }
    }

    /// Returns the state of an active job of this leader, if it is recorded.
    pub(super) fn recorded_job_state(&self, job: &JobId) -> Option<JobState> {
        let record = self.jobs.get(job)?;
        let is_recorded = record.stage != JobStage::Recording && !record.row.state.is_final();
        is_recorded.then_some(record.row.state)
    }

    pub(super) fn on_cancel_request(&mut self, origin: Origin, team: &TeamName, job: JobId) {
        if !self.is_leader() {
            return;
        }
        if self.is_commit_failing() {
            let answer = Answer::refused(Refusal::TableDown, consts::DEFAULT_RETRY_AFTER_MS);
            return self.answer_origin(&origin, answer);
        }
        let Some(record) = self.jobs.get_mut(&job) else {
            let answer = match self.adoption.loaded {
                true => Answer::NoSuchJob,
                false => Answer::refused(Refusal::NoLeader, consts::DEFAULT_RETRY_AFTER_MS),
            };
            return self.answer_origin(&origin, answer);
        };
        if record.stage == JobStage::Recording {
            return self.answer_origin(&origin, Answer::NoSuchJob);
        }
        if record.row.team != *team {
            let answer = Answer::refused(Refusal::WrongTeam, consts::DEFAULT_RETRY_AFTER_MS);
            return self.answer_origin(&origin, answer);
        }
        record.origins.push(origin);
        if record.row.state.is_final() {
            self.queue_commit(CommitItem::JobState(job));
        } else {
            self.finalize_job(&job, JobState::Cancelled);
        }
    }
}
