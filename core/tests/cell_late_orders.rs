//! Calls to workers that are carried out late or answered late, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    calls::{CallFault, CallKind, RandomCallFaults},
    desired, gang, queue, queue_with_advice,
    seeds::{env_number, Rng},
    step, World,
};
use pomelotide_core::{
    cell::{ClientAnswer, Event, JobState, Queue, RunOutcome, StepSpec},
    WorkerId,
};

/// How long calls and answers are late at most.
const MAX_LATE_MS: u64 = 12_000;
/// How long the jobs may take to end after the last fault.
const RECOVERY_MS: u64 = 30_000;

/// Starts a cell in which job 1 is the only one.
fn world(daemons: usize, workers: usize) -> World {
    let mut world = World::new(daemons, workers, desired(1, queue()));
    world.run(3_000);
    world
}

fn first_worker(world: &World) -> WorkerId {
    world.workers.keys().next().unwrap().clone()
}

fn wait_for_starts(world: &mut World, count: usize) {
    for _ in 0..8_000 {
        if world.starts().len() >= count {
            return;
        }
        world.run(1);
    }
    panic!("{count} runs do not start");
}

fn set_outcome(world: &mut World, how: RunOutcome) {
    for worker in world.workers.values_mut() {
        worker.how = how;
    }
}

/// Prints whether the leader has met a stale list.
fn print_lists(world: &World, case: &str) {
    let counts = ["run_unplaced", "run_adopted"].map(|event| world.count(event));
    if counts != [0, 0] {
        println!("{case}: unplaced, adopted: {counts:?}");
    }
}

/// Expects job 1 to have completed, with no task run twice.
fn assert_completed(mut world: World, case: &str) {
    print_lists(&world, case);
    world.run(RECOVERY_MS);
    let leader = world.leader().unwrap();
    assert_eq!(
        world.state(leader, 1),
        ClientAnswer::State(JobState::Completed),
        "{case}"
    );
    let doubles = world.double_runs();
    assert!(doubles.is_empty(), "{case}: {doubles:?}");
    let overfull = world.workers.values().map(|worker| worker.overfull.len());
    assert_eq!(overfull.sum::<usize>(), 0, "{case}");
}

/// Returns a world in which a list that names run 1 of job 1 is on its way, run 1 has ended, and the
/// workers refuse the start of run 2.
fn world_with_late_list(spec: StepSpec, workers: usize) -> World {
    let mut world = world(1, workers);
    set_outcome(&mut world, RunOutcome::Broken);
    let members = spec.count as usize;
    world.submit(0, 1, vec![spec]);
    world.submit(0, 2, vec![step(workers as u32, 900)]);
    wait_for_starts(&mut world, members + workers);
    world.run(700);
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.call_faults.push(CallFault {
            answer_ms: 650,
            ..CallFault::one(CallKind::QuickPoll, &id)
        });
    }
    // The stops of job 2 make the leader request lists.
    world.cancel(0, 2);
    world.run(100);
    for worker in world.workers.values_mut() {
        worker.refuses_starts = true;
    }
    world.run(900);
    for worker in world.workers.values_mut() {
        worker.refuses_starts = false;
    }
    set_outcome(&mut world, RunOutcome::Done);
    world
}

/// Guards against a list that is answered before a run ends and arrives after the next start was
/// refused: the task never starts again (LOST).
#[test]
fn a_late_list_after_a_refused_start_does_not_strand_the_task() {
    for (workers, spec) in [
        (1, step(1, 1_000)),
        (2, step(2, 2_000)),
        (2, gang(2, 2_000)),
    ] {
        let case = format!("{workers} workers, gang: {}", spec.gang);
        let world = world_with_late_list(spec, workers);
        assert!(world.count("start_refused") > 0, "{case}");
        assert_completed(world, &case);
    }
}

/// Guards against a start that is carried out after the run was stopped.
#[test]
fn a_start_that_is_carried_out_after_its_stop_runs_nothing_twice() {
    for late_ms in (500..MAX_LATE_MS).step_by(500) {
        for spec in [step(1, 1_000), gang(2, 3_000)] {
            let mut world = world(1, 2);
            let case = format!("{late_ms} ms late, gang: {}", spec.gang);
            let id = first_worker(&world);
            world.call_faults.push(CallFault {
                call_ms: late_ms,
                ..CallFault::one(CallKind::Start, &id)
            });
            world.submit(0, 1, vec![spec]);
            world.run(MAX_LATE_MS + 1_000);
            assert_completed(world, &case);
        }
    }
}

