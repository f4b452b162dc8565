//! Adoption of an earlier leader's work: jobs are loaded from the table, and running tasks are
//! matched to them as workers report them.

use super::{
    job_record::{JobRecord, JobStage},
    Core, PendingOp,
};
use crate::{
    consts, Answer, Class, EndedTask, JobId, JobRow, Key, Millis, Query, Row, TableReply, TaskId,
    UnitKind, WorkerCommand, WorkerIx,
};

/// The progress of loading an earlier leader's jobs.
#[derive(Debug, Default)]
pub(super) struct Adoption {
    /// The last job of the pages read so far.
    pub(super) after: Option<JobId>,
    retry_ms: Option<Millis>,
    pub(super) loaded: bool,
    /// The ended tasks that workers reported before the jobs were loaded.
    pub(super) early_reports: Vec<(WorkerIx, JobId, u32, EndedTask)>,
}

impl Core {
    /// Reads a page of the failure domain's jobs from the table.
    pub(super) fn read_jobs(&mut self, after: Option<JobId>) {
        let query = Query::JobsAfter(self.settings.domain.clone(), after.clone());
        self.adoption.after = after;
        self.read(PendingOp::ReadJobs, query);
    }

    pub(super) fn on_jobs_read(&mut self, reply: TableReply) {
        let TableReply::Rows(rows) = reply else {
            self.adoption.retry_ms = Some(self.now_ms + consts::TABLE_RETRY_DELAY_MS);
            return;
        };
        let last = rows.iter().rev().find_map(|(key, _)| match key {
            Key::Job(id) => Some(id.clone()),
            _ => None,
        });
        for (_, row) in rows {
            if let Row::Job(row) = row {
                self.adopt_row(row);
            }
        }
        match last {
            Some(last) => self.read_jobs(Some(last)),
            None => self.on_all_jobs_loaded(),
        }
    }

    pub(super) fn scan_adoption(&mut self) {
        let now_ms = self.now_ms;
        if self
            .adoption
            .retry_ms
            .take_if(|at_ms| *at_ms <= now_ms)
            .is_some()
        {
            self.read_jobs(self.adoption.after.clone());
        }
    }

    fn on_all_jobs_loaded(&mut self) {
        self.adoption.loaded = true;
        self.adopt_running_tasks();
        for (ix, job, index, ended) in std::mem::take(&mut self.adoption.early_reports) {
            self.on_job_task_ended(ix, job, index, &ended);
        }
        self.open_adopted_jobs();
    }

    /// Adopts a job from its row. Callers that submitted the same job meanwhile are answered that
    /// it is accepted, since the job is recorded.
    fn adopt_row(&mut self, row: JobRow) {
        if row.state.is_final() {
            return;
        }
        let id = row.id.clone();
        let class = self
            .config
            .queue(&row.spec.queue)
            .map_or(Class::Batch, |view| view.class);
        let origins = match self.jobs.get_mut(&id) {
            Some(record) if record.stage != JobStage::Recording => return,
            // Running tasks that workers have already reported stay in the record.
            Some(record) => record.adopt(row, class),
            None => {
                self.jobs
                    .insert(id.clone(), JobRecord::new(row, class, JobStage::Adopting));
                Vec::new()
            }
        };
        for origin in origins {
            self.answer_origin(&origin, Answer::JobAccepted(id.clone()));
        }
    }

    /// Assigns the tasks that workers reported before the jobs were loaded to their jobs.
    fn adopt_running_tasks(&mut self) {
        for ix in self.fleet.indices() {
            let unassigned = self
                .fleet
                .get(ix)
                .tasks
                .iter()
                .filter(|(_, task)| task.unit.is_none());
            let unassigned: Vec<TaskId> = unassigned.map(|(id, _)| id.clone()).collect();
            for task in unassigned {
                self.adopt_unassigned_task(ix, &task);
            }
        }
    }

    fn adopt_unassigned_task(&mut self, ix: WorkerIx, task: &TaskId) {
        let Some(crate::TaskAttempt::Job { job, index, .. }) = crate::TaskAttempt::parse(task)
        else {
            return;
        };
        let unit = self.adopt_job_task(ix, job, index, task);
        if unit.is_none() {
            self.send_command(ix, WorkerCommand::Stop(task.clone()));
        }
        if let Some(running) = self.fleet.get_mut(ix).tasks.get_mut(task) {
            running.unit = unit;
        }
    }

    /// Assigns a task that a claimed worker runs to its job; returns `None` if the job does not
    /// need this attempt.
    pub(super) fn adopt_job_task(
        &mut self,
        ix: WorkerIx,
        job: JobId,
        index: u32,
        task: &TaskId,
    ) -> Option<UnitKind> {
        let worker = self.fleet.get(ix).host.worker.clone();
        let record = self.jobs.get_mut(&job)?;
        if record.row.state.is_final() || record.row.ended.contains(index) {
            return None;
        }
        match record.running.get(&index) {
            Some((known, _)) if known != task => return None,
            _ => {}
        }
        record.running.insert(index, (task.clone(), worker));
        Some(UnitKind::Task { job, index })
    }

    /// Queues the missing tasks of adopted jobs, once all jobs are loaded and all workers claimed,
    /// so that no task of them can still run unreported.
    pub(super) fn open_adopted_jobs(&mut self) {
        if !self.adoption.loaded || self.fleet.unclaimed_count() > 0 {
            return;
        }
        let adopting = self
            .jobs
            .iter()
            .filter(|(_, record)| record.stage == JobStage::Adopting);
        let adopting: Vec<JobId> = adopting.map(|(id, _)| id.clone()).collect();
        for job in adopting {
            self.open_adopted_job(&job);
        }
    }

    fn open_adopted_job(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.stage = JobStage::Open;
        let is_complete = (0..record.row.spec.tasks).all(|index| !record.is_task_missing(index));
        if record.class == Class::Gang && !is_complete {
            record.gang_needs_restart = true;
            self.stop_job_tasks(job);
        }
        if !is_complete {
            self.queue_job(job);
        }
    }

    /// Returns whether all jobs of the failure domain are loaded from the table.
    pub(super) fn has_loaded_jobs(&self) -> bool {
        self.adoption.loaded
    }
}
