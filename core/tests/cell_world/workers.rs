//! Workers: they compare tokens, start whatever they are told to, and keep ends until acknowledged.

use pomelotide_core::{
    cell::{
        ActiveRun, FencingToken, FinishedRun, Incarnation, RpcId, RunOutcome, TaskKey,
        UnreadableRows, WorkerAnswer, WorkerCall, WorkerEntry, WorkerRefusal, WorkerRuns,
    },
    Millis, Resources, WorkerId,
};
use std::collections::BTreeMap;

/// A call to a worker.
#[derive(Clone, Debug)]
pub struct Order {
    pub worker: WorkerId,
    pub token: FencingToken,
    pub call: WorkerCall,
    pub timeout_ms: Millis,
}

/// One run as the worker saw it.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub begin: u64,
    pub end: Option<u64>,
    pub done: bool,
}

#[derive(Clone, Debug)]
struct Active {
    run: u32,
    until: u64,
    span: usize,
}

/// A worker of four cores on which every run takes a second.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// Its position in the list of workers, from 0.
    pub number: usize,
    /// How long a ticket is valid after its issue; `None` accepts every ticket.
    pub ticket_valid_ms: Option<u64>,
    token: u64,
    lease_until: u64,
    active: BTreeMap<TaskKey, Active>,
    finished: Vec<FinishedRun>,
    last_end: u64,
    stopped: BTreeMap<TaskKey, u32>,
    waiting: Vec<(usize, RpcId, u64)>,
    pub starts: Vec<(WorkerId, String, u32, u64)>,
    pub spans: Vec<Span>,
    /// How long a run takes.
    pub work_ms: u64,
    /// How the runs end.
    pub how: RunOutcome,
    /// Whether calls hang without an answer and are not carried out.
    pub silent: bool,
    /// Whether starts hang without an answer and are carried out this much later.
    pub late_starts_ms: Option<u64>,
    late: Vec<(u64, Order)>,
    /// If set, every poll is answered with it at once instead of with the lists of runs.
    pub answer_override: Option<WorkerAnswer>,
    /// Whether the rows of its ended runs can't be read, except for their numbers.
    pub ends_unreadable: bool,
    /// How many polls it has received.
    pub polls: usize,
    /// The highest use of its processors that was seen.
    pub most_cpu_milli: u64,
    used: Resources,
}

impl FakeWorker {
    pub fn new(at: usize) -> Self {
        let entry = WorkerEntry {
            id: WorkerId::new(format!("w{at:02}")),
            service: "desk".into(),
            address: format!("10.1.0.{at}:80").into(),
            domain: "saiss".into(),
            draining: false,
            capacity: Resources {
                cpu_milli: 4_000,
                memory_mib: 8_000,
                accelerators: 0,
                slots: 0,
            },
            labels: vec!["a".into(), format!("r1-{}", at / 4).into()],
            incarnation: Some(Incarnation(1)),
        };
        Self {
            entry,
            number: at,
            ticket_valid_ms: None,
            token: 0,
            lease_until: 0,
            active: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            stopped: BTreeMap::new(),
            waiting: Vec::new(),
            starts: Vec::new(),
            spans: Vec::new(),
            work_ms: 1_000,
            how: RunOutcome::Done,
            silent: false,
            late_starts_ms: None,
            late: Vec::new(),
            answer_override: None,
            ends_unreadable: false,
            polls: 0,
            most_cpu_milli: 0,
            used: Resources::default(),
        }
    }

    pub fn id(&self) -> WorkerId {
        self.entry.id.clone()
    }

    /// Returns how many ends are not acknowledged.
    pub fn unacknowledged_ends(&self) -> usize {
        self.finished.len()
    }

    /// Returns what runs.
    pub fn running(&self) -> usize {
        self.active.len()
    }

