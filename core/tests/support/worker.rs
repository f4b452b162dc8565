//! A worker that runs what it is told and never more than it has.

use pomelotide_core::{
    ActiveTask, EndedTask, Payload, Resources, TaskEnd, TaskId, TaskStart, TeamName, WorkerId,
    WorkerReport,
};
use std::collections::BTreeMap;

/// How a task goes, written into its payload.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// By which the task is known again.
    pub label: usize,
    /// How long it runs; `None` for ever.
    pub run_ms: Option<u64>,
    /// Whether it fails in the end.
    pub fails: bool,
}

impl Plan {
    /// Makes the plan of a task that ends well.
    pub const fn ok(label: usize, run_ms: u64) -> Self {
        Self {
            label,
            run_ms: Some(run_ms),
            fails: false,
        }
    }

    /// Makes the plan of a task that fails wherever it runs.
    pub const fn fail(label: usize, run_ms: u64) -> Self {
        Self {
            label,
            run_ms: Some(run_ms),
            fails: true,
        }
    }

    /// Makes the plan of a task that runs for ever.
    pub const fn forever(label: usize) -> Self {
        Self {
            label,
            run_ms: None,
            fails: false,
        }
    }

    /// Reads a plan from a payload.
    pub fn of(payload: &Payload) -> Self {
        let text = String::from_utf8_lossy(&payload.0);
        let mut words = text.split(' ');
        let mut next = || words.next().unwrap_or_default().to_owned();
        let label = next().parse().unwrap_or_default();
        let run_ms = next().parse().ok().filter(|run_ms| *run_ms > 0);
        let fails = next() == "true";
        Self {
            label,
            run_ms,
            fails,
        }
    }
}

/// A task that a worker was told to start.
#[derive(Clone, Debug)]
pub struct Started {
    pub at_ms: u64,
    pub worker: WorkerId,
    pub task: TaskId,
    pub team: TeamName,
    pub label: usize,
}

/// A worker's state.
pub struct Worker {
    pub link: u64,
    pub used: Resources,
    pub running: BTreeMap<TaskId, (TaskStart, Plan)>,
    /// Whether each task fails at once.
    pub is_bad: bool,
    capacity: Resources,
}

impl Worker {
    pub fn new(capacity: Resources) -> Self {
        Self {
            link: 0,
            used: Resources::default(),
            running: BTreeMap::new(),
            is_bad: false,
            capacity,
        }
    }

    pub fn claimed(&self) -> WorkerReport {
        let running = self.running.values().map(|(start, _)| ActiveTask {
            task: start.task.clone(),
            team: start.team.clone(),
            need: start.need,
        });
        WorkerReport::Claimed {
            incarnation: 1,
            capacity: self.capacity,
            running: running.collect(),
            ended: Vec::new(),
        }
    }

    /// Starts a task and returns how long it runs; a worker is never given more than it has.
    pub fn start(&mut self, start: TaskStart, plan: Plan) -> Option<u64> {
        self.used = self.used.plus(start.need);
        assert!(
            self.used.fits(&self.capacity),
            "{} would take {} of {}",
            start.task,
            self.used,
            self.capacity
        );
        let plan = Plan {
            fails: plan.fails || self.is_bad,
            run_ms: if self.is_bad { Some(0) } else { plan.run_ms },
            ..plan
        };
        self.running.insert(start.task.clone(), (start, plan));
        plan.run_ms
    }

    pub fn started(&self, at_ms: u64, worker: &WorkerId, task: &TaskId) -> Started {
        let (start, plan) = &self.running[task];
        Started {
            at_ms,
            worker: worker.clone(),
            task: task.clone(),
            team: start.team.clone(),
            label: plan.label,
        }
    }

    /// Ends a task as planned.
    pub fn end(&mut self, task: &TaskId) -> Option<WorkerReport> {
        let fails = self.running.get(task)?.1.fails;
        let end = if fails {
            TaskEnd::Failed
        } else {
            TaskEnd::Done
        };
        self.finish(task, end)
    }

    /// Stops a task.
    pub fn stop(&mut self, task: &TaskId) -> Option<WorkerReport> {
        self.finish(task, TaskEnd::Stopped)
    }

    fn finish(&mut self, task: &TaskId, end: TaskEnd) -> Option<WorkerReport> {
        let (start, _) = self.running.remove(task)?;
        self.used = self.used.minus(start.need);
        Some(WorkerReport::Ended(EndedTask {
            task: task.clone(),
            end,
            output: Payload::default(),
        }))
    }
}
