//! Steps with a task that may start now: those to examine, in scheduling order, and those that wait
//! until something changes.
//!
//! A step that can't start is put aside with what it waits for and is not looked at again before that
//! changes, so that the cost of an event does not depend on how many steps wait.

use crate::{
    cell::{
        leader::{
            fleet::WorkerIx,
            rank::{Order, Rank, Tier},
            wait::{Pool, Wait},
            wait_list::{PendingId, WaitList},
        },
        StepKey,
    },
    Millis, TeamName,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Where a pending step is.
#[derive(Clone, Debug)]
enum Place {
    Ready,
    /// The pass examines it.
    Examined,
    Waiting(Wait),
}

#[derive(Clone, Debug)]
struct PendingStep {
    id: PendingId,
    rank: Rank,
    order: Order,
    /// When its order changes.
    reorder_at_ms: Option<u64>,
    place: Place,
}

/// The pending steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingSteps {
    steps: BTreeMap<StepKey, PendingStep>,
    keys: BTreeMap<PendingId, StepKey>,
    last_id: u64,
    now_ms: u64,
    ready: BTreeSet<(Order, PendingId)>,
    by_worker: BTreeMap<WorkerIx, WaitList>,
    by_pool: BTreeMap<Pool, WaitList>,
    by_team: BTreeMap<TeamName, WaitList>,
    large_gangs: BTreeSet<(Order, PendingId)>,
    by_time: BTreeSet<(Millis, PendingId)>,
    /// When the order of a step changes next.
    reorders: BTreeSet<(u64, PendingId)>,
    /// The last step that was woken in turn.
    last_in_turn: Option<StepKey>,
}

impl PendingSteps {
    /// Adds a step, to be examined in the next pass, or updates its rank; returns whether it is new.
    pub(crate) fn insert(&mut self, key: &StepKey, rank: Rank) -> bool {
        let (order, reorder_at_ms) = rank.order(self.now_ms);
        if let Some(step) = self.steps.get(key) {
            if step.rank != rank {
                self.reorder(key, rank);
            }
            return false;
        }
        self.last_id += 1;
        let id = PendingId(self.last_id);
        let step = PendingStep {
            id,
            rank,
            order,
            reorder_at_ms,
            place: Place::Ready,
        };
        self.ready.insert((order, id));
        self.reorders.extend(reorder_at_ms.map(|at_ms| (at_ms, id)));
        self.keys.insert(id, key.clone());
        self.steps.insert(key.clone(), step);
        true
    }

    /// Removes a step.
    pub(crate) fn remove(&mut self, key: &StepKey) {
        let Some(step) = self.steps.remove(key) else {
            return;
        };
        self.unlink(&step);
        self.keys.remove(&step.id);
        if let Some(at_ms) = step.reorder_at_ms {
            self.reorders.remove(&(at_ms, step.id));
        }
    }

    /// Returns whether a step is pending.
    pub(crate) fn contains(&self, key: &StepKey) -> bool {
        self.steps.contains_key(key)
    }

    /// Returns the number of pending steps.
    pub(crate) fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns the number of steps that are to be examined.
    pub(crate) fn ready_len(&self) -> usize {
        self.ready.len()
    }

    /// Returns the position of a pending step.
    pub(crate) fn order(&self, key: &StepKey) -> Option<Order> {
        self.steps.get(key).map(|step| step.order)
    }

    /// Returns whether a pending step can still end in time.
    pub(crate) fn is_in_time(&self, key: &StepKey) -> bool {
        let order = self.order(key);
        order.is_some_and(|order| order.tier == Tier::InTime)
    }

    /// Returns the key of a pending step.
    pub(crate) fn key(&self, id: PendingId) -> Option<&StepKey> {
        self.keys.get(&id)
    }

    /// Updates the order of the steps whose position has changed by now, and wakes those whose time has
    /// come.
    pub(crate) fn advance(&mut self, now: Millis) {
        self.now_ms = now.0;
        while let Some((at_ms, id)) = self.reorders.first().copied() {
            if at_ms > now.0 {
                break;
            }
            self.reorders.remove(&(at_ms, id));
            let Some(key) = self.keys.get(&id).cloned() else {
                continue;
            };
            if let Some(rank) = self.steps.get(&key).map(|step| step.rank) {
                self.reorder(&key, rank);
            }
        }
        while let Some((at, id)) = self.by_time.first().copied() {
            if at > now {
                break;
            }
            self.by_time.remove(&(at, id));
            self.wake_id(id);
        }
    }

