//! JSON bodies of the API that a daemon serves to clients and operators.

use crate::parse_need;
use pomelotide_core::{
    Answer, DaemonId, JobSpec, JobState, Millis, NoteVerdict, Payload, Refusal, Status,
};
use serde::{Deserialize, Serialize};

/// A submitted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ApiJob {
    /// The queue.
    pub queue: String,
    /// The number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
    /// The resources that one task takes, as in `cpu 1, memory 512MiB`.
    pub need: String,
    /// The declared run time of one task, as in `30s`; without it the tasks run until cancelled.
    #[serde(default)]
    pub run: Option<String>,
    /// The input of each task.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

/// An invalid field of a body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiFieldError {
    /// The field's name, or `body` if the body as a whole is invalid.
    pub field: String,
    /// Why it is invalid.
    pub error: String,
}

impl ApiFieldError {
    /// Creates an error about a field.
    pub fn new(field: &str, error: impl ToString) -> Self {
        Self {
            field: field.into(),
            error: error.to_string(),
        }
    }
}

impl TryFrom<ApiJob> for JobSpec {
    type Error = ApiFieldError;

    fn try_from(job: ApiJob) -> Result<Self, ApiFieldError> {
        let run_ms = job.run.map(|run| run.parse::<Millis>()).transpose();
        Ok(Self {
            queue: job
                .queue
                .parse()
                .map_err(|e| ApiFieldError::new("queue", e))?,
            tasks: job.tasks,
            need: parse_need(&job.need).map_err(|e| ApiFieldError::new("need", e))?,
            run_ms: run_ms
                .map_err(|e| ApiFieldError::new("run", e))?
                .unwrap_or_default(),
            payload: Payload::from(job.payload.as_str()),
        })
    }
}

/// An answer of the daemon itself; a backend server's answer is returned as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApiAnswer {
    /// A backend server ran the work and it failed.
    Failed,
    /// The work did not run and will not run because of this call.
    NotRun {
        /// The reason for the refusal.
        reason: String,
        /// What the client can do about it.
        #[serde(default)]
        help: String,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// It is unknown whether the work ran.
    OutcomeUnknown,
    /// The job is recorded.
    Accepted {
        /// The job's id.
        job: String,
    },
    /// The state of a job: `active`, `succeeded`, `failed` or `cancelled`.
    Job {
        /// The state.
        state: String,
        /// The number of succeeded tasks, while the job is active.
        done: Option<u32>,
    },
    /// The job is unknown.
    NoSuchJob,
    /// The release note is accepted and in force in the whole fleet.
    InForce {
        /// The revision that it created.
        revision: u64,
    },
    /// The release note is invalid or conflicts with the configuration; nothing changed.
    Rejected {
        /// The faults, one line each.
        faults: Vec<String>,
    },
    /// The body or a header is invalid.
    Malformed(ApiFieldError),
}

impl From<&Answer> for ApiAnswer {
    fn from(answer: &Answer) -> Self {
        match answer {
            Answer::Done(_) | Answer::Failed(_) => ApiAnswer::Failed,
            Answer::NotRun {
                reason,
                retry_after_ms,
            } => ApiAnswer::NotRun {
                reason: reason.to_string(),
                help: refusal_help(*reason).into(),
                retry_after_ms: retry_after_ms.map(|ms| ms.0),
            },
            Answer::OutcomeUnknown | Answer::Note(NoteVerdict::Unknown) => {
                ApiAnswer::OutcomeUnknown
            }
            Answer::JobAccepted(job) => ApiAnswer::Accepted {
                job: job.to_string(),
            },
            Answer::Job(state) => ApiAnswer::from(state),
            Answer::NoSuchJob => ApiAnswer::NoSuchJob,
            Answer::Note(NoteVerdict::InForce(revision)) => ApiAnswer::InForce {
                revision: revision.0,
            },
            Answer::Note(NoteVerdict::Rejected(faults)) => ApiAnswer::Rejected {
                faults: faults.iter().map(ToString::to_string).collect(),
            },
        }
    }
}

