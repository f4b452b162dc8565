//! The workers of a failure domain and the tasks that run on them.

use crate::{
    consts, Class, Host, Link, Millis, RackName, Resources, Running, TaskId, TeamName, WorkerId,
    WorkerState,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap}, //
};

/// The index of a worker in a [`Fleet`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerIx(usize);

/// The failure domain's workers, with sums over them that are kept up to date.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: Vec<WorkerState>,
    indices_by_id: HashMap<WorkerId, WorkerIx>,
    rack_indices: HashMap<RackName, usize>,
    /// The number of tasks on each rack.
    tasks_by_rack: Vec<usize>,
    /// The resources that each team's tasks use.
    usage: BTreeMap<TeamName, Resources>,
    total_capacity: Resources,
    largest_capacity: Resources,
    unclaimed_capacity: Resources,
    unclaimed_count: usize,
    /// The headroom of each worker that has some.
    headroom: Resources,
    running_requests: u64,
}

impl Fleet {
    /// Returns the index of a worker.
    pub fn index_of(&self, worker: &WorkerId) -> Option<WorkerIx> {
        self.indices_by_id.get(worker).copied()
    }

    /// Returns the state of a worker.
    pub fn get(&self, ix: WorkerIx) -> &WorkerState {
        &self.workers[ix.0]
    }

    /// Returns the state of a worker, for changes that affect none of the fleet's sums.
    pub fn get_mut(&mut self, ix: WorkerIx) -> &mut WorkerState {
        &mut self.workers[ix.0]
    }

    /// Returns the indices of all workers.
    pub fn indices(&self) -> impl Iterator<Item = WorkerIx> {
        (0..self.workers.len()).map(WorkerIx)
    }

