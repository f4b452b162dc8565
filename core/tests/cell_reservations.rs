//! What a step needs at one moment and gets bit by bit, in virtual time: a stored placement, valid
//! tickets, a part of its team's limit.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice, starts_of, step, with_fill_queue, FakeWorker, World,
    OTHER_KEY,
};
use pomelotide_core::{
    cell::{ClientAnswer, DesiredState, Event, JobState, StepSpec},
    Millis,
};

/// The duration of a call for advice, in milliseconds.
const ADVICE_MS: u64 = 550;
/// How long a ticket is valid; shorter than the slow store takes.
const TICKET_MS: u64 = 1_100;
/// How long a call to the slow store takes in each direction.
const SLOW_STORE_MS: u64 = 500;

/// Returns a cell of 40 workers that check the tickets.
fn world_with_short_tickets() -> World {
    let queue = queue_with_advice(ADVICE_MS * 1_000, 0, TICKET_MS);
    let mut world = World::new(3, 40, with_fill_queue(desired(1, queue)));
    world.advice_ms = ADVICE_MS;
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
    }
    world.run(3_000);
    world
}

/// Submits a job to a cell whose store becomes slow, while jobs of another queue arrive all the time.
fn world_with_slow_store(steps: Vec<StepSpec>) -> World {
    let mut world = world_with_short_tickets();
    run_with_fill_jobs(&mut world, 100, 4_000);
    world.submit(0, 1, steps);
    run_with_fill_jobs(&mut world, 200, 200);
    world.store_ms = SLOW_STORE_MS;
    world
}

/// Runs for a span, in which a small job of another queue arrives every 200 ms.
fn run_with_fill_jobs(world: &mut World, first_job: u64, span_ms: u64) {
    for at in 0..span_ms / 200 {
        world.submit_to("/fill/", 0, first_job + at, vec![step(1, 1_000)]);
        world.run(200);
    }
}

/// Runs until a condition holds, for at most `max_ms`.
fn run_until(world: &mut World, max_ms: u64, holds: impl Fn(&World) -> bool) {
    let begin = world.now;
    while !holds(world) {
        let waited_ms = world.now - begin;
        assert!(waited_ms < max_ms, "not after {waited_ms} ms");
        world.run(25);
    }
}

/// Guards against single tasks that are placed and dropped again and again because their tickets
/// expire while their placements wait for a slow store.
#[test]
fn single_tasks_start_although_the_store_answers_after_a_second() {
    let mut world = world_with_slow_store(vec![step(12, 4_000)]);
    run_with_fill_jobs(&mut world, 300, 16_000);
    let dropped = world.count("placement_dropped");
    assert_eq!((starts_of(&world, 1), dropped), (12, 0));
    assert_eq!(world.count("start_refused"), 0);
    world.assert_once();
}

