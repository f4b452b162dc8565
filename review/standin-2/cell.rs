//! A small deployment: the daemons as processes, the store, the workers and a client.

use crate::{
    http::{self, Server},
    json::Json,
    record::Record,
    store::{Mode, Store},
    worker::{Kind, Plan, Worker},
};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// The key of the only tenant.
pub const KEY: &str = "key-of-orchard";
/// The queue's address.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/desk/";
/// The name of its route.
pub const ROUTE: &str = "r-desk";
/// The time of one transaction at the store.
const TX_TIME: Duration = Duration::from_millis(3);

pub struct Daemon {
    settings: PathBuf,
    log: PathBuf,
    pub frontend: SocketAddr,
    child: Option<Child>,
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
    pub workers: Vec<Arc<Worker>>,
    folder: PathBuf,
    program: String,
    _server: Server,
}

/// Returns free loopback addresses, all different.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Daemon {
    fn start(&mut self, program: &str) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("--config")
            .arg(&self.settings)
            .env("POMELOTIDE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cell {
    /// Starts the store, workers with these kinds, and daemons; waits until the daemons serve.
    pub fn start(
        record: Arc<Record>,
        daemons: usize,
        workers: &[Kind],
        max_attempts: u32,
        plan: Plan,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("pomelotide-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::new(TX_TIME));
        let addresses = free_addresses(1 + workers.len() + 4 * daemons)?;
        let own = store.clone();
        let server = Server::start(addresses[0], move |call| own.handle(&call))?;
        store.put("op", "config", Some(&desired_state(1, max_attempts, &[ROUTE])));
        let mut started = Vec::new();
        for (at, kind) in workers.iter().enumerate() {
            let id = format!("i-worker-{at}");
            let address = addresses[1 + at];
            started.push(Worker::start(&id, address, kind.clone(), plan.clone(), &store, &record)?);
        }
        let program = std::env::var("POMELOTIDED").unwrap_or("target/release/pomelotided".into());
        let mut cell = Self {
            record,
            store,
            daemons: Vec::new(),
            workers: started,
            folder,
            program,
            _server: server,
        };
        for at in 0..daemons {
            let own = &addresses[1 + workers.len() + 4 * at..][..4];
            let settings = cell.folder.join(format!("edge-{at}.ini"));
            fs::write(&settings, settings_text(at, addresses[0], own))?;
            let log = cell.folder.join(format!("edge-{at}.log"));
            cell.daemons.push(Daemon { settings, log, frontend: own[0], child: None });
        }
        cell.start_daemons()?;
        cell.await_service()?;
        Ok(cell)
    }

    pub fn start_daemons(&mut self) -> io::Result<()> {
        let count = self.daemons.len();
        self.record.write(format!("{count} daemons are started"));
        for daemon in &mut self.daemons {
            daemon.start(&self.program)?;
        }
        Ok(())
    }

    pub fn kill_daemons(&mut self) {
        self.record.write("all daemons are killed".into());
        for daemon in &mut self.daemons {
            daemon.kill();
        }
    }

    /// Waits until a daemon answers the count of the queue, which a leader has to have reported.
    fn await_service(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let answers = self.daemons.iter().map(|daemon| self.call(daemon.frontend, "GET", "", ""));
            if answers.filter(|answer| answer.0 == 200).count() == self.daemons.len() {
                // Every worker has been polled by then.
                thread::sleep(Duration::from_millis(1_500));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the daemons do not serve"))
    }

    fn call(&self, to: SocketAddr, method: &str, id: &str, body: &str) -> (u16, String) {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", key.as_str()),
            ("Deadline-Ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let timeout = Duration::from_millis(3_000);
        http::call(to, method, &path, &headers, body, timeout).unwrap_or((0, String::new()))
    }

    /// Makes a client's call, at one daemon after another until there is a definite answer.
    pub fn client(&self, method: &str, id: &str, body: &str) -> (u16, String) {
        let mut last = (0, String::new());
        for daemon in self.daemons.iter().cycle().take(4 * self.daemons.len()) {
            last = self.call(daemon.frontend, method, id, body);
            self.record.write(format!("client: {method} {id} {body} -> {} {}", last.0, last.1));
            if !matches!(last.0, 0 | 429 | 502 | 503 | 504) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Returns the state of a submission that a client is shown.
    pub fn state(&self, id: &str) -> String {
        let (status, body) = self.client("GET", id, "");
        match status {
            200 => Json::parse(&body).get("state").text().to_string(),
            status => status.to_string(),
        }
    }

    /// Writes a version of the desired state with a route of each of these names.
    pub fn operate(&self, version: u64, max_attempts: u32, names: &[&str]) {
        self.record.write(format!("the operator writes version {version} with the routes {names:?}"));
        self.store.put("op", "config", Some(&desired_state(version, max_attempts, names)));
    }

    /// Returns the count of the queue that each daemon answers.
    pub fn counts(&self) -> Vec<(u16, u64)> {
        let answers = self.daemons.iter().map(|daemon| {
            let (status, body) = self.call(daemon.frontend, "GET", "", "");
            self.record.write(format!("client: GET {PREFIX} -> {status} {body}"));
            (status, Json::parse(&body).get("queued-count").number())
        });
        answers.collect()
    }

    pub fn set_store_mode(&self, mode: Mode) {
        self.record.write(format!("the store is {mode:?}"));
        self.store.set_mode(mode);
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        match std::env::var("KEEP") {
            Ok(_) => eprintln!("logs: {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns the settings of a daemon: `deploy/daemon.ini` as the platform fills it in.
fn settings_text(at: usize, store: SocketAddr, own: &[SocketAddr]) -> String {
    format!(
        "[daemon]\nname = edge-z1-{at}\ndomain = z1\ncallers = {}\npeers = {}\ndrain_grace = 6s\n\n\
         [platform]\naddress = {store}\n\n\
         [cell]\nreadiness = {}\nmetrics = {}\ncpu_share = 0.25\nmax_lease = 10000ms\n\
         revoke = 5000ms\nretention = 120s\nmax_row_bytes = 65536\n",
        own[0], own[1], own[2], own[3]
    )
}

/// Returns a desired state with a queue at the same address for each of `names`, at most one; its tasks run on
/// the workers of the service `desk`.
fn desired_state(version: u64, max_attempts: u32, names: &[&str]) -> String {
    let routes = names.iter().map(|name| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path-prefix":"{PREFIX}","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":1000,"priority":1,"service":"desk","max-attempts":{max_attempts},"slack-factor":2.2,"public":false}}"#
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":64,"protocol":"h1","tls":false,"preconditions":false,"standby":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"orchard","api-keys":["{KEY}"],"weight":10,"cap":{{"cpu":0,"mem-mb":0,"gpu":0}}}}]}}"#
    )
}
