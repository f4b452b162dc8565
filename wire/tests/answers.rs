//! Tests of the HTTP status and body of each answer, and of the parsing of submitted jobs.

use pomelotide_core::{
    Answer, DomainName, EntryName, FaultKind, JobId, JobSpec, JobState, Millis, NoteFault,
    NoteVerdict, Payload, Refusal, Revision,
};
use pomelotide_wire::{http_status, ApiAnswer, ApiJob};

/// All refusals with their HTTP status and whether a retry can succeed, in which case the answer
/// contains a retry delay.
const REFUSALS: [(Refusal, u16, bool); 16] = [
    (Refusal::UnknownKey, 401, false),
    (Refusal::UnknownQueue, 404, false),
    (Refusal::WrongTeam, 403, false),
    (Refusal::NeverFits, 422, false),
    (Refusal::OverLimit, 422, false),
    (Refusal::WrongClass, 422, false),
    (Refusal::Overloaded, 503, true),
    (Refusal::NoLeader, 503, true),
    (Refusal::StaleConfig, 503, true),
    (Refusal::TableDown, 503, true),
    (Refusal::DeadlinePassed, 503, true),
    (Refusal::Draining, 503, true),
    (Refusal::RetriesSpent, 503, true),
    (Refusal::Cancelled, 410, false),
    (Refusal::IdReused, 409, false),
    (Refusal::Malformed, 400, false),
];

fn body(answer: &Answer) -> String {
    serde_json::to_string(&ApiAnswer::from(answer)).unwrap_or_default()
}

#[test]
fn every_refusal_has_a_status_a_reason_and_a_help_text() {
    for (reason, status, retry) in REFUSALS {
        let answer = Answer::refused(reason, Millis(1_000));
        assert_eq!(http_status(&answer), status, "{reason}");
        let body = body(&answer);
        assert!(body.contains(&format!("\"reason\":\"{reason}\"")), "{body}");
        assert!(!body.contains("\"help\":\"\""), "{body}");
        assert_eq!(body.contains("\"retry_after_ms\":1000"), retry, "{body}");
    }
}

#[test]
fn every_other_answer_has_a_status_and_a_body() {
    let fault = NoteFault {
        entry: EntryName::Domain(DomainName::new("saiss")),
        kind: FaultKind::Exists,
    };
    let rejected = "{\"outcome\":\"rejected\",\"faults\":[\"domain saiss exists already; list it \
                    under changed\"]}";
    let job = |state: &str, done: &str| {
        format!("{{\"outcome\":\"job\",\"state\":\"{state}\",\"done\":{done}}}")
    };
    let unknown = "{\"outcome\":\"outcome_unknown\"}";
    let cases = [
        (Answer::OutcomeUnknown, 504, unknown.into()),
        (Answer::Note(NoteVerdict::Unknown), 504, unknown.into()),
        (
            Answer::Failed(Payload::default()),
            502,
            "{\"outcome\":\"failed\"}".into(),
        ),
        (
            Answer::NoSuchJob,
            404,
            "{\"outcome\":\"no_such_job\"}".into(),
        ),
        (
            Answer::JobAccepted(JobId::new("saiss~a~1")),
            202,
            "{\"outcome\":\"accepted\",\"job\":\"saiss~a~1\"}".into(),
        ),
        (
            Answer::Job(JobState::Active { done: 2 }),
            200,
            job("active", "2"),
        ),
        (
            Answer::Job(JobState::Succeeded),
            200,
            job("succeeded", "null"),
        ),
        (Answer::Job(JobState::Failed), 200, job("failed", "null")),
        (
            Answer::Job(JobState::Cancelled),
            200,
            job("cancelled", "null"),
        ),
        (
            Answer::Note(NoteVerdict::InForce(Revision(7))),
            200,
            "{\"outcome\":\"in_force\",\"revision\":7}".into(),
        ),
        (
            Answer::Note(NoteVerdict::Rejected(vec![fault])),
            409,
            rejected.into(),
        ),
    ];
    for (answer, status, expected) in cases {
        assert_eq!(http_status(&answer), status, "{answer:?}");
        assert_eq!(body(&answer), expected);
    }
    assert_eq!(http_status(&Answer::Done(Payload::default())), 200);
}

#[test]
fn an_invalid_field_of_a_job_is_named() {
    let good = "{\"queue\":\"nightly\",\"need\":\"cpu 1\",\"run\":\"5s\"}";
    let spec = |text: &str| serde_json::from_str::<ApiJob>(text).map(JobSpec::try_from);
    let read = spec(good).expect("valid JSON").expect("a valid job");
    assert_eq!((read.tasks, read.run_ms), (1, Millis(5_000)));
    for (text, field) in [
        (good.replace("nightly", "night ly"), "queue"),
        (good.replace("cpu 1", "cpu one"), "need"),
        (good.replace("cpu 1", "cpu 0"), "need"),
        (good.replace("5s", "5"), "run"),
    ] {
        let fault = spec(&text).expect("valid JSON").expect_err("a wrong field");
        assert_eq!(fault.field, field, "{text}");
    }
    assert!(spec(&good.replace("run", "runs")).is_err());
}
