//! Rows and lists that can be read and hold values that no daemon writes, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, step, World};
use pomelotide_core::{
    cell::{
        ActiveRun, JobState, Placement, Progress, RowValue, RunOutcome, StepKey, StepProgress,
        Table, TaskKey, TermRow, WorkerAnswer, WorkerRuns,
    },
    JobId, Millis, WorkerId,
};

const JOB: &str = "0000000000000001";

fn world(daemons: usize, workers: usize) -> World {
    let mut world = World::new(daemons, workers, desired(1, queue()));
    world.run(3_000);
    assert!(world.leader().is_some(), "there is no leader");
    world
}

/// Guards against a task that never starts again after a worker has listed a run of it with the largest
/// number.
#[test]
fn a_task_starts_after_a_run_with_the_largest_number_was_listed() {
    for workers in [1, 2] {
        let mut world = world(1, workers);
        world.submit(0, 1, vec![step(1, 1_000)]);
        world.run(300);
        let now = Millis(world.now);
        let worker = world.workers.values_mut().next().unwrap();
        let task = TaskKey {
            step: StepKey {
                job: JobId::new(JOB),
                occurrence: 0,
                step: 0,
            },
            index: 0,
        };
        let run = ActiveRun {
            task,
            run: u32::MAX,
            checkpoint: None,
            percent: 0,
        };
        let view = WorkerRuns {
            incarnation: worker.entry.incarnation,
            active: vec![run],
            finished: Vec::new(),
            ..WorkerRuns::default()
        };
        worker.answer_override = Some(WorkerAnswer::Listed(now, view));
        let polls = worker.polls;
        for worker in world.workers.values_mut() {
            worker.how = RunOutcome::Broken;
        }
        while world.workers.values().next().unwrap().polls == polls {
            world.run(1);
            assert!(world.now < 20_000, "the worker is not polled");
        }
        world.workers.values_mut().next().unwrap().answer_override = None;
        world.run(1_000);
        for worker in world.workers.values_mut() {
            worker.how = RunOutcome::Done;
        }
        world.run(15_000);
        world.assert_state(0, 1, JobState::Completed);
    }
}

/// Guards against a lease far in the future, or a generation near the largest number, after which no
/// daemon leads or no task starts again.
#[test]
fn a_lease_or_generation_out_of_range_does_not_stop_the_cell() {
    for value in [
        RowValue::Lease(Some(Millis(u64::MAX))),
        RowValue::Term(TermRow {
            holder: None,
            nonce: 1,
            generation: u32::MAX - 1,
        }),
    ] {
        let mut world = world(2, 2);
        let (key, part) = world
            .store
            .rows
            .iter()
            .find(|(_, row)| std::mem::discriminant(&row.1) == std::mem::discriminant(&value))
            .map(|(key, _)| (key.key.clone(), key.partition.clone()))
            .unwrap();
        let name = format!("{value:?}");
        let leader = world.leader().unwrap();
        world.kill(leader);
        world.store.put_row(Table::Leadership, &part, &key, value);
        world.run(15_000);
        assert!(world.leader().is_some(), "{name}: there is no leader");
        let other = 1 - leader;
        world.submit(other, 1, vec![step(2, 1_000)]);
        world.run(300);
        for id in world.workers.keys().cloned().collect::<Vec<WorkerId>>() {
            world.restart_worker(&id);
        }
        world.run(20_000);
        let state = world.state(other, 1);
        assert!(
            format!("{state:?}").contains("Completed"),
            "{name}: {state:?}"
        );
    }
}

/// Guards against progress of another shape that makes a new leader panic or loses the job.
#[test]
fn progress_of_another_shape_does_not_stop_its_job() {
    let placed = |index, run| {
        let worker = WorkerId::new("w77");
        [(
            index,
            Placement {
                worker,
                run,
                lease_ends_ms: None,
            },
        )]
        .into()
    };
    let shapes = [
        Vec::new(),
        vec![StepProgress::default(); 5],
        vec![StepProgress {
            done: vec![0; 10_000],
            failed: [(u32::MAX, vec![u32::MAX; 3])].into(),
            checkpoints: [(u32::MAX, "c".into())].into(),
            placed: placed(u32::MAX, u32::MAX),
        }],
        vec![StepProgress {
            placed: placed(0, u32::MAX),
            ..StepProgress::default()
        }],
    ];
    for (at, steps) in shapes.into_iter().enumerate() {
        let mut world = world(2, 2);
        for worker in world.workers.values_mut() {
            worker.work_ms = 1_500;
        }
        world.submit(0, 1, vec![step(2, 1_000)]);
        world.run(300);
        let leader = world.leader().unwrap();
        world.kill(leader);
        let progress = Progress {
            steps,
            ..Progress::default()
        };
        let value = RowValue::Progress(Box::new(progress));
        world.store.put_row(Table::Progress, "cell", JOB, value);
        world.run(40_000);
        let state = world.state(1 - leader, 1);
        assert!(
            format!("{state:?}").contains("Completed"),
            "shape {at}: {state:?}"
        );
    }
}
