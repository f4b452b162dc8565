//! Leaders whose link to the store is slow for the size of the tables, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, starts_of, step, World};
use pomelotide_core::cell::ClientAnswer;

const DAEMONS: usize = 3;
const WORKERS: usize = 8;
/// The rate of the slowest hosts' links.
const LINK_MBPS: u64 = 10;
/// How long after the daemons are back new work is served.
const RECOVERY_MS: u64 = 15_000;

/// Submits `jobs` small jobs in turn, at a rate of one each `gap_ms`, and asserts that all are accepted.
fn submit_jobs(world: &mut World, daemons: &[usize], jobs: std::ops::Range<u64>, gap_ms: u64) {
    let mut calls = Vec::new();
    for job in jobs {
        let at = daemons[job as usize % daemons.len()];
        calls.push(world.submit(at, job, vec![step(1, 10)]));
        world.run(gap_ms);
    }
    world.run(1_000);
    for call in calls {
        assert_eq!(world.answers.remove(&call), Some(ClientAnswer::Accepted));
    }
}

/// A leader with a link of 10 Mbit/s never read the jobs' table, because its pages took longer than the
/// time-out and were requested again unchanged: nothing ran any more (review/11).
#[test]
fn a_leader_on_a_slow_link_loads_a_large_table() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.payload = "x".repeat(2_000);
    world.set_work_ms(100);
    world.run(4_000);
    submit_jobs(&mut world, &[0, 1, 2], 0..2_500, 2);
    for at in 0..DAEMONS {
        world.slow_link(at, LINK_MBPS);
        world.kill(at);
    }
    world.run(1_500);
    (0..DAEMONS).for_each(|at| world.start(at));
    world.run(3_000);
    let call = world.submit(0, 9_000, vec![step(1, 10)]);
    world.run(RECOVERY_MS - 3_000);
    assert_eq!(world.answers.remove(&call), Some(ClientAnswer::Accepted));
    assert_eq!(starts_of(&world, 9_000), 1);
    world.assert_once();
}

/// Jobs that no daemon could report to the leader were never read: the answer with the changes took longer
/// than the time-out on a slow link, and each further one was larger (review/12, LOST).
#[test]
fn changes_that_exceed_the_time_out_on_a_slow_link_are_read() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.set_work_ms(100);
    world.run(4_000);
    let leader = world.leader().unwrap();
    let other = (leader + 1) % DAEMONS;
    world.slow_link(leader, LINK_MBPS);
    // Its reports to the leader are lost.
    world.cut(other, true);
    world.payload = "x".repeat(4_000);
    submit_jobs(&mut world, &[other], 0..600, 1);
    world.run(RECOVERY_MS);
    assert_eq!(world.leader(), Some(leader));
    let started = (0..600).filter(|job| starts_of(&world, *job) == 1).count();
    assert_eq!(started, 600);
}

/// A leader that reads the jobs' table again, because the store has lost its history, kept its link busy
/// and was late for all else.
#[test]
fn a_repeated_read_of_the_table_leaves_half_of_the_link_to_other_calls() {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.payload = "x".repeat(2_000);
    world.set_work_ms(100);
    world.run(4_000);
    submit_jobs(&mut world, &[0, 1, 2], 0..2_500, 2);
    let leader = world.leader().unwrap();
    world.slow_link(leader, LINK_MBPS);
    world.run(1_000);
    world.store.history_gone = world.store.version();
    // A pause between the pages that is as long as they take, and the links' ticks.
    let busy = world.store_link_use(leader, 4_000);
    assert!(world.count("history_lost") > 0);
    assert!(busy <= 0.6, "{busy}");
    world.run(RECOVERY_MS);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.count("lead_taken"), 1);
}

/// A job whose row was removed while a page with it was under way became known again without its progress,
/// and its tasks ran again (TWICE).
#[test]
fn a_job_that_is_removed_while_the_table_is_read_again_does_not_run_again() {
    const RETENTION_MS: u64 = 120_000;
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.payload = "x".repeat(4_000);
    world.set_work_ms(100);
    world.run(4_000);
    submit_jobs(&mut world, &[0, 1, 2], 0..800, 25);
    let leader = world.leader().unwrap();
    world.slow_link(leader, LINK_MBPS);
    world.run(RETENTION_MS - 20_000);
    for _ in 0..1_600 {
        world.store.history_gone = world.store.version();
        world.run(25);
    }
    assert!(world.count("jobs_swept") > 0);
    world.run(5_000);
    world.assert_once();
}