    /// Starts again under its old id: it holds nothing and has seen no token. Returns the looks that
    /// get no answer.
    pub fn restart(&mut self, now: u64) -> Vec<(usize, RpcId)> {
        for active in std::mem::take(&mut self.active).into_values() {
            self.spans[active.span].end = Some(now);
        }
        self.finished.clear();
        self.last_end = 0;
        self.token = 0;
        self.stopped.clear();
        let life = self.entry.incarnation.map_or(0, |life| life.0);
        self.entry.incarnation = Some(Incarnation(life + 1));
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(at, rpc, _)| (at, rpc)).collect()
    }

    fn end(&mut self, now: u64, task: &TaskKey, how: RunOutcome) {
        let Some(active) = self.active.remove(task) else {
            return;
        };
        self.last_end += 1;
        self.spans[active.span].end = Some(now);
        self.spans[active.span].done = how == RunOutcome::Done;
        let last = self.stopped.entry(task.clone()).or_default();
        *last = (*last).max(active.run);
        self.finished.push(FinishedRun {
            number: self.last_end,
            task: task.clone(),
            run: active.run,
            outcome: how,
            checkpoint: None,
        });
    }

    /// Lets time pass; returns the answers of looks that waited.
    pub fn tick(&mut self, now: u64) -> Vec<(usize, RpcId, WorkerAnswer)> {
        let due: Vec<Order> = {
            let (due, rest) = self.late.drain(..).partition(|(at, _)| *at <= now);
            self.late = rest;
            let due: Vec<(u64, Order)> = due;
            due.into_iter().map(|(_, order)| order).collect()
        };
        for order in due {
            self.carry_out(now, &order);
        }
        let lapsed = now >= self.lease_until;
        let over: Vec<TaskKey> = self.active.keys().cloned().collect();
        for task in over {
            if lapsed {
                self.end(now, &task, RunOutcome::Lapsed);
            } else if now >= self.active[&task].until {
                self.end(now, &task, self.how);
            }
        }
        if self.silent {
            return Vec::new();
        }
        let view = self.view(now);
        let ended = !self.finished.is_empty();
        let (ready, rest) = self
            .waiting
            .drain(..)
            .partition(|(_, _, until)| ended || *until <= now);
        self.waiting = rest;
        let ready: Vec<(usize, RpcId, u64)> = ready;
        ready
            .into_iter()
            .map(|(at, rpc, _)| (at, rpc, view.clone()))
            .collect()
    }

    fn view(&self, now: u64) -> WorkerAnswer {
        let active = self.active.iter().map(|(task, active)| ActiveRun {
            task: task.clone(),
            run: active.run,
            checkpoint: None,
            percent: 0,
        });
        let mut view = WorkerRuns {
            incarnation: self.entry.incarnation,
            active: active.collect(),
            finished: self.finished.clone(),
        };
        if self.ends_unreadable {
            let ends = std::mem::take(&mut view.finished);
            let unreadable = UnreadableRows {
                finished: ends.iter().map(|end| end.number).collect(),
                ..UnreadableRows::default()
            };
            return WorkerAnswer::PartlyListed(Millis(now), view, unreadable);
        }
        WorkerAnswer::Listed(Millis(now), view)
    }

    /// Takes a call; returns its answer with a delay, or nothing where it comes with a tick.
    pub fn call(
        &mut self,
        now: u64,
        at: usize,
        rpc: RpcId,
        call: Order,
    ) -> Option<(u64, WorkerAnswer)> {
        if self.silent {
            return None;
        }
        if let (Some(delay_ms), WorkerCall::Start(_)) = (self.late_starts_ms, &call.call) {
            self.late.push((now + delay_ms, call));
            return None;
        }
        let wait_ms = match &call.call {
            WorkerCall::Renew { wait_ms, .. } => {
                self.polls += 1;
                wait_ms.0
            }
            _ => 0,
        };
        let answer = self.carry_out(now, &call);
        if let (Some(fixed), WorkerAnswer::Listed(..)) = (&self.answer_override, &answer) {
            return Some((0, fixed.clone()));
        }
        let waits = wait_ms > 0 && self.finished.is_empty();
        let is_list = matches!(
            answer,
            WorkerAnswer::Listed(..) | WorkerAnswer::PartlyListed(..)
        );
        if waits && is_list {
            self.waiting.push((at, rpc, now + wait_ms));
            return None;
        }
        Some((0, answer))
    }

    fn carry_out(&mut self, now: u64, call: &Order) -> WorkerAnswer {
        if call.token.0 < self.token {
            return WorkerAnswer::Refused(WorkerRefusal::Fenced, Some(Millis(now)));
        }
        self.token = call.token.0;
        match &call.call {
            WorkerCall::Start(start) => self.start(now, start),
            WorkerCall::Stop { task, run } => {
                let last = self.stopped.entry(task.clone()).or_default();
                *last = (*last).max(*run);
                if self.active.get(task).is_some_and(|own| own.run == *run) {
                    self.end(now, task, RunOutcome::Stopped);
                }
                WorkerAnswer::Carried(Millis(now))
            }
            WorkerCall::Renew {
                lease_until_ms,
                acknowledge,
                ..
            } => {
                self.lease_until = self
                    .lease_until
                    .max(lease_until_ms.map_or(0, |until| until.0));
                self.finished.retain(|end| end.number > *acknowledge);
                self.view(now)
            }
        }
    }

    fn start(&mut self, now: u64, start: &pomelotide_core::cell::StartRequest) -> WorkerAnswer {
        self.lease_until = self.lease_until.max(start.lease_until_ms.0);
        let refused = |why| WorkerAnswer::Refused(why, Some(Millis(now)));
        if start.lease_until_ms.0 <= now {
            return refused(WorkerRefusal::Late);
        }
        if self
            .stopped
            .get(&start.task)
            .is_some_and(|last| *last >= start.run)
        {
            return refused(WorkerRefusal::OldRun);
        }
        if let (Some(valid_ms), Some(ticket)) = (self.ticket_valid_ms, &start.ticket) {
            let issued: u64 = ticket.0.parse().unwrap();
            if now > issued + valid_ms {
                return refused(WorkerRefusal::BadTicket);
            }
        }
        let name = start.task.to_string();
        self.starts.push((self.id(), name.clone(), start.run, now));
        self.spans.push(Span {
            task: name,
            begin: now,
            end: None,
            done: false,
        });
        let active = Active {
            run: start.run,
            until: now + self.work_ms,
            span: self.spans.len() - 1,
        };
        self.active.insert(start.task.clone(), active);
        WorkerAnswer::Carried(Millis(now))
    }
}
