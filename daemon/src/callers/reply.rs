//! Converts answers to HTTP responses.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    header::{HeaderName, HeaderValue, ALLOW, CONNECTION, RETRY_AFTER},
    Response, StatusCode,
};
use pomelotide_core::{consts::DEFAULT_RETRY_AFTER_MS, Answer, Refusal, RequestId};
use pomelotide_wire::{http_status, ApiAnswer, ApiFieldError};
use serde::Serialize;
use std::fmt;

/// The response header with the request's id.
const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");

pub(super) type Reply = Response<Full<Bytes>>;

/// Why a call was rejected before it reached the reducer.
#[derive(Debug)]
pub(super) enum Rejection {
    /// The path, a header or the body is invalid.
    Malformed(ApiFieldError),
    /// The body or payload is too large.
    TooLarge(ApiFieldError),
    /// The secret is not the operators' secret.
    NotOperator,
    NoSuchPath,
    /// The path does not support the method; contains the supported ones.
    WrongMethod(&'static str),
    /// The control thread has exited, or did not read the state in time.
    Stopped,
}

/// Returns the response for an answer, with a `retry-after` header in seconds if it gives a delay.
pub(super) fn answer_reply(answer: Answer) -> Reply {
    let status = http_status(&answer);
    if let Answer::Done(payload) = answer {
        return reply(status, "application/octet-stream", payload.0);
    }
    let retry_after_ms = match &answer {
        Answer::NotRun { retry_after_ms, .. } => *retry_after_ms,
        _ => None,
    };
    let mut response = match &answer {
        Answer::Failed(payload) => reply(status, "application/octet-stream", payload.0.clone()),
        other => json(status, &ApiAnswer::from(other)),
    };
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = retry_after_ms.0.div_ceil(1_000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

impl Rejection {
    /// Returns the response to the rejected call.
    pub(super) fn reply(self) -> Reply {
        match self {
            Rejection::Malformed(fault) => json(400, &ApiAnswer::Malformed(fault)),
            Rejection::TooLarge(fault) => json(413, &ApiAnswer::Malformed(fault)),
            Rejection::WrongMethod(allowed) => {
                let error = format!("this path takes {allowed}");
                let mut response = json(405, &malformed("method", &error));
                response
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(allowed));
                response
            }
            Rejection::NotOperator => {
                let answer = ApiAnswer::NotRun {
                    reason: "not_operator".into(),
                    help: "operators show the secret whose digest is operator_sha256".into(),
                    retry_after_ms: None,
                };
                json(401, &answer)
            }
            Rejection::NoSuchPath => json(404, &malformed("path", "no such path")),
            Rejection::Stopped => {
                let answer = Answer::refused(Refusal::Draining, DEFAULT_RETRY_AFTER_MS);
                json(http_status(&answer), &ApiAnswer::from(&answer))
            }
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Malformed(fault) | Rejection::TooLarge(fault) => {
                write!(f, "{}: {}", fault.field, fault.error.escape_debug())
            }
            Rejection::NotOperator => f.write_str("not the operators' secret"),
            Rejection::NoSuchPath => f.write_str("no such path"),
            Rejection::WrongMethod(allowed) => write!(f, "method not allowed; use {allowed}"),
            Rejection::Stopped => f.write_str("the daemon is stopping"),
        }
    }
}

fn malformed(field: &str, error: &str) -> ApiAnswer {
    ApiAnswer::Malformed(ApiFieldError::new(field, error))
}

pub(super) fn json<T: Serialize>(status: u16, value: &T) -> Reply {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    reply(status, "application/json", bytes)
}

pub(super) fn text(status: u16, text: &str) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into())
}

fn reply(status: u16, content_type: &'static str, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static(content_type));
    response
}

/// Closes the connection after the answer.
pub(super) fn with_close(mut response: Reply) -> Reply {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Adds the request's id to its answer, so that a caller that gave no id can query the request.
pub(super) fn with_request_id(mut response: Reply, id: &RequestId) -> Reply {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
