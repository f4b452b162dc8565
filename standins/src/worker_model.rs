//! Model of a worker that runs tasks under leases for the daemon with the highest claim.

use pomelotide_core::{
    ActiveTask, Claim, DaemonId, EndedTask, Millis, Payload, Resources, TaskEnd, TaskId, TaskStart,
    TeamName, WorkerCommand, WorkerReport,
};
use std::collections::{BTreeMap, BTreeSet};

/// Run time of a request's task whose payload has no `#run` instruction.
const REQUEST_RUN_MS: Millis = Millis(2);

/// Faults that tests can inject.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Every task fails immediately.
    pub fails_all: bool,
    /// Claims are not compared, so commands from daemons that lost the worker are not fenced.
    pub ignores_claims: bool,
}

/// The state of a worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    capacity: Resources,
    incarnation: u64,
    claim: Claim,
    owner: Option<DaemonId>,
    running: BTreeMap<TaskId, RunningTask>,
    ended: BTreeMap<TaskId, EndedTask>,
    seen: BTreeSet<TaskId>,
    started: Vec<(TaskId, TeamName)>,
    /// The faults in force.
    pub faults: WorkerFaults,
}

#[derive(Clone, Debug)]
struct RunningTask {
    team: TeamName,
    need: Resources,
    ends_at_ms: Option<Millis>,
    lease_expires_ms: Millis,
    plan: Plan,
}

/// How a task runs, as given by its payload.
///
/// A payload of the form `#run MS ok|fail TEXT` sets the run time, the result and the output. With
/// any other payload the task succeeds and its output is the payload.
#[derive(Clone, Debug)]
struct Plan {
    run_ms: Option<Millis>,
    end: TaskEnd,
    output: Payload,
}

impl Plan {
    fn from_start(start: &TaskStart) -> Self {
        let text = String::from_utf8_lossy(&start.payload.0);
        let declared = (start.run_ms > Millis(0)).then_some(start.run_ms);
        let Some(rest) = text.strip_prefix("#run ") else {
            // The IDs of requests' tasks start with `r`, those of jobs' tasks with `j`.
            let is_request = start.task.as_str().starts_with('r');
            let run_ms = if is_request {
                Some(REQUEST_RUN_MS)
            } else {
                declared
            };
            return Self {
                run_ms,
                end: TaskEnd::Done,
                output: start.payload.clone(),
            };
        };
        let mut words = rest.splitn(3, ' ');
        let run_ms = words
            .next()
            .and_then(|ms| ms.parse().ok())
            .map(Millis)
            .or(declared);
        let end = match words.next() {
            Some("fail") => TaskEnd::Failed,
            _ => TaskEnd::Done,
        };
        Self {
            run_ms,
            end,
            output: Payload::from(words.next().unwrap_or_default()),
        }
    }
}

impl WorkerModel {
    /// Creates a worker that has just started.
    ///
    /// `incarnation` must differ from that of every earlier start of the worker.
    pub fn new(capacity: Resources, incarnation: u64) -> Self {
        Self {
            capacity,
            incarnation,
            claim: Claim::default(),
            owner: None,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            seen: BTreeSet::new(),
            started: Vec::new(),
            faults: WorkerFaults::default(),
        }
    }

    /// Applies a command and returns the reports that answer it immediately.
    pub fn handle_command(
        &mut self,
        now_ms: Millis,
        claim: Claim,
        command: WorkerCommand,
    ) -> Vec<WorkerReport> {
        if let WorkerCommand::Claim { owner } = command {
            return self.handle_claim(now_ms, claim, owner);
        }
        if claim != self.claim && !self.faults.ignores_claims {
            return vec![self.fenced_report()];
        }
        match command {
            WorkerCommand::Claim { .. } => Vec::new(),
            WorkerCommand::Start(start) => self.start(now_ms, start),
            WorkerCommand::Renew { lease_ms } => self.renew(now_ms + lease_ms),
            WorkerCommand::Stop(task) => self.finish(&task, TaskEnd::Stopped),
            WorkerCommand::Ack(tasks) => {
                tasks.iter().for_each(|task| drop(self.ended.remove(task)));
                Vec::new()
            }
        }
    }

