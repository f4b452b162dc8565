//! HTTP client whose errors distinguish requests that were not sent from those without a response.

use oxhttp::{
    model::{Method, Request},
    Client,
};
use std::{
    fmt,
    io::{ErrorKind, Read},
    time::Duration,
};

/// The maximum number of bytes read of a response body; a longer body is truncated.
const MAX_BODY_BYTES: u64 = 64 * 1_024 * 1_024;

/// The reason why a request got no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HttpError {
    /// The request was not sent, so that the server can't have processed it.
    NotSent(String),
    /// The server may have processed the request, but no complete response arrived.
    NoResponse(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::NotSent(text) => write!(f, "no connection: {text}"),
            HttpError::NoResponse(text) => write!(f, "no complete response: {text}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// A response with its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The `ETag` header, which identifies this version of the body.
    pub etag: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// An HTTP client for one server, which opens a new connection for each request.
pub struct HttpClient {
    base: String,
    client: Client,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Creates a client for a server at `IP:port`; a request is aborted after `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        let client = Client::new().with_global_timeout(timeout);
        Self {
            base: format!("http://{address}"),
            client,
        }
    }

    /// Sends a request and returns the response.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<HttpReply, HttpError> {
        let not_sent = |text: String| HttpError::NotSent(text);
        let method = Method::from_bytes(method.as_bytes()).map_err(|e| not_sent(e.to_string()))?;
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(body).map_err(|e| not_sent(e.to_string()))?;
        let response = self
            .client
            .request(request)
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::InvalidInput => {
                    not_sent(format!("{}: {error}", self.base))
                }
                _ => HttpError::NoResponse(error.to_string()),
            })?;
        let status = response.status().as_u16();
        let etag = response.headers().get("etag");
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(String::from);
        let mut body = Vec::new();
        let mut limited = response.into_body().take(MAX_BODY_BYTES);
        limited
            .read_to_end(&mut body)
            .map_err(|error| HttpError::NoResponse(error.to_string()))?;
        Ok(HttpReply { status, etag, body })
    }
}
