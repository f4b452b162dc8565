//! Clients' calls at the front.

use crate::{
    cell::{JobState, Submission},
    Millis,
};
use compact_str::CompactString;

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientVerb {
    /// Hands a job in.
    Submit(Box<Submission>),
    /// Hands a job in with a body that can't be read, with the reason.
    Malformed(CompactString),
    /// Asks for a job's state or, without an id, how many jobs wait in the queue.
    Get,
    /// Gives a job up.
    Cancel,
}

/// A client's call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCall {
    /// The host that the client named.
    pub host: CompactString,
    /// The path.
    pub path: CompactString,
    /// The key that was shown.
    pub key: Option<CompactString>,
    /// How long the client waits.
    pub deadline_ms: Option<Millis>,
    /// What it asks for.
    pub verb: ClientVerb,
}

/// What a client is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientAnswer {
    /// The job is on record.
    Accepted,
    /// The job's state.
    State(JobState),
    /// How many jobs wait.
    Count(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The key is not known.
    BadKey,
    /// The request can't be read, with the reason.
    Malformed(CompactString),
    /// Not done and never will be; come back after this span.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// Nobody can tell whether it is done; the same call may be sent again.
    Unknown,
}
