//! Gangs whose tickets take long to get, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, step, World};
use pomelotide_core::{
    cell::{AdviceCost, Queue, StepSpec},
    Millis,
};

/// The fixed part of a call for advice, in milliseconds.
const ADVICE_MS: u64 = 550;
/// The additional part for each worker in the call, in microseconds.
const ADVICE_WORKER_US: u64 = 7_800;
/// How long a ticket is valid.
const TICKET_MS: u64 = 2_000;

fn gang(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu)
    }
}

fn slow_advice() -> Queue {
    let mut queue = queue();
    queue.advice = Some(AdviceCost {
        base_us: ADVICE_MS * 1_000,
        per_worker_us: ADVICE_WORKER_US,
        valid_ms: Millis(TICKET_MS),
    });
    queue
}

/// Returns a cell whose advice service allows a step on a third of the workers, and whose workers
/// check the tickets.
fn world_with_slow_advice(daemons: usize, workers: usize) -> World {
    let mut world = World::new(daemons, workers, desired(1, slow_advice()));
    world.advice_ms = ADVICE_MS;
    world.advice_worker_us = ADVICE_WORKER_US;
    world.advice_allows_every = 3;
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
    }
    world.run(3_000);
    assert!(world.leader().is_some(), "nobody leads");
    world
}

/// Returns the lines of an event that contain all of `parts`.
fn lines(world: &World, event: &str, parts: &[&str]) -> Vec<String> {
    let lines = world.lines.iter().map(|(_, _, line)| line.to_string());
    let matches = |line: &String| parts.iter().all(|part| line.contains(part));
    let lines = lines.filter(|line| line.contains(&format!("event={event} ")));
    lines.filter(matches).collect()
}

/// Guards against a gang that waits for long without a line that says why.
#[test]
fn a_gang_without_room_is_logged_with_its_reason_and_inputs() {
    let mut world = world_with_slow_advice(3, 30);
    world.submit(0, 1, vec![gang(20, 3_000)]);
    world.run(10_000);
    let waits = lines(
        &world,
        "gang_waiting",
        &["why=no_room", "allowed=10 slots=10"],
    );
    assert!((5..=11).contains(&waits.len()), "{} lines", waits.len());
    let stalls = lines(
        &world,
        "step_stalled",
        &[
            "gang=true",
            "tasks=20",
            "pending=true",
            "allowed=10",
            "slots=10",
        ],
    );
    assert!((2..=4).contains(&stalls.len()), "{stalls:?}");
    let given = lines(
        &world,
        "advice_given",
        &["asked=30 allowed=10", "queued_ms="],
    );
    assert_eq!(given.len(), 1, "{given:?}");
}
