//! Describes decisions in sentences, for the explanation of a request or job.

use pomelotide_core::{
    DecisionEvent, LostCause, RequestOutcome, TaskAttempt, TaskEnd, TaskId, UnitKind, WaitCause,
};
use pomelotide_wire::refusal_help;

/// Returns the sentence for a decision about a request or job.
pub(crate) fn describe(decision: &DecisionEvent) -> String {
    match decision {
        DecisionEvent::RequestAdmitted { team, queue, .. } => {
            format!("admitted to queue {queue} for team {team}")
        }
        DecisionEvent::JobAdmitted { team, queue, .. } => {
            format!("job admitted to queue {queue} for team {team}")
        }
        DecisionEvent::Forwarded { to, .. } => format!("passed on to keeper {to}"),
        DecisionEvent::Waiting { .. } => describe_waiting(decision),
        DecisionEvent::Retried { work, avoid } => {
            describe_retry(work, avoid.as_ref().map(ToString::to_string))
        }
        _ => describe_attempt(decision).unwrap_or_else(|| describe_outcome(decision)),
    }
}

/// Returns the sentence for a decision about one attempt, or `None` for another decision.
fn describe_attempt(decision: &DecisionEvent) -> Option<String> {
    let (task, rest) = match decision {
        DecisionEvent::Placed {
            task,
            worker,
            waited_ms,
            ..
        } => (task, format!("placed on worker {worker} after {waited_ms}")),
        DecisionEvent::Ended {
            task,
            worker,
            ran_ms,
            end,
            ..
        } => {
            let end = end_text(*end);
            (task, format!("{end} on worker {worker} after {ran_ms}"))
        }
        DecisionEvent::Lost {
            task,
            worker,
            cause,
            ..
        } => {
            let reason = lost_text(*cause);
            (task, format!("lost at worker {worker}: {reason}"))
        }
        DecisionEvent::Found {
            task,
            worker,
            continues,
            ..
        } => {
            let next = if *continues { "goes on" } else { "is stopped" };
            let text = format!("found on worker {worker} at the takeover; it {next}");
            (task, text)
        }
        _ => return None,
    };
    Some(format!("{} {rest}", task_text(task)))
}

/// Returns the sentence for the acceptance, refusal or outcome of a request or job.
fn describe_outcome(decision: &DecisionEvent) -> String {
    match decision {
        DecisionEvent::RequestAnswered { outcome, .. } => match outcome {
            RequestOutcome::Done => "answered in full".into(),
            RequestOutcome::Failed => "answered: failed at the backend server".into(),
            RequestOutcome::Unknown => "answered: outcome unknown; it may have run".into(),
        },
        DecisionEvent::RequestRefused { reason, .. } => {
            format!("refused, not run: {reason} ({})", refusal_help(*reason))
        }
        DecisionEvent::JobRefused { reason, .. } => {
            format!("job refused, not run: {reason} ({})", refusal_help(*reason))
        }
        DecisionEvent::JobAccepted { job, .. } => format!("on record as job {job}"),
        DecisionEvent::JobDecided { state, .. } if state.is_final() => {
            format!("job is over: {}", format!("{state:?}").to_lowercase())
        }
        DecisionEvent::JobEnded { .. } => "the job's outcome is on record".into(),
        other => format!("{other:?}"),
    }
}

fn describe_waiting(decision: &DecisionEvent) -> String {
    let DecisionEvent::Waiting {
        work,
        team,
        class,
        ahead,
        cause,
    } = decision
    else {
        return String::new();
    };
    let subject = work_text(work);
    let position = match ahead {
        0 => String::new(),
        _ => format!(" behind {ahead} {class} units of team {team}"),
    };
    match cause {
        WaitCause::Behind => format!("{subject} waits{position}"),
        WaitCause::TeamLimit => format!(
            "{subject} waits{position}: team {team} has spent its part of the upper limit here \
             (pomelotide teams)"
        ),
        WaitCause::NoRoom => {
            format!("{subject} waits: no worker that takes work has room (pomelotide workers)")
        }
    }
}

fn describe_retry(work: &UnitKind, avoid: Option<String>) -> String {
    let subject = work_text(work);
    match avoid {
        Some(worker) => {
            format!("{subject} is tried again, elsewhere than on {worker} if possible")
        }
        None => format!("{subject} is tried again"),
    }
}

fn work_text(work: &UnitKind) -> String {
    match work {
        UnitKind::Request(_) => "the request".into(),
        UnitKind::Task { index, .. } => format!("task {index}"),
        UnitKind::Gang { tasks, .. } => format!("the gang of {tasks} tasks"),
    }
}

fn task_text(task: &TaskId) -> String {
    match TaskAttempt::parse(task) {
        Some(TaskAttempt::Job { index, .. }) => format!("task {index}"),
        Some(TaskAttempt::Request { .. }) => "the request".into(),
        None => "a task".into(),
    }
}

const fn end_text(end: TaskEnd) -> &'static str {
    match end {
        TaskEnd::Done => "ended well",
        TaskEnd::Failed => "failed",
        TaskEnd::Stopped => "was stopped on command",
        TaskEnd::Lapsed => "stopped, since its lease ran out,",
    }
}

const fn lost_text(cause: LostCause) -> &'static str {
    match cause {
        LostCause::NeverStarted => "the worker never started it",
        LostCause::WorkerGone => "the worker left, started anew or was silent past the lease",
    }
}
