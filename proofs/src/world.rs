//! Reducers in virtual time, with small fakes of all that surrounds them.

mod node;
mod outside;
mod workers;

use crate::{
    checks::{Checker, Invariant, Violation},
    faults::{End, Passage, Paths},
    history::{CallNumber, Observation},
    recording::Recording,
};
use node::{Node, WorkerNode};
use outside::Platform;
use pomelotide_core::{
    Answer, CallId, Claim, Core, DaemonId, Effect, Event, Host, Millis, ObjectReply, OpId,
    Resources, WorkerCommand, WorkerId,
};
use std::collections::BTreeMap;

/// The span between two ticks of a daemon.
const TICK_MS: Millis = Millis(20);
/// The span between two looks of a worker at its tasks.
const WORKER_TICK_MS: Millis = Millis(5);
/// How long a daemon waits for an opening connection.
const DIAL_MS: Millis = Millis(1_000);

/// Something that is due at a time.
#[derive(Clone, Debug)]
enum Due {
    Tick(DaemonId),
    WorkerTick(WorkerId),
    ToDaemon(DaemonId, Box<Event>),
    ToWorker(Box<Command>),
    Link {
        daemon: DaemonId,
        worker: WorkerId,
        link: u64,
    },
    Table(Box<outside::TableCall>),
}

/// A command on its way to a worker.
#[derive(Clone, Debug)]
struct Command {
    daemon: DaemonId,
    worker: WorkerId,
    link: u64,
    claim: Claim,
    command: WorkerCommand,
}

/// Everything in one virtual time.
#[derive(Debug)]
pub struct World {
    now_ms: Millis,
    rng: fastrand::Rng,
    due: BTreeMap<(Millis, u64), Due>,
    count: u64,
    steps: u64,
    nodes: BTreeMap<String, Node>,
    workers: BTreeMap<String, WorkerNode>,
    platform: Platform,
    paths: Paths,
    arrivals: BTreeMap<(String, String), Millis>,
    checker: Checker,
    violation: Option<Violation>,
    answers: BTreeMap<CallNumber, Answer>,
    last_call: CallNumber,
    trace: bool,
    records: bool,
}

