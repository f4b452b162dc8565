//! Messages between daemons.

use crate::{
    limit_transfers::LimitRequest, Answer, CallId, DaemonId, DomainName, JobId, JobSpec, Millis,
    Note, Request, RequestId, Resources, Revision, TaskId, TeamName, Term,
};
use serde::{Deserialize, Serialize};

/// A call, identified by the daemon that accepted it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// The daemon.
    pub daemon: DaemonId,
    /// The daemon's number of the call.
    pub call: CallId,
}

/// The periodic status message of a daemon to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub domain: DomainName,
    /// The sender's address for peers, as `IP:port`.
    pub address: String,
    /// The sender's clock when it sent the message.
    pub sent_ms: Millis,
    /// The latest `sent_ms` that the sender received from the receiver.
    pub echo_ms: Option<Millis>,
    /// The sender's term, if it is the leader of its failure domain.
    #[serde(rename = "keeper")]
    pub leader_term: Option<Term>,
    /// The sender's configuration revision.
    pub revision: Revision,
    /// The time since the sender last confirmed that revision.
    pub fresh_age_ms: Option<Millis>,
    /// The time since the table was last known to be unreachable: for the sender itself if it is in
    /// the receiver's failure domain, otherwise for all daemons of the sender's failure domain.
    #[serde(rename = "silent_age_ms")]
    pub table_unreachable_age_ms: Option<Millis>,
    /// The free resources of the sender's workers.
    pub free: Resources,
    /// The number of pending requests at the sender.
    #[serde(rename = "waiting")]
    pub pending_requests: u64,
    /// Whether the sender is draining.
    pub draining: bool,
}

/// A request that passed admission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedRequest {
    /// The call to answer.
    pub origin: Origin,
    /// The team that the request counts against.
    pub team: TeamName,
    /// The request, with its id within the system; its deadline counts from the receipt of this
    /// message.
    pub request: Request,
    /// Whether it was forwarded to another failure domain.
    #[serde(rename = "passed_on")]
    pub forwarded: bool,
}

/// A job submission that passed admission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedJob {
    /// The call to answer.
    pub origin: Origin,
    /// The team that the job counts against.
    pub team: TeamName,
    /// The submission's id within the system.
    pub request: RequestId,
    /// The job to run.
    pub spec: JobSpec,
}

/// A running request in a handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRequest {
    /// The attempt that runs.
    pub task: TaskId,
    /// The request.
    pub request: AdmittedRequest,
}

/// A pending request in a handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingRequest {
    /// Whether its row is already in the table, so that it may run without a new one.
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
    /// Release notes that the receiver lacks, in the order of their revisions.
    Notes {
        /// The revision that the first note makes.
        first: Revision,
        /// The notes.
        notes: Vec<Note>,
    },
    /// A request to run on the receiver's workers.
    Run(Box<AdmittedRequest>),
    /// A job to run on the receiver's workers.
    Submit(Box<AdmittedJob>),
    /// The cancellation of a job of the receiver.
    Cancel {
        /// The call to answer.
        origin: Origin,
        /// The team of the caller.
        team: TeamName,
        /// The job.
        job: JobId,
    },
    /// The answer to a call that the receiver forwarded.
    Answer {
        /// The receiver's number of the call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Requests for larger parts of teams' limits, for the sender's pending work.
    #[serde(rename = "Wants")]
    LimitRequests {
        /// The sender's configuration revision.
        revision: Revision,
        /// The requests.
        #[serde(rename = "wants")]
        requests: Vec<LimitRequest>,
    },
    /// The caller closed its connection; a pending request need not run.
    Forget(Origin),
    /// The sender hands the leadership of the failure domain over to the receiver.
    Handover {
        /// The sender's term.
        term: Term,
        /// The running requests.
        running: Vec<RunningRequest>,
        /// The pending requests.
        #[serde(rename = "waiting")]
        pending: Vec<PendingRequest>,
    },
}
