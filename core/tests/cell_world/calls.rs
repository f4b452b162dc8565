//! Faults of single calls to workers: lost, carried out late, or answered late.

use super::{Order, World};
use pomelotide_core::{cell::WorkerCall, WorkerId};

/// The kind of a call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    Start,
    Stop,
    /// A poll that waits at the worker.
    Poll,
    QuickPoll,
}

/// A fault of calls to workers.
#[derive(Clone, Debug)]
pub struct CallFault {
    pub kind: CallKind,
    /// The worker, or all.
    pub worker: Option<WorkerId>,
    /// How many calls it affects.
    pub times: usize,
    pub lost: bool,
    /// How much later the call is carried out.
    pub call_ms: u64,
    /// How much later its answer arrives.
    pub answer_ms: u64,
}

/// The faults of a random part of all calls.
#[derive(Clone, Debug)]
pub struct RandomCallFaults {
    pub seed: u64,
    pub lost_permille: u64,
    /// The part that is carried out up to `max_late_ms` late.
    pub late_permille: u64,
    pub max_late_ms: u64,
    /// The part that is answered up to `max_answer_ms` late.
    pub slow_permille: u64,
    pub max_answer_ms: u64,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drawn {
    pub lost: bool,
    pub call_ms: u64,
    pub answer_ms: u64,
}

impl CallFault {
    /// Returns a fault of one call to a worker.
    pub fn one(kind: CallKind, worker: &WorkerId) -> Self {
        Self {
            kind,
            worker: Some(worker.clone()),
            times: 1,
            lost: false,
            call_ms: 0,
            answer_ms: 0,
        }
    }
}

impl RandomCallFaults {
    fn below(&mut self, bound: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % bound.max(1)
    }

    fn draw(&mut self) -> Drawn {
        let lost = self.below(1_000) < self.lost_permille;
        let is_late = self.below(1_000) < self.late_permille;
        let call_ms = self.below(self.max_late_ms);
        let is_slow = self.below(1_000) < self.slow_permille;
        let answer_ms = self.below(self.max_answer_ms);
        Drawn {
            lost,
            call_ms: if is_late { call_ms } else { 0 },
            answer_ms: if is_slow { answer_ms } else { 0 },
        }
    }
}

fn kind_of(call: &WorkerCall) -> CallKind {
    match call {
        WorkerCall::Start(_) => CallKind::Start,
        WorkerCall::Stop { .. } => CallKind::Stop,
        WorkerCall::Renew { wait_ms, .. } if wait_ms.0 == 0 => CallKind::QuickPoll,
        WorkerCall::Renew { .. } => CallKind::Poll,
    }
}

impl World {
    /// Returns what happens to a call to a worker.
    pub(super) fn draw_call_fault(&mut self, call: &Order) -> Drawn {
        let kind = kind_of(&call.call);
        let applies = |fault: &&mut CallFault| {
            let worker = fault.worker.as_ref().is_none_or(|id| *id == call.worker);
            fault.times > 0 && fault.kind == kind && worker
        };
        if let Some(fault) = self.call_faults.iter_mut().find(applies) {
            fault.times -= 1;
            return Drawn {
                lost: fault.lost,
                call_ms: fault.call_ms,
                answer_ms: fault.answer_ms,
            };
        }
        let random = self.random_call_faults.as_mut();
        random.map(RandomCallFaults::draw).unwrap_or_default()
    }
}
