//! A daemon's jobs, workers, teams and peers as shown to operators.

use crate::{
    Class, DaemonId, DomainName, JobId, JobState, Millis, QueueName, RackName, Resources, TeamName,
    Term, WorkerId,
};

/// A job that has not ended, at its leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// The team whose limit it counts against.
    pub team: TeamName,
    /// Its queue.
    pub queue: QueueName,
    /// Its class.
    pub class: Class,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of running tasks.
    pub running: usize,
    /// The number of tasks that succeeded.
    pub done: u32,
    /// The number of failed attempts that count against the job.
    pub failures: u32,
    /// The state. A final state is not recorded in the table yet.
    pub state: JobState,
}

/// A worker, at its leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackName,
    /// Its address, as `IP:port`.
    pub address: String,
    /// Whether it is connected and claimed by the leader.
    pub ready: bool,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
    /// The remaining time in quarantine; zero if it is not quarantined.
    pub quarantined_ms: Millis,
    /// The number of its tasks.
    pub tasks: usize,
    /// The resources that the tasks use.
    pub used: Resources,
    /// The worker's capacity.
    pub capacity: Resources,
}

/// A team in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// The weight of its share when the fleet is full.
    pub share: u64,
    /// Its fleet-wide limit.
    pub limit: Resources,
    /// The part of the limit that applies in this failure domain now.
    pub allotment: Resources,
    /// The resources that its tasks use here.
    pub running: Resources,
    /// The number of its pending units of work here.
    pub pending: usize,
}

/// A daemon as seen by one of its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// Its term, if it is the leader of its failure domain.
    pub leader_term: Option<Term>,
    /// The time since its last message; `None` if there was none.
    pub heard_age_ms: Option<Millis>,
    /// Whether it is draining.
    pub draining: bool,
}
