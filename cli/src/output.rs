//! Prints answers and the status of a daemon.

use crate::cli::OutputFormat;
use pomelotide_wire::{ApiAnswer, ApiStatus};

/// Prints an answer.
pub(crate) fn show_answer(format: OutputFormat, answer: &ApiAnswer) {
    match format {
        OutputFormat::Json => println!("{}", serde_json::to_string(answer).unwrap_or_default()),
        OutputFormat::Text => println!("{}", answer_text(answer)),
    }
}

fn answer_text(answer: &ApiAnswer) -> String {
    match answer {
        ApiAnswer::Failed => "failed at the backend server".into(),
        ApiAnswer::NotRun {
            reason,
            help,
            retry_after_ms,
        } => {
            let after = retry_after_ms.map(|after_ms| format!("; retry after {after_ms} ms"));
            format!("not run: {reason} ({help}){}", after.unwrap_or_default())
        }
        ApiAnswer::OutcomeUnknown => "outcome unknown; ask again with the same id".into(),
        ApiAnswer::Accepted { job } => job.clone(),
        ApiAnswer::Job {
            state,
            done: Some(done),
        } => format!("{state}, {done} tasks done"),
        ApiAnswer::Job { state, done: None } => state.clone(),
        ApiAnswer::NoSuchJob => "no such job".into(),
        ApiAnswer::InForce { revision } => format!("in force everywhere as revision {revision}"),
        ApiAnswer::Rejected { faults } => format!("rejected:\n  {}", faults.join("\n  ")),
        ApiAnswer::Malformed(fault) => format!("{}: {}", fault.field, fault.error),
    }
}

/// Prints a daemon's status.
pub(crate) fn show_status(format: OutputFormat, status: &ApiStatus) {
    if format == OutputFormat::Json {
        println!("{}", serde_json::to_string(status).unwrap_or_default());
        return;
    }
    let leader = status.leader.as_deref().unwrap_or("none");
    let rows = [
        ("daemon", status.daemon.clone()),
        ("domain", status.domain.clone()),
        ("keeper", leader.into()),
        ("revision", status.revision.to_string()),
        ("keys honoured", status.fresh.to_string()),
        (
            "workers",
            format!("{} of {} take work", status.workers_ready, status.workers),
        ),
        ("tasks running", status.tasks_running.to_string()),
        ("waiting", status.pending.to_string()),
        ("open calls", status.open_calls.to_string()),
        ("draining", status.draining.to_string()),
    ];
    for (name, value) in rows {
        println!("{name:<14} {value}");
    }
}
