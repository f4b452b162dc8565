//! Parses and checks the headers and bodies of calls.

use super::reply::Rejection;
use crate::{
    connection_gate::Entry,
    consts,
    http_body::{read_body, BodyError},
};
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    header::{HeaderMap, HeaderName, HeaderValue},
    Method,
};
use pomelotide_core::{
    consts::{MAX_DEADLINE_MS, MAX_JOB_TASKS, MAX_PAYLOAD_BYTES},
    JobSpec, KeyDigest, Millis,
};
use pomelotide_wire::{secret_digest, ApiFieldError};
use std::str::FromStr;

/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE_MS: Millis = Millis(10_000);

/// The headers that calls may have.
const HEADERS: [HeaderName; 4] = [
    HeaderName::from_static("authorization"),
    HeaderName::from_static("deadline"),
    HeaderName::from_static("idempotent"),
    HeaderName::from_static("request-id"),
];

/// A call whose head has arrived.
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) path: CompactString,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) entry: &'a Entry,
}

/// Whether the next call can be read from the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rest {
    Discarded,
    Unreadable,
}

/// Copies the headers that calls may have, so that they do not refer to the buffer of the head.
pub(super) fn copy_headers(headers: &HeaderMap) -> HeaderMap {
    let mut copies = HeaderMap::new();
    for name in HEADERS {
        for value in headers.get_all(&name) {
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                copies.append(name.clone(), value);
            }
        }
    }
    copies
}

pub(super) fn field_error(field: &str, error: impl ToString) -> Rejection {
    Rejection::Malformed(ApiFieldError::new(field, error))
}

pub(super) fn parse<T: FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, Rejection> {
    text.parse()
        .map_err(|error: T::Err| field_error(field, error))
}

/// Returns the value of a header, or `None` if it is missing; rejects a header given twice.
pub(super) fn header(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(field_error(name, "given more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| field_error(name, "expected plain text"))?;
    Ok(Some(text.trim().to_string()))
}

/// Parses a header that is `yes` or `no`; a missing one counts as `no`.
pub(super) fn yes_no_header(headers: &HeaderMap, name: &'static str) -> Result<bool, Rejection> {
    match header(headers, name)?.as_deref() {
        None | Some("no") => Ok(false),
        Some("yes") => Ok(true),
        Some(_) => Err(field_error(name, "expected yes or no")),
    }
}

/// Returns the digest of the secret in the `authorization` header, or `None` without that header.
pub(super) fn key_digest(headers: &HeaderMap) -> Result<Option<KeyDigest>, Rejection> {
    let Some(text) = header(headers, "authorization")? else {
        return Ok(None);
    };
    match text.strip_prefix("Bearer ") {
        Some(secret) => Ok(Some(secret_digest(secret.trim()))),
        None => Err(field_error("authorization", "expected Bearer SECRET")),
    }
}

impl Call<'_> {
    /// Reads the body, of at most [`consts::MAX_BODY_BYTES`].
    pub(super) async fn read_body(&mut self) -> Result<Vec<u8>, Rejection> {
        let body = read_body(&mut self.body, consts::MAX_BODY_BYTES).await;
        body.map_err(|error| match error {
            BodyError::TooLarge => too_large("body", consts::MAX_BODY_BYTES),
            BodyError::Failed(error) => field_error("body", error),
        })
    }

    /// Reads and discards the rest of a rejected call's body, so that the caller receives the answer. The next
    /// call can't be separated from a body that is truncated, badly framed or longer than
    /// [`consts::MAX_DISCARDED_BYTES`].
    pub(super) async fn discard_body(mut self) -> Rest {
        let mut bytes = 0;
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => bytes += frame.data_ref().map_or(0, |data| data.len() as u64),
                Some(Err(_)) => return Rest::Unreadable,
                None => return Rest::Discarded,
            }
            if bytes > consts::MAX_DISCARDED_BYTES {
                return Rest::Unreadable;
            }
        }
    }
}

pub(super) fn too_large(field: &str, max_bytes: u64) -> Rejection {
    let error = format!("larger than {max_bytes} bytes");
    Rejection::TooLarge(ApiFieldError::new(field, error))
}

/// Checks the size of a request's payload.
pub(super) fn check_payload(bytes: &[u8]) -> Result<(), Rejection> {
    if bytes.len() > MAX_PAYLOAD_BYTES {
        return Err(too_large("body", MAX_PAYLOAD_BYTES as u64));
    }
    Ok(())
}

/// Returns how long a caller waits for the answer.
pub(super) fn read_deadline(headers: &HeaderMap) -> Result<Millis, Rejection> {
    let Some(text) = header(headers, "deadline")? else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let deadline_ms = parse("deadline", &text)?;
    if deadline_ms == Millis(0) || deadline_ms > MAX_DEADLINE_MS {
        let error = format!("{text} is out of range: above 0ms, at most {MAX_DEADLINE_MS}");
        return Err(field_error("deadline", error));
    }
    Ok(deadline_ms)
}

/// Checks the ranges of a job's fields.
pub(super) fn check_job(spec: &JobSpec) -> Result<(), Rejection> {
    if !(1..=MAX_JOB_TASKS).contains(&spec.tasks) {
        let error = format!(
            "{} is out of range: at least 1, at most {MAX_JOB_TASKS}",
            spec.tasks
        );
        return Err(field_error("tasks", error));
    }
    if spec.payload.0.len() > MAX_PAYLOAD_BYTES {
        return Err(too_large("payload", MAX_PAYLOAD_BYTES as u64));
    }
    Ok(())
}
