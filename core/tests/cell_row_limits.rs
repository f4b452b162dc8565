//! Jobs whose rows reach the store's limits, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, gang, queue, step, World};
use pomelotide_core::{
    cell::{ClientAnswer, JobState, StepSpec},
    Resources,
};

const WORKERS: usize = 32;

/// Returns a step of many tasks of which a worker has room for 2,000.
fn many(count: u32) -> StepSpec {
    let need = Resources {
        cpu_milli: 2,
        memory_mib: 1,
        ..Resources::default()
    };
    StepSpec {
        need,
        ..step(count, 2)
    }
}

fn world() -> World {
    let mut world = World::new(2, WORKERS, desired(1, queue()));
    world.run(3_000);
    assert!(world.leader().is_some(), "there is no leader");
    world
}

/// Guards against a job with so many placed tasks that its row is refused for ever, which holds up the
/// jobs of the same transaction as well.
#[test]
fn a_job_with_more_tasks_than_its_row_holds_is_run_in_parts() {
    let mut world = world();
    world.submit(0, 1, vec![many(4_000)]);
    world.submit(0, 2, vec![many(3)]);
    world.run(8_000);
    world.assert_state(0, 2, JobState::Completed);
    world.assert_state(0, 1, JobState::Completed);
    assert_eq!(world.store.oversized, 0);
    world.assert_once();
}

/// Guards against a transaction above the store's limit, which is refused and repeated for ever.
#[test]
fn many_large_rows_are_written_in_several_transactions() {
    let mut world = world();
    for worker in world.workers.values_mut() {
        worker.silent = true;
    }
    world.run(5_000);
    for job in 1..=36 {
        world.submit(0, job, vec![many(1_600)]);
    }
    world.run(500);
    // All jobs are placed while the store is down, so all rows have to be written after that.
    world.store.down = true;
    for worker in world.workers.values_mut() {
        worker.silent = false;
    }
    world.run(800);
    world.store.down = false;
    world.run(12_000);
    for job in 1..=36 {
        world.assert_state(0, job, JobState::Completed);
    }
    assert_eq!(world.store.oversized, 0);
}

/// Guards against a row that the store refuses although the daemon expects that it fits: it holds up
/// the jobs of the same transaction.
#[test]
fn a_refused_row_does_not_hold_up_other_jobs() {
    let mut world = world();
    world.store.max_row_bytes = 8_000;
    for job in 2..20 {
        world.submit(0, job, vec![many(3), many(5)]);
    }
    world.submit(0, 1, vec![many(1_000)]);
    world.run(6_000);
    for job in 2..20 {
        world.assert_state(0, job, JobState::Completed);
    }
    assert!((1..40).contains(&world.store.oversized));
    world.store.max_row_bytes = 65_536;
    world.run(6_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against a job that is accepted although it can never be recorded or started, and against a
/// large one that keeps others from being accepted.
#[test]
fn a_job_that_cant_be_recorded_is_refused_as_malformed() {
    let mut world = world();
    let steps = |count: usize| vec![step(1, 1_000); count];
    let tasks = gang(5_000, 1);
    let calls = [
        world.submit(0, 1, steps(1_000)),
        world.submit(0, 2, vec![tasks]),
    ];
    let others: Vec<u64> = (3..40).map(|job| world.submit(0, job, steps(30))).collect();
    world.run(1_000);
    for call in calls {
        let answer = &world.answers[&call];
        assert!(matches!(answer, ClientAnswer::Malformed(_)), "{answer:?}");
    }
    for call in others {
        assert_eq!(world.answers[&call], ClientAnswer::Accepted);
    }
    assert_eq!(world.store.oversized, 0);
}
