//! Admission in a cell under load, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, queue, starts_of, step, with_fill_queue, World, WriteKind, KEY, OTHER_KEY,
};
use pomelotide_core::{
    cell::{ClientAnswer, JobState},
    Millis,
};

const WORKERS: usize = 10;
/// The first job of the flood.
const FLOOD: u64 = 10_000;

/// Returns a cell of ten workers of four cores, with the two daemons that do not lead.
fn world() -> (World, usize, usize) {
    let mut world = World::with_admission(3, WORKERS, with_fill_queue(desired(1, queue())));
    world.run(3_000);
    let (first, second) = others(&world);
    (world, first, second)
}

fn others(world: &World) -> (usize, usize) {
    let leader = world.leader().unwrap();
    let mut others = (0..3).filter(|daemon| *daemon != leader);
    (others.next().unwrap(), others.next().unwrap())
}

/// Submits a job a millisecond of the team "growers", each of a core for a second: 25 times what the
/// fleet does. Returns the calls.
fn flood(world: &mut World, daemon: usize, from: u64, jobs: u64) -> Vec<u64> {
    world.key = KEY.into();
    let submit = |at: u64| {
        let call = world.submit(daemon, from + at, vec![step(1, 1_000)]);
        world.run(1);
        call
    };
    (0..jobs).map(submit).collect()
}

/// Submits a job a tenth of a second of the team "others", which is within its share, and returns how
/// many of them complete.
fn submit_modest_jobs(world: &mut World, daemon: usize, from: u64, jobs: u64) -> Vec<u64> {
    world.key = OTHER_KEY.into();
    let submit = |at: u64| {
        let call = world.submit_to("/fill/", daemon, from + at, vec![step(1, 1_000)]);
        world.run(100);
        call
    };
    (0..jobs).map(submit).collect()
}

fn count(world: &World, calls: &[u64], is_counted: impl Fn(&ClientAnswer) -> bool) -> usize {
    let answers = calls.iter().filter_map(|call| world.answers.get(call));
    answers.filter(|answer| is_counted(answer)).count()
}

fn is_refused(answer: &ClientAnswer) -> bool {
    matches!(answer, ClientAnswer::NotRun { .. })
}

/// Load: one team submits 25 times what the fleet does, another one a quarter of it. Guards against
/// refusals of the second one, and against accepted jobs of the flood that do not end.
#[test]
fn a_team_within_its_share_is_served_while_another_one_floods_the_cell() {
    let (mut world, first, second) = world();
    let flooding = flood(&mut world, first, FLOOD, 3_000);
    let modest = submit_modest_jobs(&mut world, second, 1, 50);
    world.run(60_000);
    assert_eq!(
        count(&world, &modest, |own| *own == ClientAnswer::Accepted),
        50
    );
    let accepted = count(&world, &flooding, |own| *own == ClientAnswer::Accepted);
    let refused = count(&world, &flooding, is_refused);
    assert_eq!(
        accepted + refused,
        3_000,
        "{accepted} accepted, {refused} refused"
    );
    assert!((300..1_500).contains(&accepted), "{accepted} accepted");
    for (at, call) in flooding.iter().enumerate() {
        let starts = starts_of(&world, FLOOD + at as u64);
        let is_accepted = world.answers[call] == ClientAnswer::Accepted;
        assert_eq!(starts, usize::from(is_accepted), "job {at}");
    }
    world.assert_once();
}

/// Load: a flood while the leader is killed. Guards against refusals by the tables of an ended leader, and
/// against a new leader that does not know the backlog of the former one.
#[test]
fn a_flood_is_refused_again_after_a_takeover() {
    let (mut world, first, _) = world();
    flood(&mut world, first, FLOOD, 1_500);
    let refused = world.count("job_refused");
    assert!(refused > 100, "{refused}");
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(1_600);
    let calls = flood(&mut world, first, FLOOD + 5_000, 50);
    world.run(100);
    let is_known = world.leader().is_some();
    if !is_known {
        assert_eq!(
            count(&world, &calls, is_refused),
            0,
            "refused without a leader"
        );
    }
    world.run(5_000);
    let calls = flood(&mut world, first, FLOOD + 6_000, 1_500);
    world.run(1_000);
    assert!(count(&world, &calls, is_refused) > 100);
    assert_backlog_is_exact(&world);
    world.run(60_000);
    world.assert_once();
    assert_backlog_is_exact(&world);
}

fn assert_backlog_is_exact(world: &World) {
    let (kept, counted) = world.waiting_work();
    assert_eq!(kept, counted, "the work that is kept and that of all jobs");
}

