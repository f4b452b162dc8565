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