/// Guards against a task whose start got no answer and that waits for seconds although a list shows
/// that it does not run.
#[test]
fn a_task_whose_start_is_lost_starts_again_at_once() {
    let mut slow = Vec::new();
    for offset_ms in 0..25 {
        for spec in [step(1, 1_000), gang(2, 3_000)] {
            let case = format!("offset {offset_ms}, gang: {}", spec.gang);
            let members = spec.count as usize;
            let mut world = world(1, 2);
            world.run(offset_ms);
            let id = first_worker(&world);
            world.call_faults.push(CallFault {
                lost: true,
                ..CallFault::one(CallKind::Start, &id)
            });
            world.submit(0, 1, vec![spec]);
            world.run(2_000);
            let again = world.starts().iter().filter(|start| start.2 == 2).count();
            if again < members {
                slow.push(case.clone());
            }
            assert_completed(world, &case);
        }
    }
    assert!(slow.is_empty(), "no second run in 2 s: {slow:?}");
}

/// Guards against a task whose start got no answer and that waits for seconds after the call for the
/// worker's list was lost too.
#[test]
fn a_task_whose_start_and_list_are_lost_starts_again_soon() {
    for spec in [step(1, 1_000), gang(2, 3_000)] {
        let case = format!("gang: {}", spec.gang);
        let members = spec.count as usize;
        let mut world = world(1, 2);
        let id = first_worker(&world);
        for kind in [CallKind::Start, CallKind::QuickPoll] {
            world.call_faults.push(CallFault {
                lost: true,
                ..CallFault::one(kind, &id)
            });
        }
        world.submit(0, 1, vec![spec]);
        world.run(2_900);
        let again = world.starts().iter().filter(|start| start.2 == 2).count();
        assert_eq!(again, members, "{case}: no second run in 2.9 s");
        assert_completed(world, &case);
    }
}

/// Replaces the leader after it has sent the starts of job 1, of which that on the first worker arrives
/// `late_ms` later; returns that worker.
fn replace_leader_after_start(world: &mut World, spec: StepSpec, late_ms: u64) -> WorkerId {
    let leader = world.leader().unwrap();
    let id = first_worker(world);
    world.call_faults.push(CallFault {
        call_ms: late_ms,
        ..CallFault::one(CallKind::Start, &id)
    });
    world.submit(leader, 1, vec![spec]);
    while world.count("run_ordered") == 0 {
        world.run(1);
    }
    world.kill(leader);
    world.start(leader);
    id
}

/// Guards against a start of a former leader that is carried out under the next one.
#[test]
fn a_late_start_of_a_former_leader_runs_nothing_twice() {
    for late_ms in (500..MAX_LATE_MS).step_by(250) {
        for spec in [step(1, 1_000), gang(2, 3_000)] {
            let case = format!("{late_ms} ms late, gang: {}", spec.gang);
            let mut world = world(2, 2);
            replace_leader_after_start(&mut world, spec, late_ms);
            world.run(MAX_LATE_MS + 3_000);
            assert_completed(world, &case);
        }
    }
}

/// Guards against a start of a former leader that reaches a worker which has restarted and knows no
/// fencing token: the task never starts again (LOST). Two runs at a time can't be excluded then, because
/// no call of the new leader precedes the late start on that worker.
#[test]
fn a_late_start_of_a_former_leader_on_a_restarted_worker_does_not_strand_the_task() {
    let (mut cases, mut doubles, mut stale) = (0, 0, 0);
    for restart_ms in (2_500..7_000).step_by(500) {
        for after_ms in (1..200).step_by(15) {
            for spec in [step(1, 1_000), gang(2, 2_000)] {
                let case = format!("restart {restart_ms}, {after_ms}, gang: {}", spec.gang);
                let (world, is_stale) = run_late_start_of_former_leader(spec, restart_ms, after_ms);
                cases += 1;
                stale += usize::from(is_stale);
                doubles += usize::from(!world.double_runs().is_empty());
                let mut world = world;
                let leader = world.leader().unwrap();
                let state = world.state(leader, 1);
                assert_eq!(state, ClientAnswer::State(JobState::Completed), "{case}");
            }
        }
    }
    println!("{cases} cases, stale lists: {stale}, doubles: {doubles}");
    assert!(stale > 0, "no late start was listed");
}

