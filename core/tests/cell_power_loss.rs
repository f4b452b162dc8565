//! Jobs that are accepted shortly before all daemons lose power, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue, queue_with_advice,
    seeds::{env_number, Rng},
    step, World,
};
use pomelotide_core::cell::{ClientAnswer, DesiredState, Queue, StepSpec};
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 3;
const WORKERS: usize = 6;
/// The processors of a worker, in thousandths of a core.
const WORKER_CPU_MILLI: u64 = 64_000;
const WORKER_MEMORY_MIB: u64 = 200_000;
/// How long after the end of all faults every accepted job has completed.
const RECOVERY_MS: u64 = 20_000;
/// The longest time that the tests wait for the answer to a submission.
const MAX_ANSWER_MS: u64 = 4_000;
const HOUR_MS: i64 = 3_600_000;
const TICKET_MS: u64 = 4_000;

/// A step as large as that of a job that was not started after a loss of power.
fn large_step() -> StepSpec {
    let mut large = step(27, 5_500);
    large.need.memory_mib = 6_464;
    large
}

/// Lets all workers have the capacity of the tests' fleet.
fn enlarge_workers(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.entry.capacity.cpu_milli = WORKER_CPU_MILLI;
        worker.entry.capacity.memory_mib = WORKER_MEMORY_MIB;
        world.store.put_worker(worker);
    }
}

fn fleet(daemons: usize, state: DesiredState) -> World {
    let mut world = World::new(daemons, WORKERS, state);
    enlarge_workers(&mut world);
    world.run(3_000);
    assert!(world.leader().is_some(), "no daemon leads");
    world
}

fn kill_all(world: &mut World, daemons: usize) {
    for at in 0..daemons {
        if world.is_running(at) {
            world.kill(at);
        }
    }
}

/// Starts all daemons but the first `missing` of them, beginning with daemon `first` and with pauses.
fn start_all(world: &mut World, daemons: usize, first: usize, pause_ms: u64, missing: usize) {
    for offset in missing..daemons {
        let at = (first + offset) % daemons;
        if !world.is_running(at) {
            world.start(at);
            world.run(pause_ms);
        }
    }
}

/// Runs until a call is answered; returns whether it was accepted.
fn wait_for_answer(world: &mut World, call: u64) -> bool {
    for _ in 0..MAX_ANSWER_MS {
        if let Some(answer) = world.answers.get(&call) {
            return *answer == ClientAnswer::Accepted;
        }
        world.run(1);
    }
    false
}

/// Returns the tasks of accepted jobs that have not succeeded; `jobs` holds each job's steps.
fn unfinished(world: &World, jobs: &BTreeMap<u64, Vec<StepSpec>>) -> Vec<String> {
    let spans = world.workers.values().flat_map(|worker| &worker.spans);
    let done: BTreeSet<&str> = spans
        .filter(|span| span.done)
        .map(|span| &*span.task)
        .collect();
    let mut left = Vec::new();
    for (job, steps) in jobs {
        for (at, step) in steps.iter().enumerate() {
            let names = (0..step.count).map(|index| format!("{job:016x}.0.{at}.{index}"));
            let is_left = |name: &String| !done.contains(name.as_str());
            left.extend(names.filter(is_left).filter(|_| !step.gang));
            let members = (0..step.count).map(|index| format!("{job:016x}.0.{at}.{index}"));
            // One member that succeeds stands for all.
            if step.gang && members.clone().all(|name| is_left(&name)) {
                left.extend(members);
            }
        }
    }
    left
}

/// Asserts that all jobs have completed and no task ran twice at the same time.
fn assert_completed(world: &World, jobs: &BTreeMap<u64, Vec<StepSpec>>, scenario: &str) {
    assert!(world.leader().is_some(), "{scenario}: no daemon leads");
    let left = unfinished(world, jobs);
    assert!(
        left.is_empty(),
        "{scenario}: {} tasks left: {left:?}",
        left.len()
    );
    world.assert_once();
}

/// A loss of power after the acceptance of a job.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    /// How long the cell has run when the job is submitted.
    offset_ms: u64,
    /// The daemon that the job is submitted to, counted from the leader.
    daemon: usize,
    /// How long after the acceptance all daemons are killed.
    after_ms: u64,
    dark_ms: u64,
    /// The daemon that starts first, and the pause between two starts.
    first: usize,
    pause_ms: u64,
    /// How many daemons do not start again.
    missing: usize,
}

