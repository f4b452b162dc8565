//! Tests that the journal is bounded, finds decisions by each id of a request or job and describes
//! them in sentences.

use pomelotide_core::{
    Class, DaemonId, DecisionEvent, JobId, LostCause, Millis, QueueName, Refusal, RequestId,
    RequestOutcome, TaskEnd, TaskId, TeamName, UnitKind, WaitCause, WorkerId,
};
use pomelotide_daemon::{log_line, Journal};

fn team() -> TeamName {
    TeamName::new("bennani")
}

fn texts(journal: &Journal, id: &str) -> Vec<String> {
    let steps = journal.explain(id);
    steps.into_iter().map(|step| step.text).collect()
}

/// Returns the decisions about a request that was retried after its worker was lost.
fn retried_request() -> Vec<DecisionEvent> {
    let request = RequestId::new("bennani~loan-1");
    let task = |attempt| TaskId::new(format!("r 3 {attempt} bennani~loan-1"));
    let work = UnitKind::Request(request.clone());
    let worker = WorkerId::new("w1");
    let placed = |attempt, worker: &str| DecisionEvent::Placed {
        task: task(attempt),
        team: team(),
        class: Class::Small,
        worker: WorkerId::new(worker),
        waited_ms: Millis(2),
    };
    vec![
        DecisionEvent::RequestAdmitted {
            request: request.clone(),
            team: team(),
            queue: QueueName::new("loans"),
        },
        DecisionEvent::Forwarded {
            request: request.clone(),
            to: DaemonId::new("saiss-2.9"),
        },
        DecisionEvent::Waiting {
            work: work.clone(),
            team: team(),
            class: Class::Small,
            ahead: 2,
            cause: WaitCause::TeamLimit,
        },
        placed(0, "w1"),
        DecisionEvent::Lost {
            task: task(0),
            team: team(),
            worker: worker.clone(),
            cause: LostCause::WorkerGone,
        },
        DecisionEvent::Retried {
            work,
            avoid: Some(worker),
        },
        placed(1, "w2"),
        DecisionEvent::Ended {
            task: task(1),
            team: team(),
            worker: WorkerId::new("w2"),
            ran_ms: Millis(5),
            succeeded: true,
            end: TaskEnd::Done,
            class: Some(Class::Small),
        },
        DecisionEvent::RequestAnswered {
            request,
            team: team(),
            outcome: RequestOutcome::Done,
        },
    ]
}

#[test]
fn a_request_is_explained_from_its_admission_to_its_answer() {
    let mut journal = Journal::new(DaemonId::new("saiss-1.7"));
    for decision in retried_request() {
        journal.record(&decision);
    }
    let expected = [
        "admitted to queue loans for team bennani",
        "passed on to keeper saiss-2.9",
        "the request waits behind 2 small units of team bennani: team bennani has spent its part \
         of the upper limit here (pomelotide teams)",
        "the request placed on worker w1 after 2ms",
        "the request lost at worker w1: the worker left, started anew or was silent past the lease",
        "the request is tried again, elsewhere than on w1 if possible",
        "the request placed on worker w2 after 2ms",
        "the request ended well on worker w2 after 5ms",
        "answered in full",
    ];
    assert_eq!(texts(&journal, "loan-1"), expected);
    assert_eq!(texts(&journal, "bennani~loan-1"), expected);
    assert!(texts(&journal, "oan-1").is_empty());
    assert!(texts(&journal, "kigali~loan-1").is_empty());
}

#[test]
fn a_job_is_found_by_its_id_and_by_its_request_id() {
    let mut journal = Journal::new(DaemonId::new("saiss-1.7"));
    journal.record(&DecisionEvent::JobAdmitted {
        request: RequestId::new("bennani~n1"),
        team: team(),
        queue: QueueName::new("nightly"),
    });
    journal.record(&DecisionEvent::Waiting {
        work: UnitKind::Task {
            job: JobId::new("saiss~bennani~n1"),
            index: 3,
        },
        team: team(),
        class: Class::Batch,
        ahead: 0,
        cause: WaitCause::NoRoom,
    });
    let expected = [
        "job admitted to queue nightly for team bennani",
        "task 3 waits: no worker that takes work has room (pomelotide workers)",
    ];
    assert_eq!(texts(&journal, "saiss~bennani~n1"), expected);
    assert_eq!(texts(&journal, "n1"), expected);
}

#[test]
fn the_oldest_decisions_are_evicted() {
    let mut journal = Journal::new(DaemonId::new("saiss-1.7"));
    for number in 0..20_000 {
        journal.record(&DecisionEvent::RequestRefused {
            request: RequestId::new(format!("r{number}")),
            reason: Refusal::UnknownKey,
        });
    }
    assert!(texts(&journal, "r11807").is_empty());
    assert_eq!(texts(&journal, "r11808").len(), 1);
    assert_eq!(texts(&journal, "r19999").len(), 1);
}

#[test]
fn every_log_line_of_a_request_contains_its_id() {
    for decision in retried_request() {
        let line = log_line(&decision);
        assert!(line.contains("request=bennani~loan-1"), "{line}");
        let fields = line.split(' ');
        let fields: Vec<(&str, &str)> = fields.filter_map(|field| field.split_once('=')).collect();
        assert_eq!(fields.len(), line.split(' ').count(), "{line}");
        let has_field = |name: &str| fields.iter().any(|(key, _)| *key == name);
        let on_worker = matches!(
            decision,
            DecisionEvent::Placed { .. } | DecisionEvent::Ended { .. } | DecisionEvent::Lost { .. }
        );
        assert!(
            !on_worker || (has_field("worker") && has_field("team")),
            "{line}"
        );
    }
}
