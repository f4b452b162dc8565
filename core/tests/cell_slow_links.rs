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

/// Starts two daemons anew, one after the other; returns the one that leads 15 s later.
fn leader_among(shares: [u64; 2], links_mbps: [u64; 2], first: usize) -> Option<usize> {
    let mut world = World::with_cpu(&shares, WORKERS, desired(1, queue()));
    for (at, rate) in links_mbps.into_iter().enumerate() {
        world.kill(at);
        world.slow_link(at, rate);
    }
    world.start(first);
    world.run(4_000);
    assert_eq!(world.leader(), Some(first));
    world.start(1 - first);
    world.run(RECOVERY_MS);
    world.leader()
}

/// A host with a slow link led beside one with a fast link and more of the processor, because that had less
/// than twice its share, and its reads were late (wisniewski-katalog-grown, LOST).
#[test]
fn a_leader_on_a_slow_link_hands_over_to_a_host_with_a_fast_one() {
    assert_eq!(leader_among([300, 500], [10, 200], 0), Some(1));
    assert_eq!(leader_among([300, 300], [10, 200], 0), Some(1));
    // A host with less of the processor doesn't take over, nor one whose faster link is of no use.
    assert_eq!(leader_among([500, 300], [10, 200], 0), Some(0));
    assert_eq!(leader_among([300, 300], [100, 1_000], 0), Some(0));
    assert_eq!(leader_among([300, 500], [10, 200], 1), Some(1));
}

/// Daemons that start together elect one with a fast link, also where one with a slow link reads the store
/// first.
#[test]
fn hosts_with_slow_links_wait_longer_before_they_lead() {
    let shares = [300, 300, 500, 300];
    let mut world = World::with_cpu(&shares, WORKERS, desired(1, queue()));
    for at in 0..shares.len() {
        world.kill(at);
        world.slow_link(at, if at == 2 { 200 } else { LINK_MBPS });
    }
    for at in 0..shares.len() {
        world.start(at);
        world.run(100);
    }
    world.run(3_000);
    assert_eq!(world.leader(), Some(2));
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