/// Submits a job of 27 tasks, lets all daemons lose power after its acceptance, and asserts that it
/// completes. `prepare` applies faults before the submission, `while_dark` while no daemon runs.
fn assert_survives(
    outage: Outage,
    queue: Queue,
    prepare: impl FnOnce(&mut World, usize),
    while_dark: impl FnOnce(&mut World),
) {
    let mut world = fleet(DAEMONS, desired(1, queue));
    world.run(outage.offset_ms);
    let daemon = (world.leader().unwrap() + outage.daemon) % DAEMONS;
    prepare(&mut world, daemon);
    let call = world.submit(daemon, 1, vec![large_step()]);
    assert!(
        wait_for_answer(&mut world, call),
        "{outage:?}: not accepted"
    );
    world.run(outage.after_ms);
    kill_all(&mut world, DAEMONS);
    while_dark(&mut world);
    world.run(outage.dark_ms);
    for at in 0..DAEMONS {
        world.refuse_store(at, false);
        world.silence_store(at, false);
    }
    start_all(
        &mut world,
        DAEMONS,
        outage.first,
        outage.pause_ms,
        outage.missing,
    );
    world.run(RECOVERY_MS);
    let jobs = BTreeMap::from([(1, vec![large_step()])]);
    assert_completed(&world, &jobs, &format!("{outage:?}"));
}

/// Returns losses of power at many times after the acceptance, each with another order of starts.
fn outages(step_ms: usize) -> impl Iterator<Item = Outage> {
    let dark_ms = [200, 900, 2_100, 5_000, 12_000];
    let offsets = [0, 7, 13, 19, 24];
    (0..61)
        .step_by(step_ms)
        .enumerate()
        .map(move |(at, after_ms)| Outage {
            offset_ms: offsets[at % offsets.len()],
            daemon: at % DAEMONS,
            after_ms,
            dark_ms: dark_ms[(at / DAEMONS) % dark_ms.len()],
            first: at % DAEMONS,
            pause_ms: [0, 5, 400][at % 3],
            missing: (at / 2) % DAEMONS,
        })
}

/// Guards against a job that the next leader does not find because all daemons lost power in the
/// milliseconds after its acceptance.
#[test]
fn a_job_accepted_just_before_all_daemons_lose_power_is_started() {
    for outage in outages(1) {
        for daemon in 0..2 {
            let outage = Outage { daemon, ..outage };
            assert_survives(outage, queue(), |_, _| {}, |_| {});
        }
    }
}

/// Guards against a job of a queue with advice that is not started after a loss of power.
#[test]
fn a_job_with_advice_accepted_just_before_all_daemons_lose_power_is_started() {
    for outage in outages(2) {
        let queue = queue_with_advice(20_000, 500, TICKET_MS);
        assert_survives(outage, queue, |_, _| {}, |_| {});
    }
}

/// Guards against a job that its daemon forwarded to the leader and that the next leader does not find.
#[test]
fn a_relayed_job_accepted_just_before_all_daemons_lose_power_is_started() {
    for outage in outages(2) {
        let outage = Outage {
            daemon: 1,
            ..outage
        };
        let prepare = |world: &mut World, at: usize| world.refuse_store(at, true);
        assert_survives(outage, queue(), prepare, |_| {});
        let prepare = |world: &mut World, at: usize| world.silence_store(at, true);
        assert_survives(outage, queue(), prepare, |_| {});
    }
}

/// Guards against a job whose first write takes effect late or loses its answer, before or after the
/// next leader has read its partition.
#[test]
fn a_job_with_a_late_write_before_all_daemons_lose_power_is_started() {
    for outage in outages(3) {
        for dark_ms in [0, 300, 700] {
            let outage = Outage {
                dark_ms,
                missing: 0,
                ..outage
            };
            assert_survives(outage, queue(), |world, _| world.late_writes = 1, |_| {});
            assert_survives(
                outage,
                queue(),
                |world, _| world.store.lose_answers = 1,
                |_| {},
            );
        }
    }
}

