//! Tests the rate limit of the log and how lines are joined.

use pomelotide_core::cell::LogEvent;
use pomelotide_daemon::{join_lines, LineAdmission, LogBudget};

#[test]
fn a_flood_of_one_event_is_limited_and_counted_without_affecting_others() {
    let mut budget = LogBudget::default();
    let flood = LogEvent::info("run_ordered").with("task", "t");
    let admitted = |budget: &mut LogBudget, line: &LogEvent| budget.admit(1, line).0;
    let written = (0..5_000)
        .filter(|_| admitted(&mut budget, &flood) == LineAdmission::Write)
        .count();
    assert_eq!(written, 400);
    let other = LogEvent::warn("lead_lost");
    assert_eq!(admitted(&mut budget, &other), LineAdmission::Write);
    let (allowance, left_out) = budget.admit(2, &flood);
    assert_eq!(allowance, LineAdmission::Write);
    assert_eq!(left_out.len(), 1);
    assert_eq!(
        left_out[0].to_string(),
        "event=lines_left_out of=run_ordered count=4600"
    );
}

#[test]
fn warnings_have_a_higher_limit_than_info_lines() {
    let mut budget = LogBudget::default();
    let refusal = LogEvent::warn("call_refused");
    let admitted = |at| budget.admit(at, &refusal).0 == LineAdmission::Write;
    assert_eq!(
        [1; 700]
            .into_iter()
            .map(admitted)
            .filter(|written| *written)
            .count(),
        700
    );
}

#[test]
fn values_with_spaces_are_quoted() {
    let line = LogEvent::info("x")
        .with("reason", "the fleet is full")
        .with("n", 3);
    assert_eq!(line.to_string(), "event=x reason=\"the fleet is full\" n=3");
}

#[test]
fn lines_are_joined_up_to_the_maximum_size() {
    let lines: Vec<String> = (0..400).map(|at| format!("event=e n={at}\n")).collect();
    let chunks = join_lines(lines.clone().into_iter(), 100);
    assert!(chunks.iter().all(|chunk| chunk.len() <= 100));
    assert!(chunks.len() < 100, "{} writes", chunks.len());
    assert_eq!(chunks.concat(), lines.concat());
    let long = "x".repeat(150);
    assert_eq!(join_lines(vec![long.clone()].into_iter(), 100), vec![long]);
}
