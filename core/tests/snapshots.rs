//! Snapshots of the configuration, trimming, and what is forgotten.

mod config_fakes;

use config_fakes::{key, note, queue, team, withdrawal, Fakes};
use pomelotide_core::{
    consts::{
        HISTORY_TRIM_BATCH, MAX_NOTE_HISTORY, MAX_TRIM_ROWS_PER_TXN, SNAPSHOT_INTERVAL_REVISIONS,
    },
    Config, DomainName, Entry, EntryName, FaultKind, Key, KeyName, Revision, Row, SnapshotRow,
};

fn entries() -> Vec<Entry> {
    vec![
        Entry::Domain(DomainName::new("a")),
        team("t", 8),
        key("k", "t"),
        queue("q", None),
    ]
}

/// Writes notes at a daemon up to a revision, some in each round.
fn write_up_to(fakes: &mut Fakes, at: usize, revision: u64) {
    let from = fakes.revision(at);
    for number in from..revision {
        let name = format!("extra-{number}");
        match number % 2 {
            0 => fakes.propose(at, note(&name, from, vec![key(&name, "t")])),
            _ => fakes.propose(at, note(&name, from, vec![team(&name, 1)])),
        };
        if number % 64 == 0 {
            fakes.run(4_000);
        }
    }
    fakes.run(12_000);
    assert_eq!(fakes.revision(at), revision);
}

fn snapshot_row(fakes: &Fakes) -> SnapshotRow {
    match fakes.rows.get(&Key::Snapshot) {
        Some(Row::Snapshot(row)) => *row,
        _ => SnapshotRow::default(),
    }
}

fn deltas(fakes: &Fakes) -> usize {
    let keys = fakes.rows.keys();
    keys.filter(|key| matches!(key, Key::Delta(_))).count()
}

#[test]
fn a_daemon_that_starts_reads_the_snapshot_and_few_notes() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(entries());
    write_up_to(&mut fakes, 0, 3 * SNAPSHOT_INTERVAL_REVISIONS + 10);
    let row = snapshot_row(&fakes);
    assert_eq!(row.latest, Revision(3 * SNAPSHOT_INTERVAL_REVISIONS));
    assert_eq!(row.trimmed, row.previous);
    assert_eq!(deltas(&fakes) as u64, SNAPSHOT_INTERVAL_REVISIONS + 10);
    let new = fakes.join("a-2");
    fakes.run(2_000);
    assert_eq!(fakes.nodes[new].core.config(), fakes.nodes[0].core.config());
}

#[test]
fn a_daemon_that_knows_no_snapshot_adds_its_own_to_the_ones_before() {
    let mut fakes = Fakes::start(&["a-1", "a-2"]);
    fakes.settle(entries());
    write_up_to(&mut fakes, 0, 2 * SNAPSHOT_INTERVAL_REVISIONS - 10);
    write_up_to(&mut fakes, 1, 2 * SNAPSHOT_INTERVAL_REVISIONS + 10);
    let row = SnapshotRow {
        latest: Revision(2 * SNAPSHOT_INTERVAL_REVISIONS),
        previous: Revision(SNAPSHOT_INTERVAL_REVISIONS),
        trimmed: Revision(SNAPSHOT_INTERVAL_REVISIONS),
    };
    assert_eq!(snapshot_row(&fakes), row);
}

#[test]
fn a_lost_snapshot_is_harmless() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(entries());
    write_up_to(&mut fakes, 0, 2 * SNAPSHOT_INTERVAL_REVISIONS - 10);
    fakes.store_down = true;
    write_up_to(&mut fakes, 0, 2 * SNAPSHOT_INTERVAL_REVISIONS + 10);
    assert_eq!(
        snapshot_row(&fakes).latest,
        Revision(SNAPSHOT_INTERVAL_REVISIONS)
    );
    let new = fakes.join("a-2");
    fakes.run(3_000);
    assert_eq!(
        fakes.revision(new),
        fakes.revision(0),
        "read from the notes"
    );
}