/// Guards against a job that is not found because the store is slow while the next leader loads, its
/// partitions are read at different times, or its history of changes is lost meanwhile.
#[test]
fn a_job_accepted_before_a_loss_of_power_is_found_in_a_slow_store() {
    for outage in outages(4) {
        for store_ms in [40, 200, 600] {
            assert_survives(
                outage,
                queue(),
                |world, _| world.store_ms = store_ms,
                |_| {},
            );
        }
        let while_dark = |world: &mut World| {
            world.uneven_scans = true;
            world.store.history_gone = world.store.version();
        };
        assert_survives(outage, queue(), |_, _| {}, while_dark);
    }
}

/// Guards against a job whose queue is removed, or whose workers are lost, while no daemon runs.
#[test]
fn a_job_accepted_before_a_loss_of_power_is_started_in_a_changed_cell() {
    for outage in outages(3) {
        let remove_queue = |world: &mut World| {
            let mut state = desired(2, queue());
            state.queues.clear();
            state.teams.clear();
            world.store.put_state(state);
        };
        assert_survives(outage, queue(), |_, _| {}, remove_queue);
        let change_queue = |world: &mut World| {
            let mut changed = queue_with_advice(20_000, 0, TICKET_MS);
            changed.path_prefix = "/other/".into();
            changed.priority = 7;
            changed.slack_permille = 0;
            world.store.put_state(desired(2, changed));
        };
        assert_survives(outage, queue(), |_, _| {}, change_queue);
        let restart_workers = |world: &mut World| {
            for id in world.workers.keys().cloned().collect::<Vec<_>>() {
                world.restart_worker(&id);
            }
        };
        assert_survives(outage, queue(), |_, _| {}, restart_workers);
    }
}

