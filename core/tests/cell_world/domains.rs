//! Failure domains that are cut off, and processes that stop between a decision and its calls.

use super::{Due, World, MAX_DAEMONS, STORE_SILENCE_MS};
use pomelotide_core::{
    cell::{Effect, Event, StoreCall, StoreReply, WorkerAnswer},
    WorkerId,
};
use std::collections::BTreeMap;

/// After which time without a heartbeat the store removes a worker's entry.
const ENTRY_LAPSE_MS: u64 = 4_500;
/// Within which time after a cut the entries are back.
const ENTRY_RETURN_MS: u64 = 2_000;

/// The failure domains. Daemons and workers belong to them in turn, by their numbers.
pub struct Domains {
    pub count: usize,
    /// The domains that are cut off, with the number of that change.
    cut: BTreeMap<usize, u64>,
    /// How many cuts have begun or ended.
    changes: u64,
    /// The part of calls and answers across a cut that is delivered late, not lost.
    pub late_permille: u64,
    pub max_late_ms: u64,
    /// Whether messages between daemons wait for the end of the cut, in order.
    pub holds_messages: bool,
    held: Vec<(usize, Event)>,
    pub seed: u64,
}

impl Default for Domains {
    fn default() -> Self {
        Self {
            count: 1,
            cut: BTreeMap::new(),
            changes: 0,
            late_permille: 0,
            max_late_ms: 0,
            holds_messages: false,
            held: Vec::new(),
            seed: 0,
        }
    }
}

impl Domains {
    pub fn is_cut(&self, domain: usize) -> bool {
        self.cut.contains_key(&domain)
    }

    fn are_separated(&self, one: usize, other: usize) -> bool {
        one != other && (self.is_cut(one) || self.is_cut(other))
    }

    /// Returns how much later a call or an answer across a cut is delivered, unless it is lost.
    fn draw_late_ms(&mut self) -> Option<u64> {
        let mut rng = super::seeds::Rng(self.seed);
        let is_late = rng.below(1_000) < self.late_permille;
        let late_ms = rng.below(self.max_late_ms.max(1));
        self.seed = rng.0;
        is_late.then_some(late_ms)
    }
}

impl World {
    /// Returns the domain of a daemon or of a value of [`Self::caller`].
    pub fn domain_of(&self, caller: usize) -> usize {
        caller % MAX_DAEMONS % self.domains.count
    }

    pub fn domain_of_worker(&self, id: &WorkerId) -> usize {
        self.workers[id].number % self.domains.count
    }

    fn workers_of(&self, domain: usize) -> Vec<WorkerId> {
        let ids = self.workers.keys();
        let own = ids.filter(|id| self.domain_of_worker(id) == domain);
        own.cloned().collect()
    }

    /// Cuts a domain from the store and from the other domains, or ends that cut.
    pub fn cut_domain(&mut self, domain: usize, cut: bool) {
        if self.domains.is_cut(domain) == cut {
            return;
        }
        self.domains.changes += 1;
        let change = self.domains.changes;
        match cut {
            true => self.domains.cut.insert(domain, change),
            false => self.domains.cut.remove(&domain),
        };
        for id in self.workers_of(domain) {
            let delay_ms = match cut {
                true => ENTRY_LAPSE_MS,
                false => (self.workers[&id].number as u64 * 677 + change * 311) % ENTRY_RETURN_MS,
            };
            self.later(delay_ms, Due::Entry(id, change, cut));
        }
        for (at, event) in std::mem::take(&mut self.domains.held) {
            self.later(0, Due::Event(at, event));
        }
    }

    /// Removes or restores a worker's entry, unless its domain was cut or connected meanwhile.
    pub(super) fn update_entry(&mut self, id: &WorkerId, change: u64, cut: bool) {
        let domain = self.domain_of_worker(id);
        let since = self.domains.cut.get(&domain);
        if since.is_some_and(|since| *since == change) != cut || (!cut && since.is_some()) {
            return;
        }
        let worker = &self.workers[id];
        match cut {
            true => self.store.remove_worker(id.as_str()),
            false if !worker.silent => self.store.put_worker(worker),
            false => {}
        }
    }

