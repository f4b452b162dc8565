//! Gangs whose tickets take long to get, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice, starts_of, step, with_fill_queue, FakeWorker, World, KEY,
    OTHER_KEY,
};
use pomelotide_core::cell::{DesiredState, JobState, Queue, StepSpec};

/// The fixed part of a call for advice, in milliseconds.
const ADVICE_MS: u64 = 550;
/// The additional part for each worker in the call, in microseconds.
const ADVICE_WORKER_US: u64 = 7_800;
/// How long a ticket is valid.
const TICKET_MS: u64 = 2_000;

/// How long the blockers run after a gang is submitted; longer than its first tickets are valid.
const BLOCKED_MS: u64 = 6_000;
/// What each blocker needs, in thousandths of a core, of a worker's 4,000.
const BLOCKER_CPU_MILLI: u64 = 3_900;
/// How much longer the late blockers run.
const LATE_MS: u64 = 4_000;
/// The time within which a job must start once there is room for it, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;

fn per_worker(limit: u32, step: StepSpec) -> StepSpec {
    StepSpec {
        per_worker: Some(limit),
        ..step
    }
}

fn slow_advice() -> Queue {
    advice_valid_for(TICKET_MS)
}

fn advice_valid_for(valid_ms: u64) -> Queue {
    queue_with_advice(ADVICE_MS * 1_000, ADVICE_WORKER_US, valid_ms)
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
    assert!(world.leader().is_some(), "there is no leader");
    world
}

/// Returns a cell of `workers` workers, of which `blocked` are filled by a task of the team "others"
/// that ends after [`BLOCKED_MS`], on the last `late` workers [`LATE_MS`] later.
fn world_behind_blockers(
    workers: usize,
    blocked: usize,
    late: usize,
    state: DesiredState,
) -> World {
    let mut world = World::new(3, workers, with_fill_queue(state));
    world.advice_ms = ADVICE_MS;
    world.advice_worker_us = ADVICE_WORKER_US;
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
        let is_late = worker.number >= workers - late;
        worker.work_ms = BLOCKED_MS + u64::from(is_late) * LATE_MS;
    }
    world.key = OTHER_KEY.into();
    let blockers = step(blocked as u32, BLOCKER_CPU_MILLI);
    world.submit_to("/fill/", 0, 99, vec![blockers]);
    world.run(100);
    world.key = KEY.into();
    let running: usize = world.workers.values().map(FakeWorker::running).sum();
    assert_eq!(running, blocked, "not all blockers run");
    for worker in world.workers.values_mut() {
        worker.work_ms = 1_000;
    }
    world
}

/// Runs until a condition holds, for at most [`MAX_WAIT_MS`].
fn run_until(world: &mut World, holds: impl Fn(&World) -> bool) {
    let begin = world.now;
    while !holds(world) {
        let waited_ms = world.now - begin;
        assert!(waited_ms < MAX_WAIT_MS, "not placed after {waited_ms} ms");
        world.run(25);
    }
}

/// Returns the lines of an event that contain all of `parts`.
fn lines(world: &World, event: &str, parts: &[&str]) -> Vec<String> {
    let lines = world.lines.iter().map(|(_, _, line)| line.to_string());
    let matches = |line: &String| parts.iter().all(|part| line.contains(part));
    let lines = lines.filter(|line| line.contains(&format!("event={event} ")));
    lines.filter(matches).collect()
}

/// Guards against a waiting gang for which no reason is logged.
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

