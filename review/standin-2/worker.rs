//! A stand-in for a worker: runs tasks for a while, lists them, and reports itself to the store.

use crate::{
    http::{Answer, Request, Server},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How often a worker reports itself to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The longest lease that a worker grants.
const MAX_HOLD_MS: u64 = 10_000;

/// How long a run takes and how it ends.
pub type Plan = Arc<dyn Fn(&str, u64) -> (Duration, &'static str) + Send + Sync>;

/// What differs between the boots of a worker.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub cpu_milli: u64,
    pub labels: Vec<&'static str>,
}

struct Run {
    number: u64,
    ends_at: Instant,
    how: &'static str,
}

struct Ended {
    at: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// The state of one boot.
struct Boot {
    kind: Kind,
    born: u64,
    started_at: Instant,
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that has ended or was stopped here.
    over: BTreeMap<String, u64>,
    finished: Vec<Ended>,
    last_end: u64,
    is_up: bool,
    sequence: u64,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    boot: Mutex<Boot>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    cut: Mutex<bool>,
    plan: Plan,
    record: Arc<Record>,
}

impl Boot {
    fn new(kind: Kind) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self {
            kind,
            born,
            started_at: Instant::now(),
            token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            is_up: true,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1_000
    }

    fn end(&mut self, task: &str, how: &'static str, id: &str, record: &Record) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        record.write(format!("run {task} {} on {id} ended {how}", run.number));
        record.on_end(id, task, run.number, how);
        self.over.insert(task.to_string(), run.number);
        let task = task.to_string();
        self.finished.push(Ended { at: self.last_end, task, run: run.number, how });
    }

    fn entry(&self, address: SocketAddr) -> String {
        let labels: Vec<String> = self.kind.labels.iter().map(|label| format!("\"{label}\"")).collect();
        format!(
            r#"{{"service":"{}","address":"{address}","zone":"z1","version":"v1","capacity":8,"state":"ready","cold-remaining-ms":0,"free-capacity":{{"cpu":{},"mem-mb":65536,"gpu":0}},"labels":[{}],"clock-ms":{},"sequence":{},"born":{}}}"#,
            self.kind.service,
            self.kind.cpu_milli,
            labels.join(","),
            self.clock_ms(),
            self.sequence,
            self.born
        )
    }
}

impl Worker {
    /// Starts a worker that reports itself to `store`.
    pub fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        plan: Plan,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id: id.to_string(),
            address,
            boot: Mutex::new(Boot::new(kind)),
            ended: Condvar::new(),
            server: Mutex::new(None),
            cut: Mutex::new(false),
            plan,
            record: record.clone(),
        });
        worker.serve()?;
        let own = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(4));
            own.end_due_runs();
        });
        let (own, store) = (worker.clone(), store.clone());
        thread::spawn(move || own.report(&store));
        Ok(worker)
    }

    fn serve(self: &Arc<Self>) -> io::Result<()> {
        let own = self.clone();
        let server = Server::start(self.address, move |call| own.handle(&call))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Reports itself to the store at each heartbeat, unless it is cut off from the store. The store removes
    /// the entry after three heartbeats of silence.
    fn report(&self, store: &Store) {
        let mut reported_at: Option<Instant> = None;
        let mut next_at = Instant::now();
        let mut last_born = 0;
        loop {
            thread::sleep(Duration::from_millis(10));
            let is_cut = *self.cut.lock().unwrap();
            let mut boot = self.boot.lock().unwrap();
            // A boot reports itself as soon as it can.
            let is_due = Instant::now() >= next_at || boot.born != last_born;
            if boot.is_up && !is_cut && is_due {
                boot.sequence += 1;
                if store.put("servers", &self.id, Some(&boot.entry(self.address))) {
                    last_born = boot.born;
                }
                // While the store is down, no silence of the worker counts.
                reported_at = Some(Instant::now());
                next_at = Instant::now() + HEARTBEAT;
            }
            drop(boot);
            if reported_at.is_some_and(|at| at.elapsed() > 3 * HEARTBEAT)
                && store.put("servers", &self.id, None)
            {
                self.record.write(format!("the entry of {} has expired", self.id));
                reported_at = None;
            }
        }
    }

    /// Cuts the worker off from the store, or ends the cut. Daemons reach it all the while.
    pub fn set_cut(&self, cut: bool) {
        self.record.write(match cut {
            true => format!("{} is cut off from the store", self.id),
            false => format!("{} reaches the store again", self.id),
        });
        *self.cut.lock().unwrap() = cut;
    }

    /// Ends the worker's process: its runs end, and its connections are closed.
    pub fn crash(&self) {
        let mut boot = self.boot.lock().unwrap();
        boot.is_up = false;
        for task in std::mem::take(&mut boot.runs).into_keys() {
            self.record.on_gone(&self.id, &task);
        }
        drop(boot);
        self.record.write(format!("{} crashes", self.id));
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Starts the worker again under its id and address, as a new boot.
    pub fn boot(self: &Arc<Self>, kind: Kind) -> io::Result<()> {
        self.record.write(format!("{} starts again, with {kind:?}", self.id));
        *self.boot.lock().unwrap() = Boot::new(kind);
        self.serve()
    }

    fn end_due_runs(&self) {
        let mut boot = self.boot.lock().unwrap();
        if !boot.is_up {
            return;
        }
        let now = Instant::now();
        let lapsed = boot.clock_ms() >= boot.lease_until_ms;
        let due = boot.runs.iter().filter(|(_, run)| run.ends_at <= now || lapsed);
        let due: Vec<(String, &'static str)> = due
            .map(|(task, run)| (task.clone(), if run.ends_at <= now { run.how } else { "lapsed" }))
            .collect();
        for (task, how) in &due {
            boot.end(task, how, &self.id, &self.record);
        }
        if !due.is_empty() {
            self.ended.notify_all();
        }
    }

    fn handle(&self, call: &Request) -> Answer {
        let mut boot = self.boot.lock().unwrap();
        if !boot.is_up {
            return None;
        }
        if call.path == "/healthz" {
            return Some((200, "{}".into()));
        }
        if call.header("Expected-Instance") != self.id {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&call.body);
        let token = body.get("fencing-token").number();
        if token < boot.token {
            let clock_ms = boot.clock_ms();
            return Some((409, format!(r#"{{"clock-ms":{clock_ms},"reason":"fence"}}"#)));
        }
        boot.token = token;
        let (task, number) = (body.get("task").text().to_string(), body.get("run").number());
        match call.path.rsplit('/').next() {
            Some("run-start") => Some(self.on_start(&mut boot, &task, number, &body)),
            Some("run-stop") => {
                if boot.runs.get(&task).is_some_and(|run| run.number == number) {
                    boot.end(&task, "stopped", &self.id, &self.record);
                    self.ended.notify_all();
                }
                let highest = boot.over.entry(task).or_default();
                *highest = number.max(*highest);
                Some((200, format!(r#"{{"clock-ms":{}}}"#, boot.clock_ms())))
            }
            Some("hold") => {
                let boot_at = boot.born;
                renew(&mut boot, &body);
                let cursor = body.get("ack-cursor").number();
                for end in boot.finished.iter().filter(|end| end.at <= cursor) {
                    self.record.on_acknowledged(&self.id, &end.task, end.run);
                }
                boot.finished.retain(|end| end.at > cursor);
                let wait = Duration::from_millis(body.get("wait-ms").number());
                let until = Instant::now() + wait;
                while boot.finished.is_empty() && boot.is_up {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    boot = self.ended.wait_timeout(boot, left).unwrap().0;
                }
                if !boot.is_up || boot.born != boot_at {
                    return None;
                }
                Some((200, lists(&boot)))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn on_start(&self, boot: &mut Boot, task: &str, number: u64, body: &Json) -> (u16, String) {
        let clock_ms = boot.clock_ms();
        let refusal = |reason| (409, format!(r#"{{"clock-ms":{clock_ms},"reason":"{reason}"}}"#));
        if boot.runs.get(task).is_some_and(|run| run.number == number) {
            renew(boot, body);
            return (200, format!(r#"{{"clock-ms":{clock_ms}}}"#));
        }
        if boot.runs.contains_key(task) || boot.over.get(task).is_some_and(|over| *over >= number) {
            renew(boot, body);
            return refusal("old");
        }
        if body.get("deadline-ms").number() <= clock_ms {
            return refusal("late");
        }
        renew(boot, body);
        let (duration, how) = (self.plan)(task, number);
        let labels = boot.kind.labels.join(",");
        let id = &self.id;
        self.record.write(format!("run {task} {number} starts on {id} (labels {labels}, born {})", boot.born));
        self.record.on_start(task, number, id, &boot.kind);
        let ends_at = Instant::now() + duration;
        boot.runs.insert(task.to_string(), Run { number, ends_at, how });
        (200, format!(r#"{{"clock-ms":{clock_ms}}}"#))
    }
}

fn renew(boot: &mut Boot, body: &Json) {
    let latest_ms = boot.clock_ms() + MAX_HOLD_MS;
    let until_ms = body.get("deadline-ms").number().min(latest_ms);
    boot.lease_until_ms = boot.lease_until_ms.max(until_ms);
}

fn lists(boot: &Boot) -> String {
    let active = boot.runs.iter().map(|(task, run)| format!(r#"["{task}",{},"",50]"#, run.number));
    let ended = boot.finished.iter().take(500);
    let ended = ended.map(|end| format!(r#"[{},"{}",{},"{}",""]"#, end.at, end.task, end.run, end.how));
    format!(
        r#"{{"clock-ms":{},"born":{},"active":[{}],"finished":[{}]}}"#,
        boot.clock_ms(),
        boot.born,
        active.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}
