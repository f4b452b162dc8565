//! What decisions cost the control thread.

use crate::{
    fixture::{Domain, Size},
    report::{Bound, Report},
    CONTROL_CORE_PERCENT, SIZES, TARGET_RUNNING, TARGET_STARTS_PER_S, TARGET_TEAMS, TARGET_WORKERS,
};
use hdrhistogram::Histogram;
use pomelotide_core::{Class, Event, Millis};
use std::time::Duration;

/// The rate at which placement must stay under a millisecond.
const PEAK_PLACEMENTS_PER_S: u64 = 5_000;
/// The rounds of which the median counts.
const ROUNDS: usize = 5;

/// Prints all measures of the control thread's time.
pub fn measure(report: &mut Report) {
    ticks(report);
    peak(report);
    burst(report);
    full_fleet(report);
    waiting_gang(report);
    known_requests(report);
    notes(report);
    cancellation(report);
    takeover(report);
}

/// Measures the processor time of idle ticks and of heartbeats.
fn ticks(report: &mut Report) {
    for workers in SIZES {
        let mut domain = Domain::settled(Size::new(workers, TARGET_TEAMS));
        let mut all = Duration::ZERO;
        for _ in 0..1_000 {
            domain.now_ms = domain.now_ms + Millis(10);
            all += domain.step(Event::Tick);
        }
        let per_tick = all.as_secs_f64() * 1e6 / 1_000.0;
        report.line(
            &format!("time.tick.workers-{workers}"),
            per_tick,
            "us",
            Bound::None,
        );
    }
}

/// Feeds arrivals at a fixed rate to one control thread whose work takes its real time, and
/// measures from each arrival's due time until its task is placed.
fn peak(report: &mut Report) {
    for workers in SIZES {
        let class_names = [
            (Class::Small, "request"),
            (Class::Batch, "batch"),
            (Class::Service, "service"),
        ];
        for (class, name) in class_names {
            let took = median_round(workers, class);
            // A job waits for its row anyway, so that only its own time counts.
            let p99 = match class {
                Class::Small => took.p99_us(),
                _ => took.steps.value_at_quantile(0.99) as f64 / 1_000.0,
            };
            let mean = took.steps.mean() / 1_000.0;
            let name = format!("placement.{name}.workers-{workers}");
            report.line(&format!("{name}.mean"), mean, "us", Bound::None);
            report.line(&format!("{name}.p99"), p99, "us", Bound::Most(1_000.0));
            report.line(
                &format!("{name}.busy"),
                took.busy_percent,
                "%",
                Bound::Most(100.0),
            );
        }
    }
}

/// Measures how long the control thread is kept by one transaction's answer that lets 200 jobs
/// start, which is 40 ms of 5,000 a second.
fn burst(report: &mut Report) {
    for workers in SIZES {
        let mut domain = Domain::settled(Size::new(workers, TARGET_TEAMS));
        let mut longest = Vec::new();
        for _ in 0..ROUNDS {
            for _ in 0..PEAK_PLACEMENTS_PER_S / 25 {
                let event = domain.job(Class::Batch, 1);
                domain.step(event);
            }
            domain.longest = Duration::ZERO;
            domain.run(100);
            longest.push(domain.longest);
            while !domain.started.is_empty() {
                domain.end_oldest();
            }
        }
        longest.sort();
        let us = longest[ROUNDS / 2].as_secs_f64() * 1e6;
        report.line(
            &format!("burst.jobs-200.workers-{workers}"),
            us,
            "us",
            Bound::None,
        );
    }
}

/// Returns the round whose p99 is the median of all, since other processes disturb some.
fn median_round(workers: usize, class: Class) -> Took {
    let mut domain = Domain::settled(Size::new(workers, TARGET_TEAMS));
    fill(&mut domain, workers * 8);
    let mut rounds: Vec<Took> = (0..ROUNDS)
        .map(|_| placements(&mut domain, class))
        .collect();
    rounds.sort_by(|a, b| a.p99_us().total_cmp(&b.p99_us()));
    rounds.swap_remove(ROUNDS / 2)
}

