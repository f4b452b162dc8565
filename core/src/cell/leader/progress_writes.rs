//! Writes of job progress. Changed jobs are written together, in a transaction that fails if
//! another daemon leads.

use crate::{
    cell::{
        consts,
        ctx::{Ctx, RpcOwner},
        election::{fence, lease_row},
        frontend::progress_key,
        leader::{fleet::WorkerIx, Leader, LeaseUpdate},
        submissions::{job_key, partition_of},
        LogEvent, Progress, Row, RowKey, RowValue, RowVersion, RpcId, StoreCall, StoreReply, Write,
    },
    JobId, Millis,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An unanswered write: its jobs, each with the last change that the write contains.
#[derive(Debug)]
struct InFlightWrite {
    rpc: RpcId,
    sent_at: Millis,
    jobs: Vec<(JobId, u64)>,
}

/// The progress that has to be written, and its unanswered writes.
#[derive(Debug, Default)]
pub(crate) struct ProgressWrites {
    /// The changed jobs, in the order of their first change.
    dirty: VecDeque<JobId>,
    dirty_set: BTreeSet<JobId>,
    /// The unanswered writes; a job is in one of them at most.
    in_flight: Vec<InFlightWrite>,
    retry_at: Millis,
    /// The jobs of refused writes and when they may be written again: each in a write of its own, so
    /// that one whose row can't be stored does not hold up others.
    refused: BTreeMap<JobId, Millis>,
    /// The jobs whose rows had no room for their checkpoints.
    without_checkpoints: BTreeSet<JobId>,
    /// The workers whose ended runs may be acknowledged only after these writes.
    waiting_workers: BTreeSet<WorkerIx>,
    /// The unanswered removals of ended jobs.
    removals: BTreeMap<RpcId, Vec<(JobId, RowVersion)>>,
    /// Progress rows that were read, until they are applied to their jobs.
    loaded: BTreeMap<JobId, (RowVersion, Progress)>,
}

impl InFlightWrite {
    fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().map(|(id, _)| id)
    }
}

impl ProgressWrites {
    pub(crate) fn is_in_flight(&self, rpc: RpcId) -> bool {
        self.in_flight.iter().any(|sent| sent.rpc == rpc)
    }

    pub(crate) fn mark_dirty(&mut self, job: &JobId) {
        if self.dirty_set.insert(job.clone()) {
            self.dirty.push_back(job.clone());
        }
    }

    /// Removes and returns the jobs of the next write: the first changed jobs that are in no
    /// unanswered write, or one job whose last write was refused.
    fn next_batch(&mut self, now: Millis) -> Vec<JobId> {
        let unanswered: BTreeSet<&JobId> =
            self.in_flight.iter().flat_map(InFlightWrite::ids).collect();
        let (mut batch, mut skipped) = (Vec::new(), Vec::new());
        let mut max_rows = consts::MAX_BATCH_ROWS;
        while let Some(id) = self.dirty.pop_front() {
            let may_join = match self.refused.get(&id) {
                Some(retry_at) => batch.is_empty() && now >= *retry_at,
                None => batch.len() < max_rows,
            };
            if may_join && !unanswered.contains(&id) {
                if self.refused.contains_key(&id) {
                    max_rows = 1;
                }
                self.dirty_set.remove(&id);
                batch.push(id);
            } else {
                skipped.push(id);
            }
            if batch.len() >= max_rows {
                break;
            }
        }
        for id in skipped.into_iter().rev() {
            self.dirty.push_front(id);
        }
        batch
    }

    /// Puts back the jobs that did not fit into a write, ahead of the others.
    fn return_unsent(&mut self, ids: Vec<JobId>) {
        for id in ids.into_iter().rev() {
            if self.dirty_set.insert(id.clone()) {
                self.dirty.push_front(id);
            }
        }
    }

    /// Notes that the store refused a write for its content.
    fn on_content_refused(&mut self, now: Millis, jobs: &[(JobId, u64)]) {
        let retry_at = match jobs.len() {
            1 => now + consts::REFUSED_ROW_RETRY_MS,
            _ => now,
        };
        let retries = jobs.iter().map(|(id, _)| (id.clone(), retry_at));
        self.refused.extend(retries);
    }

    pub(crate) fn add_waiting_worker(&mut self, ix: WorkerIx) {
        self.waiting_workers.insert(ix);
    }

    pub(crate) fn add_loaded(&mut self, key: &RowKey, version: RowVersion, progress: Progress) {
        self.loaded
            .insert(JobId::new(&key.key), (version, progress));
    }

