//! Gangs whose leader is replaced while they start, run or end, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue, queue_with_advice,
    seeds::{env_number, Rng},
    step, World,
};
use pomelotide_core::{
    cell::{ClientAnswer, Event, Queue, RunOutcome, StepSpec},
    WorkerId,
};

const DAEMONS: usize = 3;
const WORKERS: usize = 8;
const MEMBERS: u32 = 6;
/// How long a ticket is valid.
const TICKET_MS: u64 = 4_000;
/// How long after the end of all faults every gang has completed: the longest lease of a worker, and
/// the time for another run.
const RECOVERY_MS: u64 = 20_000;

/// How long after a worker's last renewal its lease is certainly over.
const LEASE_MS: u64 = 10_600;
/// How long a change of leader takes: the leader's lease and a read of the tables.
const TAKEOVER_MS: u64 = 2_200;
/// How long a gang takes from the end of that lease to its own end.
const RUN_MS: u64 = 2_000;

/// After which time a stopped daemon has exited.
const STOP_GRACE_MS: u64 = 6_000;

/// How the gang loses a member, or does not get one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MemberFault {
    /// No fault.
    None,
    /// The run of a member fails.
    Fails,
    /// The worker of a member restarts.
    Restarts,
    /// The worker of a member does not answer for this long.
    Silent(u64),
    /// The worker crashes for good and its entry is removed.
    Gone,
    /// The start of a member is carried out this much later, without an answer.
    LateStart(u64),
    /// A worker refuses the ticket of its member.
    BadTicket,
    /// The lists of all workers come this much later.
    LateLists(u64),
}

/// How the leader is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Takeover {
    /// It is killed and stays away.
    Killed,
    /// It is killed and starts again after a moment.
    Restarted,
    /// All daemons are killed and start again.
    AllKilled,
    /// It is stopped and hands over.
    Stopped,
    /// It is killed, and so is the next one while it loads.
    KilledTwice,
}

fn member_faults() -> [MemberFault; 11] {
    [
        MemberFault::None,
        MemberFault::Fails,
        MemberFault::Restarts,
        MemberFault::Silent(600),
        MemberFault::Silent(4_000),
        MemberFault::Gone,
        MemberFault::LateStart(300),
        MemberFault::LateStart(2_500),
        MemberFault::BadTicket,
        MemberFault::LateLists(60),
        MemberFault::LateLists(400),
    ]
}

const TAKEOVERS: [Takeover; 5] = [
    Takeover::Killed,
    Takeover::Restarted,
    Takeover::AllKilled,
    Takeover::Stopped,
    Takeover::KilledTwice,
];

fn fleet(queue: Queue) -> World {
    let mut world = World::new(DAEMONS, WORKERS, desired(1, queue));
    world.run(3_000);
    assert!(world.leader().is_some(), "no daemon leads");
    world
}

/// Returns a gang whose members fill a worker each.
fn wide_gang() -> StepSpec {
    gang(MEMBERS, 3_000)
}

fn queue_for(with_advice: bool) -> Queue {
    let queue = match with_advice {
        true => queue_with_advice(20_000, 100, TICKET_MS),
        false => queue(),
    };
    Queue {
        max_attempts: 50,
        ..queue
    }
}

/// Applies a fault to the worker `id`.
fn inject(world: &mut World, fault: MemberFault, id: &WorkerId) {
    match fault {
        MemberFault::Restarts => return world.restart_worker(id),
        MemberFault::Gone => return world.crash_worker(id),
        _ => {}
    }
    let worker = world.workers.get_mut(id).unwrap();
    match fault {
        MemberFault::None | MemberFault::Restarts | MemberFault::Gone => {}
        MemberFault::Fails => {
            worker.how = RunOutcome::Failed;
            worker.work_ms = 200;
        }
        MemberFault::Silent(_) => worker.silent = true,
        MemberFault::LateStart(delay_ms) => worker.late_starts_ms = Some(delay_ms),
        MemberFault::BadTicket => worker.ticket_valid_ms = Some(0),
        MemberFault::LateLists(delay_ms) => world.late_lists_ms = delay_ms,
    }
}

/// Ends a fault; returns how long it lasts after the takeover.
fn end_fault(world: &mut World, fault: MemberFault, id: &WorkerId) {
    match fault {
        MemberFault::Silent(span_ms) => world.run(span_ms),
        _ => world.run(100),
    }
    world.late_lists_ms = 0;
    let is_gone = fault == MemberFault::Gone;
    let worker = world.workers.get_mut(id).unwrap();
    worker.silent = is_gone;
    worker.late_starts_ms = None;
    worker.ticket_valid_ms = None;
    worker.how = RunOutcome::Done;
    worker.work_ms = 1_000;
}

