//! Steps that wait for their workers, and what they keep from others, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue, queue_with_advice, starts_of, step, with_fill_queue, FakeWorker, World,
    KEY, OTHER_KEY,
};
use pomelotide_core::{
    cell::{
        ActiveRun, DesiredState, Incarnation, StepKey, StepSpec, TaskKey, WorkerAnswer, WorkerRuns,
    },
    JobId, Millis,
};

/// What fills a worker, in thousandths of a core.
const WORKER_CPU_MILLI: u64 = 4_000;
/// The estimate with which a step can end in time for as long as a test runs.
const LONG_ESTIMATE_MS: u64 = 60_000;
/// The time within which a step that has room must start, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;
/// A label that no worker has.
const NO_WORKERS_LABEL: &str = "nowhere";

fn estimated(estimated_ms: u64, step: StepSpec) -> StepSpec {
    StepSpec {
        estimated_ms: Millis(estimated_ms),
        ..step
    }
}

fn on_label(label: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        requirement: Some(label.into()),
        ..step
    }
}

fn per_worker(limit: u32, step: StepSpec) -> StepSpec {
    StepSpec {
        per_worker: Some(limit),
        ..step
    }
}

/// Returns a desired state whose teams may submit any number of jobs, with the queue "fill" without
/// advice and the team "others" without a limit.
fn two_queues(state: DesiredState) -> DesiredState {
    let mut state = with_fill_queue(state);
    for team in &mut state.teams {
        team.weight = 100_000;
    }
    state
}

fn started_world(workers: usize, state: DesiredState) -> World {
    let mut world = World::new(1, workers, two_queues(state));
    world.run(3_000);
    assert!(world.leader().is_some(), "there is no leader");
    world
}

/// Guards against workers that are kept free for a gang which no workers could ever hold.
#[test]
fn a_gang_that_no_workers_can_hold_reserves_no_workers() {
    let gangs = [
        ("no label", on_label(NO_WORKERS_LABEL, gang(2, 4_000))),
        ("few with the label", on_label("r1-0", gang(5, 4_000))),
        ("limit per worker", per_worker(1, gang(9, 1_000))),
        ("large members", gang(2, 5_000)),
        ("many members", gang(9, 4_000)),
    ];
    let mut kept = Vec::new();
    for (name, gang) in gangs {
        let mut world = started_world(8, desired(1, queue()));
        world.set_work_ms(LONG_ESTIMATE_MS);
        world.submit(0, 1, vec![estimated(LONG_ESTIMATE_MS, gang)]);
        world.run(500);
        let other = estimated(2 * LONG_ESTIMATE_MS, step(8, WORKER_CPU_MILLI));
        world.submit(0, 2, vec![other]);
        world.run(MAX_WAIT_MS);
        if starts_of(&world, 2) != 8 {
            kept.push((name, starts_of(&world, 2)));
        }
    }
    assert_eq!(kept, [], "8 workers run nothing else");
}

/// Guards against a gang whose advice denies all workers and that keeps them free nevertheless.
#[test]
fn a_gang_that_no_worker_may_run_reserves_no_workers() {
    let mut world = started_world(8, desired(1, queue_with_advice(20_000, 0, 2_000)));
    world.advice_allows_every = 8;
    world.set_work_ms(LONG_ESTIMATE_MS);
    world.submit(0, 1, vec![estimated(LONG_ESTIMATE_MS, gang(2, 4_000))]);
    world.run(500);
    let other = estimated(2 * LONG_ESTIMATE_MS, step(8, WORKER_CPU_MILLI));
    world.submit_to("/fill/", 0, 2, vec![other]);
    world.run(MAX_WAIT_MS);
    assert_eq!((starts_of(&world, 1), starts_of(&world, 2)), (0, 8));
}

/// Guards against a gang for which workers without its label are kept free, while small tasks keep
/// using those that have it.
#[test]
fn a_gang_with_a_label_starts_beside_small_tasks() {
    let mut world = started_world(8, desired(1, queue()));
    // Small tasks of which some always run on the four workers with the label.
    for at in 0..120 {
        let small = estimated(2 * LONG_ESTIMATE_MS, step(1, 1_000));
        world.submit(0, 100 + at, vec![small]);
        if at == 20 {
            let gang = on_label("r1-0", gang(4, WORKER_CPU_MILLI));
            world.submit(0, 1, vec![estimated(LONG_ESTIMATE_MS, gang)]);
        }
        world.run(100);
    }
    assert_eq!(starts_of(&world, 1), 4, "no worker is kept free for it");
}

/// How many steps that can't start are pending: more than one pass looks at.
const BLOCKED_STEPS: u64 = 700;

