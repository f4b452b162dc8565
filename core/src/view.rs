//! What a daemon shows of its jobs, workers, teams and peers.

use crate::{
    Class, DaemonId, DomainName, JobId, JobState, Millis, QueueName, RackName, Resources, TeamName,
    Term, WorkerId,
};

/// A job that is not over, at its keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// The team that runs it.
    pub team: TeamName,
    /// Its queue.
    pub queue: QueueName,
    /// Its policy.
    pub class: Class,
    /// The number of tasks.
    pub tasks: u32,
    /// The tasks that run.
    pub running: usize,
    /// The tasks that ended well.
    pub done: u32,
    /// The failed attempts so far.
    pub failures: u32,
    /// The state; a final one is still being recorded.
    pub state: JobState,
}

/// A worker at its keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackName,
    /// Its address, as `IP:port`.
    pub address: String,
    /// Whether the keeper commands it by an open connection.
    pub ready: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it gets no work after its failures.
    pub quarantined_ms: Millis,
    /// The tasks that run there.
    pub tasks: usize,
    /// What they take.
    pub used: Resources,
    /// What the worker has.
    pub capacity: Resources,
}

/// A team in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// Its weight when the fleet is full.
    pub share: u64,
    /// What it may have running fleet-wide.
    pub limit: Resources,
    /// The part of the limit that counts here now.
    pub allotment: Resources,
    /// What it has running here.
    pub running: Resources,
    /// The units of its work that wait here.
    pub waiting: usize,
}

/// A daemon as another one knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// Its term, if it keeps its failure domain's workers.
    pub leader_term: Option<Term>,
    /// How long ago it was last heard; `None` if never.
    pub heard_age_ms: Option<Millis>,
    /// Whether it is about to stop.
    pub draining: bool,
}
