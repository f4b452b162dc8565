//! A small HTTP client over a library's, with one time limit and plain errors.

use oxhttp::{
    model::{Method, Request},
    Client,
};
use std::{
    fmt,
    io::{ErrorKind, Read},
    time::Duration,
};

/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1_024 * 1_024;

/// Why no answer came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HttpError {
    /// The connection was not made; the other side got nothing.
    NotSent(String),
    /// The other side may have got the request.
    NoResponse(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::NotSent(text) => write!(f, "no connection: {text}"),
            HttpError::NoResponse(text) => write!(f, "the connection broke: {text}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// An answer with its whole body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The tag by which the server knows the body again.
    pub etag: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A client that opens a fresh connection for each request.
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
    /// Makes a client for a server at `IP:port`; a request ends after `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        let client = Client::new().with_global_timeout(timeout);
        Self {
            base: format!("http://{address}"),
            client,
        }
    }

    /// Sends a request and reads the whole answer.
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