/// Lets the start of job 1 by a leader that is killed reach its worker `after_ms` after the worker's
/// restart; returns whether the next leader met a list with that run.
fn run_late_start_of_former_leader(
    spec: StepSpec,
    restart_ms: u64,
    after_ms: u64,
) -> (World, bool) {
    let mut world = world(2, 2);
    for worker in world.workers.values_mut() {
        worker.work_ms = 800;
        worker.how = RunOutcome::Broken;
    }
    let id = replace_leader_after_start(&mut world, spec, restart_ms + after_ms);
    // The next leader places the runs on the other worker.
    let number = world.workers[&id].number;
    world.set_draining(number, true);
    world.run(restart_ms);
    world.restart_worker(&id);
    world.run(MAX_LATE_MS);
    set_outcome(&mut world, RunOutcome::Done);
    world.run(RECOVERY_MS);
    let is_stale = world.count("run_unplaced") + world.count("run_adopted") > 0;
    (world, is_stale)
}

/// Guards against a stop that is carried out after the next run of its task has started there.
#[test]
fn a_late_stop_does_not_end_the_next_run() {
    for late_ms in (250..6_000).step_by(250) {
        let mut world = world(1, 2);
        let case = format!("{late_ms} ms late");
        for worker in world.workers.values_mut() {
            worker.work_ms = 3_000;
        }
        let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
        world.call_faults.push(CallFault {
            lost: true,
            ..CallFault::one(CallKind::Start, &ids[0])
        });
        for id in &ids {
            world.call_faults.push(CallFault {
                call_ms: late_ms,
                ..CallFault::one(CallKind::Stop, id)
            });
        }
        world.submit(0, 1, vec![gang(2, 3_000)]);
        world.run(9_000);
        let runs: Vec<u32> = world.starts().iter().map(|start| start.2).collect();
        assert_eq!(runs, [1, 2, 2], "{case}");
        assert_completed(world, &case);
    }
}

/// Guards against a poll that reaches a worker after it restarted and acknowledges ends which no list
/// has named: the task never starts again (LOST). That the task runs again can't be excluded.
#[test]
fn a_late_poll_that_acknowledges_unseen_ends_does_not_strand_the_task() {
    for late_ms in (500..6_000).step_by(250) {
        let mut world = world(1, 1);
        let id = first_worker(&world);
        // The cursor is at 4 when the worker restarts.
        world.submit(0, 2, vec![step(4, 900)]);
        world.run(2_000);
        world.submit(0, 3, vec![step(1, 1_000)]);
        world.call_faults.push(CallFault {
            call_ms: late_ms,
            ..CallFault::one(CallKind::Poll, &id)
        });
        world.run(400);
        world.restart_worker(&id);
        world.submit(0, 1, vec![step(1, 1_000)]);
        world.run(6_000);
        print_lists(&world, &format!("{late_ms} ms late"));
        world.run(RECOVERY_MS);
        for job in 1..=3 {
            world.assert_state(0, job, JobState::Completed);
        }
    }
}

/// Guards against a list that arrives after a newer one, of the same incarnation of the worker.
#[test]
fn a_list_that_arrives_after_a_newer_one_changes_nothing() {
    for answer_ms in (50..700).step_by(50) {
        let mut world = world(1, 2);
        let case = format!("{answer_ms} ms late");
        world.submit(0, 1, vec![step(8, 1_000)]);
        world.submit(0, 2, vec![step(2, 100)]);
        wait_for_starts(&mut world, 8);
        world.run(600);
        for id in world.workers.keys().cloned().collect::<Vec<_>>() {
            world.call_faults.push(CallFault {
                answer_ms,
                ..CallFault::one(CallKind::QuickPoll, &id)
            });
        }
        world.cancel(0, 2);
        world.run(2_000);
        assert_completed(world, &case);
    }
}

/// Starts a cell with one worker whose runs are short and that has acknowledged twelve ends.
fn world_with_acknowledged_ends() -> (World, WorkerId) {
    let mut world = world(1, 1);
    for job in 3..6 {
        world.submit(0, job, vec![step(4, 900)]);
        world.run(1_500);
    }
    for worker in world.workers.values_mut() {
        worker.work_ms = 60;
    }
    let id = first_worker(&world);
    (world, id)
}

