//! Answers to those that wait for the outcome of a submission.

use super::pending_submission::{PendingSubmission, Waiter};
use crate::cell::{
    admission::Verdict, consts, ctx::Ctx, frontend::Frontend, ClientAnswer, JobRow, LogEvent,
    RowVersion, SubmitOutcome, ToMember,
};

pub(super) fn log_refusal(ctx: &mut Ctx, job: &JobRow, verdict: &Verdict) {
    let team = job.team.as_ref().map_or("-", |team| team.as_str());
    let event = LogEvent::warn("job_refused")
        .with("job", &job.id)
        .with("queue", &job.queue)
        .with("team", team)
        .with("reason", verdict.reason.code());
    let event = event
        .with("expected_start_ms", verdict.expected_start_ms)
        .with("last_useful_start_ms", verdict.last_useful_start_ms)
        .with("retry_ms", verdict.retry_after_ms.0);
    ctx.log(
        event
            .with("table", verdict.table_version)
            .with("table_age_ms", verdict.table_age_ms.0),
    );
}

/// Answers the waiters of a submission whose refusal is recorded.
pub(super) fn answer_refused(
    ctx: &mut Ctx,
    frontend: &mut Frontend,
    pending: &PendingSubmission,
    version: RowVersion,
) {
    let Some(refusal) = &pending.refusal else {
        return;
    };
    let event = LogEvent::info("refusal_recorded").with("job", &pending.job.id);
    let event = event.with("version", version);
    ctx.log(event.with("waited_ms", ctx.now.since(pending.submitted_at).0));
    for waiter in &pending.waiters {
        match waiter {
            Waiter::Client(call) => {
                let answer = ClientAnswer::NotRun {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                frontend.answer(ctx, *call, answer);
            }
            Waiter::Peer(..) => answer_waiter(ctx, frontend, *waiter, SubmitOutcome::NotRun),
        }
    }
}

pub(super) fn answer_waiters(
    ctx: &mut Ctx,
    frontend: &mut Frontend,
    pending: &PendingSubmission,
    outcome: SubmitOutcome,
) {
    let waited_ms = ctx.now.since(pending.submitted_at);
    let event = match outcome {
        SubmitOutcome::Accepted => LogEvent::info("job_accepted"),
        SubmitOutcome::NotRun | SubmitOutcome::Unknown | SubmitOutcome::Withdrawn => {
            LogEvent::warn("job_not_accepted")
        }
    };
    let team = pending.job.team.as_ref().map_or("-", |team| team.as_str());
    let event = event
        .with("job", &pending.job.id)
        .with("queue", &pending.job.queue);
    let event = event
        .with("team", team)
        .with("outcome", format_args!("{outcome:?}"));
    ctx.log(event.with("waited_ms", waited_ms.0));
    for waiter in &pending.waiters {
        answer_waiter(ctx, frontend, *waiter, outcome);
    }
}

pub(super) fn answer_waiter(
    ctx: &mut Ctx,
    frontend: &mut Frontend,
    waiter: Waiter,
    outcome: SubmitOutcome,
) {
    match waiter {
        Waiter::Client(call) => frontend.answer(ctx, call, client_answer(outcome)),
        Waiter::Peer(link, query) => ctx.send_member(link, ToMember::Submitted { query, outcome }),
    }
}

fn client_answer(outcome: SubmitOutcome) -> ClientAnswer {
    match outcome {
        SubmitOutcome::Accepted => ClientAnswer::Accepted,
        SubmitOutcome::NotRun => ClientAnswer::NotRun {
            reason: "the job could not be put on record",
            retry_after_ms: consts::RETRY_AFTER_MS,
        },
        SubmitOutcome::Withdrawn => ClientAnswer::NotRun {
            reason: "the job was cancelled before it was accepted",
            retry_after_ms: consts::WITHDRAWN_RETRY_AFTER_MS,
        },
        SubmitOutcome::Unknown => ClientAnswer::Unknown,
    }
}
