//! More work than the fleet can do, and work that is given up on.

mod support;

use pomelotide_core::{Answer, CallId, Event, JobState, Refusal, Resources};
use std::collections::BTreeSet;
use support::{cpu, entries, Cell, Plan};

const QUESTION: Resources = Resources {
    slots: 1,
    ..cpu(250, 128)
};
const WORKER: Resources = Resources {
    slots: 8,
    ..cpu(16_000, 32_768)
};
const RUN_MS: u64 = 100;
/// The effects that one cancellation may cause: a stop, rows, answers and what is told of them.
const EFFECTS_A_CANCEL: u64 = 8;

fn cell(workers: usize) -> Cell {
    let ample = WORKER.times(1_000);
    Cell::new(workers, WORKER, entries(&[("t", 1)], ample, QUESTION))
}

fn started_labels(cell: &Cell) -> BTreeSet<usize> {
    cell.started.iter().map(|start| start.label).collect()
}

fn refusal(cell: &Cell, call: CallId) -> Option<(Refusal, Option<u64>)> {
    match cell.answers.get(&call) {
        Some(Answer::NotRun {
            reason,
            retry_after_ms,
        }) => Some((*reason, retry_after_ms.map(|ms| ms.0))),
        _ => None,
    }
}

/// Fills two workers of 8 slots with questions and lets the service time be seen.
fn busy_cell() -> Cell {
    let mut cell = cell(2);
    for _ in 0..100 {
        cell.ask("t", "small", Plan::ok(0, RUN_MS), 60_000);
    }
    cell.run_for(2_000);
    cell
}

#[test]
fn a_refusal_for_overload_tells_when_what_waits_will_be_served() {
    let mut cell = busy_cell();
    let calls = (0..400).map(|_| cell.ask("t", "small", Plan::ok(1, RUN_MS), 60_000));
    let calls: Vec<CallId> = calls.collect();
    let refused = calls.iter().find_map(|call| refusal(&cell, *call));
    let (reason, retry_after_ms) = refused.expect("a refusal");
    assert_eq!(reason, Refusal::Overloaded);
    let from_ms = cell.now_ms;
    while cell.core.status().pending > 0 {
        cell.run_for(10);
    }
    let served_ms = cell.now_ms - from_ms;
    let told_ms = retry_after_ms.expect("a time to come back");
    assert!(
        told_ms >= served_ms * 3 / 4 && told_ms <= served_ms * 3 / 2,
        "{told_ms} {served_ms}"
    );
}

#[test]
fn a_question_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut cell = busy_cell();
    let patient: Vec<CallId> = (0..200)
        .map(|_| cell.ask("t", "small", Plan::ok(1, RUN_MS), 60_000))
        .collect();
    let hasty = cell.ask("t", "small", Plan::ok(2, RUN_MS), 300);
    assert_eq!(
        refusal(&cell, hasty).map(|(reason, _)| reason),
        Some(Refusal::Overloaded)
    );
    cell.run_for(5_000);
    assert!(!started_labels(&cell).contains(&2));
    assert!(patient
        .iter()
        .all(|call| matches!(cell.answers[call], Answer::Done(_))));
}

#[test]
fn what_was_refused_at_its_deadline_never_runs() {
    let mut cell = cell(2);
    let ask = |label| cell.ask("t", "small", Plan::ok(label, 1_000), 2_000);
    let calls: Vec<CallId> = (0..200).map(ask).collect();
    cell.run_for(10_000);
    let started = started_labels(&cell);
    let mut refused = 0;
    for (label, call) in calls.iter().enumerate() {
        assert!(
            cell.answers.contains_key(call),
            "{label} was never answered"
        );
        if refusal(&cell, *call).is_some() {
            refused += 1;
            assert!(!started.contains(&label), "{label} was refused and ran");
        }
    }
    assert!(refused > 0);
}

#[test]
fn a_wave_of_dropped_questions_never_runs_and_blocks_nobody() {
    let mut cell = cell(100);
    for _ in 0..800 {
        cell.ask("t", "small", Plan::ok(0, 5_000), 60_000);
    }
    let calls = (0..10_000).map(|_| cell.ask("t", "small", Plan::ok(1, 100), 60_000));
    let calls: Vec<CallId> = calls.collect();
    let before = cell.effects;
    for call in calls {
        cell.step(Event::CallDropped { call });
    }
    assert!(cell.effects - before <= 10_000 * EFFECTS_A_CANCEL);
    cell.ask("t", "small", Plan::ok(2, 100), 60_000);
    cell.run_for(5_100);
    let started = started_labels(&cell);
    assert!(!started.contains(&1));
    assert!(started.contains(&2));
}

#[test]
fn a_wave_of_cancelled_jobs_never_runs_and_blocks_nobody() {
    let mut cell = cell(2);
    let need = cpu(16_000, 1_024);
    cell.submit("t", "batch", 2, need, Plan::ok(0, 60_000));
    cell.run_for(1_000);
    let mut calls = Vec::new();
    for label in 0..10_000 {
        calls.push(cell.submit("t", "batch", 1, need, Plan::ok(1, 100)));
        if label % 100 == 99 {
            cell.run_for(100);
        }
    }
    cell.run_for(1_000);
    let jobs: Vec<_> = calls.iter().map(|call| cell.job(*call)).collect();
    let before = cell.effects;
    let mut cancels = Vec::new();
    for (place, job) in jobs.into_iter().enumerate() {
        cancels.push(cell.cancel("t", job));
        if place % 100 == 99 {
            cell.run_for(100);
        }
    }
    cell.run_for(1_000);
    assert!(cell.effects - before <= 10_000 * EFFECTS_A_CANCEL);
    let cancelled =
        |call: &CallId| cell.answers.get(call) == Some(&Answer::Job(JobState::Cancelled));
    assert!(cancels.iter().all(cancelled));
    cell.submit("t", "batch", 1, need, Plan::ok(2, 100));
    cell.run_for(60_000);
    let started = started_labels(&cell);
    assert!(!started.contains(&1));
    assert!(started.contains(&2));
}

#[test]
fn the_flood_of_one_team_refuses_no_other_team() {
    let ample = WORKER.times(1_000);
    let teams = [("s", 1), ("t", 1)];
    let mut cell = Cell::new(2, WORKER, entries(&teams, ample, QUESTION));
    for _ in 0..2_000 {
        cell.ask("s", "small", Plan::ok(0, RUN_MS), 60_000);
    }
    cell.run_for(500);
    for label in 1..20 {
        let call = cell.ask("t", "small", Plan::ok(label, RUN_MS), 1_000);
        cell.run_for(500);
        assert_eq!(refusal(&cell, call), None);
        assert!(matches!(cell.answers.get(&call), Some(Answer::Done(_))));
    }
}
