//! Membership rows of daemons that are gone.

mod config_fakes;

use config_fakes::Fakes;
use pomelotide_core::{
    consts::{MEMBER_POLL_INTERVAL_MS, MEMBER_ROW_TIMEOUT_MS, MEMBER_WRITE_INTERVAL_MS},
    DaemonId, Key,
};

/// The time until a row that was written last just now is certainly removed.
const REMOVED_MS: u64 = MEMBER_ROW_TIMEOUT_MS.0 + 2 * MEMBER_POLL_INTERVAL_MS.0;

fn has_row(fakes: &Fakes, daemon: &str) -> bool {
    let key = Key::Member(DaemonId::new(daemon));
    fakes.rows.contains_key(&key)
}

#[test]
fn the_row_of_a_daemon_that_is_gone_is_removed_by_its_domains_keeper() {
    let mut fakes = Fakes::start(&["a-1", "a-2", "b-1"]);
    fakes.run(30_000);
    fakes.nodes[1].paused = true;
    fakes.run(MEMBER_ROW_TIMEOUT_MS.0 - MEMBER_WRITE_INTERVAL_MS.0);
    assert!(has_row(&fakes, "a-2"), "too early");
    fakes.run(REMOVED_MS);
    assert!(!has_row(&fakes, "a-2"));
    assert!(has_row(&fakes, "a-1") && has_row(&fakes, "b-1"));
    fakes.nodes[1].paused = false;
    fakes.run(2 * MEMBER_WRITE_INTERVAL_MS.0);
    assert!(has_row(&fakes, "a-2"), "back again");
}

#[test]
fn only_the_keeper_of_the_same_domain_removes_rows() {
    let mut fakes = Fakes::start(&["a-1", "b-1"]);
    fakes.run(30_000);
    fakes.nodes[1].paused = true;
    fakes.run(REMOVED_MS);
    assert!(has_row(&fakes, "b-1"));
}

#[test]
fn a_row_that_was_written_meanwhile_stays_though_reads_lag() {
    let mut fakes = Fakes::start(&["a-1", "a-2"]);
    fakes.run(30_000);
    fakes.nodes[0].lagging = Some(fakes.rows.clone());
    fakes.run(REMOVED_MS + 10 * MEMBER_WRITE_INTERVAL_MS.0);
    assert!(has_row(&fakes, "a-2"));
}
