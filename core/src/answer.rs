//! Answers to callers.

use crate::{JobId, JobState, Millis, NoteVerdict, Payload};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The reason why work was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The key is unknown or was withdrawn.
    UnknownKey,
    /// The queue does not exist.
    UnknownQueue,
    /// The key's team may not use the queue or cancel the job.
    WrongTeam,
    /// The work needs more than any worker has.
    NeverFits,
    /// The work needs more than the team's fleet-wide limit.
    OverLimit,
    /// The queue's class does not match the kind of call.
    WrongClass,
    /// Too much work is pending.
    Overloaded,
    /// The failure domain has no leader, or its leader knows no workers or has not loaded its jobs
    /// yet.
    #[serde(rename = "NoKeeper")]
    NoLeader,
    /// The configuration is too old for keyed work.
    StaleConfig,
    /// The platform's table can't be read or written at the moment.
    TableDown,
    /// The deadline passed while the work was pending.
    DeadlinePassed,
    /// The daemon is shutting down.
    Draining,
    /// The retry budget was exhausted while backend servers failed.
    RetriesSpent,
    /// The work was cancelled while it was pending.
    Cancelled,
    /// The request's id belongs to another request of the same team.
    IdReused,
    /// The payload or another field is out of range.
    Malformed,
}

impl Refusal {
    /// Returns whether the same call can succeed later without any change.
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
    /// The backend server's complete answer.
    Done(Payload),
    /// The work ran at a backend server and failed there.
    Failed(Payload),
    /// The work was refused: it did not run and this call will not run it later.
    NotRun {
        /// The reason.
        reason: Refusal,
        /// The delay before a retry, if a retry can succeed.
        retry_after_ms: Option<Millis>,
    },
    /// The work may have run; its outcome is not known.
    OutcomeUnknown,
    /// The job is recorded in the table and will run to a recorded final state.
    JobAccepted(JobId),
    /// The recorded state of the job.
    Job(JobState),
    /// The job is not recorded.
    NoSuchJob,
    /// The result of a proposed release note.
    Note(NoteVerdict),
}

impl Answer {
    /// Returns a refusal, with the retry delay if the reason is temporary.
    pub fn refused(reason: Refusal, retry_after_ms: Millis) -> Self {
        let retry_after_ms = reason.is_temporary().then_some(retry_after_ms);
        Answer::NotRun {
            reason,
            retry_after_ms,
        }
    }
}
