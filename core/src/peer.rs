//! What passes between daemons.

use crate::{
    limit_transfers::LimitRequest, Answer, CallId, DaemonId, DomainName, JobId, JobSpec, Millis,
    Note, Request, RequestId, Resources, Revision, TaskId, TeamName, Term,
};
use serde::{Deserialize, Serialize};

/// The call of a caller, by the daemon at which it came in.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its number of the call.
    pub call: CallId,
}

/// The periodic sign of life of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub domain: DomainName,
    /// The sender's address for peers, as `IP:port`.
    pub address: String,
    /// The sender's clock.
    pub sent_ms: Millis,
    /// The latest `sent_ms` that the sender has from the receiver.
    pub echo_ms: Option<Millis>,
    /// The sender's term, if it keeps its failure domain's workers.
    #[serde(rename = "keeper")]
    pub leader_term: Option<Term>,
    /// The configuration revision that the sender acts on.
    pub revision: Revision,
    /// The age of the sender's latest confirmation of that revision.
    pub fresh_age_ms: Option<Millis>,
    /// The age of the evidence that no daemon of the sender's failure domain reaches the table.
    #[serde(rename = "silent_age_ms")]
    pub table_unreachable_age_ms: Option<Millis>,
    /// What the sender's workers have free.
    pub free: Resources,
    /// The requests that wait at the sender.
    pub waiting: u64,
    /// Whether the sender is about to stop.
    pub draining: bool,
}

/// A request with the team that was found for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedRequest {
    /// Who waits for the answer.
    pub origin: Origin,
    /// The team.
    pub team: TeamName,
    /// The request; its deadline counts from now.
    pub request: Request,
    /// Whether it was passed on to another failure domain.
    #[serde(rename = "passed_on")]
    pub forwarded: bool,
}

/// A job with the team that was found for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedJob {
    /// Who waits for the answer.
    pub origin: Origin,
    /// The team.
    pub team: TeamName,
    /// The caller's id of the submission.
    pub request: RequestId,
    /// What is to be run.
    pub spec: JobSpec,
}

/// A request that a stopping keeper hands over while it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRequest {
    /// The attempt that runs.
    pub task: TaskId,
    /// The request.
    pub request: AdmittedRequest,
}

/// A request that a stopping keeper hands over while it waits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingRequest {
    /// Whether its row is in the table, so that it may run without another one.
    pub recorded: bool,
    /// Whether an earlier attempt may have run.
    #[serde(rename = "doubtful")]
    pub may_have_run: bool,
    /// The request.
    pub request: AdmittedRequest,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Notes that the receiver lacks, the first of which makes the given revision.
    Notes {
        /// The first note's revision.
        first: Revision,
        /// The notes.
        notes: Vec<Note>,
    },
    /// A request for the receiver's workers.
    Run(Box<AdmittedRequest>),
    /// A job for the receiver's workers.
    Submit(Box<AdmittedJob>),
    /// A cancellation for the receiver's workers.
    Cancel {
        /// Who waits for the answer.
        origin: Origin,
        /// The team that cancels.
        team: TeamName,
        /// The job.
        job: JobId,
    },
    /// The answer to a call that the receiver passed on.
    Answer {
        /// The receiver's number of the call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// What the sender's waiting work misses of the teams' limits.
    #[serde(rename = "Wants")]
    LimitRequests {
        /// The configuration revision that they count from.
        revision: Revision,
        /// What is missing, by team.
        #[serde(rename = "wants")]
        requests: Vec<LimitRequest>,
    },
    /// The caller of a request went away; a waiting request need not run.
    Forget(Origin),
    /// The sender stops keeping the failure domain's workers; the receiver goes on.
    Handover {
        /// The sender's term.
        term: Term,
        /// Requests that run.
        running: Vec<RunningRequest>,
        /// Requests that wait.
        waiting: Vec<WaitingRequest>,
    },
}
