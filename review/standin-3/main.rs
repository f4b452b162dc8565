//! A stand-in of the platform for one script: the store, workers, clients and the starter of the daemons.
//!
//! Usage: standin SCENARIO PROGRAM FOLDER, with TROUBLE=0 for the same without the disruption.
//! Ends with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.

mod http;
mod json;
mod link;
mod store;
mod worker;

use http::{Request, Server};
use json::{number, object, parse, text, Json};
use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{exit, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use store::Store;
use worker::{Durations, History, Worker};

extern "C" {
    fn prctl(option: i32, argument: usize) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

const KEY: &str = "6x73d3zji9n73hh2b9wu";
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const BEAT: Duration = Duration::from_millis(1_500);
/// A worker has 16 cores and 32 GB.
const WORKER_CPU: u64 = 16_000;
const WORKER_MB: u64 = 32_768;

/// The machines of a deployment.
struct Machines {
    daemons: usize,
    workers: usize,
    cpu_share: &'static str,
    memory_mb: u64,
    max_fds: u64,
    /// The rate of a machine's link to the store, if it is to be kept to.
    link_mbps: Option<u64>,
}

struct Daemon {
    name: String,
    frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A submission of a client.
struct Job {
    id: String,
    tasks: u64,
    cpu: u64,
    status: Option<u16>,
}

struct World {
    store: Arc<Store>,
    workers: Vec<(Arc<Worker>, Server)>,
    history: History,
    durations: Durations,
    daemons: Vec<Daemon>,
    program: String,
    record: File,
    started: Instant,
    /// Ids of workers whose beats have ended, and when their entries go.
    beating: Arc<Mutex<BTreeMap<String, bool>>>,
    over: Arc<AtomicBool>,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

fn entry(worker: &Worker, address: SocketAddr, zone: &str, rack: usize, sequence: u64) -> Json {
    object([
        ("service", text("huvo11a")),
        ("address", text(address.to_string())),
        ("zone", text(zone)),
        ("version", text("v1")),
        ("capacity", number(8)),
        ("state", text("ready")),
        ("cold-remaining-ms", number(0)),
        (
            "free-capacity",
            object([
                ("cpu", number(WORKER_CPU)),
                ("mem-mb", number(WORKER_MB)),
                ("gpu", number(0)),
            ]),
        ),
        (
            "labels",
            Json::List(vec![text("a"), text(format!("r1-{rack}"))]),
        ),
        ("born", number(worker.born)),
        ("sequence", number(sequence)),
    ])
}

fn desired_state(version: u64) -> Json {
    object([
        ("version", number(version)),
        (
            "routes",
            Json::List(vec![object([
                ("name", text("r-ruddede")),
                ("host", text(HOST)),
                ("path-prefix", text(PREFIX)),
                ("kind", text("non_idempotent")),
                ("timeout-ms", number(3_000)),
                ("target-latency-ms", number(3_000)),
                ("priority", number(1)),
                ("service", text("huvo11a")),
                ("max-attempts", number(4)),
                ("slack-factor", Json::Number(2.2)),
                ("public", Json::Bool(false)),
            ])]),
        ),
        (
            "services",
            Json::List(vec![object([
                ("name", text("huvo11a")),
                ("health-path", text("/healthz")),
                ("max-connections", number(64)),
                ("preconditions", Json::Bool(false)),
                ("standby", Json::Bool(false)),
            ])]),
        ),
        (
            "limits",
            object([
                ("max-header-bytes", number(16_384)),
                ("max-body-bytes", number(262_144)),
                ("header-timeout-ms", number(3_000)),
                ("idle-timeout-ms", number(15_000)),
            ]),
        ),
        (
            "tenants",
            Json::List(vec![object([
                ("name", text("kaje80")),
                ("api-keys", Json::List(vec![text(KEY)])),
                ("priority", number(1)),
                ("weight", number(32)),
                (
                    "cap",
                    object([
                        ("cpu", number(0)),
                        ("mem-mb", number(0)),
                        ("gpu", number(0)),
                    ]),
                ),
            ])]),
        ),
    ])
}

impl World {
    fn new(program: &str, folder: &str, zones: &[&str], machines: &Machines) -> World {
        let (daemons, workers) = (machines.daemons, machines.workers);
        let record =
            File::create(format!("{folder}/record.txt")).expect("the record can be written");
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        let store = Arc::new(Store::new());
        let own = store.clone();
        let platform = Server::start(
            "127.0.0.1",
            Arc::new(move |request: Request| own.handle(&request)),
        );
        let (history, durations) = (History::default(), Durations::default());
        let mut list = Vec::new();
        let beating = Arc::new(Mutex::new(BTreeMap::new()));
        let over = Arc::new(AtomicBool::new(false));
        for at in 0..workers {
            let id = format!("i-7f3a91{at:02x}");
            let worker = Arc::new(Worker::new(&id, unix, &history, &durations));
            let own = worker.clone();
            let server = Server::start(
                "127.0.0.1",
                Arc::new(move |request: Request| own.handle(&request)),
            );
            beating.lock().unwrap().insert(id, true);
            let (beat, address, zone) = (
                worker.clone(),
                server.address,
                zones[at % zones.len()].to_string(),
            );
            let (store, alive, ended) = (store.clone(), beating.clone(), over.clone());
            thread::spawn(move || {
                let (mut sequence, mut missed) = (0, 0);
                while !ended.load(Ordering::Relaxed) && missed < 3 {
                    if alive.lock().unwrap()[&beat.id] {
                        sequence += 1;
                        let value = entry(&beat, address, &zone, at / 8, sequence);
                        store.put("servers", &beat.id, Some(&value));
                    } else {
                        missed += 1;
                    }
                    sleep(BEAT);
                }
                if missed == 3 {
                    // Three intervals of silence.
                    store.put("servers", &beat.id, None);
                }
            });
            let (own, ended) = (worker.clone(), over.clone());
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    own.advance();
                    sleep(Duration::from_millis(5));
                }
            });
            list.push((worker, server));
        }
        store.put("op", "config", Some(&desired_state(7)));
        let folder = std::env::temp_dir().join(format!("pomelotide-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let template =
            std::fs::read_to_string("deploy/daemon.ini").expect("the settings' template");
        let mut started = Vec::new();
        for at in 0..daemons {
            // Each daemon has an address of its own, since the port of its metrics is fixed.
            let ip = format!(
                "127.{}.{}.{}",
                16 + std::process::id() % 200,
                at / 3 + 1,
                10 + at % 3
            );
            let zone = zones[at % zones.len()];
            let name = format!("edge-{zone}-{}", at / zones.len() + 1);
            let address = |port: u16| format!("{ip}:{port}");
            let store = match machines.link_mbps {
                Some(rate) => link::start(platform.address, rate),
                None => platform.address,
            };
            let (frontend, readiness) = (address(free_port(&ip)), address(free_port(&ip)));
            let values = [
                ("node", name.clone()),
                ("zone", zone.to_string()),
                ("bind-addrs.frontend", frontend.clone()),
                ("bind-addrs.readiness", readiness.clone()),
                ("ip", ip.clone()),
                ("internal-ports.0", free_port(&ip).to_string()),
                ("bounds.grace-s", "6".into()),
                ("platform.address", store.to_string()),
                ("limits.cpu-share", machines.cpu_share.into()),
                ("limits.memory-mb", machines.memory_mb.to_string()),
                ("limits.max-fds", machines.max_fds.to_string()),
                ("bounds.max-hold-ms", "10000".into()),
                ("bounds.revoke-ms", "5000".into()),
                ("bounds.status_s", "120".into()),
                ("platform.row-bytes", "65536".into()),
            ];
            let settings = folder.join(format!("{name}.ini"));
            std::fs::write(&settings, render(&template, &values))
                .expect("the settings can be written");
            started.push(Daemon {
                frontend: frontend.parse().expect("an address"),
                readiness: readiness.parse().expect("an address"),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            });
        }
        let mut world = World {
            store,
            workers: list,
            history,
            durations,
            daemons: started,
            program: program.into(),
            record,
            started: Instant::now(),
            beating,
            over,
        };
        for at in 0..daemons {
            world.start(at);
        }
        world
    }

    fn note(&mut self, line: &str) {
        let line = format!("{:7.3} s  {line}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    fn start(&mut self, at: usize) {
        let program = self.program.clone();
        let daemon = &mut self.daemons[at];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .expect("a log");
        let mut command = Command::new(program);
        command
            .arg("--config")
            .arg(&daemon.settings)
            .env_clear()
            .stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        // A daemon ends with the stand-in, however that ends.
        // SAFETY: the call takes two numbers and is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => daemon.child = Some(child),
            Err(error) => self.give_up(&format!("a daemon can't be started: {error}")),
        }
    }

    /// Kills a daemon with SIGKILL.
    fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.daemons[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn end(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for at in 0..self.daemons.len() {
            self.kill(at);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            if let Some(folder) = self.daemons[0].settings.parent() {
                let _ = std::fs::remove_dir_all(folder);
            }
        }
    }

    fn give_up(&mut self, why: &str) -> ! {
        self.note(&format!("the case could not run: {why}"));
        self.end();
        exit(2);
    }

    /// Waits until all daemons report that they are ready.
    fn await_ready(&mut self) {
        for _ in 0..200 {
            let is_ready = |daemon: &Daemon| {
                let timeout = Duration::from_millis(500);
                let answer = http::call(
                    daemon.readiness,
                    "GET",
                    "/pomelotide/readyz",
                    &[],
                    "",
                    timeout,
                );
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.daemons.iter().all(is_ready) {
                return;
            }
            sleep(Duration::from_millis(50));
        }
        self.give_up("the daemons are not ready after 10 s");
    }

    /// Returns the daemon that wrote to the store under a condition last: the holder of the leadership's row.
    fn leader(&self) -> Option<usize> {
        let rows = self.store.table("leadership");
        let (_, _, bytes) = rows.into_iter().find(|(key, ..)| key == "term")?;
        let holds = |daemon: &Daemon| {
            let name = daemon.name.as_bytes();
            bytes.windows(name.len()).any(|part| part == name)
        };
        self.daemons.iter().position(holds)
    }

    fn client(&self, daemon: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", &*key),
            ("Deadline-Ms", "3000"),
        ];
        let timeout = Duration::from_millis(3_000);
        http::call(
            self.daemons[daemon].frontend,
            method,
            &format!("{PREFIX}{id}"),
            &headers,
            body,
            timeout,
        )
    }

    /// Hands a submission of one step in, with retries at other daemons.
    fn submit(&mut self, at: usize, tasks: u64, cpu: u64, work: Duration) -> Job {
        let id = format!("5c0e7a21d94b{:04x}", 0x3600 + at);
        self.durations.lock().unwrap().insert(id.clone(), work);
        let step = object([
            ("count", number(tasks)),
            ("cpu", number(cpu)),
            ("mem-mb", number(1_024)),
            ("estimated-ms", number(work.as_millis() as u64)),
        ]);
        let body = object([
            ("spec", text(format!("text {at}"))),
            ("steps", Json::List(vec![step])),
        ])
        .encoded();
        let mut status = None;
        for attempt in 0..4 {
            let daemon = (at + attempt) % self.daemons.len();
            status = self
                .client(daemon, "POST", &id, &body)
                .map(|(status, _)| status);
            let name = self.daemons[daemon].name.clone();
            self.note(&format!("POST {id} ({tasks} tasks) at {name}: {status:?}"));
            if status == Some(200) {
                break;
            }
        }
        Job {
            id,
            tasks,
            cpu,
            status,
        }
    }

    fn state(&self, daemon: usize, id: &str) -> String {
        match self.client(daemon, "GET", id, "") {
            Some((200, body)) => {
                parse(body.as_bytes()).map_or("?".into(), |body| body.get("state").text().into())
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        }
    }

    /// Returns how many tasks of a submission have ended done and how many run now.
    fn progress(&self, job: &Job) -> (u64, u64) {
        let history = self.history.lock().unwrap();
        let prefix = format!("{}.", job.id);
        let own = history.iter().filter(|seen| seen.task.starts_with(&prefix));
        let (mut done, mut running) = (std::collections::BTreeSet::new(), 0);
        for seen in own {
            match seen.end {
                Some((_, "done")) => {
                    done.insert(seen.task.clone());
                }
                None => running += 1,
                _ => {}
            }
        }
        (done.len() as u64, running)
    }

    fn write_runs(&mut self) {
        let mut lines: Vec<(Instant, String)> = Vec::new();
        for seen in self.history.lock().unwrap().iter() {
            let at = |time: Instant| time.duration_since(self.started).as_secs_f64();
            let end = match seen.end {
                Some((time, how)) => format!("{:.3} s {how}", at(time)),
                None => "runs".into(),
            };
            let line = format!(
                "run {} {} on {}: {:.3} s to {end}",
                seen.task,
                seen.run,
                seen.worker,
                at(seen.begin)
            );
            lines.push((seen.begin, line));
        }
        for (_, line) in lines {
            let _ = writeln!(self.record, "{line}");
        }
    }
}

/// Fills the settings' template in.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut out = String::new();
    // Sections whose field is given are kept once, others are left out.
    let mut rest = template;
    while let Some(begin) = rest.find("{{#") {
        out += &rest[..begin];
        let after = &rest[begin + 3..];
        let close = after.find("}}").unwrap_or(after.len());
        let name = &after[..close];
        let end_mark = format!("{{{{/{name}}}}}");
        let inside = &after[close + 2..];
        let end = inside.find(&end_mark).unwrap_or(inside.len());
        if let Some((_, value)) = values.iter().find(|(own, _)| *own == name) {
            out += &inside[..end].replace("{{.}}", value);
        }
        rest = &inside[(end + end_mark.len()).min(inside.len())..];
    }
    out += rest;
    for (name, value) in values {
        out = out.replace(&format!("{{{{{name}}}}}"), value);
    }
    out
}

/// A worker is lost for good while the last submissions run; 4.4 s later the daemon that leads is killed.
/// `finish_s` (14) after the last call of a client, each submission that isn't done must not stand still for
/// 3 s while there is room for it.
fn handover(world: &mut World, has_trouble: bool) -> bool {
    world.await_ready();
    sleep(Duration::from_secs(2));
    let mut jobs = Vec::new();
    for at in 0..6 {
        jobs.push(world.submit(at, 4, 4_500, Duration::from_millis(6_200)));
        sleep(Duration::from_millis(150));
    }
    if jobs.iter().any(|job| job.status != Some(200)) {
        world.give_up("a submission was not accepted");
    }
    let traffic_end = Instant::now();
    world.note("the traffic ends");
    sleep(Duration::from_millis(400));
    if has_trouble {
        let counts: Vec<usize> = world
            .workers
            .iter()
            .map(|(worker, _)| worker.run_count())
            .collect();
        let at = (0..counts.len()).max_by_key(|at| counts[*at]).unwrap_or(0);
        let (worker, server) = (&world.workers[at].0.clone(), &world.workers[at].1);
        worker.crash();
        server.crash();
        world
            .beating
            .lock()
            .unwrap()
            .insert(worker.id.clone(), false);
        world.note(&format!(
            "worker {} is lost for good, with {} runs",
            worker.id, counts[at]
        ));
        sleep(Duration::from_millis(4_400));
        let Some(leader) = world.leader() else {
            world.give_up("no daemon leads")
        };
        world.kill(leader);
        let name = world.daemons[leader].name.clone();
        world.note(&format!(
            "daemon {name}, which wrote to the store under a condition last, is killed"
        ));
        sleep(Duration::from_millis(1_000));
        world.start(leader);
        world.note(&format!("daemon {name} is started again"));
    }
    let finish = traffic_end + Duration::from_secs(14);
    let mut idle_since: BTreeMap<String, Instant> = BTreeMap::new();
    let mut broken = false;
    let mut asked = false;
    while Instant::now() < finish + Duration::from_secs(16) {
        sleep(Duration::from_millis(20));
        let now = Instant::now();
        if now < finish {
            continue;
        }
        if !std::mem::replace(&mut asked, true) {
            for at in 0..jobs.len() {
                let state = world.state(at % world.daemons.len(), &jobs[at].id);
                let (done, running) = world.progress(&jobs[at]);
                let id = jobs[at].id.clone();
                let line = format!("GET {id}: {state}; {done} tasks done, {running} run");
                world.note(&line);
            }
        }
        let used: u64 = jobs.iter().map(|job| world.progress(job).1 * job.cpu).sum();
        let room: u64 = world
            .workers
            .iter()
            .filter(|(worker, _)| worker.is_up())
            .map(|_| WORKER_CPU)
            .sum();
        let mut all_done = true;
        for job in &jobs {
            let (done, running) = world.progress(job);
            all_done &= done == job.tasks;
            let waits = done < job.tasks && running == 0;
            // Room for it twice over, and under half of the service's room in use.
            let could_run = used * 2 < room && room - used >= 2 * job.cpu * (job.tasks - done);
            if !waits || !could_run {
                idle_since.remove(&job.id);
                continue;
            }
            let since = *idle_since.entry(job.id.clone()).or_insert(now);
            if now.duration_since(since) >= Duration::from_secs(3) && !broken {
                broken = true;
                let id = job.id.clone();
                let line = format!(
                    "BROKEN (LOST): {id} has had nothing running for 3 s, {done} of {} tasks done; {used} of {room} \
                     thousandths of a core are in use",
                    job.tasks
                );
                world.note(&line);
            }
        }
        if all_done {
            break;
        }
    }
    for at in 0..jobs.len() {
        let state = world.state((at + 1) % world.daemons.len(), &jobs[at].id);
        let line = format!("GET {}: {state}", jobs[at].id);
        world.note(&line);
    }
    broken
}

/// The least that `load` writes of the submissions handed in.
struct Sent {
    id: String,
    status: Option<u16>,
    at: Instant,
}

/// Clients hand submissions in at the rate of a deployment for 32 s. 2 s before they end, the daemon that leads
/// is killed; it starts again a second later. The links of the daemons to the store have the rate that the
/// deployment's page gives. `finish_s` (14) after the last call of a client, a submission that isn't done must
/// not stand still for 3 s while there is room for it.
fn load(world: &mut World, has_trouble: bool) -> bool {
    const RATE: u64 = 96;
    const CLIENTS: u64 = 16;
    const TASKS: u64 = 2;
    const CPU: u64 = 1_400;
    world.await_ready();
    sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let traffic = Duration::from_secs(32);
    let kill_at = begin + traffic - Duration::from_secs(2);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let frontends: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.frontend).collect();
    let work = Duration::from_millis(500);
    let step = object([
        ("count", number(TASKS)),
        ("cpu", number(CPU)),
        ("mem-mb", number(1_024)),
        ("estimated-ms", number(work.as_millis() as u64)),
    ]);
    let body = object([
        ("spec", text("x".repeat(150))),
        ("steps", Json::List(vec![step])),
    ])
    .encoded();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (sent, frontends, body) = (sent.clone(), frontends.clone(), body.clone());
            let durations = world.durations.clone();
            thread::spawn(move || {
                let mut call = 0;
                while begin.elapsed() < traffic {
                    // The ids are spread like those that clients draw.
                    let number = (client << 32 | call).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                    let id = format!("{number:016x}");
                    durations.lock().unwrap().insert(id.clone(), work);
                    let key = format!("Bearer {KEY}");
                    let headers = [
                        ("Host", HOST),
                        ("Authorization", &*key),
                        ("Deadline-Ms", "3000"),
                    ];
                    let mut status = None;
                    for attempt in 0..4 {
                        let daemon = (client + call + attempt) as usize % frontends.len();
                        let path = format!("{PREFIX}{id}");
                        let timeout = Duration::from_millis(3_000);
                        let answer =
                            http::call(frontends[daemon], "POST", &path, &headers, &body, timeout);
                        status = answer.map(|(status, _)| status);
                        if status == Some(200) {
                            break;
                        }
                        sleep(Duration::from_millis(100));
                    }
                    sent.lock().unwrap().push(Sent {
                        id,
                        status,
                        at: Instant::now(),
                    });
                    call += 1;
                    let due = begin + Duration::from_micros(1_000_000 * CLIENTS / RATE * call);
                    sleep(due.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    sleep(kill_at.saturating_duration_since(Instant::now()));
    let line = format!(
        "{} submissions were handed in so far",
        sent.lock().unwrap().len()
    );
    world.note(&line);
    if has_trouble {
        let Some(leader) = world.leader() else {
            world.give_up("no daemon leads")
        };
        world.kill(leader);
        let name = world.daemons[leader].name.clone();
        world.note(&format!(
            "daemon {name}, which wrote to the store under a condition last, is killed"
        ));
        sleep(Duration::from_secs(1));
        world.start(leader);
        world.note(&format!("daemon {name} is started again"));
    }
    for client in clients {
        let _ = client.join();
    }
    let traffic_end = Instant::now();
    let sent = std::mem::take(&mut *sent.lock().unwrap());
    let accepted: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.status == Some(200))
        .collect();
    let line = format!(
        "the traffic ends: {} submissions handed in, {} accepted",
        sent.len(),
        accepted.len()
    );
    world.note(&line);
    if accepted.len() < 2_500 {
        world.give_up("too few submissions were accepted");
    }
    let finish = traffic_end + Duration::from_secs(14);
    sleep(finish.saturating_duration_since(Instant::now()));
    let room: u64 = world
        .workers
        .iter()
        .filter(|(worker, _)| worker.is_up())
        .map(|_| WORKER_CPU)
        .sum();
    let mut idle_since: BTreeMap<String, Instant> = BTreeMap::new();
    let mut broken = false;
    while Instant::now() < finish + Duration::from_secs(10) {
        let mut counts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut used = 0;
        for seen in world.history.lock().unwrap().iter() {
            let id = seen.task.split('.').next().unwrap_or("").to_string();
            let count = counts.entry(id).or_default();
            match seen.end {
                Some((_, "done")) => count.0 += 1,
                None => {
                    count.1 += 1;
                    used += CPU;
                }
                _ => {}
            }
        }
        let now = Instant::now();
        let (mut undone, mut still) = (0, 0);
        for job in &accepted {
            let (done, running) = counts.get(&job.id).copied().unwrap_or_default();
            undone += usize::from(done < TASKS);
            let could_run = used * 2 < room && room - used >= 2 * CPU * TASKS;
            if done >= TASKS || running > 0 || !could_run {
                idle_since.remove(&job.id);
                continue;
            }
            let since = *idle_since.entry(job.id.clone()).or_insert(now);
            still += usize::from(now.duration_since(since) >= Duration::from_secs(3));
        }
        if still > 0 && !broken {
            broken = true;
            let line = format!(
                "BROKEN (LOST): {still} accepted submissions have had nothing running for 3 s; {undone} of {} are not \
                 done; {used} of {room} thousandths of a core are in use",
                accepted.len()
            );
            world.note(&line);
        }
        if undone == 0 {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let began = world.started;
    let at = |time: Instant| time.duration_since(began).as_secs_f64();
    let last_start = world
        .history
        .lock()
        .unwrap()
        .iter()
        .map(|seen| seen.begin)
        .max();
    let line = format!("the last task began at {:.3} s", last_start.map_or(0.0, at));
    world.note(&line);
    let mut runs: BTreeMap<String, String> = BTreeMap::new();
    for seen in world.history.lock().unwrap().iter() {
        let id = seen.task.split('.').next().unwrap_or("").to_string();
        let end = seen.end.map_or("runs".into(), |(time, how)| {
            format!("{:.2} {how}", at(time))
        });
        *runs.entry(id).or_default() += &format!(
            "; {} {} on {}: {:.2} to {end}",
            &seen.task[16..],
            seen.run,
            seen.worker,
            at(seen.begin)
        );
    }
    for sent in &sent {
        let runs = runs.get(&sent.id).map_or("; not run", |runs| runs);
        let _ = writeln!(
            world.record,
            "POST {}: {:?} at {:.2}{runs}",
            sent.id,
            sent.status,
            at(sent.at)
        );
    }
    let last: Vec<(String, Instant)> = accepted
        .iter()
        .rev()
        .take(12)
        .map(|job| (job.id.clone(), job.at))
        .collect();
    for (at, (id, accepted_at)) in last.iter().enumerate() {
        let state = world.state(at % world.daemons.len(), id);
        let accepted_at = accepted_at.duration_since(world.started).as_secs_f64();
        world.note(&format!(
            "GET {id}, accepted at {accepted_at:.3} s: {state}"
        ));
    }
    broken
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, program, folder] = &args[..] else {
        eprintln!("usage: standin SCENARIO PROGRAM FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let zones = ["saiss", "ifrane", "sefrou"];
    let broken = match scenario.as_str() {
        "handover" => {
            let machines = Machines {
                daemons: 6,
                workers: 12,
                cpu_share: "0.25",
                memory_mb: 260,
                max_fds: 4_100,
                link_mbps: None,
            };
            let mut world = World::new(program, folder, &zones, &machines);
            let broken = handover(&mut world, has_trouble);
            world.write_runs();
            world.note(if broken {
                "the rule is broken"
            } else {
                "the rule holds"
            });
            world.end();
            broken
        }
        "load" => {
            let machines = Machines {
                daemons: 6,
                workers: 40,
                cpu_share: "0.3",
                memory_mb: 400,
                max_fds: 10_250,
                link_mbps: Some(10),
            };
            let mut world = World::new(
                program,
                folder,
                &["poznan-a", "poznan-b", "gniezno"],
                &machines,
            );
            let broken = load(&mut world, has_trouble);
            world.note(if broken {
                "the rule is broken"
            } else {
                "the rule holds"
            });
            world.end();
            broken
        }
        _ => exit(2),
    };
    exit(i32::from(broken));
}
