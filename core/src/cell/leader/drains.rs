//! Drained failure domains at the leader: which workers get no work, and whether the requests that it knows
//! are recent enough to start anything.

use crate::{
    cell::{
        ctx::Ctx,
        domain_drains::DomainDrains,
        domain_refill::Refill,
        leader::{
            advice_dispatcher::AdviceRequest,
            fleet::WorkerIx,
            worker::{Run, RunPhase},
            Leader,
        },
        ConfigFeed, LogEvent, StepKey, TaskKey,
    },
    Millis,
};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

/// Whether anything may start, by the age of the requests to drain domains.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartGate {
    /// The age up to which tasks may start; `None` if the requests are ignored.
    max_age_ms: Option<Millis>,
    read_at: Option<Millis>,
    /// Since when the gate has been closed, if that was logged.
    closed_since: Option<Millis>,
}

impl StartGate {
    /// Returns whether the requests that the store had answered `max_age_ms` ago are all known.
    fn is_open(&self, now: Millis) -> bool {
        let Some(max_age_ms) = self.max_age_ms else {
            return true;
        };
        self.read_at.is_some_and(|at| now.since(at) < max_age_ms)
    }
}

/// The requests to drain domains that the leader has applied to its workers.
#[derive(Debug, Default)]
pub(crate) struct AppliedDrains {
    drains: DomainDrains,
    /// The revision of `drains`; `None` before the first ones are applied.
    revision: Option<u64>,
    gate: StartGate,
}

impl Leader {
    /// Takes over the requests to drain domains that this daemon has read last.
    pub(crate) fn update_drains(&mut self, ctx: &mut Ctx, config: &ConfigFeed) {
        let max_age_ms = ctx.settings.max_drains_age_ms();
        self.drains.gate.max_age_ms = max_age_ms;
        self.drains.gate.read_at = config.drains_read_at();
        let drains = config.drains();
        let is_current = self.drains.revision == Some(drains.revision());
        if max_age_ms.is_none() || is_current {
            return;
        }
        self.drains.drains = drains.clone();
        self.drains.revision = Some(drains.revision());
        let drained = self.mark_drained_workers();
        self.set_refills();
        self.needs_pass = true;
        self.release_drained(ctx, &drained);
    }

    /// Returns whether tasks may start now, and logs when that changes.
    pub(crate) fn may_start(&mut self, ctx: &mut Ctx) -> bool {
        let gate = &mut self.drains.gate;
        let is_open = gate.is_open(ctx.now);
        match (is_open, gate.closed_since) {
            (false, None) => {
                gate.closed_since = Some(ctx.now);
                let event = LogEvent::warn("starts_held").with("why", "drains_unread");
                let event = match gate.read_at {
                    Some(at) => event.with("age_ms", ctx.now.since(at).0),
                    None => event.with("age_ms", "unknown"),
                };
                let limit_ms = gate.max_age_ms.unwrap_or_default();
                ctx.log(event.with("limit_ms", limit_ms.0));
            }
            (true, Some(since)) => {
                gate.closed_since = None;
                let event = LogEvent::info("starts_resumed");
                ctx.log(event.with("held_ms", ctx.now.since(since).0));
            }
            _ => {}
        }
        is_open
    }

    /// Updates whether each worker is in a drained domain; returns those that are since now.
    fn mark_drained_workers(&mut self) -> BTreeSet<WorkerIx> {
        let mut drained = BTreeSet::new();
        for ix in self.fleet.ixs().collect::<Vec<_>>() {
            let is_drained = self.drains.drains.is_drained(self.fleet.get(ix).domain());
            if self.fleet.set_drained(ix, is_drained) && is_drained {
                drained.insert(ix);
            }
        }
        drained
    }