    pub(crate) fn take_loaded(&mut self) -> BTreeMap<JobId, (RowVersion, Progress)> {
        std::mem::take(&mut self.loaded)
    }

    /// Returns whether a removal of jobs is unanswered.
    pub(crate) fn has_removals(&self) -> bool {
        !self.removals.is_empty()
    }

    /// Removes the rows of ended jobs and of withdrawals, unless a row was written anew. The progress
    /// rows of jobs are removed only after that, because a job without progress would run again.
    pub(crate) fn remove_jobs(&mut self, ctx: &mut Ctx, ended: &[(JobId, RowVersion)]) {
        let unanswered = self.removals.values().flatten().map(|(id, _)| id);
        let unanswered: BTreeSet<&JobId> = unanswered.collect();
        let is_due = |(id, _): &&(JobId, RowVersion)| !unanswered.contains(id);
        let due: Vec<_> = ended.iter().filter(is_due).cloned().collect();
        for part in 0..consts::JOB_PARTITIONS {
            let in_part = due.iter().filter(|(id, _)| partition_of(id) == part);
            let in_part: Vec<_> = in_part.cloned().collect();
            for jobs in in_part.chunks(consts::MAX_BATCH_ROWS) {
                let expect = jobs.iter().map(|(id, version)| (job_key(id), *version));
                let write = Write {
                    expect: expect.collect(),
                    put: Vec::new(),
                    remove: jobs.iter().map(|(id, _)| job_key(id)).collect(),
                };
                let call = StoreCall::Write(write);
                let rpc = ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
                self.removals.insert(rpc, jobs.to_vec());
            }
        }
    }

    /// Ends the removal `rpc` and returns its jobs; `None` for other calls.
    pub(crate) fn take_removal(&mut self, rpc: RpcId) -> Option<Vec<(JobId, RowVersion)>> {
        self.removals.remove(&rpc)
    }
}

