//! A small deployment: one daemon and two workers in each of three zones, the platform's store, and a
//! network path of its own between any two of them.

use crate::{
    http::{self, Channels, Path},
    json::Json,
    record::Record,
    store::Store,
    worker::{Fleet, MAX_HOLD_MS},
};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    process::{Child, Command},
    sync::{
        atomic::{AtomicU16, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 3] = ["saiss", "ifrane", "sefrou"];
const HOST: &str = "desk.example";
const PREFIX: &str = "/q/";
const KEY: &str = "key-of-growers";
/// `heartbeat-ms` of the settings: an entry is removed after three of them.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Daemon {
    pub name: String,
    child: Option<Child>,
    settings: String,
    log: String,
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// The other end of a daemon's path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Store,
    Daemon(usize),
    Worker(usize),
}

impl End {
    /// Returns the zone; the platform is in none of them.
    fn zone(self) -> Option<usize> {
        match self {
            End::Store => None,
            End::Daemon(at) => Some(at),
            End::Worker(at) => Some(at / 2),
        }
    }
}

/// The path from a daemon, one in each zone, to another end.
struct Link {
    path: Path,
    from: usize,
    to: End,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub daemons: Vec<Daemon>,
    links: Vec<Link>,
    entries: Vec<(String, Json)>,
}

/// The delay between zones, one way.
const ACROSS_ZONES: Duration = Duration::from_micros(4_400);
/// How many channels a worker takes.
const MAX_CHANNELS: usize = 64;

/// Returns an address for a daemon to listen on, below the ports that outgoing connections take.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() * 53 % 10_000) as u16;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// The one queue of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    Missing,
    Keyed,
    Public,
}

fn desired_state(version: u64, route: Route) -> Json {
    let is_public = route == Route::Public;
    let fields = vec![
        ("name", Json::text("r-desk")),
        ("host", Json::text(HOST)),
        ("path-prefix", Json::text(PREFIX)),
        ("service", Json::text("lending-desk")),
        ("priority", Json::number(1)),
        ("max-attempts", Json::number(3)),
        ("slack-factor", Json::number(2)),
        ("target-latency-ms", Json::number(1_000)),
        ("public", Json::Bool(is_public)),
    ];
    let routes = match route {
        Route::Missing => Vec::new(),
        Route::Keyed | Route::Public => vec![Json::map(fields)],
    };
    let tenant = vec![
        ("name", Json::text("growers")),
        ("api-keys", Json::List(vec![Json::text(KEY)])),
        ("weight", Json::number(100)),
    ];
    let service = vec![
        ("name", Json::text("lending-desk")),
        ("preconditions", Json::Bool(false)),
    ];
    Json::map(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![Json::map(service)])),
        ("tenants", Json::List(vec![Json::map(tenant)])),
        (
            "limits",
            Json::map(vec![("max-body-bytes", Json::number(262_144))]),
        ),
    ])
}

