//! Failures that operators of similar systems have reported: a paused leader, a hand-over, a restart of all
//! daemons after a worker left and a key was withdrawn.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    calls::{CallFault, CallKind, RandomCallFaults},
    desired, queue,
    seeds::{env_number, Rng},
    starts_of, step, World, KEY,
};
use pomelotide_core::cell::{ClientAnswer, JobState};

const DAEMONS: usize = 3;
const WORKERS: usize = 6;
/// How long a process is paused: longer than a leader's lease and a takeover.
const PAUSE_MS: u64 = 6_000;
/// The jobs that arrive while the leader is paused are from here on.
const LATER_JOBS: u64 = 100;

/// Returns how many orders to workers a daemon has logged since `from_ms`.
fn orders_of(world: &World, daemon: usize, from_ms: u64) -> usize {
    let is_order = |event: &str| event == "run_ordered" || event == "stop_ordered";
    let lines = world.lines.iter();
    lines
        .filter(|(at, own, line)| *at >= from_ms && *own == daemon && is_order(line.event))
        .count()
}

/// Submits a job every 200 ms at daemons that are not paused.
fn submit_jobs(world: &mut World, paused: usize, first: u64, span_ms: u64) {
    for job in 0..span_ms / 200 {
        let daemon = (paused + 1 + job as usize % (DAEMONS - 1)) % DAEMONS;
        world.submit(daemon, first + job, vec![step(3, 1_000)]);
        world.run(200);
    }
}

/// Guards against a leader that was paused and then acts on a lease that has run out meanwhile, while the
/// next leader acts too.
#[test]
fn a_leader_that_was_paused_orders_nothing_when_it_goes_on() {
    for begin_ms in [0, 7, 13, 29, 57, 111] {
        let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
        world.run(3_000 + begin_ms);
        let former = world.leader().unwrap();
        submit_jobs(&mut world, former, 1, 1_000);
        // A job whose record is on its way, and one whose starts are.
        world.submit(former, 50, vec![step(3, 1_000)]);
        world.run(begin_ms);
        world.pause(former);
        submit_jobs(&mut world, former, LATER_JOBS, PAUSE_MS);
        let resumed_at = world.now;
        world.resume(former);
        world.run(10);
        let orders = orders_of(&world, former, resumed_at);
        assert_eq!(orders, 0, "paused {begin_ms} ms after the last job");
        world.run(20_000);
        world.assert_once();
        for job in [1, 50, LATER_JOBS] {
            assert!(starts_of(&world, job) >= 3, "job {job} did not run");
        }
    }
}

/// Guards against a worker that has left, or a key that was withdrawn, in use again after a restart of all
/// daemons.
#[test]
fn a_worker_that_left_and_a_withdrawn_key_stay_out_of_use_after_a_restart() {
    let mut world = calm_world();
    world.submit(0, 1, vec![step(12, 1_000)]);
    world.run(500);
    let gone = world.workers.keys().next().unwrap().clone();
    world.crash_worker(&gone);
    let mut withdrawn = desired(2, queue());
    withdrawn.teams[0].keys = vec![pomelotide_core::KeyName::new("new-key")];
    world.store.put_state(withdrawn);
    for at in 0..DAEMONS {
        world.kill(at);
    }
    let before = world.workers[&gone].starts.len();
    for at in 0..DAEMONS {
        world.start(at);
    }
    world.run(4_000);
    let old = world.submit(1, 2, vec![step(1, 100)]);
    world.key = "new-key".into();
    let new = world.submit(1, 3, vec![step(20, 1_000)]);
    world.run(20_000);
    assert_eq!(world.answers[&old], ClientAnswer::BadKey, "key {KEY}");
    assert_eq!(world.answers[&new], ClientAnswer::Accepted);
    assert_eq!(starts_of(&world, 3), 20);
    assert_eq!(world.workers[&gone].starts.len(), before);
}

