//! What a policy made of the arrivals.

use crate::mix::{Arrival, Mix, MEASURED_FROM_MS, SPAN_MS, TEAMS};
use pomelotide_core::{Class, Resources};
use std::collections::BTreeMap;

/// The span over which nearness to share is averaged.
const WINDOW_MS: u64 = 60_000;
/// The span between two samples of the fleet.
pub const SAMPLE_MS: u64 = 100;

/// The measures of one run.
#[derive(Default)]
pub struct Outcome {
    waits_ms: BTreeMap<Class, Vec<u64>>,
    used_ppm: Vec<u64>,
    shares_ppm: BTreeMap<u64, [u64; TEAMS.len()]>,
}

impl Outcome {
    /// Takes a sample of the fleet while work waits.
    pub fn sample(&mut self, mix: &Mix, now_ms: u64, used: [Resources; TEAMS.len()]) {
        if now_ms <= MEASURED_FROM_MS {
            return;
        }
        let total = mix.capacity.times(mix.workers as u64);
        let together = used
            .iter()
            .copied()
            .fold(Resources::default(), Resources::plus);
        self.used_ppm.push(together.dominant_share_ppm(&total));
        let window = self.shares_ppm.entry((now_ms - 1) / WINDOW_MS).or_default();
        for (sum, used) in window.iter_mut().zip(used) {
            *sum += used.dominant_share_ppm(&total);
        }
    }

    /// Counts how long each arrival waited for its last task's start; one that still waits at the
    /// end counts with the time it has waited so far.
    pub fn count_waits(&mut self, arrivals: &[Arrival], started_ms: &[Option<u64>]) {
        for (arrival, started_ms) in arrivals.iter().zip(started_ms) {
            if arrival.at_ms < MEASURED_FROM_MS {
                continue;
            }
            let waited_ms = started_ms.unwrap_or(SPAN_MS).saturating_sub(arrival.at_ms);
            self.waits_ms
                .entry(arrival.class)
                .or_default()
                .push(waited_ms);
        }
        self.waits_ms
            .values_mut()
            .for_each(|waits| waits.sort_unstable());
    }

    /// Returns the waiting time of a class below which the given part of all waits lie.
    pub fn wait_ms(&self, class: Class, permille: usize) -> u64 {
        let waits = &self.waits_ms[&class];
        let rank = (waits.len() * permille).div_ceil(1_000).max(1);
        waits[rank - 1]
    }

    /// Returns the mean waiting time of everything that arrived.
    pub fn wait_all_ms(&self) -> u64 {
        let all = self.waits_ms.values().flatten();
        let (count, sum) = all.fold((0, 0), |(count, sum), wait| (count + 1, sum + wait));
        sum / std::cmp::max(count, 1)
    }

    /// Returns the mean use of the fleet while work waits, in permille.
    pub fn packing_permille(&self) -> u64 {
        let sum: u64 = self.used_ppm.iter().sum();
        sum / self.used_ppm.len().max(1) as u64 / 1_000
    }

    /// Returns how far a team's part of the running dominant shares was from its configured part
    /// in its worst minute, in permille of the configured part.
    pub fn distance_permille(&self, place: usize) -> u64 {
        let shares: u64 = TEAMS.iter().map(|(_, share)| share).sum();
        let windows = self.shares_ppm.values();
        let distance = |sums: &[u64; TEAMS.len()]| {
            let all: u64 = sums.iter().sum();
            let ratio = sums[place] * shares * 1_000 / (all * TEAMS[place].1).max(1);
            ratio.abs_diff(1_000)
        };
        windows.map(distance).max().unwrap_or(0)
    }
}