impl Daemon {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, dir: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/pomelotided")
            .args(["--config", &self.settings])
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/pomelotided");
        // run.sh ends these processes, should this one end before them.
        let ids = File::options()
            .create(true)
            .append(true)
            .open(format!("{dir}/ids"));
        use std::io::Write;
        let _ = ids.map(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Site {
    /// Starts the platform, the workers and the daemons; settings and logs go into `dir`.
    pub fn start(dir: &str, record: Arc<Record>) -> Self {
        Self::start_with_ids(dir, record, "i-")
    }

    /// As [`Site::start`], with workers whose ids begin with `id_prefix`.
    pub fn start_with_ids(dir: &str, record: Arc<Record>, id_prefix: &str) -> Self {
        let store = Store::new();
        let fleet = Fleet::new(&ZONES, id_prefix, record.clone());
        let mut links = Vec::new();
        let mut path = |from: usize, to: End| {
            let is_near = to.zone().is_none_or(|zone| zone == from);
            let path = Path::new(if is_near {
                Duration::ZERO
            } else {
                ACROSS_ZONES
            });
            links.push(Link {
                path: path.clone(),
                from,
                to,
            });
            path
        };
        let peers: Vec<SocketAddr> = ZONES.iter().map(|_| free_address()).collect();
        let mut workers: Vec<Vec<SocketAddr>> = Vec::new();
        let mut daemons = Vec::new();
        let channels: Vec<Channels> = (0..2 * ZONES.len())
            .map(|_| Channels::new(MAX_CHANNELS))
            .collect();
        for (at, zone) in ZONES.iter().enumerate() {
            let name = format!("edge-{zone}-1");
            let own_workers = (0..2 * ZONES.len()).map(|worker| {
                let (fleet, name) = (fleet.clone(), name.clone());
                http::serve(
                    path(at, End::Worker(worker)),
                    channels[worker].clone(),
                    move |call| fleet.call(&name, worker, &call),
                )
            });
            workers.push(own_workers.collect());
            let mut view = Vec::new();
            for (other, address) in peers.iter().enumerate().filter(|(other, _)| *other != at) {
                let shown = http::forward(path(at, End::Daemon(other)), *address);
                view.push((address.to_string(), shown.to_string()));
            }
            for (first, own) in workers[0].iter().zip(&workers[at]) {
                view.push((first.to_string(), own.to_string()));
            }
            assert!(
                view.iter().all(|(own, shown)| own.len() == shown.len()),
                "ports of five digits"
            );
            let (own_store, own_name, own_record) = (store.clone(), name.clone(), record.clone());
            let answer = move |call| own_store.call(&own_name, &call, &view, &own_record);
            let address = http::serve(path(at, End::Store), Channels::new(1_000), answer);
            let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
            let settings = format!("{dir}/{name}.ini");
            // As deploy/daemon.ini renders the settings of a host of the site.
            let text = format!(
                "[daemon]\nname = {name}\ndomain = {zone}\ncallers = {callers}\npeers = {}\ndrain_grace = 6s\n\n\
                 [platform]\naddress = {address}\n\n\
                 [cell]\nreadiness = {readiness}\nmetrics = {metrics}\ncpu_share = 0.25\nmax_lease = {MAX_HOLD_MS}ms\n\
                 revoke = 5000ms\nretention = 120s\nmax_row_bytes = 65536\n",
                peers[at]
            );
            fs::write(&settings, text).expect("settings");
            let log = format!("{dir}/{name}.log");
            let child = None;
            daemons.push(Daemon {
                name,
                child,
                settings,
                log,
                callers,
                readiness,
            });
        }
        store.put("op", "config", Some(&desired_state(1, Route::Keyed)));
        let entry = |at: usize| fleet.entry(at, &workers[0][at].to_string());
        let entries: Vec<(String, Json)> = (0..2 * ZONES.len()).map(entry).collect();
        for (id, entry) in &entries {
            store.put("servers", id, Some(entry));
        }
        for daemon in &mut daemons {
            daemon.start(dir);
        }
        Self {
            record,
            store,
            fleet,
            daemons,
            links,
            entries,
        }
    }

    /// Waits until `holds`, for at most `wait_s`; the workers go on meanwhile.
    pub fn wait(&self, wait_s: f64, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(wait_s);
        loop {
            self.fleet.advance();
            if holds() {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let wait = Duration::from_millis(500);
        let to = self.daemons[at].readiness;
        let answer = http::call(to, "GET", "/pomelotide/readyz", "x", "", "", wait);
        matches!(answer, Some((200, _)))
    }

    /// Writes a version of the desired state as the operator does.
    pub fn set_route(&self, version: u64, route: Route) {
        self.store
            .put("op", "config", Some(&desired_state(version, route)));
        self.record.line(&format!(
            "operator: version {version} of the desired state, route {route:?}"
        ));
    }

    /// Makes a call without a key, as clients do where the route is public.
    pub fn client_without_key(&self, at: usize, method: &str, id: &str) -> Option<(u16, Json)> {
        self.send(at, method, id, "", "", Duration::from_millis(3_000))
    }

    /// Makes a client's call to a daemon; clients reach every zone all the while.
    pub fn client(&self, at: usize, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        self.client_for(at, method, id, body, Duration::from_millis(3_000))
    }

    /// Makes the call of a client that leaves after `wait`.
    pub fn client_for(
        &self,
        at: usize,
        method: &str,
        id: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, Json)> {
        self.send(at, method, id, body, KEY, wait)
    }

    fn send(
        &self,
        at: usize,
        method: &str,
        id: &str,
        body: &str,
        key: &str,
        wait: Duration,
    ) -> Option<(u16, Json)> {
        let path = format!("{PREFIX}{id}");
        let answer = http::call(
            self.daemons[at].callers,
            method,
            &path,
            HOST,
            key,
            body,
            wait,
        );
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_string(),
        };
        let name = &self.daemons[at].name;
        let with = if key.is_empty() { " without a key" } else { "" };
        self.record.line(&format!(
            "client: {method} {path} {body}{with} at {name}: {shown}"
        ));
        answer
    }

    pub fn state(&self, at: usize, id: &str) -> String {
        let answer = self.client(at, "GET", id, "");
        answer.map_or(String::new(), |(_, body)| {
            body.get("state").str().to_string()
        })
    }

    /// Cuts a zone off from the other zones and from the platform, or ends the cut.
    pub fn cut_zone(&self, zone: usize, cut: bool) {
        let what = if cut { "is cut off" } else { "is back" };
        self.record
            .line(&format!("network: zone {} {what}", ZONES[zone]));
        for link in &self.links {
            if (link.from == zone) != (link.to.zone() == Some(zone)) {
                link.path.cut(cut);
            }
        }
    }

    /// Cuts a worker off from all daemons, or ends the cut; it runs on.
    pub fn cut_worker(&self, at: usize, cut: bool) {
        let what = if cut { "is cut off" } else { "is back" };
        self.record.line(&format!("network: worker i-{at} {what}"));
        for link in self.links.iter().filter(|link| link.to == End::Worker(at)) {
            link.path.cut(cut);
        }
    }

    /// Removes the entries of a zone's workers, as after three heartbeats of silence, or restores them.
    pub fn list_workers(&self, zone: usize, listed: bool) {
        for (id, entry) in &self.entries[2 * zone..2 * zone + 2] {
            self.store.put("servers", id, listed.then_some(entry));
        }
        let what = if listed { "listed again" } else { "lapsed" };
        self.record
            .line(&format!("store: entries of {} {what}", ZONES[zone]));
    }

    pub fn entry_lapse() -> Duration {
        3 * HEARTBEAT
    }
}
