//! Workers, as the protocol's page says: leases, fences, lists of runs and their ends.

use crate::{
    http::{Reply, Request},
    json::{number, object, parse, text, Json},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

const MAX_HOLD_MS: u64 = 10_000;
const MAX_LISTED_ENDS: usize = 500;

/// What was seen of a run, for the record and the checks.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub begin: Instant,
    pub end: Option<(Instant, &'static str)>,
}

struct Run {
    number: u64,
    done_at: Instant,
    seen: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    is_up: bool,
    token: u64,
    lease_until: Option<Instant>,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

/// The runs that all workers have had.
pub type History = Arc<Mutex<Vec<Seen>>>;
/// How long the tasks of each submission work.
pub type Durations = Arc<Mutex<BTreeMap<String, Duration>>>;

pub struct Worker {
    pub id: String,
    pub born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    history: History,
    durations: Durations,
}

impl Worker {
    pub fn new(id: &str, born: u64, history: &History, durations: &Durations) -> Self {
        Self {
            id: id.into(),
            born,
            started: Instant::now(),
            state: Mutex::new(State {
                is_up: true,
                token: 0,
                lease_until: None,
                runs: BTreeMap::new(),
                highest: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
            }),
            changed: Condvar::new(),
            history: history.clone(),
            durations: durations.clone(),
        }
    }

    fn clock_ms(&self) -> u64 {
        5_000 + self.started.elapsed().as_millis() as u64
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }

    pub fn run_count(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    /// Ends the worker for good: everything that runs on it ends with it.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        let mut history = self.history.lock().unwrap();
        for run in std::mem::take(&mut state.runs).into_values() {
            history[run.seen].end = Some((Instant::now(), "gone"));
        }
        self.changed.notify_all();
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let highest = state.highest.entry(task.to_string()).or_default();
        *highest = run.number.max(*highest);
        self.history.lock().unwrap()[run.seen].end = Some((Instant::now(), how));
        let end = End {
            number: state.last_end,
            task: task.to_string(),
            run: run.number,
            how,
        };
        state.ends.push(end);
        self.changed.notify_all();
    }

    /// Ends what is done and, once the lease is over, all that runs.
    pub fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_over = state.lease_until.is_some_and(|until| now >= until);
        let over: Vec<(String, bool)> = state
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), now >= run.done_at))
            .filter(|(_, is_done)| *is_done || is_over)
            .collect();
        for (task, is_done) in over {
            self.end(&mut state, &task, if is_done { "done" } else { "lapsed" });
        }
    }

    fn renew(&self, state: &mut State, body: &Json) {
        let deadline = body.get("deadline-ms").number();
        if deadline > 0 {
            let clock = self.clock_ms();
            let left = deadline.min(clock + MAX_HOLD_MS).saturating_sub(clock);
            let until = Instant::now() + Duration::from_millis(left);
            state.lease_until = Some(state.lease_until.map_or(until, |own| own.max(until)));
        }
    }

    fn answer(&self, status: u16, reason: &str) -> Reply {
        let body = match reason {
            "" => object([
                ("clock-ms", number(self.clock_ms())),
                ("born", number(self.born)),
            ]),
            reason => object([
                ("clock-ms", number(self.clock_ms())),
                ("born", number(self.born)),
                ("reason", text(reason)),
            ]),
        };
        Reply::Answer(status, body.encoded())
    }

    pub fn handle(&self, request: &Request) -> Reply {
        let Some(body) = parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        if request.header("Expected-Instance") != self.id {
            return Reply::Answer(421, "{}".into());
        }
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return Reply::Drop;
        }
        let token = body.get("fencing-token").number();
        if token < state.token {
            return self.answer(409, "fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/pomelotide/run-start" => self.start(&mut state, &body),
            "/pomelotide/run-stop" => {
                let (task, run) = (body.get("task").text(), body.get("run").number());
                if state.runs.get(task).is_some_and(|own| own.number == run) {
                    self.end(&mut state, task, "stopped");
                }
                let highest = state.highest.entry(task.to_string()).or_default();
                *highest = run.max(*highest);
                self.answer(200, "")
            }
            "/pomelotide/hold" => {
                self.renew(&mut state, &body);
                let cursor = body.get("ack-cursor").number();
                state.ends.retain(|end| end.number > cursor);
                let wait = Duration::from_millis(body.get("wait-ms").number().min(2_000));
                let until = Instant::now() + wait;
                while state.is_up && state.ends.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if !state.is_up {
                    return Reply::Drop;
                }
                self.lists(&state)
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn start(&self, state: &mut State, body: &Json) -> Reply {
        let (task, run) = (
            body.get("task").text().to_string(),
            body.get("run").number(),
        );
        if state.runs.get(&task).is_some_and(|own| own.number == run) {
            self.renew(state, body);
            return self.answer(200, "");
        }
        let is_old = state
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest);
        if is_old || state.runs.contains_key(&task) {
            self.renew(state, body);
            return self.answer(409, "old");
        }
        if body.get("deadline-ms").number() <= self.clock_ms() {
            return self.answer(409, "late");
        }
        let id = task.split('.').next().unwrap_or("").to_string();
        let work = self
            .durations
            .lock()
            .unwrap()
            .get(&id)
            .copied()
            .unwrap_or(Duration::from_secs(1));
        let mut history = self.history.lock().unwrap();
        history.push(Seen {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            begin: Instant::now(),
            end: None,
        });
        let seen = history.len() - 1;
        drop(history);
        state.runs.insert(
            task,
            Run {
                number: run,
                done_at: Instant::now() + work,
                seen,
            },
        );
        self.renew(state, body);
        self.answer(200, "")
    }

    fn lists(&self, state: &State) -> Reply {
        let active = state.runs.iter().map(|(task, run)| {
            Json::List(vec![
                text(task.clone()),
                number(run.number),
                text(""),
                number(50),
            ])
        });
        let ends = state.ends.iter().take(MAX_LISTED_ENDS).map(|end| {
            Json::List(vec![
                number(end.number),
                text(end.task.clone()),
                number(end.run),
                text(end.how),
                text(""),
            ])
        });
        let body = object([
            ("clock-ms", number(self.clock_ms())),
            ("born", number(self.born)),
            ("active", Json::List(active.collect())),
            ("finished", Json::List(ends.collect())),
        ]);
        Reply::Answer(200, body.encoded())
    }
}
