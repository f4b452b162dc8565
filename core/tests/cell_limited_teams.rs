//! Jobs of a team with a limit in a cell that loses workers and leaders, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice,
    seeds::{env_number, Rng},
    starts_of, step, World,
};
use pomelotide_core::cell::{ClientAnswer, DesiredState, Event, Queue, StepSpec};
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 6;
const WORKERS: usize = 40;
/// The limit of the team, in thousandths of a core: less than half of what the workers have.
const LIMIT_CPU_MILLI: u64 = 60_000;
/// How long a job may have no run while its team uses less than half of its limit.
const MAX_IDLE_MS: u64 = 3_000;
/// How long after the last fault that is expected of all jobs.
const RECOVERY_MS: u64 = 11_000;
/// How long the jobs may take to end after the last fault.
const END_MS: u64 = 60_000;
/// The time between two looks at what runs.
const LOOK_MS: usize = 100;

fn state(version: u64, queue: &Queue, limit_cpu_milli: u64) -> DesiredState {
    let mut state = desired(version, queue.clone());
    state.teams[0].limit.cpu_milli = limit_cpu_milli;
    state
}

/// Returns a step that needs less than half of the limit.
fn random_step(rng: &mut Rng) -> StepSpec {
    let cpu_milli = 500 + 500 * rng.below(6);
    let count = 1 + rng.below(LIMIT_CPU_MILLI / 2 / cpu_milli) as u32;
    match rng.below(3) {
        0 => gang(count, cpu_milli),
        1 => step(count, cpu_milli),
        _ => step(1 + rng.below(3) as u32, cpu_milli),
    }
}

/// Applies a random fault: a leader that changes or stands still, a worker that leaves, restarts or is cut
/// off, or a lowered limit.
fn inject_fault(world: &mut World, rng: &mut Rng, queue: &Queue) {
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    let id = ids[rng.below(ids.len() as u64) as usize].clone();
    let leader = world.leader();
    match (rng.below(9), leader) {
        (0, Some(leader)) => {
            world.kill(leader);
            world.run(rng.below(900));
            world.start(leader);
        }
        (1, Some(leader)) => {
            world.pause(leader);
            world.run(3_000);
            world.resume(leader);
        }
        (2, Some(leader)) => {
            world.deliver_event(leader, Event::Stop);
            world.run(2_000);
            world.kill(leader);
            world.start(leader);
        }
        (3, Some(leader)) => {
            world.cut_workers.insert((leader, id));
        }
        (4, _) => world.set_draining(rng.below(WORKERS as u64) as usize, true),
        (5, _) => world.restart_worker(&id),
        (6, _) => world.workers.get_mut(&id).unwrap().silent = rng.one_in(2),
        (7, _) => {
            let version = 2 + world.now;
            world
                .store
                .put_state(state(version, queue, LIMIT_CPU_MILLI / 3));
        }
        _ => world.advice_lost_at = Some(rng.below(DAEMONS as u64) as usize),
    }
}

fn end_faults(world: &mut World, queue: &Queue) {
    world.cut_workers.clear();
    world.advice_lost_at = None;
    for worker in world.workers.values_mut() {
        worker.silent = false;
        worker.work_ms = worker.work_ms.min(4_000);
    }
    let version = 3 + world.now;
    world
        .store
        .put_state(state(version, queue, LIMIT_CPU_MILLI));
}