    /// Accepts a claim that is higher than the current one, renews the leases and lists the tasks.
    ///
    /// A claim of another daemon in the same term is fenced, however high it is.
    fn handle_claim(&mut self, now_ms: Millis, claim: Claim, owner: DaemonId) -> Vec<WorkerReport> {
        if claim <= self.claim && !self.faults.ignores_claims {
            return vec![self.fenced_report()];
        }
        let is_rival = self.owner.as_ref().is_some_and(|current| *current != owner);
        if is_rival && claim.term == self.claim.term && !self.faults.ignores_claims {
            return vec![self.fenced_report()];
        }
        self.claim = claim;
        self.owner = Some(owner);
        self.renew(now_ms + pomelotide_core::consts::TASK_LEASE_MS);
        let running = self.running.iter().map(|(task, running)| ActiveTask {
            task: task.clone(),
            team: running.team.clone(),
            need: running.need,
        });
        vec![WorkerReport::Claimed {
            incarnation: self.incarnation,
            capacity: self.capacity,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
        }]
    }

    fn fenced_report(&self) -> WorkerReport {
        let owner = self
            .owner
            .clone()
            .unwrap_or_else(|| DaemonId::new("nobody"));
        WorkerReport::Fenced {
            claim: self.claim,
            owner,
        }
    }

    /// Starts a task unless it was received before or the free capacity is too small.
    fn start(&mut self, now_ms: Millis, start: TaskStart) -> Vec<WorkerReport> {
        if !self.seen.insert(start.task.clone()) {
            return Vec::new();
        }
        if !self.used().plus(start.need).fits(&self.capacity) {
            return vec![WorkerReport::NoRoom(start.task)];
        }
        let plan = Plan::from_start(&start);
        let run_ms = if self.faults.fails_all {
            Some(Millis(0))
        } else {
            plan.run_ms
        };
        let running = RunningTask {
            team: start.team.clone(),
            need: start.need,
            ends_at_ms: run_ms.map(|run_ms| now_ms + run_ms),
            lease_expires_ms: now_ms + pomelotide_core::consts::TASK_LEASE_MS,
            plan,
        };
        self.started.push((start.task.clone(), start.team));
        self.running.insert(start.task, running);
        Vec::new()
    }

    fn renew(&mut self, lease_expires_ms: Millis) -> Vec<WorkerReport> {
        for running in self.running.values_mut() {
            running.lease_expires_ms = lease_expires_ms;
        }
        vec![WorkerReport::Renewed]
    }

    fn finish(&mut self, task: &TaskId, end: TaskEnd) -> Vec<WorkerReport> {
        let Some(running) = self.running.remove(task) else {
            return Vec::new();
        };
        let output = match end {
            TaskEnd::Done | TaskEnd::Failed => running.plan.output,
            TaskEnd::Stopped | TaskEnd::Lapsed => Payload::default(),
        };
        let ended = EndedTask {
            task: task.clone(),
            end,
            output,
        };
        self.ended.insert(task.clone(), ended.clone());
        vec![WorkerReport::Ended(ended)]
    }

    /// Ends the tasks whose run time is over or whose lease has expired and returns their reports.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<WorkerReport> {
        let due_end = |running: &RunningTask| {
            if running
                .ends_at_ms
                .is_some_and(|ends_at_ms| ends_at_ms <= now_ms)
            {
                Some(running.plan.end)
            } else if running.lease_expires_ms <= now_ms {
                Some(TaskEnd::Lapsed)
            } else {
                None
            }
        };
        let due = self
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), due_end(run)?)));
        let due: Vec<(TaskId, TaskEnd)> = due.collect();
        let fails_all = self.faults.fails_all;
        let end_of = |end| if fails_all { TaskEnd::Failed } else { end };
        due.into_iter()
            .flat_map(|(task, end)| self.finish(&task, end_of(end)))
            .collect()
    }

    /// Returns the resources that the running tasks occupy.
    pub fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(run.need))
    }

    /// Returns the worker's total resources.
    pub const fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns the running tasks with their teams and required resources.
    pub fn running(&self) -> impl Iterator<Item = (&TaskId, &TeamName, Resources)> {
        self.running
            .iter()
            .map(|(task, run)| (task, &run.team, run.need))
    }

    /// Returns all tasks that were started, in start order.
    pub fn started(&self) -> &[(TaskId, TeamName)] {
        &self.started
    }
}
