//! Workers, with the rules of the platform: they compare tokens, reject runs that were stopped or have
//! ended, let everything end with its lease, and list ends until they are acknowledged.

use pomelotide_core::{
    cell::{
        ActiveRun, FencingToken, FinishedRun, Incarnation, RpcId, RunOutcome, StartRequest,
        StepKey, TaskKey, UnreadableRows, WorkerAnswer, WorkerCall, WorkerEntry, WorkerRefusal,
        WorkerRuns,
    },
    Millis, Resources, WorkerId,
};
use std::collections::BTreeMap;

/// The longest lease that a worker accepts.
const MAX_LEASE_MS: u64 = 10_000;
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// The shortest and the longest time that a stop takes.
const STOP_MS: (u64, u64) = (200, 900);
/// How many ends a list names at most.
const MAX_LISTED_ENDS: usize = 500;

/// What the text that is passed to the tasks of a step says about them.
#[derive(Clone, Debug, Default)]
pub struct StepRules {
    pub need: Resources,
    /// The number of members; 0 if the step is no gang.
    pub members: u32,
    /// How long its runs take, where that is not the same for all steps.
    pub work_ms: Option<u64>,
}

/// The rules of all steps that were handed in.
pub type Specs = BTreeMap<StepKey, StepRules>;

/// A call to a worker.
#[derive(Clone, Debug)]
pub struct Order {
    pub worker: WorkerId,
    pub token: FencingToken,
    pub call: WorkerCall,
    pub timeout_ms: Millis,
    /// The incarnation of the worker when the call was sent.
    pub incarnation: Option<Incarnation>,
    /// The incarnation that the caller has seen in the worker's last list.
    pub seen: Option<Incarnation>,
}

/// One run as the worker saw it.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub begin: u64,
    pub end: Option<u64>,
    pub done: bool,
    pub key: TaskKey,
    pub run: u32,
    pub how: Option<RunOutcome>,
    /// Whether its end was acknowledged.
    pub acknowledged: bool,
}

#[derive(Clone, Debug)]
struct Active {
    begin: u64,
    /// When its work is done; `None` for a member of a gang that is not complete.
    until: Option<u64>,
    /// When its stop is complete, if it was stopped.
    stopped_at: Option<u64>,
    span: usize,
    need: Resources,
    members: u32,
    work_ms: u64,
}

/// A run that is over, whose end is not acknowledged.
#[derive(Clone, Debug)]
struct Finished {
    end: FinishedRun,
    span: usize,
    /// Whether the lease has lapsed since; an acknowledgement counts for nothing then.
    has_lapsed: bool,
}

/// An end of a member of a gang, which ends the other members too.
pub type MemberEnd = (TaskKey, u32, RunOutcome);

