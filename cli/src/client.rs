//! HTTP client that sends requests to the daemons named on the command line.

use crate::{cli::Options, exit::Exit};
use pomelotide_wire::{ApiAnswer, HttpClient, HttpError, HttpReply};
use std::time::Duration;

/// The timeout of a call: 5 s longer than the longest deadline of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(305);

/// HTTP clients of all daemons, in the order in which they are tried, and the bearer token.
pub(crate) struct Client {
    daemons: Vec<HttpClient>,
    authorization: Option<String>,
}

impl Client {
    pub(crate) fn new(options: &Options) -> Self {
        let daemons = options.daemons.iter();
        Self {
            daemons: daemons
                .map(|daemon| HttpClient::new(&daemon.to_string(), CALL_TIMEOUT))
                .collect(),
            authorization: options
                .secret
                .as_ref()
                .map(|secret| format!("Bearer {secret}")),
        }
    }

    /// Sends a request to the first daemon that accepts a connection.
    ///
    /// Tries the next daemon only if the request was certainly not sent, so that it can't run twice.
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
        let mut failure = HttpError::NotSent("no daemon address given".into());
        for daemon in &self.daemons {
            match daemon.send(method, path, &headers, body.clone()) {
                Err(HttpError::NotSent(text)) => failure = HttpError::NotSent(text),
                other => return other,
            }
        }
        Err(failure)
    }

    /// Sends a GET request to the first daemon that accepts a connection.
    pub(crate) fn get(&self, path: &str) -> Result<HttpReply, HttpError> {
        self.send("GET", path, &[], Vec::new())
    }

    /// Sends a GET request to every daemon, without the bearer token.
    pub(crate) fn get_all<'a>(
        &'a self,
        path: &'a str,
    ) -> impl Iterator<Item = Result<HttpReply, HttpError>> + 'a {
        let daemons = self.daemons.iter();
        daemons.map(move |daemon| daemon.send("GET", path, &[], Vec::new()))
    }
}

/// Returns the exit status for an answer.
pub(crate) fn answer_exit(answer: &ApiAnswer) -> Exit {
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
