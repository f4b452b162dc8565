//! What the reducer tells of its decisions, for logs and metrics.

use crate::{
    Class, DaemonId, JobId, JobState, Millis, QueueName, Refusal, RequestId, Revision, TaskEnd,
    TaskId, TeamName, Term, UnitKind, WorkerId,
};
use serde::{Deserialize, Serialize};

/// Why a unit of work waits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum WaitCause {
    /// Other work of the same class and team waits before it.
    Behind,
    /// The team's part of its upper limit is spent in this failure domain.
    TeamLimit,
    /// No worker that takes work has room.
    NoRoom,
}

/// Why a keeper no longer counts a task as running, though no worker reported its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum LostCause {
    /// The worker never got it and never will.
    NeverStarted,
    /// It may have run; the worker left, started anew or was silent until the lease lapsed.
    WorkerGone,
}

/// How a request that was admitted was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestOutcome {
    /// With the backend server's whole answer.
    Done,
    /// With the backend server's failure.
    Failed,
    /// With "outcome unknown".
    Unknown,
}

/// A decision worth a log line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DecisionEvent {
    /// A request was let in at the daemon where it arrived.
    RequestAdmitted {
        /// The request, under the id that it has inside the system.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// The queue.
        queue: QueueName,
    },
    /// A job was let in at the daemon where it arrived.
    JobAdmitted {
        /// The submission, under the id that it has inside the system.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// The queue.
        queue: QueueName,
    },
    /// A request or a submission was passed on to the keeper that decides it.
    PassedOn {
        /// The request or submission.
        request: RequestId,
        /// The keeper.
        to: DaemonId,
    },
    /// A unit of work could not start at once.
    Waiting {
        /// The work.
        work: UnitKind,
        /// The team.
        team: TeamName,
        /// The class.
        class: Class,
        /// The units of the same class and team that wait before it.
        ahead: u64,
        /// Why it waits.
        cause: WaitCause,
    },
    /// A task that another keeper had started was found at a worker.
    Found {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// Whether it may go on.
        goes_on: bool,
    },
    /// A task counts as ended, though no worker reported its end.
    Lost {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// Why.
        cause: LostCause,
    },
    /// Work is to run again.
    Retried {
        /// The work.
        work: UnitKind,
        /// The worker that had it before, if one is to be avoided.
        avoid: Option<WorkerId>,
    },
    /// An admitted request was answered.
    RequestAnswered {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// How.
        outcome: RequestOutcome,
    },
    /// A job's final state is decided; it is recorded next.
    JobDecided {
        /// The job.
        job: JobId,
        /// The team.
        team: TeamName,
        /// The state.
        state: JobState,
    },
    /// Work was given to a worker.
    Placed {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The class.
        class: Class,
        /// The worker.
        worker: WorkerId,
        /// How long it had waited.
        waited_ms: Millis,
    },
    /// A task ended.
    Ended {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// How long it ran.
        ran_ms: Millis,
        /// Whether it ended well.
        well: bool,
        /// How it ended.
        end: TaskEnd,
        /// The class, where this daemon knows the work.
        class: Option<Class>,
    },
    /// A request was refused.
    RequestRefused {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Refusal,
    },
    /// A job is on record.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The team.
        team: TeamName,
    },
    /// A job was refused.
    JobRefused {
        /// The caller's id of the submission.
        request: RequestId,
        /// Why.
        reason: Refusal,
    },
    /// A job reached its final state.
    JobEnded {
        /// The job.
        job: JobId,
        /// Whether it ended well.
        well: bool,
    },
    /// This daemon keeps the failure domain's workers from now on.
    #[serde(rename = "KeeperStarted")]
    LeaderStarted {
        /// The term.
        term: Term,
    },
    /// This daemon no longer keeps the failure domain's workers.
    #[serde(rename = "KeeperStopped")]
    LeaderStopped {
        /// The term.
        term: Term,
    },
    /// A worker is under this daemon's command.
    WorkerClaimed {
        /// The worker.
        worker: WorkerId,
        /// The number of tasks that it was running.
        running: u64,
    },
    /// A worker went silent.
    #[serde(rename = "WorkerSilent")]
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker gets no work for a while.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker refused this daemon since another one claimed it.
    Fenced {
        /// The worker.
        worker: WorkerId,
        /// The other daemon.
        owner: DaemonId,
    },
    /// The configuration moved on.
    ConfigApplied {
        /// The revision.
        revision: Revision,
    },
    /// The table does not answer this daemon, or does so again.
    #[serde(rename = "TableSilent")]
    TableUnreachable {
        /// Whether it is silent.
        #[serde(rename = "silent")]
        unreachable: bool,
    },
    /// The configuration is too old to honour keys, or is fresh again.
    KeysStale {
        /// Whether it is too old.
        stale: bool,
    },
    /// The host list can't be read, or can be read again.
    HostsStale {
        /// Whether it can't be read.
        stale: bool,
    },
    /// Parts of this failure domain's allotments were given to others.
    LimitsGiven {
        /// The revision that did so.
        revision: Revision,
        /// The number of teams.
        parts: u64,
    },
    /// A peer is gone.
    #[serde(rename = "PeerSilent")]
    PeerUnresponsive {
        /// The peer.
        peer: DaemonId,
    },
}