/// Lets the workers run tasks that don't end.
fn fill(domain: &mut Domain, tasks: usize) {
    domain.submit(Class::Batch, tasks / 8 / 10, 10);
    domain.started.clear();
}

struct Took {
    waits: Histogram<u64>,
    steps: Histogram<u64>,
    busy_percent: f64,
}

impl Took {
    fn p99_us(&self) -> f64 {
        self.waits.value_at_quantile(0.99) as f64 / 1_000.0
    }
}

fn placements(domain: &mut Domain, class: Class) -> Took {
    let mut waits = Histogram::new(3).unwrap();
    let mut steps = Histogram::new(3).unwrap();
    let (mut free_ns, mut busy_ns) = (0_u64, 0_u64);
    let gap_ns = 1_000_000_000 / PEAK_PLACEMENTS_PER_S;
    for number in 0..PEAK_PLACEMENTS_PER_S {
        let due_ns = number * gap_ns;
        let took = place(domain, class).as_nanos() as u64;
        steps.record(took).unwrap();
        free_ns = free_ns.max(due_ns) + took;
        waits.record(free_ns - due_ns).unwrap();
        let mut after = Duration::ZERO;
        if domain.started.len() > 100 {
            after += domain.end_oldest();
        }
        if number % (PEAK_PLACEMENTS_PER_S / 100) == 0 {
            domain.now_ms = domain.now_ms + Millis(10);
            after += domain.step(Event::Tick);
        }
        free_ns += after.as_nanos() as u64;
        busy_ns += took + after.as_nanos() as u64;
    }
    Took {
        waits,
        steps,
        busy_percent: busy_ns as f64 / 1e7,
    }
}

/// Places one task; a batch task's row is answered outside the measured span.
fn place(domain: &mut Domain, class: Class) -> Duration {
    match class {
        Class::Small => {
            let event = domain.request();
            domain.step(event)
        }
        _ => domain.place_job(class, 1),
    }
}

/// Measures the end of a task while work of every team waits and nothing is free.
fn full_fleet(report: &mut Report) {
    for teams in [6, 40, TARGET_TEAMS] {
        let mut domain = Domain::settled(Size::new(48, teams));
        domain.submit(Class::Batch, 308 + teams * 10, 10);
        let ends = 200;
        let all: Duration = (0..ends).map(|_| domain.end_oldest()).sum();
        let mean = all.as_secs_f64() * 1e6 / f64::from(ends);
        report.line(
            &format!("full.task-end.teams-{teams}"),
            mean,
            "us",
            Bound::None,
        );
        let busy = mean * TARGET_STARTS_PER_S as f64 / 1e4;
        let name = format!("full.processor-at-430.teams-{teams}");
        report.line(&name, busy, "%", Bound::Most(CONTROL_CORE_PERCENT));
    }
}

/// Measures the end of a task while a gang of 100 waits for room.
fn waiting_gang(report: &mut Report) {
    for workers in [12, 48, 480] {
        let mut domain = Domain::settled(Size::new(workers, 6));
        domain.submit(Class::Batch, workers * 8, 8);
        domain.submit(Class::Gang, 1, 100);
        let ends = 90;
        let all: Duration = (0..ends).map(|_| domain.end_oldest()).sum();
        let mean = all.as_secs_f64() * 1e6 / f64::from(ends);
        report.line(
            &format!("gang-waits.task-end.workers-{workers}"),
            mean,
            "us",
            Bound::None,
        );
        let busy = mean * TARGET_STARTS_PER_S as f64 / 1e4;
        let name = format!("gang-waits.processor-at-430.workers-{workers}");
        report.line(&name, busy, "%", Bound::Most(CONTROL_CORE_PERCENT));
    }
}

