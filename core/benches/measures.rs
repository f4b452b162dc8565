//! Prints one line a measure, `name value unit bound`, and `OVER` behind a broken bound.
#![allow(missing_docs, clippy::unwrap_used)] // A benchmark is a test.

#[path = "../tests/fixture/mod.rs"]
mod fixture;
mod report;

use fixture::{
    alloc::{live_bytes, Counting},
    meter::{FRAME_OVERHEAD_BYTES, HTTP_OVERHEAD_BYTES},
    Domain, Size,
};
use hdrhistogram::Histogram;
use pomelotide_core::{Class, Event, Millis};
use report::{Bound, Report};
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// What a daemon may spend on control, by the target.
const CONTROL_BYTES_PER_S: f64 = 19_000.0;
const CONTROL_CORE_PERCENT: f64 = 4.0;
const CONTROL_MIB: f64 = 32.0;
/// What a failure domain has at the target: a tenth of everything.
const TARGET_WORKERS: usize = 3_000;
const TARGET_TEAMS: usize = 120;
const TARGET_RUNNING: usize = 26_000;
const TARGET_STARTS_PER_S: u64 = 430;
/// The rate at which placement must stay under a millisecond.
const PEAK_PLACEMENTS_PER_S: u64 = 5_000;
/// The rounds of which the median counts.
const ROUNDS: usize = 5;
/// The span over which messages are counted, in seconds.
const SPAN_S: u64 = 120;
/// The configuration changes of the target in one span: 69,000 a day.
const SPAN_NOTES: u64 = 96;

/// The kinds that carry control; all others grow with the work.
const CONTROL_KINDS: [&str; 9] = [
    "heartbeat-near",
    "heartbeat-far",
    "worker-renew",
    "config-poll",
    "config-delta",
    "member-write",
    "member-read",
    "host-list",
    "keeper-read",
];

const SIZES: [usize; 3] = [48, 480, TARGET_WORKERS];

fn main() {
    let mut report = Report::default();
    report.line(
        "overhead.frame",
        FRAME_OVERHEAD_BYTES as f64,
        "B",
        Bound::None,
    );
    report.line(
        "overhead.http",
        HTTP_OVERHEAD_BYTES as f64,
        "B",
        Bound::None,
    );
    control_messages(&mut report);
    work_messages(&mut report);
    owing_workers(&mut report);
    memory(&mut report);
    ticks(&mut report);
    peak(&mut report);
    full_fleet(&mut report);
    waiting_gang(&mut report);
    known_requests(&mut report);
    notes(&mut report);
    cancellation(&mut report);
    takeover(&mut report);
    report.finish();
}

/// Counts what a settled daemon sends and receives in two minutes without work.
fn control_messages(report: &mut Report) {
    let follower = |size| Size {
        follower: true,
        ..size
    };
    for workers in SIZES {
        let size = Size::new(workers, TARGET_TEAMS);
        control_span(report, &format!("keeper.workers-{workers}"), size);
        control_span(
            report,
            &format!("follower.workers-{workers}"),
            follower(size),
        );
    }
    for (domains, daemons) in [(3, 3), (10, 3), (10, 6)] {
        let size = Size {
            domains,
            daemons,
            ..Size::new(480, TARGET_TEAMS)
        };
        let name = format!("keeper.domains-{domains}.daemons-{daemons}");
        control_span(report, &name, size);
    }
    control_span(report, "keeper.teams-6", Size::new(480, 6));
}

fn control_span(report: &mut Report, name: &str, size: Size) {
    let mut domain = Domain::settled(size);
    domain.metered = true;
    // 190 restarts of three changes of the list and 44 failures of two a day: one in the span.
    domain.change_host();
    for _ in 0..SPAN_NOTES {
        domain.publish(1);
        domain.run(SPAN_S * 1_000 / SPAN_NOTES);
    }
    let per_s = |count: u64| count as f64 / SPAN_S as f64;
    let mut sum = 0.0;
    for (kind, count) in domain.meter.iter() {
        let (messages, bytes) = (per_s(count.messages), per_s(count.bytes));
        report.line(
            &format!("control.{name}.{kind}.messages"),
            messages,
            "1/s",
            Bound::None,
        );
        report.line(
            &format!("control.{name}.{kind}.bytes"),
            bytes,
            "B/s",
            Bound::None,
        );
        if CONTROL_KINDS.contains(&kind) {
            sum += bytes;
        }
    }
    let bound = Bound::Most(CONTROL_BYTES_PER_S);
    report.line(&format!("control.{name}.bytes"), sum, "B/s", bound);
    let percent = domain.spent.as_secs_f64() / SPAN_S as f64 * 100.0;
    let bound = Bound::Most(CONTROL_CORE_PERCENT);
    report.line(&format!("control.{name}.processor"), percent, "%", bound);
}

/// Counts what work at the target's rate sends: questions of 100 ms, and one-task jobs.
fn work_messages(report: &mut Report) {
    for rate in [43, 130, TARGET_STARTS_PER_S] {
        let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
        domain.metered = true;
        requests(&mut domain, rate, 10);
        work_lines(report, &format!("work.requests-{rate}"), &domain, 10);
        let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
        domain.metered = true;
        jobs(&mut domain, rate, 10);
        work_lines(report, &format!("work.jobs-{rate}"), &domain, 10);
    }
}