    /// Returns the states of all workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.iter()
    }

    /// Updates the workers from the host list and returns those that have left it.
    pub fn update_hosts(&mut self, hosts: Vec<Host>) -> Vec<WorkerIx> {
        let was_listed: Vec<bool> = self.workers.iter().map(|worker| worker.listed).collect();
        for worker in &mut self.workers {
            worker.listed = false;
        }
        for host in hosts {
            self.add_or_update_host(host);
        }
        self.recompute_sums();
        let left = |ix: &WorkerIx| was_listed.get(ix.0) == Some(&true) && !self.get(*ix).listed;
        self.indices().filter(left).collect()
    }

    fn add_or_update_host(&mut self, host: Host) {
        match self.index_of(&host.worker) {
            Some(ix) => self.update_host(ix, host),
            None => {
                let rack = self.rack_index(&host.rack);
                self.indices_by_id
                    .insert(host.worker.clone(), WorkerIx(self.workers.len()));
                self.workers.push(WorkerState::new(host, rack));
            }
        }
    }

    fn update_host(&mut self, ix: WorkerIx, host: Host) {
        let rack = self.rack_index(&host.rack);
        let worker = &mut self.workers[ix.0];
        self.tasks_by_rack[worker.rack] -= worker.tasks.len();
        self.tasks_by_rack[rack] += worker.tasks.len();
        worker.rack = rack;
        worker.listed = true;
        worker.set_host(host);
    }

    fn rack_index(&mut self, rack: &RackName) -> usize {
        if let Some(index) = self.rack_indices.get(rack) {
            return *index;
        }
        let index = self.tasks_by_rack.len();
        self.rack_indices.insert(rack.clone(), index);
        self.tasks_by_rack.push(0);
        index
    }

    /// Marks a worker as claimed in this term and sets the capacity that it reported.
    pub fn mark_claimed(&mut self, ix: WorkerIx, capacity: Resources) {
        let worker = &mut self.workers[ix.0];
        let was_unclaimed = worker.listed && !worker.claimed;
        worker.claimed = true;
        if worker.host.capacity != capacity {
            worker.set_capacity(capacity);
            self.recompute_sums();
        } else if was_unclaimed {
            self.unclaimed_capacity = self.unclaimed_capacity.minus(capacity);
            self.unclaimed_count -= 1;
        }
    }

    /// Recomputes the sums over the listed workers.
    fn recompute_sums(&mut self) {
        let mut total = Resources::default();
        let mut largest = [0; crate::resources::KIND_COUNT];
        let mut unclaimed = Resources::default();
        let mut unclaimed_count = 0;
        for worker in self.workers.iter().filter(|worker| worker.listed) {
            let capacity = worker.host.capacity;
            total = total.plus(capacity);
            for (most, amount) in largest.iter_mut().zip(capacity.amounts()) {
                *most = amount.max(*most);
            }
            if !worker.claimed {
                unclaimed = unclaimed.plus(capacity);
                unclaimed_count += 1;
            }
        }
        self.total_capacity = total;
        self.largest_capacity = Resources::from_amounts(largest);
        self.unclaimed_capacity = unclaimed;
        self.unclaimed_count = unclaimed_count;
    }

    /// Returns the total capacity of the listed workers.
    pub const fn total_capacity(&self) -> Resources {
        self.total_capacity
    }

    /// Returns the largest capacity of each resource at any listed worker.
    pub const fn largest_capacity(&self) -> Resources {
        self.largest_capacity
    }

    /// Returns the total capacity of the listed workers that are not claimed in this term. An
    /// earlier leader may still start tasks on them.
    pub const fn unclaimed_capacity(&self) -> Resources {
        self.unclaimed_capacity
    }

    /// Returns the number of listed workers that are not claimed in this term.
    pub const fn unclaimed_count(&self) -> usize {
        self.unclaimed_count
    }

    /// Returns whether a listed worker is claimed in this term, or no worker is listed.
    pub fn has_claimed_worker(&self) -> bool {
        let listed = self.workers.iter().filter(|worker| worker.listed).count();
        listed == 0 || self.unclaimed_count < listed
    }

    /// Returns the resources that a team's tasks use.
    pub fn usage(&self, team: &TeamName) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of running requests.
    pub const fn running_requests(&self) -> u64 {
        self.running_requests
    }

    /// Returns the total free resources of the workers that accept work.
    pub fn free(&self, now_ms: Millis) -> Resources {
        let accepting = self
            .workers
            .iter()
            .filter(|worker| worker.accepts_work(now_ms));
        accepting.fold(Resources::default(), |sum, worker| sum.plus(worker.free()))
    }

    /// Adds a task to a worker.
    pub fn add(&mut self, ix: WorkerIx, task: TaskId, running: Running) {
        let usage = self.usage.entry(running.team.clone()).or_default();
        *usage = usage.plus(running.need);
        self.running_requests += u64::from(running.is_request);
        let worker = &mut self.workers[ix.0];
        let count_before = worker.tasks.len();
        worker.add(task, running);
        self.tasks_by_rack[worker.rack] += worker.tasks.len() - count_before;
    }

    /// Removes a task from a worker.
    pub fn remove(&mut self, ix: WorkerIx, task: &TaskId) -> Option<Running> {
        let worker = &mut self.workers[ix.0];
        let running = worker.remove(task)?;
        self.tasks_by_rack[worker.rack] -= 1;
        self.running_requests -= u64::from(running.is_request);
        if let Some(usage) = self.usage.get_mut(&running.team) {
            *usage = usage.minus(running.need);
        }
        Some(running)
    }

    /// Returns whether a worker accepts work and has room for a task.
    pub fn can_place(&self, ix: WorkerIx, class: Class, need: &Resources, now_ms: Millis) -> bool {
        let worker = &self.workers[ix.0];
        need.fits(&worker.free_for(class, self.headroom_at(ix))) && worker.accepts_work(now_ms)
    }

    /// Chooses a worker for a task by the placement policy of its class, if possible not `avoid`.
    pub fn choose(
        &self,
        class: Class,
        need: &Resources,
        avoid: Option<&WorkerId>,
        now_ms: Millis,
    ) -> Option<WorkerIx> {
        let avoided = |worker: &WorkerState| avoid == Some(&worker.host.worker);
        let fits = |ix: WorkerIx| self.can_place(ix, class, need, now_ms);
        match class {
            Class::Small => self.min_by_key(fits, |worker| {
                (avoided(worker), worker.is_reserved(), worker.used.slots)
            }),
            Class::Batch | Class::Gang => self.min_by_key(fits, |worker| {
                (avoided(worker), Reverse(worker.fullness_ppm()))
            }),
            Class::Service => self.min_by_key(fits, |worker| {
                let on_rack = self.tasks_by_rack[worker.rack];
                (avoided(worker), on_rack, worker.fullness_ppm())
            }),
        }
    }

    /// Sets the headroom for small requests on every [`consts::HEADROOM_WORKER_STRIDE`]th worker.
    pub fn set_headroom(&mut self, headroom: Resources) {
        self.headroom = headroom;
    }

    fn headroom_at(&self, ix: WorkerIx) -> Resources {
        match ix.0 % consts::HEADROOM_WORKER_STRIDE {
            0 => self.headroom,
            _ => Resources::default(),
        }
    }

    /// Chooses the worker with the fewest used slots among those with headroom for a small request.
    pub fn choose_headroom(&self, need: &Resources, now_ms: Millis) -> Option<WorkerIx> {
        let with_headroom = self.indices().step_by(consts::HEADROOM_WORKER_STRIDE);
        let within_headroom = |ix: &WorkerIx| {
            let cpu_mem = Resources { slots: 0, ..*need };
            let requests = self.get(*ix).request_usage.plus(cpu_mem);
            Resources {
                slots: 0,
                ..requests
            }
            .fits(&self.headroom)
        };
        let candidates = with_headroom
            .filter(|ix| within_headroom(ix) && self.can_place(*ix, Class::Small, need, now_ms));
        candidates.min_by_key(|ix| (self.used_slots(*ix), *ix))
    }

    /// Reserves room on a worker for work that does not fit yet.
    pub fn reserve(&mut self, ix: WorkerIx, need: Resources) {
        let reserved = &mut self.workers[ix.0].reserved;
        *reserved = reserved.plus(need);
    }

    /// Releases reserved room.
    pub fn release_reserved(&mut self, ix: WorkerIx, need: Resources) {
        let reserved = &mut self.workers[ix.0].reserved;
        *reserved = reserved.minus(need);
    }

    /// Returns the worker that would be the least loaded with a task, its running tasks and the
    /// room that is already reserved.
    pub fn best_reservation(&self, need: &Resources, now_ms: Millis) -> Option<WorkerIx> {
        let is_candidate = |ix: &WorkerIx| {
            let worker = self.get(*ix);
            let reserved = worker.reserved.plus(*need);
            reserved.fits(&worker.host.capacity) && worker.accepts_work(now_ms)
        };
        let load_ppm = |ix: &WorkerIx| {
            let worker = self.get(*ix);
            let demand = worker.used.plus(worker.reserved).plus(*need);
            demand.dominant_share_ppm(&worker.host.capacity)
        };
        self.indices()
            .filter(is_candidate)
            .min_by_key(|ix| (load_ppm(ix), *ix))
    }

    /// Returns how many tasks of a need fit on the listed workers when these are empty.
    pub fn max_tasks(&self, need: &Resources) -> u64 {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed
            .map(|worker| need.count_in(&worker.host.capacity))
            .fold(0, u64::saturating_add)
    }

    /// Returns whether the workers that accept work have room for a number of tasks now.
    pub fn has_room_for(&self, class: Class, need: &Resources, tasks: u64, now_ms: Millis) -> bool {
        let mut missing = tasks;
        for ix in self
            .indices()
            .filter(|ix| self.can_place(*ix, class, need, now_ms))
        {
            let free = self.get(ix).free_for(class, self.headroom_at(ix));
            missing = missing.saturating_sub(need.count_in(&free));
            if missing == 0 {
                return true;
            }
        }
        missing == 0
    }

    fn used_slots(&self, ix: WorkerIx) -> u64 {
        self.get(ix).used.slots
    }

    /// Returns the first worker with the lowest key among those that fit. `fits` is only evaluated
    /// for a worker with a lower key than the best one so far, because it is more
    /// expensive than the key.
    fn min_by_key<K: Ord>(
        &self,
        fits: impl Fn(WorkerIx) -> bool,
        key_of: impl Fn(&WorkerState) -> K,
    ) -> Option<WorkerIx> {
        let mut lowest: Option<(K, WorkerIx)> = None;
        for (ix, worker) in self.indices().zip(&self.workers) {
            let key = key_of(worker);
            let is_lower = lowest.as_ref().is_none_or(|(best, _)| key < *best);
            if is_lower && fits(ix) {
                lowest = Some((key, ix));
            }
        }
        lowest.map(|(_, ix)| ix)
    }

    /// Marks all workers as unclaimed and disconnected at the start of a term.
    pub fn begin_term(&mut self) {
        for worker in &mut self.workers {
            worker.claimed = false;
            worker.link = Link::Down {
                retry_ms: Millis(0),
            };
        }
        self.recompute_sums();
    }

    /// Removes all tasks.
    pub fn clear_tasks(&mut self) {
        for worker in &mut self.workers {
            worker.clear_tasks();
        }
        self.usage.clear();
        self.tasks_by_rack.fill(0);
        self.running_requests = 0;
    }
}
