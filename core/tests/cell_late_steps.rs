//! Late steps beside newer work: their calls for advice have their turn, and steps whose calls wait hold no
//! room. Without that, steps stand still on a fleet that is more than half unused (rule LOST).

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, gang, queue_with_advice,
    seeds::{env_number, Rng},
    starts_of, step, with_fill_queue, FakeAdvice, World, OTHER_KEY, PREFIX,
};
use pomelotide_core::{
    cell::{ClientAnswer, DesiredState, Queue, StepSpec},
    JobId, Millis, QueueName,
};
use std::collections::{BTreeMap, BTreeSet};

/// The prefix of the queue without advice.
const FILL: &str = "/fill/";
/// The prefixes of the queues whose calls for advice take longer than those of [`PREFIX`].
const MIDDLE: &str = "/middle/";
const SLOW: &str = "/slow/";
const SHORT_CALL_MS: u64 = 15;
const MIDDLE_CALL_MS: u64 = 70;
const LONG_CALL_MS: u64 = 650;
const TICKET_MS: u64 = 1_500;

/// How long by the rules a step may stand still that could run.
const MAX_STANDSTILL_MS: u64 = 3_000;
/// How long after the end of an overload the steps are watched.
const WATCH_MS: u64 = 30_000;
const DAEMONS: usize = 6;
/// How long a killed daemon is down.
const DOWN_MS: u64 = 2_500;
const WORKERS: usize = 48;
const WORKER_CPU_MILLI: u64 = 64_000;
const WORKER_MEMORY_MIB: u64 = 262_144;
/// How often jobs arrive and standing steps are looked for.
const INTERVAL_MS: u64 = 100;

/// Returns a state with three queues of calls of different lengths and one without advice. A team is within
/// its share up to `weight` jobs a second.
fn state(weight: u64) -> DesiredState {
    let short = queue_with_advice(SHORT_CALL_MS * 1_000, 0, TICKET_MS);
    let mut state = with_fill_queue(desired(1, short));
    for (prefix, call_ms) in [(SLOW, LONG_CALL_MS), (MIDDLE, MIDDLE_CALL_MS)] {
        state.queues.push(Queue {
            name: QueueName::new(prefix),
            path_prefix: prefix.into(),
            ..queue_with_advice(call_ms * 1_000, 0, TICKET_MS)
        });
    }
    for team in &mut state.teams {
        team.weight = weight;
    }
    state.with_sorted_queues()
}

/// Starts a cell whose workers check tickets. The advice service allows `allowed_permille` of the workers:
/// for short calls, for middle ones and for long ones.
fn cell(daemons: usize, workers: usize, weight: u64, allowed_permille: [u64; 3]) -> World {
    let mut world = World::new(daemons, workers, state(weight));
    let calls = [
        (PREFIX, SHORT_CALL_MS),
        (MIDDLE, MIDDLE_CALL_MS),
        (SLOW, LONG_CALL_MS),
    ];
    for ((prefix, call_ms), allowed_permille) in calls.into_iter().zip(allowed_permille) {
        let advice = FakeAdvice {
            call_ms,
            allowed_permille,
        };
        world.advice_by_prefix.insert(prefix.into(), advice);
    }
    for worker in world.workers.values_mut() {
        worker.ticket_valid_ms = Some(TICKET_MS);
    }
    world.run(3_000);
    assert!(world.leader().is_some(), "no daemon leads");
    world
}

/// Guards against an unused fleet that looks full, because gangs hold room while their calls for tickets wait
/// behind others.
#[test]
fn gangs_whose_calls_wait_hold_no_room() {
    let mut world = cell(3, 12, 100_000, [1_000; 3]);
    world.set_work_ms(12_000);
    world.submit_to(FILL, 0, 1, vec![step(12, 4_000)]);
    world.run(1_000);
    assert_eq!(starts_of(&world, 1), 12);
    world.set_work_ms(1_000);
    // Their first tickets expire while the fleet is full; together they need all of it.
    for job in 10..34 {
        world.submit_to(SLOW, 0, job, vec![gang(2, 1_000)]);
    }
    world.run(11_300);
    world.submit_to(FILL, 0, 2, vec![step(6, 4_000)]);
    world.run(1_000);
    assert_eq!(starts_of(&world, 2), 6);
}

/// Guards against a late gang whose call for advice waits for as long as newer late gangs ask.
#[test]
fn an_old_late_gang_gets_advice_beside_newer_ones() {
    // Jobs beyond the team's share count as late at once.
    let mut world = cell(3, 12, 1, [1_000; 3]);
    for job in 1..12 {
        world.submit_to(SLOW, 0, job, vec![gang(2, 10)]);
    }
    for job in 20..70 {
        world.submit_to(SLOW, 0, job, vec![gang(2, 10)]);
        world.run(200);
    }
    let idle = (1..12).find(|job| starts_of(&world, *job) == 0);
    assert_eq!(idle, None, "of the oldest");
}

