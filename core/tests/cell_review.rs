//! Outdated rows of placements, and steps that no worker can run, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue, queue_with_advice, starts_of, step, with_fill_queue, FakeStore, World,
    KEY, OTHER_KEY,
};
use pomelotide_core::{
    cell::{Placement, Progress, RowValue, StepProgress, StepSpec, Table},
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

/// Returns the longest wait of small jobs that arrive one by one, with calls for advice of `advice_ms`
/// whose tickets are valid for `ticket_ms`, beside a gang with the label `gang_label`. Half of the four
/// workers with the label "r1-0" is in use by another team.
fn longest_wait_ms(advice_ms: u64, ticket_ms: u64, gang_label: Option<&str>) -> u64 {
    let queue = queue_with_advice(advice_ms * 1_000, 0, ticket_ms);
    let mut state = with_fill_queue(desired(1, queue));
    state.teams[0].limit.cpu_milli = 12_000;
    let mut world = World::new(3, 12, state);
    world.advice_ms = advice_ms;
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(ticket_ms);
    }
    world.run(3_000);
    let spread = StepSpec {
        requirement: Some("r1-0".into()),
        per_worker: Some(1),
        ..step(4, 2_000)
    };
    world.set_work_ms(60_000);
    world.key = OTHER_KEY.into();
    world.submit_to("/fill/", 0, 1_000, vec![spread]);
    world.key = KEY.into();
    world.run(500);
    world.set_work_ms(1_000);
    if let Some(label) = gang_label {
        let hopeless = StepSpec {
            requirement: Some(label.into()),
            ..gang(12, 1_000)
        };
        world.submit(0, 1, vec![hopeless]);
        world.run(500);
    }
    let mut sent_at = Vec::new();
    for job in 2..150 {
        sent_at.push((job, world.now));
        world.submit(0, job, vec![step(1, 500)]);
        world.run(200);
    }
    world.run(10_000);
    let starts = world.starts();
    let wait_ms = |(job, sent_at): (u64, u64)| {
        let name = format!("{job:016x}");
        let mut own = starts.iter().filter(|start| start.1.starts_with(&name));
        own.next().map_or(u64::MAX, |start| start.3 - sent_at)
    };
    sent_at.into_iter().map(wait_ms).max().unwrap()
}

/// Guards against small jobs that wait, again and again, for a part of their team's limit that is
/// reserved for a gang which no worker can run (LOST).
#[test]
fn no_limit_is_reserved_for_a_gang_that_no_worker_can_run() {
    for (advice_ms, ticket_ms) in [(100, 4_000), (200, 1_500), (300, 2_000)] {
        let alone_ms = longest_wait_ms(advice_ms, ticket_ms, None);
        let beside_ms = longest_wait_ms(advice_ms, ticket_ms, Some("none"));
        assert!(
            beside_ms <= alone_ms + 200,
            "advice of {advice_ms} ms: {beside_ms} ms beside the gang, {alone_ms} ms without it"
        );
    }
}

/// Guards against small jobs that wait for 3 s for a part of their team's limit that is reserved for a
/// gang whose workers are in use by another team (LOST).
#[test]
fn a_gang_whose_workers_are_in_use_does_not_stall_small_jobs() {
    for (advice_ms, ticket_ms) in [(100, 4_000), (200, 1_500), (300, 2_000)] {
        let wait_ms = longest_wait_ms(advice_ms, ticket_ms, Some("r1-0"));
        assert!(
            wait_ms < 3_000,
            "advice of {advice_ms} ms: a small job waits for {wait_ms} ms"
        );
    }
}

/// Guards against a gang for which no part of its team's limit is reserved because another gang, which
/// no worker can run, comes before it.
#[test]
fn a_gang_behind_one_that_no_worker_can_run_starts_beside_small_tasks() {
    let mut state = desired(1, queue());
    state.teams[0].limit.cpu_milli = 12_000;
    let mut world = World::new(3, 12, state);
    world.run(3_000);
    for job in 1..40 {
        world.submit(0, job, vec![step(1, 1_000)]);
        world.run(80);
    }
    let hopeless = StepSpec {
        requirement: Some("none".into()),
        ..gang(12, 1_000)
    };
    world.submit(0, 100, vec![hopeless]);
    world.run(100);
    world.submit(0, 101, vec![gang(12, 1_000)]);
    for job in 200..400 {
        world.submit(0, job, vec![step(1, 1_000)]);
        world.run(80);
    }
    assert_eq!(starts_of(&world, 101), 12);
}
