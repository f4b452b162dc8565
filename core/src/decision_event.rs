//! Decision events of the reducer, for logs and metrics.

use crate::{
    Class, DaemonId, JobId, JobState, Millis, QueueName, Refusal, RequestId, Revision, TaskEnd,
    TaskId, TeamName, Term, UnitKind, WorkerId,
};
use serde::{Deserialize, Serialize};

/// Why a unit of work is pending.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum WaitCause {
    /// Older work of the same class and team is pending.
    Behind,
    /// The team uses its whole part of its limit in this failure domain.
    TeamLimit,
    /// No worker that accepts work has room.
    NoRoom,
}

/// Why a leader counts a task as ended although no worker reported its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum LostCause {
    /// The worker did not start it and will not start it later.
    NeverStarted,
    /// It may have run; the worker left the host list, restarted, or was unreachable until the
    /// lease expired.
    WorkerGone,
}

/// How an admitted request was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestOutcome {
    /// With the backend server's complete answer.
    Done,
    /// With a failure from the backend server.
    Failed,
    /// With an unknown outcome.
    Unknown,
}

/// A decision that is logged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DecisionEvent {
    /// A request passed admission at the daemon that accepted the call.
    RequestAdmitted {
        /// The request's id within the system.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// The queue.
        queue: QueueName,
    },
    /// A job submission passed admission at the daemon that accepted the call.
    JobAdmitted {
        /// The submission's id within the system.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// The queue.
        queue: QueueName,
    },
    /// A request or submission was forwarded to a leader.
    #[serde(rename = "PassedOn")]
    Forwarded {
        /// The request or submission.
        request: RequestId,
        /// The leader.
        to: DaemonId,
    },
    /// A unit of work is pending because it could not start at once.
    Waiting {
        /// The work.
        work: UnitKind,
        /// The team.
        team: TeamName,
        /// The class.
        class: Class,
        /// The number of pending units of the same class and team before it.
        ahead: u64,
        /// Why it is pending.
        cause: WaitCause,
    },
    /// A newly claimed worker reported a task that an earlier leader had started.
    Found {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// Whether it continues; otherwise it is stopped.
        #[serde(rename = "goes_on")]
        continues: bool,
    },
    /// A task counts as ended although no worker reported its end.
    Lost {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// The reason.
        cause: LostCause,
    },
    /// Work will run again.
    Retried {
        /// The work.
        work: UnitKind,
        /// The worker that it ran on before, if that one is avoided.
        avoid: Option<WorkerId>,
    },
    /// An admitted request was answered.
    RequestAnswered {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamName,
        /// The kind of answer.
        outcome: RequestOutcome,
    },
    /// A job reached a final state, which is not recorded in the table yet.
    JobDecided {
        /// The job.
        job: JobId,
        /// The team.
        team: TeamName,
        /// The state.
        state: JobState,
    },
    /// A task was placed on a worker.
    Placed {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The class.
        class: Class,
        /// The worker.
        worker: WorkerId,
        /// How long it was pending.
        waited_ms: Millis,
    },
    /// A worker reported that a task ended.
    Ended {
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// The worker.
        worker: WorkerId,
        /// How long it ran.
        ran_ms: Millis,
        /// Whether it succeeded.
        #[serde(rename = "well")]
        succeeded: bool,
        /// How it ended.
        end: TaskEnd,
        /// The class, if this daemon has a record of the work.
        class: Option<Class>,
    },
    /// A request was refused.
    RequestRefused {
        /// The caller's id of the request if admission failed, otherwise its id within the system.
        request: RequestId,
        /// The reason.
        reason: Refusal,
    },
    /// A job was recorded in the table.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The team.
        team: TeamName,
    },
    /// A job was refused.
    JobRefused {
        /// The caller's id of the submission if admission failed, otherwise its id within the
        /// system.
        request: RequestId,
        /// The reason.
        reason: Refusal,
    },
    /// A job's final state was recorded in the table.
    JobEnded {
        /// The job.
        job: JobId,
        /// Whether it succeeded.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// This daemon became the leader of its failure domain.
    #[serde(rename = "KeeperStarted")]
    LeaderStarted {
        /// The term.
        term: Term,
    },
    /// This daemon is no longer the leader of its failure domain.
    #[serde(rename = "KeeperStopped")]
    LeaderStopped {
        /// The term.
        term: Term,
    },
    /// A worker accepted this daemon's claim.
    WorkerClaimed {
        /// The worker.
        worker: WorkerId,
        /// The number of tasks that it reported as running.
        running: u64,
    },
    /// A worker stopped responding or closed its connection.
    #[serde(rename = "WorkerSilent")]
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker was put into quarantine after failures.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker refused a command because another daemon has a higher claim.
    Fenced {
        /// The worker.
        worker: WorkerId,
        /// The other daemon.
        owner: DaemonId,
    },
    /// A new configuration revision was applied.
    ConfigApplied {
        /// The revision.
        revision: Revision,
    },
    /// The table became unreachable or reachable for this daemon.
    #[serde(rename = "TableSilent")]
    TableUnreachable {
        /// Whether it is unreachable.
        #[serde(rename = "silent")]
        unreachable: bool,
    },
    /// The configuration became too old for keyed work, or was confirmed again.
    KeysStale {
        /// Whether it is too old.
        stale: bool,
    },
    /// The host list became unreadable or readable again.
    HostsStale {
        /// Whether it is unreadable.
        stale: bool,
    },
    /// Parts of teams' limits were transferred to other failure domains.
    #[serde(rename = "LimitsGiven")]
    LimitsTransferred {
        /// The revision of the transfer.
        revision: Revision,
        /// The number of teams.
        #[serde(rename = "parts")]
        teams: u64,
    },
    /// A peer stopped responding.
    #[serde(rename = "PeerSilent")]
    PeerUnresponsive {
        /// The peer.
        peer: DaemonId,
    },
}