/// Counts the renewals at workers that all owe an answer, each of which reports something else
/// `reports_per_s` times a second.
fn owing_workers(report: &mut Report) {
    for (workers, reports_per_s) in [(48, 0), (480, 0), (3_000, 0), (3_000, 4)] {
        let mut domain = Domain::settled(Size::new(workers, TARGET_TEAMS));
        for _ in 0..workers {
            let event = domain.request();
            domain.step(event);
        }
        domain.reset();
        domain.metered = true;
        for _ in 0..10 * reports_per_s.max(1) {
            domain.run(1_000 / reports_per_s.max(1));
            if reports_per_s > 0 {
                domain.hear_workers();
            }
        }
        let bytes = domain.meter.get("worker-renew").bytes as f64 / 10.0;
        let name = format!("owing.workers-{workers}.reports-{reports_per_s}.renew");
        report.line(&name, bytes, "B/s", Bound::None);
    }
}

fn requests(domain: &mut Domain, rate: u64, span_s: u64) {
    for hundredth in 0..span_s * 100 {
        let due = rate * (hundredth + 1) / 100 - rate * hundredth / 100;
        for _ in 0..due {
            let event = domain.request();
            domain.step(event);
        }
        while domain.started.len() as u64 > rate / 10 {
            domain.end_oldest();
        }
        domain.run(10);
    }
}

fn jobs(domain: &mut Domain, rate: u64, span_s: u64) {
    for hundredth in 0..span_s * 100 {
        let due = rate * (hundredth + 1) / 100 - rate * hundredth / 100;
        for _ in 0..due {
            let event = domain.job(Class::Batch, 1);
            domain.step(event);
        }
        while domain.started.len() as u64 > rate / 10 {
            domain.end_oldest();
        }
        domain.run(10);
    }
}

fn work_lines(report: &mut Report, name: &str, domain: &Domain, span_s: u64) {
    let per_s = |count: u64| count as f64 / span_s as f64;
    for (kind, count) in domain.meter.iter() {
        if CONTROL_KINDS.contains(&kind) && kind != "worker-renew" {
            continue;
        }
        let (messages, bytes) = (per_s(count.messages), per_s(count.bytes));
        report.line(
            &format!("{name}.{kind}.messages"),
            messages,
            "1/s",
            Bound::None,
        );
        report.line(&format!("{name}.{kind}.bytes"), bytes, "B/s", Bound::None);
        if count.rows > 0 {
            report.line(
                &format!("{name}.{kind}.rows"),
                per_s(count.rows),
                "1/s",
                Bound::None,
            );
        }
    }
    let percent = domain.spent.as_secs_f64() / span_s as f64 * 100.0;
    report.line(&format!("{name}.processor"), percent, "%", Bound::None);
}

fn core_bytes(mut domain: Domain) -> f64 {
    let before = live_bytes();
    drop(domain.take_core());
    (before - live_bytes()) as f64
}

/// Prints the slope of the reducer's memory over `count`, between each two of three sizes.
fn slope(report: &mut Report, name: &str, points: &[(usize, f64)]) {
    for pair in points.windows(2) {
        let [(few, less), (many, more)] = pair else {
            continue;
        };
        let per_one = (more - less) / (many - few) as f64;
        report.line(
            &format!("memory.{name}.{few}-{many}"),
            per_one,
            "B",
            Bound::None,
        );
    }
}

fn memory(report: &mut Report) {
    let of = |counts: [usize; 3], make: &dyn Fn(usize) -> Domain| {
        counts.map(|count| (count, core_bytes(make(count))))
    };
    let workers = of(SIZES, &|count| Domain::settled(Size::new(count, 6)));
    slope(report, "worker", &workers);
    let teams = of([6, 40, 120], &|count| Domain::settled(Size::new(48, count)));
    slope(report, "team-with-key", &teams);
    let entries = of([0, 1_000, 3_000], &|count| {
        let mut domain = Domain::settled(Size::new(48, 6));
        for _ in 0..count / 1_000 {
            domain.publish(1_000);
        }
        domain.run(2_000);
        domain
    });
    slope(report, "configuration-entry", &entries);
    let notes = of([0, 1_000, 3_000], &|count| {
        let mut domain = Domain::settled(Size::new(48, 6));
        (0..count).for_each(|_| domain.publish(1));
        domain.run(20_000);
        domain
    });
    slope(report, "accepted-note", &notes);
    let tasks = of([0, 2_600, TARGET_RUNNING], &|count| {
        let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
        domain.submit(Class::Batch, count / 10, 10);
        assert_eq!(domain.core.status().tasks_running, count);
        domain
    });
    slope(report, "running-task", &tasks);
    let waiting = of([0, 1_000, 10_000], &|count| {
        let mut domain = Domain::settled(Size::new(2, 6));
        domain.submit(Class::Batch, 13, 10);
        domain.submit(Class::Batch, count / 10, 10);
        domain
    });
    slope(report, "waiting-task", &waiting);
    let answered = of([0, 1_000, 10_000], &|count| {
        let mut domain = Domain::settled(Size::new(48, 6));
        for _ in 0..count {
            let event = domain.request();
            domain.step(event);
            domain.end_oldest();
        }
        domain
    });
    slope(report, "answered-request", &answered);
    let target = tasks[2].1 / 1_048_576.0;
    report.line(
        "memory.keeper-at-target",
        target,
        "MiB",
        Bound::Most(CONTROL_MIB),
    );
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
            let p99 = took.p99_us();
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
