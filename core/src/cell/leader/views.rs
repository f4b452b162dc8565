//! What callers learn from the leader.

use crate::{
    cell::{
        consts, leader::Leader, node::Ctx, JobState, JobStateReply, LinkId, LogEvent, QueryId,
        ToMember,
    },
    JobId, Millis, QueueName, TeamName,
};

/// A question about a job that has not ended: its answer waits a little for the end.
#[derive(Debug)]
pub(crate) struct HeldAsk {
    until: Millis,
    link: LinkId,
    query: QueryId,
    job: JobId,
}

impl Leader {
    /// Holds the answer to a question about a job that has not ended.
    fn hold_ask(&mut self, now: Millis, link: LinkId, query: QueryId, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.state_asks.push((link, query));
            self.held_asks.push_back(HeldAsk {
                until: now + consts::STATE_QUERY_WAIT_MS,
                link,
                query,
                job: id.clone(),
            });
        }
    }

    /// Answers the questions that have waited long enough; those of jobs that ended are answered.
    pub(crate) fn answer_held(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        while self.held_asks.front().is_some_and(|held| held.until <= now) {
            let Some(held) = self.held_asks.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&held.job) else {
                continue;
            };
            let open = (held.link, held.query);
            let Some(at) = job.state_asks.iter().position(|own| *own == open) else {
                continue;
            };
            job.state_asks.swap_remove(at);
            let view = JobStateReply::Known(job.shown());
            ctx.send_member(
                held.link,
                ToMember::State {
                    query: held.query,
                    view,
                },
            );
        }
    }

    pub(crate) fn tell_state(
        &mut self,
        ctx: &mut Ctx,
        link: LinkId,
        query: QueryId,
        id: &JobId,
        team: Option<TeamName>,
    ) {
        let job = self.jobs.get(id);
        let own = job.filter(|job| job.row.team.is_none() || job.row.team == team);
        if self.load.is_done() && own.is_some_and(|job| !job.shown().is_final()) {
            self.hold_ask(ctx.now, link, query, id);
            return;
        }
        let view = match own {
            _ if !self.load.is_done() => JobStateReply::Loading,
            Some(job) => JobStateReply::Known(job.shown()),
            None => JobStateReply::UnknownToLeader,
        };
        ctx.send_member(link, ToMember::State { query, view });
    }

    pub(crate) fn cancel(
        &mut self,
        ctx: &mut Ctx,
        link: LinkId,
        query: QueryId,
        id: &JobId,
        team: Option<TeamName>,
    ) {
        if !self.load.is_done() {
            let view = JobStateReply::Loading;
            return ctx.send_member(link, ToMember::State { query, view });
        }
        let job = self.jobs.get_mut(id);
        let Some(job) = job.filter(|job| job.row.team.is_none() || job.row.team == team) else {
            let view = JobStateReply::UnknownToLeader;
            return ctx.send_member(link, ToMember::State { query, view });
        };
        if job.shown().is_final() {
            let view = JobStateReply::Known(job.shown());
            return ctx.send_member(link, ToMember::State { query, view });
        }
        job.cancel_asks.push((link, query));
        if !job.progress.state.is_final() {
            ctx.log(LogEvent::info("job_cancelled").with("job", id));
            self.end_job(ctx, id, JobState::Cancelled);
        }
    }

    /// Returns how many jobs wait, for the queues where some do.
    pub(crate) fn waiting_counts(&self) -> Vec<(QueueName, u64)> {
        let waiting = self.queued.iter().filter(|(_, count)| **count > 0);
        waiting
            .map(|(name, count)| (name.clone(), *count))
            .collect()
    }

    /// Returns the queues that should be refused at present, with the time to come back.
    pub(crate) fn closed_queues(&self, _: &Ctx) -> Vec<(QueueName, Millis)> {
        Vec::new()
    }
}
