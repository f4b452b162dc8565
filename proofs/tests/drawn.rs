//! Drawn scenarios with up to two faults, from fixed seeds; `scripts/soak` draws more.

#![allow(clippy::unwrap_used)]

use pomelotide_proofs::{draw_script, run_script};
use std::path::PathBuf;

/// The number of drawn scenarios.
const DRAWS: u64 = 60;
/// The bytes that one scenario is drawn from; the low half of a seed.
const SIZE: u64 = 512;

#[test]
fn drawn_scenarios_break_no_invariant_and_come_to_rest() {
    let notes = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/notes");
    for number in 1..=DRAWS {
        let property = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
            let drawn = draw_script(u)?;
            let verdict = run_script(&drawn.script().unwrap(), &notes);
            if let Some(failure) = verdict.failure {
                panic!("{failure}\n\n{}", drawn.text);
            }
            Ok(())
        };
        arbtest::arbtest(property).seed((number << 32) | SIZE).run();
    }
}
