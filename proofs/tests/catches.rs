//! Each check is seen to fail: on a bad history written by hand, or with a guard switched off.

#![allow(clippy::unwrap_used)]

use pomelotide_core::{
    Answer, DaemonId, DomainName, Entry, EntryName, KeyName, Millis, Note, NoteId, Payload,
    Refusal, Resources, Revision, TaskAttempt, TaskId, TeamName, Term, WorkerId,
};
use pomelotide_proofs::{run_script, CallNumber, Checker, Failure, Invariant, Observation, Script};
use std::path::PathBuf;

/// Feeds a history, one observation a second, and returns the invariant that breaks.
fn broken(history: Vec<Observation>) -> Option<Invariant> {
    let mut checker = Checker::default();
    let timed = history
        .iter()
        .enumerate()
        .map(|(i, seen)| (Millis(i as u64 * 1_000), seen));
    let mut verdicts = timed.map(|(at_ms, seen)| checker.see(at_ms, seen));
    verdicts
        .find_map(Result::err)
        .map(|violation| violation.invariant)
}

/// Runs a script from its text and returns the invariant that breaks.
fn broken_by_script(text: &str) -> Option<Invariant> {
    let script: Script = text.parse().unwrap();
    let notes = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/notes");
    match run_script(&script, &notes).failure {
        Some(Failure::Broken(violation)) => Some(violation.invariant),
        Some(unmet) => panic!("{unmet}"),
        None => None,
    }
}

fn slots(slots: u64) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

fn asked(call: u64, id: &str, key: Option<&str>, idempotent: bool) -> Observation {
    let (call, key) = (CallNumber(call), key.map(String::from));
    Observation::Asked {
        call,
        id: id.into(),
        key,
        idempotent,
        echo: format!("echo of {id}"),
    }
}

fn answered(call: u64, answer: Answer) -> Observation {
    Observation::Answered {
        call: CallNumber(call),
        answer,
    }
}

fn refused(reason: Refusal) -> Answer {
    Answer::NotRun {
        reason,
        retry_after_ms: None,
    }
}

fn request_task(id: &str, attempt: u32) -> TaskId {
    let request = pomelotide_core::RequestId::new(format!("t~{id}"));
    TaskAttempt::Request {
        request,
        term: Term(1),
        attempt,
    }
    .id()
}

fn job_task(index: u32, attempt: u32) -> TaskId {
    let job = pomelotide_core::JobId::new("d~t~job");
    TaskAttempt::Job {
        job,
        index,
        term: Term(1),
        attempt,
    }
    .id()
}

fn started(worker: &str, task: TaskId, need: Resources) -> Observation {
    Observation::Started {
        worker: WorkerId::new(worker),
        task,
        team: TeamName::new("t"),
        need,
    }
}

fn note(added: Vec<Entry>, withdrawn: Vec<EntryName>) -> Note {
    let (id, base) = (NoteId::new("n"), Revision(0));
    Note {
        id,
        base,
        added,
        changed: Vec::new(),
        withdrawn,
    }
}

fn in_force(note: Note, revision: u64) -> Observation {
    Observation::InForce {
        note,
        revision: Revision(revision),
    }
}

fn acting(revision: u64, fresh: bool) -> Observation {
    Observation::Acting {
        daemon: DaemonId::new("d-1.1"),
        revision: Revision(revision),
        fresh,
    }
}

#[test]
fn catches_a_worker_beyond_its_capacity() {
    let worker = Observation::Worker {
        worker: WorkerId::new("w"),
        capacity: slots(2),
    };
    let history = vec![
        worker,
        started("w", job_task(0, 0), slots(1)),
        started("w", job_task(1, 1), slots(2)),
    ];
    assert_eq!(broken(history), Some(Invariant::Capacity));
}

#[test]
fn catches_a_start_without_room() {
    let seen = Observation::Overcommitted {
        worker: WorkerId::new("w"),
        task: job_task(0, 0),
    };
    assert_eq!(broken(vec![seen]), Some(Invariant::Capacity));
}

#[test]
fn catches_a_task_in_two_places() {
    let history = vec![
        started("w", job_task(0, 0), slots(1)),
        started("v", job_task(0, 1), slots(1)),
    ];
    assert_eq!(broken(history), Some(Invariant::OnePlace));
}

#[test]
fn catches_work_with_a_withdrawn_key() {
    let withdrawn = vec![EntryName::Key(KeyName::new("k"))];
    let history = vec![
        in_force(note(vec![], withdrawn), 1),
        asked(1, "r", Some("k"), true),
        started("w", request_task("r", 0), slots(1)),
    ];
    assert_eq!(broken(history), Some(Invariant::Keys));
}

#[test]
fn catches_a_team_above_its_limit() {
    let team = Entry::Team {
        name: TeamName::new("t"),
        share: 1,
        limit: slots(1),
    };
    let history = vec![
        in_force(note(vec![team], vec![]), 1),
        started("w", job_task(0, 0), slots(1)),
        started("v", job_task(1, 1), slots(1)),
    ];
    assert_eq!(broken(history), Some(Invariant::Limits));
}

