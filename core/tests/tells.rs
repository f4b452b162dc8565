//! What the reducer tells of its decisions, driven by a table, a host list and a worker that answer
//! at once in virtual time.

use pomelotide_core::{
    CallId, Class, Core, CoreSettings, DaemonId, DecisionEvent, DomainName, Effect, EndedTask,
    Entry, Event, HeadRow, Host, Key, KeyDigest, KeyName, Millis, Note, NoteId, Payload, Query,
    QueueName, RackName, Refusal, Request, RequestId, RequestOutcome, Resources, Revision, Row,
    TableReply, TaskEnd, TaskId, TeamName, WaitCause, WorkerCommand, WorkerId, WorkerReport,
};

/// The span between two ticks.
const TICK_MS: u64 = 10;

/// A keeper with one worker of two slots.
struct World {
    core: Core,
    now_ms: Millis,
    table_answers: bool,
    told: Vec<DecisionEvent>,
    started: Vec<TaskId>,
}

fn slots(slots: u64) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

fn team(name: &str, digest: &str, limit: u64) -> [Entry; 2] {
    let team = TeamName::new(name);
    let key = Entry::Key {
        name: KeyName::new(name),
        digest: KeyDigest::new(digest),
        team: team.clone(),
    };
    let team = Entry::Team {
        name: team,
        share: 1,
        limit: slots(limit),
    };
    [team, key]
}

fn note() -> Note {
    let queue = Entry::Queue {
        name: QueueName::new("loans"),
        class: Class::Small,
        open: false,
        team: None,
        need: slots(1),
    };
    let mut added = vec![Entry::Domain(DomainName::new("saiss")), queue];
    added.extend(team("large", "large", 10));
    added.extend(team("little", "little", 1));
    Note {
        id: NoteId::new("first"),
        base: Revision(0),
        added,
        changed: Vec::new(),
        withdrawn: Vec::new(),
    }
}

fn host() -> Host {
    Host {
        worker: WorkerId::new("w0"),
        domain: DomainName::new("saiss"),
        rack: RackName::new("r0"),
        address: "127.0.0.1:1".into(),
        capacity: slots(2),
        leaving: false,
    }
}

impl World {
    /// Runs until the keeper commands its worker and all limits count.
    fn ready() -> Self {
        let settings = CoreSettings {
            daemon: DaemonId::new("a.1"),
            domain: DomainName::new("saiss"),
            address: "127.0.0.1:2".into(),
            drain_grace_ms: Millis(0),
        };
        let mut world = Self {
            core: Core::new(settings),
            now_ms: Millis(0),
            table_answers: true,
            told: Vec::new(),
            started: Vec::new(),
        };
        world.run(Millis(8_000));
        world
    }

    fn run(&mut self, span_ms: Millis) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms = self.now_ms + Millis(TICK_MS);
            self.give(Event::Tick);
        }
    }

    fn give(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.core.step(self.now_ms, event) {
                events.extend(self.carry_out(effect));
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Log(told) => self.told.push(told),
            Effect::Read { op, query } if self.table_answers => {
                let reply = TableReply::Rows(rows(&query));
                return Some(Event::TableAnswered { op, reply });
            }
            Effect::Write { op, .. } if self.table_answers => {
                let existed = Vec::new();
                let reply = TableReply::Committed { existed };
                return Some(Event::TableAnswered { op, reply });
            }
            Effect::Read { op, .. } | Effect::Write { op, .. } => {
                let reply = TableReply::Lost;
                return Some(Event::TableAnswered { op, reply });
            }
            Effect::ReadHosts if self.table_answers => {
                return Some(Event::HostsRead {
                    hosts: vec![host()],
                });
            }
            Effect::LinkWorker { worker, link, .. } => {
                return Some(Event::WorkerLinked { worker, link });
            }
            Effect::SendWorker {
                worker,
                link,
                command,
                ..
            } => {
                let report = self.commanded(command)?;
                return Some(Event::WorkerHeard {
                    worker,
                    link,
                    report,
                });
            }
            _ => {}
        }
        None
    }

    fn commanded(&mut self, command: WorkerCommand) -> Option<WorkerReport> {
        match command {
            WorkerCommand::Claim { .. } => Some(WorkerReport::Claimed {
                incarnation: 1,
                capacity: slots(2),
                running: Vec::new(),
                ended: Vec::new(),
            }),
            WorkerCommand::Start(start) => {
                self.started.push(start.task);
                None
            }
            WorkerCommand::Renew { .. } => Some(WorkerReport::Renewed),
            WorkerCommand::Stop(_) | WorkerCommand::Ack(_) => None,
        }
    }

    /// Sends an idempotent request; returns what is told of it.
    fn ask(&mut self, number: u64, key: &str) -> Vec<DecisionEvent> {
        self.told.clear();
        let request = Request {
            id: RequestId::new(format!("q{number}")),
            key: Some(KeyDigest::new(key)),
            queue: QueueName::new("loans"),
            idempotent: true,
            deadline_ms: Millis(2_000),
            payload: Payload::default(),
        };
        let call = CallId(number);
        self.give(Event::RequestArrived { call, request });
        std::mem::take(&mut self.told)
    }

    /// Lets the worker report the end of a task; returns what is told.
    fn end(&mut self, place: usize, end: TaskEnd) -> Vec<DecisionEvent> {
        self.told.clear();
        let ended = EndedTask {
            task: self.started[place].clone(),
            end,
            output: Payload::default(),
        };
        self.give(Event::WorkerHeard {
            worker: WorkerId::new("w0"),
            link: 1,
            report: WorkerReport::Ended(ended),
        });
        std::mem::take(&mut self.told)
    }
}

