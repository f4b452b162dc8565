//! The latest decisions of this daemon, which explain what happened to a request or job.

use crate::{consts, description::describe, log_line::event_name};
use pomelotide_core::{DaemonId, DecisionEvent, JobId, RequestId, TaskAttempt, TaskId, UnitKind};
use pomelotide_wire::ApiJournalEntry;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// The latest decisions about requests and jobs, oldest first.
///
/// It holds a fixed number of decisions; a new one replaces the oldest.
pub struct Journal {
    daemon: DaemonId,
    entries: VecDeque<(u64, DecisionEvent)>,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            entries: VecDeque::new(),
        }
    }

    /// Records a decision if it is about a request or job.
    pub fn record(&mut self, decision: &DecisionEvent) {
        if Subject::of(decision).is_none() {
            return;
        }
        if self.entries.len() == consts::MAX_JOURNAL_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((unix_ms(), decision.clone()));
    }

    /// Returns the recorded decisions about a request or job, which is named by the caller's request
    /// id, the internal request id or the job id.
    pub fn explain(&self, id: &str) -> Vec<ApiJournalEntry> {
        let matching = self
            .entries
            .iter()
            .filter(|(_, decision)| is_about(decision, id));
        let entries = matching.map(|(at_ms, decision)| ApiJournalEntry {
            at_ms: *at_ms,
            daemon: self.daemon.to_string(),
            event: event_name(decision).into(),
            text: describe(decision),
        });
        entries.collect()
    }
}

/// The request or job that a decision is about.
enum Subject {
    Request(RequestId),
    Job(JobId),
}

impl Subject {
    fn of(decision: &DecisionEvent) -> Option<Self> {
        match decision {
            DecisionEvent::RequestAdmitted { request, .. }
            | DecisionEvent::JobAdmitted { request, .. }
            | DecisionEvent::Forwarded { request, .. }
            | DecisionEvent::RequestAnswered { request, .. }
            | DecisionEvent::RequestRefused { request, .. }
            | DecisionEvent::JobRefused { request, .. } => Some(Subject::Request(request.clone())),
            DecisionEvent::Waiting { work, .. } | DecisionEvent::Retried { work, .. } => {
                Some(Self::of_work(work))
            }
            DecisionEvent::Placed { task, .. }
            | DecisionEvent::Ended { task, .. }
            | DecisionEvent::Found { task, .. }
            | DecisionEvent::Lost { task, .. } => Self::of_task(task),
            DecisionEvent::JobAccepted { job, .. }
            | DecisionEvent::JobDecided { job, .. }
            | DecisionEvent::JobEnded { job, .. } => Some(Subject::Job(job.clone())),
            _ => None,
        }
    }

    fn of_work(work: &UnitKind) -> Self {
        match work {
            UnitKind::Request(request) => Subject::Request(request.clone()),
            UnitKind::Task { job, .. } | UnitKind::Gang { job, .. } => Subject::Job(job.clone()),
        }
    }

    fn of_task(task: &TaskId) -> Option<Self> {
        TaskAttempt::parse(task).map(|name| match name {
            TaskAttempt::Request { request, .. } => Subject::Request(request),
            TaskAttempt::Job { job, .. } => Subject::Job(job),
        })
    }

    fn text(&self) -> &str {
        match self {
            Subject::Request(request) => request.as_str(),
            Subject::Job(job) => job.as_str(),
        }
    }
}

/// Returns whether a decision is about the request or job with an id.
///
/// A job `domain~team~id` was submitted by the request `team~id`, which its caller named `id`, so
/// the ids match if one is a suffix of the other that begins after a `~`.
fn is_about(decision: &DecisionEvent, id: &str) -> bool {
    let Some(subject) = Subject::of(decision) else {
        return false;
    };
    let ends_with = |long: &str, short: &str| {
        long.strip_suffix(short)
            .is_some_and(|head| head.is_empty() || head.ends_with('~'))
    };
    ends_with(subject.text(), id) || ends_with(id, subject.text())
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}
