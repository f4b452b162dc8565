//! Where work goes, and that nothing is ever overcommitted: each start is checked by the worker.

mod support;

use pomelotide_core::{Answer, Refusal, Resources};
use std::collections::{BTreeMap, BTreeSet};
use support::{cpu, entries, Cell, Draw, Plan};

const QUESTION: Resources = Resources {
    slots: 1,
    ..cpu(500, 256)
};
const WORKER: Resources = Resources {
    slots: 8,
    ..cpu(16_000, 32_768)
};
const AMPLE: Resources = Resources {
    slots: 10_000,
    ..cpu(10_000_000, 10_000_000)
};

fn cell(workers: usize, teams: &[(&str, u64)]) -> Cell {
    Cell::new(workers, WORKER, entries(teams, AMPLE, QUESTION))
}

fn refusal(cell: &Cell, call: pomelotide_core::CallId) -> Option<Refusal> {
    match cell.answers.get(&call) {
        Some(Answer::NotRun { reason, .. }) => Some(*reason),
        _ => None,
    }
}

fn starts_of(cell: &Cell, label: usize) -> Vec<u64> {
    let starts = cell.started.iter().filter(|start| start.label == label);
    starts.map(|start| start.at_ms).collect()
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = cell(2, &[("t", 1)]);
    cell.submit("t", "batch", 2, cpu(10_000, 1_024), Plan::ok(1, 4_000));
    cell.run_for(200);
    cell.submit("t", "gang", 3, cpu(6_000, 1_024), Plan::ok(2, 1_000));
    cell.run_for(2_000);
    assert!(starts_of(&cell, 2).is_empty());
    cell.run_for(10_000);
    let starts = starts_of(&cell, 2);
    assert_eq!(starts.len(), 3);
    assert_eq!(starts.iter().collect::<BTreeSet<_>>().len(), 1);
}

#[test]
fn two_gangs_that_need_the_whole_fleet_run_one_after_the_other() {
    let mut cell = cell(4, &[("s", 1), ("t", 1)]);
    for (label, team) in [(1, "s"), (2, "t"), (3, "s"), (4, "t")] {
        cell.submit(team, "gang", 4, cpu(12_000, 1_024), Plan::ok(label, 3_000));
    }
    cell.run_for(40_000);
    let counts: Vec<usize> = (1..5).map(|label| starts_of(&cell, label).len()).collect();
    assert_eq!(counts, [4, 4, 4, 4]);
}

#[test]
fn a_gang_is_not_starved_by_small_work() {
    let mut cell = cell(4, &[("s", 1), ("t", 1)]);
    let mut draw = Draw(1);
    for label in 0..200 {
        let plan = Plan::ok(1_000 + label, draw.within(1_000, 9_000));
        cell.submit("s", "batch", 4, cpu(2_000, 1_024), plan);
    }
    cell.run_for(5_000);
    cell.submit("t", "gang", 4, cpu(14_000, 1_024), Plan::ok(1, 1_000));
    cell.run_for(60_000);
    assert_eq!(starts_of(&cell, 1).len(), 4);
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut cell = cell(2, &[("s", 1), ("t", 1)]);
    let mut draw = Draw(2);
    for label in 0..200 {
        let plan = Plan::ok(1_000 + label, draw.within(1_000, 5_000));
        cell.submit("s", "batch", 4, cpu(2_000, 1_024), plan);
    }
    cell.run_for(5_000);
    cell.submit("t", "batch", 1, cpu(15_000, 1_024), Plan::ok(1, 1_000));
    cell.run_for(60_000);
    assert_eq!(starts_of(&cell, 1).len(), 1);
}

#[test]
fn what_never_fits_is_refused_at_once_with_the_reason() {
    let mut cell = cell(2, &[("t", 1)]);
    let too_wide = cell.submit("t", "batch", 1, cpu(17_000, 1_024), Plan::ok(1, 1));
    let too_many = cell.submit("t", "gang", 100, cpu(16_000, 1_024), Plan::ok(1, 1));
    let too_much = cell.submit("t", "batch", 1, cpu(20_000_000, 1), Plan::ok(1, 1));
    assert_eq!(refusal(&cell, too_wide), Some(Refusal::NeverFits));
    assert_eq!(refusal(&cell, too_many), Some(Refusal::NeverFits));
    assert_eq!(refusal(&cell, too_much), Some(Refusal::OverLimit));
}

