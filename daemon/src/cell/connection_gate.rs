//! The connections of a listener: admits them, counts what they receive and closes those that a budget names.

use crate::{
    cell::channel::ControlInput,
    client_budget::{Admission, BudgetLimits, ClientBudget, ConnectionId, ShedReason},
};
use crossbeam::channel::Sender;
use metrics::counter;
use pomelotide_core::cell::LogEvent;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::oneshot, time::sleep};

/// The interval at which connections are checked for timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
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
    inputs: Sender<ControlInput>,
    started_at: Instant,
    budget: RefCell<ClientBudget>,
    closers: RefCell<BTreeMap<ConnectionId, oneshot::Sender<()>>>,
    /// The connections that were shed and still hold their memory.
    closing: RefCell<BTreeSet<ConnectionId>>,
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
        inputs: Sender<ControlInput>,
    ) -> Self {
        Self {
            listener,
            inputs,
            started_at: Instant::now(),
            budget: RefCell::new(ClientBudget::new(limits)),
            closers: RefCell::default(),
            closing: RefCell::default(),
            unlogged: RefCell::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Admits a connection, which has to end when the returned receiver completes, or refuses it.
    pub(crate) fn enter(self: &Rc<Self>) -> Option<(Entry, oneshot::Receiver<()>)> {
        let admission = self.budget.borrow_mut().admit(self.now_ms());
        let id = match admission {
            Admission::Admit(id) => id,
            Admission::AdmitAndClose(id, closed) => {
                self.shed(closed, ShedReason::Connections);
                id
            }
            Admission::Refuse => {
                self.record(ShedReason::Connections);
                return None;
            }
        };
        let (closer, closed) = oneshot::channel();
        self.closers.borrow_mut().insert(id, closer);
        let gate = self.clone();
        Some((Entry { gate, id }, closed))
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
        }
    }

    fn shed(&self, id: ConnectionId, reason: ShedReason) {
        // The connection ends when its closer is dropped.
        if self.closers.borrow_mut().remove(&id).is_some() {
            self.closing.borrow_mut().insert(id);
        }
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
        // Fails only while the process exits.
        let _ = self.inputs.send(ControlInput::Log(line));
    }
}

impl Entry {
    /// Returns whether the connection may be read now: not while the memory of shed ones is not free.
    pub(crate) fn may_read(&self) -> bool {
        self.gate.closing.borrow().is_empty()
    }

    /// Counts received bytes; returns whether the connection goes on.
    pub(crate) fn receive(&self, bytes: u64) -> bool {
        let now_ms = self.gate.now_ms();
        let shed = self
            .gate
            .budget
            .borrow_mut()
            .receive(self.id, bytes, now_ms);
        if let Some(id) = shed {
            self.gate.shed(id, ShedReason::Bytes);
        }
        shed != Some(self.id)
    }

    /// Records that the head of a request is complete.
    pub(crate) fn end_head(&self) {
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().end_head(self.id, now_ms);
    }

    /// Records that the request is passed on; returns `false` if its connection was closed before.
    pub(crate) fn pass_on(&self) -> bool {
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().pass_on(self.id, now_ms)
    }

    /// Records that the request is answered, or that a message is complete.
    pub(crate) fn answer(&self) {
        let now_ms = self.gate.now_ms();
        self.gate.budget.borrow_mut().answer(self.id, now_ms);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.gate.budget.borrow_mut().close(self.id);
        self.gate.closers.borrow_mut().remove(&self.id);
        self.gate.closing.borrow_mut().remove(&self.id);
    }
}