/// Load: a flood, with workers that restart. Guards against a backlog that is wrong after failed runs, cancellations and restarts of workers.
#[test]
fn the_backlog_equals_a_full_count() {
    let (mut world, first, second) = world();
    flood(&mut world, first, FLOOD, 300);
    assert_backlog_is_exact(&world);
    for at in 0..20 {
        world.cancel(second, FLOOD + at * 10);
    }
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in &ids[..4] {
        world.restart_worker(id);
        world.run(500);
        assert_backlog_is_exact(&world);
    }
    assert!(world.waiting_work().0 > 0);
    world.run(60_000);
    assert_eq!(world.waiting_work(), (0, 0));
}

/// Load: 100 and 10,000 waiting jobs, whose results are useful for long. Guards against a cost of the
/// table that grows with the backlog.
#[test]
fn the_cost_of_the_table_does_not_grow_with_the_backlog() {
    let operations = |backlog: u64| {
        let mut patient = queue();
        patient.target_latency_ms = Millis(10_000_000);
        let mut world = World::with_admission(3, WORKERS, with_fill_queue(desired(1, patient)));
        world.set_work_ms(600_000);
        world.run(3_000);
        let (first, _) = others(&world);
        for at in 0..backlog {
            world.submit(first, FLOOD + at, vec![step(1, 1_000)]);
            if at % 16 == 0 {
                world.run(10);
            }
        }
        world.run(5_000);
        assert!(world.waiting_work().0 >= (backlog - 40) * 1_000_000);
        let before = world.backlog_operations();
        let ids: Vec<_> = world.workers.keys().cloned().collect();
        for id in &ids {
            world.restart_worker(id);
            world.run(1_000);
        }
        world.backlog_operations() - before
    };
    let (few, many) = (operations(100), operations(10_000));
    assert!(few > 0);
    assert!(
        2 * many <= 3 * few,
        "{few} operations with 100 waiting jobs, {many} with 10,000"
    );
}

/// Load: a flood, with a submission whose write is carried out seconds later and whose client comes again
/// at another daemon. Guards against a job that runs although all that its client was told is that it does
/// not.
#[test]
fn a_refused_job_does_not_run_by_an_earlier_attempt_that_is_recorded_late() {
    for (wait_ms, is_killed) in [(900, false), (900, true), (1_300, false), (1_480, false)] {
        let (mut world, first, second) = world();
        world.late_kind = WriteKind::Of(first);
        world.late_writes = 1;
        world.late_write_ms = 6_000;
        let earlier = world.submit(first, 7, vec![step(1, 1_000)]);
        flood(&mut world, second, FLOOD, wait_ms);
        if is_killed {
            world.kill(first);
        }
        let call = world.submit(second, 7, vec![step(1, 1_000)]);
        world.run(1_000);
        let answer = world.answers.get(&call);
        assert!(
            answer.is_some_and(is_refused),
            "after {wait_ms} ms: {answer:?}"
        );
        world.run(60_000);
        let earlier = world.answers.get(&earlier);
        assert_eq!(earlier.is_some_and(is_refused), !is_killed, "{earlier:?}");
        assert_eq!(starts_of(&world, 7), 0, "after {wait_ms} ms");
    }
}

/// Load: a flood. Guards against a refused job that can't be submitted again, or runs twice.
#[test]
fn a_refused_job_is_accepted_when_it_comes_back() {
    let (mut world, first, second) = world();
    let calls = flood(&mut world, first, FLOOD, 1_500);
    world.run(500);
    let refused = calls
        .iter()
        .position(|call| is_refused(&world.answers[call]));
    let job = FLOOD + refused.unwrap() as u64;
    assert_eq!(starts_of(&world, job), 0);
    world.run(40_000);
    let call = world.submit(second, job, vec![step(1, 1_000)]);
    world.run(3_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    world.assert_state(first, job, JobState::Completed);
    // The same submission once more is one that was accepted.
    let call = world.submit(first, job, vec![step(1, 1_000)]);
    world.run(1_000);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    assert_eq!(starts_of(&world, job), 1);
}

/// Load: a flood. Guards against a refusal of a job that is recorded, where its caller lost the answer.
#[test]
fn a_retry_of_an_accepted_job_is_not_refused() {
    let (mut world, first, second) = world();
    let call = world.submit(first, 7, vec![step(1, 1_000)]);
    world.run(100);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
    flood(&mut world, second, FLOOD, 1_500);
    let call = world.submit(second, 7, vec![step(1, 1_000)]);
    world.run(200);
    assert_eq!(world.answers.get(&call), Some(&ClientAnswer::Accepted));
}

/// Load: a flood, with admission switched off. Guards against refusals that the operator does not want.
#[test]
fn without_admission_nothing_is_refused() {
    let (mut world, _, _) = world();
    world.admission = false;
    for at in 0..3 {
        world.kill(at);
        world.start(at);
    }
    world.run(5_000);
    let (first, _) = others(&world);
    let calls = flood(&mut world, first, FLOOD, 1_500);
    world.run(1_000);
    assert_eq!(count(&world, &calls, is_refused), 0);
}
