//! Faults after which an accepted job would never run, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue, queue_with_advice,
    seeds::{env_number, Rng},
    step, World,
};
use pomelotide_core::{
    cell::{ClientAnswer, Event, JobState, Queue, RunOutcome, StepSpec, Table},
    WorkerId,
};

/// How long a ticket is valid.
const TICKET_MS: u64 = 4_000;

fn with_advice(base_us: u64) -> Queue {
    queue_with_advice(base_us, 0, TICKET_MS)
}

fn on_label(label: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        requirement: Some(label.into()),
        ..step
    }
}

/// Guards against an answer to a former leader that is applied to a step of another job and denies it
/// its workers.
#[test]
fn advice_that_a_former_leader_requested_is_not_taken_for_another_step() {
    let mut world = World::new(2, 8, desired(1, with_advice(1_000_000)));
    world.advice_ms = 1_000;
    let worker = world.workers.values_mut().next().unwrap();
    worker.entry.labels.insert(0, "only".into());
    let worker = worker.clone();
    world.store.put_worker(&worker);
    world.run(3_000);
    let leader = world.leader().unwrap();
    let next = 1 - leader;
    // The first request of each leader: that of the next one is on job 1, whose only worker is the
    // first to report.
    world.submit(next, 2, vec![on_label("r1-1", step(1, 1_000))]);
    world.run(100);
    world.submit(next, 1, vec![on_label("only", step(1, 1_000))]);
    world.run(100);
    world.deliver_event(leader, Event::Stop);
    world.run(15_000);
    assert_eq!(world.leader(), Some(next));
    world.assert_state(next, 1, JobState::Completed);
    world.assert_state(next, 2, JobState::Completed);
}

