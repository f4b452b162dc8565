//! Headers and bodies of callers.

use super::reply::Rejected;
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

/// The deadline of a request that names none.
const DEFAULT_DEADLINE_MS: Millis = Millis(10_000);

pub(super) fn fault(field: &str, error: impl ToString) -> Rejected {
    Rejected::Malformed(ApiFieldError::new(field, error))
}

pub(super) fn parse<T: FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, Rejected> {
    text.parse().map_err(|error: T::Err| fault(field, error))
}

pub(super) fn header(
    http: &HttpRequest<Body>,
    name: &'static str,
) -> Result<Option<String>, Rejected> {
    let mut values = http.headers().get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(fault(name, "given more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| fault(name, "expected plain text"))?;
    Ok(Some(text.trim().to_string()))
}

pub(super) fn yes_no(http: &HttpRequest<Body>, name: &'static str) -> Result<bool, Rejected> {
    match header(http, name)?.as_deref() {
        None | Some("no") => Ok(false),
        Some("yes") => Ok(true),
        Some(_) => Err(fault(name, "expected yes or no")),
    }
}

pub(super) fn key(http: &HttpRequest<Body>) -> Result<Option<KeyDigest>, Rejected> {
    let Some(text) = header(http, "authorization")? else {
        return Ok(None);
    };
    match text.strip_prefix("Bearer ") {
        Some(secret) => Ok(Some(secret_digest(secret.trim()))),
        None => Err(fault("authorization", "expected Bearer SECRET")),
    }
}

pub(super) fn body(http: &mut HttpRequest<Body>) -> Result<Vec<u8>, Rejected> {
    let mut bytes = Vec::new();
    let mut limited = http.body_mut().take(consts::MAX_BODY_BYTES + 1);
    limited
        .read_to_end(&mut bytes)
        .map_err(|error| fault("body", error))?;
    if bytes.len() as u64 > consts::MAX_BODY_BYTES {
        return Err(too_large("body", consts::MAX_BODY_BYTES));
    }
    Ok(bytes)
}

/// Reads away what is left of a rejected call's body, so that the caller gets our answer. After a
/// body that is cut short, wrongly framed or far too large, what follows on the connection can't be
/// told apart from it, so the connection ends.
pub(super) fn drop_body(http: &mut HttpRequest<Body>) {
    let mut limited = http.body_mut().take(consts::MAX_DROPPED_BYTES);
    let dropped = io::copy(&mut limited, &mut io::sink());
    if dropped.is_ok_and(|bytes| bytes < consts::MAX_DROPPED_BYTES) {
        return;
    }
    *http.body_mut() = Body::empty();
    http.headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

fn too_large(field: &str, most_bytes: u64) -> Rejected {
    let error = format!("larger than {most_bytes} bytes");
    Rejected::TooLarge(ApiFieldError::new(field, error))
}

/// Reads the payload of a request.
pub(super) fn payload(http: &mut HttpRequest<Body>) -> Result<Vec<u8>, Rejected> {
    let bytes = body(http)?;
    if bytes.len() > MAX_PAYLOAD_BYTES {
        return Err(too_large("body", MAX_PAYLOAD_BYTES as u64));
    }
    Ok(bytes)
}

/// Reads how long a caller waits.
pub(super) fn deadline(http: &HttpRequest<Body>) -> Result<Millis, Rejected> {
    let Some(text) = header(http, "deadline")? else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let deadline_ms = parse("deadline", &text)?;
    if deadline_ms == Millis(0) || deadline_ms > MAX_DEADLINE_MS {
        let error = format!("{text} is out of range: above 0ms, at most {MAX_DEADLINE_MS}");
        return Err(fault("deadline", error));
    }
    Ok(deadline_ms)
}

/// Checks the ranges of a job's fields.
pub(super) fn check_job(spec: &JobSpec) -> Result<(), Rejected> {
    if !(1..=MAX_JOB_TASKS).contains(&spec.tasks) {
        let error = format!(
            "{} is out of range: at least 1, at most {MAX_JOB_TASKS}",
            spec.tasks
        );
        return Err(fault("tasks", error));
    }
    if spec.payload.0.len() > MAX_PAYLOAD_BYTES {
        return Err(too_large("payload", MAX_PAYLOAD_BYTES as u64));
    }
    Ok(())
}