/// Guards against a restarted daemon that serves a withdrawn key before it has read a configuration.
#[test]
fn a_restarted_daemon_refuses_calls_until_it_has_read_the_configuration() {
    let mut world = calm_world();
    world.kill(1);
    world.start(1);
    let call = world.submit(1, 1, vec![step(1, 100)]);
    world.run(1);
    let answer = &world.answers[&call];
    assert!(matches!(answer, ClientAnswer::NotRun { .. }), "{answer:?}");
    world.run(3_000);
    assert_eq!(starts_of(&world, 1), 0);
}

/// Returns the number of waiting jobs that a daemon shows.
fn shown_count(world: &mut World, daemon: usize) -> ClientAnswer {
    let call = world.count_jobs(daemon);
    world.run(100);
    world.answers.remove(&call).unwrap()
}

/// Guards against accepted jobs that are not counted as waiting although no task of theirs has started: all
/// workers refuse their starts (MIXED).
#[test]
fn a_job_whose_starts_are_refused_counts_as_waiting() {
    let mut world = calm_world();
    for worker in world.workers.values_mut() {
        worker.refuses_starts = true;
    }
    for job in 1..5 {
        world.submit(0, job, vec![step(1, 1_000)]);
    }
    world.run(6_000);
    assert!(world.starts().is_empty());
    assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(4));
}

/// A fault of all starts; with `lost`, none is carried out.
fn fault_of_starts(lost: bool, answer_ms: u64) -> CallFault {
    CallFault {
        kind: CallKind::Start,
        worker: None,
        times: 1_000,
        lost,
        call_ms: 0,
        answer_ms,
    }
}

/// Returns a cell that has found its leader and its workers.
fn calm_world() -> World {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
    world.run(3_000);
    world
}

/// Kills the leader and waits for the next one; returns a daemon that runs.
fn replace_leader(world: &mut World) -> usize {
    let former = world.leader().unwrap();
    world.kill(former);
    let next = (former + 1) % DAEMONS;
    for _ in 0..200 {
        world.run(100);
        if world.leader().is_some() && world.is_ready(next) {
            world.run(1_000);
            return next;
        }
    }
    panic!("no leader after 20 s");
}

/// Guards against jobs at work that count as waiting, with the answers to their starts or without.
#[test]
fn a_job_at_work_does_not_count_as_waiting() {
    for answer_ms in [0, 60_000] {
        let mut world = World::new(DAEMONS, WORKERS, desired(1, queue()));
        world.run(3_000);
        world.call_faults = vec![fault_of_starts(false, answer_ms)];
        world.set_work_ms(20_000);
        for job in 1..5 {
            world.submit(0, job, vec![step(1, 1_000)]);
        }
        world.run(3_000);
        assert_eq!(world.starts().len(), 4, "answer after {answer_ms} ms");
        assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(0));
        world.assert_state(0, 1, JobState::Running);
    }
}

/// Guards against jobs that a next leader counts as started since they are placed on record, although their
/// starts were lost and their workers do not answer (MIXED).
#[test]
fn a_placed_job_that_never_started_counts_as_waiting_after_a_takeover() {
    let mut world = calm_world();
    world.call_faults = vec![fault_of_starts(true, 0)];
    for job in 1..5 {
        world.submit(0, job, vec![step(1, 1_000)]);
    }
    world.run(300);
    assert_eq!(world.count("run_ordered"), 4);
    world.silence_workers(true);
    let daemon = replace_leader(&mut world);
    assert!(world.starts().is_empty());
    assert_eq!(shown_count(&mut world, daemon), ClientAnswer::Count(4));
    world.call_faults.clear();
    world.silence_workers(false);
    world.run(20_000);
    assert_eq!(shown_count(&mut world, daemon), ClientAnswer::Count(0));
    for job in 1..5 {
        world.assert_state(daemon, job, JobState::Completed);
    }
}

