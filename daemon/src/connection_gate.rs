//! The connections of a listener: admits them, counts what they receive and closes those that a budget names.

use crate::{
    client_bounds::ClientBounds,
    client_budget::{Admission, BudgetLimits, ClientBudget, ConnectionId, ShedReason},
    heap::return_free_memory,
    memory_bounds::MemoryBounds,
    memory_return::{FreedMemory, MemoryReturn},
    resident_memory::resident_memory,
};
use metrics::counter;
use pomelotide_core::cell::LogEvent;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{oneshot, Notify},
    task::yield_now,
    time::{sleep, timeout},
};

/// The interval at which connections are checked for timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new connection waits until another one ends, before it is refused.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(20);
/// The minimum interval at which the memory of the process is read.
const MEMORY_READ_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum interval of log lines about one kind of closing.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The last log line about a kind of closing, and the closings since.
#[derive(Debug, Default)]
struct Unlogged {
    logged_at: Option<Instant>,
    count: u64,
}

/// The open connections of a listener.
pub(crate) struct ConnectionGate {
    listener: &'static str,
    log: Box<dyn Fn(LogEvent)>,
    started_at: Instant,
    budget: RefCell<ClientBudget>,
    /// The bounds by the memory of the process, for a listener that has a part of it.
    memory: Option<MemoryBounds>,
    memory_read_at: Cell<Option<Instant>>,
    memory_return: Cell<MemoryReturn>,
    /// Wakes a request that waits until it may be passed on.
    answered: Notify,
    /// Wakes a connection that waits until it is admitted.
    ended: Notify,
    closers: RefCell<BTreeMap<ConnectionId, oneshot::Sender<()>>>,
    unlogged: RefCell<BTreeMap<ShedReason, Unlogged>>,
}

/// An admitted connection; it leaves the budget when it is dropped.
pub(crate) struct Entry {
    gate: Rc<ConnectionGate>,
    id: ConnectionId,
}

impl ConnectionGate {
    pub(crate) fn new(
        listener: &'static str,
        limits: BudgetLimits,
        log: impl Fn(LogEvent) + 'static,
    ) -> Self {
        Self {
            listener,
            log: Box::new(log),
            started_at: Instant::now(),
            budget: RefCell::new(ClientBudget::new(limits)),
            memory: None,
            memory_read_at: Cell::default(),
            memory_return: Cell::default(),
            answered: Notify::new(),
            ended: Notify::new(),
            closers: RefCell::default(),
            unlogged: RefCell::default(),
        }
    }

    /// Returns the gate with bounds that follow the memory of the process.
    pub(crate) fn with_memory_bounds(mut self, memory: MemoryBounds) -> Self {
        self.budget.get_mut().set_bounds(memory.least(), 0);
        self.memory = Some(memory);
        self
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Admits a connection, which has to end when the returned receiver completes, or refuses it. If many are
    /// being closed, they run before this returns.
    pub(crate) async fn enter(self: &Rc<Self>) -> Option<(Entry, oneshot::Receiver<()>)> {
        let (id, evicted) = match self.admit().await {
            Admission::Admit(id) => (id, None),
            Admission::AdmitAndClose(id, evicted) => (id, Some(evicted)),
            Admission::Refuse => {
                self.record(ShedReason::Connections);
                return None;
            }
        };
        let (closer, closed) = oneshot::channel();
        self.closers.borrow_mut().insert(id, closer);
        let gate = self.clone();
        let entry = Entry { gate, id };
        if let Some(evicted) = evicted {
            self.shed(evicted, ShedReason::Connections);
        }
        if self.budget.borrow().is_closing_many() {
            yield_now().await;
        }
        Some((entry, closed))
    }

    /// Admits a connection. If none can be closed for it, waits until one ends; the others wait in the kernel's
    /// queue, so that refusing them does not take the processor from requests that are complete.
    async fn admit(&self) -> Admission {
        if self.budget.borrow().is_full() {
            self.set_bounds_by_memory();
        }
        let admission = self.budget.borrow_mut().admit(self.now_ms());
        if admission != Admission::Refuse {
            return admission;
        }
        // It is refused if none ends in time.
        let _ = timeout(ADMISSION_TIMEOUT, self.ended.notified()).await;
        let admission = self.budget.borrow_mut().admit(self.now_ms());
        admission
    }

    /// Closes connections that exceed a timeout, for ever. `timeouts` returns those for heads and silence.
    pub(crate) async fn close_overdue(self: Rc<Self>, timeouts: impl Fn() -> Option<(u64, u64)>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let overdue = {
                let mut budget = self.budget.borrow_mut();
                if let Some((head_ms, idle_ms)) = timeouts() {
                    budget.set_timeouts(head_ms, idle_ms);
                }
                budget.close_overdue(self.now_ms())
            };
            for (id, reason) in overdue {
                self.shed(id, reason);
            }
            self.check_memory();
        }
    }

    /// Closes connections if the rest of the process takes more memory than before. What clients may always
    /// hold needs no look at the memory.
    fn check_memory(&self) {
        let Some(memory) = &self.memory else { return };
        self.return_memory(memory, false);
        if memory.least().covers(self.budget.borrow().held()) {
            self.set_bounds(memory.least());
        } else {
            self.set_bounds_by_memory();
        }
    }

