//! Parses and checks the headers and bodies of calls.

use super::reply::Rejection;
use crate::consts;
use oxhttp::model::{header::CONNECTION, Body, HeaderValue, Request as HttpRequest};
use pomelotide_core::{
    consts::{MAX_DEADLINE_MS, MAX_JOB_TASKS, MAX_PAYLOAD_BYTES},
    JobSpec, KeyDigest, Millis,
};
use pomelotide_wire::{secret_digest, ApiFieldError};
use std::{
    io::{self, Read},
    str::FromStr,
};

/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE_MS: Millis = Millis(10_000);

pub(super) fn field_error(field: &str, error: impl ToString) -> Rejection {
    Rejection::Malformed(ApiFieldError::new(field, error))
}

pub(super) fn parse<T: FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, Rejection> {
    text.parse()
        .map_err(|error: T::Err| field_error(field, error))
}

/// Returns the value of a header, or `None` if it is missing; rejects a header given twice.
pub(super) fn header(
    http: &HttpRequest<Body>,
    name: &'static str,
) -> Result<Option<String>, Rejection> {
    let mut values = http.headers().get_all(name).iter();
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
pub(super) fn yes_no_header(
    http: &HttpRequest<Body>,
    name: &'static str,
) -> Result<bool, Rejection> {
    match header(http, name)?.as_deref() {
        None | Some("no") => Ok(false),
        Some("yes") => Ok(true),
        Some(_) => Err(field_error(name, "expected yes or no")),
    }
}

/// Returns the digest of the secret in the `authorization` header, or `None` without that header.
pub(super) fn key_digest(http: &HttpRequest<Body>) -> Result<Option<KeyDigest>, Rejection> {
    let Some(text) = header(http, "authorization")? else {
        return Ok(None);
    };
    match text.strip_prefix("Bearer ") {
        Some(secret) => Ok(Some(secret_digest(secret.trim()))),
        None => Err(field_error("authorization", "expected Bearer SECRET")),
    }
}

/// Reads and discards the rest of a rejected call's body, so that the caller receives the answer.
///
/// Closes the connection after the answer if the body is truncated, badly framed or longer than
/// [`consts::MAX_DISCARDED_BYTES`], as the next call can't be separated from it.
pub(super) fn discard_body(http: &mut HttpRequest<Body>) {
    let mut limited = http.body_mut().take(consts::MAX_DISCARDED_BYTES);
    let discarded = io::copy(&mut limited, &mut io::sink());
    if discarded.is_ok_and(|bytes| bytes < consts::MAX_DISCARDED_BYTES) {
        return;
    }
    close_after_answer(http);
}

/// Closes the connection after the answer without reading the rest of the body.
pub(super) fn close_after_answer(http: &mut HttpRequest<Body>) {
    *http.body_mut() = Body::empty();
    http.headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
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
pub(super) fn read_deadline(http: &HttpRequest<Body>) -> Result<Millis, Rejection> {
    let Some(text) = header(http, "deadline")? else {
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
