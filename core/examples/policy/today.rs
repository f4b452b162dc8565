//! The reducer's policy on a mix of arrivals.

use crate::{
    mix::{Arrival, Mix, SPAN_MS, TEAMS},
    outcome::{Outcome, SAMPLE_MS},
    support::{entries, Cell, Plan},
};
use pomelotide_core::{Class, Resources, TeamName};

/// The deadline of a question.
const DEADLINE_MS: u64 = 10_000;

/// Runs the arrivals through a daemon's reducer.
pub fn run(mix: &Mix, arrivals: &[Arrival]) -> Outcome {
    let ample = mix.capacity.times(1_000);
    let mut cell = Cell::new(
        mix.workers,
        mix.capacity,
        entries(&TEAMS, ample, mix.question),
    );
    let from_ms = cell.now_ms;
    let mut outcome = Outcome::default();
    let mut next = 0;
    for sample_ms in (0..SPAN_MS).step_by(SAMPLE_MS as usize) {
        while arrivals
            .get(next)
            .is_some_and(|a| a.at_ms < sample_ms + SAMPLE_MS)
        {
            cell.run_until(from_ms + arrivals[next].at_ms);
            arrive(&mut cell, next, &arrivals[next]);
            next += 1;
        }
        cell.run_until(from_ms + sample_ms + SAMPLE_MS);
        outcome.sample(mix, sample_ms + SAMPLE_MS, used(&cell));
    }
    outcome.count_waits(arrivals, &started_ms(&cell, arrivals, from_ms));
    outcome
}

fn arrive(cell: &mut Cell, label: usize, arrival: &Arrival) {
    let plan = Plan::ok(label, arrival.run_ms);
    if arrival.class == Class::Small {
        cell.ask(arrival.team, "small", plan, DEADLINE_MS);
    } else {
        let queue = arrival.class.to_string();
        cell.submit(arrival.team, &queue, arrival.tasks, arrival.need, plan);
    }
}

fn used(cell: &Cell) -> [Resources; TEAMS.len()] {
    TEAMS.map(|(team, _)| cell.core.fleet().usage(&TeamName::new(team)))
}

/// Returns when the last task of each arrival started, if all did.
fn started_ms(cell: &Cell, arrivals: &[Arrival], from_ms: u64) -> Vec<Option<u64>> {
    let mut counts = vec![0; arrivals.len()];
    let mut last_ms = vec![None; arrivals.len()];
    for start in &cell.started {
        counts[start.label] += 1;
        last_ms[start.label] = Some(start.at_ms - from_ms);
    }
    let whole = |place: usize| counts[place] >= arrivals[place].tasks;
    let places = 0..arrivals.len();
    places
        .map(|place| last_ms[place].filter(|_| whole(place)))
        .collect()
}
