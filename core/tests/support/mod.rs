//! A daemon's reducer with a small table and workers around it, in virtual time.
#![allow(dead_code)]

mod table;
mod worker;

pub use worker::{Plan, Started, Worker};

use pomelotide_core::{
    Answer, CallId, Class, Core, CoreSettings, DaemonId, DecisionEvent, DomainName, Effect, Entry,
    Event, Host, JobId, JobSpec, KeyDigest, KeyName, Millis, Payload, QueueName, RackName, Request,
    RequestId, Resources, TaskId, TeamName, WorkerCommand, WorkerId, WorkerReport,
};
use std::collections::BTreeMap;
use table::Table;

/// The span between two ticks.
const TICK_MS: u64 = 20;
/// How long a message to or from a worker takes.
const WORKER_MS: u64 = 1;
/// How long a table operation takes.
const TABLE_MS: u64 = 5;
/// The time after which the daemon is keeper and its limits count.
const READY_MS: u64 = 8_000;
/// The workers of one rack.
const RACK: usize = 8;

/// What happens later.
enum Due {
    Event(Event),
    End(WorkerId, TaskId),
}

/// One daemon that keeps a failure domain, with its surroundings.
pub struct Cell {
    pub core: Core,
    pub now_ms: u64,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub answers: BTreeMap<CallId, Answer>,
    pub started: Vec<Started>,
    pub told: Vec<DecisionEvent>,
    pub effects: u64,
    table: Table,
    hosts: Vec<Host>,
    due: BTreeMap<(u64, u64), Due>,
    count: u64,
}

impl Cell {
    /// Makes a failure domain of like workers under a configuration, and waits until it is ready.
    pub fn new(workers: usize, capacity: Resources, entries: Vec<Entry>) -> Self {
        let settings = CoreSettings {
            daemon: DaemonId::new("d"),
            domain: DomainName::new("a"),
            address: "127.0.0.1:1".into(),
            drain_grace_ms: Millis(1_000),
        };
        let hosts: Vec<Host> = (0..workers).map(|place| host(place, capacity)).collect();
        let fakes = hosts
            .iter()
            .map(|host| (host.worker.clone(), Worker::new(capacity)));
        let mut cell = Self {
            core: Core::new(settings),
            now_ms: 0,
            workers: fakes.collect(),
            answers: BTreeMap::new(),
            started: Vec::new(),
            told: Vec::new(),
            effects: 0,
            table: Table::with(entries),
            hosts,
            due: BTreeMap::new(),
            count: 0,
        };
        cell.run_until(READY_MS);
        cell
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now_ms + span_ms);
    }

    /// Lets time pass until a point in time.
    pub fn run_until(&mut self, end_ms: u64) {
        loop {
            let tick_ms = (self.now_ms / TICK_MS + 1) * TICK_MS;
            let due_ms = self.due.keys().next().map(|key| key.0);
            let next_ms = due_ms.map_or(tick_ms, |due_ms| due_ms.min(tick_ms));
            if next_ms > end_ms {
                self.now_ms = end_ms;
                return;
            }
            self.now_ms = next_ms;
            if due_ms == Some(next_ms) {
                if let Some((_, due)) = self.due.pop_first() {
                    self.happen(due);
                }
            } else {
                self.step(Event::Tick);
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Event(event) => self.step(event),
            Due::End(worker, task) => {
                let state = self.workers.get_mut(&worker).expect("a known worker");
                if let Some(report) = state.end(&task) {
                    self.report(&worker, report, 0);
                }
            }
        }
    }

    /// Feeds one event to the reducer and carries its effects out.
    pub fn step(&mut self, event: Event) {
        let effects = self.core.step(Millis(self.now_ms), event);
        self.effects += effects.len() as u64;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn later(&mut self, delay_ms: u64, due: Due) {
        self.count += 1;
        self.due.insert((self.now_ms + delay_ms, self.count), due);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::AnswerCall { call, answer } => {
                let earlier = self.answers.insert(call, answer);
                assert!(earlier.is_none(), "call {call} was answered twice");
            }
            Effect::LinkWorker { worker, link, .. } => {
                self.workers.get_mut(&worker).expect("a known worker").link = link;
                let event = Event::WorkerLinked { worker, link };
                self.later(WORKER_MS, Due::Event(event));
            }
            Effect::SendWorker {
                worker, command, ..
            } => self.command(worker, command),
            Effect::Write { op, txn } => {
                let reply = self.table.write(txn);
                self.later(TABLE_MS, Due::Event(Event::TableAnswered { op, reply }));
            }
            Effect::Read { op, query } => {
                let reply = self.table.read(query);
                self.later(TABLE_MS, Due::Event(Event::TableAnswered { op, reply }));
            }
            Effect::ReadHosts => {
                let hosts = self.hosts.clone();
                self.later(TABLE_MS, Due::Event(Event::HostsRead { hosts }));
            }
            Effect::Log(told) => self.told.push(told),
            _ => {}
        }
    }

    fn command(&mut self, worker: WorkerId, command: WorkerCommand) {
        let now_ms = self.now_ms;
        let state = self.workers.get_mut(&worker).expect("a known worker");
        match command {
            WorkerCommand::Claim { .. } => {
                let report = state.claimed();
                self.report(&worker, report, WORKER_MS);
            }
            WorkerCommand::Start(start) => {
                let plan = Plan::of(&start.payload);
                let task = start.task.clone();
                let run_ms = state.start(start, plan);
                let started = state.started(now_ms, &worker, &task);
                self.started.push(started);
                if let Some(run_ms) = run_ms {
                    self.later(run_ms + WORKER_MS, Due::End(worker, task));
                }
            }
            WorkerCommand::Renew { .. } => self.report(&worker, WorkerReport::Renewed, WORKER_MS),
            WorkerCommand::Stop(task) => {
                if let Some(report) = state.stop(&task) {
                    self.report(&worker, report, WORKER_MS);
                }
            }
            WorkerCommand::Ack(_) => {}
        }
    }

    fn report(&mut self, worker: &WorkerId, report: WorkerReport, delay_ms: u64) {
        let event = Event::WorkerHeard {
            worker: worker.clone(),
            link: self.workers[worker].link,
            report,
        };
        self.later(delay_ms, Due::Event(event));
    }

    fn next_call(&mut self) -> CallId {
        self.count += 1;
        CallId(self.count)
    }

    /// Sends a request with a team's key.
    pub fn ask(&mut self, team: &str, queue: &str, plan: Plan, deadline_ms: u64) -> CallId {
        let call = self.next_call();
        let request = Request {
            id: RequestId::new(format!("q{}", call.0)),
            key: Some(digest(team)),
            queue: QueueName::new(queue),
            idempotent: true,
            deadline_ms: Millis(deadline_ms),
            payload: plan.payload(),
        };
        self.step(Event::RequestArrived { call, request });
        call
    }

    /// Submits a job with a team's key.
    pub fn submit(
        &mut self,
        team: &str,
        queue: &str,
        tasks: u32,
        need: Resources,
        plan: Plan,
    ) -> CallId {
        let call = self.next_call();
        let spec = JobSpec {
            queue: QueueName::new(queue),
            tasks,
            need,
            run_ms: Millis(1_000),
            payload: plan.payload(),
        };
        self.step(Event::JobArrived {
            call,
            request: RequestId::new(format!("s{}", call.0)),
            key: Some(digest(team)),
            spec,
        });
        call
    }

    /// Cancels a job with a team's key.
    pub fn cancel(&mut self, team: &str, job: JobId) -> CallId {
        let call = self.next_call();
        let key = Some(digest(team));
        self.step(Event::CancelArrived { call, job, key });
        call
    }

    /// Returns the job that a submission became.
    pub fn job(&self, call: CallId) -> JobId {
        match self.answers.get(&call) {
            Some(Answer::JobAccepted(job)) => job.clone(),
            other => panic!("call {call} was answered by {other:?}"),
        }
    }

    /// Returns what the running tasks take together.
    pub fn used(&self) -> Resources {
        let used = self.workers.values().map(|worker| worker.used);
        used.fold(Resources::default(), Resources::plus)
    }

    /// Returns what a team's running tasks take.
    pub fn used_by(&self, team: &str) -> Resources {
        let running = self.workers.values().flat_map(|w| w.running.values());
        let of_team = running.filter(|(start, _)| start.team.as_str() == team);
        of_team.fold(Resources::default(), |sum, (start, _)| sum.plus(start.need))
    }
}

