//! Jobs at the keeper: put on record, run to their end, known by every keeper that follows.

use super::{
    commits::CommitItem,
    job_record::{JobRecord, Stage},
    Core,
};
use crate::{
    consts, AdmittedJob, Answer, Class, DecisionEvent, EndedTask, Insert, IntentRow, IntentState,
    JobId, JobRow, JobState, Key, Origin, Refusal, RequestId, Resources, Row, TaskEnd, TaskId,
    TaskSet, TeamName, Txn, UnitKind, WorkUnit, WorkerCommand, WorkerId, WorkerIx,
};

impl Core {
    /// Takes in a job for this keeper's workers.
    pub(super) fn submit_asked(&mut self, admitted: AdmittedJob) {
        if !self.is_leader() {
            return;
        }
        let id = JobId::in_domain(&self.settings.domain, &admitted.request);
        if let Some(record) = self.jobs.get_mut(&id) {
            match record.stage {
                Stage::Recording => record.origins.push(admitted.origin),
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

    fn check_job(&self, admitted: &AdmittedJob) -> Result<Class, Refusal> {
        let spec = &admitted.spec;
        let view = self
            .config
            .queue(&spec.queue)
            .ok_or(Refusal::UnknownQueue)?;
        let limit = self
            .config
            .team(&admitted.team)
            .map(|(_, limit)| limit)
            .unwrap_or_default();
        let together = match view.class {
            Class::Gang => spec.need.times(u64::from(spec.tasks)),
            _ => spec.need,
        };
        if !together.fits(&limit) {
            return Err(Refusal::OverLimit);
        }
        if self.fleet.total_capacity() == Resources::default() {
            return Err(Refusal::NoLeader);
        }
        let gang = view.class == Class::Gang;
        let apart = gang && self.fleet.max_tasks(&spec.need) < u64::from(spec.tasks);
        if !spec.need.fits(&self.fleet.largest_capacity()) || apart {
            return Err(Refusal::NeverFits);
        }
        if !self.commits_open() {
            return Err(Refusal::TableDown);
        }
        let waiting = self.queues.len_of(view.class, &admitted.team);
        if waiting + spec.tasks as usize > consts::MAX_PENDING_UNITS {
            return Err(Refusal::Overloaded);
        }
        Ok(view.class)
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
            request: Some((admitted.request, nonce)),
            origins: vec![admitted.origin],
            ..JobRecord::new(row, class, Stage::Recording)
        };
        self.jobs.insert(id.clone(), record);
        self.commit(CommitItem::NewJob(id));
    }

    /// Returns the rows that put a new job on record.
    pub(super) fn new_job_insert(&self, job: &JobId) -> Option<Insert> {
        let record = self.jobs.get(job)?;
        let (request, nonce) = record.request.clone()?;
        let intent = self.intent_row(nonce, IntentState::Job(job.clone()));
        let with = (Key::Job(job.clone()), Row::Job(record.row.clone()));
        let with = Some(Box::new(with));
        Some(Insert {
            key: Key::Intent(request),
            row: Row::Intent(intent),
            with,
        })
    }

    pub(super) fn new_job_request(&self, job: &JobId) -> Option<(RequestId, u64)> {
        self.jobs.get(job)?.request.clone()
    }

    pub(super) fn new_job_recorded(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.stage = Stage::Open;
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

    /// Settles a submission that was recorded before.
    pub(super) fn new_job_existed(&mut self, job: &JobId, row: &IntentRow) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.stage != Stage::Recording)
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

    pub(super) fn new_job_refused(&mut self, job: &JobId) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.stage != Stage::Recording)
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
        let indices: Vec<u32> = tasks.filter(|index| record.lacks(*index)).collect();
        for index in indices {
            self.queue_task(job, index, None);
        }
    }