    /// Gives a step a new rank and moves it to its present position.
    fn reorder(&mut self, key: &StepKey, rank: Rank) {
        let Some(mut step) = self.steps.remove(key) else {
            return;
        };
        self.unlink(&step);
        if let Some(at_ms) = step.reorder_at_ms {
            self.reorders.remove(&(at_ms, step.id));
        }
        step.rank = rank;
        (step.order, step.reorder_at_ms) = rank.order(self.now_ms);
        let reorder = step.reorder_at_ms.map(|at_ms| (at_ms, step.id));
        self.reorders.extend(reorder);
        self.link(&step);
        self.steps.insert(key.clone(), step);
    }

    /// Takes the next step to examine.
    pub(crate) fn next_ready(&mut self) -> Option<StepKey> {
        let (_, id) = self.ready.pop_first()?;
        let key = self.keys.get(&id)?.clone();
        if let Some(step) = self.steps.get_mut(&key) {
            step.place = Place::Examined;
        }
        Some(key)
    }

    /// Puts aside a step that was examined, until what it waits for changes.
    pub(crate) fn set_waiting(&mut self, key: &StepKey, wait: Wait) {
        let Some((key, mut step)) = self.steps.remove_entry(key) else {
            return;
        };
        if matches!(step.place, Place::Examined) {
            step.place = Place::Waiting(wait);
            self.link(&step);
        }
        self.steps.insert(key, step);
    }

    /// Returns whether a step waits for its team's limit.
    pub(crate) fn waits_for_team(&self, id: PendingId) -> bool {
        matches!(self.wait(id), Some(Wait::Team(..)))
    }

