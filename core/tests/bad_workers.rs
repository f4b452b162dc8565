//! A worker that fails all it starts is left, and jobs that fail everywhere harm no worker.

mod support;

use pomelotide_core::{Answer, CallId, DecisionEvent, Resources};
use support::{cpu, entries, Cell, Draw, Plan};

const QUESTION: Resources = Resources {
    slots: 1,
    ..cpu(250, 128)
};
const WORKER: Resources = Resources {
    slots: 8,
    ..cpu(16_000, 32_768)
};
const WORKERS: usize = 48;
/// How many of a hundred pieces of work fail wherever they run.
const BAD_PERCENT: u64 = 5;

fn cell() -> Cell {
    let ample = WORKER.times(1_000);
    Cell::new(
        WORKERS,
        WORKER,
        entries(&[("s", 1), ("t", 1)], ample, QUESTION),
    )
}

fn spoil(cell: &mut Cell, place: usize) -> String {
    let mut workers = cell.workers.iter_mut();
    let (name, worker) = workers.nth(place).expect("a worker at the place");
    worker.is_bad = true;
    name.to_string()
}

fn quarantined(cell: &Cell) -> Vec<String> {
    let told = cell.told.iter().filter_map(|told| match told {
        DecisionEvent::WorkerQuarantined { worker } => Some(worker.to_string()),
        _ => None,
    });
    told.collect()
}

fn failed(cell: &Cell, calls: &[CallId]) -> usize {
    let answers = calls.iter().map(|call| cell.answers.get(call));
    answers
        .filter(|answer| !matches!(answer, Some(Answer::Done(_))))
        .count()
}

/// Sends questions for a minute; returns those that would succeed at a good worker.
fn ask_for_a_minute(cell: &mut Cell, draw: &mut Draw) -> Vec<CallId> {
    let mut good = Vec::new();
    for label in 0..6_000 {
        let fails = draw.below(100) < BAD_PERCENT;
        let run_ms = draw.within(20, 200);
        let plan = if fails {
            Plan::fail(label, run_ms)
        } else {
            Plan::ok(label, run_ms)
        };
        let call = cell.ask(["s", "t"][label % 2], "small", plan, 5_000);
        if !fails {
            good.push(call);
        }
        cell.run_for(10);
    }
    cell.run_for(6_000);
    good
}

#[test]
fn a_bad_worker_is_found_before_it_loses_one_question_in_a_thousand() {
    let mut cell = cell();
    let bad = spoil(&mut cell, 7);
    let good = ask_for_a_minute(&mut cell, &mut Draw(5));
    let lost = failed(&cell, &good);
    let found = quarantined(&cell);
    assert!(found.contains(&bad), "{found:?}");
    assert!(found.iter().all(|worker| *worker == bad), "{found:?}");
    assert!(lost * 1_000 <= good.len(), "{lost} of {}", good.len());
    println!("lost {lost} of {}, quarantined {}", good.len(), found.len());
}

#[test]
fn a_burst_of_bad_questions_quarantines_nobody() {
    let mut cell = cell();
    for label in 0..2_000 {
        cell.ask("s", "small", Plan::fail(label, 20), 5_000);
        cell.run_for(5);
    }
    cell.run_for(6_000);
    assert_eq!(quarantined(&cell), Vec::<String>::new());
}

#[test]
fn bad_jobs_quarantine_only_the_bad_worker() {
    let mut cell = cell();
    let bad = spoil(&mut cell, 0);
    let mut draw = Draw(6);
    let mut good = Vec::new();
    for label in 0..400 {
        let fails = draw.below(100) < BAD_PERCENT;
        let run_ms = draw.within(200, 2_000);
        let plan = if fails {
            Plan::fail(label, run_ms)
        } else {
            Plan::ok(label, run_ms)
        };
        let call = cell.submit("t", "batch", 4, cpu(4_000, 1_024), plan);
        if !fails {
            good.push(call);
        }
        cell.run_for(100);
    }
    cell.run_for(10_000);
    let found = quarantined(&cell);
    assert!(found.contains(&bad), "{found:?}");
    assert!(found.iter().all(|worker| *worker == bad), "{found:?}");
    let good: Vec<_> = good.iter().map(|call| cell.job(*call)).collect();
    let lost = cell.told.iter().filter(|told| match told {
        DecisionEvent::JobEnded { job, succeeded, .. } => !succeeded && good.contains(job),
        _ => false,
    });
    assert_eq!(lost.count(), 0);
}

#[test]
fn many_tasks_of_bad_jobs_quarantine_nobody() {
    let mut cell = cell();
    for label in 0..100 {
        cell.submit("t", "batch", 16, cpu(1_000, 1_024), Plan::fail(label, 100));
        cell.run_for(50);
    }
    cell.run_for(10_000);
    assert_eq!(quarantined(&cell), Vec::<String>::new());
}