/// Guards against a job that is not found because its partition has several pages, by rows or by bytes.
#[test]
fn all_of_many_open_jobs_are_started_after_a_loss_of_power() {
    for (page_rows, payload_bytes, count) in
        [(500, 10, 2_400), (40, 10, 1_100), (500, 4_000, 1_200)]
    {
        let mut world = fleet(DAEMONS, desired(1, queue()));
        let ids: Vec<_> = world.workers.keys().cloned().collect();
        for id in &ids {
            world.store.remove_worker(id.as_str());
        }
        world.run(2_000);
        world.store.page_rows = page_rows;
        world.payload = "x".repeat(payload_bytes);
        let mut calls = Vec::new();
        for job in 0u64..count {
            let daemon = job as usize % DAEMONS;
            // The ids are spread over the key range.
            let id = (job + 1u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            calls.push((id, world.submit(daemon, id, vec![step(2, 500)])));
            if job % 30 == 0 {
                world.run(20);
            }
        }
        world.run(9);
        kill_all(&mut world, DAEMONS);
        let accepted = |call: &u64| world.answers.get(call) == Some(&ClientAnswer::Accepted);
        let jobs: BTreeMap<_, _> = calls
            .iter()
            .filter(|(_, call)| accepted(call))
            .map(|(id, _)| (*id, vec![step(2, 500)]))
            .collect();
        assert!(jobs.len() as u64 > count - 200, "{} accepted", jobs.len());
        assert_eq!(world.starts().len(), 0);
        enlarge_workers(&mut world);
        world.run(2_000);
        start_all(&mut world, DAEMONS, 1, 100, 1);
        world.run(RECOVERY_MS);
        let scenario = format!("pages of {page_rows}, {payload_bytes} bytes");
        assert_completed(&world, &jobs, &scenario);
    }
}

/// Submits jobs at all daemons until all lose power; returns the accepted ones.
fn submit_until_outage(
    world: &mut World,
    daemons: usize,
    first: u64,
) -> BTreeMap<u64, Vec<StepSpec>> {
    let mut calls = Vec::new();
    for job in first..first + 12 {
        calls.push((
            job,
            world.submit(job as usize % daemons, job, vec![step(3, 2_000)]),
        ));
        world.run(6);
    }
    kill_all(world, daemons);
    let accepted = |call: &u64| world.answers.get(call) == Some(&ClientAnswer::Accepted);
    let jobs = calls.iter().filter(|(_, call)| accepted(call));
    jobs.map(|(job, _)| (*job, vec![step(3, 2_000)])).collect()
}

/// Guards against jobs that are lost because the leader loses power again while it loads or places them.
#[test]
fn jobs_are_started_although_each_leader_loses_power_while_it_loads() {
    let mut accepted = 0;
    for after_ms in (0..260).step_by(5) {
        for all in [false, true] {
            let mut world = fleet(DAEMONS, desired(1, queue()));
            world.store.page_rows = 2;
            let mut jobs = submit_until_outage(&mut world, DAEMONS, 100);
            for round in 0..4 {
                world.run(300);
                start_all(&mut world, DAEMONS, round, 0, 0);
                while world.leader().is_none() {
                    world.run(1);
                }
                world.run(after_ms);
                match all {
                    true => kill_all(&mut world, DAEMONS),
                    false => {
                        if let Some(leader) = world.leader() {
                            world.kill(leader);
                        }
                    }
                }
            }
            start_all(&mut world, DAEMONS, 0, 0, 0);
            world.run(RECOVERY_MS);
            assert_completed(&world, &jobs, &format!("{after_ms} ms, all {all}"));
            accepted += jobs.len();
            jobs.clear();
        }
    }
    assert!(accepted > 500, "{accepted} accepted");
}

/// Guards against a new leader that does not find jobs, or takes the term of another process for its own,
/// because the Unix clock jumped while no daemon ran.
#[test]
fn jobs_are_started_although_clocks_jump_during_a_loss_of_power() {
    for lead_ms in [-HOUR_MS, -5_000, -3_200, -301, -1, 0, 1, 5_000, HOUR_MS] {
        for after_ms in (0..60).step_by(6) {
            let mut world = fleet(DAEMONS, desired(1, queue()));
            let mut jobs = submit_until_outage(&mut world, DAEMONS, 100);
            world.run(200);
            for at in 0..DAEMONS {
                world.set_unix_lead(at, lead_ms * (1 + at as i64));
            }
            start_all(&mut world, DAEMONS, 0, 7, 0);
            world.run(after_ms + 2_500);
            jobs.append(&mut submit_until_outage(&mut world, DAEMONS, 200));
            assert!(jobs.len() > 12, "{} accepted", jobs.len());
            world.run(400);
            for at in 0..DAEMONS {
                world.set_unix_lead(at, -lead_ms);
            }
            start_all(&mut world, DAEMONS, 2, 0, 1);
            world.run(RECOVERY_MS);
            assert_completed(&world, &jobs, &format!("{lead_ms} ms, {after_ms} ms"));
        }
    }
}

/// Guards against jobs that stay behind all others because the leader loads them before it has read
/// the desired state, or while the store is down or its reads fail.
#[test]
fn jobs_are_started_although_the_store_fails_while_daemons_start() {
    for fault in 0..4 {
        for span_ms in [200, 900, 2_600, 6_000] {
            for with_advice in [false, true] {
                let queue = match with_advice {
                    true => queue_with_advice(20_000, 100, TICKET_MS),
                    false => queue(),
                };
                let mut world = fleet(DAEMONS, desired(1, queue));
                let jobs = submit_until_outage(&mut world, DAEMONS, 100);
                assert!(!jobs.is_empty(), "no job was accepted");
                world.run(500);
                match fault {
                    0 => world.store.down = true,
                    1 => world.store.state_reads_lost = true,
                    2 => world.store.worker_reads_lost = true,
                    _ => world.store.history_gone = u64::MAX,
                }
                start_all(&mut world, DAEMONS, 1, 10, 1);
                world.run(span_ms);
                world.store.down = false;
                world.store.state_reads_lost = false;
                world.store.worker_reads_lost = false;
                world.store.history_gone = 0;
                world.run(RECOVERY_MS);
                let scenario = format!("fault {fault}, {span_ms} ms, advice {with_advice}");
                assert_completed(&world, &jobs, &scenario);
            }
        }
    }
}

/// Guards against jobs that the next leader does not read because a page has no rows although more rows
/// follow.
#[test]
fn jobs_are_started_although_a_page_has_no_rows() {
    for empty_pages in [1, 4, 9] {
        let mut world = fleet(DAEMONS, desired(1, queue()));
        let jobs = submit_until_outage(&mut world, DAEMONS, 100);
        world.store.empty_pages = empty_pages;
        world.run(500);
        start_all(&mut world, DAEMONS, 0, 0, 0);
        world.run(RECOVERY_MS);
        assert_completed(&world, &jobs, &format!("{empty_pages} empty pages"));
        assert!(world.count("page_without_keys") > 0);
    }
}

/// Guards against a job that its daemon could not report and that the leader skips because an answer
/// about changes has no rows although more changes follow.
#[test]
fn a_job_is_started_although_an_answer_about_changes_has_no_rows() {
    let mut world = fleet(DAEMONS, desired(1, queue()));
    let daemon = (world.leader().unwrap() + 1) % DAEMONS;
    world.cut(daemon, true);
    world.store.empty_pages = 1;
    let call = world.submit(daemon, 1, vec![large_step()]);
    assert!(wait_for_answer(&mut world, call), "not accepted");
    world.kill(daemon);
    world.run(RECOVERY_MS);
    assert_eq!(world.store.empty_pages, 0);
    let jobs = BTreeMap::from([(1, vec![large_step()])]);
    assert_completed(&world, &jobs, "an answer without rows");
}

/// Guards against a new leader whose log does not show which accepted jobs it has found.
#[test]
fn a_new_leader_logs_the_jobs_that_it_has_found() {
    let mut world = fleet(DAEMONS, desired(1, queue()));
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in &ids {
        world.store.remove_worker(id.as_str());
    }
    world.run(2_000);
    for job in 1..4 {
        let call = world.submit(0, job, vec![step(1, 500)]);
        assert!(wait_for_answer(&mut world, call), "not accepted");
    }
    kill_all(&mut world, DAEMONS);
    start_all(&mut world, DAEMONS, 0, 0, 0);
    world.run(3_000);
    let mut lines = world.lines.iter().rev().map(|(_, _, line)| line);
    let line = lines.find(|line| line.event == "jobs_loaded").unwrap();
    let field = |name: &str| {
        let found = line.fields.iter().find(|(key, _)| *key == name);
        found.unwrap().1.as_str()
    };
    assert_eq!(
        (field("queue"), field("open"), field("idle")),
        ("q", "3", "3")
    );
    assert_eq!(field("oldest"), "0000000000000001");
    assert_eq!(field("newest"), "0000000000000003");
}

/// The number of daemons in the seeded test.
const SEEDED_DAEMONS: usize = 4;

fn random_steps(rng: &mut Rng) -> Vec<StepSpec> {
    let first = match rng.below(8) {
        0 => large_step(),
        1 | 2 => gang(1 + rng.below(9) as u32, 1_000 + 500 * rng.below(8)),
        _ => step(1 + rng.below(6) as u32, 500 + 500 * rng.below(4)),
    };
    let mut steps = vec![first];
    if rng.one_in(4) {
        steps.push(StepSpec {
            after: vec![0],
            ..step(1 + rng.below(4) as u32, 1_000)
        });
    }
    steps
}

/// Applies faults that act while jobs are submitted.
fn apply_random_faults(world: &mut World, rng: &mut Rng) {
    let at = rng.below(SEEDED_DAEMONS as u64) as usize;
    match rng.below(9) {
        0 => world.refuse_store(at, true),
        1 => world.silence_store(at, true),
        2 => world.late_writes += 1 + rng.below(4) as usize,
        3 => world.store.lose_answers += 1 + rng.below(4) as usize,
        4 => world.store_ms = [10, 40, 150, 400][rng.below(4) as usize],
        5 => world.cut(at, true),
        6 => world.late_lists_ms = rng.below(400),
        7 => world.advice_lost_at = Some(at),
        _ => {}
    }
}

fn end_faults(world: &mut World) {
    world.store.down = false;
    world.store.lose_answers = 0;
    world.store.state_reads_lost = false;
    world.store.worker_reads_lost = false;
    world.store.history_gone = 0;
    world.late_writes = 0;
    world.late_lists_ms = 0;
    world.advice_lost_at = None;
    world.store_ms = 10;
    world.uneven_scans = false;
    for at in 0..SEEDED_DAEMONS {
        world.refuse_store(at, false);
        world.silence_store(at, false);
        world.cut(at, false);
    }
    for worker in world.workers.values_mut() {
        worker.silent = false;
        worker.late_starts_ms = None;
    }
    enlarge_workers(world);
}

/// Changes the cell while no daemon runs; returns whether a worker forgot its ended runs, or
/// can't list them because it has no entry.
fn change_while_dark(world: &mut World, rng: &mut Rng, version: u64, queue: &Queue) -> bool {
    let mut has_hidden_ends = false;
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        match rng.below(6) {
            0 => {
                world.restart_worker(&id);
                has_hidden_ends = true;
            }
            1 => {
                world.store.remove_worker(id.as_str());
                has_hidden_ends = true;
            }
            _ => {}
        }
    }
    match rng.below(8) {
        0 => world.store.down = true,
        1 => world.store.state_reads_lost = true,
        2 => world.store.worker_reads_lost = true,
        3 => world.store.history_gone = world.store.version() + rng.below(20),
        4 => world.uneven_scans = true,
        5 => {
            let mut state = desired(version, queue.clone());
            state.queues.clear();
            world.store.put_state(state);
        }
        6 => {
            let at = rng.below(SEEDED_DAEMONS as u64) as usize;
            let lead_ms = [-HOUR_MS, -700, 700, HOUR_MS][rng.below(4) as usize];
            world.set_unix_lead(at, lead_ms);
        }
        _ => {}
    }
    has_hidden_ends
}

