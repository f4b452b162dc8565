//! Queries about jobs, and cancellations, that other daemons send for their clients.

use crate::{
    cell::{
        consts, ctx::Ctx, leader::Leader, JobAccess, JobRow, JobState, JobStateReply, LinkId,
        LogEvent, QueryId, Queue, QueueAddress, QueueCount, ToMember,
    },
    JobId, Millis, QueueName,
};
use std::collections::BTreeMap;

/// A query about an open job, whose answer is held for a short time because the job may end.
#[derive(Debug)]
pub(crate) struct HeldQuery {
    until: Millis,
    link: LinkId,
    query: QueryId,
    job: JobId,
}

impl Leader {
    /// Holds the answer to a query about an open job.
    fn hold_query(&mut self, now: Millis, link: LinkId, query: QueryId, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.state_queries.push((link, query));
            self.held_queries.push_back(HeldQuery {
                until: now + consts::STATE_QUERY_WAIT_MS,
                link,
                query,
                job: id.clone(),
            });
        }
    }

    /// Answers the queries that were held long enough. Those about jobs that ended meanwhile have
    /// been answered already.
    pub(crate) fn answer_held_queries(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        while self
            .held_queries
            .front()
            .is_some_and(|query| query.until <= now)
        {
            let Some(query) = self.held_queries.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&query.job) else {
                continue;
            };
            let key = (query.link, query.query);
            let Some(at) = job.state_queries.iter().position(|query| *query == key) else {
                continue;
            };
            job.state_queries.swap_remove(at);
            let view = JobStateReply::Known(job.visible_state());
            ctx.send_member(
                query.link,
                ToMember::State {
                    query: query.query,
                    view,
                },
            );
        }
    }

    /// Answers a query about a job's state; for an open job the answer is held.
    pub(crate) fn answer_state_query(
        &mut self,
        ctx: &mut Ctx,
        link: LinkId,
        query: QueryId,
        id: &JobId,
        access: &JobAccess,
    ) {
        let job = self
            .jobs
            .get(id)
            .filter(|job| self.covers(access, &job.row));
        if self.loader.is_done() && job.is_some_and(|job| !job.visible_state().is_final()) {
            self.hold_query(ctx.now, link, query, id);
            return;
        }
        let view = match job {
            _ if !self.loader.is_done() => JobStateReply::Loading,
            Some(job) => JobStateReply::Known(job.visible_state()),
            None => JobStateReply::UnknownToLeader,
        };
        ctx.send_member(link, ToMember::State { query, view });
    }

    /// Cancels a job; the query is answered once the job's final state is stored.
    pub(crate) fn cancel_job(
        &mut self,
        ctx: &mut Ctx,
        link: LinkId,
        query: QueryId,
        id: &JobId,
        access: &JobAccess,
    ) {
        if !self.loader.is_done() {
            let view = JobStateReply::Loading;
            return ctx.send_member(link, ToMember::State { query, view });
        }
        let is_covered = self
            .jobs
            .get(id)
            .is_some_and(|job| self.covers(access, &job.row));
        let Some(job) = self.jobs.get_mut(id).filter(|_| is_covered) else {
            let view = JobStateReply::UnknownToLeader;
            return ctx.send_member(link, ToMember::State { query, view });
        };
        if job.visible_state().is_final() {
            let view = JobStateReply::Known(job.visible_state());
            return ctx.send_member(link, ToMember::State { query, view });
        }
        job.cancel_queries.push((link, query));
        if !job.progress.state.is_final() {
            ctx.log(LogEvent::info("job_cancelled").with("job", id));
            self.end_job(ctx, id, JobState::Cancelled);
        }
    }

    /// Returns the number of pending jobs of each queue that has any, by the queue's name and its address.
    /// Jobs are counted at the queue that they belong to by the present desired state.
    pub(crate) fn queued_counts(&self) -> (Vec<(QueueName, u64)>, Vec<QueueCount>) {
        let mut by_name: BTreeMap<QueueName, u64> = BTreeMap::new();
        let mut by_address: BTreeMap<QueueAddress, u64> = BTreeMap::new();
        for (key, count) in self.queued.iter().filter(|(_, count)| **count > 0) {
            let queue = self.policy.as_ref().and_then(|policy| policy.queue_by(key));
            let name = queue.map_or(&key.name, |queue| &queue.name);
            *by_name.entry(name.clone()).or_default() += count;
            let address = queue.map(Queue::address).or_else(|| key.address.clone());
            if let Some(address) = address {
                *by_address.entry(address).or_default() += count;
            }
        }
        let by_address = by_address.into_iter();
        let counts = by_address.map(|(address, pending)| QueueCount { address, pending });
        (by_name.into_iter().collect(), counts.collect())
    }

    /// Returns whether a job is one of those that a call may see and end.
    fn covers(&self, access: &JobAccess, row: &JobRow) -> bool {
        let queue = self.policy.as_ref().and_then(|policy| policy.queue(row));
        access.covers(row, queue)
    }

    /// Returns the queues that refuse jobs, each with the delay before a retry; this version
    /// refuses none.
    pub(crate) fn closed_queues(&self, _: &Ctx) -> Vec<(QueueName, Millis)> {
        Vec::new()
    }
}
