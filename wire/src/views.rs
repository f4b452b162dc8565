//! JSON bodies of the API that list a daemon's jobs, workers, teams, peers, release notes and
//! journal entries.

use crate::{format_resources, ApiAnswer};
use pomelotide_core::{JobView, NoteId, PeerView, Revision, TeamView, WorkerView};
use serde::{Deserialize, Serialize};

/// An unfinished job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiJobView {
    /// The job.
    pub job: String,
    /// The team.
    pub team: String,
    /// The queue.
    pub queue: String,
    /// The class.
    pub class: String,
    /// The state: `active`, or a final state that is not recorded yet.
    pub state: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of running tasks.
    pub running: usize,
    /// The number of succeeded tasks.
    pub done: u32,
    /// The number of failed attempts so far.
    pub failures: u32,
}

/// A worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiWorkerView {
    /// The worker.
    pub worker: String,
    /// Its rack.
    pub rack: String,
    /// Its address.
    pub address: String,
    /// The state: `ready`, `not_connected`, `leaving`, or `resting` for a worker in quarantine.
    pub state: String,
    /// The number of tasks that run there.
    pub tasks: usize,
    /// The resources that they use.
    pub used: String,
    /// The worker's capacity.
    pub capacity: String,
}

/// A team in one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiTeamView {
    /// The team.
    pub team: String,
    /// The weight of its share when the fleet is full.
    pub share: u64,
    /// Its fleet-wide limit.
    pub limit: String,
    /// The part of the limit that applies in this failure domain now.
    pub allotment: String,
    /// The resources that its tasks use here.
    pub running: String,
    /// The number of its pending units of work here.
    #[serde(rename = "waiting")]
    pub pending: usize,
}

/// A daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiPeerView {
    /// The daemon.
    pub daemon: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers, as `IP:port`.
    pub address: String,
    /// Its term, if it is the leader of its failure domain.
    #[serde(rename = "keeper_term")]
    pub leader_term: Option<u64>,
    /// The time since the answering daemon received its last message, in milliseconds; `None` if
    /// there was none.
    #[serde(rename = "silent_ms")]
    pub heard_age_ms: Option<u64>,
    /// Whether it is draining.
    pub draining: bool,
}

/// An accepted release note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiNoteView {
    /// The revision that it created.
    pub revision: u64,
    /// Its id.
    pub note: String,
}

/// One entry of a daemon's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiJournalEntry {
    /// The time by the daemon's wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The daemon.
    pub daemon: String,
    /// The event's name, as in the log.
    pub event: String,
    /// A readable description of the event.
    pub text: String,
}

/// The journal entries about a request or job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiExplanation {
    /// The requested id.
    pub id: String,
    /// The entries, oldest first.
    #[serde(rename = "steps")]
    pub entries: Vec<ApiJournalEntry>,
}

impl From<JobView> for ApiJobView {
    fn from(view: JobView) -> Self {
        let state = match ApiAnswer::from(&view.state) {
            ApiAnswer::Job { state, .. } => state,
            _ => String::new(),
        };
        Self {
            job: view.job.to_string(),
            team: view.team.to_string(),
            queue: view.queue.to_string(),
            class: view.class.to_string(),
            state,
            tasks: view.tasks,
            running: view.running,
            done: view.done,
            failures: view.failures,
        }
    }
}

impl From<WorkerView> for ApiWorkerView {
    fn from(view: WorkerView) -> Self {
        let state = match (view.leaving, view.ready) {
            (true, _) => "leaving",
            (false, false) => "not_connected",
            (false, true) if view.quarantined_ms.0 > 0 => "resting",
            (false, true) => "ready",
        };
        Self {
            worker: view.worker.to_string(),
            rack: view.rack.to_string(),
            address: view.address,
            state: state.into(),
            tasks: view.tasks,
            used: format_resources(&view.used),
            capacity: format_resources(&view.capacity),
        }
    }
}

impl From<TeamView> for ApiTeamView {
    fn from(view: TeamView) -> Self {
        Self {
            team: view.team.to_string(),
            share: view.share,
            limit: format_resources(&view.limit),
            allotment: format_resources(&view.allotment),
            running: format_resources(&view.running),
            pending: view.pending,
        }
    }
}

impl From<PeerView> for ApiPeerView {
    fn from(view: PeerView) -> Self {
        Self {
            daemon: view.daemon.to_string(),
            domain: view.domain.to_string(),
            address: view.address,
            leader_term: view.leader_term.map(|term| term.0),
            heard_age_ms: view.heard_age_ms.map(|span| span.0),
            draining: view.draining,
        }
    }
}

impl From<(Revision, &NoteId)> for ApiNoteView {
    fn from((revision, note): (Revision, &NoteId)) -> Self {
        Self {
            revision: revision.0,
            note: note.to_string(),
        }
    }
}
