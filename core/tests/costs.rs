//! Bounds on messages, bytes and table rows at the target's size, in virtual time.
//!
//! The bounds come from the target: 19 KB a second for a daemon's control, several hundred table
//! transactions a second for ten failure domains.

mod fixture;

use fixture::{Domain, Size};
use pomelotide_core::{Answer, Class, JobState, Resources};

const WORKERS: usize = 3_000;
const TEAMS: usize = 120;
/// What a daemon may send and receive for control.
const CONTROL_BYTES_PER_S: u64 = 19_000;
/// The transactions of one of ten failure domains, of 300 a second in all.
const TRANSACTIONS_PER_S: u64 = 30;
const STARTS_PER_S: u64 = 430;

fn target() -> Size {
    Size::new(WORKERS, TEAMS)
}

/// Returns the control bytes of two idle minutes, a second, without those of one kind. In two
/// minutes the target has 96 notes and one change of a failure domain's host list: 190 restarts of
/// three changes and 44 failures of two, a day.
fn control_bytes_per_s(size: Size, without: &str) -> u64 {
    let mut domain = Domain::settled(size);
    domain.metered = true;
    domain.change_host();
    for _ in 0..96 {
        domain.publish(1);
        domain.run(1_250);
    }
    let kinds = domain.meter.iter().filter(|(kind, _)| *kind != without);
    kinds.map(|(_, count)| count.bytes).sum::<u64>() / 120
}

#[test]
fn a_keepers_control_fits_the_target() {
    let bytes = control_bytes_per_s(target(), "none");
    assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} B/s");
}

#[test]
fn a_keepers_control_without_renewals_fits_the_target() {
    let bytes = control_bytes_per_s(target(), "worker-renew");
    assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} B/s");
}

#[test]
fn a_followers_control_fits_the_target() {
    let size = Size {
        follower: true,
        ..target()
    };
    let bytes = control_bytes_per_s(size, "none");
    assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} B/s");
}

#[test]
fn a_placed_request_is_one_message_at_any_size() {
    for workers in [48, 480, WORKERS] {
        let mut domain = Domain::settled(Size::new(workers, TEAMS));
        domain.metered = true;
        let event = domain.request();
        domain.step(event);
        assert_eq!(domain.meter.iter().count(), 1);
        assert_eq!(domain.meter.get("worker-start").messages, 1);
        assert_eq!(domain.effects, 1, "the start alone");
        domain.end_oldest();
        assert_eq!(domain.meter.get("worker-ack").messages, 1);
        assert!(matches!(domain.answers[..], [Answer::Done(_)]));
    }
}

#[test]
fn a_gang_of_eight_is_eight_starts_and_one_transaction() {
    for workers in [48, WORKERS] {
        let mut domain = Domain::settled(Size::new(workers, TEAMS));
        domain.metered = true;
        domain.place_job(Class::Gang, 8);
        assert_eq!(domain.meter.get("worker-start").messages, 8);
        assert_eq!(domain.meter.get("commit").messages, 1);
    }
}

#[test]
fn a_wave_of_cancellations_is_few_transactions() {
    let mut domain = Domain::settled(target());
    domain.submit(Class::Batch, 500, 2);
    domain.reset();
    domain.metered = true;
    for job in 0..500 {
        let event = domain.cancellation_of(job);
        domain.step(event);
    }
    domain.run(2_000);
    let cancelled = |answer: &&Answer| **answer == Answer::Job(JobState::Cancelled);
    assert_eq!(domain.answers.iter().filter(cancelled).count(), 500);
    assert_eq!(domain.meter.get("worker-stop").messages, 1_000);
    assert!(domain.meter.get("commit").messages <= 2 * TRANSACTIONS_PER_S);
}

#[test]
fn job_starts_at_the_targets_rate_keep_to_few_transactions() {
    let mut domain = Domain::settled(target());
    domain.metered = true;
    for _ in 0..100 {
        for _ in 0..STARTS_PER_S / 100 {
            let event = domain.job(Class::Batch, 1);
            domain.step(event);
        }
        while domain.started.len() > 43 {
            domain.end_oldest();
        }
        domain.run(10);
    }
    let commit = domain.meter.get("commit");
    assert!(commit.messages <= TRANSACTIONS_PER_S, "{}", commit.messages);
    let jobs_rows = commit.rows - commit.messages;
    assert!(jobs_rows <= 4 * STARTS_PER_S, "{jobs_rows} rows");
}

#[test]
fn a_worker_that_is_heard_anyway_gets_no_extra_renewals() {
    let mut domain = Domain::settled(target());
    for _ in 0..WORKERS {
        let event = domain.request();
        domain.step(event);
    }
    domain.reset();
    domain.metered = true;
    for _ in 0..40 {
        domain.run(250);
        domain.hear_workers();
    }
    let idle = WORKERS as u64 / 20 * 2 * 10;
    let renewals = domain.meter.get("worker-renew").messages;
    assert!(renewals <= idle * 2, "{renewals} messages in 10 s");
}

#[test]
fn a_takeover_asks_each_worker_once_and_adopts_every_task() {
    let mut domain = Domain::settled(target());
    domain.submit(Class::Batch, 2_600, 10);
    let mut next = domain.successor();
    next.metered = true;
    next.run(4_000);
    assert_eq!(next.core.status().tasks_running, 26_000);
    assert_eq!(next.core.fleet().unclaimed_capacity(), Resources::default());
    assert_eq!(next.core.fleet().unclaimed_count(), 0);
    assert_eq!(next.meter.get("worker-claim").messages, 2 * WORKERS as u64);
    assert_eq!(next.meter.get("worker-start").messages, 0);
    assert_eq!(next.meter.get("worker-stop").messages, 0);
    assert!(next.meter.get("job-read").messages <= 2_600 / 512 + 2);
}
