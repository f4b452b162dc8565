//! Calls to the store about the rows of clients' jobs: look-ups where the leader does not answer or does not
//! know the job, and the record of a cancellation in the place of a job that is not recorded.

use super::{progress_key, Frontend, LeaderQuery};
use crate::cell::{
    consts,
    ctx::{Ctx, RpcOwner},
    found_row::FoundRow,
    submissions::job_key,
    ClientAnswer, JobRow, JobState, LogEvent, Row, RowKey, RowValue, RowVersion, RpcId, StoreCall,
    StoreReply, Withdrawal, Write,
};

/// An open call to the store about the row of a client's job.
#[derive(Debug)]
pub(super) enum RowCall {
    ReadJob(LeaderQuery),
    ReadProgress(LeaderQuery),
    /// The write of a cancellation in the place of a job that is not recorded.
    Withdraw(LeaderQuery),
}

impl Frontend {
    /// Reads the job's row from the store.
    pub(super) fn look_up(&mut self, ctx: &mut Ctx, query: LeaderQuery) {
        let call = read_row_call(job_key(&query.job));
        self.call_store(ctx, call, RowCall::ReadJob(query));
    }

    fn call_store(&mut self, ctx: &mut Ctx, call: StoreCall, row_call: RowCall) {
        let rpc = ctx.call_store(RpcOwner::Frontend, call, consts::STORE_TIMEOUT_MS);
        self.row_calls.insert(rpc, row_call);
    }

    pub(crate) fn on_store(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) {
        match self.row_calls.remove(&rpc) {
            Some(RowCall::ReadJob(query)) => {
                let found = FoundRow::new(reply, &job_key(&query.job));
                self.on_job_read(ctx, query, found);
            }
            Some(RowCall::ReadProgress(query)) => {
                let found = FoundRow::new(reply, &progress_key(&query.job));
                self.on_progress_read(ctx, &query, found);
            }
            Some(RowCall::Withdraw(query)) => self.on_withdrawal_written(ctx, query, reply),
            None => {}
        }
    }

    /// Continues a query after the job's row was read: a cancellation goes to the leader again, for
    /// another query the progress is read.
    fn on_job_read(&mut self, ctx: &mut Ctx, query: LeaderQuery, found: FoundRow) {
        match found {
            FoundRow::Unclear(reason) => self.refuse(ctx, query.call, reason),
            FoundRow::Found(Row {
                value: RowValue::Job(job),
                version,
                ..
            }) => self.on_job_row(ctx, query, *job, version),
            found if query.cancels => self.withdraw(ctx, query, found),
            _ => self.answer(ctx, query.call, ClientAnswer::NoJob),
        }
    }

    fn on_job_row(&mut self, ctx: &mut Ctx, query: LeaderQuery, row: JobRow, version: RowVersion) {
        let queue = query.state.queue_of(&row.queue_key());
        let queue = queue.or(row.queue_spec.as_deref());
        if !query.access.covers(&row, queue) {
            return self.answer(ctx, query.call, ClientAnswer::NoJob);
        }
        if query.cancels {
            self.report_accepted(ctx, row, version);
            let since = ctx.now;
            let query = LeaderQuery {
                since,
                row_looked_up: true,
                ..query
            };
            return self.query_leader(ctx, query);
        }
        let call = read_row_call(progress_key(&query.job));
        self.call_store(ctx, call, RowCall::ReadProgress(query));
    }

    fn on_progress_read(&mut self, ctx: &mut Ctx, query: &LeaderQuery, found: FoundRow) {
        let state = match found {
            FoundRow::Unclear(reason) => return self.refuse(ctx, query.call, reason),
            FoundRow::Found(Row {
                value: RowValue::Progress(progress),
                ..
            }) => progress.visible_state(),
            _ => JobState::Pending,
        };
        self.answer(ctx, query.call, ClientAnswer::State(state));
    }

    /// Records a cancellation in the place of a job that is not recorded, because a write of the job may
    /// still be under way.
    fn withdraw(&mut self, ctx: &mut Ctx, query: LeaderQuery, found: FoundRow) {
        let (mut withdrawal, version) = match found {
            FoundRow::Absent => (Withdrawal::default(), RowVersion(0)),
            FoundRow::Found(Row {
                value: RowValue::Withdrawn(earlier),
                version,
                ..
            }) => (*earlier, version),
            _ => return self.refuse(ctx, query.call, "the job's record can't be read"),
        };
        if !withdrawal.add(query.access.clone()) {
            return self.answer(ctx, query.call, ClientAnswer::NoJob);
        }
        let key = job_key(&query.job);
        let write = Write {
            expect: vec![(key.clone(), version)],
            put: vec![(key, RowValue::Withdrawn(Box::new(withdrawal)))],
            remove: Vec::new(),
        };
        self.call_store(ctx, StoreCall::Write(write), RowCall::Withdraw(query));
    }

    /// Answers a cancellation once it is recorded; after a conflict, the row that took its place counts.
    fn on_withdrawal_written(&mut self, ctx: &mut Ctx, query: LeaderQuery, reply: StoreReply) {
        match reply {
            StoreReply::Written(version) => {
                let event = LogEvent::info("job_withdrawn").with("job", &query.job);
                ctx.log(event.with("version", version));
                self.answer(ctx, query.call, ClientAnswer::NoJob);
            }
            StoreReply::Conflict(_) => self.look_up(ctx, query),
            _ => self.refuse(ctx, query.call, "the store does not answer"),
        }
    }
}

fn read_row_call(key: RowKey) -> StoreCall {
    StoreCall::Read {
        table: key.table,
        partition: key.partition,
        from: key.key,
        limit: 1,
    }
}
