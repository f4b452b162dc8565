//! What the reducer tells of its decisions, for logs and metrics.

use crate::{
    Class, DaemonId, JobId, Millis, Refusal, RequestId, Revision, TaskId, TeamName, Term, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A decision worth a log line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Told {
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
    KeeperStarted {
        /// The term.
        term: Term,
    },
    /// This daemon no longer keeps the failure domain's workers.
    KeeperStopped {
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
    WorkerSilent {
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
    /// A peer is gone.
    PeerSilent {
        /// The peer.
        peer: DaemonId,
    },
}
