//! Gangs under a lasting overload by smaller jobs, in virtual time: the load of a day on 350 workers of 32
//! cores, scaled down to 96.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice, step, with_fill_queue, FakeAdvice, World, OTHER_KEY, PREFIX,
};
use pomelotide_core::{
    cell::{DesiredState, Queue, StepSpec},
    Millis, QueueName,
};
use std::collections::BTreeMap;

const MEDIUM: &str = "/medium/";
const LARGE: &str = "/large/";
const DAEMONS: usize = 12;
const WORKERS: usize = 96;
const WORKER_CPU_MILLI: u64 = 32_000;
const WORKER_MEMORY_MIB: u64 = 262_144;
const TICKET_MS: u64 = 2_000;
/// How often jobs arrive.
const INTERVAL_MS: u64 = 100;
/// How long the overload lasts.
const OVERLOAD_MS: u64 = 70_000;
/// How long the gangs are watched after it.
const WATCH_MS: u64 = 30_000;
/// The bound for the first start of an accepted gang: the longest run ahead of it, its advice, and as much
/// again for gangs that wait in front of it.
const MAX_WAIT_MS: u64 = 20_000;

/// A kind of request.
struct Kind {
    prefix: &'static str,
    /// How many arrive in 100 s; together they need 1.5 times the processors of the fleet.
    per_100_s: u64,
    step: StepSpec,
    call_ms: u64,
    allowed_permille: u64,
}

fn kinds() -> [Kind; 3] {
    let estimated = |step, estimated_ms| StepSpec {
        estimated_ms: Millis(estimated_ms),
        ..step
    };
    [
        Kind {
            prefix: PREFIX,
            per_100_s: 6_860,
            step: estimated(step(3, 5_000), 640),
            call_ms: 10,
            allowed_permille: 700,
        },
        Kind {
            prefix: MEDIUM,
            per_100_s: 920,
            step: estimated(step(25, 3_500), 2_200),
            call_ms: 106,
            allowed_permille: 450,
        },
        Kind {
            prefix: LARGE,
            per_100_s: 296,
            step: estimated(gang(20, 9_000), 4_000),
            call_ms: 600,
            allowed_permille: 300,
        },
    ]
}

fn state() -> DesiredState {
    let mut state = with_fill_queue(desired(1, queue_with_advice(10_000, 0, TICKET_MS)));
    for kind in kinds().into_iter().skip(1) {
        state.queues.push(Queue {
            name: QueueName::new(kind.prefix),
            path_prefix: kind.prefix.into(),
            ..queue_with_advice(kind.call_ms * 1_000, 0, TICKET_MS)
        });
    }
    for team in &mut state.teams {
        team.weight = 100_000;
    }
    state.with_sorted_queues()
}

fn cell() -> World {
    let mut world = World::new(DAEMONS, WORKERS, state());
    for kind in kinds() {
        let advice = FakeAdvice {
            call_ms: kind.call_ms,
            allowed_permille: kind.allowed_permille,
        };
        world.advice_by_prefix.insert(kind.prefix.into(), advice);
    }
    world.works_as_estimated = true;
    world.key = OTHER_KEY.into();
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
        worker.entry.capacity.cpu_milli = WORKER_CPU_MILLI;
        worker.entry.capacity.memory_mib = WORKER_MEMORY_MIB;
        world.store.put_worker(worker);
    }
    world.run(4_000);
    assert!(world.leader().is_some(), "no daemon leads");
    world
}

/// Guards against gangs that start only when the load ends: smaller jobs take all room that gets free.
#[test]
fn a_gang_starts_within_20_s_at_one_and_a_half_times_the_fleets_work() {
    let mut world = cell();
    let (mut jobs, mut due) = (0, [0; 3]);
    let mut gangs = BTreeMap::new();
    for _ in 0..OVERLOAD_MS / INTERVAL_MS {
        for (kind, due) in kinds().iter().zip(&mut due) {
            *due += kind.per_100_s * INTERVAL_MS;
            while *due >= 100_000 {
                *due -= 100_000;
                jobs += 1;
                if kind.step.gang {
                    gangs.insert(format!("{jobs:016x}"), world.now);
                }
                let daemon = jobs as usize % DAEMONS;
                world.submit_to(kind.prefix, daemon, jobs, vec![kind.step.clone()]);
            }
        }
        world.run(INTERVAL_MS);
    }
    world.run(WATCH_MS);
    let mut first_starts: BTreeMap<String, u64> = BTreeMap::new();
    for (_, task, _, begin) in world.starts() {
        let job = task.split('.').next().unwrap().to_string();
        first_starts.entry(job).or_insert(begin);
    }
    let wait_ms = |(job, since): (&String, &u64)| {
        let start = first_starts.get(job).copied().unwrap_or(world.now);
        start - since
    };
    let mut waits: Vec<u64> = gangs.iter().map(wait_ms).collect();
    waits.sort_unstable();
    let late = waits.iter().filter(|wait| **wait >= MAX_WAIT_MS).count();
    let (count, longest) = (waits.len(), waits.last().copied().unwrap_or(0));
    assert_eq!(
        late, 0,
        "of {count} gangs; the longest wait is {longest} ms"
    );
}