/// Two workers of 16 processors hold two tasks of 9, though 3 tasks of 9 are less than their sum.
#[test]
fn a_gang_that_fits_the_sum_but_no_set_of_workers_is_refused_at_once() {
    let mut cell = cell(2, &[("t", 1)]);
    let call = cell.submit("t", "gang", 3, cpu(9_000, 1_024), Plan::ok(1, 1));
    cell.run_for(100);
    assert_eq!(refusal(&cell, call), Some(Refusal::NeverFits));
}

#[test]
fn services_are_spread_over_racks() {
    let mut cell = cell(24, &[("t", 1)]);
    cell.submit("t", "service", 6, cpu(1_000, 1_024), Plan::forever(1));
    cell.run_for(1_000);
    let mut racks: BTreeMap<usize, usize> = BTreeMap::new();
    for start in &cell.started {
        let place: usize = start.worker.as_str()[1..].parse().unwrap();
        *racks.entry(place / 8).or_default() += 1;
    }
    assert_eq!(racks.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn batch_is_packed_onto_few_workers() {
    let mut cell = cell(24, &[("t", 1)]);
    cell.submit("t", "batch", 14, cpu(1_000, 1_024), Plan::forever(1));
    cell.run_for(1_000);
    let workers: BTreeSet<_> = cell.started.iter().map(|start| &start.worker).collect();
    assert_eq!((cell.started.len(), workers.len()), (14, 1));
}

#[test]
fn small_questions_go_to_the_least_busy_worker() {
    let mut cell = cell(6, &[("t", 1)]);
    for label in 0..6 {
        cell.ask("t", "small", Plan::ok(label, 500), 5_000);
    }
    let workers: BTreeSet<_> = cell.started.iter().map(|start| &start.worker).collect();
    assert_eq!(workers.len(), 6);
}

#[test]
fn a_small_question_starts_at_once_while_batch_fills_the_fleet() {
    let mut cell = cell(4, &[("s", 1), ("t", 1)]);
    cell.submit("s", "batch", 500, cpu(1_000, 1_024), Plan::ok(1, 60_000));
    cell.run_for(5_000);
    let asked_ms = cell.now_ms;
    cell.ask("t", "small", Plan::ok(2, 100), 5_000);
    cell.run_for(1_000);
    assert_eq!(starts_of(&cell, 2), [asked_ms]);
}

#[test]
fn no_team_runs_more_than_its_limit() {
    let limit = Resources {
        slots: 3,
        ..cpu(20_000, 20_480)
    };
    let mut cell = Cell::new(4, WORKER, entries(&[("t", 1)], limit, QUESTION));
    for label in 0..50 {
        cell.submit("t", "batch", 2, cpu(3_000, 1_024), Plan::ok(label, 2_000));
        cell.ask("t", "small", Plan::ok(label, 300), 10_000);
        cell.run_for(100);
        let used = cell.used_by("t");
        assert!(used.fits(&limit), "{used} at {} ms", cell.now_ms);
    }
    assert!(cell.used_by("t").cpu_milli >= 18_000);
}

#[test]
fn shares_hold_when_the_fleet_is_full() {
    let mut cell = cell(16, &[("s", 3), ("t", 1)]);
    let mut draw = Draw(3);
    for label in 0..400 {
        for team in ["s", "t"] {
            let need = cpu(draw.within(1, 4) * 1_000, 1_024);
            let plan = Plan::ok(label, draw.within(2_000, 8_000));
            cell.submit(team, "batch", 4, need, plan);
        }
    }
    cell.run_for(20_000);
    let mut sums = [0, 0];
    for _ in 0..600 {
        cell.run_for(100);
        for (sum, team) in sums.iter_mut().zip(["s", "t"]) {
            *sum += cell.used_by(team).cpu_milli;
        }
    }
    let share_permille = sums[0] * 1_000 / (sums[0] + sums[1]);
    assert!((712..=788).contains(&share_permille), "{share_permille}");
}

#[test]
fn services_of_one_team_leave_another_team_its_share() {
    let mut cell = cell(8, &[("s", 1), ("t", 1)]);
    cell.submit("t", "batch", 1_000, cpu(1_000, 1_024), Plan::ok(1, 5_000));
    cell.run_for(6_000);
    for _ in 0..40 {
        cell.submit("s", "service", 10, cpu(1_000, 1_024), Plan::ok(2, 20_000));
        cell.run_for(1_000);
    }
    let (s, t) = (cell.used_by("s").cpu_milli, cell.used_by("t").cpu_milli);
    let share_permille = t * 1_000 / (s + t);
    assert!((475..=525).contains(&share_permille), "{share_permille}");
}
