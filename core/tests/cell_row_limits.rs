//! Jobs whose rows reach the store's limits, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, gang, queue, step, World};
use pomelotide_core::{
    cell::{CellSettingsBuilder, ClientAnswer, JobState, StepSpec},
    Resources, WorkerId,
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

/// Guards against a limit on parsed steps that refuses a job which could be recorded.
#[test]
fn a_job_beyond_the_most_steps_can_never_be_recorded() {
    let settings = CellSettingsBuilder::new("a", "b", "c").build();
    let mut world = world();
    let steps = vec![step(1, 1_000); settings.max_steps() + 1];
    let call = world.submit(0, 1, steps);
    world.run(1_000);
    let answer = &world.answers[&call];
    assert!(matches!(answer, ClientAnswer::Malformed(_)), "{answer:?}");
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

/// Returns a gang of many tasks of which a worker has room for 2,000.
fn many_members(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..many(count)
    }
}

/// Gives the workers from number `first` on ids of `bytes` bytes.
fn set_id_bytes(world: &mut World, first: usize, bytes: usize) {
    let workers = std::mem::take(&mut world.workers);
    for (id, mut worker) in workers {
        if worker.number >= first {
            world.store.remove_worker(id.as_str());
            worker.entry.id = WorkerId::new(format!("{id}{:x<1$}", "", bytes - id.as_str().len()));
            world.store.put_worker(&worker);
        }
        world.workers.insert(worker.id(), worker);
    }
}

/// Returns a cell whose workers have ids of `bytes` bytes.
fn world_with_ids(bytes: usize) -> World {
    let mut world = World::new(2, 6, desired(1, queue()));
    set_id_bytes(&mut world, 0, bytes);
    world.run(3_000);
    assert!(world.leader().is_some(), "there is no leader");
    world
}

/// Guards against a gang that is accepted and never started, because its placements do not fit into a row
/// with the workers' ids (LOST).
#[test]
fn a_gang_is_accepted_only_if_its_placements_fit_with_the_ids_of_the_workers() {
    for (bytes, count, fits) in [
        (78, 400, false),
        (3, 400, true),
        (3, 800, true),
        (78, 300, true),
        (200, 150, true),
        (200, 250, false),
    ] {
        let mut world = world_with_ids(bytes);
        let call = world.submit(0, 1, vec![many_members(count)]);
        world.run(4_000);
        let answer = &world.answers[&call];
        match fits {
            true => world.assert_state(0, 1, JobState::Completed),
            false => assert!(
                matches!(answer, ClientAnswer::Malformed(_)),
                "{count} tasks, ids of {bytes}: {answer:?}"
            ),
        }
        assert_eq!(world.store.oversized, 0);
    }
}

/// Guards against an accepted gang that never starts because a worker with a long id joins.
#[test]
fn an_accepted_gang_starts_on_the_workers_whose_ids_fit_its_row() {
    let mut world = world_with_ids(3);
    world.silence_workers(true);
    world.run(5_000);
    let call = world.submit(0, 1, vec![many_members(400)]);
    world.run(1_000);
    assert_eq!(world.answers[&call], ClientAnswer::Accepted);
    set_id_bytes(&mut world, 3, 200);
    world.silence_workers(false);
    world.run(8_000);
    world.assert_state(0, 1, JobState::Completed);
    assert_eq!(world.store.oversized, 0);
    let long = world.workers.values().filter(|worker| worker.number >= 3);
    assert!(long.into_iter().all(|worker| worker.starts.is_empty()));
}

/// Guards against a lasting refusal of a gang that fits, or the acceptance of one that does not, while the
/// length of the workers' ids is unknown.
#[test]
fn a_gang_that_may_fit_is_refused_for_a_while_without_a_leader() {
    let mut world = world_with_ids(78);
    let leader = world.leader().unwrap();
    world.kill(leader);
    let other = 1 - leader;
    let mut calls = Vec::new();
    for job in 1..30 {
        calls.push(world.submit(other, job, vec![many_members(300)]));
        world.run(100);
    }
    world.run(3_000);
    let mut undecided = 0;
    for call in calls {
        match &world.answers[&call] {
            ClientAnswer::Accepted => {}
            ClientAnswer::NotRun { reason, .. } => undecided += usize::from(reason.contains("ids")),
            answer => panic!("{answer:?}"),
        }
    }
    assert!(undecided > 0);
}
