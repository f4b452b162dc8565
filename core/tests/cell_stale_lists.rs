//! Lists of runs that name a run which is over, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, gang, queue, queue_with_advice, step, World};
use pomelotide_core::{
    cell::{
        ActiveRun, JobState, Queue, RunOutcome, StepKey, StepSpec, TaskKey, WorkerAnswer,
        WorkerRuns,
    },
    JobId, Millis, WorkerId,
};

/// How long a ticket is valid.
const TICKET_MS: u64 = 1_000;
/// How long the advice service takes while a step waits for new tickets.
const ADVICE_GAP_MS: u64 = 4_000;
/// How long the runs of a job take to end after the last fault, with new calls for advice.
const RECOVERY_MS: u64 = 20_000;

fn with_advice() -> Queue {
    queue_with_advice(20_000, 0, TICKET_MS)
}

/// Lets every poll of a worker be answered with a list that names a run of task 0 of job 1 as active.
fn list_as_active(world: &mut World, worker: &WorkerId, run: u32) {
    let task = TaskKey {
        step: StepKey {
            job: JobId::new("0000000000000001"),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    };
    let now = Millis(world.now);
    let worker = world.workers.get_mut(worker).unwrap();
    let active = ActiveRun {
        task,
        run,
        checkpoint: None,
        percent: 0,
    };
    let runs = WorkerRuns {
        incarnation: worker.entry.incarnation,
        active: vec![active],
        finished: Vec::new(),
        ..WorkerRuns::default()
    };
    worker.answer_override = Some(WorkerAnswer::Listed(now, runs));
}

/// Returns the highest run of job 1 that has started, and its worker.
fn last_start(world: &World) -> Option<(u32, WorkerId)> {
    let starts = world.starts();
    starts.last().map(|start| (start.2, start.0.clone()))
}

/// Runs until a worker has been polled once.
fn wait_for_poll(world: &mut World, worker: &WorkerId) {
    let polls = world.workers[worker].polls;
    for _ in 0..4_000 {
        if world.workers[worker].polls > polls {
            return;
        }
        world.run(1);
    }
    panic!("the worker is not polled");
}

/// Returns a cell in which run 3 of job 1 has ended as broken and the next one waits for advice, with
/// the worker of the last run.
fn world_between_runs(workers: usize, step: StepSpec) -> (World, WorkerId) {
    let mut world = World::new(1, workers, desired(1, with_advice()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.how = RunOutcome::Broken;
        // Each run takes longer than its ticket is valid.
        worker.work_ms = 2 * TICKET_MS;
    }
    world.submit(0, 1, vec![step]);
    let mut runs = 0;
    while runs < 3 {
        world.run(25);
        runs = last_start(&world).map_or(0, |(run, _)| run);
        assert!(world.now < 30_000, "run 3 does not start");
    }
    world.advice_ms = ADVICE_GAP_MS;
    world.run(3 * TICKET_MS);
    let (run, worker) = last_start(&world).unwrap();
    assert_eq!(run, 3, "the step does not wait for advice");
    (world, worker)
}

/// Lets one poll be answered with a list that names an earlier run as active, and expects the job to
/// end once everything is well again.
fn assert_job_survives_stale_list(workers: usize, step: StepSpec, by_other: bool) {
    let (mut world, owner) = world_between_runs(workers, step);
    let other = world.workers.keys().find(|id| **id != owner).cloned();
    let lister = other.filter(|_| by_other).unwrap_or(owner);
    list_as_active(&mut world, &lister, 1);
    wait_for_poll(&mut world, &lister);
    for worker in world.workers.values_mut() {
        worker.answer_override = None;
        worker.how = RunOutcome::Done;
    }
    world.advice_ms = 20;
    world.run(RECOVERY_MS);
    let case = format!("{workers} workers, listed by another one: {by_other}");
    assert!(
        last_start(&world).unwrap().0 > 3,
        "no further start: {case}"
    );
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Guards against an ended run that a stale list names while its task waits for its next run: the task
/// never starts again (LOST).
#[test]
fn a_stale_list_between_two_runs_does_not_strand_a_single_task() {
    for (workers, by_other) in [(1, false), (2, false), (2, true), (3, true)] {
        assert_job_survives_stale_list(workers, step(1, 1_000), by_other);
    }
}

/// Guards against an ended run of a gang member that a stale list names while the gang waits for its
/// next run: the gang never starts again (LOST).
#[test]
fn a_stale_list_between_two_runs_does_not_strand_a_gang() {
    for (workers, by_other) in [(1, false), (2, false), (3, true)] {
        assert_job_survives_stale_list(workers, gang(2, 1_000), by_other);
    }
}

/// Guards against a run that another worker lists once with a higher number: the task's own run is no
/// longer recognised when it ends, and the task never starts again (LOST).
#[test]
fn a_higher_run_listed_by_another_worker_does_not_strand_the_task() {
    for listed in [2, 9] {
        for count in [1, 2] {
            let mut world = World::new(1, 3, desired(1, queue()));
            world.run(3_000);
            for worker in world.workers.values_mut() {
                worker.how = RunOutcome::Broken;
                worker.work_ms = 8_000;
            }
            let spec = if count == 1 {
                step(1, 4_000)
            } else {
                gang(2, 4_000)
            };
            world.submit(0, 1, vec![spec]);
            world.run(500);
            let owners: Vec<WorkerId> = world.starts().into_iter().map(|start| start.0).collect();
            let other = world.workers.keys().find(|id| !owners.contains(id));
            let other = other.unwrap().clone();
            list_as_active(&mut world, &other, listed);
            wait_for_poll(&mut world, &other);
            for worker in world.workers.values_mut() {
                worker.answer_override = None;
            }
            world.run(4_000);
            for worker in world.workers.values_mut() {
                worker.how = RunOutcome::Done;
                worker.work_ms = 1_000;
            }
            world.run(RECOVERY_MS);
            world.assert_state(0, 1, JobState::Completed);
            world.assert_once();
        }
    }
}

/// Guards against a run that a worker lists while the next run of its task is being stored: the next run
/// starts although the listed one is active (TWICE).
#[test]
fn a_placed_run_does_not_start_while_another_one_is_listed() {
    for spec in [step(1, 1_000), gang(2, 1_000)] {
        let case = format!("gang: {}", spec.gang);
        let mut world = World::new(1, 2, desired(1, queue()));
        world.run(3_000);
        let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
        let worker = world.workers.get_mut(&ids[0]).unwrap();
        worker.entry.labels.insert(0, "only".into());
        let worker = worker.clone();
        world.store.put_worker(&worker);
        world.run(500);
        wait_for_poll(&mut world, &ids[1]);
        // The next poll of the idle worker comes after 3 s, while the placement is being stored.
        world.run(1_700);
        world.store_ms = 400;
        let spec = StepSpec {
            requirement: Some("only".into()),
            ..spec
        };
        world.submit(0, 1, vec![spec]);
        list_as_active(&mut world, &ids[1], 1);
        wait_for_poll(&mut world, &ids[1]);
        assert!(world.starts().is_empty(), "{case}: the placement is stored");
        world.run(1_500);
        assert!(world.count("run_unplaced") > 0, "{case}");
        assert!(
            world.starts().is_empty(),
            "{case}: it starts beside the listed run"
        );
        world.workers.get_mut(&ids[1]).unwrap().answer_override = None;
        world.store_ms = 10;
        world.run(RECOVERY_MS);
        world.assert_state(0, 1, JobState::Completed);
        world.assert_once();
    }
}

/// Guards against a run whose start was never answered and that keeps its task waiting without a log
/// line.
#[test]
fn a_run_that_is_not_confirmed_for_long_is_logged_with_its_phase() {
    let mut world = World::new(1, 1, desired(1, queue()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.silent = true;
    }
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(6_000);
    let lines = world.lines.iter().map(|(_, _, line)| line.to_string());
    let lines = lines.filter(|line| line.contains("event=run_stalled "));
    let lines: Vec<String> = lines.collect();
    assert!((1..=2).contains(&lines.len()), "{lines:?}");
    let parts = [
        "run=1",
        "worker=w00",
        "phase=unconfirmed",
        "confirmed=false",
    ];
    let has_inputs = |line: &String| parts.iter().all(|part| line.contains(part));
    assert!(lines.iter().all(has_inputs), "{lines:?}");
}
