//! Wall time of single decisions at several sizes.
#![allow(missing_docs, clippy::unwrap_used)] // A benchmark is a test.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use fixture::{Domain, Size};
use pomelotide_core::Class;
use std::time::Duration;

/// Workers and teams of each run.
const SIZES: [(usize, usize); 6] = [
    (48, 6),
    (48, 120),
    (480, 6),
    (480, 120),
    (3_000, 6),
    (3_000, 120),
];
/// The tasks that run while others are placed.
const RUNNING: usize = 64;

fn each_size(
    criterion: &mut Criterion,
    name: &str,
    mut decide: impl FnMut(&mut Domain) -> Duration,
) {
    let mut group = criterion.benchmark_group(name);
    group
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    for (workers, teams) in SIZES {
        let mut domain = Domain::settled(Size::new(workers, teams));
        let id = BenchmarkId::from_parameter(format!("{workers}x{teams}"));
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|rounds| (0..rounds).map(|_| decide(&mut domain)).sum());
        });
    }
    group.finish();
}

fn end_all_but(domain: &mut Domain, running: usize) {
    while domain.started.len() > running {
        domain.end_oldest();
    }
}

fn admit_request(domain: &mut Domain) -> Duration {
    let event = domain.request();
    let took = domain.step(event);
    end_all_but(domain, RUNNING);
    took
}

fn place_task(domain: &mut Domain) -> Duration {
    let took = domain.place_job(Class::Batch, 1);
    end_all_but(domain, RUNNING);
    took
}

fn place_gang(domain: &mut Domain) -> Duration {
    let took = domain.place_job(Class::Gang, 8);
    end_all_but(domain, RUNNING);
    took
}

fn cancel(domain: &mut Domain) -> Duration {
    domain.place_job(Class::Batch, 1);
    let event = domain.cancellation();
    let took = domain.step(event);
    domain.started.clear();
    domain.run(50);
    took
}

fn apply_note(domain: &mut Domain, entries: usize) -> Duration {
    domain.publish(entries);
    domain.longest = Duration::ZERO;
    domain.run(1_100);
    domain.longest
}

fn take_over(domain: &mut Domain) -> Duration {
    if domain.jobs.is_empty() {
        domain.submit(Class::Batch, 40, 10);
    }
    let mut next = domain.successor();
    next.run(3_000);
    let took = next.spent;
    *domain = next;
    took
}

fn decisions(criterion: &mut Criterion) {
    each_size(criterion, "admit-request", admit_request);
    each_size(criterion, "place-task", place_task);
    each_size(criterion, "place-gang-of-8", place_gang);
    each_size(criterion, "cancel-job", cancel);
    each_size(criterion, "apply-note-of-1", |domain| apply_note(domain, 1));
    each_size(criterion, "take-over", take_over);
}

/// Notes of 1,000 entries are applied one for each run, since the configuration grows by them.
fn large_notes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("apply-note-of-1000");
    group.sample_size(10).warm_up_time(Duration::from_millis(1));
    group.measurement_time(Duration::from_millis(10));
    for (workers, teams) in SIZES {
        let id = BenchmarkId::from_parameter(format!("{workers}x{teams}"));
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|rounds| {
                let rounds = 0..rounds;
                let one = |_| apply_note(&mut Domain::settled(Size::new(workers, teams)), 1_000);
                rounds.map(one).sum()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, large_notes);
criterion_main!(benches);
