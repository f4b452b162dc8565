//! Draws scenarios for some minutes and stops at the first broken invariant.
//!
//! `pomelotide-soak MINUTES [SEED]` draws; `pomelotide-soak FILE` runs one script.

use pomelotide_proofs::{draw_script, run_script};
use std::{
    collections::BTreeMap,
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, Instant},
};

/// The bytes from which one scenario is drawn.
const DRAW_BYTES: usize = 512;

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    if let Some(script) = env::args()
        .nth(1)
        .and_then(|file| fs::read_to_string(file).ok())
    {
        return run_one(&script);
    }
    let minutes: f64 = args
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1.0);
    let mut seed: u64 = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let notes = notes();
    let limit = Duration::from_secs_f64(minutes * 60.0);
    let begun = Instant::now();
    let (mut scripts, mut steps) = (0_u64, 0_u64);
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    while begun.elapsed() < limit {
        let mut bytes = [0; DRAW_BYTES];
        fastrand::Rng::with_seed(seed).fill(&mut bytes);
        let Ok(drawn) = draw_script(&mut arbtest::arbitrary::Unstructured::new(&bytes)) else {
            seed += 1;
            continue;
        };
        let script = match drawn.script() {
            Ok(script) => script,
            Err(error) => {
                println!("seed {seed}: {error}\n{}", drawn.text);
                return ExitCode::FAILURE;
            }
        };
        let verdict = run_script(&script, &notes);
        scripts += 1;
        steps += verdict.steps;
        drawn
            .faults
            .iter()
            .for_each(|fault| *faults.entry(fault).or_default() += 1);
        if let Some(failure) = verdict.failure {
            println!("seed {seed}: {failure}\n\n{}", drawn.text);
            return ExitCode::FAILURE;
        }
        seed += 1;
    }
    println!("scenarios {scripts} steps {steps} next_seed {seed}");
    for (fault, count) in faults {
        println!("fault {fault:?} {count}");
    }
    ExitCode::SUCCESS
}

fn notes() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/notes")
}

fn run_one(text: &str) -> ExitCode {
    let outcome = match text.parse() {
        Ok(script) => run_script(&script, &notes())
            .failure
            .map(|failure| failure.to_string()),
        Err(error) => Some(error.to_string()),
    };
    println!("{}", outcome.as_deref().unwrap_or("passed"));
    if outcome.is_none() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
