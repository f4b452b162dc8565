//! The failure domain's workers and what runs on them.

use crate::{
    consts, Class, Host, Link, Millis, RackName, Resources, Running, TaskId, TeamName, WorkerId,
    WorkerState,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap}, //
};

/// The place of a worker in a [`Fleet`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerIx(usize);

/// The failure domain's workers with the sums that decisions need.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: Vec<WorkerState>,
    places: HashMap<WorkerId, WorkerIx>,
    racks: HashMap<RackName, usize>,
    /// The number of tasks on each rack.
    rack_loads: Vec<usize>,
    usage: BTreeMap<TeamName, Resources>,
    total: Resources,
    largest: Resources,
    unclaimed: Resources,
    unclaimed_count: usize,
    headroom: Resources,
    owed: u64,
}

impl Fleet {
    /// Returns the place of a worker.
    pub fn find(&self, worker: &WorkerId) -> Option<WorkerIx> {
        self.places.get(worker).copied()
    }

    /// Returns the state of a worker.
    pub fn get(&self, ix: WorkerIx) -> &WorkerState {
        &self.workers[ix.0]
    }

    /// Returns the state of a worker for changes that touch none of the fleet's sums.
    pub fn get_mut(&mut self, ix: WorkerIx) -> &mut WorkerState {
        &mut self.workers[ix.0]
    }

    /// Returns the places of all workers.
    pub fn places(&self) -> impl Iterator<Item = WorkerIx> {
        (0..self.workers.len()).map(WorkerIx)
    }

