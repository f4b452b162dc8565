//! The log stays within its limit, and says what it left out.

use pomelotide_core::cell::LogEvent;
use pomelotide_daemon::{join_lines, LineAdmission, LogBudget};

#[test]
fn a_flood_of_one_event_is_cut_and_counted_and_leaves_others_alone() {
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
fn refusals_are_kept_before_what_goes_well() {
    let mut budget = LogBudget::default();
    let refusal = LogEvent::warn("call_refused");
    let admitted = |at| budget.admit(at, &refusal).0 == LineAdmission::Write;
    assert_eq!(
        [1; 700]
            .into_iter()
            .map(admitted)
            .filter(|kept| *kept)
            .count(),
        700
    );
}

#[test]
fn a_line_quotes_what_would_break_it() {
    let line = LogEvent::info("x")
        .with("reason", "the fleet is full")
        .with("n", 3);
    assert_eq!(line.to_string(), "event=x reason=\"the fleet is full\" n=3");
}

#[test]
fn lines_are_written_in_texts_that_a_pipe_takes_whole() {
    let lines: Vec<String> = (0..400).map(|at| format!("event=e n={at}\n")).collect();
    let texts = join_lines(lines.clone().into_iter(), 100);
    assert!(texts.iter().all(|text| text.len() <= 100));
    assert!(texts.len() < 100, "{} writes", texts.len());
    assert_eq!(texts.concat(), lines.concat());
    let long = "x".repeat(150);
    assert_eq!(join_lines(vec![long.clone()].into_iter(), 100), vec![long]);
}
