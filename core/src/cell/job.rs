//! Jobs of several steps, as submitted and as recorded.

use crate::{cell::Queue, JobId, Millis, QueueName, Resources, TeamName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The most tasks of a job; the leader keeps a record of each.
const MAX_TASKS: u64 = 100_000;

/// One step of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The rough estimate of a task's run time.
    pub estimated_ms: Millis,
    /// The indexes of the steps that must finish first.
    pub after: Vec<u16>,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Whether the tasks should share one rack, because they are slower across racks.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub requirement: Option<CompactString>,
    /// The rack that is close to the step's data.
    pub affinity: Option<CompactString>,
    /// How many of the tasks one worker may run at a time.
    pub per_worker: Option<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether copies of a task may run in parallel.
    pub concurrent: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// How many tasks of a long-running step the system may interrupt at a time.
    pub max_unavailable: Option<u32>,
}

/// A job as a client submits it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The data that is passed to every task.
    pub payload: CompactString,
    /// The steps of the job.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 for a job without a schedule.
    pub repeat_count: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// The time between occurrences.
    pub interval_ms: Millis,
}

impl Submission {
    /// Returns why the submission is invalid, or `None` if it is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("steps: a job needs at least one step");
        }
        if self.steps.len() > usize::from(u16::MAX) {
            return Some("steps: a job has too many steps");
        }
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        if counts.sum::<u64>() > MAX_TASKS {
            return Some("count: a job has too many tasks");
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

    /// Returns why the submission is not supported yet, or `None` if it is supported.
    pub fn unsupported_reason(&self) -> Option<&'static str> {
        if self.repeat_count > 0 {
            return Some("jobs with times are not served yet");
        }
        if self.steps.iter().any(|step| step.long_running) {
            return Some("long-running tasks are not served yet");
        }
        None
    }

    /// Returns, for each step, the longest chain of estimated run times that begins with it, in
    /// milliseconds.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut paths_ms = vec![0; self.steps.len()];
        // Steps depend on earlier ones only, so all chains after a step are known when it is reached.
        for (at, step) in self.steps.iter().enumerate().rev() {
            let path_ms = step.estimated_ms.0.saturating_add(paths_ms[at]);
            paths_ms[at] = path_ms;
            for &earlier in &step.after {
                if let Some(after_ms) = paths_ms[..at].get_mut(usize::from(earlier)) {
                    *after_ms = path_ms.max(*after_ms);
                }
            }
        }
        paths_ms
    }

    /// Returns the estimated work of all steps, in thousandths of a core times milliseconds.
    pub fn total_work(&self) -> u64 {
        let of = |step: &StepSpec| {
            let cpu_milli = u64::from(step.count).saturating_mul(step.need.cpu_milli);
            cpu_milli.saturating_mul(step.estimated_ms.0.max(1))
        };
        self.steps.iter().map(of).fold(0, u64::saturating_add)
    }

    /// Returns the longest chain of estimated run times of the job, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_paths_ms().into_iter().max().unwrap_or(0)
    }
}

/// An accepted job as recorded in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// The id that the client chose.
    pub id: JobId,
    /// The queue that it was submitted to.
    pub queue: QueueName,
    /// The team that it runs for; `None` if it was submitted without a key to an open queue.
    pub team: Option<TeamName>,
    /// The submission.
    #[serde(rename = "work")]
    pub submission: Submission,
    /// When it was submitted, in Unix milliseconds by the clock of the daemon that accepted it.
    pub accepted_unix_ms: u64,
    /// The queue's definition at that time, which applies to the job after the queue was removed;
    /// `None` in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_spec: Option<Box<Queue>>,
}
