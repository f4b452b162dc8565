//! What the reducer holds.

use crate::{
    fixture::{alloc::live_bytes, Domain, Size},
    report::{Bound, Report},
    CONTROL_MIB, SIZES, TARGET_RUNNING, TARGET_STARTS_PER_S, TARGET_TEAMS, TARGET_WORKERS,
};
use pomelotide_core::{consts, Class};

/// The notes that a daemon knows again.
const REMEMBERED_NOTES: usize = 8_192;

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

fn of(counts: [usize; 3], make: &dyn Fn(usize) -> Domain) -> [(usize, f64); 3] {
    counts.map(|count| (count, core_bytes(make(count))))
}

fn configuration(report: &mut Report) {
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
}

/// Prints all measures of memory.
pub fn measure(report: &mut Report) {
    configuration(report);
    let workers = of(SIZES, &|count| Domain::settled(Size::new(count, 6)));
    slope(report, "worker", &workers);
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
    let bound = Bound::Most(CONTROL_MIB);
    let target = tasks[2].1 / 1_048_576.0;
    report.line("memory.keeper-at-target.jobs", target, "MiB", bound);
    let target = core_bytes(keeper_at_target()) / 1_048_576.0;
    report.line("memory.keeper-at-target.all", target, "MiB", bound);
}

/// Makes a keeper with the target's running tasks, the answered questions that are kept at the
/// target's rate, and all the notes that it remembers.
fn keeper_at_target() -> Domain {
    let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
    (0..REMEMBERED_NOTES).for_each(|_| domain.publish(1));
    domain.run(20_000);
    domain.submit(Class::Batch, TARGET_RUNNING / 10, 10);
    domain.started.clear();
    let kept_s = consts::IDEMPOTENT_ANSWER_RETENTION_MS.0 / 1_000;
    for _ in 0..TARGET_STARTS_PER_S * kept_s {
        let event = domain.request();
        domain.step(event);
        domain.end_oldest();
    }
    domain
}
