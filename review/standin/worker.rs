//! Stand-ins of workers, as the protocol of the platform describes them, and the check of rule TWICE.

use crate::{
    http::{Answer, Call},
    json::Json,
    record::Record,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// `max-hold-ms` of the settings: the longest lease.
pub const MAX_HOLD_MS: u64 = 10_000;
/// How many ends a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    ends_at: Instant,
}

#[derive(Debug)]
struct Worker {
    id: String,
    zone: String,
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Whether the lease has lapsed since it was renewed last.
    lapsed: bool,
    /// The highest run of each task that ended or was stopped here.
    ended: BTreeMap<String, u64>,
    finished: Vec<End>,
    last_end: u64,
}

/// An end that a worker lists.
#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Whether the lease has lapsed since; rule TWICE excuses a start after such an end.
    lapsed_since: bool,
    /// Whether the task has started again since.
    started_since: bool,
}

/// A run as it was seen at a worker.
#[derive(Clone, Debug)]
pub struct Seen {
    pub from: String,
}

#[derive(Debug)]
pub struct Fleet {
    workers: Mutex<Vec<Worker>>,
    started_at: Instant,
    record: Arc<Record>,
    /// How long a task runs.
    task_ms: Mutex<u64>,
    /// The starts in their order.
    starts: Mutex<Vec<Seen>>,
    /// The tasks with an end `done` that was taken note of.
    noted: Mutex<BTreeSet<String>>,
    broken: Mutex<Vec<String>>,
}

impl Worker {
    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.runs.remove(task) {
            self.last_end += 1;
            self.ended.insert(task.to_string(), run.number);
            self.finished.push(End {
                number: self.last_end,
                task: task.to_string(),
                run: run.number,
                how,
                lapsed_since: false,
                started_since: false,
            });
        }
    }
}

impl Fleet {
    /// Creates two workers in each zone.
    pub fn new(zones: &[&str], id_prefix: &str, record: Arc<Record>) -> Arc<Self> {
        let worker = |at: usize| Worker {
            id: format!("{id_prefix}{at}"),
            zone: zones[at / 2].to_string(),
            token: 0,
            lease_until_ms: 0,
            lapsed: true,
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
        };
        Arc::new(Self {
            workers: Mutex::new((0..zones.len() * 2).map(worker).collect()),
            started_at: Instant::now(),
            record,
            task_ms: Mutex::new(100),
            starts: Mutex::default(),
            noted: Mutex::default(),
            broken: Mutex::default(),
        })
    }

    pub fn set_task_ms(&self, task_ms: u64) {
        *self.task_ms.lock().unwrap() = task_ms;
    }

    pub fn starts(&self) -> Vec<Seen> {
        self.starts.lock().unwrap().clone()
    }