#[test]
fn a_daemon_behind_the_trimmed_notes_falls_back_to_a_snapshot() {
    let mut fakes = Fakes::start(&["a-1", "a-2"]);
    fakes.settle(entries());
    fakes.nodes[1].paused = true;
    write_up_to(&mut fakes, 0, 3 * SNAPSHOT_INTERVAL_REVISIONS);
    // The latest snapshot turned out broken, so that only the one before it is left.
    let latest = snapshot_row(&fakes).latest;
    fakes
        .objects
        .remove(&pomelotide_core::SnapshotSlot::of(latest));
    fakes.nodes[1].paused = false;
    fakes.run(5_000);
    assert_eq!(fakes.revision(1), fakes.revision(0));
}

#[test]
fn an_older_snapshot_is_never_applied_over_a_newer_configuration() {
    let mut fakes = Fakes::start(&["a-1", "a-2"]);
    fakes.settle(entries());
    let old = fakes.nodes[0].core.config().clone();
    write_up_to(&mut fakes, 0, SNAPSHOT_INTERVAL_REVISIONS + 10);
    fakes.nodes[1].paused = true;
    write_up_to(&mut fakes, 0, 2 * SNAPSHOT_INTERVAL_REVISIONS);
    // An old write to the object store took effect late.
    let latest = snapshot_row(&fakes).latest;
    fakes
        .objects
        .insert(pomelotide_core::SnapshotSlot::of(latest), old);
    fakes.nodes[1].paused = false;
    for _ in 0..100 {
        fakes.run(50);
        assert!(fakes.revision(1) > SNAPSHOT_INTERVAL_REVISIONS, "reverted");
    }
    assert_eq!(fakes.revision(1), fakes.revision(0));
}

#[test]
fn trimming_writes_a_bounded_number_of_rows_at_once() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(entries());
    write_up_to(&mut fakes, 0, 2 * SNAPSHOT_INTERVAL_REVISIONS);
    let before = fakes.most_deletes;
    assert!(
        before as u64 <= MAX_TRIM_ROWS_PER_TXN,
        "{before} rows at once"
    );
    assert_eq!(
        snapshot_row(&fakes).trimmed,
        Revision(SNAPSHOT_INTERVAL_REVISIONS)
    );
}

#[test]
fn withdrawn_entries_leave_nothing_behind() {
    let mut config = Config::default();
    config.apply(&note("first", 0, entries()));
    let rounds = 2 * MAX_NOTE_HISTORY as u64;
    for number in 0..rounds {
        let name = format!("key-{number}");
        let base = config.revision().0;
        config.apply(&note(&name, base, vec![key(&name, "t")]));
        let gone = EntryName::Key(KeyName::new(&name));
        config.apply(&withdrawal(&format!("no-{name}"), base + 1, gone));
    }
    assert_eq!(config.entries().count(), entries().len());
    let most = MAX_NOTE_HISTORY + HISTORY_TRIM_BATCH as usize;
    let (notes, touched) = config.history_sizes();
    assert!(notes <= most, "{notes} notes");
    assert!(touched <= most, "{touched} touched entries");
}

#[test]
fn a_note_from_before_what_is_remembered_is_refused_with_the_reason() {
    let mut config = Config::default();
    config.apply(&note("first", 0, entries()));
    let late = note("late", 1, vec![key("again", "t")]);
    config.apply(&late);
    let gone = EntryName::Key(KeyName::new("again"));
    config.apply(&withdrawal("gone", 2, gone.clone()));
    for number in 0..MAX_NOTE_HISTORY as u64 + HISTORY_TRIM_BATCH {
        let name = format!("team-{number}");
        config.apply(&note(&name, 3, vec![team(&name, 1)]));
    }
    assert_eq!(config.accepted_in(&late.id), None);
    let faults = config.check(&late);
    assert_eq!(faults[0].entry, gone);
    assert!(
        matches!(faults[0].kind, FaultKind::BaseTooOld(_)),
        "{faults:?}"
    );
}