fn rows(query: &Query) -> Vec<(Key, Row)> {
    let revision = Revision(1);
    let note_id = NoteId::new("first");
    match query {
        Query::One(Key::ConfigHead) => {
            let head = HeadRow {
                revision,
                note: note_id,
            };
            vec![(Key::ConfigHead, Row::Head(head))]
        }
        Query::Many(keys) => {
            let each = keys.iter().cloned().map(Query::One);
            each.flat_map(|query| rows(&query)).collect()
        }
        Query::DeltasAfter(Revision(0)) => vec![(Key::Delta(revision), Row::Delta(note()))],
        _ => Vec::new(),
    }
}

fn waits(told: &[DecisionEvent]) -> Vec<(u64, WaitCause)> {
    let waits = told.iter().filter_map(|told| match told {
        DecisionEvent::Waiting { ahead, cause, .. } => Some((*ahead, *cause)),
        _ => None,
    });
    waits.collect()
}

#[test]
fn a_request_that_starts_at_once_is_admitted_and_placed() {
    let mut world = World::ready();
    let told = world.ask(1, "large");
    assert!(
        matches!(&told[0], DecisionEvent::RequestAdmitted { request, team, .. }
        if request.as_str() == "large~q1" && team.as_str() == "large")
    );
    assert!(matches!(&told[1], DecisionEvent::Placed { worker, .. } if worker.as_str() == "w0"));
    assert_eq!(told.len(), 2);
    let told = world.end(0, TaskEnd::Done);
    assert!(matches!(
        told[0],
        DecisionEvent::Ended {
            end: TaskEnd::Done,
            class: Some(Class::Small),
            ..
        }
    ));
    assert!(matches!(
        told[1],
        DecisionEvent::RequestAnswered {
            outcome: RequestOutcome::Done,
            ..
        }
    ));
}

#[test]
fn a_request_that_waits_tells_behind_what_and_why() {
    let mut world = World::ready();
    assert!(waits(&world.ask(1, "little")).is_empty());
    assert_eq!(waits(&world.ask(2, "little")), [(0, WaitCause::TeamLimit)]);
    assert!(waits(&world.ask(3, "large")).is_empty());
    assert_eq!(waits(&world.ask(4, "large")), [(0, WaitCause::NoRoom)]);
    assert_eq!(waits(&world.ask(5, "large")), [(1, WaitCause::Behind)]);
    world.told.clear();
    world.run(Millis(2_500));
    let late = world.told.iter().filter(|told| {
        matches!(
            told,
            DecisionEvent::RequestRefused {
                reason: Refusal::DeadlinePassed,
                ..
            }
        )
    });
    assert_eq!(late.count(), 3);
}

#[test]
fn a_retry_tells_which_worker_failed_it() {
    let mut world = World::ready();
    world.ask(1, "large");
    let told = world.end(0, TaskEnd::Failed);
    let retried = told.iter().find_map(|told| match told {
        DecisionEvent::Retried { avoid, .. } => avoid.clone(),
        _ => None,
    });
    assert_eq!(retried, Some(WorkerId::new("w0")));
}

#[test]
fn what_can_not_be_reached_is_told_once_and_so_is_its_return() {
    let mut world = World::ready();
    let stale = |stale| DecisionEvent::KeysStale { stale };
    assert!(world.told.contains(&stale(false)));
    world.told.clear();
    world.table_answers = false;
    world.run(Millis(30_000));
    let of = |told: &DecisionEvent| world.told.iter().filter(|other| *other == told).count();
    let silent = |silent| DecisionEvent::TableUnreachable {
        unreachable: silent,
    };
    let hosts = |stale| DecisionEvent::HostsStale { stale };
    assert_eq!((of(&silent(true)), of(&hosts(true))), (1, 1));
    assert_eq!((of(&silent(false)), of(&hosts(false))), (0, 0));
    world.told.clear();
    world.table_answers = true;
    world.run(Millis(10_000));
    let of = |told: &DecisionEvent| world.told.iter().filter(|other| *other == told).count();
    assert_eq!((of(&silent(false)), of(&hosts(false))), (1, 1));
}

#[test]
fn the_views_show_what_runs_and_waits() {
    let mut world = World::ready();
    world.ask(1, "little");
    world.ask(2, "little");
    let workers = world.core.worker_views();
    assert_eq!((workers.len(), workers[0].tasks), (1, 1));
    assert!(workers[0].ready && !workers[0].leaving);
    assert_eq!(workers[0].used, slots(1));
    let teams = world.core.team_views();
    let little = teams.iter().find(|view| view.team.as_str() == "little");
    let little = little.expect("the team is shown");
    assert_eq!(
        (little.limit, little.allotment, little.running),
        (slots(1), slots(1), slots(1))
    );
    assert_eq!(little.pending, 1);
    let peers = world.core.peer_views();
    assert_eq!(peers.len(), 1);
    assert!(peers[0].leader_term.is_some());
    let history: Vec<String> = world
        .core
        .config()
        .history()
        .map(|(revision, note)| format!("{revision} {note}"))
        .collect();
    assert_eq!(history, ["1 first"]);
    assert!(world.core.job_views().is_empty());
}
