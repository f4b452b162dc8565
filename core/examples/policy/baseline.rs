//! A standing first-fit FIFO queue: the oldest work starts on the first worker that has room.

use crate::{
    mix::{Arrival, Mix, SPAN_MS, TEAMS},
    outcome::{Outcome, SAMPLE_MS},
};
use pomelotide_core::{Class, Resources};
use std::collections::{BTreeMap, VecDeque};

/// One task of an arrival, or all tasks of a gang.
#[derive(Clone, Copy)]
struct Item {
    label: usize,
    tasks: u32,
    need: Resources,
}

struct Baseline<'a> {
    /// How many of the oldest waiting units are looked at; 1 is strict order.
    depth: usize,
    arrivals: &'a [Arrival],
    free: Vec<Resources>,
    queue: VecDeque<Item>,
    ends: BTreeMap<(u64, u64), (usize, usize)>,
    used: [Resources; TEAMS.len()],
    counts: Vec<u32>,
    started_ms: Vec<Option<u64>>,
    count: u64,
}

/// Runs the arrivals through the queue.
pub fn run(mix: &Mix, arrivals: &[Arrival], depth: usize) -> Outcome {
    let mut state = Baseline {
        depth,
        arrivals,
        free: vec![mix.capacity; mix.workers],
        queue: VecDeque::new(),
        ends: BTreeMap::new(),
        used: [Resources::default(); TEAMS.len()],
        counts: vec![0; arrivals.len()],
        started_ms: vec![None; arrivals.len()],
        count: 0,
    };
    let mut outcome = Outcome::default();
    let mut next = 0;
    for now_ms in 0..SPAN_MS {
        let mut changed = state.end_due(now_ms);
        while arrivals.get(next).is_some_and(|a| a.at_ms <= now_ms) {
            state.arrive(next);
            next += 1;
            changed = true;
        }
        if changed {
            state.start_all(now_ms);
        }
        if now_ms % SAMPLE_MS == 0 {
            outcome.sample(mix, now_ms, state.used);
        }
    }
    outcome.count_waits(arrivals, &state.started_ms);
    outcome
}

impl Baseline<'_> {
    fn arrive(&mut self, label: usize) {
        let Arrival {
            class, tasks, need, ..
        } = self.arrivals[label];
        let (items, tasks) = match class {
            Class::Gang => (1, tasks),
            _ => (tasks, 1),
        };
        let item = Item { label, tasks, need };
        self.queue.extend((0..items).map(|_| item));
    }

    fn end_due(&mut self, now_ms: u64) -> bool {
        let mut any = false;
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let (label, worker) = entry.remove();
            let need = self.arrivals[label].need;
            self.free[worker] = self.free[worker].plus(need);
            let team = self.team(label);
            self.used[team] = self.used[team].minus(need);
            any = true;
        }
        any
    }

    fn team(&self, label: usize) -> usize {
        let name = self.arrivals[label].team;
        let place = TEAMS.iter().position(|(team, _)| *team == name);
        place.expect("a team of the mix")
    }

    fn start_all(&mut self, now_ms: u64) {
        let mut place = 0;
        while place < self.queue.len().min(self.depth) {
            let item = self.queue[place];
            match self.places_for(&item) {
                Some(workers) => {
                    self.queue.remove(place);
                    for worker in workers {
                        self.start(now_ms, item.label, worker);
                    }
                }
                None => place += 1,
            }
        }
    }

    fn places_for(&self, item: &Item) -> Option<Vec<usize>> {
        let mut free = self.free.clone();
        let mut workers = Vec::new();
        for _ in 0..item.tasks {
            let worker = free.iter().position(|free| item.need.fits(free))?;
            free[worker] = free[worker].minus(item.need);
            workers.push(worker);
        }
        Some(workers)
    }

    fn start(&mut self, now_ms: u64, label: usize, worker: usize) {
        let Arrival {
            need,
            run_ms,
            tasks,
            ..
        } = self.arrivals[label];
        self.free[worker] = self.free[worker].minus(need);
        let team = self.team(label);
        self.used[team] = self.used[team].plus(need);
        self.count += 1;
        self.ends
            .insert((now_ms + run_ms, self.count), (label, worker));
        self.counts[label] += 1;
        if self.counts[label] == tasks {
            self.started_ms[label] = Some(now_ms);
        }
    }
}
