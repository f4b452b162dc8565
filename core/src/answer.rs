//! What a caller is told.

use crate::{JobId, JobState, Millis, NoteVerdict, Payload};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Says why work was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The key is unknown or was withdrawn.
    UnknownKey,
    /// The queue does not exist.
    UnknownQueue,
    /// The key's team may not use the queue.
    WrongTeam,
    /// The work needs more than any worker has.
    NeverFits,
    /// The work needs more than the team's upper limit.
    OverLimit,
    /// The queue's kind of work does not match the call.
    WrongClass,
    /// Too much work is waiting.
    Overloaded,
    /// No daemon keeps the failure domain's workers at the moment.
    #[serde(rename = "NoKeeper")]
    NoLeader,
    /// The configuration is too old to honour keys.
    StaleConfig,
    /// The platform's table can't record the work at the moment.
    TableDown,
    /// The deadline passed while the work was waiting.
    DeadlinePassed,
    /// The daemon is stopping.
    Draining,
    /// The retry budget was spent while backend servers failed.
    RetriesSpent,
    /// The work was cancelled while it waited.
    Cancelled,
    /// The request's id belongs to another request of the same team.
    IdReused,
    /// The payload or another field is out of its range.
    Malformed,
}

impl Refusal {
    /// Says whether the same call can succeed later without any change.
    pub const fn is_temporary(self) -> bool {
        matches!(
            self,
            Refusal::Overloaded
                | Refusal::NoLeader
                | Refusal::StaleConfig
                | Refusal::TableDown
                | Refusal::DeadlinePassed
                | Refusal::Draining
                | Refusal::RetriesSpent
        )
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Refusal::UnknownKey => "unknown_key",
            Refusal::UnknownQueue => "unknown_queue",
            Refusal::WrongTeam => "wrong_team",
            Refusal::NeverFits => "never_fits",
            Refusal::OverLimit => "over_limit",
            Refusal::WrongClass => "wrong_class",
            Refusal::Overloaded => "overloaded",
            Refusal::NoLeader => "no_keeper",
            Refusal::StaleConfig => "stale_config",
            Refusal::TableDown => "table_down",
            Refusal::DeadlinePassed => "deadline_passed",
            Refusal::Draining => "draining",
            Refusal::RetriesSpent => "retries_spent",
            Refusal::Cancelled => "cancelled",
            Refusal::IdReused => "id_reused",
            Refusal::Malformed => "malformed",
        };
        f.pad(text)
    }
}

/// The final answer to one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The backend server's own whole answer.
    Done(Payload),
    /// The work ran at a backend server and failed there.
    Failed(Payload),
    /// The work did not run and never will under this call.
    NotRun {
        /// Why it was refused.
        reason: Refusal,
        /// When to come back, if that can help.
        retry_after_ms: Option<Millis>,
    },
    /// The work may have run; nobody can tell.
    OutcomeUnknown,
    /// The job is on record and its outcome will be known.
    JobAccepted(JobId),
    /// The job's state on record.
    Job(JobState),
    /// No such job is on record.
    NoSuchJob,
    /// What became of a release note.
    Note(NoteVerdict),
}

impl Answer {
    /// Makes a refusal, with a time to come back where that can help.
    pub fn refused(reason: Refusal, retry_after_ms: Millis) -> Self {
        let retry_after_ms = reason.is_temporary().then_some(retry_after_ms);
        Answer::NotRun {
            reason,
            retry_after_ms,
        }
    }
}