/// A worker of four cores on which every run takes a second.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// Its position in the list of workers, from 0.
    pub number: usize,
    /// How long a ticket is valid after its issue; `None` accepts every ticket.
    pub ticket_valid_ms: Option<u64>,
    token: u64,
    /// By its own clock.
    lease_until: u64,
    /// When its clock began.
    clock_begin: u64,
    /// How slow its clock is, in thousandths.
    pub clock_slow_permille: u64,
    active: BTreeMap<(TaskKey, u32), Active>,
    finished: Vec<Finished>,
    member_ends: Vec<MemberEnd>,
    stops: u64,
    /// Whether it is unhealthy: starts are refused.
    pub refuses_starts: bool,
    /// Whether a start that exceeds its capacity is refused.
    pub guards_room: bool,
    /// The starts that exceeded its capacity: task and time.
    pub overfull: Vec<(TaskKey, u64)>,
    /// Whether calls that were meant for an earlier incarnation under the same id are carried out.
    pub accepts_earlier_calls: bool,
    /// The tasks and times of such calls; no task for a poll.
    pub earlier_calls: Vec<(Option<TaskKey>, u64)>,
    /// The tasks whose ends were acknowledged by a caller that could not know of this incarnation.
    pub unseen_ends: Vec<TaskKey>,
    /// The acknowledgements that were received, with their tokens.
    acknowledgements: Vec<(FencingToken, u64)>,
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
            cold_remaining_ms: Millis(0),
        };
        Self {
            entry,
            number: at,
            ticket_valid_ms: None,
            token: 0,
            lease_until: 0,
            clock_begin: 0,
            clock_slow_permille: 0,
            active: BTreeMap::new(),
            finished: Vec::new(),
            member_ends: Vec::new(),
            stops: 0,
            refuses_starts: false,
            guards_room: false,
            overfull: Vec::new(),
            accepts_earlier_calls: true,
            earlier_calls: Vec::new(),
            unseen_ends: Vec::new(),
            acknowledgements: Vec::new(),
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

    /// Returns the time of its clock.
    fn clock(&self, now: u64) -> u64 {
        let age_ms = now - self.clock_begin;
        age_ms - age_ms * self.clock_slow_permille / 1_000
    }

    /// Starts again under its old id: it holds nothing and has seen no token. Returns the looks that
    /// get no answer.
    pub fn restart(&mut self, now: u64) -> Vec<(usize, RpcId)> {
        for ((task, run), active) in std::mem::take(&mut self.active) {
            self.spans[active.span].end = Some(now);
            if active.members > 0 {
                self.member_ends.push((task, run, RunOutcome::Failed));
            }
        }
        self.finished.clear();
        self.last_end = 0;
        self.token = 0;
        self.lease_until = 0;
        self.clock_begin = now;
        self.stopped.clear();
        let life = self.entry.incarnation.map_or(0, |life| life.0);
        self.entry.incarnation = Some(Incarnation(life + 1));
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(at, rpc, _)| (at, rpc)).collect()
    }

    /// Drops the orders that would be carried out late.
    pub(super) fn drop_late_orders(&mut self) {
        self.late.clear();
    }

    fn end(&mut self, now: u64, task: &TaskKey, run: u32, how: RunOutcome) {
        let Some(active) = self.active.remove(&(task.clone(), run)) else {
            return;
        };
        self.last_end += 1;
        let span = &mut self.spans[active.span];
        span.end = Some(now);
        span.done = how == RunOutcome::Done;
        span.how = Some(how);
        let highest = self.stopped.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        if active.members > 0 {
            self.member_ends.push((task.clone(), run, how));
        }
        let end = FinishedRun {
            number: self.last_end,
            task: task.clone(),
            run,
            outcome: how,
            checkpoint: None,
        };
        self.finished.push(Finished {
            end,
            span: active.span,
            has_lapsed: false,
        });
    }

    /// Ends what is over by now: everything if the lease has expired.
    fn end_due_runs(&mut self, now: u64) {
        let lapsed = self.clock(now) >= self.lease_until;
        for finished in &mut self.finished {
            finished.has_lapsed |= lapsed;
        }
        let how_of = |active: &Active| {
            let waits = active.members > 0 && active.until.is_none();
            match active.stopped_at {
                _ if lapsed => Some(RunOutcome::Lapsed),
                Some(at) => (now >= at).then_some(RunOutcome::Stopped),
                None if waits && now >= active.begin + GANG_TIMEOUT_MS => Some(RunOutcome::Alone),
                None => active
                    .until
                    .is_some_and(|until| now >= until)
                    .then_some(self.how),
            }
        };
        let over = self.active.iter();
        let over = over.filter_map(|(key, active)| Some((key.clone(), how_of(active)?)));
        let over: Vec<((TaskKey, u32), RunOutcome)> = over.collect();
        for ((task, run), how) in over {
            self.end(now, &task, run, how);
        }
    }

    /// Returns the members of gangs that run here and have not been stopped: key, run and begin.
    pub fn members(&self) -> impl Iterator<Item = (&TaskKey, u32, &u64, u32, bool)> {
        let members = self.active.iter().filter(|(_, active)| active.members > 0);
        members.map(|((task, run), active)| {
            let is_working = active.until.is_some();
            (task, *run, &active.begin, active.members, is_working)
        })
    }

    /// Lets the members of a complete gang work from `begin` on.
    pub fn complete_gang(&mut self, step: &StepKey, run: u32, begin: u64) {
        for ((task, number), active) in &mut self.active {
            if task.step == *step && *number == run {
                active.until.get_or_insert(begin + active.work_ms);
            }
        }
    }

    /// Ends the members of a gang after another member's end.
    pub fn end_members(&mut self, now: u64, end: &MemberEnd) {
        let (ended, run, how) = end;
        let how = match how {
            RunOutcome::Done => RunOutcome::Done,
            _ => RunOutcome::Broken,
        };
        let others = self.active.keys();
        let others = others.filter(|(task, number)| task.step == ended.step && number == run);
        for (task, run) in others.cloned().collect::<Vec<_>>() {
            self.end(now, &task, run, how);
        }
    }

    /// Returns the ends of members of gangs since the last call.
    pub fn take_member_ends(&mut self) -> Vec<MemberEnd> {
        std::mem::take(&mut self.member_ends)
    }

    /// Carries out late starts and ends what is over.
    pub fn tick(&mut self, now: u64, specs: &Specs) {
        let (due, rest) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = rest;
        let due: Vec<(u64, Order)> = due;
        for (_, order) in due {
            self.carry_out(now, &order, specs);
        }
        self.end_due_runs(now);
    }

    /// Returns the answers of looks that waited.
    pub fn answer_looks(&mut self, now: u64) -> Vec<(usize, RpcId, WorkerAnswer)> {
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
        let active = self.active.keys().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: 0,
        });
        let finished = self.finished.iter().take(MAX_LISTED_ENDS);
        let mut view = WorkerRuns {
            incarnation: self.entry.incarnation,
            active: active.collect(),
            finished: finished.map(|finished| finished.end.clone()).collect(),
            has_more_finished: self.finished.len() >= MAX_LISTED_ENDS,
        };
        let clock = Millis(self.clock(now));
        if self.ends_unreadable {
            let ends = std::mem::take(&mut view.finished);
            let unreadable = UnreadableRows {
                finished: ends.iter().map(|end| end.number).collect(),
                ..UnreadableRows::default()
            };
            return WorkerAnswer::PartlyListed(clock, view, unreadable);
        }
        WorkerAnswer::Listed(clock, view)
    }

    /// Takes a call; returns its answer with a delay, or nothing where it comes with a tick.
    pub fn call(
        &mut self,
        now: u64,
        at: usize,
        rpc: RpcId,
        call: Order,
        specs: &Specs,
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
        let answer = self.carry_out(now, &call, specs);
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

    fn carry_out(&mut self, now: u64, call: &Order, specs: &Specs) -> WorkerAnswer {
        let clock = Millis(self.clock(now));
        if call.incarnation != self.entry.incarnation {
            if !self.accepts_earlier_calls {
                return WorkerAnswer::Refused(WorkerRefusal::OtherWorker, Some(clock));
            }
            let task = match &call.call {
                WorkerCall::Start(start) => Some(start.task.clone()),
                WorkerCall::Stop { task, .. } => Some(task.clone()),
                WorkerCall::Renew { .. } => None,
            };
            self.earlier_calls.push((task, now));
        }
        self.end_due_runs(now);
        if call.token.0 < self.token {
            return WorkerAnswer::Refused(WorkerRefusal::Fenced, Some(clock));
        }
        self.token = call.token.0;
        match &call.call {
            WorkerCall::Start(start) => self.start(now, start, specs),
            WorkerCall::Stop { task, run } => {
                let last = self.stopped.entry(task.clone()).or_default();
                *last = (*last).max(*run);
                self.stops += 1;
                let (least, most) = STOP_MS;
                let spread = (self.number as u64 * 131 + self.stops * 257) % (most - least + 1);
                if let Some(active) = self.active.get_mut(&(task.clone(), *run)) {
                    active.stopped_at.get_or_insert(now + least + spread);
                }
                WorkerAnswer::Carried(clock)
            }
            WorkerCall::Renew {
                lease_until_ms,
                acknowledge,
                ..
            } => {
                if let Some(until) = lease_until_ms {
                    self.extend_lease(now, *until);
                }
                for finished in self.finished.iter().filter(|finished| !finished.has_lapsed) {
                    self.spans[finished.span].acknowledged |= finished.end.number <= *acknowledge;
                }
                // A repeated number is no excuse.
                let number = (call.token, *acknowledge);
                let is_repeated = self.acknowledgements.contains(&number);
                self.acknowledgements.push(number);
                if call.seen != self.entry.incarnation && !is_repeated {
                    let ends = self.finished.iter().map(|finished| &finished.end);
                    let unseen = ends.filter(|end| end.number <= *acknowledge);
                    self.unseen_ends.extend(unseen.map(|end| end.task.clone()));
                }
                let is_open = |finished: &Finished| finished.end.number > *acknowledge;
                self.finished.retain(is_open);
                self.view(now)
            }
        }
    }

    /// Extends the lease of everything that runs; it never becomes shorter.
    fn extend_lease(&mut self, now: u64, until: Millis) {
        let longest = self.clock(now) + MAX_LEASE_MS;
        self.lease_until = self.lease_until.max(until.0.min(longest));
    }

    fn start(&mut self, now: u64, start: &StartRequest, specs: &Specs) -> WorkerAnswer {
        let clock = self.clock(now);
        let refused = |why| WorkerAnswer::Refused(why, Some(Millis(clock)));
        if self.refuses_starts {
            return refused(WorkerRefusal::Unhealthy);
        }
        if start.lease_until_ms.0 <= clock {
            return refused(WorkerRefusal::Late);
        }
        let key = (start.task.clone(), start.run);
        if self.active.contains_key(&key) {
            self.extend_lease(now, start.lease_until_ms);
            return WorkerAnswer::Carried(Millis(clock));
        }
        let highest = self.stopped.get(&start.task);
        if highest.is_some_and(|highest| *highest >= start.run) {
            self.extend_lease(now, start.lease_until_ms);
            return refused(WorkerRefusal::OldRun);
        }
        if let Some(ticket) = &start.ticket {
            let issued: u64 = ticket.0.parse().unwrap();
            let expired = self
                .ticket_valid_ms
                .is_some_and(|valid| now > issued + valid);
            if expired || issued < self.clock_begin {
                return refused(WorkerRefusal::BadTicket);
            }
        }
        let rules = specs.get(&start.task.step).cloned().unwrap_or_default();
        let used = self.active.values().map(|active| active.need);
        let used = used.fold(rules.need, Resources::plus);
        self.extend_lease(now, start.lease_until_ms);
        if !used.fits(&self.entry.capacity) {
            if self.guards_room {
                return refused(WorkerRefusal::NoRoom);
            }
            self.overfull.push((start.task.clone(), now));
        }
        self.most_cpu_milli = self.most_cpu_milli.max(used.cpu_milli);
        let name = start.task.to_string();
        self.starts.push((self.id(), name.clone(), start.run, now));
        self.spans.push(Span {
            task: name,
            begin: now,
            end: None,
            done: false,
            key: start.task.clone(),
            run: start.run,
            how: None,
            acknowledged: false,
        });
        let work_ms = rules.work_ms.unwrap_or(self.work_ms);
        let active = Active {
            begin: now,
            until: (rules.members == 0).then_some(now + work_ms),
            work_ms,
            stopped_at: None,
            span: self.spans.len() - 1,
            need: rules.need,
            members: rules.members,
        };
        self.active.insert(key, active);
        WorkerAnswer::Carried(Millis(clock))
    }
}