/// Guards against a job that callers see as running and, under a next leader that does not reach its worker,
/// as pending again.
#[test]
fn a_running_job_stays_running_for_callers_after_a_takeover() {
    let mut world = calm_world();
    world.set_work_ms(60_000);
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(1_000);
    world.assert_state(0, 1, JobState::Running);
    world.silence_workers(true);
    let daemon = replace_leader(&mut world);
    world.assert_state(daemon, 1, JobState::Running);
    world.silence_workers(false);
    world.run(1_000);
    world.assert_state(daemon, 1, JobState::Running);
    assert_eq!(shown_count(&mut world, daemon), ClientAnswer::Count(0));
}

/// Guards against a running job that is shown as pending while no leader answers, or a next one still loads.
#[test]
fn a_running_job_is_not_shown_as_pending_during_a_takeover() {
    let mut world = calm_world();
    world.set_work_ms(60_000);
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(1_000);
    world.assert_state(0, 1, JobState::Running);
    let former = world.leader().unwrap();
    world.kill(former);
    for _ in 0..40 {
        world.assert_state((former + 1) % DAEMONS, 1, JobState::Running);
    }
    assert!(world.leader().is_some());
}

/// Guards against a job that has begun and counts as waiting since its start is known by its end only.
#[test]
fn a_job_whose_start_is_known_by_an_end_only_does_not_count_as_waiting() {
    let mut world = calm_world();
    world.call_faults = vec![fault_of_starts(false, 60_000)];
    world.set_work_ms(1);
    let mut last = step(1, 90_000);
    last.after = vec![0];
    world.submit(0, 1, vec![step(1, 1_000), last]);
    world.run(4_000);
    assert_eq!(starts_of(&world, 1), 1);
    assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(0));
    world.assert_state(0, 1, JobState::Running);
}

/// Guards against a job that waits between two steps and, after a takeover, counts as waiting for its first
/// start and is shown as pending.
#[test]
fn a_job_with_recorded_progress_stays_running_after_a_takeover() {
    let mut world = calm_world();
    let mut last = step(1, 1_000);
    last.after = vec![0];
    world.submit(0, 1, vec![step(1, 1_000), last]);
    world.run(500);
    for at in 0..WORKERS {
        world.set_draining(at, true);
    }
    world.run(2_000);
    assert_eq!(world.starts().len(), 1);
    let daemon = replace_leader(&mut world);
    world.assert_state(daemon, 1, JobState::Running);
    assert_eq!(shown_count(&mut world, daemon), ClientAnswer::Count(0));
}

/// Guards against a count of waiting jobs that drifts: jobs that leave it twice (for each start, for a start
/// and an end, when cancelled, after a takeover) hide one that waits.
#[test]
fn each_job_leaves_the_count_of_waiting_jobs_once() {
    let mut world = calm_world();
    // No worker has room for it.
    world.submit(0, 99, vec![step(1, 90_000)]);
    world.submit(0, 1, vec![step(6, 1_000)]);
    world.submit(0, 2, vec![step(2, 1_000)]);
    world.run(500);
    assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(1), "begun");
    world.cancel(0, 2);
    world.run(4_000);
    world.assert_state(0, 1, JobState::Completed);
    assert_eq!(shown_count(&mut world, 0), ClientAnswer::Count(1), "ended");
    for worker in world.workers.values_mut() {
        worker.refuses_starts = true;
    }
    world.submit(0, 3, vec![step(2, 1_000)]);
    world.submit(0, 4, vec![step(2, 1_000)]);
    world.run(2_000);
    assert_eq!(
        shown_count(&mut world, 0),
        ClientAnswer::Count(3),
        "refused"
    );
    world.cancel(0, 3);
    world.run(2_000);
    assert_eq!(
        shown_count(&mut world, 0),
        ClientAnswer::Count(2),
        "cancelled"
    );
    let daemon = replace_leader(&mut world);
    assert_eq!(
        shown_count(&mut world, daemon),
        ClientAnswer::Count(2),
        "next"
    );
    for worker in world.workers.values_mut() {
        worker.refuses_starts = false;
    }
    world.run(6_000);
    world.assert_state(daemon, 4, JobState::Completed);
    assert_eq!(
        shown_count(&mut world, daemon),
        ClientAnswer::Count(1),
        "last"
    );
}

