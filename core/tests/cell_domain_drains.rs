//! Drains of failure domains, at the request of operators, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    calls::{CallFault, CallKind},
    desired, gang, queue, queue_with_advice,
    seeds::{env_number, Rng},
    step, World,
};
use pomelotide_core::{
    cell::{ClientAnswer, JobState, Queue, RowValue, Table},
    Millis,
};

const DAEMONS: usize = 3;
const DOMAINS: usize = 3;
/// The bound of the settings: nothing starts in a domain later than this after its drain.
const BOUND_MS: u64 = 5_000;

/// Starts a cell with `workers` workers in three domains, `z0` to `z2`, whose daemons obey drains.
fn world_in_domains(workers: usize, queue: Queue) -> World {
    let mut world = World::new(DAEMONS, workers, desired(1, queue));
    world.domains.count = DOMAINS;
    world.drain_bound_ms = Some(BOUND_MS);
    for worker in world.workers.values_mut() {
        worker.entry.domain = format!("z{}", worker.number % DOMAINS).into();
        worker.work_ms = 300;
        world.store.put_worker(worker);
    }
    for at in 0..DAEMONS {
        world.kill(at);
        world.start(at);
    }
    world.run(3_500);
    world
}

/// Returns how many runs workers have begun in a domain since `from_ms`.
fn starts_in(world: &World, domain: usize, from_ms: u64) -> usize {
    let starts = world.starts().into_iter();
    let is_in = |(worker, _, _, at): &(_, _, _, u64)| {
        world.domain_of_worker(worker) == domain && *at >= from_ms
    };
    starts.filter(is_in).count()
}

/// Submits a job of six tasks every 100 ms, at daemons that lead or are led.
fn submit_for(world: &mut World, first: u64, span_ms: u64) {
    for job in 0..span_ms / 100 {
        let running = (0..DAEMONS).find(|at| world.is_running(*at) && world.is_ready(*at));
        if let Some(at) = running {
            world.submit(at, first + job, vec![step(6, 1_000)]);
        }
        world.run(100);
    }
}

fn leader_reads(world: &World, event: &str) -> Option<u64> {
    let leader = world.leader().unwrap();
    let mut lines = world.lines.iter();
    let found = lines.find(|(_, at, line)| *at == leader && line.event == event);
    found.map(|(at, ..)| *at)
}

/// Guards against a start in a drained domain, a run there that is stopped, and requests that are obeyed
/// where the setting does not exist.
#[test]
fn nothing_starts_in_a_drained_domain_and_its_runs_continue() {
    for bound_ms in [Some(BOUND_MS), None] {
        let mut world = world_in_domains(6, queue());
        world.drain_bound_ms = bound_ms;
        (0..DAEMONS).for_each(|at| world.kill(at));
        (0..DAEMONS).for_each(|at| world.start(at));
        world.run(3_500);
        world.set_work_ms(8_000);
        world.submit(0, 1, vec![step(24, 1_000)]);
        world.run(1_000);
        assert!(starts_in(&world, 1, 0) > 0);
        world.set_work_ms(300);
        world.store.drain("z1");
        let drained_at = world.now;
        world.run(1_000);
        submit_for(&mut world, 10, 12_000);
        world.run(3_000);
        let is_empty = starts_in(&world, 1, drained_at) == 0;
        assert_eq!(is_empty, bound_ms.is_some());
        assert!(starts_in(&world, 2, drained_at) > 0);
        assert_eq!(world.count("stop_ordered"), 0);
        assert_eq!(world.count("domain_drained") > 0, bound_ms.is_some());
        world.assert_state(0, 1, JobState::Completed);
        world.assert_once();
    }
}