/// Guards against calls for tickets that are repeated as long as the store is down, although no start
/// can be sent.
#[test]
fn tickets_are_not_renewed_for_the_whole_outage_of_the_store() {
    let mut world = world_with_short_tickets();
    world.submit(0, 1, vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.advice_calls > 0);
    for at in 0..3 {
        world.silence_store(at, true);
    }
    world.run(30_000);
    let calls = world.advice_calls;
    assert!(calls <= 4, "{calls} calls");
    for at in 0..3 {
        world.silence_store(at, false);
    }
    world.run(15_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Returns a cell in which a gang is placed, its placement is stored, and its tickets have expired
/// while the advice service does not answer.
fn world_with_waiting_starts() -> World {
    let mut world = world_with_slow_store(vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.count("gang_placed") > 0);
    world.advice_lost_at = world.leader();
    world.advice_ms = 60_000;
    run_until(&mut world, 4_000, |world| world.count("start_waiting") > 0);
    assert_eq!(starts_of(&world, 1), 0);
    world
}

/// Guards against a gang that occupies its workers for as long as no tickets are to be had (LOST for
/// the jobs of others).
#[test]
fn starts_that_get_no_tickets_release_their_workers() {
    let mut world = world_with_waiting_starts();
    world.store_ms = 10;
    world.run(100);
    world.submit_to("/fill/", 0, 2, vec![step(40, 4_000)]);
    world.run(500);
    assert_eq!(starts_of(&world, 2), 28, "the gang occupies 12 workers");
    run_until(&mut world, 10_000, |world| starts_of(world, 2) == 40);
    assert_eq!(starts_of(&world, 1), 0);
}

/// Guards against a gang whose members start after it was cancelled, when the tickets that it waited
/// for arrive (UNASKED), and against room that stays occupied.
#[test]
fn a_gang_that_is_cancelled_while_it_waits_for_tickets_starts_nothing() {
    let mut world = world_with_waiting_starts();
    let call = world.cancel(0, 1);
    world.run(3_000);
    let answer = world.answers.remove(&call);
    assert!(answer.is_some(), "the cancellation is not answered");
    world.advice_ms = ADVICE_MS;
    world.advice_lost_at = None;
    world.store_ms = 10;
    world.run(3_000);
    assert_eq!(starts_of(&world, 1), 0);
    world.submit_to("/fill/", 0, 2, vec![step(40, 4_000)]);
    world.run(1_000);
    assert_eq!(starts_of(&world, 2), 40);
    assert_eq!(world.state(0, 1), ClientAnswer::State(JobState::Cancelled));
}

/// Guards against a gang that starts without a member when a worker drains while the tickets are
/// renewed (GANG), or that is not placed again.
#[test]
fn a_gang_is_placed_again_if_a_worker_drains_while_its_tickets_are_renewed() {
    let mut world = world_with_slow_store(vec![gang(12, 4_000)]);
    run_until(&mut world, 2_000, |world| world.count("gang_placed") > 0);
    world.advice_ms = 1_200;
    run_until(&mut world, 4_000, |world| world.count("start_waiting") > 0);
    let is_drained = |own: &FakeWorker| own.number < 20;
    let numbers: Vec<usize> = world
        .workers
        .values()
        .filter(|own| is_drained(own))
        .map(|own| own.number)
        .collect();
    for at in numbers {
        world.set_draining(at, true);
    }
    world.store_ms = 10;
    world.advice_ms = ADVICE_MS;
    world.run(10_000);
    assert_eq!(world.count("placement_dropped"), 1);
    assert_eq!(starts_of(&world, 1), 12);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Guards against a gang that is started by the next leader and, when its tickets arrive, by the
/// former one (TWICE), or by neither of them.
#[test]
fn a_gang_that_waits_for_tickets_starts_once_when_the_leader_changes() {
    let mut world = world_with_waiting_starts();
    let leader = world.leader().unwrap();
    world.deliver_event(leader, Event::Stop);
    world.advice_ms = ADVICE_MS;
    world.advice_lost_at = None;
    world.store_ms = 10;
    world.run(20_000);
    let next = world.leader().unwrap();
    assert_ne!(next, leader);
    assert_eq!(starts_of(&world, 1), 12);
    world.assert_state(next, 1, JobState::Completed);
    world.assert_once();
}

/// The limit of the team in the tests of limits, in thousandths of a core: 15 tasks of [`TASK_CPU_MILLI`].
const LIMIT_CPU_MILLI: u64 = 60_000;
/// What a task needs in these tests.
const TASK_CPU_MILLI: u64 = 4_000;
/// The number of the first small job.
const FIRST_SMALL_JOB: u64 = 100;
/// The time between two small jobs.
const SMALL_JOB_INTERVAL_MS: u64 = 250;
/// A job that could start must not wait longer than this while its team uses less than half of its
/// limit.
const MAX_UNDERUSE_WAIT_MS: u64 = 3_000;

/// Returns a cell of 30 workers whose team "growers" has a limit.
fn world_with_limit(limit_cpu_milli: u64) -> World {
    start_world(state_with_limit(limit_cpu_milli))
}

fn state_with_limit(limit_cpu_milli: u64) -> DesiredState {
    let mut state = desired(1, queue_with_advice(ADVICE_MS * 1_000, 0, 2_000));
    state.teams[0].limit.cpu_milli = limit_cpu_milli;
    with_fill_queue(state)
}

fn start_world(state: DesiredState) -> World {
    let mut world = World::new(3, 30, state);
    world.advice_ms = ADVICE_MS;
    world.run(3_000);
    world
}

/// Submits a small job to the limited team every [`SMALL_JOB_INTERVAL_MS`] for a span. Asserts that the
/// team never exceeds its limit (QUOTA). Returns the time of each submission.
fn run_with_small_jobs(world: &mut World, first: u64, span_ms: u64, limit: usize) -> Vec<u64> {
    let mut submitted = Vec::new();
    for at in 0..span_ms / SMALL_JOB_INTERVAL_MS {
        submitted.push(world.now);
        world.submit_to("/fill/", 0, first + at, vec![step(1, TASK_CPU_MILLI)]);
        world.run(SMALL_JOB_INTERVAL_MS);
        let running: usize = world.workers.values().map(FakeWorker::running).sum();
        assert!(running <= limit, "{running} tasks run, {limit} may");
    }
    submitted
}

/// Returns the longest time that a small job has waited for its start.
fn longest_wait_ms(world: &World, first: u64, submitted: &[u64]) -> u64 {
    let starts = world.starts();
    let waits = (first..).zip(submitted).map(|(job, begin)| {
        let name = format!("{job:016x}");
        let start = starts.iter().find(|start| start.1.starts_with(&name));
        start.map_or(world.now, |start| start.3) - begin
    });
    waits.max().unwrap()
}

/// Starts a task of the limited team that runs for `work_ms`; all later tasks run for a second.
fn start_long_task(world: &mut World, work_ms: u64) {
    for worker in world.workers.values_mut() {
        worker.work_ms = work_ms;
    }
    world.submit_to("/fill/", 0, 2, vec![step(1, TASK_CPU_MILLI)]);
    world.run(200);
    assert_eq!(starts_of(world, 2), 1);
    for worker in world.workers.values_mut() {
        worker.work_ms = 1_000;
    }
}

/// Guards against small tasks that never start because their team's whole limit is reserved for a gang
/// that can't start either (LOST), and against a gang that does not start once it can.
#[test]
fn small_tasks_start_while_a_gang_waits_for_the_whole_limit() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    start_long_task(&mut world, 40_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    let submitted = run_with_small_jobs(&mut world, FIRST_SMALL_JOB, 36_000, 15);
    assert_eq!(starts_of(&world, 1), 0);
    world.run(2_500);
    let waited_ms = longest_wait_ms(&world, FIRST_SMALL_JOB, &submitted);
    assert!(waited_ms < MAX_UNDERUSE_WAIT_MS, "{waited_ms} ms");
    run_with_small_jobs(&mut world, 1_000, 20_000, 15);
    assert_eq!(starts_of(&world, 1), 15);
    world.assert_once();
}

/// Guards against a gang that never starts because small tasks that run for seconds use over half of
/// its team's limit.
#[test]
fn a_gang_starts_beside_small_tasks_that_use_half_of_the_limit() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    for worker in world.workers.values_mut() {
        worker.work_ms = 2_500;
    }
    run_with_small_jobs(&mut world, FIRST_SMALL_JOB, 4_000, 15);
    let running: usize = world.workers.values().map(FakeWorker::running).sum();
    assert!((9..=11).contains(&running), "{running} tasks run");
    world.submit(0, 1, vec![gang(8, TASK_CPU_MILLI)]);
    run_with_small_jobs(&mut world, 1_000, 16_000, 15);
    assert_eq!(starts_of(&world, 1), 8);
    world.assert_once();
}

/// Guards against a gang that never starts because the part of the limit that is reserved for it is
/// released before its tickets arrive.
#[test]
fn a_gang_whose_tickets_take_long_starts_beside_small_tasks_of_its_team() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    world.advice_ms = 1_300;
    run_with_small_jobs(&mut world, FIRST_SMALL_JOB, 2_000, 15);
    world.submit(0, 1, vec![gang(12, TASK_CPU_MILLI)]);
    run_with_small_jobs(&mut world, 1_000, 18_000, 15);
    assert_eq!(starts_of(&world, 1), 12);
}

/// Guards against a task that never starts because it needs most of its team's limit and small tasks
/// keep using a part of it (LOST: the team uses less than half of its limit).
#[test]
fn a_task_that_needs_most_of_the_limit_starts_beside_small_tasks_of_its_team() {
    let mut world = world_with_limit(4_500);
    let small = |world: &mut World, at: u64| {
        world.submit_to("/fill/", 0, FIRST_SMALL_JOB + at, vec![step(1, 400)]);
        world.run(SMALL_JOB_INTERVAL_MS);
    };
    for at in 0..72 {
        small(&mut world, at);
        if at == 8 {
            world.submit_to("/fill/", 0, 1, vec![step(1, 4_000)]);
        }
    }
    assert_eq!(starts_of(&world, 1), 1);
}

/// Guards against a task that never starts because smaller tasks use over half of its team's limit and
/// leave too little for it.
#[test]
fn a_task_starts_beside_smaller_tasks_that_use_most_of_the_limit() {
    let mut world = world_with_limit(10_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = 2_000;
    }
    for at in 0..72 {
        world.submit_to("/fill/", 0, FIRST_SMALL_JOB + at, vec![step(1, 1_000)]);
        if at == 12 {
            world.submit_to("/fill/", 0, 1, vec![step(1, 4_000)]);
        }
        world.run(SMALL_JOB_INTERVAL_MS);
    }
    assert_eq!(starts_of(&world, 1), 1);
}

/// Guards against late gangs that are placed before work which can still end in time, while there is
/// more of that than the limit allows.
#[test]
fn a_late_gang_reserves_nothing_while_the_team_has_too_much_work_in_time() {
    let mut state = state_with_limit(LIMIT_CPU_MILLI);
    for queue in &mut state.queues {
        if queue.path_prefix == "/fill/" {
            queue.target_latency_ms = Millis(60_000);
        }
    }
    let mut world = start_world(state);
    start_long_task(&mut world, 60_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    run_until(&mut world, 5_000, |world| world.count("limit_released") > 0);
    // The limit allows 14 small tasks a second: 30 at once and 16 a second are too many.
    for at in 0..40 {
        let count = if at == 0 { 30 } else { 4 };
        let small = vec![step(count, TASK_CPU_MILLI)];
        world.submit_to("/fill/", 0, FIRST_SMALL_JOB + at, small);
        world.run(SMALL_JOB_INTERVAL_MS);
    }
    let gang = format!("step={:016x}", 1);
    let reserved = world
        .lines
        .iter()
        .filter(|(_, _, line)| line.event == "limit_reserved" && line.to_string().contains(&gang));
    assert_eq!(reserved.count(), 1, "only before the small tasks arrived");
}

/// Returns a cell in which the whole limit is reserved for a gang that waits for the end of a long task,
/// while 14 small tasks of the same team wait.
fn world_with_reserved_limit() -> World {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    start_long_task(&mut world, 60_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    run_until(&mut world, 2_000, |world| world.count("limit_reserved") > 0);
    world.submit_to("/fill/", 0, 3, vec![step(14, TASK_CPU_MILLI)]);
    world.run(500);
    assert_eq!(starts_of(&world, 3), 0, "the limit is not reserved");
    world
}

/// Guards against a limit that stays reserved for a gang which was cancelled.
#[test]
fn the_limit_is_released_when_the_gang_is_cancelled() {
    let mut world = world_with_reserved_limit();
    world.cancel(0, 1);
    world.run(300);
    assert_eq!(starts_of(&world, 3), 14);
}

/// Guards against a limit that stays reserved for a gang which has ended, and against a gang that
/// starts twice.
#[test]
fn the_limit_is_released_when_the_gang_has_started() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    start_long_task(&mut world, 3_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    run_until(&mut world, 10_000, |world| starts_of(world, 1) == 15);
    world.submit_to("/fill/", 0, 3, vec![step(15, TASK_CPU_MILLI)]);
    world.run(1_500);
    assert_eq!(starts_of(&world, 3), 15);
    world.assert_once();
}

/// Guards against a limit of one team that is reserved from the tasks of another.
#[test]
fn a_reserved_limit_does_not_concern_other_teams() {
    let mut world = world_with_reserved_limit();
    world.key = OTHER_KEY.into();
    world.submit_to("/fill/", 0, 4, vec![step(20, TASK_CPU_MILLI)]);
    world.run(300);
    assert_eq!((starts_of(&world, 3), starts_of(&world, 4)), (0, 20));
}

/// Guards against a change of leaders after which neither a gang nor the small tasks of its team start.
#[test]
fn the_next_leader_starts_a_gang_beside_small_tasks_of_its_team() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    start_long_task(&mut world, 8_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    run_until(&mut world, 2_000, |world| world.count("limit_reserved") > 0);
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(3_000);
    world.start(leader);
    world.run(1_000);
    run_with_small_jobs(&mut world, FIRST_SMALL_JOB, 24_000, 15);
    assert_eq!(starts_of(&world, 1), 15);
    world.assert_once();
}

/// Guards against a gang that exceeds its team's whole limit, so that it can never start, and keeps the
/// limit from others.
#[test]
fn a_gang_that_exceeds_the_whole_limit_reserves_nothing() {
    let mut world = world_with_limit(LIMIT_CPU_MILLI);
    world.submit(0, 1, vec![gang(16, TASK_CPU_MILLI)]);
    let submitted = run_with_small_jobs(&mut world, FIRST_SMALL_JOB, 10_000, 15);
    let waited_ms = longest_wait_ms(&world, FIRST_SMALL_JOB, &submitted);
    assert!(waited_ms < 500, "{waited_ms} ms");
    assert_eq!(world.count("limit_reserved"), 0);
    // The caller sees a job that waits; the log names the limit.
    world.assert_state(0, 1, JobState::Pending);
    assert!(world.count("step_stalled") > 0);
}

/// Submits a step of the queue with advice `offset_ms` after the whole limit was reserved for a gang that
/// waits for the end of a long task; returns how long the step waits for its start, at most 40 s.
fn wait_beside_reservation_ms(advice_ms: u64, offset_ms: u64) -> u64 {
    let mut state = desired(1, queue_with_advice(advice_ms * 1_000, 0, 2_000));
    state.teams[0].limit.cpu_milli = LIMIT_CPU_MILLI;
    let mut world = start_world(with_fill_queue(state));
    world.advice_ms = advice_ms;
    start_long_task(&mut world, 60_000);
    world.submit(0, 1, vec![gang(15, TASK_CPU_MILLI)]);
    run_until(&mut world, 10_000, |world| {
        world.count("limit_reserved") > 0
    });
    world.run(offset_ms);
    let begin = world.now;
    world.submit(0, 3, vec![step(6, TASK_CPU_MILLI)]);
    while starts_of(&world, 3) == 0 && world.now < begin + 40_000 {
        world.run(25);
    }
    world.now - begin
}

/// Guards against a step that starts too late, or never, because its tickets are requested only once the
/// limit that was reserved for a gang is released (LOST: the team uses less than half of its limit).
#[test]
fn a_step_that_needs_tickets_starts_while_a_gang_waits_for_the_whole_limit() {
    let mut late = Vec::new();
    for advice_ms in [100, 650, 1_330, 2_000, 2_600, 3_000] {
        for offset_ms in (0..5_000).step_by(250) {
            let waited_ms = wait_beside_reservation_ms(advice_ms, offset_ms);
            // The first call for advice comes on top.
            if waited_ms >= MAX_UNDERUSE_WAIT_MS.max(2 * advice_ms + 500) {
                late.push((advice_ms, offset_ms, waited_ms));
            }
        }
    }
    assert!(late.is_empty(), "call, offset, wait: {late:?}");
}
