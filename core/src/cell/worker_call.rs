//! Orders to workers, calls for advice, and what comes back.

use crate::{
    cell::{Incarnation, TaskKey},
    Millis, WorkerId,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Lets a step's tasks start on one worker for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket(pub CompactString);

/// An order to start a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskKey,
    /// The number of this run.
    pub run: u32,
    /// What the task is given.
    pub payload: CompactString,
    /// Until when the lease lasts, on the worker's clock.
    pub lease_until_ms: Millis,
    /// Where to resume.
    pub checkpoint: Option<CompactString>,
    /// The ticket, on queues that need advice.
    pub ticket: Option<Ticket>,
}

/// A call to a worker; the fencing token goes with each.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCall {
    /// Starts a task.
    Start(StartRequest),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// Renews the lease, acknowledges ends and lists what runs and what ended.
    Renew {
        /// Until when the lease lasts, on the worker's clock; `None` where that clock is not known.
        lease_until_ms: Option<Millis>,
        /// The last end that the worker may forget.
        acknowledge: u64,
        /// How long the worker may wait for an end before it answers.
        wait_ms: Millis,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// Its latest checkpoint.
    pub checkpoint: Option<CompactString>,
    /// How far it is, in percent.
    pub percent: u8,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishedRun {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// Its latest checkpoint.
    pub checkpoint: Option<CompactString>,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRuns {
    /// The worker's life.
    pub incarnation: Option<Incarnation>,
    /// What runs.
    pub active: Vec<ActiveRun>,
    /// What has ended and was not acknowledged.
    pub finished: Vec<FinishedRun>,
}

/// Why a worker did not carry out an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this or a later run of the task.
    OldRun,
    /// The lease was over when the order came.
    Late,
    /// There is no room.
    NoRoom,
    /// The ticket is missing, not for this worker or over.
    BadTicket,
    /// It can't be read.
    Malformed,
    /// It has another life or identity than the one named.
    OtherWorker,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
}

/// What a worker answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerAnswer {
    /// The order was carried out, at this time of the worker's clock.
    Carried(Millis),
    /// The lists, at this time of the worker's clock.
    Listed(Millis, WorkerRuns),
    /// The order was refused and not carried out.
    Refused(WorkerRefusal, Option<Millis>),
    /// No connection was made; the order was not carried out.
    NotSent,
    /// No answer came; the order may have been carried out or still may.
    Lost,
}

/// What the advice service answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdviceReply {
    /// The workers that may run the step, with their tickets; all others that were named may not.
    Allowed(Vec<(WorkerId, Ticket)>),
    /// Too many calls wait.
    Busy,
    /// No usable answer came.
    Lost,
}