/// Guards against a gang that is never placed because the tickets for its workers expire one after
/// another (LOST: it could run and doesn't).
#[test]
fn a_gang_whose_tickets_were_issued_at_different_times_starts() {
    let mut world = world_behind_blockers(40, 40, 0, desired(1, slow_advice()));
    world.submit(0, 1, vec![gang(12, 4_000)]);
    world.run(BLOCKED_MS - 1_000);
    // The blockers end and the gang's workers are chosen. Then a chosen worker and the three spares
    // drain during each of four calls for advice, and one that needs a ticket takes its place.
    let first_call = world.advice_calls;
    for at in 0..4 {
        run_until(&mut world, |world| world.advice_calls > first_call + at);
        world.set_draining(at, true);
        for spare in 12 + 4 * at..15 + 4 * at {
            world.set_draining(spare, true);
        }
    }
    run_until(&mut world, |world| world.count("gang_placed") > 0);
    world.run(2_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Guards against a gang that is never placed because it needs tickets for more workers than one
/// call for advice may name.
#[test]
fn a_gang_on_more_workers_than_one_call_names_starts() {
    let mut world = world_behind_blockers(130, 130, 30, desired(1, slow_advice()));
    world.submit(0, 1, vec![gang(120, 4_000)]);
    // Once most blockers have ended, the other workers are named in a second call.
    world.run(BLOCKED_MS + LATE_MS);
    run_until(&mut world, |world| world.count("gang_placed") > 0);
    world.run(2_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against single tasks that never start because they need new tickets for more workers than
/// one call for advice may name.
#[test]
fn single_tasks_on_more_workers_than_one_call_names_start() {
    let mut world = world_behind_blockers(130, 129, 0, desired(1, slow_advice()));
    world.submit(0, 1, vec![per_worker(1, step(120, 2_000))]);
    // The worker without a blocker runs a task, so that advice on all others is requested in turn.
    world.run(BLOCKED_MS);
    run_until(&mut world, |world| world.starts().len() > 129 + 100);
    world.run(5_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Returns a cell of 20 workers in which a gang of 12 of a team with this limit has its workers
/// reserved and waits for their tickets.
fn world_with_reserved_gang(limit_cpu_milli: u64) -> World {
    let mut state = desired(1, slow_advice());
    state.teams[0].limit.cpu_milli = limit_cpu_milli;
    let mut world = world_behind_blockers(20, 20, 0, state);
    world.submit(0, 1, vec![gang(12, 4_000)]);
    world.run(BLOCKED_MS - 1_000);
    let first_call = world.advice_calls;
    // The answer arrives after a changed entry or desired state has reached the leader.
    world.advice_ms = 1_600;
    run_until(&mut world, |world| world.advice_calls > first_call);
    assert_eq!(starts_of(&world, 1), 0);
    world
}

/// Guards against a gang that keeps workers reserved while its team is at its limit, so that a job
/// of another team is never placed on them (LOST).
#[test]
fn a_gang_at_its_teams_limit_reserves_no_workers() {
    let mut world = world_with_reserved_gang(60_000);
    // Tasks of the gang's team use 32 of its 60 cores for a minute, too many for the gang to start.
    for worker in world.workers.values_mut() {
        worker.work_ms = 60_000;
    }
    world.submit_to("/fill/", 0, 2, vec![step(8, 4_000)]);
    world.run(3_000);
    assert_eq!((starts_of(&world, 1), starts_of(&world, 2)), (0, 8));
    for worker in world.workers.values_mut() {
        worker.work_ms = 1_000;
    }
    world.key = OTHER_KEY.into();
    world.submit_to("/fill/", 0, 3, vec![step(4, 4_000)]);
    world.run(20_000);
    assert_eq!(starts_of(&world, 3), 4, "12 of 20 workers run nothing");
}

/// Guards against a gang that is started on workers whose capacity shrank after they were reserved
/// (LIMIT).
#[test]
fn a_gang_is_not_started_on_workers_that_shrank() {
    let mut world = world_with_reserved_gang(0);
    for worker in world.workers.values_mut() {
        worker.entry.capacity.cpu_milli = 3_000;
        world.store.put_worker(worker);
    }
    world.run(5_000);
    assert_eq!(starts_of(&world, 1), 0, "4,000 on a worker of 3,000");
}

/// Guards against a gang that is started on reserved workers which have restarted with less capacity
/// (LIMIT).
#[test]
fn a_gang_is_not_started_on_workers_that_restarted_smaller() {
    let mut world = world_with_reserved_gang(0);
    for worker in world.workers.values_mut() {
        worker.entry.capacity.cpu_milli = 3_000;
    }
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in ids {
        world.restart_worker(&id);
    }
    world.run(10_000);
    assert_eq!(starts_of(&world, 1), 0, "4,000 on a worker of 3,000");
}

/// Guards against a gang that is never placed because each time one of its many workers is unusable
/// for a moment when the tickets arrive, although there are as many others with room again.
#[test]
fn a_gang_starts_on_workers_that_are_unusable_from_time_to_time() {
    let state = desired(1, slow_advice());
    let mut world = world_behind_blockers(100, 100, 0, state);
    world.submit(0, 1, vec![gang(50, 4_000)]);
    world.run(BLOCKED_MS - 1_000);
    let begin = (world.now, world.advice_calls);
    // Each worker drains for 1.5 s every 10 s: 15 of 100 at a time.
    let mut seed = 8_u64;
    let mut draining: Vec<usize> = Vec::new();
    while world.count("gang_placed") == 0 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let at = (seed >> 33) as usize % 100;
        world.set_draining(at, true);
        draining.push(at);
        if draining.len() > 15 {
            let at = draining.remove(0);
            world.set_draining(at, draining.contains(&at));
        }
        world.run(100);
        let (took_ms, calls) = (world.now - begin.0, world.advice_calls - begin.1);
        assert!(
            took_ms < 20_000,
            "not placed after {took_ms} ms and {calls} calls"
        );
    }
}

/// Guards against a gang that is never placed because small tasks of its team keep using a part of
/// the team's limit (LOST: the team uses a quarter of its limit).
#[test]
fn a_gang_starts_beside_small_tasks_of_its_team() {
    let mut state = desired(1, slow_advice());
    state.teams[0].limit.cpu_milli = 60_000;
    let mut world = World::new(3, 30, with_fill_queue(state));
    world.run(3_000);
    for at in 0..80 {
        world.submit_to("/fill/", 0, 100 + at, vec![step(1, 4_000)]);
        if at == 8 {
            world.submit_to("/fill/", 0, 1, vec![gang(12, 4_000)]);
        }
        world.run(250);
    }
    assert_eq!(
        starts_of(&world, 1),
        12,
        "of 15 tasks that its team may run, 4 run"
    );
}

/// Guards against a gang that is placed and dropped again and again because its tickets expire while
/// its placements wait for the store behind other writes.
#[test]
fn a_gang_starts_although_the_store_answers_after_a_second() {
    let mut world = World::new(3, 40, with_fill_queue(desired(1, advice_valid_for(1_500))));
    world.advice_ms = ADVICE_MS;
    world.advice_worker_us = ADVICE_WORKER_US;
    world.run(3_000);
    for at in 0..100 {
        if at == 20 {
            world.submit(0, 1, vec![gang(12, 4_000)]);
        }
        world.submit_to("/fill/", 0, 100 + at, vec![step(1, 1_000)]);
        world.run(200);
        if at == 20 {
            world.store_ms = 500;
        }
    }
    let (placed, dropped) = (world.count("gang_placed"), world.count("placement_dropped"));
    assert_eq!(
        starts_of(&world, 1),
        12,
        "placed: {placed}, dropped: {dropped}"
    );
}
