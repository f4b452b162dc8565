//! The HTTP server for clients, readiness checks of the balancer and metrics.

use crate::cell::channel::ControlInput;
use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming, header, server::conn::http1, service::service_fn, Request, Response, StatusCode,
};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use pomelotide_core::{
    cell::{consts, ClientAnswer, Event},
    CallId,
};
use pomelotide_platform::{
    encode_client_answer, parse_client_call, readiness_response, FrontendRequest, FrontendResponse,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    rc::Rc,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::spawn_local,
};

/// The maximum size of a request body, in bytes; not below the maximum size of a desired state.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The HTTP server: the client calls that wait for an answer, and the daemon's readiness.
pub(crate) struct HttpServer {
    inputs: Sender<ControlInput>,
    waiters: RefCell<HashMap<CallId, oneshot::Sender<ClientAnswer>>>,
    last_call: Cell<u64>,
    ready: Cell<bool>,
    close_after_answer: Cell<bool>,
    metrics: PrometheusHandle,
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
    pub(crate) fn new(inputs: Sender<ControlInput>, metrics: PrometheusHandle) -> Self {
        Self {
            inputs,
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

    async fn serve_client(&self, request: Request<Incoming>) -> FrontendResponse {
        let (parts, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let reason = format!("body: {error}");
                return encode_client_answer(&ClientAnswer::Malformed(reason.into()));
            }
        };
        let header_text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let request = FrontendRequest {
            method: parts.method.as_str(),
            path: parts.uri.path(),
            host: header_text(header::HOST.as_str()).unwrap_or(""),
            authorization: header_text(header::AUTHORIZATION.as_str()),
            deadline: header_text("deadline-ms"),
            body: &body,
        };
        let Some(client_call) = parse_client_call(request) else {
            return FrontendResponse {
                status: StatusCode::METHOD_NOT_ALLOWED.as_u16(),
                headers: Vec::new(),
                body: Vec::new(),
            };
        };
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

/// Accepts and serves the connections of a listener.
pub(crate) async fn accept(server: Rc<HttpServer>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // An error is ignored: without TCP_NODELAY, answers are only delayed.
                let _ = stream.set_nodelay(true);
                spawn_local(serve(server.clone(), stream, endpoint));
            }
            // File descriptors ran out or the client has already disconnected; a retry may succeed.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve(server: Rc<HttpServer>, stream: TcpStream, endpoint: Endpoint) {
    let service = service_fn(|request: Request<Incoming>| {
        let server = server.clone();
        async move {
            let reply = match endpoint {
                Endpoint::Clients => server.serve_client(request).await,
                Endpoint::Readiness => readiness_response(server.ready.get()),
                Endpoint::Metrics => FrontendResponse {
                    status: 200,
                    headers: vec![("Content-Type", "text/plain".into())],
                    body: server.metrics.render().into_bytes(),
                },
            };
            let close = endpoint == Endpoint::Clients && server.close_after_answer.get();
            Ok::<_, Infallible>(response(reply, close))
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A client that disconnects is reported by the guard of its open call.
    let _ = connection.await;
}
