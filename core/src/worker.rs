//! Messages between a daemon and a worker.

use crate::{
    DaemonId, DomainName, Epoch, Millis, Payload, RackName, Resources, TaskId, TeamName, Term,
    WorkerId,
};
use serde::{Deserialize, Serialize};

/// A worker in the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// Its address, as `IP:port`.
    pub address: String,
    /// Its capacity.
    pub capacity: Resources,
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
}

/// The authority of a daemon to command a worker, which refuses commands under lower claims.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Claim {
    /// The term of the failure domain's leader.
    pub term: Term,
    /// The number of the claim on this worker within the term.
    pub epoch: Epoch,
}

/// A task to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// The attempt's id. A worker starts each attempt at most once.
    pub task: TaskId,
    /// The team whose limit it counts against.
    pub team: TeamName,
    /// The resources that it takes.
    pub need: Resources,
    /// The declared run time.
    pub run_ms: Millis,
    /// The input.
    pub payload: Payload,
}

/// A daemon's command to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCommand {
    /// Claims the worker for a daemon.
    Claim {
        /// The daemon.
        owner: DaemonId,
    },
    /// Starts a task.
    Start(TaskStart),
    /// Renews the leases of all tasks.
    Renew {
        /// How long the tasks may continue without another renewal.
        lease_ms: Millis,
    },
    /// Stops a task.
    Stop(TaskId),
    /// Acknowledges ended tasks, so that the worker need not report them again.
    Ack(Vec<TaskId>),
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TaskEnd {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on command.
    Stopped,
    /// Its lease expired.
    Lapsed,
}

/// A running task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveTask {
    /// The attempt's id.
    pub task: TaskId,
    /// The team whose limit it counts against.
    pub team: TeamName,
    /// The resources that it takes.
    pub need: Resources,
}

/// An ended task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedTask {
    /// The attempt's id.
    pub task: TaskId,
    /// How it ended.
    pub end: TaskEnd,
    /// Its complete output.
    pub output: Payload,
}

/// A worker's report to the daemon that claimed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerReport {
    /// The claim was accepted; the report lists all tasks of the worker.
    Claimed {
        /// A number that changes with each start of the worker.
        incarnation: u64,
        /// The worker's capacity.
        capacity: Resources,
        /// The running tasks.
        running: Vec<ActiveTask>,
        /// The ended tasks that are not acknowledged yet.
        ended: Vec<EndedTask>,
    },
    /// The command was refused because of a higher claim.
    Fenced {
        /// The higher claim.
        claim: Claim,
        /// Its owner.
        owner: DaemonId,
    },
    /// A task was not started because the worker has no room for it.
    NoRoom(TaskId),
    /// A task ended.
    Ended(EndedTask),
    /// The leases were renewed.
    Renewed,
}
