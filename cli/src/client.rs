//! Calls to a daemon.

use crate::{cli::Options, exit::Exit};
use pomelotide_wire::{ApiAnswer, HttpClient, HttpError, HttpReply};
use std::time::Duration;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(305);

/// The daemons to ask, with the key that is shown to them.
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

    /// Sends a request to the first daemon that is reached.
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
        let mut failure = HttpError::NotSent("no daemon is named".into());
        for daemon in &self.daemons {
            match daemon.send(method, path, &headers, body.clone()) {
                Err(HttpError::NotSent(text)) => failure = HttpError::NotSent(text),
                other => return other,
            }
        }
        Err(failure)
    }

    /// Reads a path of the first daemon that is reached.
    pub(crate) fn get(&self, path: &str) -> Result<HttpReply, HttpError> {
        self.send("GET", path, &[], Vec::new())
    }

    /// Reads a path of every daemon.
    pub(crate) fn get_all<'a>(
        &'a self,
        path: &'a str,
    ) -> impl Iterator<Item = Result<HttpReply, HttpError>> + 'a {
        let daemons = self.daemons.iter();
        daemons.map(move |daemon| daemon.send("GET", path, &[], Vec::new()))
    }
}

/// Returns the exit code of an answer.
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
