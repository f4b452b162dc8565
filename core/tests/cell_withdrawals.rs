//! Jobs that are cancelled before they are recorded, and late writes of jobs, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, queue, starts_of, step, with_fill_queue, World, WriteKind, KEY, OTHER_KEY,
};
use pomelotide_core::cell::{ClientAnswer, JobState, RowValue, Table, TermRow};

/// How long jobs that ended, and cancellations of jobs that were never recorded, are kept, with the time
/// until they are removed.
const RETENTION_MS: u64 = 130_000;

/// Returns a cell with the two daemons that do not lead.
fn world() -> (World, usize, usize) {
    let mut world = World::new(3, 4, with_fill_queue(desired(1, queue())));
    world.run(3_000);
    let leader = world.leader().unwrap();
    let mut others = (0..3).filter(|daemon| *daemon != leader);
    let (first, second) = (others.next().unwrap(), others.next().unwrap());
    (world, first, second)
}

/// Hands job 1 in at a daemon; it has to be accepted and to complete.
fn assert_job_is_served(world: &mut World, daemon: usize, other: usize) {
    let call = world.submit(daemon, 1, vec![step(2, 1_000)]);
    world.run(5_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    world.assert_state(other, 1, JobState::Completed);
}

/// Hands job 1 in at a daemon whose write is carried out 2.5 s late, and cancels it at another after
/// `wait_ms`.
fn world_with_late_write(wait_ms: u64) -> (World, usize) {
    let (mut world, first, second) = world();
    world.late_kind = WriteKind::Of(first);
    world.late_writes = 1;
    world.submit(first, 1, vec![step(2, 1_000)]);
    world.run(wait_ms);
    let call = world.cancel(second, 1);
    world.run(500);
    let answer = world.answers.get(&call);
    let is_acknowledged = matches!(answer, Some(ClientAnswer::NoJob | ClientAnswer::Cancelled));
    assert!(is_acknowledged, "{answer:?}");
    (world, second)
}

/// Guards against a job that runs although its cancellation was answered, because the write that records
/// it was carried out later (UNASKED; review/3).
#[test]
fn a_job_that_was_cancelled_before_its_record_never_runs() {
    for wait_ms in [20, 500, 1_200, 1_480] {
        let (mut world, second) = world_with_late_write(wait_ms);
        world.run(10_000);
        assert_eq!(starts_of(&world, 1), 0, "cancelled after {wait_ms} ms");
        assert_eq!(world.state(second, 1), ClientAnswer::NoJob);
    }
}

/// Guards against the same where the leader changes before the late write.
#[test]
fn a_new_leader_does_not_run_a_job_that_was_cancelled_before_its_record() {
    let (mut world, second) = world_with_late_write(500);
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(10_000);
    assert_eq!(starts_of(&world, 1), 0);
    assert_eq!(world.state(second, 1), ClientAnswer::NoJob);
}

/// Guards against a cancelled job that is handed in again by a retry, and against an id that stays
/// cancelled for ever.
#[test]
fn a_cancelled_id_is_refused_until_the_retention_time_is_over() {
    let (mut world, first, second) = world();
    world.cancel(second, 1);
    world.run(200);
    let call = world.submit(first, 1, vec![step(2, 1_000)]);
    world.run(2_000);
    let answer = world.answers.get(&call);
    assert!(
        matches!(answer, Some(ClientAnswer::NotRun { .. })),
        "{answer:?}"
    );
    world.run(RETENTION_MS);
    assert_eq!(starts_of(&world, 1), 0);
    assert_job_is_served(&mut world, first, second);
}

/// Guards against a team whose job is refused because another team has cancelled an id of its own that
/// is the same.
#[test]
fn a_cancellation_does_not_end_the_job_of_another_team() {
    let (mut world, first, second) = world();
    world.key = OTHER_KEY.into();
    world.cancel(second, 1);
    world.run(200);
    world.key = KEY.into();
    assert_job_is_served(&mut world, first, second);
}

/// Guards against a cancellation that is answered as if no job existed while its record is there and the
/// leader does not know of it.
#[test]
fn a_recorded_job_is_cancelled_also_where_the_leader_learns_of_it_late() {
    for wait_ms in (2_400..3_600).step_by(50) {
        let (mut world, first, second) = world();
        world.late_kind = WriteKind::Of(first);
        world.late_writes = 1;
        world.cut(first, true);
        world.submit(first, 1, vec![step(2, 1_000)]);
        world.run(wait_ms);
        let call = world.cancel(second, 1);
        world.run(600);
        let answer = world.answers.get(&call).cloned();
        let begun = starts_of(&world, 1);
        world.run(10_000);
        let is_acknowledged = matches!(answer, Some(ClientAnswer::NoJob | ClientAnswer::Cancelled));
        if is_acknowledged {
            assert_eq!(
                starts_of(&world, 1),
                begun,
                "after {wait_ms} ms: {answer:?}"
            );
        }
    }
}

/// Guards against a cancellation that is written again and again where another writer's row takes the
/// place of the job's.
#[test]
fn a_cancellation_is_refused_where_the_record_can_not_be_read() {
    let (mut world, _, second) = world();
    for part in ["0", "1", "2", "3"] {
        let row = RowValue::Term(TermRow::default());
        let key = format!("{:016x}", 1);
        world.store.put_row(Table::Jobs, part, &key, row);
    }
    let call = world.cancel(second, 1);
    world.run(1_000);
    let answer = world.answers.get(&call);
    let is_refused = matches!(answer, Some(ClientAnswer::NotRun { .. }));
    assert!(is_refused, "{answer:?}");
}

/// Guards against an accepted job whose record is removed by a late removal of an earlier job with the
/// same id (LOST).
#[test]
fn a_late_removal_of_an_ended_job_does_not_remove_a_new_one() {
    let (mut world, first, second) = world();
    world.submit(first, 1, vec![step(2, 1_000)]);
    world.run(3_000);
    world.assert_state(second, 1, JobState::Completed);
    world.late_kind = WriteKind::Removal;
    world.late_writes = 1;
    world.late_write_ms = 9_000;
    let mut waited_ms = 0;
    while world.late_writes > 0 {
        world.run(100);
        waited_ms += 100;
        assert!(waited_ms < RETENTION_MS);
    }
    // The next removal takes effect at once.
    world.run(6_000);
    assert_eq!(world.state(second, 1), ClientAnswer::NoJob);
    for worker in world.workers.values_mut() {
        worker.work_ms = 20_000;
    }
    let call = world.submit(first, 1, vec![step(2, 1_000)]);
    world.run(5_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(40_000);
    let leader = world.leader().unwrap();
    world.assert_state(leader, 1, JobState::Completed);
}
