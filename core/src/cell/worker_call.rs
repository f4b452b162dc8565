//! Calls to workers and to the advice service, and their answers.

use crate::{
    cell::{Incarnation, TaskKey},
    Millis, WorkerId,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A ticket of the advice service, which allows a step's tasks to start on one worker for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket(pub CompactString);

/// A request to start a run of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The data that is passed to the task.
    pub payload: CompactString,
    /// When the lease ends, by the worker's clock.
    pub lease_until_ms: Millis,
    /// The checkpoint from which the task resumes.
    pub checkpoint: Option<CompactString>,
    /// The ticket, if the queue needs advice.
    pub ticket: Option<Ticket>,
}

/// A call to a worker; the leader's fencing token is sent with each.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerCall {
    /// Starts a run of a task.
    Start(StartRequest),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
    },
    /// Polls the worker: renews its lease, acknowledges ended runs and lists its runs.
    Renew {
        /// When the lease ends, by the worker's clock; `None` to leave the lease as it is.
        lease_until_ms: Option<Millis>,
        /// The number of the last ended run that the worker may remove from its list.
        acknowledge: u64,
        /// How long the worker may wait for a run to end before it answers.
        wait_ms: Millis,
    },
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The leader stopped it.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
    /// The worker states an outcome that this version does not know.
    Unknown,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// Its latest checkpoint.
    pub checkpoint: Option<CompactString>,
    /// Its progress, in percent.
    pub percent: u8,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishedRun {
    /// The position in the order of ended runs of this incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The outcome of the run.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// Its latest checkpoint.
    pub checkpoint: Option<CompactString>,
}

/// The runs that a worker lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRuns {
    /// The worker's incarnation.
    pub incarnation: Option<Incarnation>,
    /// The active runs.
    pub active: Vec<ActiveRun>,
    /// The first of the ended runs that were not acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Whether the worker may hold more ended runs, which it lists once these are acknowledged.
    #[serde(default)]
    pub has_more_finished: bool,
}

/// The rows of a worker's lists that can't be read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnreadableRows {
    /// How many active runs the list has whose task or run number can't be read.
    pub active: u32,
    /// The positions of the ended runs whose task or run number can't be read.
    pub finished: Vec<u64>,
    /// How many ended runs the list has whose position can't be read.
    pub unnumbered: u32,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has already seen this or a later run of the task.
    OldRun,
    /// The lease had expired when the call arrived.
    Late,
    /// It has too few free resources.
    NoRoom,
    /// The ticket is missing, expired or for another worker.
    BadTicket,
    /// The call is malformed.
    Malformed,
    /// The call is for another worker or another incarnation.
    OtherWorker,
    /// The worker is unhealthy and did not carry out the call.
    Unhealthy,
}

/// A worker's answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerAnswer {
    /// The start or stop was carried out, at this time by the worker's clock.
    Carried(Millis),
    /// The worker's runs, at this time by its clock.
    Listed(Millis, WorkerRuns),
    /// As `Listed`, with rows that can't be read and are missing from the lists.
    PartlyListed(Millis, WorkerRuns, UnreadableRows),
    /// The call was refused and not carried out; with the time by the worker's clock, if known.
    Refused(WorkerRefusal, Option<Millis>),
    /// No connection could be made; the call was not carried out.
    NotSent,
    /// There was no usable answer; the call may have been carried out, or may be later.
    Lost,
}

/// The advice service's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdviceReply {
    /// The workers that may run the step, with their tickets; the others in the call may not.
    Allowed(Vec<(WorkerId, Ticket)>),
    /// As `Allowed`, but with rows that can't be read, which may name any of the others.
    PartlyAllowed(Vec<(WorkerId, Ticket)>),
    /// The service has too many pending calls.
    Busy,
    /// There was no usable answer.
    Lost,
}