/// Guards against an acknowledgement that is repeated after the worker restarted: ends are acknowledged
/// before they are listed, and their tasks run again (TWICE).
#[test]
fn an_acknowledgement_is_not_repeated_after_a_restart() {
    for restart_ms in (20..200).step_by(2) {
        let (mut world, id) = world_with_acknowledged_ends();
        world.submit(0, 1, vec![step(40, 1_000)]);
        world.run(restart_ms);
        world.restart_worker(&id);
        world.run(MAX_LATE_MS);
        assert_completed(world, &format!("restart after {restart_ms} ms"));
    }
}

/// Guards against a list that a worker answered before it restarted and that arrives after a list of
/// its next incarnation: its numbers of ends acknowledge ends that were not listed, and their tasks run
/// again (TWICE).
#[test]
fn a_list_from_before_a_restart_acknowledges_no_later_ends() {
    let mut outdated = 0;
    for restart_ms in (510..680).step_by(10) {
        let (mut world, id) = world_with_acknowledged_ends();
        for worker in world.workers.values_mut() {
            worker.work_ms = 500;
            worker.how = RunOutcome::Broken;
        }
        // The start that gets no answer makes the leader request another list, which the next
        // incarnation answers first.
        world.call_faults.push(CallFault {
            lost: true,
            ..CallFault::one(CallKind::Start, &id)
        });
        world.call_faults.push(CallFault {
            answer_ms: 1_200,
            ..CallFault::one(CallKind::Poll, &id)
        });
        world.submit(0, 6, vec![step(2, 2_000)]);
        wait_for_starts(&mut world, 13);
        world.submit(0, 1, vec![step(80, 1_000)]);
        world.run(restart_ms);
        world.restart_worker(&id);
        for worker in world.workers.values_mut() {
            worker.work_ms = 60;
            worker.how = RunOutcome::Done;
        }
        world.run(MAX_LATE_MS);
        outdated += world.count("list_outdated");
        assert_completed(world, &format!("restart after {restart_ms} ms"));
    }
    assert!(outdated > 0, "no list arrived from before a restart");
}

/// Guards against a list that is answered while a start is on its way.
#[test]
fn a_list_that_is_answered_before_a_start_arrives_does_not_end_the_run() {
    for call_ms in (50..690).step_by(20) {
        for spec in [step(1, 1_000), gang(2, 3_000)] {
            let mut world = world(1, 2);
            let case = format!("{call_ms} ms, gang: {}", spec.gang);
            for id in world.workers.keys().cloned().collect::<Vec<_>>() {
                world.call_faults.push(CallFault {
                    call_ms,
                    ..CallFault::one(CallKind::Start, &id)
                });
            }
            world.submit(0, 2, vec![step(2, 1_000)]);
            world.submit(0, 1, vec![spec]);
            world.run(100);
            world.cancel(0, 2);
            world.run(5_000);
            assert_completed(world, &case);
        }
    }
}

const DAEMONS: usize = 3;

fn random_queue(rng: &mut Rng) -> Queue {
    match rng.below(2) {
        0 => queue(),
        _ => queue_with_advice(20_000, 0, 4_000),
    }
}

fn random_step(rng: &mut Rng) -> StepSpec {
    let count = 1 + rng.below(5) as u32;
    match rng.below(3) {
        0 => gang(count.max(2), 200 + rng.below(8) * 250),
        _ => step(count, 200 + rng.below(8) * 250),
    }
}

/// Applies a random fault: a leader that changes, or a worker that restarts, fails runs or refuses
/// starts.
fn inject_fault(world: &mut World, rng: &mut Rng) {
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    let id = ids[rng.below(ids.len() as u64) as usize].clone();
    match rng.below(8) {
        0 => {
            if let Some(leader) = world.leader() {
                world.kill(leader);
                world.run(rng.below(900));
                world.start(leader);
            }
        }
        1 => {
            if let Some(leader) = world.leader() {
                world.deliver_event(leader, Event::Stop);
                world.run(rng.below(3_000));
                world.kill(leader);
                world.start(leader);
            }
        }
        2 | 3 => world.restart_worker(&id),
        fault => {
            let worker = world.workers.get_mut(&id).unwrap();
            match fault {
                4 => worker.silent = rng.below(3) == 0,
                5 => worker.refuses_starts = rng.below(2) == 0,
                6 => worker.how = RunOutcome::Broken,
                _ => worker.how = RunOutcome::Done,
            }
        }
    }
}