/// Guards against late steps that ask again and again, because no worker is allowed or all refuse them, and use
/// up the turns of the others.
#[test]
fn steps_that_ask_in_vain_leave_others_their_turn() {
    let mut world = cell(3, 240, 100_000, [1_000, 0, 1_000]);
    let allow = |world: &mut World, allowed_permille| {
        let advice = FakeAdvice {
            call_ms: LONG_CALL_MS,
            allowed_permille,
        };
        world.advice_by_prefix.insert(SLOW.into(), advice);
    };
    allow(&mut world, 0);
    for job in 1..4 {
        world.submit_to(SLOW, 0, job, vec![step(1, 10)]);
    }
    world.run(100);
    allow(&mut world, 1_000);
    for job in 100..130 {
        world.submit_to(SLOW, 1, job, vec![step(1, 1)]);
    }
    world.submit_to(SLOW, 0, 50, vec![step(1, 10)]);
    for job in 200..250 {
        world.submit_to(SLOW, 1, job, vec![step(1, 1)]);
        world.run(200);
    }
    assert_eq!(starts_of(&world, 50), 1);
}

/// Guards against a late step with a long call that never has its turn where one daemon makes all calls.
#[test]
fn a_late_step_gets_advice_from_a_single_daemon() {
    let mut world = cell(1, 40, 100_000, [1_000; 3]);
    let flood = |world: &mut World, first: u64, span_ms: u64| {
        for at in 0..span_ms / INTERVAL_MS {
            for job in 0..12 {
                world.submit_to(PREFIX, 0, first + 12 * at + job, vec![step(1, 1)]);
            }
            world.run(INTERVAL_MS);
        }
    };
    flood(&mut world, 1_000, 4_000);
    world.submit_to(SLOW, 0, 1, vec![step(1, 10)]);
    flood(&mut world, 2_000, 20_000);
    assert_eq!(starts_of(&world, 1), 1);
}

/// A kind of request.
struct Kind {
    prefix: &'static str,
    /// How many arrive in 100 s at the usual load.
    per_100_s: u64,
    step: StepSpec,
}

/// Returns kinds like those of a deployment; together they use three quarters of the fleet at the usual load.
fn kinds() -> [Kind; 4] {
    let kind = |prefix, per_100_s, step, estimated_ms| Kind {
        prefix,
        per_100_s,
        step: StepSpec {
            estimated_ms: Millis(estimated_ms),
            ..step
        },
    };
    [
        kind(SLOW, 145, gang(8, 18_000), 5_000),
        kind(MIDDLE, 680, step(10, 3_900), 2_200),
        kind(PREFIX, 920, gang(3, 5_600), 1_000),
        kind(PREFIX, 2_160, step(2, 5_600), 1_000),
    ]
}

/// An overload, drawn by a seed.
#[derive(Clone, Debug)]
struct Overload {
    /// The load in tenths of the usual one.
    tenths: u64,
    load_ms: u64,
    /// When the leader is killed, counted from the begin of the overload.
    kills_ms: BTreeSet<u64>,
    /// How long a call for advice and its answer travel.
    advice_way_ms: u64,
}

impl Overload {
    fn draw(seed: u64) -> Self {
        let mut rng = Rng(seed);
        // The first numbers of close seeds are alike.
        for _ in 0..8 {
            rng.below(1);
        }
        let load_ms = 25_000 + rng.below(20_000);
        let kills_ms = (0..rng.below(4)).map(|_| rng.below(load_ms)).collect();
        Self {
            tenths: 24 + rng.below(10),
            load_ms,
            kills_ms,
            advice_way_ms: rng.below(3) * 25,
        }
    }
}

/// A cell with the jobs that were handed in.
struct Load {
    world: World,
    /// The call and the step of each job.
    jobs: BTreeMap<u64, (u64, StepSpec)>,
    /// How many thousandths of a job of each kind are left over.
    due: [u64; 4],
    /// The killed daemon, and when it starts again.
    down: Option<(usize, u64)>,
}

impl Load {
    fn new(overload: &Overload) -> Self {
        let mut world = cell(DAEMONS, WORKERS, 100_000, [700, 450, 300]);
        world.advice_way_ms = overload.advice_way_ms;
        world.works_as_estimated = true;
        world.key = OTHER_KEY.into();
        for worker in world.workers.values_mut() {
            worker.entry.capacity.cpu_milli = WORKER_CPU_MILLI;
            worker.entry.capacity.memory_mib = WORKER_MEMORY_MIB;
            world.store.put_worker(worker);
        }
        world.run(1_000);
        Self {
            world,
            jobs: BTreeMap::new(),
            due: [0; 4],
            down: None,
        }
    }