/// Returns the jobs that had no run for [`MAX_IDLE_MS`] after `begin` while the team used less than half of
/// its limit, and when.
fn idle_jobs(world: &World, steps: &BTreeMap<String, StepSpec>, begin: u64) -> Vec<String> {
    let mut found = Vec::new();
    let mut idle_since: BTreeMap<&str, u64> = BTreeMap::new();
    let spans: Vec<_> = world.workers.values().flat_map(|own| &own.spans).collect();
    for now in (begin..world.now).step_by(LOOK_MS) {
        let is_running =
            |from: u64, end: Option<u64>| from <= now && end.is_none_or(|end| end > now);
        let running = spans.iter().filter(|span| is_running(span.begin, span.end));
        let running: Vec<&str> = running
            .map(|span| span.task.split('.').next().unwrap())
            .collect();
        let used: u64 = running.iter().map(|job| steps[*job].need.cpu_milli).sum();
        for (job, spec) in steps {
            let done = spans
                .iter()
                .filter(|span| span.done && span.end.is_some_and(|end| end <= now));
            let done = done.filter(|span| span.task.starts_with(job.as_str()));
            let done: BTreeSet<u32> = done.map(|span| span.key.index).collect();
            let is_idle = !running.contains(&job.as_str()) && done.len() < spec.count as usize;
            if !is_idle || 2 * used >= LIMIT_CPU_MILLI {
                idle_since.remove(job.as_str());
                continue;
            }
            let since = *idle_since.entry(job).or_insert(now);
            if now.saturating_sub(since) >= MAX_IDLE_MS {
                found.push(format!(
                    "{job} (gang: {}, {} tasks) at {now}",
                    spec.gang, spec.count
                ));
                idle_since.insert(job, u64::MAX / 2);
            }
        }
    }
    found
}

fn run_series(seed: u64) -> Vec<String> {
    let mut rng = Rng(seed * 7_919 + 5);
    let (base_us, worker_us) =
        [(9_000, 130), (100_000, 1_400), (550_000, 7_800)][rng.below(3) as usize];
    let queue = queue_with_advice(base_us, worker_us, 2_000);
    let mut world = World::new(DAEMONS, WORKERS, state(1, &queue, LIMIT_CPU_MILLI));
    world.advice_ms = base_us / 1_000;
    world.advice_worker_us = worker_us;
    world.advice_allows_every = 1 + rng.below(2) as usize;
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(2_000);
        worker.accepts_earlier_calls = false;
        worker.work_ms = 300 + rng.below(6_000);
    }
    world.run(3_000);
    let mut calls = Vec::new();
    for job in 1..=70 {
        let spec = random_step(&mut rng);
        let call = world.submit(rng.below(DAEMONS as u64) as usize, job, vec![spec.clone()]);
        calls.push((job, call, spec));
        world.run(rng.below(400));
        if rng.one_in(4) {
            inject_fault(&mut world, &mut rng, &queue);
        }
    }
    end_faults(&mut world, &queue);
    let begin = world.now + RECOVERY_MS;
    world.run(END_MS);
    let accepted = |call: &u64| world.answers.get(call) == Some(&ClientAnswer::Accepted);
    let accepted = calls.into_iter().filter(|(_, call, _)| accepted(call));
    let steps = accepted
        .map(|(job, _, spec)| (format!("{job:016x}"), spec))
        .collect();
    idle_jobs(&world, &steps, begin)
}

/// Guards against accepted jobs that do not start although their team uses less than half of its limit, after
/// a series of faults of workers and leaders (LOST). `SEED` sets the first seed and `SEEDS` the number of seeds.
#[test]
fn no_job_of_a_limited_team_idles_after_a_series_of_faults() {
    let count = env_number("SEEDS").unwrap_or(20);
    let first = env_number("SEED").unwrap_or(0);
    let found = (first..first + count).map(|seed| (seed, run_series(seed)));
    let found: Vec<_> = found.filter(|(_, jobs)| !jobs.is_empty()).collect();
    assert!(
        found.is_empty(),
        "{} of {count} seeds: {found:#?}",
        found.len()
    );
}

/// Guards against a gang that never starts because small tasks which need tickets are let through its
/// reservation again and again.
#[test]
fn a_gang_starts_beside_small_tasks_of_its_team_that_need_tickets() {
    for advice_ms in [100, 650, 1_330] {
        let queue = queue_with_advice(advice_ms * 1_000, 0, 2_000);
        let mut world = World::new(30, 30, state(1, &queue, LIMIT_CPU_MILLI));
        world.advice_ms = advice_ms;
        world.run(3_000);
        for at in 0..120 {
            if at == 8 {
                world.submit(0, 1, vec![gang(12, 4_000)]);
            }
            world.submit(0, 100 + at, vec![step(1, 4_000)]);
            world.run(250);
        }
        assert_eq!(starts_of(&world, 1), 12, "calls of {advice_ms} ms");
    }
}