fn take_over(world: &mut World, takeover: Takeover) {
    let Some(leader) = world.leader() else { return };
    match takeover {
        Takeover::Killed => world.kill(leader),
        Takeover::Restarted => {
            world.kill(leader);
            world.run(50);
            world.start(leader);
        }
        Takeover::AllKilled => {
            (0..DAEMONS).for_each(|at| world.kill(at));
            world.run(300);
            (0..DAEMONS).for_each(|at| world.start(at));
        }
        Takeover::Stopped => world.deliver_event(leader, Event::Stop),
        Takeover::KilledTwice => {
            world.kill(leader);
            world.run(100);
            world.start(leader);
            while world.leader().is_none() {
                world.run(1);
            }
            world.run(25);
            let next = world.leader().unwrap();
            world.kill(next);
            world.run(30);
            world.start(next);
        }
    }
}

/// Returns how many members of the gang have succeeded.
fn done_members(world: &World) -> usize {
    let spans = world.workers.values().flat_map(|worker| &worker.spans);
    spans.filter(|span| span.done).count()
}

/// Submits a gang, lets it lose a member `fault_ms` after its submission, replaces the leader
/// `takeover_ms` after that, and asserts that the gang ends.
fn assert_gang_ends(
    with_advice: bool,
    fault: MemberFault,
    fault_ms: u64,
    takeover: Takeover,
    takeover_ms: u64,
) {
    let scenario = format!("{fault:?} at {fault_ms}, {takeover:?} at {takeover_ms}, {with_advice}");
    let mut world = fleet(queue_for(with_advice));
    let id = world.workers.keys().nth(2).unwrap().clone();
    let daemon = (world.leader().unwrap() + 1) % DAEMONS;
    world.submit(daemon, 1, vec![wide_gang()]);
    world.run(fault_ms);
    inject(&mut world, fault, &id);
    world.run(takeover_ms);
    take_over(&mut world, takeover);
    end_fault(&mut world, fault, &id);
    world.run(RECOVERY_MS);
    world.assert_no_overlap();
    let starts = world.starts();
    assert!(done_members(&world) > 0, "{scenario}: {starts:?}");
}

/// Guards against a gang that never starts again because its leader was replaced while it lost a member.
#[test]
fn a_gang_that_loses_a_member_around_a_takeover_starts_again() {
    for (at, takeover_ms) in (0..120).step_by(6).enumerate() {
        for fault in member_faults() {
            for (nr, takeover) in TAKEOVERS.into_iter().enumerate() {
                let with_advice = (at + nr) % 2 == 0;
                let fault_ms = [0, 30, 60, 400][(at / 2) % 4];
                assert_gang_ends(with_advice, fault, fault_ms, takeover, takeover_ms);
            }
        }
    }
}

/// Guards against a gang that never starts again because its leader was replaced between the record of
/// its placement and the start of its last member.
#[test]
fn a_gang_that_is_placed_when_the_leader_is_replaced_starts() {
    for takeover_ms in (0..110).step_by(2) {
        for takeover in TAKEOVERS {
            for with_advice in [false, true] {
                assert_gang_ends(with_advice, MemberFault::None, 0, takeover, takeover_ms);
            }
        }
    }
}

/// Guards against a gang whose wait for the lease of a crashed worker begins anew with each leader.
#[test]
fn a_gang_with_a_member_on_a_crashed_worker_starts_once_its_lease_is_over() {
    let mut late = Vec::new();
    for (takeovers, pause_ms) in [(0, 0), (1, 2_000), (1, 8_000), (2, 8_000), (3, 8_000)] {
        let mut world = fleet(queue_for(false));
        world.submit(0, 1, vec![wide_gang()]);
        world.run(400);
        let id = world.starts()[1].0.clone();
        inject(&mut world, MemberFault::Gone, &id);
        let crashed_at = world.now;
        for _ in 0..takeovers {
            world.run(pause_ms);
            take_over(&mut world, Takeover::Restarted);
        }
        world.run(60_000);
        let spans = world.workers.values().flat_map(|worker| &worker.spans);
        let ends = spans.filter(|span| span.done).filter_map(|span| span.end);
        let took_ms = ends.min().unwrap_or(u64::MAX) - crashed_at;
        let bound_ms = LEASE_MS + takeovers * TAKEOVER_MS + RUN_MS;
        if took_ms > bound_ms {
            late.push((takeovers, pause_ms, took_ms, bound_ms));
        }
    }
    assert!(
        late.is_empty(),
        "takeovers, the pause before each, done after, bound: {late:?}"
    );
}

