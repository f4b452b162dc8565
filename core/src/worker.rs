//! What passes between a daemon and a worker.

use crate::{
    DaemonId, DomainName, Epoch, Millis, Payload, RackName, Resources, TaskId, TeamName, Term,
    WorkerId,
};
use serde::{Deserialize, Serialize};

/// A worker as the platform's host list shows it.
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
    /// What it has.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The right of one daemon to command a worker; the worker refuses all lower ones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Claim {
    /// The term of the failure domain's keeper.
    pub term: Term,
    /// The count of claims on this worker within the term.
    pub epoch: Epoch,
}

/// A task to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// The attempt's id; a worker never starts the same one twice.
    pub task: TaskId,
    /// The team that runs it.
    pub team: TeamName,
    /// What it takes.
    pub need: Resources,
    /// The declared run time.
    pub run_ms: Millis,
    /// What it is given.
    pub payload: Payload,
}

/// A daemon's command to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCommand {
    /// Takes the worker over.
    Claim {
        /// The daemon that takes over.
        owner: DaemonId,
    },
    /// Starts a task.
    Start(TaskStart),
    /// Renews the leases of all tasks.
    Renew {
        /// How long the tasks may go on without another renewal.
        lease_ms: Millis,
    },
    /// Stops a task.
    Stop(TaskId),
    /// Lets the worker forget ended tasks.
    Ack(Vec<TaskId>),
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TaskEnd {
    /// It ended well.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on command.
    Stopped,
    /// Its lease ran out.
    Lapsed,
}

/// A running task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveTask {
    /// The attempt's id.
    pub task: TaskId,
    /// The team that runs it.
    pub team: TeamName,
    /// What it takes.
    pub need: Resources,
}

/// An ended task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedTask {
    /// The attempt's id.
    pub task: TaskId,
    /// How it ended.
    pub end: TaskEnd,
    /// Its whole output.
    pub output: Payload,
}

/// A worker's report to the daemon that claimed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerReport {
    /// The claim holds; this is all that the worker knows.
    Claimed {
        /// Changes whenever the worker starts anew.
        incarnation: u64,
        /// What the worker has.
        capacity: Resources,
        /// What runs.
        running: Vec<ActiveTask>,
        /// What ended and is not acknowledged.
        ended: Vec<EndedTask>,
    },
    /// The command was refused since a higher claim holds.
    Fenced {
        /// The higher claim.
        claim: Claim,
        /// Its owner.
        owner: DaemonId,
    },
    /// A task could not be started for want of room.
    NoRoom(TaskId),
    /// A task ended.
    Ended(EndedTask),
    /// The leases are renewed.
    Renewed,
}