/// Lets the cell lose power several times while jobs are submitted under random faults; returns the
/// number of accepted jobs and the tasks that were not done in time.
fn lose_power_at_random(seed: u64) -> (usize, Vec<String>) {
    let mut rng = Rng(seed * 7_919 + 1);
    let queue = match rng.below(2) {
        0 => queue(),
        _ => queue_with_advice(20_000, 100 * rng.below(8), TICKET_MS),
    };
    let mut world = fleet(SEEDED_DAEMONS, desired(1, queue.clone()));
    world.store.page_rows = [2, 5, 500][rng.below(3) as usize];
    let mut calls = Vec::new();
    let mut has_hidden_ends = false;
    for round in 0..1 + rng.below(3) {
        for job in 0..8 + rng.below(30) {
            let id = (round * 1_000 + job + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let at = rng.below(SEEDED_DAEMONS as u64) as usize;
            let steps = random_steps(&mut rng);
            let call = world.submit(at, id, steps.clone());
            calls.push((id, call, steps));
            world.run(rng.below(40));
            if rng.one_in(6) {
                apply_random_faults(&mut world, &mut rng);
            }
        }
        world.run(rng.below(60));
        kill_all(&mut world, SEEDED_DAEMONS);
        has_hidden_ends |= change_while_dark(&mut world, &mut rng, 10 + 2 * round, &queue);
        world.run(200 + rng.below(3_000) * rng.below(4));
        let first = rng.below(SEEDED_DAEMONS as u64) as usize;
        let missing = rng.below(SEEDED_DAEMONS as u64) as usize;
        let pause_ms = rng.below(300);
        start_all(&mut world, SEEDED_DAEMONS, first, pause_ms, missing);
        world.run(rng.below(4_000));
        if rng.one_in(3) {
            if let Some(leader) = world.leader() {
                world.kill(leader);
                world.run(rng.below(300));
                world.start(leader);
            }
            world.run(rng.below(400));
        }
        world
            .store
            .put_state(desired(11 + 2 * round, queue.clone()));
    }
    end_faults(&mut world);
    world.run(RECOVERY_MS);
    let accepted = |call: &u64| world.answers.get(call) == Some(&ClientAnswer::Accepted);
    let jobs: BTreeMap<_, _> = calls
        .into_iter()
        .filter(|(_, call, _)| accepted(call))
        .map(|(id, _, steps)| (id, steps))
        .collect();
    match has_hidden_ends {
        // A task whose success no leader saw starts again, at the earliest when the lease has ended.
        true => world.assert_no_overlap(),
        false => world.assert_once(),
    }
    (jobs.len(), unfinished(&world, &jobs))
}

/// Guards against accepted jobs that are not started after any series of losses of power and other
/// faults. `SEED` sets the first seed and `SEEDS` the number of seeds.
#[test]
fn accepted_jobs_are_started_after_any_series_of_losses_of_power() {
    let count = env_number("SEEDS").unwrap_or(30);
    let first = env_number("SEED").unwrap_or(0);
    let mut accepted = 0;
    let mut failures = Vec::new();
    for seed in first..first + count {
        let (jobs, left) = lose_power_at_random(seed);
        accepted += jobs;
        if !left.is_empty() {
            failures.push((seed, left));
        }
    }
    println!("{accepted} jobs accepted with {count} seeds");
    assert!(failures.is_empty(), "{failures:?}");
    assert!(accepted as u64 > 10 * count, "{accepted} accepted");
}
