//! Lists that do not name everything, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, step, World};
use pomelotide_core::{
    cell::{ClientAnswer, JobState, StepSpec},
    Resources,
};

const JOBS: u64 = 12;
const TASKS_PER_JOB: u32 = 60;
/// How long a task runs.
const WORK_MS: u64 = 10_000;
/// How long the worker is cut off; less than its lease.
const CUT_MS: u64 = 5_500;

fn small_tasks() -> StepSpec {
    StepSpec {
        need: Resources {
            cpu_milli: 5,
            memory_mib: 10,
            ..Resources::default()
        },
        ..step(TASKS_PER_JOB, 5)
    }
}

/// Returns a cell whose only worker is cut off while its tasks end, which are more than it lists at a
/// time.
fn world_with_many_ends() -> World {
    let mut world = World::new(3, 1, desired(1, queue()));
    world.run(3_000);
    let worker = world.workers.keys().next().unwrap().clone();
    world.workers.get_mut(&worker).unwrap().work_ms = WORK_MS;
    for job in 1..=JOBS {
        world.submit(0, job, vec![small_tasks()]);
        world.run(300);
    }
    world.run(1_000);
    let tasks = JOBS as usize * TASKS_PER_JOB as usize;
    assert_eq!(world.starts().len(), tasks);
    let first_end = world.starts()[0].3 + WORK_MS;
    world.run(first_end.saturating_sub(world.now));
    world.workers.get_mut(&worker).unwrap().silent = true;
    world.run(CUT_MS);
    let ended = world.workers[&worker].unacknowledged_ends();
    assert!(ended > 500, "{ended} ends");
    world.workers.get_mut(&worker).unwrap().silent = false;
    world
}

fn assert_each_task_ran_once(mut world: World) {
    world.run(20_000);
    let leader = world.leader().unwrap();
    for job in 1..=JOBS {
        world.assert_state(leader, job, JobState::Completed);
    }
    let doubles = world.double_runs();
    assert!(doubles.is_empty(), "{}: {:?}", doubles.len(), doubles[0]);
    assert_eq!(world.starts().len(), JOBS as usize * TASKS_PER_JOB as usize);
}

/// Guards against tasks that run again although they are done, because their ends come after the ones
/// that a worker lists at a time (TWICE; review/2).
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_run_again() {
    assert_each_task_ran_once(world_with_many_ends());
}

/// Guards against the same under a leader whose first list of the worker does not name all ends.
#[test]
fn the_first_list_of_a_new_leader_need_not_name_all_ends() {
    let mut world = world_with_many_ends();
    let leader = world.leader().unwrap();
    world.kill(leader);
    assert_each_task_ran_once(world);
}

/// Guards against a job that is answered as unknown because an answer of the store does not show its row,
/// and does not show either that there is none (LOST).
#[test]
fn an_answer_that_may_hide_a_row_does_not_deny_the_job() {
    for unreadable in [false, true] {
        let mut world = World::new(3, 4, desired(1, queue()));
        world.run(3_000);
        for job in 1..=40 {
            world.submit(0, job, vec![step(1, 500)]);
        }
        world.run(500);
        let leader = world.leader().unwrap();
        let other = (leader + 1) % 3;
        world.kill(leader);
        // The daemon notices that the link to the leader is down.
        world.run(50);
        match unreadable {
            true => world.store.unreadable_pages = 1,
            false => world.store.empty_pages = 1,
        }
        let answer = world.state(other, 1);
        assert_ne!(answer, ClientAnswer::NoJob, "unreadable: {unreadable}");
        world.run(5_000);
        world.assert_state(other, 1, JobState::Completed);
    }
}
