//! Small fakes of table, object store, peers and workers for tests of the configuration.
#![allow(dead_code)]

use pomelotide_core::{
    ActiveTask, Answer, CallId, Claim, Class, Config, Core, CoreSettings, DaemonId, DomainName,
    Effect, EndedTask, Entry, EntryName, Event, Host, KeyDigest, KeyName, Millis, Note, NoteId,
    ObjectReply, OpId, Payload, Query, QueueName, RackName, Request, RequestId, Resources,
    Revision, Row, SnapshotSlot, TableReply, TaskEnd, TaskId, TaskStart, TeamName, Txn,
    WorkerCommand, WorkerId, WorkerReport,
};
use std::collections::{BTreeMap, VecDeque};

/// The span of one round in which everything under way is delivered.
const ROUND_MS: u64 = 50;

pub type Rows = BTreeMap<pomelotide_core::Key, Row>;

/// A daemon and the faults around it.
pub struct Node {
    pub core: Core,
    pub domain: DomainName,
    pub id: DaemonId,
    pub paused: bool,
    /// Whether it is cut off from the table and from the other failure domains.
    pub cut: bool,
    /// Answers to this many writes get lost after they took effect.
    pub lose_answers: u32,
    /// Reads show these rows instead of the latest ones.
    pub lagging: Option<Rows>,
    pub answers: Vec<(CallId, Answer)>,
    pub clock_ms: u64,
    /// Writes that are under way while this holds.
    pub hold_writes: bool,
    held: Vec<(OpId, Txn)>,
    links: BTreeMap<WorkerId, u64>,
    inbox: VecDeque<Event>,
}

/// A task that a fake worker runs.
#[derive(Clone)]
pub struct Task {
    pub domain: DomainName,
    pub held: ActiveTask,
}

/// Everything together.
#[derive(Default)]
pub struct Fakes {
    pub nodes: Vec<Node>,
    pub rows: Rows,
    pub objects: BTreeMap<SnapshotSlot, Config>,
    pub store_down: bool,
    pub running: BTreeMap<TaskId, Task>,
    pub most_running: u64,
    claims: BTreeMap<DomainName, (Claim, DaemonId)>,
    pub most_deletes: usize,
    pub writes: u64,
    pub reads: u64,
    calls: u64,
}

pub fn slots(slots: u64) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

pub fn team(name: &str, limit: u64) -> Entry {
    Entry::Team {
        name: TeamName::new(name),
        share: 1,
        limit: slots(limit),
    }
}

pub fn key(name: &str, team: &str) -> Entry {
    Entry::Key {
        name: KeyName::new(name),
        digest: KeyDigest::new(format!("digest-of-{name}")),
        team: TeamName::new(team),
    }
}

pub fn queue(name: &str, open: Option<&str>) -> Entry {
    Entry::Queue {
        name: QueueName::new(name),
        class: Class::Small,
        open: open.is_some(),
        team: open.map(TeamName::new),
        need: slots(1),
    }
}

/// A queue whose requests take several slots each.
pub fn big_queue(name: &str, need: u64) -> Entry {
    Entry::Queue {
        name: QueueName::new(name),
        class: Class::Service,
        open: false,
        team: None,
        need: slots(need),
    }
}

pub fn note(id: &str, base: u64, added: Vec<Entry>) -> Note {
    Note {
        id: NoteId::new(id),
        base: Revision(base),
        added,
        changed: Vec::new(),
        withdrawn: Vec::new(),
    }
}

pub fn withdrawal(id: &str, base: u64, name: EntryName) -> Note {
    Note {
        withdrawn: vec![name],
        ..note(id, base, Vec::new())
    }
}

fn is_move(row: &Row) -> bool {
    let Row::Delta(note) = row else { return false };
    note.changed
        .iter()
        .any(|entry| matches!(entry, Entry::Split { .. }))
}

impl Fakes {
    /// Starts one daemon for each text `DOMAIN-NUMBER`, each with a worker of its failure domain.
    pub fn start(names: &[&str]) -> Self {
        let mut fakes = Fakes::default();
        for name in names {
            fakes.join(name);
        }
        fakes
    }

