//! Queues that are removed and added again at the same address under another name or with another service,
//! in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, starts_of, step, World};
use pomelotide_core::{
    cell::{ClientAnswer, DesiredState, FencingToken, JobState, Queue, RowVersion, ToMember},
    QueueName,
};
use serde::Deserialize;

const WAITING: u64 = 6;

fn named(name: &str) -> Queue {
    Queue {
        name: QueueName::new(name),
        ..queue()
    }
}

fn without_queues(version: u64) -> DesiredState {
    let mut state = desired(version, queue());
    state.queues.clear();
    state
}

/// Returns a cell of two full workers of the service "desk" and two idle ones of "press", in which
/// [`WAITING`] jobs wait, after their queue was removed and added again as `again`.
fn cell_with_queue_again(again: Queue) -> World {
    let mut world = World::new(3, 4, desired(1, queue()));
    for (at, worker) in world.workers.values_mut().enumerate() {
        if at >= 2 {
            worker.entry.service = "press".into();
            world.store.put_worker(worker);
        }
    }
    world.run(3_000);
    world.set_work_ms(25_000);
    world.submit(0, 1, vec![step(2, 4_000)]);
    world.run(500);
    world.set_work_ms(1_000);
    for job in 2..2 + WAITING {
        world.submit(0, job, vec![step(2, 2_000)]);
        world.run(50);
    }
    world.run(500);
    world.store.put_state(without_queues(2));
    world.run(3_000);
    world.store.put_state(desired(3, again));
    world.run(3_000);
    world
}

fn pending_jobs(world: &mut World, daemon: usize) -> u64 {
    let call = world.count_jobs(daemon);
    world.run(100);
    match world.answers.get(&call) {
        Some(ClientAnswer::Count(count)) => *count,
        other => panic!("{other:?}"),
    }
}

/// Guards against a count of 0 pending jobs while several wait, because their queue came back under another
/// name (MIXED).
#[test]
fn a_renamed_queue_shows_its_waiting_jobs() {
    let mut world = cell_with_queue_again(named("again"));
    for daemon in 0..3 {
        assert_eq!(pending_jobs(&mut world, daemon), WAITING);
        world.assert_state(daemon, 2, JobState::Pending);
    }
    world.run(30_000);
    for job in 1..2 + WAITING {
        world.assert_state(0, job, JobState::Completed);
    }
    assert_eq!(pending_jobs(&mut world, 0), 0);
}

/// Guards against waiting jobs that stay with a service to which no desired state sends their queue any more.
#[test]
fn waiting_jobs_go_to_the_new_service_of_their_queue() {
    for name in ["q", "again"] {
        let press = Queue {
            service: "press".into(),
            ..named(name)
        };
        let mut world = cell_with_queue_again(press);
        world.run(8_000);
        for job in 2..2 + WAITING {
            world.assert_state(0, job, JobState::Completed);
            assert_eq!(starts_of(&world, job), 2);
        }
        let of_press = world.workers.values().skip(2);
        let starts: usize = of_press.map(|worker| worker.starts.len()).sum();
        assert_eq!(starts, 2 * WAITING as usize, "{name}");
    }
}

/// Guards against a renamed queue's limits that its waiting jobs don't follow, and jobs that can't be
/// cancelled.
#[test]
fn waiting_jobs_follow_the_limits_of_their_renamed_queue_and_can_be_cancelled() {
    let mut strict = named("again");
    strict.max_attempts = 1;
    let mut world = cell_with_queue_again(strict);
    let call = world.cancel(1, 2);
    world.run(2_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Cancelled));
    assert_eq!(pending_jobs(&mut world, 1), WAITING - 1);
    for worker in world.workers.values_mut() {
        worker.how = pomelotide_core::cell::RunOutcome::Failed;
    }
    world.run(40_000);
    world.assert_state(0, 3, JobState::Failed);
    assert!(starts_of(&world, 3) <= 2);
}

/// Guards against an open queue through which the jobs of a closed one are seen, because it has taken over
/// the name that the closed one had.
#[test]
fn a_queue_with_the_former_name_of_another_shows_none_of_its_jobs() {
    let mut world = cell_with_queue_again(named("again"));
    let mut state = desired(4, named("again"));
    let other = Queue {
        path_prefix: "/other/".into(),
        open: true,
        ..queue()
    };
    state.queues.push(other);
    world.store.put_state(state.with_sorted_queues());
    world.run(3_000);
    world.key = String::new();
    for daemon in 0..3 {
        assert_eq!(world.state_at("/other/", daemon, 2), ClientAnswer::NoJob);
    }
}

/// The heartbeat as the previous version reads it.
#[derive(Debug, Deserialize)]
enum FormerMessage {
    Heartbeat { queued: Vec<(QueueName, u64)> },
}

/// Guards against heartbeats that the previous version can't read, and the reverse.
#[test]
fn heartbeats_are_read_by_and_from_the_previous_version() {
    let heartbeat = ToMember::Heartbeat {
        token: FencingToken(1),
        lease: RowVersion(1),
        version: 1,
        confirmed_ms: None,
        queued: vec![(QueueName::new("q"), 6)],
        queued_at: Some(Vec::new()),
        worker_id_bytes: Some(3),
        ready: true,
        store_slow: false,
        strongest_cpu_milli: 1,
        strongest_link_kbps: None,
        closed: Vec::new(),
        admission: None,
    };
    let mut value = serde_json::to_value(&heartbeat).unwrap();
    let former: FormerMessage = serde_json::from_value(value.clone()).unwrap();
    let FormerMessage::Heartbeat { queued } = former;
    assert_eq!(queued, [(QueueName::new("q"), 6)]);
    let fields = value["Heartbeat"].as_object_mut().unwrap();
    fields.remove("queued_at");
    fields.remove("worker_id_bytes");
    let read: ToMember = serde_json::from_value(value).unwrap();
    let ToMember::Heartbeat {
        queued_at,
        worker_id_bytes,
        ..
    } = read
    else {
        panic!("{read:?}")
    };
    assert_eq!((queued_at, worker_id_bytes), (None, None));
}
