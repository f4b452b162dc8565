//! Calls to a daemon.

use crate::{cli::Options, exit::Exit};
use pomelotide_wire::{ApiAnswer, HttpClient, HttpError, HttpReply};
use std::time::Duration;

/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_secs(305);

/// A daemon with the key that is shown to it.
pub(crate) struct Client {
    http: HttpClient,
    authorization: Option<String>,
}

impl Client {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            http: HttpClient::new(&options.daemon, CALL_LIMIT),
            authorization: options
                .secret
                .as_ref()
                .map(|secret| format!("Bearer {secret}")),
        }
    }

    /// Sends a request to the daemon.
    pub(crate) fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<HttpReply, HttpError> {
        let mut headers = headers.to_vec();
        if let Some(authorization) = &self.authorization {
            headers.push(("authorization", authorization));
        }
        self.http.send(method, path, &headers, body)
    }
}

/// Returns the exit code of an answer.
pub(crate) fn exit_of(answer: &ApiAnswer) -> Exit {
    match answer {
        ApiAnswer::Accepted { .. } | ApiAnswer::InForce { .. } => Exit::Done,
        ApiAnswer::Job { state, .. } if state == "failed" => Exit::Refused,
        ApiAnswer::Job { .. } => Exit::Done,
        ApiAnswer::OutcomeUnknown => Exit::Unknown,
        ApiAnswer::Malformed(_) => Exit::Usage,
        ApiAnswer::Failed
        | ApiAnswer::NotRun { .. }
        | ApiAnswer::NoSuchJob
        | ApiAnswer::Rejected { .. } => Exit::Refused,
    }
}
