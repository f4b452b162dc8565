//! Failures that operators of similar systems have reported: a paused leader, a hand-over, a restart of all
//! daemons after a worker left and a key was withdrawn.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, starts_of, step, World, KEY};
use pomelotide_core::cell::ClientAnswer;

const DAEMONS: usize = 3;
const WORKERS: usize = 6;
/// How long a process is paused: longer than a leader's lease and a takeover.
const PAUSE_MS: u64 = 6_000;
/// The jobs that arrive while the leader is paused are from here on.
const LATER_JOBS: u64 = 100;

/// Returns how many orders to workers a daemon has logged since `from_ms`.
fn orders_of(world: &World, daemon: usize, from_ms: u64) -> usize {
    let is_order = |event: &str| event == "run_ordered" || event == "stop_ordered";
    let lines = world.lines.iter();
    lines
        .filter(|(at, own, line)| *at >= from_ms && *own == daemon && is_order(line.event))
        .count()
}

/// Submits a job every 200 ms at daemons that are not paused.
fn submit_jobs(world: &mut World, paused: usize, first: u64, span_ms: u64) {
    for job in 0..span_ms / 200 {
        let daemon = (paused + 1 + job as usize % (DAEMONS - 1)) % DAEMONS;
        world.submit(daemon, first + job, vec![step(3, 1_000)]);
        world.run(200);
    }
}

/// Guards against a leader that was paused and then acts on a lease that has run out meanwhile, while the
/// next leader acts too.
#[test]
fn a_leader_that_was_paused_orders_nothing_when_it_goes_on() {
    for begin_ms in [0, 7, 13, 29, 57, 111] {
        let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
        world.run(3_000 + begin_ms);
        let former = world.leader().unwrap();
        submit_jobs(&mut world, former, 1, 1_000);
        // A job whose record is on its way, and one whose starts are.
        world.submit(former, 50, vec![step(3, 1_000)]);
        world.run(begin_ms);
        world.pause(former);
        submit_jobs(&mut world, former, LATER_JOBS, PAUSE_MS);
        let resumed_at = world.now;
        world.resume(former);
        world.run(10);
        let orders = orders_of(&world, former, resumed_at);
        assert_eq!(orders, 0, "paused {begin_ms} ms after the last job");
        world.run(20_000);
        world.assert_once();
        for job in [1, 50, LATER_JOBS] {
            assert!(starts_of(&world, job) >= 3, "job {job} did not run");
        }
    }
}

/// Guards against a worker that has left, or a key that was withdrawn, in use again after a restart of all
/// daemons.
#[test]
fn a_worker_that_left_and_a_withdrawn_key_stay_out_of_use_after_a_restart() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.run(3_000);
    world.submit(0, 1, vec![step(12, 1_000)]);
    world.run(500);
    let gone = world.workers.keys().next().unwrap().clone();
    world.crash_worker(&gone);
    let mut withdrawn = desired(2, queue());
    withdrawn.teams[0].keys = vec![pomelotide_core::KeyName::new("new-key")];
    world.store.put_state(withdrawn);
    for at in 0..DAEMONS {
        world.kill(at);
    }
    let before = world.workers[&gone].starts.len();
    for at in 0..DAEMONS {
        world.start(at);
    }
    world.run(4_000);
    let old = world.submit(1, 2, vec![step(1, 100)]);
    world.key = "new-key".into();
    let new = world.submit(1, 3, vec![step(20, 1_000)]);
    world.run(20_000);
    assert_eq!(world.answers[&old], ClientAnswer::BadKey, "key {KEY}");
    assert_eq!(world.answers[&new], ClientAnswer::Accepted);
    assert_eq!(starts_of(&world, 3), 20);
    assert_eq!(world.workers[&gone].starts.len(), before);
}

/// Guards against a restarted daemon that serves a withdrawn key before it has read a configuration.
#[test]
fn a_restarted_daemon_refuses_calls_until_it_has_read_the_configuration() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.run(3_000);
    world.kill(1);
    world.start(1);
    let call = world.submit(1, 1, vec![step(1, 100)]);
    world.run(1);
    let answer = &world.answers[&call];
    assert!(matches!(answer, ClientAnswer::NotRun { .. }), "{answer:?}");
    world.run(3_000);
    assert_eq!(starts_of(&world, 1), 0);
}

/// Returns the number of waiting jobs that a daemon shows.
fn shown_count(world: &mut World, daemon: usize) -> ClientAnswer {
    let call = world.count_jobs(daemon);
    world.run(100);
    world.answers.remove(&call).unwrap()
}

/// Guards against accepted jobs that are not counted as waiting although no task of theirs has started: all
/// workers refuse their starts (MIXED).
#[test]
fn a_job_whose_starts_are_refused_counts_as_waiting() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.refuses_starts = true;
    }
    for job in 1..5 {
        world.submit(0, job, vec![step(1, 1_000)]);
    }
    world.run(6_000);
    assert!(world.starts().is_empty());
    assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(4));
}
