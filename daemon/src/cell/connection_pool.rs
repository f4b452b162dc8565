//! Makes HTTP calls over reused connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{client::conn::http1, header, Request};
use hyper_util::rt::TokioIo;
use pomelotide_platform::{HttpOutcome, HttpRequest};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

type Sender = http1::SendRequest<Full<Bytes>>;

/// The timeout of one attempt to open a connection. The system retransmits a lost first packet only
/// after a second; a new attempt sends one at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The maximum size of an answer's body in bytes; a page of the store's rows has about 1 MB.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The time after which an idle connection is not reused, as servers close such connections.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// The idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Sender, Instant)>>>,
}

/// Why a call has no answer.
enum CallError {
    /// The call was not sent, so that the server can't have processed it.
    NotSent,
    /// The server may have processed the call, but no complete answer arrived.
    Lost,
}

impl ConnectionPool {
    /// Makes a call and returns its answer or how it failed, within `timeout_after`.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        call: &HttpRequest,
        timeout_after: Duration,
    ) -> HttpOutcome {
        let sent = Cell::new(false);
        match timeout(timeout_after, self.try_call(address, call, &sent)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(CallError::NotSent)) => HttpOutcome::NotSent,
            Ok(Err(CallError::Lost)) => HttpOutcome::Lost,
            Err(_) if !sent.get() => HttpOutcome::NotSent,
            Err(_) => {
                // Other idle connections to the address may be dead as well.
                self.idle.borrow_mut().remove(&address);
                HttpOutcome::Lost
            }
        }
    }

    async fn try_call(
        self: &Rc<Self>,
        address: SocketAddr,
        call: &HttpRequest,
        sent: &Cell<bool>,
    ) -> Result<HttpOutcome, CallError> {
        let mut request = request(address, call).ok_or(CallError::NotSent)?;
        loop {
            let (mut sender, reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            sent.set(true);
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
                    let body = body.collect().await;
                    let body = body.map_err(|_| CallError::Lost)?.to_bytes().to_vec();
                    self.return_idle(address, sender).await;
                    return Ok(HttpOutcome::Response { status, body });
                }
                Err(mut error) => match error.take_message() {
                    // The server had closed the reused connection before anything was sent.
                    Some(unsent) if reused => {
                        sent.set(false);
                        request = unsent;
                    }
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::Lost),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some((sender, idle_since)) = connections.pop() {
            if sender.is_ready() && idle_since.elapsed() < MAX_IDLE_AGE {
                return Some(sender);
            }
        }
        None
    }

    async fn return_idle(&self, address: SocketAddr, mut sender: Sender) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push((sender, Instant::now()));
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(opened) => break opened.map_err(|_| CallError::NotSent)?,
            // Tries again until the timeout of the call.
            Err(_) => continue,
        }
    };
    // An error is ignored: without TCP_NODELAY, calls are only delayed.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| CallError::NotSent)?;
    spawn_local(async move {
        // An error is returned to the call that uses the connection.
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(address: SocketAddr, call: &HttpRequest) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(&call.target)
        .header(header::HOST, address.to_string());
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(Bytes::from(call.body.clone()))).ok()
}