/// How long a job may have been accepted before it has to count as waiting.
const VISIBLE_MS: u64 = 5_000;

/// The jobs of a drawn case: number, call and time of the submission.
type Submitted = Vec<(u64, u64, u64)>;

/// Returns how many jobs were accepted some time ago and have not begun.
fn count_overdue(world: &World, submitted: &Submitted) -> u64 {
    let is_overdue = |(job, call, at): &&(u64, u64, u64)| {
        let is_accepted = world.answers.get(call) == Some(&ClientAnswer::Accepted);
        is_accepted && world.now >= at + VISIBLE_MS && starts_of(world, *job) == 0
    };
    submitted.iter().filter(is_overdue).count() as u64
}

/// Draws which workers refuse starts and which are silent.
fn draw_workers(world: &mut World, rng: &mut Rng) {
    let (refusing, silent) = (rng.below(4), rng.below(4));
    for worker in world.workers.values_mut() {
        worker.refuses_starts = rng.below(3) < refusing;
        worker.silent = rng.below(6) < silent;
    }
}

/// Returns the most jobs that a daemon's count hid in a drawn case.
fn play_hidden_jobs(seed: u64) -> Result<u64, String> {
    let mut rng = Rng(seed);
    let mut world = calm_world();
    world.random_call_faults = Some(RandomCallFaults {
        seed,
        lost_permille: rng.below(200),
        late_permille: rng.below(200),
        max_late_ms: 3_000,
        slow_permille: rng.below(200),
        max_answer_ms: 3_000,
    });
    let (mut submitted, mut seen) = (Submitted::new(), 0);
    for round in 0..60 {
        if rng.one_in(4) {
            draw_workers(&mut world, &mut rng);
        }
        let former = world.leader().filter(|_| rng.one_in(12));
        former.into_iter().for_each(|at| world.kill(at));
        let daemon = rng.below(DAEMONS as u64) as usize;
        if world.is_running(daemon) && world.is_ready(daemon) {
            let steps = vec![step(1 + rng.below(3) as u32, 1_000)];
            let call = world.submit(daemon, round, steps);
            submitted.push((round, call, world.now));
        }
        world.run(400);
        let overdue = count_overdue(&world, &submitted);
        for at in (0..DAEMONS).filter(|at| Some(*at) != former) {
            let call = world.count_jobs(at);
            world.run(20);
            let begun_meanwhile = overdue - count_overdue(&world, &submitted).min(overdue);
            if let Some(ClientAnswer::Count(count)) = world.answers.get(&call) {
                seen = seen.max(overdue);
                if (count + begun_meanwhile) * 2 < overdue {
                    return Err(format!("round {round}: {count} shown, {overdue} waiting"));
                }
            }
        }
        former.into_iter().for_each(|at| world.start(at));
    }
    world.random_call_faults = None;
    for worker in world.workers.values_mut() {
        (worker.refuses_starts, worker.silent) = (false, false);
    }
    world.run(40_000);
    match shown_count(&mut world, 0) {
        ClientAnswer::Count(0) => Ok(seen),
        answer => Err(format!("{answer:?} at the end")),
    }
}

/// Guards against a count that hides accepted jobs that have not begun (MIXED), or that drifts, in drawn
/// series of refused, lost and late starts, silent workers and takeovers.
#[test]
fn drawn_faults_of_starts_hide_no_waiting_jobs() {
    let count = env_number("SEEDS").unwrap_or(20);
    let first = env_number("SEED").unwrap_or(0);
    let played: Vec<_> = (first..first + count)
        .map(|seed| (seed, play_hidden_jobs(seed)))
        .collect();
    let broken: Vec<_> = played
        .iter()
        .filter(|(_, result)| result.is_err())
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {count}: {broken:#?}",
        broken.len()
    );
    let had_waiting = |(_, result): &&(u64, Result<u64, String>)| *result != Ok(0);
    assert!(
        played.iter().any(|played| had_waiting(&played)),
        "no job waited"
    );
}
