//! Failure domains that are cut off with a leader in them, and leaders that are paused, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    calls::RandomCallFaults,
    desired, gang, queue,
    seeds::{env_number, Rng},
    step, World, WriteKind,
};
use pomelotide_core::{
    cell::{ClientAnswer, JobState, StepSpec},
    WorkerId,
};

const DAEMONS: usize = 6;
const WORKERS: usize = 9;
const DOMAINS: usize = 3;
/// How long the tasks run: longer than a lease and the wait of the next leader.
const WORK_MS: u64 = 20_000;
const RECOVERY_MS: u64 = 60_000;
const CUTS_MS: [u64; 3] = [13_000, 25_000, 74_000];
const PAUSES_MS: [u64; 3] = [3_000, 11_000, 30_000];

/// How a process is paused.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// It handles no event.
    Events,
    /// It has decided something and sends it when it goes on.
    BeforeSending,
}

const PAUSES: [Pause; 2] = [Pause::Events, Pause::BeforeSending];

fn pause(world: &mut World, at: usize, how: Pause) {
    match how {
        Pause::Events => world.pause(at),
        Pause::BeforeSending => world.pause_before_sending(at),
    }
}

/// Returns a cell at work on single tasks (job 1) and a gang (job 2) on all workers, with its leader.
fn world_at_work(offset_ms: u64, slow_permille: u64) -> (World, usize) {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.domains.count = DOMAINS;
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = WORK_MS;
        worker.clock_slow_permille = slow_permille;
    }
    let leader = world.leader().unwrap();
    world.submit(leader, 1, vec![step(9, 2_000)]);
    world.submit(leader, 2, vec![gang(5, 1_500)]);
    world.run(2_000 + offset_ms);
    let domain = world.domain_of(leader);
    assert!(
        runs_in(&world, domain) > 0,
        "nothing runs beside the leader"
    );
    (world, leader)
}

fn runs_in(world: &World, domain: usize) -> usize {
    let workers = world.workers.values();
    let own = workers.filter(|worker| world.domain_of_worker(&worker.id()) == domain);
    own.map(|worker| worker.running()).sum()
}

/// Returns the daemon that leads among those that reach the store.
fn connected_leader(world: &World) -> Option<usize> {
    let leaders = world.leaders().into_iter();
    let mut connected = leaders.filter(|at| !world.domains.is_cut(world.domain_of(*at)));
    connected.next()
}

fn lose_history(world: &mut World) {
    world.store.history_gone = world.store.version();
}

fn assert_completed_once(mut world: World, case: &str) {
    world.run(RECOVERY_MS);
    let asked = connected_leader(&world).unwrap();
    for job in [1, 2] {
        let state = world.state(asked, job);
        let completed = ClientAnswer::State(JobState::Completed);
        assert_eq!(state, completed, "{case}: job {job}");
    }
    let doubles = world.double_runs();
    assert!(doubles.is_empty(), "{case}: {doubles:?}");
}

/// Calls `check` with offsets of the fault in the leader's intervals and with rates of the workers' clocks.
fn for_each_start(mut check: impl FnMut(u64, u64)) {
    for offset_ms in [130, 710] {
        for slow_permille in [0, 20] {
            check(offset_ms, slow_permille);
        }
    }
}

/// Guards against a task that runs twice because the leases in a domain that is cut off with the leader
/// outlast the next leader's wait (TWICE, issue 35).
#[test]
fn a_cut_domain_with_the_leader_runs_nothing_twice() {
    for_each_start(|offset_ms, slow_permille| {
        for cut_ms in CUTS_MS {
            for has_lost_history in [false, true] {
                let (mut world, leader) = world_at_work(offset_ms, slow_permille);
                let domain = world.domain_of(leader);
                world.cut_domain(domain, true);
                world.run(cut_ms);
                if has_lost_history {
                    lose_history(&mut world);
                }
                world.cut_domain(domain, false);
                let case = format!(
                    "cut for {cut_ms} ms, offset {offset_ms}, slow by {slow_permille}, \
                     history lost: {has_lost_history}"
                );
                assert_completed_once(world, &case);
            }
        }
    });
}

