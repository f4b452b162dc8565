//! Overload: more steps wait than the fleet has room for. What the leader looks at for each start must
//! not grow with the backlog, or an overload outlasts its cause.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue_with_advice, step, with_fill_queue, World, OTHER_KEY, PREFIX};
use pomelotide_core::cell::{SchedulingWork, StepSpec};

/// The number of workers of the large deployment.
const WORKERS: usize = 540;
const WORKER_CPU_MILLI: u64 = 4_000;
/// The jobs that fill the fleet are below this, those that wait are from here on.
const FIRST_WAITING: u64 = 1_000;
/// How many tasks a job that fills the fleet has.
const FILL_TASKS: usize = 60;
/// How many workers become free while the cost is measured.
const FREED_WORKERS: usize = 40;
/// How long the cost is measured.
const MEASURED_MS: u64 = 2_000;
const LONG_MS: u64 = 600_000;

/// Which queue the waiting steps are submitted to.
#[derive(Clone, Copy, Debug)]
enum Advice {
    None,
    /// Every third worker may run a step.
    Third,
}

/// Returns a cell whose fleet is full, with `backlog` waiting steps.
fn full_fleet(workers: usize, backlog: u64, advice: Advice, waiting: &StepSpec) -> World {
    let mut state = with_fill_queue(desired(1, queue_with_advice(2_000, 0, LONG_MS)));
    for team in &mut state.teams {
        team.weight = 100_000;
    }
    let mut world = World::new(3, workers, state);
    world.key = OTHER_KEY.into();
    world.advice_ms = 2;
    if let Advice::Third = advice {
        world.advice_allows_every = 3;
    }
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = LONG_MS;
    }
    for job in 0..workers / FILL_TASKS {
        let fill = vec![step(FILL_TASKS as u32, WORKER_CPU_MILLI)];
        world.submit_to("/fill/", 0, 1 + job as u64, fill);
    }
    world.run(2_000);
    assert_eq!(world.starts().len(), workers, "the fleet is not full");
    let prefix = match advice {
        Advice::None => "/fill/",
        Advice::Third => PREFIX,
    };
    for job in 0..backlog {
        world.submit_to(prefix, 0, FIRST_WAITING + job, vec![waiting.clone()]);
        if job % 16 == 0 {
            world.run(10);
        }
    }
    // The advice on the steps arrives.
    world.run(5_000);
    world
}

/// Returns what scheduling looks at while [`FREED_WORKERS`] workers become free one after another, and
/// how many waiting tasks start on them.
fn work_of_freed_workers(world: &mut World) -> (SchedulingWork, usize) {
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    let every = ids.len() / FREED_WORKERS;
    let (before, started) = (world.scheduling_work(), world.starts().len());
    for id in ids.iter().step_by(every).take(FREED_WORKERS) {
        world.restart_worker(id);
        world.run(MEASURED_MS / FREED_WORKERS as u64);
    }
    world.run(1_000);
    let work = world.scheduling_work().since(before);
    (work, world.starts().len() - started)
}

fn waiting_step() -> StepSpec {
    step(1, WORKER_CPU_MILLI)
}

/// Guards against a scheduling cost that grows with the number of steps that wait for room.
#[test]
fn the_cost_of_a_start_does_not_grow_with_the_backlog() {
    for advice in [Advice::None, Advice::Third] {
        let cost = |backlog| {
            let mut world = full_fleet(WORKERS, backlog, advice, &waiting_step());
            work_of_freed_workers(&mut world)
        };
        let ((few, few_started), (many, many_started)) = (cost(100), cost(10_000));
        assert!(
            few_started >= FREED_WORKERS / 4,
            "{advice:?}: {few_started} started"
        );
        assert!(many_started >= few_started, "{advice:?}: {many_started}");
        assert!(
            2 * many.total() <= 3 * few.total(),
            "{advice:?}: {few:?} with 100 waiting and {few_started} started, {many:?} with 10,000 and {many_started}"
        );
    }
}

/// Guards against a scheduling cost that grows with the fleet.
#[test]
fn the_cost_of_a_start_hardly_grows_with_the_fleet() {
    for advice in [Advice::None, Advice::Third] {
        let cost = |workers| {
            let mut world = full_fleet(workers, 500, advice, &waiting_step());
            work_of_freed_workers(&mut world)
        };
        let ((few, few_started), (many, many_started)) = (cost(WORKERS), cost(3_000));
        assert!(
            few_started.min(many_started) >= FREED_WORKERS / 4,
            "{advice:?}"
        );
        assert!(
            many.total() <= 2 * few.total(),
            "{advice:?}: {few:?} with {WORKERS} workers, {many:?} with 3,000"
        );
    }
}

/// Guards against passes that look at steps although nothing that they wait for has changed.
#[test]
fn steps_that_wait_for_room_cost_nothing_while_nothing_changes() {
    let mut world = full_fleet(60, 2_000, Advice::Third, &waiting_step());
    let before = world.scheduling_work();
    world.run(10_000);
    let work = world.scheduling_work().since(before);
    // Some steps are looked at in turn, in case a change was missed.
    let most = 10_000 / 25 * 8;
    assert!(work.steps_examined <= most, "{work:?}");
}