/// What a series of faults did.
#[derive(Debug, Default)]
struct Findings {
    unfinished: Vec<String>,
    doubles: Vec<String>,
    overfull: Vec<String>,
    alone: Vec<String>,
}

fn run_series(seed: u64) -> Findings {
    let mut rng = Rng(seed * 7_919 + 3);
    let mut world = World::new(DAEMONS, 6, desired(1, random_queue(&mut rng)));
    let crosses = rng.below(4) == 0;
    for worker in world.workers.values_mut() {
        worker.clock_slow_permille = rng.below(21);
        worker.accepts_earlier_calls = crosses;
        worker.work_ms = 200 + rng.below(2_000);
    }
    world.run(3_000);
    world.random_call_faults = Some(RandomCallFaults {
        seed,
        lost_permille: rng.below(3) * 20,
        late_permille: rng.below(4) * 40,
        max_late_ms: MAX_LATE_MS,
        slow_permille: rng.below(4) * 100,
        max_answer_ms: 2_500,
    });
    let mut calls = Vec::new();
    for job in 0..80 {
        let daemon = rng.below(DAEMONS as u64) as usize;
        let spec = random_step(&mut rng);
        calls.push((job, world.submit(daemon, job, vec![spec])));
        world.run(rng.below(500));
        if rng.below(4) == 0 {
            inject_fault(&mut world, &mut rng);
        }
    }
    world.random_call_faults = None;
    for worker in world.workers.values_mut() {
        worker.silent = false;
        worker.refuses_starts = false;
        worker.how = RunOutcome::Done;
    }
    let faults_end = world.now + MAX_LATE_MS;
    world.run(60_000);
    let mut findings = find_violations(&world, seed, faults_end);
    for (job, call) in calls {
        if world.answers.get(&call) != Some(&ClientAnswer::Accepted) {
            continue;
        }
        let state = world.state(0, job);
        if state != ClientAnswer::State(JobState::Completed) {
            let found = format!("seed {seed}: job {job} is {state:?}");
            findings.unfinished.push(found);
        }
    }
    findings
}

/// Returns what broke a rule, apart from what a call did that reached a later incarnation of a worker.
fn find_violations(world: &World, seed: u64, faults_end: u64) -> Findings {
    let mut findings = Findings::default();
    let workers = || world.workers.values();
    let is_excused = |task: &pomelotide_core::cell::TaskKey| {
        let mut unseen = workers().flat_map(|worker| &worker.unseen_ends);
        if unseen.any(|ended| ended.step == task.step) {
            return true;
        }
        let mut calls = workers().flat_map(|worker| &worker.earlier_calls);
        calls.any(|(called, _)| {
            called
                .as_ref()
                .is_none_or(|called| called.step == task.step)
        })
    };
    for (task, runs) in world.double_runs() {
        if !is_excused(&task) {
            findings.doubles.push(format!("seed {seed}: {task} {runs}"));
        }
    }
    for worker in workers().filter(|worker| worker.earlier_calls.is_empty()) {
        for (task, at) in &worker.overfull {
            let id = worker.id();
            findings
                .overfull
                .push(format!("seed {seed}: {id} {task} at {at}"));
        }
    }
    let ends = workers().flat_map(|worker| &worker.spans);
    for span in ends.filter(|span| span.how == Some(RunOutcome::Alone)) {
        if span.begin > faults_end {
            let (task, run, begin) = (&span.task, span.run, span.begin);
            findings
                .alone
                .push(format!("seed {seed}: {task} run {run} at {begin}"));
        }
    }
    findings
}

/// Guards against accepted jobs that do not end, tasks that run twice, overfull workers and members of
/// gangs that are left alone, when calls to workers are lost, carried out late and answered late. `SEED`
/// sets the first seed and `SEEDS` the number of seeds.
#[test]
fn rules_hold_although_calls_are_late() {
    let count = env_number("SEEDS").unwrap_or(20);
    let first = env_number("SEED").unwrap_or(0);
    let mut all = Findings::default();
    for seed in first..first + count {
        let mut found = run_series(seed);
        all.unfinished.append(&mut found.unfinished);
        all.doubles.append(&mut found.doubles);
        all.overfull.append(&mut found.overfull);
        all.alone.append(&mut found.alone);
    }
    let is_clean = all.unfinished.is_empty() && all.doubles.is_empty();
    assert!(
        is_clean && all.overfull.is_empty() && all.alone.is_empty(),
        "{all:#?}"
    );
}
