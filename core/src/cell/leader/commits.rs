//! Writing progress: all jobs that have changed go into one transaction that checks the lead.

use crate::{
    cell::{
        consts,
        election::{fence, lease_row},
        frontend::progress_key,
        leader::{fleet::WorkerIx, Follow, Leader},
        node::{Ctx, RpcOwner},
        submissions::{job_key, partition_of},
        FencingToken, LogEvent, Progress, Row, RowKey, RowValue, RowVersion, RpcId, StoreCall,
        StoreReply, Write,
    },
    JobId, Millis,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A write on its way: the jobs with the edits that it holds.
#[derive(Debug)]
struct Sent {
    rpc: RpcId,
    at: Millis,
    jobs: Vec<(JobId, u64)>,
}

/// The progress that has to be written.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    /// The jobs that have changed, in the order of their first change.
    dirty: VecDeque<JobId>,
    marked: BTreeSet<JobId>,
    /// Writes without an answer; a job is in one of them at most.
    in_flight: Vec<Sent>,
    retry_at: Millis,
    /// The workers that wait for a write before their ends may be acknowledged.
    waiting: BTreeSet<WorkerIx>,
    /// Progress rows that were read before their jobs.
    loaded: BTreeMap<JobId, (RowVersion, Progress)>,
}

impl Sent {
    fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().map(|(id, _)| id)
    }
}

impl Commits {
    pub(crate) fn holds(&self, rpc: RpcId) -> bool {
        self.in_flight.iter().any(|sent| sent.rpc == rpc)
    }

    pub(crate) fn mark(&mut self, job: &JobId) {
        if self.marked.insert(job.clone()) {
            self.dirty.push_back(job.clone());
        }
    }

    /// Takes the jobs of the next write: the first that have changed and are in no write on its way.
    fn next_batch(&mut self) -> Vec<JobId> {
        let sent: BTreeSet<&JobId> = self.in_flight.iter().flat_map(Sent::ids).collect();
        let (mut batch, mut rest) = (Vec::new(), VecDeque::new());
        for id in std::mem::take(&mut self.dirty) {
            if batch.len() < consts::MAX_BATCH_ROWS && !sent.contains(&id) {
                self.marked.remove(&id);
                batch.push(id);
            } else {
                rest.push_back(id);
            }
        }
        self.dirty = rest;
        batch
    }

    pub(crate) fn wait(&mut self, ix: WorkerIx) {
        self.waiting.insert(ix);
    }

    pub(crate) fn keep_loaded(&mut self, key: &RowKey, version: RowVersion, progress: Progress) {
        self.loaded
            .insert(JobId::new(&key.key), (version, progress));
    }

    pub(crate) fn take_loaded(&mut self) -> BTreeMap<JobId, (RowVersion, Progress)> {
        std::mem::take(&mut self.loaded)
    }

    /// Removes the rows of jobs that nobody may ask for any more; a lost removal only leaves a row.
    pub(crate) fn remove_rows(&mut self, ctx: &mut Ctx, token: FencingToken, jobs: &[JobId]) {
        let progress = Write {
            expect: vec![fence(token)],
            put: Vec::new(),
            remove: jobs.iter().map(progress_key).collect(),
        };
        let mut writes = vec![progress];
        for part in 0..consts::JOB_PARTITIONS {
            let own = jobs.iter().filter(|job| partition_of(job) == part);
            let remove: Vec<RowKey> = own.map(job_key).collect();
            if !remove.is_empty() {
                writes.push(Write {
                    remove,
                    ..Write::default()
                });
            }
        }
        for write in writes {
            ctx.call_store(
                RpcOwner::Leader,
                StoreCall::Write(write),
                consts::STORE_TIMEOUT_MS,
            );
        }
    }
}

impl Leader {
    /// Says whether conflicting rows still show this leader's term.
    pub(crate) fn is_leader_row(&self, rows: &[Row]) -> bool {
        let (key, version) = fence(self.token);
        let row = rows.iter().find(|row| row.key == key);
        row.is_none_or(|row| row.version == version)
    }

    pub(crate) fn flush_commits(&mut self, ctx: &mut Ctx) {
        let commits = &mut self.commits;
        let free =
            commits.in_flight.len() < consts::MAX_PROGRESS_WRITES && ctx.now >= commits.retry_at;
        if !free || commits.dirty.is_empty() {
            return;
        }
        let ids = commits.next_batch();
        if ids.is_empty() {
            return;
        }
        // The write shows that the leader lives: it renews the lease as well.
        let mut write = Write {
            expect: vec![fence(self.token)],
            put: vec![lease_row(ctx)],
            remove: Vec::new(),
        };
        let mut batch = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let key = progress_key(&id);
            write.expect.push((key.clone(), job.progress_version));
            let progress = Box::new(self.recorded(job));
            write.put.push((key, RowValue::Progress(progress)));
            batch.push((id, job.edits));
        }
        let call = StoreCall::Write(write);
        let rpc = ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
        self.commits.in_flight.push(Sent {
            rpc,
            at: ctx.now,
            jobs: batch,
        });
    }

    /// Handles the answer to a write of progress.
    pub(crate) fn on_commit(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) -> Follow {
        let open = &mut self.commits.in_flight;
        let Some(at) = open.iter().position(|sent| sent.rpc == rpc) else {
            return Follow::Nothing;
        };
        let sent = open.swap_remove(at);
        let (sent_at, batch) = (sent.at, sent.jobs);
        match reply {
            StoreReply::Written(version) => {
                for (id, edits) in batch {
                    self.on_stored(ctx, &id, edits, version);
                }
                self.acknowledge(ctx);
                return Follow::Renewed { sent_at, version };
            }
            StoreReply::Conflict(rows) => {
                if !self.is_leader_row(&rows) {
                    return Follow::Deposed;
                }
                // An earlier write without an answer took effect.
                for (id, _) in &batch {
                    let key = progress_key(id);
                    let found = rows.iter().find(|row| row.key == key);
                    if let (Some(row), Some(job)) = (found, self.jobs.get_mut(id)) {
                        job.progress_version = row.version;
                    }
                }
                batch.iter().for_each(|(id, _)| self.commits.mark(id));
            }
            _ => {
                self.commits.retry_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
                let line = LogEvent::warn("progress_unwritten").with("jobs", batch.len());
                ctx.log(line.with("reply", format_args!("{reply:?}")));
                batch.iter().for_each(|(id, _)| self.commits.mark(id));
            }
        }
        Follow::Nothing
    }

    /// Lets workers forget the ends that are on record by now.
    fn acknowledge(&mut self, ctx: &mut Ctx) {
        let mut done = Vec::new();
        for &ix in &self.commits.waiting {
            let worker = self.fleet.get_mut(ix);
            let jobs = &self.jobs;
            worker
                .unstored
                .retain(|(id, edits)| jobs.get(id).is_some_and(|job| job.stored_edits < *edits));
            if worker.unstored.is_empty() {
                worker.stored = worker.seen;
                worker.next_look_at = ctx.now;
                done.push(ix);
            }
        }
        for ix in done {
            self.commits.waiting.remove(&ix);
            self.look_at(ctx, ix);
        }
    }
}
