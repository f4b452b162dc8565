//! What a daemon sends and receives.

use crate::{
    fixture::{Domain, Size},
    report::{Bound, Report},
    CONTROL_BYTES_PER_S, CONTROL_CORE_PERCENT, SIZES, TARGET_STARTS_PER_S, TARGET_TEAMS,
    TARGET_WORKERS,
};
use pomelotide_core::Class;

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

/// Prints all measures of messages.
pub fn measure(report: &mut Report) {
    control_messages(report);
    work_messages(report);
    owing_workers(report);
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
    for (domains, daemons) in [(3, 3), (6, 3), (10, 6), (10, 9)] {
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
    let bound = match size.workers {
        TARGET_WORKERS => Bound::Most(CONTROL_BYTES_PER_S),
        _ => Bound::None,
    };
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
        jobs(&mut domain, rate, 1, 10);
        work_lines(report, &format!("work.jobs-{rate}"), &domain, 10);
    }
    let mut domain = Domain::settled(Size::new(TARGET_WORKERS, TARGET_TEAMS));
    domain.metered = true;
    jobs(&mut domain, TARGET_STARTS_PER_S, 100, 10);
    work_lines(report, "work.jobs-of-100-430", &domain, 10);
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

fn jobs(domain: &mut Domain, rate: u64, tasks: u32, span_s: u64) {
    let jobs_by = |hundredth: u64| rate * hundredth / u64::from(tasks) / 100;
    for hundredth in 0..span_s * 100 {
        for _ in jobs_by(hundredth)..jobs_by(hundredth + 1) {
            let event = domain.job(Class::Batch, tasks);
            domain.step(event);
        }
        let most = (rate / 10).max(u64::from(tasks) * 4) as usize;
        while domain.started.len() > most {
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