/// Guards against a list of runs that is overtaken by a later one.
#[test]
fn a_list_that_arrives_late_does_not_hide_the_next_run_of_a_task() {
    let mut world = World::new(1, 1, desired(1, queue()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.how = RunOutcome::Broken;
    }
    world.submit(0, 1, vec![gang(2, 1_000)]);
    world.submit(0, 2, vec![step(1, 1_000)]);
    world.run(800);
    assert_eq!(world.starts().len(), 3);
    // The stop of job 2 makes the leader request another list, which is on its way while the gang
    // ends and starts again on the same worker.
    world.late_lists_ms = 500;
    world.cancel(0, 2);
    world.run(200);
    world.late_lists_ms = 0;
    world.run(1_200);
    for worker in world.workers.values_mut() {
        worker.how = RunOutcome::Done;
    }
    world.run(10_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against a stop that is not repeated because the start was answered after it was sent.
#[test]
fn a_stop_that_is_lost_is_repeated_although_the_start_is_answered_meanwhile() {
    let mut world = World::new(1, 1, desired(1, queue()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = 30_000;
    }
    world.submit(0, 1, vec![step(1, 1_000)]);
    while world.starts().is_empty() {
        world.run(1);
    }
    let id = world.workers.keys().next().unwrap().clone();
    world.workers.get_mut(&id).unwrap().silent = true;
    world.cancel(0, 1);
    world.run(100);
    world.workers.get_mut(&id).unwrap().silent = false;
    world.run(4_000);
    assert_eq!(world.workers[&id].running(), 0, "the run was not stopped");
}

/// Guards against scheduling passes that end before they reach a step for which there is room.
#[test]
fn steps_that_no_worker_may_run_do_not_block_later_ones() {
    let mut state = desired(1, queue());
    state.teams[0].weight = 1_000;
    let mut world = World::new(1, 1, state);
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = 12_000;
    }
    world.submit(0, 1, vec![step(1, 4_000)]);
    world.run(200);
    world.submit(0, 2, vec![step(1, 4_000)]);
    world.run(200);
    for job in 1_000..1_150 {
        world.submit(0, job, vec![on_label("nowhere", step(1, 100))]);
    }
    world.run(40_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_state(0, 2, JobState::Completed);
}

/// Guards against requests for advice that are always sent through a daemon which gets no answers.
#[test]
fn a_daemon_that_cant_reach_the_advice_service_does_not_delay_steps() {
    for base_us in [20_000, 500_000] {
        for cut_off in 0..3 {
            let mut world = World::new(3, 8, desired(1, with_advice(base_us)));
            world.advice_lost_at = Some(cut_off);
            world.run(3_000);
            world.submit(0, 1, vec![step(2, 1_000)]);
            world.run(12_000);
            world.assert_state(0, 1, JobState::Completed);
        }
    }
}

/// Guards against a new leader that does not know the queue of an accepted job.
#[test]
fn accepted_jobs_of_a_withdrawn_queue_run_under_the_next_leader_too() {
    let mut world = World::new(2, 1, desired(1, queue()));
    world.run(3_000);
    for job in 0..4 {
        world.submit(0, job, vec![step(4, 1_000)]);
    }
    world.run(500);
    let mut state = desired(2, queue());
    state.queues.clear();
    world.store.put_state(state);
    world.run(1_500);
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(30_000);
    let tasks: std::collections::BTreeSet<String> =
        world.starts().into_iter().map(|start| start.1).collect();
    assert_eq!(tasks.len(), 16, "accepted tasks did not start");
}

/// Guards against a leader that no longer knows the queue of a job which was accepted by a daemon with
/// an older desired state.
#[test]
fn a_job_that_is_accepted_after_the_leader_saw_its_queue_withdrawn_runs() {
    let (mut accepted, mut refused) = (0, 0);
    for delay_ms in (0..400).step_by(5) {
        let mut world = World::new(3, 4, desired(1, queue()));
        world.run(3_000);
        let daemon = (world.leader().unwrap() + 1) % 3;
        let mut state = desired(2, queue());
        state.queues.clear();
        world.store.put_state(state);
        world.run(delay_ms);
        let call = world.submit(daemon, 1, vec![step(1, 1_000)]);
        world.run(3_000);
        if world.answers[&call] == ClientAnswer::Accepted {
            accepted += 1;
            assert_eq!(world.starts().len(), 1, "after {delay_ms} ms");
        } else {
            refused += 1;
        }
    }
    assert!(accepted > 0 && refused > 0);
}

const DAEMONS: usize = 4;

fn random_step(rng: &mut Rng) -> StepSpec {
    let gang = rng.below(3) == 0;
    let count = 1 + rng.below(if gang { 8 } else { 6 }) as u32;
    StepSpec {
        gang,
        same_rack: gang && rng.below(2) == 0,
        ..step(count, 200 + rng.below(8) * 250)
    }
}

/// Applies a random fault to the cell, or ends one.
fn inject_fault(world: &mut World, rng: &mut Rng) {
    let at = rng.below(DAEMONS as u64) as usize;
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    let id = ids[rng.below(ids.len() as u64) as usize].clone();
    match rng.below(24) {
        fault @ 0..=2 => restart_daemons(world, rng, fault, at),
        3 => world.refuse_store(at, true),
        4 => world.refuse_store(at, false),
        5 => world.silence_store(at, true),
        6 => world.silence_store(at, false),
        7 => world.cut(at, true),
        8 => world.cut(at, false),
        9 => world.store.down = rng.below(3) == 0,
        10 => match rng.below(2) {
            0 => world.store.lose_answers += rng.below(4) as usize,
            _ => world.late_writes += rng.below(4) as usize,
        },
        11 => world.store.history_gone = world.store.version(),
        21 => world.advice_lost_at = Some(at).filter(|_| rng.below(2) == 0),
        22 => world.late_lists_ms = rng.below(2) * rng.below(400),
        fault => inject_worker_fault(world, rng, fault, &id),
    }
}

/// Restarts the daemon `at`, all daemons, or the leader after a planned stop.
fn restart_daemons(world: &mut World, rng: &mut Rng, fault: u64, at: usize) {
    match fault {
        0 => {
            world.kill(at);
            world.run(rng.below(900));
            world.start(at);
        }
        1 => {
            for at in 0..DAEMONS {
                world.kill(at);
            }
            world.run(100 + rng.below(900));
            for at in 0..DAEMONS {
                world.start(at);
            }
        }
        _ => {
            if let Some(leader) = world.leader() {
                world.deliver_event(leader, Event::Stop);
                world.run(rng.below(6_000));
                world.kill(leader);
                world.start(leader);
            }
        }
    }
}

/// Applies a fault to a worker or its entry, or ends one.
fn inject_worker_fault(world: &mut World, rng: &mut Rng, fault: u64, id: &WorkerId) {
    match fault {
        12 | 13 => return world.restart_worker(id),
        19 => return world.store.remove_worker(id.as_str()),
        20 => return world.store.put_worker(&world.workers[id]),
        _ => {}
    }
    let worker = world.workers.get_mut(id).unwrap();
    match fault {
        14 => worker.silent = true,
        15 | 16 => worker.silent = false,
        17 => worker.late_starts_ms = Some(rng.below(3_000)),
        18 => worker.late_starts_ms = None,
        _ => {
            worker.how = match rng.below(3) == 0 {
                true => RunOutcome::Broken,
                false => RunOutcome::Done,
            }
        }
    }
}

/// Ends all faults.
fn end_faults(world: &mut World) {
    world.store.down = false;
    world.store.lose_answers = 0;
    world.late_writes = 0;
    world.advice_lost_at = None;
    world.late_lists_ms = 0;
    for at in 0..DAEMONS {
        world.refuse_store(at, false);
        world.silence_store(at, false);
        world.cut(at, false);
    }
    for worker in world.workers.values_mut() {
        worker.silent = false;
        worker.late_starts_ms = None;
        worker.how = RunOutcome::Done;
    }
    let workers: Vec<_> = world.workers.values().cloned().collect();
    for worker in workers {
        world.store.put_worker(&worker);
    }
}

/// Submits jobs to a cell while faults occur; returns those that were accepted and have not completed
/// a minute after the end of all faults.
fn unfinished_jobs(seed: u64) -> Vec<(u64, u64, ClientAnswer)> {
    let mut rng = Rng(seed * 7_919 + 1);
    let queue = match rng.below(2) {
        0 => queue(),
        _ => with_advice(20_000),
    };
    let mut state = desired(1, queue);
    state.teams[0].limit.cpu_milli = 16_000 * rng.below(2);
    let mut world = World::new(DAEMONS, 8, state);
    world.run(3_000);
    let mut calls = Vec::new();
    for job in 0..120 {
        let mut steps = vec![random_step(&mut rng)];
        if rng.below(3) == 0 {
            steps.push(StepSpec {
                after: vec![0],
                ..random_step(&mut rng)
            });
        }
        let daemon = rng.below(DAEMONS as u64) as usize;
        calls.push((job, world.submit(daemon, job, steps)));
        world.run(rng.below(300));
        if rng.below(4) == 0 {
            inject_fault(&mut world, &mut rng);
        }
    }
    end_faults(&mut world);
    world.run(60_000);
    let mut unfinished = Vec::new();
    for (job, call) in calls {
        if world.answers.get(&call) != Some(&ClientAnswer::Accepted) {
            continue;
        }
        let state = world.state(0, job);
        if state != ClientAnswer::State(JobState::Completed) {
            unfinished.push((seed, job, state));
        }
    }
    unfinished
}

/// Guards against accepted jobs that do not end although all faults are over. `SEED` sets the first
/// seed and `SEEDS` the number of seeds.
#[test]
fn accepted_jobs_end_after_any_series_of_faults() {
    let count = env_number("SEEDS").unwrap_or(20);
    let first = env_number("SEED").unwrap_or(0);
    let failures: Vec<_> = (first..first + count).flat_map(unfinished_jobs).collect();
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against a gang that is stopped for the end of a member of its earlier run.
#[test]
fn an_old_end_that_is_listed_late_does_not_stop_the_next_run_of_a_gang() {
    let mut world = World::new(1, 5, desired(1, queue()));
    world.run(3_000);
    for worker in world.workers.values_mut() {
        worker.work_ms = 30_000;
    }
    world.submit(0, 1, vec![gang(4, 3_000)]);
    world.run(500);
    let silent = world.starts()[0].0.clone();
    world.workers.get_mut(&silent).unwrap().silent = true;
    // Its lease expires, and the gang starts again on the other workers.
    world.run(14_000);
    assert_eq!(world.starts().len(), 8);
    world.workers.get_mut(&silent).unwrap().silent = false;
    world.run(35_000);
    assert_eq!(world.starts().len(), 8, "the second run was stopped");
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against jobs that the leader removes from its memory before their rows, so that it reads
/// and runs them again.
#[test]
fn ended_jobs_whose_removal_failed_do_not_run_again() {
    let mut world = World::new(2, 4, desired(1, queue()));
    world.run(3_000);
    for job in 0..60 {
        world.submit(0, job, vec![step(1, 100)]);
        world.run(1_000);
    }
    world.run(63_000);
    for _ in 0..1_000 {
        world.store.down = !world.store.down;
        world.run(90);
    }
    world.store.down = false;
    world.store.history_gone = u64::MAX;
    world.run(1_500);
    world.store.history_gone = 0;
    world.run(20_000);
    assert!(world.count("jobs_swept") > 0 && world.count("history_lost") > 0);
    assert_eq!(world.starts().len(), 60);
    let left = world.store.rows.keys();
    let left = left.filter(|key| key.table == Table::Jobs).count();
    assert_eq!(left, 0, "rows of ended jobs are left");
}

/// The first leader of a cell was the daemon that read the store first, whatever its processor share: the
/// delay of weak hosts was not applied before there had been a leader.
#[test]
fn the_strongest_host_leads_from_the_start() {
    let shares = [300, 300, 500, 300];
    let mut world = World::with_cpu(&shares, 2, desired(1, queue()));
    (0..shares.len()).for_each(|at| world.kill(at));
    for at in 0..shares.len() {
        world.start(at);
        world.run(40);
    }
    world.run(3_000);
    assert_eq!(world.leader(), Some(2));
    assert_eq!(world.count("lead_taken"), 1);
}