#[test]
fn catches_the_answer_to_another_request() {
    let other = Answer::Done(Payload::from("echo of another"));
    let history = vec![asked(1, "r", None, true), answered(1, other)];
    assert_eq!(broken(history), Some(Invariant::OwnAnswer));
}

#[test]
fn catches_half_an_answer() {
    let half = Answer::Done(Payload::from("echo"));
    let history = vec![asked(1, "r", None, true), answered(1, half)];
    assert_eq!(broken(history), Some(Invariant::OwnAnswer));
}

#[test]
fn catches_a_second_answer() {
    let unknown = || answered(1, Answer::OutcomeUnknown);
    let history = vec![asked(1, "r", None, true), unknown(), unknown()];
    assert_eq!(broken(history), Some(Invariant::OwnAnswer));
}

#[test]
fn catches_a_false_not_run() {
    let history = vec![
        asked(1, "r", None, false),
        started("w", request_task("r", 0), slots(1)),
        answered(1, refused(Refusal::DeadlinePassed)),
    ];
    assert_eq!(broken(history), Some(Invariant::NotRun));
}

#[test]
fn catches_a_run_after_not_run() {
    let history = vec![
        asked(1, "r", None, false),
        answered(1, refused(Refusal::TableDown)),
        started("w", request_task("r", 0), slots(1)),
    ];
    assert_eq!(broken(history), Some(Invariant::NotRun));
}

#[test]
fn catches_a_second_run() {
    let history = vec![
        asked(1, "r", None, false),
        started("w", request_task("r", 0), slots(1)),
        started("v", request_task("r", 1), slots(1)),
    ];
    assert_eq!(broken(history), Some(Invariant::AtMostOnce));
}

#[test]
fn catches_new_work_on_a_leaving_worker() {
    let leaving = Observation::Leaving {
        worker: WorkerId::new("w"),
    };
    let mut history = vec![leaving];
    history.extend((0..6).map(|_| acting(1, true)));
    history.push(started("w", job_task(0, 0), slots(1)));
    assert_eq!(broken(history), Some(Invariant::Leaving));
}

#[test]
fn catches_a_request_cut_off_by_a_stop() {
    let history = vec![
        asked(1, "r", None, true),
        answered(1, refused(Refusal::Draining)),
    ];
    assert_eq!(broken(history), Some(Invariant::PlannedStop));
}

#[test]
fn catches_a_configuration_that_reverts() {
    let history = vec![acting(2, false), acting(1, false)];
    assert_eq!(broken(history), Some(Invariant::Configuration));
}

#[test]
fn catches_a_daemon_that_acts_on_an_older_configuration() {
    let domain = Entry::Domain(DomainName::new("d"));
    let history = vec![in_force(note(vec![domain], vec![]), 2), acting(1, true)];
    assert_eq!(broken(history), Some(Invariant::Configuration));
}

/// Two keepers that do not hear each other, and workers that compare no claims.
const WITHOUT_CLAIMS: &str = "\
domain saiss daemons 2 workers 2
note first.ini at saiss-1
expect first.ini in_force within 20s
wait 6s
ignore-claims saiss-w0
ignore-claims saiss-w1
cut saiss-1 saiss-2
cut saiss-1 platform
wait 5s
times 10 every 20ms ask one# queue availability idempotent run 9s deadline 20s at saiss-1
times 10 every 20ms ask two# queue availability idempotent run 9s deadline 20s at saiss-2
wait 5s
";

#[test]
fn catches_workers_that_compare_no_claims() {
    assert_eq!(broken_by_script(WITHOUT_CLAIMS), Some(Invariant::Capacity));
}

#[test]
fn claims_guard_where_nothing_else_does() {
    let guarded: Vec<&str> = WITHOUT_CLAIMS
        .lines()
        .filter(|line| !line.starts_with("ignore-claims"))
        .collect();
    assert_eq!(broken_by_script(&guarded.join("\n")), None);
}

/// A key is withdrawn while a failure domain is cut off whose clock has nearly stopped.
const DRIFTED: &str = "\
domain saiss daemons 1 workers 2
domain ifrane daemons 1 workers 2
note first.ini at saiss-1
expect first.ini in_force within 20s
wait 6s
drift ifrane-1 -2
cut ifrane platform
cut ifrane saiss
note withdraw.ini at saiss-1
times 90 every 100ms ask cut# queue loans key agents idempotent deadline 2s at ifrane-1
";

#[test]
fn catches_a_clock_beyond_the_stated_drift() {
    let beyond = DRIFTED.replace("drift ifrane-1 -2", "drift ifrane-1 -60");
    assert_eq!(broken_by_script(&beyond), Some(Invariant::Configuration));
    assert_eq!(broken_by_script(DRIFTED), None);
}
