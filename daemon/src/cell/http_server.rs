//! The HTTP server for clients, readiness checks of the balancer and metrics.

use crate::{
    cell::{channel::ControlInput, request_limits::SharedRequestLimits},
    connection_gate::{ConnectionGate, Entry},
    http_body::{read_body, BodyError},
    metered_stream::MeteredStream,
};
use bytes::Bytes;
use compact_str::CompactString;
use crossbeam::channel::Sender;
use http_body_util::Full;
use hyper::{
    body::Incoming, header, http::request::Parts, server::conn::http1, service::service_fn, Method,
    Request, Response, StatusCode,
};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use pomelotide_core::{
    cell::{consts, ClientAnswer, ClientCall, Event},
    CallId,
};
use pomelotide_platform::{
    body_too_large_response, encode_client_answer, parse_client_call, readiness_response,
    FrontendRequest, FrontendResponse,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    rc::Rc,
    sync::Arc,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::spawn_local,
};

/// The answer to a connection that is refused because all others have a request that was passed on.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\
    Connection: close\r\n\r\n";

/// The HTTP server: the client calls that wait for an answer, and the daemon's readiness.
pub(crate) struct HttpServer {
    inputs: Sender<ControlInput>,
    waiters: RefCell<HashMap<CallId, oneshot::Sender<ClientAnswer>>>,
    last_call: Cell<u64>,
    ready: Cell<bool>,
    close_after_answer: Cell<bool>,
    limits: Arc<SharedRequestLimits>,
    metrics: PrometheusHandle,
}

/// The parts of a head that a client's call needs. The head itself keeps its read buffer in memory.
struct CallHead {
    method: Method,
    path: CompactString,
    host: CompactString,
    authorization: Option<CompactString>,
    deadline: Option<CompactString>,
}

impl From<&Parts> for CallHead {
    fn from(parts: &Parts) -> Self {
        let text = |name: &str| {
            let value = parts.headers.get(name)?;
            value.to_str().ok().map(CompactString::from)
        };
        Self {
            method: parts.method.clone(),
            path: parts.uri.path().into(),
            host: text(header::HOST.as_str()).unwrap_or_default(),
            authorization: text(header::AUTHORIZATION.as_str()),
            deadline: text("deadline-ms"),
        }
    }
}

/// Reports that a client disconnected if its call is dropped without an answer.
struct HangupGuard<'a> {
    server: &'a HttpServer,
    call: CallId,
}

impl Drop for HangupGuard<'_> {
    fn drop(&mut self) {
        if self
            .server
            .waiters
            .borrow_mut()
            .remove(&self.call)
            .is_some()
        {
            self.server.send(Event::Hangup(self.call));
        }
    }
}

/// Returns the answer to a call that the control loop has not processed before it ended.
pub(crate) fn refusal_after_stop() -> ClientAnswer {
    ClientAnswer::NotRun {
        reason: "the daemon has stopped",
        retry_after_ms: consts::RETRY_AFTER_MS,
    }
}

impl HttpServer {
    pub(crate) fn new(
        inputs: Sender<ControlInput>,
        limits: Arc<SharedRequestLimits>,
        metrics: PrometheusHandle,
    ) -> Self {
        Self {
            inputs,
            limits,
            metrics,
            waiters: RefCell::default(),
            last_call: Cell::new(0),
            ready: Cell::new(false),
            close_after_answer: Cell::new(false),
        }
    }

    /// Passes an event on; returns whether the control loop still runs.
    fn send(&self, event: Event) -> bool {
        self.inputs.send(ControlInput::Event(event)).is_ok()
    }