/// Guards against a leader that goes on to start tasks while it can't read the requests, and one that does not
/// resume.
#[test]
fn a_leader_without_recent_requests_starts_nothing() {
    let mut world = world_in_domains(6, queue());
    world.store.state_reads_lost = true;
    world.store.drain("z1");
    let drained_at = world.now;
    submit_for(&mut world, 1, BOUND_MS + 3_000);
    assert!(
        starts_in(&world, 1, drained_at) > 0,
        "nothing started before"
    );
    for domain in 0..DOMAINS {
        assert_eq!(starts_in(&world, domain, drained_at + BOUND_MS), 0);
    }
    assert!(world.count("starts_held") > 0);
    world.store.state_reads_lost = false;
    let read_at = world.now;
    world.run(6_000);
    assert!(starts_in(&world, 0, read_at) > 0, "starts did not resume");
    assert_eq!(starts_in(&world, 1, read_at), 0);
}

/// Guards against a leader cut off from the store, alone or with its domain, that starts tasks after the bound.
#[test]
fn a_leader_that_is_cut_off_starts_nothing_after_the_bound() {
    for with_domain in [false, true] {
        let mut world = world_in_domains(6, queue());
        let leader = world.leader().unwrap();
        let domain = world.domain_of(leader);
        match with_domain {
            true => world.cut_domain(domain, true),
            false => world.silence_store(leader, true),
        }
        world.store.drain(&format!("z{domain}"));
        let drained_at = world.now;
        submit_for(&mut world, 1, 12_000);
        world.cut_domain(domain, false);
        world.silence_store(leader, false);
        submit_for(&mut world, 200, 5_000);
        world.run(15_000);
        assert_eq!(starts_in(&world, domain, drained_at + BOUND_MS), 0);
        assert!(starts_in(&world, (domain + 1) % DOMAINS, drained_at + BOUND_MS) > 0);
    }
}

/// Guards against a new leader, after a kill of the last one or of all daemons, that does not know the requests.
#[test]
fn a_new_leader_obeys_earlier_requests() {
    for kills_all in [false, true] {
        let mut world = world_in_domains(6, queue());
        world.store.drain("z1");
        world.store.drain("z2");
        let drained_at = world.now;
        let leader = world.leader().unwrap();
        submit_for(&mut world, 1, 500);
        let killed = (0..DAEMONS).filter(|at| kills_all || *at == leader);
        killed.clone().for_each(|at| world.kill(at));
        submit_for(&mut world, 100, 1_500);
        killed.for_each(|at| world.start(at));
        submit_for(&mut world, 200, 8_000);
        world.run(5_000);
        assert!(starts_in(&world, 0, drained_at + 4_000) > 0);
        for domain in [1, 2] {
            assert_eq!(starts_in(&world, domain, drained_at + 1_500), 0);
        }
    }
}

/// Guards against a new leader that has the desired state from another daemon and starts tasks before it has
/// read any request.
#[test]
fn a_new_leader_starts_nothing_before_its_own_read() {
    let mut world = world_in_domains(6, queue());
    let former = world.leader().unwrap();
    let others: Vec<usize> = (0..DAEMONS).filter(|at| *at != former).collect();
    world.store.state_reads_lost = true;
    for &at in &others {
        world.kill(at);
        world.start(at);
    }
    world.run(2_000);
    world.set_work_ms(3_000);
    world.submit(former, 1, vec![step(24, 1_000)]);
    world.submit(former, 2, vec![step(24, 1_000)]);
    world.run(500);
    world.store.drain("z1");
    let drained_at = world.now;
    world.kill(former);
    world.run(8_000);
    assert_eq!(world.leaders().len(), 1);
    let started: usize = (0..DOMAINS)
        .map(|at| starts_in(&world, at, drained_at))
        .sum();
    assert_eq!(started, 0);
    world.store.state_reads_lost = false;
    world.run(10_000);
    world.assert_state(others[0], 2, JobState::Completed);
    assert_eq!(starts_in(&world, 1, drained_at), 0);
}