    /// Returns where runs of a submission are at work.
    pub fn runs_of(&self, submission: &str) -> Vec<(String, String)> {
        let workers = self.workers.lock().unwrap();
        let runs = workers.iter().flat_map(|worker| {
            let tasks = worker
                .runs
                .keys()
                .filter(|task| task.starts_with(submission));
            tasks.map(|task| (task.clone(), worker.id.clone()))
        });
        runs.collect()
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    /// Returns how many runs have ended so far.
    pub fn ends(&self) -> u64 {
        self.workers
            .lock()
            .unwrap()
            .iter()
            .map(|worker| worker.last_end)
            .sum()
    }

    pub fn runs_on(&self, at: usize) -> Vec<String> {
        self.workers.lock().unwrap()[at]
            .runs
            .keys()
            .cloned()
            .collect()
    }

    /// Returns a worker's id and its entry in the store.
    pub fn entry(&self, at: usize, address: &str) -> (String, Json) {
        let workers = self.workers.lock().unwrap();
        let (id, zone) = (workers[at].id.clone(), workers[at].zone.clone());
        let capacity = vec![
            ("cpu", Json::number(16_000)),
            ("mem-mb", Json::number(32_768)),
            ("gpu", Json::number(0)),
        ];
        let labels = vec![Json::text("a"), Json::Text(format!("r-{zone}"))];
        let entry = Json::map(vec![
            ("service", Json::text("lending-desk")),
            ("address", Json::text(address)),
            ("zone", Json::Text(zone)),
            ("version", Json::text("1")),
            ("capacity", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold-remaining-ms", Json::number(0)),
            ("sequence", Json::number(1)),
            ("born", Json::number(1_700_000_000_000)),
            ("free-capacity", Json::map(capacity)),
            ("labels", Json::List(labels)),
        ]);
        (id, entry)
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 5_000
    }

    /// Ends the runs that are done, and all runs of workers whose leases have lapsed.
    pub fn advance(&self) {
        let (now, clock_ms) = (Instant::now(), self.clock_ms());
        for worker in self.workers.lock().unwrap().iter_mut() {
            let lapsed = clock_ms >= worker.lease_until_ms;
            if lapsed && !worker.lapsed {
                worker.lapsed = true;
                for end in &mut worker.finished {
                    end.lapsed_since = true;
                }
            }
            let ended: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| lapsed || now >= run.ends_at)
                .map(|(task, run)| (task.clone(), now >= run.ends_at))
                .collect();
            for (task, done) in ended {
                let how = if done { "done" } else { "lapsed" };
                self.record
                    .line(&format!("worker {}: run of {task} ends {how}", worker.id));
                worker.end(&task, how);
            }
        }
    }

    fn answer(&self, status: u16, mut fields: Vec<(&str, Json)>) -> Answer {
        fields.push(("clock-ms", Json::number(self.clock_ms())));
        fields.push(("born", Json::number(1_700_000_000_000)));
        Some((status, Json::map(fields)))
    }

    fn refuse(&self, reason: &str) -> Answer {
        self.answer(409, vec![("reason", Json::text(reason))])
    }

    /// Answers a call of daemon `from` to worker `at`.
    pub fn call(&self, from: &str, at: usize, call: &Call) -> Answer {
        self.advance();
        let body = &call.body;
        let token = body.get("fencing-token").u64();
        let seen_end;
        {
            let mut workers = self.workers.lock().unwrap();
            let id = workers[at].id.clone();
            if !call.instance.is_empty() && call.instance != id {
                return self.answer(421, Vec::new());
            }
            if token < workers[at].token {
                self.record.line(&format!(
                    "worker {id}: {} of {from} with fence {token} refused",
                    call.path
                ));
                return self.refuse("fence");
            }
            workers[at].token = token;
            match call.path.as_str() {
                "/pomelotide/run-start" => return self.start(from, &mut workers, at, body),
                "/pomelotide/run-stop" => {
                    let (task, run) = (body.get("task").str(), body.get("run").u64());
                    self.record
                        .line(&format!("worker {id}: stop of {task} run {run} by {from}"));
                    if workers[at]
                        .runs
                        .get(task)
                        .is_some_and(|own| own.number == run)
                    {
                        workers[at].end(task, "stopped");
                    }
                    let highest = workers[at].ended.entry(task.to_string()).or_default();
                    *highest = run.max(*highest);
                    return self.answer(200, Vec::new());
                }
                "/pomelotide/hold" => {}
                _ => return self.answer(404, Vec::new()),
            }
            self.renew(&mut workers[at], body);
            if !workers[at].runs.is_empty() && workers[at].runs.len() < 10 {
                let until_ms = body.get("deadline-ms").u64();
                self.record.line(&format!(
                    "worker {id}: hold of {from}, fence {token}, deadline {until_ms}, at {}",
                    self.clock_ms()
                ));
            }
            self.acknowledge(&mut workers[at], body.get("ack-cursor").u64());
            seen_end = workers[at].last_end;
        }
        let until = Instant::now() + Duration::from_millis(body.get("wait-ms").u64());
        loop {
            self.advance();
            let workers = self.workers.lock().unwrap();
            let worker = &workers[at];
            let has_news = worker.last_end != seen_end || !worker.finished.is_empty();
            if has_news || Instant::now() >= until {
                return self.lists(worker);
            }
            drop(workers);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn acknowledge(&self, worker: &mut Worker, cursor: u64) {
        let noted: Vec<End> = worker
            .finished
            .iter()
            .filter(|end| end.number <= cursor)
            .cloned()
            .collect();
        worker.finished.retain(|end| end.number > cursor);
        if !noted.is_empty() {
            self.record.line(&format!(
                "worker {}: {} ends up to {cursor} taken note of",
                worker.id,
                noted.len()
            ));
        }
        for end in noted
            .into_iter()
            .filter(|end| end.how == "done" && !end.lapsed_since)
        {
            if end.started_since {
                self.fail(format!("TWICE: {} started again after its run {} had ended done on {}, and that end is taken note of", end.task, end.run, worker.id));
            }
            self.noted.lock().unwrap().insert(end.task);
        }
    }

    fn fail(&self, text: String) {
        self.record.line(&text);
        self.broken.lock().unwrap().push(text);
    }

    fn renew(&self, worker: &mut Worker, body: &Json) {
        let longest = self.clock_ms() + MAX_HOLD_MS;
        let until_ms = body.get("deadline-ms").u64().min(longest);
        worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        worker.lapsed &= self.clock_ms() >= worker.lease_until_ms;
    }

    fn start(&self, from: &str, workers: &mut [Worker], at: usize, body: &Json) -> Answer {
        let task = body.get("task").str().to_string();
        let (run, token) = (body.get("run").u64(), body.get("fencing-token").u64());
        let worker = &mut workers[at];
        if worker.runs.get(&task).is_some_and(|own| own.number == run) {
            return self.answer(200, Vec::new());
        }
        let is_old = worker
            .ended
            .get(&task)
            .is_some_and(|highest| *highest >= run);
        if is_old || worker.runs.contains_key(&task) {
            return self.refuse("old");
        }
        if body.get("deadline-ms").u64() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.renew(worker, body);
        let task_ms = *self.task_ms.lock().unwrap();
        let ends_at = Instant::now() + Duration::from_millis(task_ms);
        worker.runs.insert(
            task.clone(),
            Run {
                number: run,
                ends_at,
            },
        );
        let id = worker.id.clone();
        self.record.line(&format!(
            "worker {id}: start of {task} run {run} by {from}, fence {token}"
        ));
        for other in workers.iter().filter(|other| other.id != id) {
            if let Some(own) = other.runs.get(&task) {
                let text = format!(
                    "TWICE: {task} run {run} starts on {id} while run {} is at work on {}",
                    own.number, other.id
                );
                self.fail(text);
            }
        }
        if self.noted.lock().unwrap().contains(&task) {
            self.fail(format!(
                "TWICE: {task} run {run} starts on {id} after an end done was taken note of"
            ));
        }
        for end in workers.iter_mut().flat_map(|worker| &mut worker.finished) {
            if end.task == task && end.how == "done" && !end.started_since {
                end.started_since = true;
                self.record.line(&format!(
                    "worker {id}: {task} run {run} starts after run {} has ended done",
                    end.run
                ));
            }
        }
        self.starts.lock().unwrap().push(Seen {
            from: from.to_string(),
        });
        self.answer(200, Vec::new())
    }

    fn lists(&self, worker: &Worker) -> Answer {
        let number = Json::number;
        let active = worker.runs.iter().map(|(task, run)| {
            let row = vec![
                Json::text(task),
                number(run.number),
                Json::text(""),
                number(50),
                number(1_000),
            ];
            Json::List(row)
        });
        // All ends up to `ack-cursor` are forgotten, the others are returned again, 500 at a time.
        let finished = worker.finished.iter().take(MAX_LISTED_ENDS).map(|end| {
            let how = Json::text(end.how);
            Json::List(vec![
                number(end.number),
                Json::text(&end.task),
                number(end.run),
                how,
                Json::text(""),
            ])
        });
        let fields = vec![
            ("active", Json::List(active.collect())),
            ("finished", Json::List(finished.collect())),
        ];
        self.answer(200, fields)
    }
}