    /// Hands in the jobs of one interval at daemons that run.
    fn submit_interval(&mut self, tenths: u64) {
        for (at, kind) in kinds().into_iter().enumerate() {
            self.due[at] += kind.per_100_s * tenths * INTERVAL_MS / 1_000;
            while self.due[at] >= 1_000 {
                self.due[at] -= 1_000;
                let job = self.jobs.len() as u64 + 1;
                let running = (0..DAEMONS).filter(|daemon| self.world.is_running(*daemon));
                let running: Vec<usize> = running.collect();
                let daemon = running[job as usize % running.len()];
                let steps = vec![kind.step.clone()];
                let call = self.world.submit_to(kind.prefix, daemon, job, steps);
                self.jobs.insert(job, (call, kind.step.clone()));
            }
        }
    }

    fn run_overload(&mut self, overload: &Overload) {
        let begin = self.world.now;
        let mut kills = overload.kills_ms.iter().peekable();
        while self.world.now < begin + overload.load_ms {
            self.submit_interval(overload.tenths);
            self.world.run(INTERVAL_MS);
            let is_due = |at: &&u64| begin + **at <= self.world.now;
            if self.down.is_none() && kills.peek().is_some_and(is_due) {
                if let Some(leader) = self.world.leader() {
                    kills.next();
                    self.world.kill(leader);
                    self.down = Some((leader, self.world.now + DOWN_MS));
                }
            }
            self.start_daemon(self.world.now);
        }
        self.start_daemon(u64::MAX);
    }

    /// Starts the killed daemon again if that is due by `time`.
    fn start_daemon(&mut self, time: u64) {
        if let Some((daemon, _)) = self.down.take_if(|(_, until)| *until <= time) {
            self.world.start(daemon);
        }
    }

    /// Returns the used processors of each worker, and the jobs that run or are done.
    fn use_now(&self) -> (BTreeMap<usize, u64>, BTreeSet<u64>) {
        let mut used: BTreeMap<usize, u64> = BTreeMap::new();
        let mut begun = BTreeSet::new();
        for worker in self.world.workers.values() {
            for span in &worker.spans {
                let job = u64::from_str_radix(span.key.step.job.as_str(), 16).unwrap();
                if span.end.is_none() {
                    *used.entry(worker.number).or_default() += self.jobs[&job].1.need.cpu_milli;
                }
                if span.end.is_none() || span.done {
                    begun.insert(job);
                }
            }
        }
        (used, begun)
    }

    /// Returns the accepted jobs of which no task runs or is done, although less than half of the fleet is in
    /// use and there is room for their step twice over on the workers that their advice allows.
    fn standing_still(&self) -> Vec<u64> {
        let (used, begun) = self.use_now();
        if used.values().sum::<u64>() * 2 >= WORKERS as u64 * WORKER_CPU_MILLI {
            return Vec::new();
        }
        let could_run = |job: u64, step: &StepSpec| {
            let id = JobId::new(format!("{job:016x}"));
            let allowed = (0..WORKERS).filter(|number| self.world.advice_allows(&id, *number));
            let used_on = |number| used.get(&number).copied().unwrap_or_default();
            let free = allowed.map(|number| WORKER_CPU_MILLI.saturating_sub(used_on(number)));
            let slots: u64 = free.map(|free| free / step.need.cpu_milli).sum();
            slots >= 2 * u64::from(step.count)
        };
        let is_accepted = |call| self.world.answers.get(call) == Some(&ClientAnswer::Accepted);
        let waiting = self.jobs.iter().filter(|(job, (call, step))| {
            !begun.contains(job) && is_accepted(call) && could_run(**job, step)
        });
        waiting.map(|(job, _)| *job).collect()
    }

    /// Watches the steps; returns when one has stood still for longer than the rules allow, and its job.
    fn watch(&mut self) -> Option<(u64, u64)> {
        let begin = self.world.now;
        let mut still_since: BTreeMap<u64, u64> = BTreeMap::new();
        while self.world.now < begin + WATCH_MS {
            self.world.run(INTERVAL_MS);
            let still = self.standing_still();
            still_since.retain(|job, _| still.contains(job));
            for job in still {
                let since = *still_since.entry(job).or_insert(self.world.now);
                if self.world.now - since >= MAX_STANDSTILL_MS {
                    return Some((self.world.now - begin, job));
                }
            }
        }
        None
    }
}

/// Guards against steps that stand still after an overload although the fleet is more than half unused:
/// their calls wait behind those of newer steps, or other steps whose calls wait hold the room.
/// `SEED` and `SEEDS` draw others.
#[test]
fn no_step_stands_still_after_an_overload() {
    let first = env_number("SEED").unwrap_or(3);
    let count = env_number("SEEDS").unwrap_or(3);
    for seed in first..first + count {
        let overload = Overload::draw(seed);
        let mut load = Load::new(&overload);
        load.run_overload(&overload);
        let standing = load.watch();
        assert_eq!(standing, None, "seed {seed}: {overload:?}");
        load.world.assert_once();
    }
}
