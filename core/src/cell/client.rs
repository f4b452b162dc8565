//! Calls of clients and their answers.

use crate::{
    cell::{JobState, Submission},
    Millis,
};
use compact_str::CompactString;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientVerb {
    /// Submits a job.
    Submit(Box<Submission>),
    /// Submits a job with an invalid body; holds the reason.
    Malformed(CompactString),
    /// Gets a job's state or, without a job id, the number of the queue's pending jobs.
    Get,
    /// Cancels a job.
    Cancel,
}

/// A client's call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCall {
    /// The host name in the request.
    pub host: CompactString,
    /// The path of the request.
    pub path: CompactString,
    /// The API key in the request.
    pub key: Option<CompactString>,
    /// How long the client waits for the answer.
    pub deadline_ms: Option<Millis>,
    /// What the call asks for.
    pub verb: ClientVerb,
}

/// The answer to a client's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientAnswer {
    /// The job is recorded.
    Accepted,
    /// The job's state.
    State(JobState),
    /// The number of pending jobs.
    Count(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The API key is missing or unknown.
    BadKey,
    /// The request is invalid; holds the reason.
    Malformed(CompactString),
    /// The request was not carried out and will not be; the client may retry it.
    NotRun {
        /// Why it was refused.
        reason: &'static str,
        /// How long to wait before a retry.
        retry_after_ms: Millis,
    },
    /// The request may or may not have been carried out; the client may send it again.
    Unknown,
}
