//! Submissions of clients: what is refused at once, and what is recorded.

use super::Frontend;
use crate::{
    cell::{
        admission::{JobDemand, Verdict},
        consts,
        ctx::Ctx,
        row_size::SizeCheck,
        submissions::Submissions,
        ClientAnswer, JobRow, LogEvent, Queue, Submission,
    },
    CallId, JobId, Millis, QueueName, TeamName,
};

impl Frontend {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn submit(
        &mut self,
        ctx: &mut Ctx,
        submissions: &mut Submissions,
        call: CallId,
        queue: &Queue,
        team: Option<TeamName>,
        weight: u64,
        id: JobId,
        submission: Submission,
    ) {
        if let Some(fault) = submission.validation_error() {
            ctx.log(
                LogEvent::warn("job_malformed")
                    .with("job", &id)
                    .with("reason", fault),
            );
            return self.answer(ctx, call, ClientAnswer::Malformed(fault.into()));
        }
        if let Some((reason, retry_after_ms)) = self.refusal(ctx.now, &queue.name, &submission) {
            let event = LogEvent::warn("job_refused")
                .with("job", &id)
                .with("queue", &queue.name);
            ctx.log(
                event
                    .with("reason", reason)
                    .with("retry_ms", retry_after_ms.0),
            );
            let answer = ClientAnswer::NotRun {
                reason,
                retry_after_ms,
            };
            return self.answer(ctx, call, answer);
        }
        let job = JobRow {
            id,
            queue: queue.name.clone(),
            team,
            submission,
            accepted_unix_ms: ctx.unix_ms,
            queue_spec: Some(Box::new(queue.clone())),
        };
        match job.check_size(
            ctx.settings.max_value_bytes(),
            self.report.worker_id_bytes(ctx.now),
        ) {
            SizeCheck::Fits => {}
            SizeCheck::TooLarge(fault) => {
                let event = LogEvent::warn("job_malformed").with("job", &job.id);
                ctx.log(event.with("reason", fault));
                return self.answer(ctx, call, ClientAnswer::Malformed(fault.into()));
            }
            SizeCheck::Undecided => {
                let event = LogEvent::warn("job_undecided").with("job", &job.id);
                ctx.log(event.with("reason", "ids unknown"));
                return self.refuse(ctx, call, "the length of the workers' ids is unknown");
            }
        }
        match self.check_load(ctx, queue, weight, &job) {
            Some(verdict) => submissions.refuse_client(ctx, self, call, job, &verdict),
            None => submissions.add_client(ctx, self, call, job),
        }
    }

    /// Returns why a job is refused for load, or `None` if it is not. Without the store's clock no refusal
    /// can be recorded.
    fn check_load(
        &mut self,
        ctx: &mut Ctx,
        queue: &Queue,
        weight: u64,
        job: &JobRow,
    ) -> Option<Verdict> {
        if !ctx.settings.admission || ctx.store_clock.at_most(ctx.now).is_none() {
            return None;
        }
        let demand = JobDemand::new(queue, job.team.clone(), weight, &job.submission);
        self.admission.check(ctx.now, &job.id, demand)
    }

    /// Returns why a submission is refused and the delay before a retry, or `None` if it is not.
    fn refusal(
        &self,
        now: Millis,
        queue: &QueueName,
        submission: &Submission,
    ) -> Option<(&'static str, Millis)> {
        let unsupported = submission
            .unsupported_reason()
            .map(|reason| (reason, consts::UNSUPPORTED_RETRY_AFTER_MS));
        let full = || Some(("the fleet is full", self.closed_retry_after(now, queue)?));
        unsupported.or_else(full)
    }

    /// Returns the delay before a retry if the leader has recently reported that the queue refuses
    /// jobs.
    fn closed_retry_after(&self, now: Millis, queue: &QueueName) -> Option<Millis> {
        let at = self.report.at?;
        let is_recent = now.since(at) < consts::MAX_LEADER_REPORT_AGE_MS;
        self.report.closed.get(queue).copied().filter(|_| is_recent)
    }
}