    pub fn join(&mut self, name: &str) -> usize {
        let domain = DomainName::new(name.split('-').next().unwrap_or(name));
        let id = DaemonId::new(name);
        let settings = CoreSettings {
            daemon: id.clone(),
            domain: domain.clone(),
            address: format!("127.0.0.1:{}", 7_000 + self.nodes.len()),
            drain_grace_ms: Millis(1_000),
        };
        self.nodes.push(Node {
            core: Core::new(settings),
            domain,
            id,
            paused: false,
            cut: false,
            lose_answers: 0,
            lagging: None,
            answers: Vec::new(),
            clock_ms: 0,
            hold_writes: false,
            held: Vec::new(),
            links: BTreeMap::new(),
            inbox: VecDeque::new(),
        });
        self.nodes.len() - 1
    }

    /// Lets time pass; a paused daemon's clock goes on.
    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / ROUND_MS {
            for at in 0..self.nodes.len() {
                self.nodes[at].clock_ms += ROUND_MS;
                if !self.nodes[at].paused {
                    self.round(at);
                }
            }
            let running = self.running.values();
            let running = running.map(|task| task.held.need.slots).sum();
            self.most_running = self.most_running.max(running);
        }
    }

    fn round(&mut self, at: usize) {
        let due = std::mem::take(&mut self.nodes[at].inbox);
        for event in due.into_iter().chain([Event::Tick]) {
            self.step(at, event);
        }
    }

    pub fn step(&mut self, at: usize, event: Event) {
        let now_ms = Millis(self.nodes[at].clock_ms);
        let effects = self.nodes[at].core.step(now_ms, event);
        for effect in effects {
            self.carry_out(at, effect);
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        let answer = match effect {
            Effect::AnswerCall { call, answer } => {
                self.nodes[at].answers.push((call, answer));
                return;
            }
            Effect::SendPeer { to, message } => return self.send(at, &to, message),
            Effect::LinkWorker { worker, link, .. } => {
                self.nodes[at].links.insert(worker.clone(), link);
                Event::WorkerLinked { worker, link }
            }
            Effect::SendWorker {
                worker,
                link,
                claim,
                command,
            } => match self.obey(at, claim, command) {
                Some(report) => Event::WorkerHeard {
                    worker,
                    link,
                    report,
                },
                None => return,
            },
            Effect::Write { op, txn } if self.nodes[at].hold_writes => {
                self.nodes[at].held.push((op, txn));
                return;
            }
            Effect::Write { op, txn } => Event::TableAnswered {
                op,
                reply: self.write(at, &txn),
            },
            Effect::Read { op, query } => Event::TableAnswered {
                op,
                reply: self.read(at, &query),
            },
            Effect::PutObject { op, slot, config } => Event::ObjectAnswered {
                op,
                reply: self.put(at, slot, *config),
            },
            Effect::GetObject { op, slot } => Event::ObjectAnswered {
                op,
                reply: self.get(at, slot),
            },
            Effect::ReadHosts => Event::HostsRead {
                hosts: vec![self.host(at)],
            },
            Effect::SetPeerAddress { .. }
            | Effect::UnlinkWorker { .. }
            | Effect::Log(_)
            | Effect::Exit => return,
        };
        self.nodes[at].inbox.push_back(answer);
    }

    fn send(&mut self, at: usize, to: &DaemonId, message: pomelotide_core::PeerMessage) {
        let from = (self.nodes[at].id.clone(), self.nodes[at].domain.clone());
        let cut = self.nodes[at].cut;
        let found = self.nodes.iter_mut().find(|node| node.id == *to);
        let Some(node) = found else { return };
        if node.domain == from.1 || !(cut || node.cut) {
            let event = Event::PeerHeard {
                from: from.0,
                message,
            };
            node.inbox.push_back(event);
        }
    }

    fn host(&self, at: usize) -> Host {
        let domain = self.nodes[at].domain.clone();
        Host {
            worker: WorkerId::new(format!("worker-{domain}")),
            domain,
            rack: RackName::new("r"),
            address: "127.0.0.1:9000".into(),
            capacity: slots(1_000),
            leaving: false,
        }
    }

    fn obey(&mut self, at: usize, claim: Claim, command: WorkerCommand) -> Option<WorkerReport> {
        let node = &self.nodes[at];
        let new = || (claim, node.id.clone());
        let top = self.claims.entry(node.domain.clone()).or_insert_with(new);
        if claim < top.0 {
            let (claim, owner) = top.clone();
            return Some(WorkerReport::Fenced { claim, owner });
        }
        *top = (claim, node.id.clone());
        match command {
            WorkerCommand::Claim { .. } => Some(WorkerReport::Claimed {
                incarnation: 1,
                capacity: slots(1_000),
                running: self.tasks_at(at).map(|task| task.held.clone()).collect(),
                ended: Vec::new(),
            }),
            WorkerCommand::Start(start) => {
                let TaskStart {
                    task, team, need, ..
                } = start;
                let held = ActiveTask { task, team, need };
                let domain = self.nodes[at].domain.clone();
                let task = Task { domain, held };
                self.running.insert(task.held.task.clone(), task);
                None
            }
            WorkerCommand::Renew { .. } => Some(WorkerReport::Renewed),
            WorkerCommand::Stop(_) | WorkerCommand::Ack(_) => None,
        }
    }

    fn tasks_at(&self, at: usize) -> impl Iterator<Item = &Task> {
        let domain = &self.nodes[at].domain;
        self.running
            .values()
            .filter(move |task| task.domain == *domain)
    }

    /// Ends some tasks of a daemon's failure domain well.
    pub fn finish(&mut self, at: usize, count: usize) {
        let tasks = self.tasks_at(at).take(count);
        let tasks: Vec<TaskId> = tasks.map(|task| task.held.task.clone()).collect();
        for task in tasks {
            self.running.remove(&task);
            let ended = EndedTask {
                task,
                end: TaskEnd::Done,
                output: Payload(Vec::new()),
            };
            let links = self.nodes[at].links.clone();
            for (worker, link) in links {
                let report = WorkerReport::Ended(ended.clone());
                let event = Event::WorkerHeard {
                    worker,
                    link,
                    report,
                };
                self.nodes[at].inbox.push_back(event);
            }
        }
    }

    /// Lets the writes that were under way take effect, and loses their answers.
    pub fn land_held_writes(&mut self, at: usize) {
        for at_write in 0..self.nodes[at].held.len() {
            let txn = self.nodes[at].held[at_write].1.clone();
            self.write(at, &txn);
        }
        self.drop_held_writes(at);
    }

    /// Loses the writes that were under way, with the answer that this may be so.
    pub fn drop_held_writes(&mut self, at: usize) {
        self.nodes[at].hold_writes = false;
        for (op, _) in std::mem::take(&mut self.nodes[at].held) {
            let reply = TableReply::Lost;
            let event = Event::TableAnswered { op, reply };
            self.nodes[at].inbox.push_back(event);
        }
    }

    /// Says whether a note that moves parts of limits is under way from a daemon.
    pub fn holds_move(&self, at: usize) -> bool {
        let rows = self.nodes[at].held.iter().flat_map(|(_, txn)| &txn.puts);
        rows.into_iter().any(|(_, row)| is_move(row))
    }

    /// Returns the number of notes that moved parts of limits.
    pub fn moves(&self) -> usize {
        self.rows.values().filter(|row| is_move(row)).count()
    }

    fn write(&mut self, at: usize, txn: &Txn) -> TableReply {
        let node = &mut self.nodes[at];
        if node.cut {
            return TableReply::Refused;
        }
        self.writes += 1;
        self.most_deletes = self.most_deletes.max(txn.deletes.len());
        for check in &txn.checks {
            if self.rows.get(&check.key) != check.row.as_ref() {
                return TableReply::Conflict {
                    key: check.key.clone(),
                    found: self.rows.get(&check.key).cloned().map(Box::new),
                };
            }
        }
        self.rows.extend(txn.puts.iter().cloned());
        for (key, row) in &txn.deletes {
            if row.is_none() || self.rows.get(key) == row.as_ref() {
                self.rows.remove(key);
            }
        }
        let mut existed = Vec::new();
        for insert in &txn.inserts {
            if let Some(row) = self.rows.get(&insert.key) {
                existed.push((insert.key.clone(), row.clone()));
                continue;
            }
            self.rows.insert(insert.key.clone(), insert.row.clone());
            self.rows.extend(insert.second.as_deref().cloned());
        }
        if node.lose_answers > 0 {
            node.lose_answers -= 1;
            return TableReply::Lost;
        }
        TableReply::Committed { existed }
    }

    fn read(&mut self, at: usize, query: &Query) -> TableReply {
        let node = &self.nodes[at];
        if node.cut {
            return TableReply::Lost;
        }
        self.reads += 1;
        let rows = node.lagging.as_ref().unwrap_or(&self.rows);
        let wanted = |key: &pomelotide_core::Key| match query {
            Query::One(one) => key == one,
            Query::Many(keys) => keys.contains(key),
            Query::DeltasAfter(after) => {
                matches!(key, pomelotide_core::Key::Delta(revision) if revision > after)
            }
            Query::Members => matches!(key, pomelotide_core::Key::Member(_)),
            Query::JobsAfter(..) => false,
        };
        let found = rows.iter().filter(|(key, _)| wanted(key));
        let most = pomelotide_core::consts::MAX_READ_ROWS as usize;
        let found = found.map(|(key, row)| (key.clone(), row.clone()));
        TableReply::Rows(found.take(most).collect())
    }

    fn put(&mut self, at: usize, slot: SnapshotSlot, config: Config) -> ObjectReply {
        if self.nodes[at].cut || self.store_down {
            return ObjectReply::Lost;
        }
        self.objects.insert(slot, config);
        ObjectReply::Stored
    }

    fn get(&self, at: usize, slot: SnapshotSlot) -> ObjectReply {
        if self.nodes[at].cut || self.store_down {
            return ObjectReply::Lost;
        }
        match self.objects.get(&slot) {
            Some(config) => ObjectReply::Found(Box::new(config.clone())),
            None => ObjectReply::Unusable,
        }
    }

    /// Proposes a note at a daemon and returns its call.
    pub fn propose(&mut self, at: usize, note: Note) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        self.step(at, Event::NoteArrived { call, note });
        call
    }

    /// Sends a daemon an idempotent request that waits long.
    pub fn request(&mut self, at: usize, key: &str, queue: &str) -> CallId {
        self.request_of(at, key, queue, true)
    }

    pub fn request_of(&mut self, at: usize, key: &str, queue: &str, idempotent: bool) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let request = Request {
            id: RequestId::new(format!("request-{}", self.calls)),
            key: Some(KeyDigest::new(format!("digest-of-{key}"))),
            queue: QueueName::new(queue),
            idempotent,
            deadline_ms: Millis(300_000),
            payload: Payload(Vec::new()),
        };
        self.step(at, Event::RequestArrived { call, request });
        call
    }

    pub fn answer(&self, at: usize, call: CallId) -> Option<&Answer> {
        let mut answers = self.nodes[at].answers.iter();
        answers
            .find(|(of, _)| *of == call)
            .map(|(_, answer)| answer)
    }

    pub fn revision(&self, at: usize) -> u64 {
        self.nodes[at].core.config().revision().0
    }

    pub fn running_at(&self, at: usize) -> usize {
        self.tasks_at(at).count()
    }

    /// Applies a first note and lets everything settle.
    pub fn settle(&mut self, entries: Vec<Entry>) {
        self.run(3_000);
        self.propose(0, note("first", 0, entries));
        self.run(9_000);
        assert_eq!(self.revision(0), 1);
    }
}
