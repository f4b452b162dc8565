//! Odd entries of workers, odd answers and odd jobs: the cell goes on without them.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, step, World};
use pomelotide_core::cell::{JobState, LogEvent};

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

/// A table that could never be read was read again for ever without a log line.
#[test]
fn a_table_that_cant_be_read_is_logged_and_read_later() {
    let mut world = World::new(2, 2, desired(1, queue()));
    world.store.lose_worker_reads = true;
    world.run(8_000);
    let lines = world.count("read_failed");
    assert!((1..20).contains(&lines), "{lines}");
    world.store.lose_worker_reads = false;
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(6_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// A full read never got past a page whose last row has no readable key.
#[test]
fn a_row_without_a_key_does_not_hold_up_a_full_read() {
    let mut world = World::new(1, 600, desired(1, queue()));
    world.store.odd_page_ends = true;
    world.run(5_000);
    let mut lines = world.lines.iter().map(|(_, _, line)| line);
    let loaded = lines.find(|line| line.event == "leader_loaded");
    let loaded = loaded.expect("the leader is not loaded").to_string();
    assert!(loaded.contains("workers=600"), "{loaded}");
}