/// Guards against a next leader that relies on the recorded end of a lease although the worker answered
/// again and its lease was renewed meanwhile: tasks would run twice at the same time.
#[test]
fn a_recorded_lease_end_is_cleared_before_the_lease_is_renewed() {
    for (silent_ms, has_store) in [(5_500, true), (8_000, true), (5_500, false), (8_000, false)] {
        for takeover_ms in (0..1_200).step_by(16) {
            let mut world = fleet(queue_for(false));
            for worker in world.workers.values_mut() {
                worker.work_ms = 20_000;
            }
            world.submit(0, 1, vec![step(4, 3_000)]);
            world.run(400);
            let id = world.starts()[1].0.clone();
            let hide = |world: &mut World| {
                world.workers.get_mut(&id).unwrap().silent = true;
                world.store.remove_worker(id.as_str());
            };
            hide(&mut world);
            world.run(silent_ms);
            assert_eq!(world.count("lease_end_recorded"), 1);
            world.workers.get_mut(&id).unwrap().silent = false;
            world.store.put_worker(&world.workers[&id].clone());
            let leader = world.leader().unwrap();
            world.silence_store(leader, !has_store);
            world.run(takeover_ms);
            hide(&mut world);
            world.silence_store(leader, false);
            take_over(&mut world, Takeover::Restarted);
            world.run(40_000);
            world.assert_no_overlap();
            assert_eq!(done_members(&world), 4, "{silent_ms}, {takeover_ms}");
        }
    }
}

/// Guards against runs that are stopped because their worker was silent and without an entry for a
/// while, shorter than its lease.
#[test]
fn runs_of_a_worker_that_answers_again_go_on() {
    for silent_ms in [2_000, 5_500, 8_000] {
        let mut world = fleet(queue_for(false));
        for worker in world.workers.values_mut() {
            worker.work_ms = 20_000;
        }
        world.submit(0, 1, vec![step(4, 3_000)]);
        world.run(400);
        let id = world.starts()[1].0.clone();
        world.workers.get_mut(&id).unwrap().silent = true;
        world.store.remove_worker(id.as_str());
        world.run(silent_ms);
        world.workers.get_mut(&id).unwrap().silent = false;
        world.store.put_worker(&world.workers[&id].clone());
        world.run(40_000);
        assert_eq!(world.starts().len(), 4, "{silent_ms}");
        assert_eq!(done_members(&world), 4, "{silent_ms}");
    }
}

/// Submits gangs to a cell that loses members and leaders at random; returns the accepted gangs that
/// have not ended in time.
fn unfinished_gangs(seed: u64) -> Vec<(u64, u64)> {
    let mut rng = Rng(seed * 7_919 + 1);
    let mut world = fleet(queue_for(rng.below(2) == 0));
    let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
    let mut calls = Vec::new();
    let mut injected = Vec::new();
    let mut gone = 0;
    for job in 0..2 + rng.below(4) {
        let size = 2 + rng.below(5) as u32;
        let steps = vec![gang(size, 500 + 500 * rng.below(6))];
        let daemon = rng.below(DAEMONS as u64) as usize;
        calls.push((job, world.submit(daemon, job, steps)));
        world.run(rng.below(300));
        for _ in 0..rng.below(3) {
            let fault = member_faults()[rng.below(11) as usize];
            let id = ids[rng.below(ids.len() as u64) as usize].clone();
            // Six workers remain for the largest gang.
            gone += u32::from(fault == MemberFault::Gone);
            if fault != MemberFault::Gone || gone <= 2 {
                inject(&mut world, fault, &id);
                injected.push((fault, id));
            }
            world.run(rng.below(200));
        }
        if rng.below(3) > 0 {
            take_over(&mut world, TAKEOVERS[rng.below(5) as usize]);
            world.run(rng.below(3_000));
        }
        for at in 0..DAEMONS {
            if !world.is_running(at) && rng.below(2) == 0 {
                world.start(at);
            }
        }
    }
    let is_gone = |id: &WorkerId| injected.contains(&(MemberFault::Gone, id.clone()));
    for (_, id) in injected.iter().filter(|(_, id)| !is_gone(id)) {
        end_fault(&mut world, MemberFault::None, id);
    }
    world.late_lists_ms = 0;
    // Daemons that were stopped exit first.
    world.run(STOP_GRACE_MS);
    for at in 0..DAEMONS {
        if !world.is_running(at) {
            world.start(at);
        }
    }
    world.run(RECOVERY_MS);
    world.assert_no_overlap();
    let spans = world.workers.values().flat_map(|worker| &worker.spans);
    let done: Vec<&str> = spans
        .filter(|span| span.done)
        .map(|span| &*span.task)
        .collect();
    let is_left = |job: u64| {
        let prefix = format!("{job:016x}.");
        !done.iter().any(|task| task.starts_with(&prefix))
    };
    let accepted = |call: &u64| world.answers.get(call) == Some(&ClientAnswer::Accepted);
    let left = calls
        .iter()
        .filter(|(job, call)| accepted(call) && is_left(*job));
    left.map(|(job, _)| (seed, *job)).collect()
}

/// Guards against gangs that are not started again after any series of lost members and leaders. `SEED`
/// sets the first seed and `SEEDS` the number of seeds.
#[test]
fn gangs_end_after_any_series_of_lost_members_and_leaders() {
    let count = env_number("SEEDS").unwrap_or(40);
    let first = env_number("SEED").unwrap_or(0);
    let failures: Vec<_> = (first..first + count).flat_map(unfinished_gangs).collect();
    assert!(failures.is_empty(), "{failures:?}");
}
