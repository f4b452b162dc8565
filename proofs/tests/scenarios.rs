//! Runs the scenarios of `tests/scenarios`, each as a test of its own.

#![allow(clippy::unwrap_used)]

use pomelotide_proofs::{record_script, run_script, Script};
use std::{fs, path::PathBuf};

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn run(name: &str) {
    let text = fs::read_to_string(folder().join(format!("{name}.txt"))).unwrap();
    let script: Script = text
        .parse()
        .unwrap_or_else(|error| panic!("{name}: {error}"));
    let verdict = run_script(&script, &folder().join("notes"));
    if let Some(failure) = &verdict.failure {
        panic!("{name}: {failure}");
    }
    let again = run_script(&script, &folder().join("notes"));
    assert_eq!(verdict, again, "{name}: the verdict varies");
}

macro_rules! scenarios {
    ($($name:ident,)*) => {
        const NAMES: &[&str] = &[$(stringify!($name),)*];
        $(#[test]
        fn $name() {
            run(stringify!($name));
        })*
    };
}

scenarios! {
    answers_lost_after_the_write,
    bad_worker,
    cancellation_wave,
    domain_cut_goes_on,
    drifting_clocks,
    gone_worker_frees_limits,
    job_runs_while_its_submission_comes_again,
    keeper_dies_with_work,
    late_command_of_an_old_connection,
    leaving_worker,
    limit_holds_in_a_partition,
    lonely_daemon_takes_nothing,
    lost_then_refused,
    lowered_limit_sheds_surplus,
    not_run_is_never_said_after_a_start,
    outcome_after_slow_write,
    paused_keeper_wakes,
    planned_stop,
    platform_down_for_all,
    racing_operators,
    refused_may_come_back,
    request_runs_through_a_takeover,
    retry_at_another_domain,
    serves_every_kind_of_work,
    silent_connection,
    submission_retried_at_the_next_keeper,
    withdrawn_key_and_cut_domain,
    worker_crashes_and_goes,
}

#[test]
fn every_scenario_is_run() {
    let files = fs::read_dir(folder())
        .unwrap()
        .map(|file| file.unwrap().path());
    let scripts = files.filter(|path| path.extension().is_some_and(|end| end == "txt"));
    let mut found: Vec<String> = scripts
        .map(|path| path.file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    found.sort();
    assert_eq!(found, NAMES);
}

#[test]
fn recorded_traces_replay_to_the_same_effects() {
    for name in [
        "keeper_dies_with_work",
        "planned_stop",
        "domain_cut_goes_on",
    ] {
        let text = fs::read_to_string(folder().join(format!("{name}.txt"))).unwrap();
        let (verdict, recordings) = record_script(&text.parse().unwrap(), &folder().join("notes"));
        assert_eq!(verdict.failure, None);
        for recording in recordings {
            assert!(!recording.is_empty());
            assert_eq!(recording.replay().unwrap(), None, "{name}");
        }
    }
}