    fn queue_gang(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if !record.running.is_empty() || record.gang_queued {
            return;
        }
        record.gang_queued = true;
        record.gang_broken = false;
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

    /// Says whether tasks of a job should still be started.
    pub(super) fn wants_job(&self, job: &JobId) -> bool {
        let record = self.jobs.get(job);
        record.is_some_and(|record| record.stage == Stage::Open && !record.row.state.is_final())
    }

    /// Says whether one task of a job should still be started.
    pub(super) fn wants_task(&self, job: &JobId, index: u32) -> bool {
        self.wants_job(job) && self.jobs.get(job).is_some_and(|record| record.lacks(index))
    }

    pub(super) fn gang_placed(&mut self, job: &JobId) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.gang_queued = false;
        }
    }

    /// Notes that a worker has a task; returns the attempt and what the worker needs to know.
    pub(super) fn job_task_placed(
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

    pub(super) fn job_task_ended(
        &mut self,
        ix: WorkerIx,
        job: JobId,
        index: u32,
        ended: &EndedTask,
    ) {
        let worker = self.fleet.get(ix).host.worker.clone();
        let Some(record) = self.jobs.get_mut(&job) else {
            return self.unknown_job_ended(ix, job, index, ended);
        };
        let current = record.runs_as(index, &ended.task);
        if current {
            record.running.remove(&index);
        }
        let counts = current || (ended.end == TaskEnd::Done && record.lacks(index));
        record.unacked.push((worker.clone(), ended.task.clone()));
        self.commit(CommitItem::JobState(job.clone()));
        if counts {
            self.count_end(ix, &job, index, ended.end);
        }
    }

    fn count_end(&mut self, ix: WorkerIx, job: &JobId, index: u32, end: TaskEnd) {
        if self
            .jobs
            .get(job)
            .is_none_or(|record| record.row.state.is_final())
        {
            return;
        }
        let worker = self.fleet.get(ix).host.worker.clone();
        match end {
            TaskEnd::Done => self.job_task_done(ix, job, index),
            TaskEnd::Failed => self.job_task_failed(ix, job, index, worker),
            TaskEnd::Stopped | TaskEnd::Lapsed => self.requeue_task(job, index, Some(worker)),
        }
    }

    /// Lets a worker forget a task of a job that is over; while jobs are still being read from the
    /// table, the report is kept.
    fn unknown_job_ended(&mut self, ix: WorkerIx, job: JobId, index: u32, ended: &EndedTask) {
        if self.adoption.loaded {
            self.send_command(ix, WorkerCommand::Ack(vec![ended.task.clone()]));
        } else {
            self.adoption.early.push((ix, job, index, ended.clone()));
        }
    }

    fn job_task_done(&mut self, ix: WorkerIx, job: &JobId, index: u32) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let failed_at = record.failed_at.remove(&index);
        self.worker_succeeded(ix, failed_at);
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.row.ended.insert(index);
        let done = record.row.ended.len();
        if done == record.row.spec.tasks {
            self.end_job(job, JobState::Succeeded);
        } else {
            record.row.state = JobState::Active { done };
            if record.gang_broken {
                self.queue_gang(job);
            }
        }
    }

    fn job_task_failed(&mut self, ix: WorkerIx, job: &JobId, index: u32, worker: WorkerId) {
        self.worker_failed(ix, false);
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.row.failures += u32::from(record.note_failure(index, &worker));
        if record.row.failures >= consts::MAX_ATTEMPTS {
            self.end_job(job, JobState::Failed);
        } else {
            self.requeue_task(job, index, Some(worker));
        }
    }

    /// Has a task run again that certainly runs no more.
    fn requeue_task(&mut self, job: &JobId, index: u32, avoid: Option<WorkerId>) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if record.stage != Stage::Open {
            return;
        }
        if record.class != Class::Gang {
            return self.queue_task(job, index, avoid);
        }
        record.gang_broken = true;
        self.stop_job(job);
        self.queue_gang(job);
    }

    fn end_job(&mut self, job: &JobId, state: JobState) {
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
        self.stop_job(job);
        self.commit(CommitItem::JobState(job.clone()));
    }

    pub(super) fn stop_job(&mut self, job: &JobId) {
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

    /// Settles a task that its worker lost. Another keeper may have taken the worker over, so the
    /// task runs again only after a write proved that this one still is keeper.
    pub(super) fn job_task_lost(&mut self, job: &JobId, index: u32, task: &TaskId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if record.runs_as(index, task) {
            record.running.remove(&index);
            self.commit(CommitItem::Rerun(job.clone(), index));
        }
    }

    pub(super) fn rerun_allowed(&mut self, job: &JobId, index: u32) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        if record.row.state.is_final() {
            self.commit(CommitItem::JobState(job.clone()));
        } else if record.lacks(index) {
            self.requeue_task(job, index, None);
        }
    }

    /// Adds the rows that record a job's latest state.
    pub(super) fn add_job(&mut self, txn: &mut Txn, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.begin_writing();
        let row = Row::Job(record.row.clone());
        if record.row.state.is_final() {
            txn.deletes.push((Key::Job(job.clone()), None));
            txn.puts.push((Key::DoneJob(job.clone()), row));
        } else {
            txn.puts.push((Key::Job(job.clone()), row));
        }
    }

    pub(super) fn job_state_recorded(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(written) = record.writing.take() else {
            return;
        };
        // The job may have changed again since; then a later transaction ends it.
        let over = written.state.is_final() && record.running.is_empty();
        let over = over && record.unacked.is_empty() && record.origins.is_empty();
        for (worker, task) in written.unacked {
            if let Some(ix) = self.fleet.index_of(&worker) {
                self.send_command(ix, WorkerCommand::Ack(vec![task]));
            }
        }
        for origin in written.origins {
            self.answer_origin(&origin, Answer::Job(written.state));
        }
        if over {
            let well = written.state == JobState::Succeeded;
            self.jobs.remove(job);
            self.log(DecisionEvent::JobEnded {
                job: job.clone(),
                well,
            });
        }
    }

    /// Returns the state of a job of this keeper, if it is on record.
    pub(super) fn kept_job_state(&self, job: &JobId) -> Option<JobState> {
        let record = self.jobs.get(job)?;
        let recorded = record.stage != Stage::Recording && !record.row.state.is_final();
        recorded.then_some(record.row.state)
    }

    pub(super) fn cancel_asked(&mut self, origin: Origin, team: &TeamName, job: JobId) {
        if !self.is_leader() {
            return;
        }
        if self.commits_failing() {
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
        if record.stage == Stage::Recording {
            return self.answer_origin(&origin, Answer::NoSuchJob);
        }
        if record.row.team != *team {
            let answer = Answer::refused(Refusal::WrongTeam, consts::DEFAULT_RETRY_AFTER_MS);
            return self.answer_origin(&origin, answer);
        }
        record.origins.push(origin);
        if record.row.state.is_final() {
            self.commit(CommitItem::JobState(job));
        } else {
            self.end_job(&job, JobState::Cancelled);
        }
    }
}