    /// Numbers the workers of each restored domain, so that they are offered one after another.
    pub(crate) fn set_refills(&mut self) {
        let mut restored = BTreeMap::<CompactString, Vec<WorkerIx>>::new();
        for (ix, worker) in self.fleet.iter() {
            let domain = worker.domain();
            if self.drains.drains.restored_at(domain).is_some() {
                restored.entry(domain.clone()).or_default().push(ix);
            }
        }
        for (domain, workers) in restored {
            let Some(restored_at) = self.drains.drains.restored_at(&domain) else {
                continue;
            };
            for (position, ix) in workers.iter().enumerate() {
                self.fleet.get_mut(*ix).refill = Some(Refill {
                    restored_at,
                    position,
                    count: workers.len(),
                });
            }
        }
    }

    /// Applies the requests to a worker whose entry is new or has changed its domain.
    pub(crate) fn drain_by_entry(&mut self, ctx: &mut Ctx, ix: WorkerIx) {
        let worker = self.fleet.get_mut(ix);
        worker.refill = None;
        let is_drained = self.drains.drains.is_drained(worker.domain());
        if self.fleet.set_drained(ix, is_drained) && is_drained {
            self.release_drained(ctx, &BTreeSet::from([ix]));
        }
    }

    /// Releases what is planned on workers that are drained since now, so that it starts elsewhere. Runs
    /// whose start was sent continue.
    fn release_drained(&mut self, ctx: &mut Ctx, drained: &BTreeSet<WorkerIx>) {
        if drained.is_empty() {
            return;
        }
        let dropped = self.drop_placements_on(ctx, drained);
        let withdrawn = self.withdraw_advice_on(drained);
        for key in self.kept_workers.gangs_on(drained) {
            self.release_kept_workers(&key);
            self.pending.wake(&key);
        }
        self.needs_pass = true;
        let event = LogEvent::info("drain_applied").with("workers", drained.len());
        let event = event.with("placements_dropped", dropped);
        ctx.log(event.with("calls_withdrawn", withdrawn));
    }

    /// Drops the placements on drained workers whose start was not sent; returns their number.
    fn drop_placements_on(&mut self, ctx: &mut Ctx, drained: &BTreeSet<WorkerIx>) -> usize {
        let mut dropped = 0;
        for &ix in drained {
            let is_unsent = |(_, run): &(&TaskKey, &Run)| matches!(run.phase, RunPhase::Placed(_));
            let runs = self.fleet.get(ix).runs.iter().filter(is_unsent);
            let unsent: Vec<(TaskKey, u32)> =
                runs.map(|(task, run)| (task.clone(), run.number)).collect();
            for (task, number) in unsent {
                // A dropped member of a gang releases the others.
                if self.fleet.get(ix).runs.contains_key(&task) {
                    self.drop_placement(ctx, ix, &task, number);
                    dropped += 1;
                }
            }
        }
        dropped
    }

    /// Gives up awaited places on drained workers, and withdraws calls for advice on them as far as no useful
    /// answer is under way; returns the number of steps that look for other workers at once.
    fn withdraw_advice_on(&mut self, drained: &BTreeSet<WorkerIx>) -> usize {
        let is_drained = |ix: &WorkerIx| drained.contains(ix);
        let is_moot = |request: &AdviceRequest| match request.sent {
            Some(_) => request.workers.iter().all(is_drained),
            None => request.workers.iter().any(is_drained),
        };
        let mut moot = BTreeMap::<StepKey, bool>::new();
        for request in self.advice.requests.values() {
            let all = moot.entry(request.step.clone()).or_insert(true);
            *all &= is_moot(request);
        }
        let mut withdrawn = 0;
        for (key, is_moot) in moot {
            self.release_awaited_on(&key, drained);
            if is_moot {
                self.release_awaited(&key);
                self.withdraw_requests(&key);
                // A step that waits for its first advice is not pending.
                self.refresh_pending_steps(&key.job);
                self.unsent_starts.reschedule(&key, self.now);
                self.pending.wake(&key);
                withdrawn += 1;
            }
        }
        withdrawn
    }
}
