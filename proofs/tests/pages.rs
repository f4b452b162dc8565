//! Every test that docs/PROOFS.md names exists.

#![allow(clippy::unwrap_used)]

use std::fs;

/// The test files with the names that the page may use.
const FILES: [&str; 6] = [
    "tests/scenarios.rs",
    "tests/catches.rs",
    "tests/drawn.rs",
    "../core/tests/reducer_is_pure.rs",
    "../core/tests/config.rs",
    "../core/tests/cell.rs",
];

#[test]
fn the_page_names_only_tests_that_run() {
    let folder = env!("CARGO_MANIFEST_DIR");
    let code: String = FILES
        .iter()
        .map(|file| fs::read_to_string(format!("{folder}/{file}")).unwrap())
        .collect();
    let page = fs::read_to_string(format!("{folder}/../docs/PROOFS.md")).unwrap();
    let quoted = page.split('`').skip(1).step_by(2);
    let is_name = |text: &&str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let names: Vec<&str> = quoted
        .filter(is_name)
        .filter(|name| name.matches('_').count() >= 2)
        .collect();
    assert!(names.len() > 30, "{names:?}");
    for name in names {
        let runs = code.contains(&format!("fn {name}(")) || code.contains(&format!("    {name},"));
        assert!(runs, "{name}");
    }
}