/// Guards against a task that runs twice because a leader takes the end of earlier leases for earlier than
/// it is, after two leaders in a row whose domains are cut off (TWICE, issue 35).
#[test]
fn two_leaders_that_are_cut_off_in_a_row_run_nothing_twice() {
    for_each_start(|offset_ms, slow_permille| {
        for first_ms in CUTS_MS {
            for second_at_ms in [3_000, 8_000, 12_500, 16_000, 30_000] {
                let (mut world, first) = world_at_work(offset_ms, slow_permille);
                let first_domain = world.domain_of(first);
                world.cut_domain(first_domain, true);
                world.run(second_at_ms.min(first_ms));
                let has_ended = second_at_ms >= first_ms;
                if has_ended {
                    world.cut_domain(first_domain, false);
                    world.run(second_at_ms - first_ms);
                }
                let second = connected_leader(&world).unwrap();
                let second_domain = world.domain_of(second);
                world.cut_domain(second_domain, true);
                world.run(first_ms.saturating_sub(second_at_ms).max(13_000));
                world.cut_domain(first_domain, false);
                let case = format!(
                    "first for {first_ms} ms, second at {second_at_ms} ms, offset {offset_ms}, \
                     slow by {slow_permille}"
                );
                assert!(connected_leader(&world).is_some(), "{case}: no leader");
                world.run(12_000);
                lose_history(&mut world);
                world.cut_domain(second_domain, false);
                assert_completed_once(world, &case);
            }
        }
    });
}

/// Guards against a task that runs twice because a write of the lease row that is carried out late lets the
/// next leader begin, and count the earlier leases, before the leader's own lease is over (TWICE, issue 35).
#[test]
fn a_late_write_of_the_lease_before_a_cut_runs_nothing_twice() {
    let mut doubles = Vec::new();
    for late_ms in [2_000, 2_300, 3_000, 4_000] {
        for offset_ms in (0..400).step_by(20) {
            let (mut world, leader) = world_at_work(offset_ms, 20);
            let domain = world.domain_of(leader);
            world.late_kind = WriteKind::Of(leader);
            world.late_write_ms = late_ms;
            world.late_writes = 1;
            while world.late_writes > 0 {
                world.run(1);
            }
            world.run(late_ms + 1);
            world.cut_domain(domain, true);
            world.run(25_000);
            world.cut_domain(domain, false);
            world.run(RECOVERY_MS);
            for (task, runs) in world.double_runs() {
                let case = format!("{late_ms} ms late, offset {offset_ms}");
                doubles.push(format!("{case}: {task} {runs}"));
            }
        }
    }
    assert!(doubles.is_empty(), "{doubles:#?}");
}

/// Guards against a leader that was paused and then acts on a lease that ran out meanwhile (TWICE).
#[test]
fn a_leader_that_was_paused_runs_nothing_twice() {
    for_each_start(|offset_ms, slow_permille| {
        for (how, pause_ms) in pauses() {
            let (mut world, leader) = world_at_work(offset_ms, slow_permille);
            world.submit(leader, 3, vec![step(4, 500)]);
            world.run(offset_ms % 40);
            pause(&mut world, leader, how);
            world.run(pause_ms);
            world.resume(leader);
            let case = format!("{how:?} for {pause_ms} ms, offset {offset_ms}, {slow_permille}");
            assert_completed_once(world, &case);
        }
    });
}

/// Guards against the same in a domain that is cut off, where the workers hear no other leader: the leader
/// goes on before, at and after the end of the cut (TWICE, issue 35).
#[test]
fn a_leader_that_was_paused_in_a_cut_domain_runs_nothing_twice() {
    for_each_start(|offset_ms, slow_permille| {
        for (how, pause_ms) in pauses() {
            for (cut_first_ms, cut_ms) in
                [(0, 13_000), (900, 13_000), (1_650, 25_000), (5_000, 25_000)]
            {
                let (mut world, leader) = world_at_work(offset_ms, slow_permille);
                let domain = world.domain_of(leader);
                world.cut_domain(domain, true);
                world.run(cut_first_ms);
                world.submit(leader, 3, vec![step(4, 500)]);
                pause(&mut world, leader, how);
                let cut_left_ms = cut_ms - cut_first_ms;
                world.run(pause_ms.min(cut_left_ms));
                if pause_ms < cut_left_ms {
                    world.resume(leader);
                    world.run(cut_left_ms - pause_ms);
                    world.cut_domain(domain, false);
                } else {
                    world.cut_domain(domain, false);
                    world.run(pause_ms - cut_left_ms);
                    world.resume(leader);
                }
                let case = format!(
                    "{how:?} for {pause_ms} ms, {cut_first_ms} ms after the cut for {cut_ms} ms, \
                     offset {offset_ms}, slow by {slow_permille}"
                );
                assert_completed_once(world, &case);
            }
        }
    });
}