/// Measures what requests that are answered and still known cost.
fn known_requests(report: &mut Report) {
    for known in [1_000, 10_000, 26_000] {
        let mut domain = Domain::settled(Size::new(48, TARGET_TEAMS));
        for _ in 0..known {
            let event = domain.request();
            domain.step(event);
            domain.end_oldest();
        }
        let mut ticks = Duration::ZERO;
        for _ in 0..100 {
            domain.now_ms = domain.now_ms + Millis(10);
            ticks += domain.step(Event::Tick);
        }
        let percent = ticks.as_secs_f64() * 100.0;
        let bound = Bound::Most(CONTROL_CORE_PERCENT);
        report.line(
            &format!("known.processor.requests-{known}"),
            percent,
            "%",
            bound,
        );
        let hung_up: Duration = (0..100)
            .map(|_| {
                let event = domain.request();
                domain.step(event);
                domain.step(domain.hang_up())
            })
            .sum();
        let mean = hung_up.as_secs_f64() * 1e6 / 100.0;
        let bound = Bound::Most(1_000.0);
        report.line(
            &format!("known.hang-up.requests-{known}"),
            mean,
            "us",
            bound,
        );
    }
}

/// Measures how long one note keeps the control thread, applied and proposed.
fn notes(report: &mut Report) {
    for teams in [6, 40, TARGET_TEAMS] {
        for entries in [1, 1_000] {
            let mut domain = Domain::settled(Size::new(480, teams));
            domain.publish(3_000);
            domain.run(2_000);
            domain.longest = Duration::ZERO;
            domain.publish(entries);
            domain.run(1_100);
            let name = format!("teams-{teams}.entries-{entries}");
            let us = domain.longest.as_secs_f64() * 1e6;
            report.line(&format!("note.apply.{name}"), us, "us", Bound::None);
            let event = domain.proposal(entries);
            domain.longest = Duration::ZERO;
            domain.step(event);
            domain.run(200);
            let us = domain.longest.as_secs_f64() * 1e6;
            report.line(&format!("note.propose.{name}"), us, "us", Bound::None);
        }
    }
}

/// Measures the cancellation of one job among many.
fn cancellation(report: &mut Report) {
    for jobs in [26, 260, 2_600] {
        let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
        domain.submit(Class::Batch, jobs, 10);
        let all: Duration = (0..20)
            .map(|_| {
                let event = domain.cancellation();
                let took = domain.step(event);
                domain.run(100);
                took
            })
            .sum();
        let mean = all.as_secs_f64() * 1e6 / 20.0;
        report.line(
            &format!("cancel.jobs-{jobs}"),
            mean,
            "us",
            Bound::Most(1_000.0),
        );
    }
}

/// Measures what a new keeper does until every job is adopted.
fn takeover(report: &mut Report) {
    for (workers, tasks) in [(48, 416), (480, 4_160), (TARGET_WORKERS, TARGET_RUNNING)] {
        let mut domain = Domain::settled(Size::new(workers, TARGET_TEAMS));
        domain.submit(Class::Batch, tasks / 10, 10);
        let mut next = domain.successor();
        next.metered = true;
        next.run(4_000);
        assert_eq!(next.core.status().tasks_running, tasks / 10 * 10);
        let ms = next.spent.as_secs_f64() * 1_000.0;
        report.line(
            &format!("takeover.workers-{workers}.time"),
            ms,
            "ms",
            Bound::Most(2_200.0),
        );
        for kind in ["worker-claim", "job-read"] {
            let count = next.meter.get(kind);
            let name = format!("takeover.workers-{workers}.{kind}");
            report.line(
                &format!("{name}.messages"),
                count.messages as f64,
                "1",
                Bound::None,
            );
            report.line(
                &format!("{name}.bytes"),
                count.bytes as f64,
                "B",
                Bound::None,
            );
        }
    }
}