/// Guards against requests that are missed, or withdrawn ones that stay in force, when the store loses its
/// history or answers page by page.
#[test]
fn a_full_read_replaces_the_requests() {
    for page_rows in [1, 500] {
        let mut world = world_in_domains(6, queue());
        world.store.page_rows = page_rows;
        world.store.drain("z0");
        world.store.drain("z1");
        world.store.history_gone = world.store.version();
        world.run(2_000);
        let drained_at = world.now;
        submit_for(&mut world, 1, 1_000);
        let started = [0, 1, 2].map(|at| starts_in(&world, at, drained_at));
        assert!(
            started[0] == 0 && started[1] == 0 && started[2] > 0,
            "{started:?}"
        );
        world.store.restore("z0");
        world.store.history_gone = world.store.version();
        world.run(4_000);
        let restored_at = world.now;
        submit_for(&mut world, 100, 1_000);
        assert!(starts_in(&world, 0, restored_at) > 0);
        assert_eq!(starts_in(&world, 1, drained_at), 0);
    }
}

/// Guards against a set that does not end with the last of several quick changes, seen one by one, at once or
/// in several answers.
#[test]
fn the_last_of_quick_changes_counts() {
    for (gap_ms, page_rows) in [(0, 500), (0, 1), (1, 500), (150, 500), (400, 500)] {
        let mut world = world_in_domains(6, queue());
        world.store.page_rows = page_rows;
        for _ in 0..3 {
            world.store.drain("z1");
            world.run(gap_ms);
            world.store.restore("z1");
            world.run(gap_ms);
            world.store.drain("z2");
            world.run(gap_ms);
            world.store.restore("z2");
            world.store.drain("z2");
        }
        world.run(3_000);
        let changed_at = world.now;
        submit_for(&mut world, 1, 1_500);
        let started = [1, 2].map(|at| starts_in(&world, at, changed_at) > 0);
        assert_eq!(started, [true, false], "gap {gap_ms}, {page_rows} rows");
    }
}

/// Guards against a row that can't be read which hides other requests or the domain that its key names.
#[test]
fn unreadable_rows_hide_no_request() {
    for loses_history in [false, true] {
        let mut world = world_in_domains(6, queue());
        let unusable = || RowValue::Unusable("malformed".into());
        let rows = [
            ("", unusable()),
            ("z1", unusable()),
            ("z2", RowValue::DomainDrain),
        ];
        for (key, value) in rows {
            world.store.put_row(Table::DomainDrains, "", key, value);
        }
        if loses_history {
            world.store.history_gone = world.store.version();
        }
        world.run(2_000);
        let drained_at = world.now;
        submit_for(&mut world, 1, 1_000);
        let started = [0, 1, 2].map(|at| starts_in(&world, at, drained_at));
        assert!(
            started[0] > 0 && started[1] == 0 && started[2] == 0,
            "{started:?}"
        );
        assert!(world.count("row_unusable") > 0);
    }
}

/// Guards against a placement that is on its way to the store, or a call for tickets, when the request arrives:
/// it starts elsewhere, the members of a gang together.
#[test]
fn placements_and_gangs_move_out_of_the_domain() {
    let advised = || queue_with_advice(200_000, 1_000, 2_000);
    let (mut dropped, mut withdrawn) = (0, 0);
    for (queue, advice_ms) in [(queue(), 0), (advised(), 200)] {
        for offset_ms in (0..1_600).step_by(100) {
            let mut world = world_in_domains(9, queue.clone());
            world.advice_ms = advice_ms;
            world.store_ms = 200;
            world.run(1_000);
            world.submit(0, 1, vec![gang(6, 3_000)]);
            world.submit(0, 2, vec![step(6, 1_000)]);
            world.run(offset_ms);
            world.store.drain("z0");
            world.run(1_500);
            let known_at = leader_reads(&world, "domain_drained").unwrap();
            world.run(8_000);
            let case = format!("advice {advice_ms} ms, offset {offset_ms} ms");
            assert_eq!(starts_in(&world, 0, known_at + 10), 0, "{case}");
            for job in [1, 2] {
                world.assert_state(0, job, JobState::Completed);
            }
            world.assert_once();
            dropped += world.count("placement_dropped");
            withdrawn += world.count("drain_applied");
        }
    }
    assert!(dropped > 0 && withdrawn > 0, "{dropped} {withdrawn}");
}

