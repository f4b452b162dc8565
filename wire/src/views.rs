//! The JSON bodies by which a daemon shows its jobs, workers, teams, peers, notes and journal.

use crate::{format_resources, ApiAnswer};
use pomelotide_core::{JobView, NoteId, PeerView, Revision, TeamView, WorkerView};
use serde::{Deserialize, Serialize};

/// A job that is not over.
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
    /// The state: `active`, or a final one that is still being recorded.
    pub state: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The tasks that run.
    pub running: usize,
    /// The tasks that ended well.
    pub done: u32,
    /// The failed attempts so far.
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
    /// The state: `ready`, `not_connected`, `leaving` or `resting`.
    pub state: String,
    /// The tasks that run there.
    pub tasks: usize,
    /// What they take.
    pub used: String,
    /// What the worker has.
    pub capacity: String,
}

/// A team in one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiTeamView {
    /// The team.
    pub team: String,
    /// Its weight when the fleet is full.
    pub share: u64,
    /// What it may have running fleet-wide.
    pub limit: String,
    /// The part of the limit that counts here now.
    pub allotment: String,
    /// What it has running here.
    pub running: String,
    /// The units of its work that wait here.
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
    /// Its address for peers.
    pub address: String,
    /// Its term, if it keeps its failure domain's workers.
    #[serde(rename = "keeper_term")]
    pub leader_term: Option<u64>,
    /// How long ago the asked daemon heard it, in milliseconds; `None` if never.
    #[serde(rename = "silent_ms")]
    pub heard_age_ms: Option<u64>,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// An accepted release note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiNoteView {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub note: String,
}

/// One entry of a daemon's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiJournalEntry {
    /// When it happened, by the daemon's wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The daemon.
    pub daemon: String,
    /// The kind of event, as in the log.
    pub event: String,
    /// What happened, for people.
    pub text: String,
}

/// What a daemon's journal holds about a request or job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiExplanation {
    /// The id that was asked for.
    pub id: String,
    /// What happened, the oldest first.
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
