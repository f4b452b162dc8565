//! Who may see and end a job while its queue becomes open or closed, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, starts_of, step, with_fill_queue, World, KEY, OTHER_KEY, PREFIX};
use pomelotide_core::{
    cell::{ClientAnswer, JobState, Queue},
    QueueName,
};

/// The prefix of the queue that stays closed.
const FILL_PREFIX: &str = "/fill/";

fn open_queue() -> Queue {
    Queue {
        open: true,
        ..queue()
    }
}

/// Returns a cell in which job 1, submitted with a key, is at work; after that its queue is removed and
/// added again as `reopened`.
fn world_with_reopened_queue(reopened: Queue) -> World {
    let mut world = World::new(3, 4, with_fill_queue(desired(1, queue())));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = 25_000;
    }
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(1_000);
    let mut without = with_fill_queue(desired(2, queue()));
    without.queues.retain(|queue| queue.path_prefix != PREFIX);
    world.store.put_state(without);
    world.run(2_000);
    world.store.put_state(with_fill_queue(desired(3, reopened)));
    world.run(2_000);
    world.key = String::new();
    world
}

fn running(world: &World) -> usize {
    world.workers.values().map(|worker| worker.running()).sum()
}

fn assert_seen_and_cancelled(mut world: World, case: &str) {
    for daemon in (0..3)
        .filter(|daemon| world.is_running(*daemon))
        .collect::<Vec<_>>()
    {
        world.assert_state(daemon, 1, JobState::Running);
    }
    let daemon = world.leader().unwrap();
    let call = world.cancel(daemon, 1);
    world.run(3_000);
    let answer = world.answers.get(&call);
    assert_eq!(answer, Some(&ClientAnswer::Cancelled), "{case}");
    assert_eq!(running(&world), 0, "{case}");
}

/// Guards against a job that its client can neither see nor end once its queue needs no key any more (LOST,
/// UNASKED; review/4).
#[test]
fn a_job_is_seen_and_cancelled_without_a_key_once_its_queue_is_open() {
    assert_seen_and_cancelled(world_with_reopened_queue(open_queue()), "same name");
    let renamed = Queue {
        name: QueueName::new("q-open"),
        ..open_queue()
    };
    assert_seen_and_cancelled(world_with_reopened_queue(renamed), "other name");
}

/// Guards against the same while no leader answers, and under the next leader.
#[test]
fn a_job_of_a_queue_that_became_open_is_seen_over_a_change_of_the_leader() {
    let mut world = world_with_reopened_queue(open_queue());
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(50);
    let other = (leader + 1) % 3;
    let answer = world.state(other, 1);
    assert_ne!(answer, ClientAnswer::NoJob);
    world.run(4_000);
    assert_seen_and_cancelled(world, "next leader");
}

/// Guards against a retry that is refused as not run, or runs a second job, because it shows no key once the
/// queue is open.
#[test]
fn a_retry_without_a_key_is_the_same_submission_once_its_queue_is_open() {
    let mut world = world_with_reopened_queue(open_queue());
    let call = world.submit(1, 1, vec![step(2, 1_000)]);
    world.run(2_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    assert_eq!(starts_of(&world, 1), 2);
}

/// Guards against a retry with a key that is refused as not run because the queue was open before.
#[test]
fn a_retry_with_a_key_is_the_same_submission_once_its_queue_is_closed() {
    let mut world = World::new(3, 4, desired(1, open_queue()));
    world.run(3_000);
    world.key = String::new();
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(500);
    world.store.put_state(desired(2, queue()));
    world.run(2_000);
    world.key = KEY.into();
    let call = world.submit(1, 1, vec![step(2, 1_000)]);
    world.run(2_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    world.assert_state(1, 1, JobState::Completed);
    assert_eq!(starts_of(&world, 1), 2);
}

/// Guards against an open queue through which the jobs of a closed one are seen or ended.
#[test]
fn an_open_queue_shows_no_job_of_another_queue() {
    let mut world = World::new(3, 4, with_fill_queue(desired(1, open_queue())));
    world.run(3_000);
    world.key = OTHER_KEY.into();
    world.submit_to(FILL_PREFIX, 0, 1, vec![step(1, 1_000)]);
    world.run(500);
    world.key = String::new();
    for daemon in 0..3 {
        assert_eq!(world.state(daemon, 1), ClientAnswer::NoJob);
    }
    let call = world.cancel(1, 1);
    world.run(3_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::NoJob));
    assert_eq!(starts_of(&world, 1), 1);
    let spans = world.workers.values().flat_map(|worker| &worker.spans);
    assert!(spans.into_iter().all(|span| span.done));
}

/// Guards against a job that is accepted without a record, because another one with its id is being
/// recorded at the same daemon.
#[test]
fn two_jobs_with_one_id_are_not_both_accepted() {
    let mut world = World::new(3, 4, with_fill_queue(desired(1, queue())));
    world.run(3_000);
    let first = world.submit(0, 1, vec![step(2, 1_000)]);
    world.key = OTHER_KEY.into();
    let second = world.submit_to(FILL_PREFIX, 0, 1, vec![step(1, 500)]);
    world.run(3_000);
    assert_eq!(world.answers.get(&first), Some(&ClientAnswer::Accepted));
    let answer = world.answers.get(&second);
    let is_refused = matches!(answer, Some(ClientAnswer::NotRun { .. }));
    assert!(is_refused, "{answer:?}");
}