/// Guards against a paused leader whose domain is cut off later, while its last calls are unsent (TWICE).
#[test]
fn a_domain_that_is_cut_while_its_leader_is_paused_runs_nothing_twice() {
    for_each_start(|offset_ms, slow_permille| {
        for (how, pause_ms) in pauses() {
            for cut_at_ms in [200, 1_500, 2_500] {
                let (mut world, leader) = world_at_work(offset_ms, slow_permille);
                let domain = world.domain_of(leader);
                world.submit(leader, 3, vec![step(4, 500)]);
                world.run(offset_ms % 40);
                pause(&mut world, leader, how);
                world.run(cut_at_ms);
                world.cut_domain(domain, true);
                world.run(pause_ms - cut_at_ms);
                world.resume(leader);
                world.run(13_000);
                lose_history(&mut world);
                world.cut_domain(domain, false);
                let case = format!(
                    "{how:?} for {pause_ms} ms, cut {cut_at_ms} ms later, offset {offset_ms}, \
                     slow by {slow_permille}"
                );
                assert_completed_once(world, &case);
            }
        }
    });
}

fn pauses() -> impl Iterator<Item = (Pause, u64)> {
    let with_spans = |how| PAUSES_MS.map(|pause_ms| (how, pause_ms));
    PAUSES.into_iter().flat_map(with_spans)
}

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Connect(usize),
    Resume(usize),
    Start(usize),
    StoreUp,
}

/// The faults of a series that have not ended.
#[derive(Default)]
struct Faults {
    open: Vec<(u64, Repair)>,
}

impl Faults {
    fn end_due(&mut self, world: &mut World, rng: &mut Rng) {
        let now = world.now;
        let (due, open) = self.open.drain(..).partition(|(at, _)| *at <= now);
        self.open = open;
        let due: Vec<(u64, Repair)> = due;
        for (_, repair) in due {
            match repair {
                Repair::Connect(domain) => {
                    if rng.one_in(2) {
                        lose_history(world);
                    }
                    world.cut_domain(domain, false);
                }
                Repair::Resume(at) => world.resume(at),
                Repair::Start(at) => world.start(at),
                Repair::StoreUp => world.store.down = false,
            }
        }
    }

    fn add(&mut self, world: &World, span_ms: u64, repair: Repair) {
        self.open.push((world.now + span_ms, repair));
    }
}

/// Draws a daemon: the leader, one of several, or any.
fn draw_daemon(world: &World, rng: &mut Rng) -> usize {
    let leaders = world.leaders();
    match leaders.is_empty() || rng.one_in(3) {
        true => rng.below(DAEMONS as u64) as usize,
        false => leaders[rng.below(leaders.len() as u64) as usize],
    }
}

/// Draws a daemon that most likely accepts jobs.
fn draw_connected(world: &World, rng: &mut Rng) -> usize {
    let is_cut = |at: usize| world.domains.is_cut(world.domain_of(at)) || world.is_paused(at);
    let drawn = [0; 4].map(|_| rng.below(DAEMONS as u64) as usize);
    let connected = drawn.into_iter().find(|at| !is_cut(*at));
    connected.unwrap_or(drawn[0])
}

/// Begins a random fault.
fn inject_fault(world: &mut World, rng: &mut Rng, faults: &mut Faults) {
    let at = draw_daemon(world, rng);
    let is_free = world.is_running(at) && !world.is_paused(at);
    let span_ms = [400, 1_900, 3_500, 11_000, 13_000, 25_000][rng.below(6) as usize];
    let span_ms = span_ms + rng.below(1_500);
    match rng.below(10) {
        0..=2 => {
            let domain = match rng.below(4) {
                0 => rng.below(DOMAINS as u64) as usize,
                _ => world.domain_of(at),
            };
            if !world.domains.is_cut(domain) {
                world.cut_domain(domain, true);
                faults.add(world, span_ms, Repair::Connect(domain));
            }
        }
        3 | 4 if is_free => {
            pause(world, at, PAUSES[rng.below(2) as usize]);
            faults.add(world, span_ms, Repair::Resume(at));
        }
        5 if is_free => {
            world.kill(at);
            faults.add(world, rng.below(3_000), Repair::Start(at));
        }
        6 => {
            let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
            world.restart_worker(&ids[rng.below(WORKERS as u64) as usize]);
        }
        7 => {
            world.late_write_ms = 100 + rng.below(4_000);
            world.late_writes += 1 + rng.below(3) as usize;
        }
        8 => world.store.lose_answers += 1 + rng.below(3) as usize,
        9 => {
            world.store.down = true;
            faults.add(world, span_ms % 5_000, Repair::StoreUp);
        }
        _ => {}
    }
}