fn host(place: usize, capacity: Resources) -> Host {
    Host {
        worker: WorkerId::new(format!("w{place:04}")),
        domain: DomainName::new("a"),
        rack: RackName::new(format!("rack{}", place / RACK)),
        address: "127.0.0.1:2".into(),
        capacity,
        leaving: false,
    }
}

/// Returns the digest of a team's key.
pub fn digest(team: &str) -> KeyDigest {
    KeyDigest::new(format!("digest-of-{team}"))
}

/// Makes an amount of processors in thousandths and memory.
pub const fn cpu(cpu_milli: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mib,
        accelerators: 0,
        slots: 0,
    }
}

/// Makes the entries of a team and its key.
pub fn team(name: &str, share: u64, limit: Resources) -> [Entry; 2] {
    let team = TeamName::new(name);
    let key = Entry::Key {
        name: KeyName::new(name),
        digest: digest(name),
        team: team.clone(),
    };
    let name = team;
    [Entry::Team { name, share, limit }, key]
}

/// Makes the entry of a queue that each team may use, named as its class.
pub fn queue(class: Class, need: Resources) -> Entry {
    Entry::Queue {
        name: QueueName::new(class.to_string()),
        class,
        open: false,
        team: None,
        need,
    }
}

/// Makes a domain, a queue a class and teams with the given shares and limit.
pub fn entries(teams: &[(&str, u64)], limit: Resources, question: Resources) -> Vec<Entry> {
    let mut entries = vec![Entry::Domain(DomainName::new("a"))];
    for (class, _) in Class::ALL {
        let need = match class {
            Class::Small => question,
            _ => cpu(1_000, 1_024),
        };
        entries.push(queue(class, need));
    }
    entries.extend(
        teams
            .iter()
            .flat_map(|(name, share)| team(name, *share, limit)),
    );
    entries
}

/// Draws numbers from a seed.
pub struct Draw(pub u64);

impl Draw {
    /// Draws a number below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % bound
    }

    /// Draws a number of a range.
    pub fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from + 1)
    }
}

impl Plan {
    /// Returns the payload that asks for this plan.
    pub fn payload(&self) -> Payload {
        let text = format!("{} {} {}", self.label, self.run_ms.unwrap_or(0), self.fails);
        Payload::from(text.as_str())
    }
}