impl From<&JobState> for ApiAnswer {
    fn from(state: &JobState) -> Self {
        let (state, done) = match state {
            JobState::Active { done } => ("active", Some(*done)),
            JobState::Succeeded => ("succeeded", None),
            JobState::Failed => ("failed", None),
            JobState::Cancelled => ("cancelled", None),
        };
        ApiAnswer::Job {
            state: state.into(),
            done,
        }
    }
}

/// Returns the HTTP status code of an answer.
pub const fn http_status(answer: &Answer) -> u16 {
    match answer {
        Answer::Done(_) | Answer::Job(_) | Answer::Note(NoteVerdict::InForce(_)) => 200,
        Answer::JobAccepted(_) => 202,
        Answer::Failed(_) => 502,
        Answer::OutcomeUnknown | Answer::Note(NoteVerdict::Unknown) => 504,
        Answer::NoSuchJob => 404,
        Answer::Note(NoteVerdict::Rejected(_)) => 409,
        Answer::NotRun { reason, .. } => match reason {
            Refusal::UnknownKey => 401,
            Refusal::WrongTeam => 403,
            Refusal::UnknownQueue => 404,
            Refusal::IdReused => 409,
            Refusal::NeverFits | Refusal::OverLimit | Refusal::WrongClass => 422,
            Refusal::Malformed => 400,
            Refusal::Cancelled => 410,
            _ => 503,
        },
    }
}

/// Returns what a client or operator can do about a refusal.
pub const fn refusal_help(reason: Refusal) -> &'static str {
    match reason {
        Refusal::UnknownKey => "show a key that is in force: --secret, or authorization: Bearer",
        Refusal::UnknownQueue => "pomelotide note show lists the queues",
        Refusal::WrongTeam => "the queue or job belongs to another team than the key",
        Refusal::NeverFits => "no worker is that large; pomelotide workers shows what they have",
        Refusal::OverLimit => "more than the team's upper limit; pomelotide teams shows it",
        Refusal::WrongClass => {
            "queues of class small take requests (ask), the others jobs (submit)"
        }
        Refusal::Overloaded => "too much work waits; come back later",
        Refusal::NoLeader => "no daemon keeps the workers at the moment; come back later",
        Refusal::StaleConfig => "the daemon can't tell whether keys still hold; come back later",
        Refusal::TableDown => "the platform's table can't record the work; come back later",
        Refusal::DeadlinePassed => "it waited until its deadline; come back later",
        Refusal::Draining => "the daemon is stopping; ask another one",
        Refusal::RetriesSpent => "backend servers fail too often; come back later",
        Refusal::Cancelled => "its caller gave it up or cancelled it",
        Refusal::IdReused => "the id belongs to other work of the team; choose a new one",
        Refusal::Malformed => "a field is out of its range",
    }
}

/// A daemon's summary of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiStatus {
    /// The daemon.
    pub daemon: String,
    /// Its failure domain.
    pub domain: String,
    /// The leader of the failure domain, if known.
    #[serde(rename = "keeper")]
    pub leader: Option<String>,
    /// The configuration revision in use.
    pub revision: u64,
    /// Whether the configuration is recent enough to accept keys.
    pub fresh: bool,
    /// The number of workers on the host list.
    pub workers: usize,
    /// The number of workers that accept work.
    pub workers_ready: usize,
    /// The number of running tasks.
    pub tasks_running: usize,
    /// The number of pending units of work.
    #[serde(rename = "waiting")]
    pub pending: usize,
    /// The number of calls that this daemon has not answered yet.
    pub open_calls: usize,
    /// Whether the daemon is draining.
    pub draining: bool,
}

impl From<Status> for ApiStatus {
    fn from(status: Status) -> Self {
        Self {
            daemon: status.daemon.to_string(),
            domain: status.domain.to_string(),
            leader: status.leader.as_ref().map(DaemonId::to_string),
            revision: status.revision.0,
            fresh: status.fresh,
            workers: status.workers,
            workers_ready: status.workers_ready,
            tasks_running: status.tasks_running,
            pending: status.pending,
            open_calls: status.open_calls,
            draining: status.draining,
        }
    }
}
