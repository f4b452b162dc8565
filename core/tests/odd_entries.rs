//! Odd entries of workers, odd answers and odd jobs: the cell goes on without them.

#![allow(clippy::unwrap_used)]

mod cell_world;

#[allow(unused_imports)]
use cell_world::World;
use pomelotide_core::cell::LogEvent;

/// Text from an entry could begin a log line of its own.
#[test]
fn a_field_with_control_characters_stays_in_its_line() {
    let line = LogEvent::info("x").with("key", "a\r\nlevel\u{1b}[0m");
    let text = line.to_string();
    assert!(!text.contains(char::is_control), "{text:?}");
    assert!(text.contains(r"\r\nlevel"), "{text:?}");
    let line = LogEvent::info("x").with("key", "\u{e9}".repeat(100_000));
    assert!(line.to_string().len() < 2_000);
}
