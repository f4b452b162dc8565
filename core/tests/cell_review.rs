//! Recorded ends of leases whose rows are out of date when a leader reads them, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, step, FakeStore, World};
use pomelotide_core::{
    cell::{Placement, Progress, RowValue, StepProgress, Table},
    JobId,
};

/// Returns the row of progress of a job.
fn progress_of(world: &World, job: &str) -> Progress {
    let rows = world.store.rows.iter();
    let row = rows
        .filter(|(key, _)| key.table == Table::Progress && key.key == job)
        .find_map(|(_, (_, value))| match value {
            RowValue::Progress(progress) => Some(progress),
            _ => None,
        });
    (**row.unwrap()).clone()
}

/// Guards against tasks that run twice because a leader records the end of a lease, read with the
/// placement of an ended run, for later runs of the same worker.
#[test]
fn an_outdated_lease_end_does_not_hold_for_later_runs_of_the_worker() {
    let mut world = World::new(3, 4, desired(1, queue()));
    world.run(3_000);
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(1_500);
    let (id, _, run, _) = world.starts()[0].clone();
    for worker in world.workers.values_mut() {
        worker.work_ms = if worker.id() == id { 30_000 } else { 4_000 };
    }
    world.submit(0, 2, vec![step(8, 1_500)]);
    world.run(1_000);
    let job = JobId::new(format!("{:016x}", 2));
    let later_run = progress_of(&world, job.as_str()).steps[0]
        .placed
        .values()
        .any(|placed| placed.worker == id);
    assert!(later_run, "{:?}", world.starts());
    let first = world.leader().unwrap();
    world.kill(first);
    // The first leader had recorded the end of the lease, and the write after the end of the run was
    // not stored.
    let ends_ms = FakeStore::clock_ms(world.now + 4_000);
    let placed = Placement {
        worker: id.clone(),
        run,
        lease_ends_ms: Some(ends_ms),
    };
    let progress = Progress {
        steps: vec![StepProgress {
            placed: [(0, placed)].into(),
            ..StepProgress::default()
        }],
        ..Progress::default()
    };
    let value = RowValue::Progress(Box::new(progress));
    let outdated = format!("{:016x}", 1);
    world
        .store
        .put_row(Table::Progress, "cell", &outdated, value);
    world.workers.get_mut(&id).unwrap().silent = true;
    world.store.remove_worker(id.as_str());
    world.run(5_000);
    let second = world.leader().unwrap();
    assert_ne!(second, first);
    let recorded = progress_of(&world, job.as_str());
    world.kill(second);
    world.run(40_000);
    let mut doubled = world.double_runs();
    doubled.retain(|(task, _)| task.step.job == job);
    assert!(doubled.is_empty(), "{doubled:?}; recorded: {recorded:?}");
}
