//! HTTP server that stands in for the platform: table service, object store and host list.
//!
//! All state is held in memory. `POST /control` sets the faults to simulate.

use crate::TableModel;
use oxhttp::{
    model::{
        header::{ETAG, IF_NONE_MATCH},
        Body, HeaderValue, Request, Response, StatusCode,
    },
    ListeningServer, Server,
};
use pomelotide_wire::{WireHost, WireHosts, WireRead, WireTxn};
use serde::{Deserialize, Serialize};
use serde_json::{from_slice, to_vec};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hasher},
    io::{self, Read},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may stay idle.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Simulated round-trip time to the platform, added to every request except `/control`.
const REQUEST_DELAY: Duration = Duration::from_millis(3);

/// Faults that tests and demonstrations switch on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every request is answered with status 503.
    pub down: bool,
    /// For this many table transactions, status 504 replaces the answer after they took effect.
    pub lose_answers: u32,
    /// Additional delay of each request.
    pub delay_ms: u64,
}

#[derive(Default)]
struct State {
    table: TableModel,
    hosts: BTreeMap<String, WireHost>,
    objects: BTreeMap<String, Vec<u8>>,
    faults: PlatformFaults,
}

/// Shared state that stays usable after a thread panicked while it held the lock.
#[derive(Clone, Default)]
struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the platform's HTTP server on the given address.
pub fn serve_platform(address: SocketAddr) -> io::Result<ListeningServer> {
    let shared = SharedState::default();
    Server::new(move |request| respond(&shared, request))
        .bind(address)
        .with_global_timeout(CONNECTION_TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .spawn()
}

fn respond(shared: &SharedState, request: &mut Request<Body>) -> Response<Body> {
    let mut body = Vec::new();
    if request.body_mut().read_to_end(&mut body).is_err() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let path = request.uri().path().to_string();
    if path == "/control" {
        return set_faults(shared, &body);
    }
    let faults = shared.lock().faults;
    thread::sleep(REQUEST_DELAY + Duration::from_millis(faults.delay_ms));
    if faults.down {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/table/txn") => write_table(shared, &body),
        ("POST", "/table/read") => read_table(shared, &body),
        ("GET", "/hosts") => list_hosts(shared, request),
        ("POST", "/hosts") => register_hosts(shared, &body),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(name) => serve_object(shared, method, name, body),
            None => empty_response(StatusCode::NOT_FOUND),
        },
    }
}

/// Returns the hosts of one failure domain or of all, or status 304 if the caller's `ETag` matches.
fn list_hosts(shared: &SharedState, request: &Request<Body>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let domain = query.strip_prefix("domain=");
    let is_listed = |host: &&WireHost| domain.is_none_or(|domain| host.domain == domain);
    let hosts = shared
        .lock()
        .hosts
        .values()
        .filter(is_listed)
        .cloned()
        .collect();
    let Ok(bytes) = to_vec(&WireHosts { hosts }) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let tag = entity_tag(&bytes);
    let is_unchanged = request.headers().get(IF_NONE_MATCH) == Some(&tag);
    let mut response = match is_unchanged {
        true => empty_response(StatusCode::NOT_MODIFIED),
        false => response(StatusCode::OK, bytes),
    };
    response.headers_mut().insert(ETAG, tag);
    response
}

/// Returns an `ETag` value that identifies the content.
fn entity_tag(bytes: &[u8]) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    let text = format!("\"{:x}\"", hasher.finish());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("\"none\""))
}

fn set_faults(shared: &SharedState, body: &[u8]) -> Response<Body> {
    let Ok(faults) = from_slice(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    shared.lock().faults = faults;
    empty_response(StatusCode::OK)
}

fn write_table(shared: &SharedState, body: &[u8]) -> Response<Body> {
    let Ok(txn) = from_slice::<WireTxn>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock();
    let reply = state.table.apply(&txn);
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return empty_response(StatusCode::GATEWAY_TIMEOUT);
    }
    json_response(&reply)
}

fn read_table(shared: &SharedState, body: &[u8]) -> Response<Body> {
    match from_slice::<WireRead>(body) {
        Ok(read) => json_response(&shared.lock().table.read(&read)),
        Err(_) => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Adds hosts to the host list; a host with the same worker name is replaced.
fn register_hosts(shared: &SharedState, body: &[u8]) -> Response<Body> {
    let Ok(listed) = from_slice::<WireHosts>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock();
    for host in listed.hosts {
        state.hosts.insert(host.worker.clone(), host);
    }
    empty_response(StatusCode::OK)
}

fn serve_object(shared: &SharedState, method: &str, name: &str, body: Vec<u8>) -> Response<Body> {
    let mut state = shared.lock();
    match method {
        "PUT" => {
            state.objects.insert(name.into(), body);
            empty_response(StatusCode::OK)
        }
        _ => match state.objects.get(name) {
            Some(bytes) => response(StatusCode::OK, bytes.clone()),
            None => empty_response(StatusCode::NOT_FOUND),
        },
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    match to_vec(value) {
        Ok(bytes) => response(StatusCode::OK, bytes),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    response(status, Vec::new())
}

fn response(status: StatusCode, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response
}