    /// Sets the bounds by the memory that the process takes at present, unless it was just read.
    fn set_bounds_by_memory(&self) {
        let Some(memory) = &self.memory else { return };
        if !self.begin_memory_read() {
            return;
        }
        let bounds = match resident_memory() {
            Ok(resident) => {
                self.return_memory(memory, memory.is_short(resident));
                memory.at(resident, self.budget.borrow().held())
            }
            Err(error) => {
                (self.log)(LogEvent::warn("memory_unknown").with("reason", error));
                memory.least()
            }
        };
        self.set_bounds(bounds);
    }

    fn return_memory(&self, memory: &MemoryBounds, is_short: bool) {
        let held = memory.estimate(self.budget.borrow().held());
        let mut decision = self.memory_return.get();
        if decision.next(held, is_short, self.now_ms()) == FreedMemory::Return {
            return_free_memory();
        }
        self.memory_return.set(decision);
    }

    fn set_bounds(&self, bounds: ClientBounds) {
        let closed = self.budget.borrow_mut().set_bounds(bounds, self.now_ms());
        for id in closed {
            self.shed(id, ShedReason::Memory);
        }
    }

    /// Returns whether the memory is due to be read, and if so, starts the interval anew.
    fn begin_memory_read(&self) -> bool {
        let read_at = self.memory_read_at.get();
        let due = read_at.is_none_or(|at| at.elapsed() >= MEMORY_READ_INTERVAL);
        if due {
            self.memory_read_at.set(Some(Instant::now()));
        }
        due
    }

    fn shed(&self, id: ConnectionId, reason: ShedReason) {
        // The connection ends when its closer is dropped.
        self.closers.borrow_mut().remove(&id);
        self.record(reason);
    }

    fn record(&self, reason: ShedReason) {
        counter!("pomelotide_connections_shed_total", "listener" => self.listener, "why" => reason.name())
            .increment(1);
        let mut unlogged = self.unlogged.borrow_mut();
        let unlogged = unlogged.entry(reason).or_default();
        unlogged.count += 1;
        if unlogged
            .logged_at
            .is_some_and(|at| at.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        let budget = self.budget.borrow();
        let line = LogEvent::warn("connections_shed")
            .with("listener", self.listener)
            .with("why", reason)
            .with("count", std::mem::take(&mut unlogged.count))
            .with("open", budget.connections())
            .with("unfinished_bytes", budget.unfinished_bytes());
        unlogged.logged_at = Some(Instant::now());
        (self.log)(line);
    }
}

impl Entry {
    /// Returns whether the connection may be read now; if not, connections that are being closed run first.
    pub(crate) fn may_receive(&self, bytes: u64) -> bool {
        self.gate.budget.borrow().may_receive(bytes)
    }

    /// Counts received bytes; returns whether the connection goes on.
    pub(crate) fn receive(&self, bytes: u64) -> bool {
        if self.gate.budget.borrow().exceeds(bytes) {
            self.gate.set_bounds_by_memory();
        }
        let now_ms = self.gate.now_ms();
        let shed = self
            .gate
            .budget
            .borrow_mut()
            .receive(self.id, bytes, now_ms);
        let Some(first) = shed else { return true };
        let more = self.gate.budget.borrow_mut().make_room(now_ms);
        let mut goes_on = true;
        for id in [first].into_iter().chain(more) {
            goes_on &= id != self.id;
            self.gate.shed(id, ShedReason::Bytes);
        }
        goes_on
    }

    /// Records that the head of a request is complete.
    pub(crate) fn end_head(&self) {
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().end_head(self.id, now_ms);
    }

    /// Waits until the request may be passed on and records it; returns `false` if its connection was closed
    /// before.
    pub(crate) async fn pass_on(&self) -> bool {
        if self.gate.budget.borrow().passes_on_many() {
            self.gate.set_bounds_by_memory();
        }
        if self.gate.budget.borrow().passes_on_many() {
            let now_ms = self.gate.now_ms();
            self.gate.budget.borrow_mut().complete(self.id, now_ms);
        }
        while self.gate.budget.borrow().passes_on_many() {
            self.gate.answered.notified().await;
        }
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().pass_on(self.id, now_ms)
    }

    /// Returns whether the connection has to end after its answer, so that another one can be admitted.
    pub(crate) fn ends_after_answer(&self) -> bool {
        let is_crowded = || self.gate.budget.borrow().is_crowded();
        if is_crowded() {
            self.gate.set_bounds_by_memory();
        }
        is_crowded()
    }

    /// Records that a message is complete and is processed without an answer.
    pub(crate) fn receive_message(&self) {
        let now_ms = self.gate.now_ms();
        let mut budget = self.gate.budget.borrow_mut();
        budget.pass_on(self.id, now_ms);
        budget.answer(self.id, now_ms);
    }

    /// Records that the request is answered.
    pub(crate) fn answer(&self) {
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().answer(self.id, now_ms);
        self.gate.answered.notify_one();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.gate.budget.borrow_mut().close(self.id);
        self.gate.answered.notify_one();
        self.gate.ended.notify_one();
        self.gate.closers.borrow_mut().remove(&self.id);
    }
}