fn random_step(rng: &mut Rng) -> StepSpec {
    let count = 1 + rng.below(3) as u32;
    match rng.below(3) {
        0 => gang(count + 1, 200 + rng.below(5) * 250),
        _ => step(count, 200 + rng.below(5) * 250),
    }
}

fn random_world(seed: u64, rng: &mut Rng) -> World {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.domains.count = DOMAINS;
    world.domains.seed = seed;
    world.domains.late_permille = rng.below(4) * 100;
    world.domains.max_late_ms = 1 + rng.below(12_000);
    world.domains.holds_messages = rng.one_in(2);
    for worker in world.workers.values_mut() {
        worker.clock_slow_permille = rng.below(21);
        worker.accepts_earlier_calls = false;
        worker.work_ms = [700, 3_000, 12_000, 18_000][rng.below(4) as usize];
    }
    world.run(3_000 + rng.below(400));
    world.random_call_faults = Some(RandomCallFaults {
        seed,
        lost_permille: rng.below(3) * 20,
        late_permille: rng.below(3) * 20,
        max_late_ms: 12_000,
        slow_permille: rng.below(3) * 50,
        max_answer_ms: 2_500,
    });
    world
}

/// What a series of faults broke.
#[derive(Debug, Default)]
struct Findings {
    accepted: usize,
    unfinished: Vec<String>,
    doubles: Vec<String>,
}

fn run_series(seed: u64) -> Findings {
    let mut rng = Rng(seed * 7_919 + 5);
    let mut world = random_world(seed, &mut rng);
    let mut faults = Faults::default();
    let mut calls = Vec::new();
    let gap = 2 + rng.below(8);
    for job in 0..45 {
        let at = draw_connected(&world, &mut rng);
        calls.push((job, world.submit(at, job, vec![random_step(&mut rng)])));
        for _ in 0..5 {
            world.run(rng.below(350));
            faults.end_due(&mut world, &mut rng);
            if rng.one_in(gap) {
                inject_fault(&mut world, &mut rng, &mut faults);
            }
        }
    }
    while !faults.open.is_empty() {
        world.run(200);
        faults.end_due(&mut world, &mut rng);
    }
    world.random_call_faults = None;
    world.late_writes = 0;
    world.store.lose_answers = 0;
    world.domains.late_permille = 0;
    world.run(RECOVERY_MS);
    find_violations(world, seed, calls)
}

fn find_violations(mut world: World, seed: u64, calls: Vec<(u64, u64)>) -> Findings {
    let mut findings = Findings::default();
    for (task, runs) in world.double_runs() {
        findings.doubles.push(format!("seed {seed}: {task} {runs}"));
    }
    for (job, call) in calls {
        if world.answers.get(&call) != Some(&ClientAnswer::Accepted) {
            continue;
        }
        findings.accepted += 1;
        let state = world.state(0, job);
        if state != ClientAnswer::State(JobState::Completed) {
            let found = format!("seed {seed}: job {job} is {state:?}");
            findings.unfinished.push(found);
        }
    }
    findings
}

/// Guards against tasks that run twice and accepted jobs that do not end after any series of cuts, pauses,
/// restarts and late calls. `SEED` sets the first seed and `SEEDS` the number of seeds.
#[test]
fn nothing_runs_twice_after_any_series_of_cuts_and_pauses() {
    let count = env_number("SEEDS").unwrap_or(20);
    let first = env_number("SEED").unwrap_or(0);
    let mut all = Findings::default();
    for seed in first..first + count {
        let mut found = run_series(seed);
        all.accepted += found.accepted;
        all.unfinished.append(&mut found.unfinished);
        all.doubles.append(&mut found.doubles);
    }
    println!("{} jobs accepted with {count} seeds", all.accepted);
    let is_clean = all.unfinished.is_empty() && all.doubles.is_empty();
    assert!(is_clean, "{all:#?}");
    assert!(all.accepted as u64 > 15 * count, "{}", all.accepted);
}
