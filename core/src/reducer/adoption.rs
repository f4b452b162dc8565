//! Taking over what an earlier keeper left: the jobs in the table, and what workers say of them.

use super::{
    job_record::{JobRecord, Stage},
    Core, PendingOp,
};
use crate::{
    consts, Answer, Class, EndedTask, JobId, JobRow, Key, Millis, Query, Row, TableReply, TaskId,
    UnitKind, WorkerCommand, WorkerIx,
};

/// The reading of the jobs that an earlier keeper left.
#[derive(Debug, Default)]
pub(super) struct Adoption {
    pub(super) after: Option<JobId>,
    retry_ms: Option<Millis>,
    pub(super) loaded: bool,
    /// Reports on tasks of jobs that are not read yet.
    pub(super) early: Vec<(WorkerIx, JobId, u32, EndedTask)>,
}

impl Core {
    /// Reads the jobs of the failure domain from the table, a page at a time.
    pub(super) fn read_jobs(&mut self, after: Option<JobId>) {
        let query = Query::JobsAfter(self.settings.domain.clone(), after.clone());
        self.adoption.after = after;
        self.read(PendingOp::ReadJobs, query);
    }

    pub(super) fn jobs_read(&mut self, reply: TableReply) {
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
            None => self.jobs_loaded(),
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

    fn jobs_loaded(&mut self) {
        self.adoption.loaded = true;
        self.adopt_running();
        for (ix, job, index, ended) in std::mem::take(&mut self.adoption.early) {
            self.job_task_ended(ix, job, index, &ended);
        }
        self.adopt_jobs();
    }

    /// Takes a job's row over. A submission of the same job that came again meanwhile is answered:
    /// the job is on record.
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
            Some(record) if record.stage != Stage::Recording => return,
            // Its workers may have told of its tasks already; these stay known.
            Some(record) => record.adopt(row, class),
            None => {
                self.jobs
                    .insert(id.clone(), JobRecord::new(row, class, Stage::Adopting));
                Vec::new()
            }
        };
        for origin in origins {
            self.answer_origin(&origin, Answer::JobAccepted(id.clone()));
        }
    }

    /// Connects the tasks that claimed workers reported before the jobs were read.
    fn adopt_running(&mut self) {
        for ix in self.fleet.indices() {
            let unknown = self
                .fleet
                .get(ix)
                .tasks
                .iter()
                .filter(|(_, task)| task.unit.is_none());
            let unknown: Vec<TaskId> = unknown.map(|(id, _)| id.clone()).collect();
            for task in unknown {
                self.adopt_unknown(ix, &task);
            }
        }
    }

    fn adopt_unknown(&mut self, ix: WorkerIx, task: &TaskId) {
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

    /// Finds the job that a running task belongs to, after a claim.
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

    /// Starts what is missing of the adopted jobs, once no worker can run a task of them unseen.
    pub(super) fn adopt_jobs(&mut self) {
        if !self.adoption.loaded || self.fleet.unclaimed_count() > 0 {
            return;
        }
        let adopting = self
            .jobs
            .iter()
            .filter(|(_, record)| record.stage == Stage::Adopting);
        let adopting: Vec<JobId> = adopting.map(|(id, _)| id.clone()).collect();
        for job in adopting {
            self.open_adopted(&job);
        }
    }

    fn open_adopted(&mut self, job: &JobId) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.stage = Stage::Open;
        let whole = (0..record.row.spec.tasks).all(|index| !record.lacks(index));
        if record.class == Class::Gang && !whole {
            record.gang_broken = true;
            self.stop_job(job);
        }
        if !whole {
            self.queue_job(job);
        }
    }

    /// Says whether the failure domain's jobs are read from the table.
    pub(super) fn jobs_are_loaded(&self) -> bool {
        self.adoption.loaded
    }
}