/// Returns steps that can't start, by why, with the queue and the key to submit them with.
fn blocked_steps() -> [(&'static str, &'static str, &'static str, StepSpec); 4] {
    let label = on_label(NO_WORKERS_LABEL, step(1, 100));
    [
        ("label", "/fill/", OTHER_KEY, label),
        ("size", "/fill/", OTHER_KEY, step(1, 5_000)),
        ("team limit", "/fill/", KEY, step(1, 2_000)),
        ("advice", cell_world::PREFIX, OTHER_KEY, step(1, 100)),
    ]
}

/// Returns a cell with [`BLOCKED_STEPS`] jobs of one blocked step each, after `before` was applied.
fn world_with_blocked_steps(
    prefix: &str,
    key: &str,
    blocked: &StepSpec,
    before: impl FnOnce(&mut World),
) -> World {
    let mut state = desired(1, queue_with_advice(1_000, 0, 2_000));
    state.teams[0].limit.cpu_milli = 1_000;
    let mut world = started_world(4, state);
    world.advice_ms = 1;
    world.advice_allows_every = 1_000;
    // The one worker that the service would allow drains.
    world.set_draining(0, true);
    world.run(500);
    before(&mut world);
    world.key = key.into();
    for job in 0..BLOCKED_STEPS {
        world.submit_to(prefix, 0, 1_000 + job, vec![blocked.clone()]);
        world.run(2);
    }
    world.key = OTHER_KEY.into();
    world
}

/// Guards against a step that has room and is not looked at, because more earlier steps than one pass
/// looks at can't start.
#[test]
fn steps_that_cannot_start_do_not_hide_later_ones() {
    let mut hidden = Vec::new();
    for (name, prefix, key, blocked) in blocked_steps() {
        let blocked = estimated(LONG_ESTIMATE_MS, blocked);
        let mut world = world_with_blocked_steps(prefix, key, &blocked, |_| {});
        world.run(1_000);
        let later = estimated(2 * LONG_ESTIMATE_MS, step(1, 1_000));
        world.submit_to("/fill/", 0, 1, vec![later]);
        world.run(MAX_WAIT_MS);
        if starts_of(&world, 1) != 1 {
            hidden.push(name);
        }
    }
    assert_eq!(hidden, [""; 0], "3 workers run nothing");
}

/// Guards against a late step that has room and is not looked at, because more newer late steps than
/// one pass looks at can't start.
#[test]
fn late_steps_that_cannot_start_do_not_hide_older_ones() {
    let mut hidden = Vec::new();
    for (name, prefix, key, blocked) in blocked_steps() {
        let mut world = world_with_blocked_steps(prefix, key, &blocked, |world| {
            world.key = OTHER_KEY.into();
            world.set_work_ms(10_000);
            world.submit_to("/fill/", 0, 2, vec![step(3, WORKER_CPU_MILLI)]);
            world.run(100);
            assert_eq!(starts_of(world, 2), 3);
            world.submit_to("/fill/", 0, 1, vec![step(1, 1_000)]);
            world.run(100);
        });
        world.run(10_000 + MAX_WAIT_MS);
        if starts_of(&world, 1) != 1 {
            hidden.push(name);
        }
    }
    assert_eq!(hidden, [""; 0], "3 workers run nothing");
}

/// How many steps that can't start are pending: a pass reaches each of them less often than its
/// tickets expire.
const MANY_BLOCKED_STEPS: u64 = 4_000;

/// Returns a cell of 8 workers that run other tasks for some seconds, and in which job 1 with `late`
/// requests its tickets again, behind [`MANY_BLOCKED_STEPS`] newer late steps that can't start.
fn world_with_late_step(late: StepSpec) -> World {
    let mut world = started_world(8, desired(1, queue_with_advice(20_000, 0, 2_000)));
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(2_000);
        worker.work_ms = 5_000;
    }
    world.key = OTHER_KEY.into();
    world.submit_to("/fill/", 0, 99, vec![step(8, WORKER_CPU_MILLI)]);
    world.run(100);
    world.submit(0, 1, vec![estimated(100, late)]);
    world.run(4_000);
    // The workers are free at 5 s; the tickets arrive after newer late steps.
    world.advice_ms = 800;
    let calls = world.advice_calls;
    while world.advice_calls == calls {
        world.run(25);
    }
    world.set_work_ms(LONG_ESTIMATE_MS);
    for job in 0..MANY_BLOCKED_STEPS {
        let blocked = on_label(NO_WORKERS_LABEL, step(1, 100));
        world.submit_to("/fill/", 0, 1_000 + job, vec![estimated(0, blocked)]);
        if job % 8 == 0 {
            world.run(1);
        }
    }
    world
}

