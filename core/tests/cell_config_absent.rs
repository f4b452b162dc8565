//! Leaders that have not read the desired state yet, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, starts_of, step, World};
use pomelotide_core::cell::{ClientAnswer, DesiredState, JobState, Queue, RunOutcome};

const TASKS: u32 = 6;

/// Returns a desired state in which a task fails after `max_attempts` failed runs.
fn with_max_attempts(version: u64, max_attempts: u32) -> DesiredState {
    let queue = Queue {
        max_attempts,
        ..queue()
    };
    desired(version, queue)
}

/// Restarts all daemons, which can't read the desired state until [`let_state_be_read`].
fn restart_without_state(world: &mut World) {
    world.store.state_reads_lost = true;
    for at in 0..3 {
        world.kill(at);
    }
    world.run(100);
    for at in 0..3 {
        world.start(at);
    }
}

fn let_state_be_read(world: &mut World) {
    world.store.state_reads_lost = false;
    world.run(12_000);
}

/// Starts a cell with a job whose runs fail, and runs it until the second attempts are active.
fn with_failing_job(max_attempts: u32) -> World {
    let mut world = World::new(3, 6, with_max_attempts(1, max_attempts));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.how = RunOutcome::Failed;
    }
    world.submit(0, 1, vec![step(TASKS, 1_000)]);
    while starts_of(&world, 1) < 2 * TASKS as usize {
        world.run(25);
    }
    world
}

/// Guards against tasks that start again after their last attempt, because a leader that has not read the
/// desired state counts the failed run without its limit (BUDGET).
#[test]
fn the_last_attempt_is_the_last_if_it_fails_before_the_desired_state_is_read() {
    let mut world = with_failing_job(2);
    restart_without_state(&mut world);
    world.run(8_000);
    assert!(world.leader().is_some(), "no daemon leads");
    let_state_be_read(&mut world);
    assert_eq!(starts_of(&world, 1), 2 * TASKS as usize);
    world.assert_state(0, 1, JobState::Failed);
}

/// Guards against ends that are neither recorded nor acknowledged, and leases that expire, while the
/// desired state can't be read.
#[test]
fn ends_are_recorded_and_leases_renewed_without_a_desired_state() {
    let mut world = World::new(3, 6, with_max_attempts(1, 2));
    world.run(3_000);
    world.set_work_ms(9_000);
    world.submit(0, 1, vec![step(4, 1_000)]);
    world.run(1_000);
    restart_without_state(&mut world);
    world.run(12_000);
    let open: usize = world
        .workers
        .values()
        .map(|own| own.unacknowledged_ends())
        .sum();
    assert_eq!(open, 0, "ends that are not acknowledged");
    let_state_be_read(&mut world);
    assert_eq!(starts_of(&world, 1), 4);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against failed runs on record that a later leader does not compare with the limit.
#[test]
fn a_later_leader_applies_the_limit_to_recorded_failures() {
    let mut world = with_failing_job(2);
    restart_without_state(&mut world);
    world.run(8_000);
    let first = world.leader().unwrap();
    world.kill(first);
    let_state_be_read(&mut world);
    assert_eq!(starts_of(&world, 1), 2 * TASKS as usize);
    world.start(first);
    world.run(5_000);
    world.assert_state(first, 1, JobState::Failed);
}

/// Guards against a lowered limit that is not applied to failures which were recorded before.
#[test]
fn a_lowered_limit_is_applied_before_the_next_start() {
    let mut world = World::new(3, 6, with_max_attempts(1, 9));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.how = RunOutcome::Failed;
        worker.work_ms = 3_000;
    }
    world.submit(0, 1, vec![step(TASKS, 1_000)]);
    while starts_of(&world, 1) < 3 * TASKS as usize {
        world.run(25);
    }
    // The third attempts are active; they are the last ones.
    world.store.put_state(with_max_attempts(2, 2));
    world.run(12_000);
    assert_eq!(starts_of(&world, 1), 3 * TASKS as usize);
    world.assert_state(0, 1, JobState::Failed);
}

/// Guards against a cancellation that waits for the desired state, on which it does not depend.
#[test]
fn a_job_is_cancelled_by_a_leader_without_a_desired_state() {
    let mut world = with_failing_job(9);
    world.set_work_ms(60_000);
    world.run(2_000);
    // Daemon 0 keeps its desired state and takes the call; the others lead without one.
    world.store.state_reads_lost = true;
    let leader = world.leader().unwrap();
    let entry = (leader + 1) % 3;
    for at in (0..3).filter(|at| *at != entry) {
        world.kill(at);
    }
    world.silence_store(entry, true);
    world.run(100);
    for at in (0..3).filter(|at| *at != entry) {
        world.start(at);
    }
    world.run(100);
    let mut call = world.cancel(entry, 1);
    for _ in 0..20 {
        world.run(100);
        if world.answers.get(&call) == Some(&ClientAnswer::Cancelled) {
            return;
        }
        if world.answers.contains_key(&call) {
            call = world.cancel(entry, 1);
        }
    }
    panic!("not cancelled: {:?}", world.answers.get(&call));
}