impl Leader {
    /// Drops the jobs and withdrawals whose rows are removed, and removes the progress rows. The removal of
    /// progress rows is not repeated: if it is lost, only unused rows are left. After a conflict, what
    /// took the place of a row counts. After any other reply, a later sweep removes the rows.
    pub(crate) fn on_jobs_removed(
        &mut self,
        ctx: &mut Ctx,
        jobs: &[(JobId, RowVersion)],
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Written(_) => {
                let ids: Vec<&JobId> = jobs.iter().map(|(id, _)| id).collect();
                self.remove_progress(ctx, &ids);
                ids.into_iter().for_each(|id| self.forget_job(id));
                ctx.log(LogEvent::info("jobs_swept").with("count", jobs.len()));
            }
            StoreReply::Conflict(rows) => {
                for (id, version) in jobs {
                    let key = job_key(id);
                    let current = rows.iter().find(|row| row.key == key);
                    if current.is_none_or(|row| row.version != *version) {
                        self.forget_job(id);
                    }
                }
                rows.into_iter().for_each(|row| self.apply_row(ctx, row));
            }
            _ => {}
        }
    }

    fn forget_job(&mut self, id: &JobId) {
        self.progress_writes.without_checkpoints.remove(id);
        self.jobs.remove(id);
        self.withdrawn.remove(id);
    }

    /// Removes the progress rows of jobs, unless one was written meanwhile.
    fn remove_progress(&self, ctx: &mut Ctx, ids: &[&JobId]) {
        let mut write = Write {
            expect: vec![fence(self.token)],
            ..Write::default()
        };
        for id in ids {
            let version = self.jobs.get(*id).map(|job| job.progress_version);
            if let Some(version) = version.filter(|version| *version > RowVersion(0)) {
                write.expect.push((progress_key(id), version));
                write.remove.push(progress_key(id));
            }
        }
        if !write.remove.is_empty() {
            let call = StoreCall::Write(write);
            ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
        }
    }

    /// Returns whether the rows of a conflict still show this leader's term.
    pub(crate) fn is_own_term(&self, rows: &[Row]) -> bool {
        let (key, version) = fence(self.token);
        let row = rows.iter().find(|row| row.key == key);
        row.is_none_or(|row| row.version == version)
    }

    /// Writes the progress of changed jobs, unless too many writes are unanswered.
    pub(crate) fn write_progress(&mut self, ctx: &mut Ctx) {
        let writes = &mut self.progress_writes;
        let may_write =
            writes.in_flight.len() < consts::MAX_PROGRESS_WRITES && ctx.now >= writes.retry_at;
        if !may_write || writes.dirty.is_empty() {
            return;
        }
        let ids = writes.next_batch(ctx.now);
        if ids.is_empty() {
            return;
        }
        // The write proves that the leader is alive, so it renews the lease as well.
        let mut write = Write {
            expect: vec![fence(self.token)],
            put: vec![lease_row(ctx)],
            remove: Vec::new(),
        };
        let mut batch = Vec::with_capacity(ids.len());
        let (mut write_bytes, mut unsent) = (0, Vec::new());
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                self.progress_writes.refused.remove(&id);
                self.progress_writes.without_checkpoints.remove(&id);
                continue;
            };
            if write_bytes > consts::MAX_BATCH_BYTES {
                unsent.push(id);
                continue;
            }
            let mut progress = Box::new(self.progress_with_placements(job));
            if progress.max_encoded_bytes() > self.max_value_bytes {
                for step in &mut progress.steps {
                    step.checkpoints.clear();
                }
                if self.progress_writes.without_checkpoints.insert(id.clone()) {
                    ctx.log(LogEvent::warn("checkpoints_unrecorded").with("job", &id));
                }
            }
            write_bytes += progress.max_encoded_bytes();
            if write_bytes > consts::MAX_BATCH_BYTES && !batch.is_empty() {
                unsent.push(id);
                continue;
            }
            let key = progress_key(&id);
            write.expect.push((key.clone(), job.progress_version));
            write.put.push((key, RowValue::Progress(progress)));
            batch.push((id, job.edits));
        }
        self.progress_writes.return_unsent(unsent);
        let call = StoreCall::Write(write);
        let rpc = ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
        self.progress_writes.in_flight.push(InFlightWrite {
            rpc,
            sent_at: ctx.now,
            jobs: batch,
        });
    }

    /// Handles the reply to a write of progress.
    pub(crate) fn on_progress_written(
        &mut self,
        ctx: &mut Ctx,
        rpc: RpcId,
        reply: StoreReply,
    ) -> LeaseUpdate {
        let open = &mut self.progress_writes.in_flight;
        let Some(at) = open.iter().position(|sent| sent.rpc == rpc) else {
            return LeaseUpdate::Unchanged;
        };
        let sent = open.swap_remove(at);
        let (sent_at, batch) = (sent.sent_at, sent.jobs);
        match reply {
            StoreReply::Written(version) => {
                for (id, edits) in batch {
                    self.progress_writes.refused.remove(&id);
                    self.on_progress_stored(ctx, &id, edits, version);
                }
                self.acknowledge_stored_ends(ctx);
                return LeaseUpdate::Renewed { sent_at, version };
            }
            StoreReply::Conflict(rows) => {
                if !self.is_own_term(&rows) {
                    return LeaseUpdate::Deposed;
                }
                // An earlier write took effect although its reply was lost.
                for (id, _) in &batch {
                    let key = progress_key(id);
                    let found = rows.iter().find(|row| row.key == key);
                    if let (Some(row), Some(job)) = (found, self.jobs.get_mut(id)) {
                        job.progress_version = row.version;
                    }
                }
                batch
                    .iter()
                    .for_each(|(id, _)| self.progress_writes.mark_dirty(id));
            }
            _ => {
                match reply {
                    StoreReply::Refused(400 | 413 | 422) => {
                        self.progress_writes.on_content_refused(ctx.now, &batch);
                    }
                    _ => self.progress_writes.retry_at = ctx.now + consts::STORE_RETRY_DELAY_MS,
                }
                let event = LogEvent::warn("progress_unwritten").with("jobs", batch.len());
                ctx.log(event.with("reply", format_args!("{reply:?}")));
                batch
                    .iter()
                    .for_each(|(id, _)| self.progress_writes.mark_dirty(id));
            }
        }
        LeaseUpdate::Unchanged
    }

    /// Polls the workers whose ended runs are all stored now, which acknowledges these runs.
    fn acknowledge_stored_ends(&mut self, ctx: &mut Ctx) {
        let mut done = Vec::new();
        for &ix in &self.progress_writes.waiting_workers {
            let worker = self.fleet.get_mut(ix);
            let jobs = &self.jobs;
            worker
                .unstored
                .retain(|(id, edits)| jobs.get(id).is_some_and(|job| job.stored_edits < *edits));
            if worker.unstored.is_empty() {
                worker.last_end_stored = worker.last_end_seen;
                worker.next_poll_at = ctx.now;
                done.push(ix);
            }
        }
        for ix in done {
            self.progress_writes.waiting_workers.remove(&ix);
            self.poll_worker(ctx, ix);
        }
    }
}