    /// Returns whether a daemon does not reach a worker because of a cut.
    pub(super) fn is_worker_separated(&self, caller: usize, worker: &WorkerId) -> bool {
        if !self.workers.contains_key(worker) {
            return false;
        }
        let domain = self.domain_of_worker(worker);
        self.domains.are_separated(self.domain_of(caller), domain)
    }

    pub(super) fn are_daemons_separated(&self, one: usize, other: usize) -> bool {
        let domains = [one, other].map(|at| self.domain_of(at));
        self.domains.are_separated(domains[0], domains[1])
    }

    /// Returns what a cut does not stop; what it stops is lost or delivered late.
    pub(super) fn pass_cuts(&mut self, due: Due) -> Option<Due> {
        let is_stopped = match &due {
            Due::StoreCall(at, ..) => self.domains.is_cut(self.domain_of(*at)),
            Due::WorkerCall(at, _, call) => self.is_worker_separated(*at, &call.worker),
            Due::Event(_, Event::Store(_, StoreReply::Lost)) => false,
            Due::Event(at, Event::Store(..)) => self.domains.is_cut(self.domain_of(*at)),
            Due::Event(_, Event::Worker(_, WorkerAnswer::Lost)) => false,
            Due::Event(at, Event::Worker(rpc, _)) => {
                let worker = self.called_workers.get(&(*at, *rpc));
                worker.is_some_and(|worker| self.is_worker_separated(*at, worker))
            }
            Due::Event(at, Event::ToMember(link, _) | Event::ToLeader(link, _)) => {
                let sender = self.daemons[*at].links.get(link);
                sender.is_some_and(|(sender, _)| self.are_daemons_separated(*at, *sender))
            }
            Due::Event(..) | Due::Entry(..) => false,
        };
        if !is_stopped {
            return Some(due);
        }
        self.stop_at_cut(due);
        None
    }

    fn stop_at_cut(&mut self, due: Due) {
        if let Due::Event(at, event @ (Event::ToMember(..) | Event::ToLeader(..))) = due {
            if self.domains.holds_messages {
                self.domains.held.push((at, event));
            }
            return;
        }
        // The caller of a worker has its own limit.
        if let Due::StoreCall(at, rpc, _) | Due::Event(at, Event::Store(rpc, _)) = &due {
            let lost = Event::Store(*rpc, StoreReply::Lost);
            self.later(STORE_SILENCE_MS, Due::Event(*at, lost));
        }
        if let Some(late_ms) = self.domains.draw_late_ms() {
            self.later(late_ms, due);
        }
    }

    /// Stops a daemon's process when it next has calls or messages to send, before it sends them.
    pub fn pause_before_sending(&mut self, at: usize) {
        self.daemons[at].stops_before_sending = true;
    }

    /// Returns whether a process is paused, or is to stop before it sends.
    pub fn is_paused(&self, at: usize) -> bool {
        let daemon = &self.daemons[at];
        daemon.paused.is_some() || daemon.stops_before_sending
    }

    /// Keeps the effects of a process that stops before it sends; returns those to carry out.
    pub(super) fn hold_effects(&mut self, at: usize, effects: Vec<Effect>) -> Vec<Effect> {
        let is_sent = |effect: &Effect| match effect {
            Effect::Worker { .. } | Effect::ToMember(..) | Effect::ToLeader(..) => true,
            Effect::Store { call, .. } => matches!(call, StoreCall::Write(_)),
            _ => false,
        };
        if !self.daemons[at].stops_before_sending || !effects.iter().any(is_sent) {
            return effects;
        }
        let caller = self.caller(at);
        for effect in &effects {
            if let Effect::Worker { rpc, worker, .. } = effect {
                let worker = self.workers.get(worker);
                let meant = worker.and_then(|worker| worker.entry.incarnation);
                self.meant.insert((caller, *rpc), meant);
            }
        }
        self.daemons[at].stops_before_sending = false;
        self.daemons[at].paused = Some(Vec::new());
        self.daemons[at].unsent = effects;
        Vec::new()
    }
}