impl World {
    /// Makes an empty world; the seed decides delays and losses.
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: Millis(0),
            rng: fastrand::Rng::with_seed(seed),
            due: BTreeMap::new(),
            count: 0,
            steps: 0,
            nodes: BTreeMap::new(),
            workers: BTreeMap::new(),
            platform: Platform::default(),
            paths: Paths::default(),
            arrivals: BTreeMap::new(),
            checker: Checker::default(),
            violation: None,
            answers: BTreeMap::new(),
            last_call: CallNumber(0),
            trace: false,
            records: false,
        }
    }

    /// Returns the time.
    pub const fn now_ms(&self) -> Millis {
        self.now_ms
    }

    /// Returns the number of reducer steps so far.
    pub const fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the first broken invariant.
    pub const fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Returns the checker.
    pub const fn checker(&self) -> &Checker {
        &self.checker
    }

    /// Returns the answer to a call, if it has come.
    pub fn answer(&self, call: CallNumber) -> Option<&Answer> {
        self.answers.get(&call)
    }

    /// Tells the checker what was seen.
    pub(crate) fn observe(&mut self, seen: &Observation) {
        if let Err(violation) = self.checker.see(self.now_ms, seen) {
            self.violation.get_or_insert(violation);
        }
    }

    fn schedule(&mut self, at_ms: Millis, due: Due) {
        self.count += 1;
        self.due.insert((at_ms, self.count), due);
    }

    /// Lets time pass up to a moment, or to the first broken invariant.
    pub fn run_until(&mut self, until_ms: Millis) {
        while self.violation.is_none() {
            let next = self.due.first_key_value().map(|(key, _)| *key);
            let Some(key) = next.filter(|(at_ms, _)| *at_ms <= until_ms) else {
                break;
            };
            if let Some(due) = self.due.remove(&key) {
                self.now_ms = key.0;
                self.happen(due);
            }
        }
        self.now_ms = until_ms.max(self.now_ms);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tick(daemon) => self.tick(&daemon),
            Due::WorkerTick(worker) => self.worker_tick(&worker),
            Due::ToDaemon(daemon, event) => self.give(&daemon, *event),
            Due::ToWorker(command) => self.worker_commanded(*command),
            Due::Link {
                daemon,
                worker,
                link,
            } => self.link_opened(&daemon, &worker, link),
            Due::Table(call) => self.table_reached(*call),
        }
    }

    /// Starts a daemon, or starts it anew under a new id.
    pub fn start(&mut self, name: &str, domain: &str) {
        let known = self.nodes.remove(name);
        let starts = known.map_or(1, |node| node.starts + 1);
        let mut node = Node::new(name, domain, starts, self.now_ms);
        if self.records {
            node.recording.switch_on();
        }
        let daemon = node.id.clone();
        self.nodes.insert(name.into(), node);
        self.schedule(self.now_ms, Due::Tick(daemon));
    }

    /// Adds a worker and puts it on the host list.
    pub fn add_worker(&mut self, name: &str, domain: &str, rack: &str, capacity: Resources) {
        let worker = WorkerId::new(name);
        self.workers
            .insert(name.into(), WorkerNode::new(domain, capacity));
        let host = Host {
            worker: worker.clone(),
            domain: pomelotide_core::DomainName::new(domain),
            rack: pomelotide_core::RackName::new(rack),
            address: name.into(),
            capacity,
            leaving: false,
        };
        self.platform.hosts.insert(name.into(), host);
        self.observe(&Observation::Worker {
            worker: worker.clone(),
            capacity,
        });
        self.schedule(self.now_ms, Due::WorkerTick(worker));
    }

    fn tick(&mut self, daemon: &DaemonId) {
        if self.node(daemon).is_none_or(|node| node.core.is_none()) {
            return;
        }
        self.schedule(self.now_ms + TICK_MS, Due::Tick(daemon.clone()));
        if self.node(daemon).is_some_and(|node| !node.paused) {
            self.step(daemon, Event::Tick);
        }
    }

    fn node(&self, daemon: &DaemonId) -> Option<&Node> {
        let (name, _) = daemon.as_str().split_once('.')?;
        self.nodes.get(name).filter(|node| node.id == *daemon)
    }

    fn node_mut(&mut self, daemon: &DaemonId) -> Option<&mut Node> {
        let (name, _) = daemon.as_str().split_once('.')?;
        self.nodes.get_mut(name).filter(|node| node.id == *daemon)
    }

    /// Gives a daemon an event; a frozen one gets it when it goes on.
    fn give(&mut self, daemon: &DaemonId, event: Event) {
        let Some(node) = self.node_mut(daemon) else {
            return;
        };
        if node.paused {
            node.backlog.push(event);
        } else {
            self.step(daemon, event);
        }
    }

    fn step(&mut self, daemon: &DaemonId, event: Event) {
        let now_ms = self.now_ms;
        let Some(node) = self.node_mut(daemon) else {
            return;
        };
        let clock_ms = node.clock_ms(now_ms);
        let Some(core) = &mut node.core else {
            return;
        };
        let recorded = event.clone();
        let effects = core.step(clock_ms, event);
        node.recording.record(clock_ms, &recorded, &effects);
        let (revision, fresh) = (core.config().revision(), core.is_fresh());
        self.steps += 1;
        self.observe(&Observation::Acting {
            daemon: daemon.clone(),
            revision,
            fresh,
        });
        for effect in effects {
            self.carry_out(daemon, effect);
        }
    }

    /// Loses an operation on the object store: no scenario writes enough notes for a snapshot.
    fn lose(&mut self, daemon: &DaemonId, op: OpId) {
        let reply = ObjectReply::Lost;
        let event = Event::ObjectAnswered { op, reply };
        let due = Due::ToDaemon(daemon.clone(), Box::new(event));
        self.schedule(self.now_ms + Millis(1), due);
    }

    fn carry_out(&mut self, daemon: &DaemonId, effect: Effect) {
        match effect {
            Effect::AnswerCall { call, answer } => self.answered(daemon, call, answer),
            Effect::SendPeer { to, message } => {
                let event = Event::PeerHeard {
                    from: daemon.clone(),
                    message,
                };
                self.send_daemon(daemon.clone(), &to, event);
            }
            Effect::LinkWorker { worker, link, .. } => {
                let daemon = daemon.clone();
                self.schedule(
                    self.now_ms + Millis(1),
                    Due::Link {
                        daemon,
                        worker,
                        link,
                    },
                );
            }
            Effect::UnlinkWorker { worker } => {
                let id = daemon.clone();
                if let Some(node) = self.workers.get_mut(worker.as_str()) {
                    node.unlink(&id);
                }
            }
            Effect::SendWorker {
                worker,
                link,
                claim,
                command,
            } => {
                let daemon = daemon.clone();
                self.send_worker(Command {
                    daemon,
                    worker,
                    link,
                    claim,
                    command,
                });
            }
            Effect::Write { op, txn } => self.call_table(daemon, op, outside::Job::write(&txn)),
            Effect::Read { op, query } => self.call_table(daemon, op, outside::Job::read(&query)),
            Effect::PutObject { op, .. } | Effect::GetObject { op, .. } => self.lose(daemon, op),
            Effect::ReadHosts => self.read_hosts(daemon),
            Effect::Log(told) if self.trace => println!("{} {daemon} {told:?}", self.now_ms),
            Effect::SetPeerAddress { .. } | Effect::Log(_) => {}
            Effect::Exit => self.exited(daemon),
        }
    }

    fn end_of<'a>(&'a self, daemon: &'a DaemonId) -> End<'a> {
        let name = daemon.as_str().split_once('.').map_or("", |(name, _)| name);
        let domain = self.nodes.get(name).map_or("", |node| node.domain.as_str());
        End { name, domain }
    }

    fn end_of_worker<'a>(&'a self, worker: &'a WorkerId) -> End<'a> {
        let name = worker.as_str();
        let domain = self
            .workers
            .get(name)
            .map_or("", |node| node.domain.as_str());
        End { name, domain }
    }

    /// Decides when a message arrives; messages between the same two ends keep their order.
    fn arrival(&mut self, from: &str, to: &str, passage: Passage) -> Option<Millis> {
        let Passage::After(delay_ms) = passage else {
            return None;
        };
        let last_ms = self.arrivals.entry((from.into(), to.into())).or_default();
        *last_ms = (self.now_ms + delay_ms).max(*last_ms);
        Some(*last_ms)
    }

    fn send_daemon(&mut self, from: DaemonId, to: &DaemonId, event: Event) {
        let mut rng = self.rng.clone();
        let passage = self
            .paths
            .pass(self.end_of(&from), self.end_of(to), &mut rng);
        self.rng = rng;
        if let Some(at_ms) = self.arrival(from.as_str(), to.as_str(), passage) {
            self.schedule(at_ms, Due::ToDaemon(to.clone(), Box::new(event)));
        }
    }

    fn answered(&mut self, daemon: &DaemonId, call: CallId, answer: Answer) {
        let Some(number) = self
            .node_mut(daemon)
            .and_then(|node| node.calls.remove(&call))
        else {
            return;
        };
        self.observe(&Observation::Answered {
            call: number,
            answer: answer.clone(),
        });
        self.answers.insert(number, answer);
    }

    /// Opens a call at a daemon; `None` where the daemon is not there.
    pub fn call(
        &mut self,
        name: &str,
        asked: impl FnOnce(CallNumber) -> Option<Observation>,
        event: impl FnOnce(CallId) -> Event,
    ) -> Option<CallNumber> {
        let node = self
            .nodes
            .get_mut(name)
            .filter(|node| node.core.is_some())?;
        self.last_call.0 += 1;
        let number = self.last_call;
        node.last_call = node.last_call.next();
        let call = node.last_call;
        node.calls.insert(call, number);
        let daemon = node.id.clone();
        if let Some(seen) = asked(number) {
            self.observe(&seen);
        }
        self.give(&daemon, event(call));
        Some(number)
    }

    /// Says whether a call's connection broke.
    pub fn is_broken(&self, call: CallNumber) -> bool {
        let open = self
            .nodes
            .values()
            .any(|node| node.calls.values().any(|of| *of == call));
        !open && !self.answers.contains_key(&call)
    }

    fn exited(&mut self, daemon: &DaemonId) {
        let Some(node) = self.node_mut(daemon) else {
            return;
        };
        node.core = None;
        let cut_off = node.calls.len();
        if cut_off > 0 {
            let seen = format!("{daemon} stopped with {cut_off} open calls");
            let violation = Violation {
                invariant: Invariant::PlannedStop,
                at_ms: self.now_ms,
                seen,
            };
            self.violation.get_or_insert(violation);
        }
    }

    /// Returns the reducer of a daemon.
    pub fn core(&self, name: &str) -> Option<&Core> {
        self.nodes.get(name)?.core.as_ref()
    }

    /// Records what each daemon takes in and gives out, from its next start on.
    pub(crate) fn record(&mut self) {
        self.records = true;
    }

    /// Returns the recordings of the daemons that were started last.
    pub(crate) fn recordings(self) -> Vec<Recording> {
        self.nodes
            .into_values()
            .map(|node| node.recording)
            .collect()
    }

    /// Prints what each daemon says of itself, where decisions are printed.
    pub(crate) fn print_state(&self) {
        for core in self.nodes.values().filter_map(|node| node.core.as_ref()) {
            if self.trace {
                println!("{:?}", core.status());
            }
        }
    }

    /// Returns the names of the daemons that run.
    pub fn live(&self) -> Vec<String> {
        let live = self
            .nodes
            .iter()
            .filter(|(_, node)| node.core.is_some() && !node.paused);
        live.map(|(name, _)| name.clone()).collect()
    }
}