/// Guards against a late gang that keeps workers reserved while no pass looks at it, until its tickets
/// have expired again.
#[test]
fn a_late_gang_behind_steps_that_cannot_start_uses_its_reserved_workers() {
    let mut world = world_with_late_step(gang(6, WORKER_CPU_MILLI));
    world.run(20_000);
    assert_eq!(starts_of(&world, 1), 6);
}

/// Guards against late tasks whose tickets expire before a pass looks at them.
#[test]
fn late_tasks_behind_steps_that_cannot_start_use_their_tickets() {
    let mut world = world_with_late_step(step(6, WORKER_CPU_MILLI));
    world.run(20_000);
    assert_eq!(starts_of(&world, 1), 6);
}

fn add_worker(world: &mut World, number: usize) {
    let worker = FakeWorker::new(number);
    world.store.put_worker(&worker);
    world.workers.insert(worker.id(), worker);
}

/// Guards against a step that is never started because its advice denied all workers that there were.
#[test]
fn a_step_that_all_workers_were_denied_starts_on_a_new_one() {
    for spec in [step(1, 1_000), gang(1, 1_000)] {
        let mut world = started_world(4, desired(1, queue_with_advice(20_000, 0, 2_000)));
        world.advice_allows_every = 100;
        world.set_draining(0, true);
        world.run(500);
        world.submit(0, 1, vec![spec]);
        world.run(10_000);
        assert_eq!(starts_of(&world, 1), 0);
        add_worker(&mut world, 100);
        world.run(6_000);
        assert_eq!(starts_of(&world, 1), 1);
    }
}

/// Guards against a step that is never started because all workers that it may run on have left.
#[test]
fn a_step_whose_allowed_workers_have_left_starts_on_new_ones() {
    for spec in [step(2, 1_000), gang(2, 1_000)] {
        let mut world = started_world(4, desired(1, queue_with_advice(20_000, 0, 2_000)));
        world.submit_to("/fill/", 0, 2, vec![step(4, WORKER_CPU_MILLI)]);
        world.run(100);
        world.submit(0, 1, vec![spec]);
        world.run(500);
        for number in 0..4 {
            world.set_draining(number, true);
        }
        world.run(3_000);
        assert_eq!(starts_of(&world, 1), 0);
        for number in 4..8 {
            add_worker(&mut world, number);
        }
        world.run(6_000);
        assert_eq!(starts_of(&world, 1), 2);
    }
}

/// Returns a cell of 4 workers whose advice takes `advice_ms` and denies all workers but one that drains.
fn world_that_denies_all_workers(advice_ms: u64) -> World {
    let queue = queue_with_advice(advice_ms * 1_000, 0, 2_000);
    let mut world = started_world(4, desired(1, queue));
    world.advice_ms = advice_ms;
    world.advice_allows_every = 100;
    world.set_draining(0, true);
    world.run(500);
    world
}

/// Lets the advice allow all workers from now on, and restarts one that it denied.
fn allow_all_and_restart_a_worker(world: &mut World) {
    world.advice_allows_every = 1;
    let id = world.workers.keys().nth(1).unwrap().clone();
    world.restart_worker(&id);
}

/// Guards against a step that is never started because the advice was on an earlier life of the
/// workers, which may be of another kind now.
#[test]
fn a_step_that_a_worker_was_denied_may_start_on_its_next_life() {
    for spec in [step(1, 1_000), gang(1, 1_000)] {
        let mut world = world_that_denies_all_workers(20);
        world.submit(0, 1, vec![spec]);
        world.run(5_000);
        assert_eq!(starts_of(&world, 1), 0);
        allow_all_and_restart_a_worker(&mut world);
        world.run(10_000);
        assert_eq!(starts_of(&world, 1), 1);
    }
}

/// Guards against a step that is never started because a worker restarted while a call for advice on
/// its earlier life was in flight.
#[test]
fn a_step_that_a_worker_was_denied_while_it_restarted_may_start_on_its_next_life() {
    for spec in [step(1, 1_000), gang(1, 1_000)] {
        let mut world = world_that_denies_all_workers(1_500);
        world.submit(0, 1, vec![spec]);
        world.run(500);
        assert_eq!(world.advice_calls, 1);
        allow_all_and_restart_a_worker(&mut world);
        world.run(500);
        assert_eq!(world.count("worker_restarted"), 1);
        assert_eq!(world.count("advice_given"), 0);
        world.run(10_000);
        assert_eq!(starts_of(&world, 1), 1);
    }
}

/// Guards against a gang that never starts because it needs tickets for more workers than the calls
/// that are made one after another name while the first tickets are valid.
#[test]
fn a_gang_on_more_workers_than_calls_in_turn_name_in_time_starts() {
    for members in [150, 220, 300, 400] {
        let slow = queue_with_advice(550_000, 7_800, 2_000);
        let mut world = World::new(3, members + 20, two_queues(desired(1, slow)));
        world.advice_ms = 550;
        world.advice_worker_us = 7_800;
        for worker in world.workers.values_mut() {
            worker.ticket_valid_ms = Some(2_000);
        }
        world.run(3_000);
        world.submit(0, 1, vec![gang(members as u32, WORKER_CPU_MILLI)]);
        world.run(15_000);
        assert_eq!(starts_of(&world, 1), members);
    }
}