/// Guards against steps that wait for no call for advice any more, and for nothing else, after the calls that
/// they waited for were withdrawn because they named drained workers.
#[test]
fn steps_with_withdrawn_calls_for_advice_start_elsewhere() {
    for size in [1, 3] {
        let mut world = world_in_domains(9, queue_with_advice(200_000, 1_000, 2_000));
        world.advice_ms = 200;
        for job in 1..20 {
            let tasks = match job % 2 {
                0 => gang(1 + size, 1_000),
                _ => step(size, 1_000),
            };
            world.submit(0, job, vec![tasks]);
        }
        world.run(300);
        world.store.drain("z0");
        world.run(30_000);
        let applied = world.lines.iter().map(|(_, _, line)| line);
        let mut applied = applied.filter(|line| line.event == "drain_applied");
        let is_withdrawn = |(name, count): &(&str, _)| *name == "calls_withdrawn" && *count != "0";
        assert!(applied.any(|line| line
            .fields
            .iter()
            .any(|field| is_withdrawn(&(field.0, field.1.as_str())))));
        for job in 1..20 {
            world.assert_state(0, job, JobState::Completed);
        }
    }
}

/// Guards against a start call without an answer that is repeated in a domain drained meanwhile.
#[test]
fn a_lost_start_is_not_repeated_in_the_domain() {
    let mut world = world_in_domains(3, queue());
    world.call_faults.push(CallFault {
        worker: None,
        times: 3,
        lost: true,
        ..CallFault::one(
            CallKind::Start,
            &world.workers.keys().next().unwrap().clone(),
        )
    });
    world.submit(0, 1, vec![step(3, 3_000)]);
    world.run(60);
    world.store.drain("z1");
    let drained_at = world.now;
    world.run(15_000);
    assert_eq!(starts_in(&world, 1, drained_at), 0);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against starts that are held back because of one slow or lost read.
#[test]
fn one_lost_read_holds_no_starts() {
    for (lost, is_held) in [(1, false), (3, true)] {
        let mut world = world_in_domains(6, queue());
        world.store.max_follow_wait_ms = 1_000;
        world.run(3_000);
        world.store.lost_state_reads = lost * DAEMONS;
        submit_for(&mut world, 1, 12_000);
        assert_eq!(world.count("starts_held") > 0, is_held, "{lost} lost reads");
    }
}

/// Guards against a restored domain that is filled at once, by a leader or by the next one, and against cold
/// workers that are used before warm ones.
#[test]
fn a_restored_domain_is_refilled_gradually_and_cold_workers_come_last() {
    for hands_over in [false, true] {
        let mut world = world_in_domains(30, queue());
        world.store.drain("z1");
        world.run(2_000);
        for worker in world.workers.values_mut() {
            if worker.number % DOMAINS == 1 {
                worker.entry.cold_remaining_ms = Millis(8_000);
                world.store.put_worker(worker);
            }
        }
        world.run(1_000);
        world.store.restore("z1");
        let restored_at = world.now;
        world.run(1_000);
        if hands_over {
            let leader = world.leader().unwrap();
            world.kill(leader);
            world.run(2_000);
        }
        let at = world.leader().unwrap();
        world.set_work_ms(30_000);
        world.submit(at, 1, vec![step(80, 1_000)]);
        world.run(300);
        assert_eq!(starts_in(&world, 1, restored_at), 0, "cold before warm");
        world.submit(at, 2, vec![step(40, 1_000)]);
        world.run(300);
        let started = starts_in(&world, 1, restored_at);
        assert!(started > 0 && started < 25, "{started} at once");
        world.run(8_500);
        assert_eq!(starts_in(&world, 1, restored_at), 40);
    }
}

/// Requests or withdraws a drain, or begins or ends another fault that concerns the requests.
fn change_something(world: &mut World, rng: &mut Rng, drains: &mut Vec<(usize, u64, u64)>) {
    let domain = rng.below(DOMAINS as u64) as usize;
    let name = format!("z{domain}");
    let open = drains
        .iter_mut()
        .find(|own| own.0 == domain && own.2 == u64::MAX);
    let daemon = rng.below(DAEMONS as u64) as usize;
    match (rng.below(9), open) {
        (0..=3, None) => {
            world.store.drain(&name);
            drains.push((domain, world.now, u64::MAX));
        }
        (0..=2, Some(drain)) => {
            world.store.restore(&name);
            drain.2 = world.now;
        }
        (4, _) => world.store.history_gone = world.store.version(),
        (5, _) => world.store.lost_state_reads += rng.below(6) as usize,
        (6, _) => world.store.state_reads_lost ^= true,
        (7, _) if world.is_running(daemon) => world.kill(daemon),
        (7, _) => world.start(daemon),
        _ => {}
    }
}

/// What a series of changes did.
struct Series {
    world: World,
    /// Domain, begin and end of each drain.
    drains: Vec<(usize, u64, u64)>,
    /// The jobs that were submitted and their calls.
    calls: Vec<(u64, u64)>,
}

fn run_series(seed: u64) -> Series {
    let mut rng = Rng(seed * 7_919 + 3);
    let advised = queue_with_advice(100_000 + rng.below(4) * 100_000, 1_000, 2_000);
    let mut world = world_in_domains(9, [queue(), advised][rng.below(2) as usize].clone());
    world.advice_ms = 100 + rng.below(4) * 100;
    world.store_ms = 5 + rng.below(3) * 60;
    let (mut drains, mut calls) = (Vec::new(), Vec::new());
    for job in 0..100 {
        let count = 1 + rng.below(4) as u32;
        let tasks = [step(count, 1_000), gang(count + 1, 1_500)][rng.below(2) as usize].clone();
        let at = rng.below(DAEMONS as u64) as usize;
        calls.push((job, world.submit(at, job, vec![tasks])));
        world.run(rng.below(400));
        if rng.one_in(5) {
            change_something(&mut world, &mut rng, &mut drains);
        }
    }
    world.store.state_reads_lost = false;
    world.store.lost_state_reads = 0;
    (0..DOMAINS).for_each(|domain| world.store.restore(&format!("z{domain}")));
    drains
        .iter_mut()
        .for_each(|own| own.2 = own.2.min(world.now));
    let stopped: Vec<usize> = (0..DAEMONS).filter(|at| !world.is_running(*at)).collect();
    stopped.into_iter().for_each(|at| world.start(at));
    world.run(60_000);
    Series {
        world,
        drains,
        calls,
    }
}

/// Guards against a start after the bound and accepted jobs that do not end, after any series of drains, lost
/// reads and kills. `SEED` sets the first seed and `SEEDS` the number of seeds.
#[test]
fn any_series_of_drains_keeps_the_bound_and_loses_no_job() {
    let first = env_number("SEED").unwrap_or(0);
    let mut long_drains = 0;
    for seed in first..first + env_number("SEEDS").unwrap_or(30) {
        let mut series = run_series(seed);
        let (world, drains) = (&mut series.world, series.drains);
        for (worker, task, _, at) in world.starts() {
            let domain = world.domain_of_worker(&worker);
            let is_late = |(own, since, until): &&(usize, u64, u64)| {
                *own == domain && at > since + BOUND_MS && at < *until
            };
            let late = drains.iter().find(is_late);
            assert_eq!(late, None, "seed {seed}: {task} starts at {at} in {domain}");
        }
        long_drains += drains.iter().filter(|own| own.2 > own.1 + BOUND_MS).count();
        for (job, call) in series.calls {
            if world.answers.get(&call) == Some(&ClientAnswer::Accepted) {
                let state = world.state(0, job);
                let completed = ClientAnswer::State(JobState::Completed);
                assert_eq!(state, completed, "seed {seed}: job {job}");
            }
        }
    }
    assert!(long_drains > 0, "no drain outlasts the bound");
}
