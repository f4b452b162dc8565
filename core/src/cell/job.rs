//! Jobs of several steps, as they are submitted and kept on record.

use crate::{JobId, Millis, QueueName, Resources, TeamName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One step of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// How many tasks it has.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// A rough estimate of a task's run time.
    pub estimated_ms: Millis,
    /// The steps that have to be done before.
    pub after: Vec<u16>,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requirement: Option<CompactString>,
    /// The rack near the step's data.
    pub affinity: Option<CompactString>,
    /// How many of its tasks one worker may run.
    pub per_worker: Option<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether copies of a task may run in parallel.
    pub concurrent: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// How many tasks of a long-running step may be away by the system's own doing.
    pub max_unavailable: Option<u32>,
}

/// What a client hands in.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// What the tasks are given.
    pub payload: CompactString,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 for a job without times.
    pub repeat_count: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// The span between occurrences.
    pub interval_ms: Millis,
}

impl Submission {
    /// Returns why the submission can't be taken, if it can't.
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("steps: a job needs at least one step");
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("count: a step needs at least one task");
            }
            if step.after.iter().any(|&earlier| usize::from(earlier) >= at) {
                return Some("after: a step may only follow earlier steps");
            }
        }
        None
    }

    /// Returns why no cell can serve the submission yet, if it can't.
    pub fn unsupported_reason(&self) -> Option<&'static str> {
        if self.repeat_count > 0 {
            return Some("jobs with times are not served yet");
        }
        if self.steps.iter().any(|step| step.long_running) {
            return Some("long-running tasks are not served yet");
        }
        None
    }

    /// Returns the estimated work that is left from a step's start on, in milliseconds.
    pub fn critical_path_from_ms(&self, step: usize) -> u64 {
        let mut longest = 0;
        for (at, later) in self.steps.iter().enumerate().skip(step + 1) {
            if later
                .after
                .iter()
                .any(|&earlier| usize::from(earlier) == step)
            {
                longest = longest.max(self.critical_path_from_ms(at));
            }
        }
        self.steps[step].estimated_ms.0 + longest
    }

    /// Returns the estimated work of all steps, in thousandths of a core times milliseconds.
    pub fn total_work(&self) -> u64 {
        let of = |step: &StepSpec| {
            u64::from(step.count) * step.need.cpu_milli * step.estimated_ms.0.max(1)
        };
        self.steps.iter().map(of).sum()
    }

    /// Returns the longest chain of estimated work, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        (0..self.steps.len())
            .map(|step| self.critical_path_from_ms(step))
            .max()
            .unwrap_or(0)
    }
}

/// A job as it is kept on record from its acceptance on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// The job, as its caller named it.
    pub id: JobId,
    /// The queue that took it.
    pub queue: QueueName,
    /// The team that it runs for; `None` on a queue open to all.
    pub team: Option<TeamName>,
    /// What was handed in.
    #[serde(rename = "work")]
    pub submission: Submission,
    /// When a daemon took it in, in Unix milliseconds of that daemon's clock.
    pub accepted_unix_ms: u64,
}
