//! Text form of the keys and rows of the platform's table.

use pomelotide_core::{Key, Revision, Row};
use std::fmt;

/// The reason why a value can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::error::Error for WireError {}

impl WireError {
    pub(crate) fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

/// The key prefix of the rows of release notes.
pub(crate) const DELTA_PREFIX: &str = "config/delta/";
/// The key prefix of the rows of daemons.
pub(crate) const MEMBER_PREFIX: &str = "member/";
/// The key prefix of the rows of unfinished jobs.
pub(crate) const JOB_PREFIX: &str = "job/open/";

/// Returns the text form of a key.
///
/// The table sorts keys as text; revisions are padded with zeros so that it returns release notes
/// in the order of their revisions.
pub fn encode_key(key: &Key) -> String {
    match key {
        Key::ConfigHead => "config/head".into(),
        Key::Delta(Revision(revision)) => format!("{DELTA_PREFIX}{revision:020}"),
        Key::Snapshot => "config/snapshot".into(),
        Key::Member(daemon) => format!("{MEMBER_PREFIX}{daemon}"),
        Key::Leader(domain) => format!("keeper/{domain}"),
        Key::Job(job) => format!("{JOB_PREFIX}{job}"),
        Key::DoneJob(job) => format!("job/done/{job}"),
        Key::Intent(request) => format!("intent/{request}"),
    }
}

/// Parses the text form of a key.
pub fn decode_key(text: &str) -> Result<Key, WireError> {
    let invalid = || WireError(format!("{text:?} is not a key of the table"));
    if text == "config/head" {
        return Ok(Key::ConfigHead);
    }
    if text == "config/snapshot" {
        return Ok(Key::Snapshot);
    }
    if let Some(revision) = text.strip_prefix(DELTA_PREFIX) {
        return revision.parse().map(Key::Delta).map_err(|_| invalid());
    }
    let (kind, name) = match text.strip_prefix("job/") {
        Some(rest) => rest.split_once('/').ok_or_else(invalid)?,
        None => text.split_once('/').ok_or_else(invalid)?,
    };
    match kind {
        "member" => Ok(Key::Member(pomelotide_core::DaemonId::new(name))),
        "keeper" => Ok(Key::Leader(pomelotide_core::DomainName::new(name))),
        "open" => Ok(Key::Job(pomelotide_core::JobId::new(name))),
        "done" => Ok(Key::DoneJob(pomelotide_core::JobId::new(name))),
        "intent" => Ok(Key::Intent(pomelotide_core::RequestId::new(name))),
        _ => Err(invalid()),
    }
}

/// Encodes a row as JSON.
///
/// Equal rows have equal encodings, because the checks of a transaction compare the text.
pub fn encode_row(row: &Row) -> Result<String, WireError> {
    serde_json::to_string(row).map_err(|error| WireError(error.to_string()))
}

/// Decodes a row from JSON.
pub fn decode_row(text: &str) -> Result<Row, WireError> {
    serde_json::from_str(text).map_err(|error| WireError(error.to_string()))
}