/// Returns a cell of 8 workers of which 6 are reserved for a gang, job 1, whose call for tickets is in
/// flight.
fn world_with_reserved_gang() -> World {
    let mut world = started_world(8, desired(1, queue_with_advice(20_000, 0, 2_000)));
    world.set_work_ms(5_000);
    world.submit_to("/fill/", 0, 99, vec![step(8, WORKER_CPU_MILLI)]);
    world.run(100);
    world.submit(0, 1, vec![gang(6, WORKER_CPU_MILLI)]);
    world.run(4_000);
    world.advice_ms = 1_000;
    let calls = world.advice_calls;
    while world.advice_calls == calls {
        world.run(25);
    }
    world.set_work_ms(LONG_ESTIMATE_MS);
    world.key = OTHER_KEY.into();
    world
}

/// Guards against workers that stay reserved for a gang which can't start, because a worker lists a run
/// of it that was never placed.
#[test]
fn a_gang_that_waits_for_a_listed_run_to_end_reserves_no_workers() {
    let mut world = world_with_reserved_gang();
    let step_key = StepKey {
        job: JobId::new("0000000000000001"),
        occurrence: 0,
        step: 0,
    };
    let task = TaskKey {
        step: step_key,
        index: 0,
    };
    let listed = ActiveRun {
        task,
        run: 1,
        checkpoint: None,
        percent: 0,
    };
    let runs = WorkerRuns {
        incarnation: Some(Incarnation(1)),
        active: vec![listed],
        finished: Vec::new(),
        ..WorkerRuns::default()
    };
    let worker = world.workers.values_mut().next().unwrap();
    worker.answer_override = Some(WorkerAnswer::Listed(Millis(world.now), runs));
    world.submit_to("/fill/", 0, 3, vec![step(2, 100)]);
    world.run(500);
    world.submit_to("/fill/", 0, 2, vec![step(6, 3_000)]);
    world.run(2 * MAX_WAIT_MS);
    assert_eq!((starts_of(&world, 1), starts_of(&world, 2)), (0, 6));
}

/// Guards against workers that stay reserved for a gang whose job was cancelled while a call for its
/// tickets was in flight.
#[test]
fn a_cancelled_gang_reserves_no_workers() {
    let mut world = world_with_reserved_gang();
    world.key = KEY.into();
    world.cancel(0, 1);
    world.submit_to("/fill/", 0, 2, vec![step(8, WORKER_CPU_MILLI)]);
    world.run(MAX_WAIT_MS);
    assert_eq!((starts_of(&world, 1), starts_of(&world, 2)), (0, 8));
}

/// Guards against a step that waits for ever for advice which a daemon was to request when it died.
#[test]
fn a_step_whose_call_for_advice_was_lost_with_its_daemon_starts() {
    for killed in 0..3 {
        for spec in [step(1, 1_000), gang(1, 1_000)] {
            let state = two_queues(desired(1, queue_with_advice(500_000, 0, 2_000)));
            let mut world = World::new(3, 4, state);
            world.advice_ms = 500;
            world.run(3_000);
            let leader = world.leader().unwrap();
            world.submit(leader, 1, vec![spec]);
            world.run(200);
            assert_eq!(world.advice_calls, 1);
            world.kill(killed);
            world.run(10_000);
            assert_eq!(starts_of(&world, 1), 1, "daemon {killed} killed");
        }
    }
}

/// Guards against a step that is not looked at again after its worker gets the label that it requires,
/// or its team a higher limit.
#[test]
fn a_step_starts_once_its_worker_or_team_may_run_it() {
    let mut state = desired(1, queue());
    state.teams[0].limit.cpu_milli = 1_000;
    let mut world = started_world(1, state);
    world.submit(0, 1, vec![on_label("new", step(1, 1_000))]);
    world.submit(0, 2, vec![gang(1, 2_000)]);
    world.run(MAX_WAIT_MS);
    assert_eq!(world.starts().len(), 0);
    let worker = world.workers.values_mut().next().unwrap();
    worker.entry.labels.insert(0, "new".into());
    let worker = worker.clone();
    world.store.put_worker(&worker);
    world.run(MAX_WAIT_MS);
    assert_eq!((starts_of(&world, 1), starts_of(&world, 2)), (1, 0));
    world.store.put_state(two_queues(desired(2, queue())));
    world.run(MAX_WAIT_MS);
    assert_eq!(starts_of(&world, 2), 1);
}
