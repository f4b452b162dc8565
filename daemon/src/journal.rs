//! The latest decisions of this daemon, kept to explain what became of a request or job.

use crate::{consts, log_line::event_name, sentence::sentence};
use pomelotide_core::{DaemonId, DecisionEvent, JobId, RequestId, TaskAttempt, TaskId, UnitKind};
use pomelotide_wire::ApiJournalEntry;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// The latest decisions about work, the oldest first; older ones fall out.
pub struct Journal {
    daemon: DaemonId,
    entries: VecDeque<(u64, DecisionEvent)>,
}

impl Journal {
    /// Makes an empty journal of a daemon.
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            entries: VecDeque::new(),
        }
    }

    /// Keeps a decision, if it is about a request or a job.
    pub fn keep(&mut self, told: &DecisionEvent) {
        if Subject::of(told).is_none() {
            return;
        }
        if self.entries.len() == consts::JOURNAL_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((wall_ms(), told.clone()));
    }

    /// Returns what is kept about a request or job: by the id that the caller gave, by the one that
    /// it has inside the system, or by the job's id.
    pub fn explain(&self, id: &str) -> Vec<ApiJournalEntry> {
        let about = self.entries.iter().filter(|(_, told)| is_about(told, id));
        let steps = about.map(|(at_ms, told)| ApiJournalEntry {
            at_ms: *at_ms,
            daemon: self.daemon.to_string(),
            event: event_name(told).into(),
            text: sentence(told),
        });
        steps.collect()
    }
}

/// The request or job that a decision is about.
enum Subject {
    Request(RequestId),
    Job(JobId),
}

impl Subject {
    fn of(told: &DecisionEvent) -> Option<Self> {
        match told {
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

/// Says whether a decision is about an id. A job `domain~team~id` was submitted as `team~id`, and
/// a request `team~id` came in as `id`, so either may be the end of the other after a `~`.
fn is_about(told: &DecisionEvent, id: &str) -> bool {
    let Some(subject) = Subject::of(told) else {
        return false;
    };
    let ends_with = |long: &str, short: &str| {
        long.strip_suffix(short)
            .is_some_and(|head| head.is_empty() || head.ends_with('~'))
    };
    ends_with(subject.text(), id) || ends_with(id, subject.text())
}

fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