    /// Returns the name of what a step waits for. One that is not pending waits for its first advice.
    pub(crate) fn wait_name(&self, key: &StepKey) -> &'static str {
        match self.steps.get(key).map(|step| &step.place) {
            Some(Place::Ready | Place::Examined) => "turn",
            Some(Place::Waiting(wait)) => wait.name(),
            None => "first_advice",
        }
    }

    fn wait(&self, id: PendingId) -> Option<&Wait> {
        match &self.steps.get(self.keys.get(&id)?)?.place {
            Place::Waiting(wait) => Some(wait),
            Place::Ready | Place::Examined => None,
        }
    }

    /// Lets the next pass examine a step, if it is pending.
    pub(crate) fn wake(&mut self, key: &StepKey) -> bool {
        let Some(step) = self.steps.get_mut(key) else {
            return false;
        };
        let Place::Waiting(wait) = std::mem::replace(&mut step.place, Place::Ready) else {
            // It is in `ready` or, while it is examined, enters it.
            self.ready.insert((step.order, step.id));
            return true;
        };
        let (order, id) = (step.order, step.id);
        self.unlink_wait(order, id, &wait);
        self.ready.insert((order, id));
        true
    }

    /// Lets the next passes examine all steps, except those that await the answer of a call for advice.
    pub(crate) fn wake_all(&mut self) {
        let awaits_advice = |step: &PendingStep| matches!(step.place, Place::Waiting(Wait::Advice));
        let steps = self.steps.iter().filter(|(_, step)| !awaits_advice(step));
        let keys: Vec<StepKey> = steps.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.wake(&key);
        }
    }

    fn wake_id(&mut self, id: PendingId) {
        if let Some(key) = self.keys.get(&id).cloned() {
            self.wake(&key);
        }
    }

    /// Wakes steps in a cycle through all of them, in case a change was missed.
    pub(crate) fn wake_in_turn(&mut self, max_count: usize) {
        let count = max_count.min(self.steps.len());
        let begin = match &self.last_in_turn {
            Some(last) => Bound::Excluded(last),
            None => Bound::Unbounded,
        };
        let behind = self.steps.range::<StepKey, _>((begin, Bound::Unbounded));
        let cycle = behind.chain(&self.steps).map(|(key, _)| key);
        let keys: Vec<StepKey> = cycle.take(count).cloned().collect();
        self.last_in_turn = keys.last().cloned();
        for key in keys {
            let step = self.steps.get(&key);
            let awaits_advice =
                step.is_some_and(|step| matches!(step.place, Place::Waiting(Wait::Advice)));
            if !awaits_advice {
                self.wake(&key);
            }
        }
    }

    /// Wakes the first of the large gangs that wait for room.
    pub(crate) fn wake_large_gangs(&mut self, max_count: usize) {
        let first: Vec<PendingId> = self
            .large_gangs
            .iter()
            .take(max_count)
            .map(|gang| gang.1)
            .collect();
        for id in first {
            self.wake_id(id);
        }
    }

    /// Returns steps that wait for room on a worker with `cpu_milli` free, which is in `pools`: those that
    /// are known to be allowed there, then those that might be, each in scheduling order.
    pub(crate) fn waiting_for_worker(
        &self,
        ix: WorkerIx,
        pools: &[Pool],
        cpu_milli: u64,
        max_count: usize,
    ) -> Vec<PendingId> {
        let of_worker = self.by_worker.get(&ix);
        let of_pools = pools.iter().filter_map(|pool| self.by_pool.get(pool));
        let mut steps = WaitList::first_of(of_worker.into_iter(), cpu_milli, max_count);
        let others = WaitList::first_of(of_pools, cpu_milli, max_count);
        let others = others.into_iter().filter(|id| !steps.contains(id));
        steps.extend(others.collect::<Vec<_>>());
        steps
    }

    /// Returns the first steps in scheduling order that wait for a team's limit and need at most
    /// `cpu_milli`.
    pub(crate) fn waiting_for_team(
        &self,
        team: &TeamName,
        cpu_milli: u64,
        max_count: usize,
    ) -> Vec<PendingId> {
        let list = self.by_team.get(team);
        WaitList::first_of(list.into_iter(), cpu_milli, max_count)
    }

    /// Returns the teams whose limits steps wait for.
    pub(crate) fn limited_teams(&self) -> impl Iterator<Item = &TeamName> {
        self.by_team.keys()
    }

    /// Adds a step to the set or lists of its place.
    fn link(&mut self, step: &PendingStep) {
        let (order, id) = (step.order, step.id);
        let wait = match &step.place {
            Place::Ready => {
                self.ready.insert((order, id));
                return;
            }
            Place::Examined => return,
            Place::Waiting(wait) => wait,
        };
        match wait {
            Wait::Team(team, cpu_milli) => {
                let list = self.by_team.entry(team.clone()).or_default();
                list.insert(*cpu_milli, order, id);
            }
            Wait::Room(room) => {
                for ix in &room.workers {
                    let list = self.by_worker.entry(*ix).or_default();
                    list.insert(room.cpu_milli, order, id);
                }
                if let Some(pool) = &room.pool {
                    let list = self.by_pool.entry(pool.clone()).or_default();
                    list.insert(room.cpu_milli, order, id);
                }
            }
            Wait::GangRoom => {
                self.large_gangs.insert((order, id));
            }
            Wait::Until(at) => {
                self.by_time.insert((*at, id));
            }
            Wait::Advice | Wait::Other => {}
        }
    }

    /// Removes a step from the set or lists of its place.
    fn unlink(&mut self, step: &PendingStep) {
        match &step.place {
            Place::Ready => {
                self.ready.remove(&(step.order, step.id));
            }
            Place::Examined => {}
            Place::Waiting(wait) => self.unlink_wait(step.order, step.id, wait),
        }
    }

    fn unlink_wait(&mut self, order: Order, id: PendingId, wait: &Wait) {
        match wait {
            Wait::Team(team, cpu_milli) => {
                if let Some(list) = self.by_team.get_mut(team) {
                    list.remove(*cpu_milli, order, id);
                    if list.is_empty() {
                        self.by_team.remove(team);
                    }
                }
            }
            Wait::Room(room) => {
                for ix in &room.workers {
                    if let Some(list) = self.by_worker.get_mut(ix) {
                        list.remove(room.cpu_milli, order, id);
                    }
                }
                let list = room
                    .pool
                    .as_ref()
                    .and_then(|pool| self.by_pool.get_mut(pool));
                if let Some(list) = list {
                    list.remove(room.cpu_milli, order, id);
                }
            }
            Wait::GangRoom => {
                self.large_gangs.remove(&(order, id));
            }
            Wait::Until(at) => {
                self.by_time.remove(&(*at, id));
            }
            Wait::Advice | Wait::Other => {}
        }
    }
}
