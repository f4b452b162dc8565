//! What a step needs at one moment and gets bit by bit, in virtual time: a stored placement, valid
//! tickets, a part of its team's limit.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice, starts_of, step, with_fill_queue, FakeWorker, World,
};
use pomelotide_core::cell::{ClientAnswer, Event, JobState, StepSpec};

/// The duration of a call for advice, in milliseconds.
const ADVICE_MS: u64 = 550;
/// How long a ticket is valid; shorter than the slow store takes.
const TICKET_MS: u64 = 1_100;
/// How long a call to the slow store takes in each direction.
const SLOW_STORE_MS: u64 = 500;

/// Returns a cell of 40 workers that check the tickets.
fn world_with_short_tickets() -> World {
    let queue = queue_with_advice(ADVICE_MS * 1_000, 0, TICKET_MS);
    let mut world = World::new(3, 40, with_fill_queue(desired(1, queue)));
    world.advice_ms = ADVICE_MS;
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
    }
    world.run(3_000);
    world
}

/// Submits a job to a cell whose store becomes slow, while jobs of another queue arrive all the time.
fn world_with_slow_store(steps: Vec<StepSpec>) -> World {
    let mut world = world_with_short_tickets();
    run_with_fill_jobs(&mut world, 100, 4_000);
    world.submit(0, 1, steps);
    run_with_fill_jobs(&mut world, 200, 200);
    world.store_ms = SLOW_STORE_MS;
    world
}

/// Runs for a span, in which a small job of another queue arrives every 200 ms.
fn run_with_fill_jobs(world: &mut World, first_job: u64, span_ms: u64) {
    for at in 0..span_ms / 200 {
        world.submit_to("/fill/", 0, first_job + at, vec![step(1, 1_000)]);
        world.run(200);
    }
}

/// Runs until a condition holds, for at most `max_ms`.
fn run_until(world: &mut World, max_ms: u64, holds: impl Fn(&World) -> bool) {
    let begin = world.now;
    while !holds(world) {
        let waited_ms = world.now - begin;
        assert!(waited_ms < max_ms, "not after {waited_ms} ms");
        world.run(25);
    }
}

/// Guards against single tasks that are placed and dropped again and again because their tickets
/// expire while their placements wait for a slow store.
#[test]
fn single_tasks_start_although_the_store_answers_after_a_second() {
    let mut world = world_with_slow_store(vec![step(12, 4_000)]);
    run_with_fill_jobs(&mut world, 300, 16_000);
    let dropped = world.count("placement_dropped");
    assert_eq!((starts_of(&world, 1), dropped), (12, 0));
    assert_eq!(world.count("start_refused"), 0);
    world.assert_once();
}

/// Guards against calls for tickets that are repeated as long as the store is down, although no start
/// can be sent.
#[test]
fn tickets_are_not_renewed_for_the_whole_outage_of_the_store() {
    let mut world = world_with_short_tickets();
    world.submit(0, 1, vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.advice_calls > 0);
    for at in 0..3 {
        world.silence_store(at, true);
    }
    world.run(30_000);
    let calls = world.advice_calls;
    assert!(calls <= 4, "{calls} calls");
    for at in 0..3 {
        world.silence_store(at, false);
    }
    world.run(15_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Returns a cell in which a gang is placed, its placement is stored, and its tickets have expired
/// while the advice service does not answer.
fn world_with_waiting_starts() -> World {
    let mut world = world_with_slow_store(vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.count("gang_placed") > 0);
    world.advice_lost_at = world.leader();
    world.advice_ms = 60_000;
    run_until(&mut world, 4_000, |world| world.count("start_waiting") > 0);
    assert_eq!(starts_of(&world, 1), 0);
    world
}

/// Guards against a gang that occupies its workers for as long as no tickets are to be had (LOST for
/// the jobs of others).
#[test]
fn starts_that_get_no_tickets_release_their_workers() {
    let mut world = world_with_waiting_starts();
    world.store_ms = 10;
    world.run(100);
    world.submit_to("/fill/", 0, 2, vec![step(40, 4_000)]);
    world.run(500);
    assert_eq!(starts_of(&world, 2), 28, "the gang occupies 12 workers");
    run_until(&mut world, 10_000, |world| starts_of(world, 2) == 40);
    assert_eq!(starts_of(&world, 1), 0);
}

/// Guards against a gang whose members start after it was cancelled, when the tickets that it waited
/// for arrive (UNASKED), and against room that stays occupied.
#[test]
fn a_gang_that_is_cancelled_while_it_waits_for_tickets_starts_nothing() {
    let mut world = world_with_waiting_starts();
    let call = world.cancel(0, 1);
    world.run(3_000);
    let answer = world.answers.remove(&call);
    assert!(answer.is_some(), "the cancellation is not answered");
    world.advice_ms = ADVICE_MS;
    world.advice_lost_at = None;
    world.store_ms = 10;
    world.run(3_000);
    assert_eq!(starts_of(&world, 1), 0);
    world.submit_to("/fill/", 0, 2, vec![step(40, 4_000)]);
    world.run(1_000);
    assert_eq!(starts_of(&world, 2), 40);
    assert_eq!(world.state(0, 1), ClientAnswer::State(JobState::Cancelled));
}

/// Guards against a gang that starts without a member when a worker drains while the tickets are
/// renewed (GANG), or that is not placed again.
#[test]
fn a_gang_is_placed_again_if_a_worker_drains_while_its_tickets_are_renewed() {
    let mut world = world_with_slow_store(vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.count("gang_placed") > 0);
    world.advice_ms = 1_200;
    run_until(&mut world, 4_000, |world| world.count("start_waiting") > 0);
    let is_drained = |own: &FakeWorker| own.number < 20;
    let numbers: Vec<usize> = world
        .workers
        .values()
        .filter(|own| is_drained(own))
        .map(|own| own.number)
        .collect();
    for at in numbers {
        world.set_draining(at, true);
    }
    world.store_ms = 10;
    world.advice_ms = ADVICE_MS;
    world.run(10_000);
    assert_eq!(world.count("placement_dropped"), 1);
    assert_eq!(starts_of(&world, 1), 12);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Guards against a gang that is started by the next leader and, when its tickets arrive, by the
/// former one (TWICE), or by neither of them.
#[test]
fn a_gang_that_waits_for_tickets_starts_once_when_the_leader_changes() {
    let mut world = world_with_waiting_starts();
    let leader = world.leader().unwrap();
    world.deliver_event(leader, Event::Stop);
    world.advice_ms = ADVICE_MS;
    world.advice_lost_at = None;
    world.store_ms = 10;
    world.run(20_000);
    let next = world.leader().unwrap();
    assert_ne!(next, leader);
    assert_eq!(starts_of(&world, 1), 12);
    world.assert_state(next, 1, JobState::Completed);
    world.assert_once();
}