    pub(crate) fn answer(&self, call: CallId, answer: ClientAnswer) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&call) {
            // Fails if the client has just disconnected.
            let _ = waiter.send(answer);
        }
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
        self.close_after_answer.set(!ready);
    }

    /// Reads and parses a client's request, or returns the response to an invalid one.
    async fn read_call(&self, request: Request<Incoming>) -> Result<ClientCall, FrontendResponse> {
        let (parts, mut body) = request.into_parts();
        let head = CallHead::from(&parts);
        drop(parts);
        let max_bytes = self.limits.get().body_bytes;
        let body = match read_body(&mut body, max_bytes).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return Err(body_too_large_response(max_bytes)),
            Err(BodyError::Failed(error)) => {
                let reason = format!("body: {error}");
                return Err(encode_client_answer(&ClientAnswer::Malformed(
                    reason.into(),
                )));
            }
        };
        let request = FrontendRequest {
            method: head.method.as_str(),
            path: &head.path,
            host: &head.host,
            authorization: head.authorization.as_deref(),
            deadline: head.deadline.as_deref(),
            body: &body,
            max_steps: self.limits.max_steps(),
        };
        parse_client_call(request).ok_or(FrontendResponse {
            status: StatusCode::METHOD_NOT_ALLOWED.as_u16(),
            headers: Vec::new(),
            body: Vec::new(),
        })
    }

    async fn serve_client(&self, request: Request<Incoming>, entry: &Entry) -> FrontendResponse {
        let client_call = match self.read_call(request).await {
            Ok(call) => call,
            Err(response) => return response,
        };
        if !entry.pass_on().await {
            // The connection is being closed, so this answer is not sent either.
            return encode_client_answer(&refusal_after_stop());
        }
        self.last_call.set(self.last_call.get() + 1);
        let call = CallId(self.last_call.get());
        let (waiter, answer) = oneshot::channel();
        self.waiters.borrow_mut().insert(call, waiter);
        let _guard = HangupGuard { server: self, call };
        if !self.send(Event::Call(call, Box::new(client_call))) {
            return encode_client_answer(&refusal_after_stop());
        }
        encode_client_answer(&answer.await.unwrap_or(ClientAnswer::Unknown))
    }
}

fn response(reply: FrontendResponse, close: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    if let Ok(status) = StatusCode::from_u16(reply.status) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    for (name, value) in reply.headers {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    }
    if close {
        let close = header::HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}

/// The service behind a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    Clients,
    Readiness,
    Metrics,
}

impl Endpoint {
    /// Returns the name in the log and the metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }
}

/// Accepts and serves the connections of a listener.
pub(crate) async fn accept(
    server: Rc<HttpServer>,
    listener: TcpListener,
    endpoint: Endpoint,
    gate: Rc<ConnectionGate>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // An error is ignored: without TCP_NODELAY, answers are only delayed.
                let _ = stream.set_nodelay(true);
                let Some((entry, closed)) = gate.enter().await else {
                    // A new connection takes an answer of this size; without it, it is just closed.
                    let _ = stream.try_write(REFUSAL);
                    continue;
                };
                let served = serve(server.clone(), stream, endpoint, Rc::new(entry));
                spawn_local(async move {
                    tokio::select! {
                        biased;
                        // The gate closes the connection.
                        _ = closed => {}
                        () = served => {}
                    }
                });
            }
            // File descriptors ran out or the client has already disconnected; a retry may succeed.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve(server: Rc<HttpServer>, stream: TcpStream, endpoint: Endpoint, entry: Rc<Entry>) {
    let head_bytes = server.limits.get().head_bytes as usize;
    let stream = MeteredStream::new(stream, entry.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let (server, entry) = (server.clone(), entry.clone());
        async move {
            entry.end_head();
            let reply = match endpoint {
                Endpoint::Clients => server.serve_client(request, &entry).await,
                Endpoint::Readiness => readiness_response(server.ready.get()),
                Endpoint::Metrics => FrontendResponse {
                    status: 200,
                    headers: vec![("Content-Type", "text/plain".into())],
                    body: server.metrics.render().into_bytes(),
                },
            };
            entry.answer();
            let close = endpoint == Endpoint::Clients
                && (server.close_after_answer.get() || entry.ends_after_answer())
                || reply.status == StatusCode::PAYLOAD_TOO_LARGE.as_u16();
            Ok::<_, Infallible>(response(reply, close))
        }
    });
    // Timeouts are those of the gate, which tells an idle connection from an unfinished head.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes + crate::consts::READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // A client that disconnects is reported by the guard of its open call.
    let _ = connection.await;
}
