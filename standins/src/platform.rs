//! A process that stands in for the platform: table service, object store and host list.

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

/// The most connections at a time.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may be silent.
const CONNECTION_LIMIT: Duration = Duration::from_secs(10);
/// The round trip to the table service.
const TABLE_DELAY: Duration = Duration::from_millis(3);

/// Faults that tests and demonstrations switch on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is turned away.
    pub down: bool,
    /// Answers to this many writes are lost after they took effect.
    pub lose_answers: u32,
    /// How much longer each call takes.
    pub delay_ms: u64,
}

#[derive(Default)]
struct State {
    table: TableModel,
    hosts: BTreeMap<String, WireHost>,
    objects: BTreeMap<String, Vec<u8>>,
    faults: PlatformFaults,
}

/// A shared state that outlives a panic of one of its users.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the platform on an address.
pub fn serve_platform(address: SocketAddr) -> io::Result<ListeningServer> {
    let shared = Shared::default();
    Server::new(move |request| respond(&shared, request))
        .bind(address)
        .with_global_timeout(CONNECTION_LIMIT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .spawn()
}

fn respond(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    let mut body = Vec::new();
    if request.body_mut().read_to_end(&mut body).is_err() {
        return empty(StatusCode::BAD_REQUEST);
    }
    let path = request.uri().path().to_string();
    if path == "/control" {
        return control(shared, &body);
    }
    let faults = shared.lock().faults;
    thread::sleep(TABLE_DELAY + Duration::from_millis(faults.delay_ms));
    if faults.down {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/table/txn") => write(shared, &body),
        ("POST", "/table/read") => read(shared, &body),
        ("GET", "/hosts") => hosts(shared, request),
        ("POST", "/hosts") => list(shared, &body),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(name) => object(shared, method, name, body),
            None => empty(StatusCode::NOT_FOUND),
        },
    }
}

/// Returns the hosts of a failure domain, or of all, unless the caller knows them already.
fn hosts(shared: &Shared, request: &Request<Body>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let domain = query.strip_prefix("domain=");
    let listed = |host: &&WireHost| domain.is_none_or(|domain| host.domain == domain);
    let hosts = shared
        .lock()
        .hosts
        .values()
        .filter(listed)
        .cloned()
        .collect();
    let Ok(bytes) = to_vec(&WireHosts { hosts }) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let tag = tag_of(&bytes);
    let known = request.headers().get(IF_NONE_MATCH) == Some(&tag);
    let mut response = match known {
        true => empty(StatusCode::NOT_MODIFIED),
        false => reply(StatusCode::OK, bytes),
    };
    response.headers_mut().insert(ETAG, tag);
    response
}

fn tag_of(bytes: &[u8]) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    let text = format!("\"{:x}\"", hasher.finish());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("\"none\""))
}

fn control(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(faults) = from_slice(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    shared.lock().faults = faults;
    empty(StatusCode::OK)
}

fn write(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(txn) = from_slice::<WireTxn>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock();
    let reply = state.table.apply(&txn);
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return empty(StatusCode::GATEWAY_TIMEOUT);
    }
    json(&reply)
}

fn read(shared: &Shared, body: &[u8]) -> Response<Body> {
    match from_slice::<WireRead>(body) {
        Ok(read) => json(&shared.lock().table.read(&read)),
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}

fn list(shared: &Shared, body: &[u8]) -> Response<Body> {
    let Ok(list) = from_slice::<WireHosts>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock();
    for host in list.hosts {
        state.hosts.insert(host.worker.clone(), host);
    }
    empty(StatusCode::OK)
}

fn object(shared: &Shared, method: &str, name: &str, body: Vec<u8>) -> Response<Body> {
    let mut state = shared.lock();
    match method {
        "PUT" => {
            state.objects.insert(name.into(), body);
            empty(StatusCode::OK)
        }
        _ => match state.objects.get(name) {
            Some(bytes) => reply(StatusCode::OK, bytes.clone()),
            None => empty(StatusCode::NOT_FOUND),
        },
    }
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    match to_vec(value) {
        Ok(bytes) => reply(StatusCode::OK, bytes),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    reply(status, Vec::new())
}

fn reply(status: StatusCode, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response
}