    /// Returns the states of all workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.iter()
    }

    /// Takes over a reading of the host list; returns the workers that left it.
    pub fn relist(&mut self, hosts: Vec<Host>) -> Vec<WorkerIx> {
        let was_listed: Vec<bool> = self.workers.iter().map(|worker| worker.listed).collect();
        for worker in &mut self.workers {
            worker.listed = false;
        }
        for host in hosts {
            self.list(host);
        }
        self.recount();
        let left = |ix: &WorkerIx| was_listed.get(ix.0) == Some(&true) && !self.get(*ix).listed;
        self.places().filter(left).collect()
    }

    fn list(&mut self, host: Host) {
        match self.find(&host.worker) {
            Some(ix) => self.list_again(ix, host),
            None => {
                let rack = self.rack_place(&host.rack);
                self.places
                    .insert(host.worker.clone(), WorkerIx(self.workers.len()));
                self.workers.push(WorkerState::new(host, rack));
            }
        }
    }

    fn list_again(&mut self, ix: WorkerIx, host: Host) {
        let rack = self.rack_place(&host.rack);
        let worker = &mut self.workers[ix.0];
        self.rack_loads[worker.rack] -= worker.tasks.len();
        self.rack_loads[rack] += worker.tasks.len();
        worker.rack = rack;
        worker.listed = true;
        worker.set_host(host);
    }

    fn rack_place(&mut self, rack: &RackName) -> usize {
        if let Some(place) = self.racks.get(rack) {
            return *place;
        }
        let place = self.rack_loads.len();
        self.racks.insert(rack.clone(), place);
        self.rack_loads.push(0);
        place
    }

    /// Counts a worker as claimed in this term, with what it says that it has.
    pub fn claimed(&mut self, ix: WorkerIx, capacity: Resources) {
        let worker = &mut self.workers[ix.0];
        let was_unclaimed = worker.listed && !worker.claimed;
        worker.claimed = true;
        if worker.host.capacity != capacity {
            worker.set_capacity(capacity);
            self.recount();
        } else if was_unclaimed {
            self.unclaimed = self.unclaimed.minus(capacity);
            self.unclaimed_count -= 1;
        }
    }

    /// Computes the fleet's sums anew.
    fn recount(&mut self) {
        let mut total = Resources::default();
        let mut largest = [0; crate::resources::KINDS];
        let mut unclaimed = Resources::default();
        let mut unclaimed_count = 0;
        for worker in self.workers.iter().filter(|worker| worker.listed) {
            let capacity = worker.host.capacity;
            total = total.plus(capacity);
            for (most, amount) in largest.iter_mut().zip(capacity.parts()) {
                *most = amount.max(*most);
            }
            if !worker.claimed {
                unclaimed = unclaimed.plus(capacity);
                unclaimed_count += 1;
            }
        }
        self.total = total;
        self.largest = Resources::from_parts(largest);
        self.unclaimed = unclaimed;
        self.unclaimed_count = unclaimed_count;
    }

    /// Returns what all listed workers have together.
    pub const fn total(&self) -> Resources {
        self.total
    }

    /// Returns the most of each kind that any listed worker has.
    pub const fn largest(&self) -> Resources {
        self.largest
    }

    /// Returns what the listed workers have on which an older keeper may still start tasks.
    pub const fn unclaimed(&self) -> Resources {
        self.unclaimed
    }

    /// Returns the number of listed workers that accepted no claim of this term.
    pub const fn unclaimed_count(&self) -> usize {
        self.unclaimed_count
    }

    /// Says whether any listed worker accepted a claim of this term, or none is listed at all.
    pub fn is_held(&self) -> bool {
        let listed = self.workers.iter().filter(|worker| worker.listed).count();
        listed == 0 || self.unclaimed_count < listed
    }

    /// Returns what a team has running.
    pub fn usage(&self, team: &TeamName) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of running requests.
    pub const fn owed(&self) -> u64 {
        self.owed
    }

    /// Returns what is free on all workers that take work.
    pub fn free(&self, now_ms: Millis) -> Resources {
        let open = self
            .workers
            .iter()
            .filter(|worker| worker.takes_work(now_ms));
        open.fold(Resources::default(), |sum, worker| sum.plus(worker.free()))
    }

    /// Counts a task on a worker.
    pub fn add(&mut self, ix: WorkerIx, task: TaskId, running: Running) {
        let usage = self.usage.entry(running.team.clone()).or_default();
        *usage = usage.plus(running.need);
        self.owed += u64::from(running.owes_answer);
        let worker = &mut self.workers[ix.0];
        let known = worker.tasks.len();
        worker.add(task, running);
        self.rack_loads[worker.rack] += worker.tasks.len() - known;
    }

    /// Stops counting a task on a worker.
    pub fn remove(&mut self, ix: WorkerIx, task: &TaskId) -> Option<Running> {
        let worker = &mut self.workers[ix.0];
        let running = worker.remove(task)?;
        self.rack_loads[worker.rack] -= 1;
        self.owed -= u64::from(running.owes_answer);
        if let Some(usage) = self.usage.get_mut(&running.team) {
            *usage = usage.minus(running.need);
        }
        Some(running)
    }

    /// Says whether a worker takes a task now.
    pub fn fits_at(&self, ix: WorkerIx, class: Class, need: &Resources, now_ms: Millis) -> bool {
        let worker = &self.workers[ix.0];
        need.fits(&worker.free_for(class, self.headroom_at(ix))) && worker.takes_work(now_ms)
    }

    /// Chooses a worker for a task by the policy of its class.
    pub fn choose(
        &self,
        class: Class,
        need: &Resources,
        avoid: Option<&WorkerId>,
        now_ms: Millis,
    ) -> Option<WorkerIx> {
        let avoided = |worker: &WorkerState| avoid == Some(&worker.host.worker);
        let fits = |ix: WorkerIx| self.fits_at(ix, class, need, now_ms);
        match class {
            Class::Small => self.least(fits, |worker| {
                (avoided(worker), worker.is_reserved(), worker.used.slots)
            }),
            Class::Batch | Class::Gang => self.least(fits, |worker| {
                (avoided(worker), Reverse(worker.fullness_ppm()))
            }),
            Class::Service => self.least(fits, |worker| {
                let on_rack = self.rack_loads[worker.rack];
                (avoided(worker), on_rack, worker.fullness_ppm())
            }),
        }
    }

    /// Keeps room on some workers that only small questions may take.
    pub fn set_headroom(&mut self, headroom: Resources) {
        self.headroom = headroom;
    }

    fn headroom_at(&self, ix: WorkerIx) -> Resources {
        match ix.0 % consts::HEADROOM_EVERY {
            0 => self.headroom,
            _ => Resources::default(),
        }
    }

    /// Chooses the least busy worker that has headroom left for a small question.
    pub fn choose_headroom(&self, need: &Resources, now_ms: Millis) -> Option<WorkerIx> {
        let kept = self.places().step_by(consts::HEADROOM_EVERY);
        let inside = |ix: &WorkerIx| {
            let cpu_mem = Resources { slots: 0, ..*need };
            let asked = self.get(*ix).asked.plus(cpu_mem);
            Resources { slots: 0, ..asked }.fits(&self.headroom)
        };
        let open = kept.filter(|ix| inside(ix) && self.fits_at(*ix, Class::Small, need, now_ms));
        open.min_by_key(|ix| (self.busy_slots(*ix), *ix))
    }

    /// Keeps room on a worker for work that does not fit yet.
    pub fn hold(&mut self, ix: WorkerIx, need: Resources) {
        let held = &mut self.workers[ix.0].held;
        *held = held.plus(need);
    }

    /// Gives up kept room.
    pub fn release(&mut self, ix: WorkerIx, need: Resources) {
        let held = &mut self.workers[ix.0].held;
        *held = held.minus(need);
    }

    /// Returns the worker that misses the least to take a task beside what is kept already.
    pub fn roomiest(&self, need: &Resources, now_ms: Millis) -> Option<WorkerIx> {
        let able = |ix: &WorkerIx| {
            let worker = self.get(*ix);
            let wanted = worker.held.plus(*need);
            wanted.fits(&worker.host.capacity) && worker.takes_work(now_ms)
        };
        let missing_ppm = |ix: &WorkerIx| {
            let worker = self.get(*ix);
            let wanted = worker.used.plus(worker.held).plus(*need);
            wanted.dominant_share_ppm(&worker.host.capacity)
        };
        self.places()
            .filter(able)
            .min_by_key(|ix| (missing_ppm(ix), *ix))
    }

    /// Returns how many tasks of a need the listed workers hold when they are empty.
    pub fn copies(&self, need: &Resources) -> u64 {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed
            .map(|worker| need.copies_in(&worker.host.capacity))
            .fold(0, u64::saturating_add)
    }

    /// Says whether the workers that take work have room for a number of tasks of a need now.
    pub fn has_copies(&self, class: Class, need: &Resources, tasks: u64, now_ms: Millis) -> bool {
        let mut missing = tasks;
        for ix in self
            .places()
            .filter(|ix| self.fits_at(*ix, class, need, now_ms))
        {
            let free = self.get(ix).free_for(class, self.headroom_at(ix));
            missing = missing.saturating_sub(need.copies_in(&free));
            if missing == 0 {
                return true;
            }
        }
        missing == 0
    }

    fn busy_slots(&self, ix: WorkerIx) -> u64 {
        self.get(ix).used.slots
    }

    /// Returns the first worker with the least key among those that fit. Whether one fits is asked
    /// last, and of few.
    fn least<K: Ord>(
        &self,
        fits: impl Fn(WorkerIx) -> bool,
        key_of: impl Fn(&WorkerState) -> K,
    ) -> Option<WorkerIx> {
        let mut least: Option<(K, WorkerIx)> = None;
        for (ix, worker) in self.places().zip(&self.workers) {
            let key = key_of(worker);
            let less = least.as_ref().is_none_or(|(known, _)| key < *known);
            if less && fits(ix) {
                least = Some((key, ix));
            }
        }
        least.map(|(_, ix)| ix)
    }

    /// Forgets every claim, at the start of a term.
    pub fn begin_term(&mut self) {
        for worker in &mut self.workers {
            worker.claimed = false;
            worker.link = Link::Down {
                retry_ms: Millis(0),
            };
        }
        self.recount();
    }

    /// Forgets every task, after the workers went to another keeper.
    pub fn clear_tasks(&mut self) {
        for worker in &mut self.workers {
            worker.clear_tasks();
        }
        self.usage.clear();
        self.rack_loads.fill(0);
        self.owed = 0;
    }
}
