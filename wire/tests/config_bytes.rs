//! Tests of the traffic that the configuration causes at the target size, and of damaged snapshots.

use pomelotide_core::{
    consts::{
        CONFIG_POLL_INTERVAL_MS, LIMIT_TRANSFER_INTERVAL_MS, MAX_NOTE_HISTORY,
        MAX_TRANSFERS_PER_NOTE, SNAPSHOT_INTERVAL_REVISIONS, SNAPSHOT_MIN_LAG_REVISIONS,
    },
    limit_transfers::{split_entries, LimitTransfer},
    split, Class, Config, DomainName, Entry, EntryName, HeadRow, Key, KeyDigest, KeyName, Note,
    NoteId, Query, QueueName, Resources, Revision, Row, TeamName,
};
use pomelotide_wire::{
    decode_snapshot, encode_key, encode_row, encode_snapshot, WireRead, WireRow, WireRows,
};
use serde::Serialize;

/// The users' target for the total control traffic of a daemon.
const CONTROL_BYTES_PER_SECOND: f64 = 19_000.0;
/// The fraction of the control traffic that following the configuration may use.
const CONFIG_FRACTION: f64 = 0.1;
/// The time for which a starting daemon may use its whole control traffic budget.
const START_SECONDS: f64 = 60.0;
/// The users' target for configuration changes: 69,000 a day.
const CHANGES_PER_SECOND: f64 = 69_000.0 / 86_400.0;
/// The size of the HTTP headers of a request and its response.
const HEADER_BYTES: usize = 400;
const TEAMS: usize = 120;
const DOMAINS: usize = 10;
const KEYS: usize = 1_200;
const QUEUES: usize = 360;

fn limit() -> Resources {
    Resources::from_amounts([4_000_000, 16_000_000, 64, 20_000])
}

fn key(number: usize) -> Entry {
    Entry::Key {
        name: KeyName::new(format!("key-{number}-of-a-team")),
        digest: KeyDigest::new(format!("{number:064x}")),
        team: TeamName::new(format!("team-{}", number % TEAMS)),
    }
}

fn queue(number: usize) -> Entry {
    Entry::Queue {
        name: QueueName::new(format!("queue-{number}")),
        class: Class::Batch,
        open: false,
        team: Some(TeamName::new(format!("team-{}", number % TEAMS))),
        need: Resources::from_amounts([1_000, 4_000, 0, 1]),
    }
}

fn team(number: usize) -> Entry {
    let name = TeamName::new(format!("team-{number}"));
    let (share, limit) = (100, limit());
    Entry::Team { name, share, limit }
}

fn split_of(number: usize) -> Entry {
    let domain = |place| DomainName::new(format!("domain-{place}"));
    let part = |place| (domain(place), split::even_part(limit(), DOMAINS, place));
    Entry::Split {
        team: TeamName::new(format!("team-{number}")),
        parts: (0..DOMAINS).map(part).collect(),
    }
}

fn note(number: usize, added: Vec<Entry>, withdrawn: Vec<EntryName>) -> Note {
    Note {
        id: NoteId::new(format!("operator-change-{number:08}")),
        base: Revision(number as u64),
        added,
        changed: Vec::new(),
        withdrawn,
    }
}

/// Returns a note that replaces one key by another, like most changes of a day.
fn key_change(number: usize) -> Note {
    let old = key(number).name();
    note(number, vec![key(number + KEYS)], vec![old])
}

fn target() -> Config {
    let domains = (0..DOMAINS).map(|n| Entry::Domain(DomainName::new(format!("domain-{n}"))));
    let mut entries: Vec<Entry> = domains.chain((0..TEAMS).map(team)).collect();
    entries.extend((0..KEYS).map(key));
    entries.extend((0..QUEUES).map(queue));
    entries.extend((0..TEAMS).map(split_of));
    let mut config = Config::default();
    config.apply(&note(0, entries, Vec::new()));
    (0..MAX_NOTE_HISTORY + 100).for_each(|number| config.apply(&key_change(number)));
    config
}

fn size(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

fn rows_bytes(rows: &[(Key, Row)]) -> usize {
    let pair = |(key, row): &(Key, Row)| WireRow {
        key: encode_key(key),
        value: encode_row(row).unwrap_or_default(),
    };
    let rows = rows.iter().map(pair).collect();
    size(&WireRows { rows })
}

fn delta_bytes() -> usize {
    let revision = Revision(1_000_000);
    let row = (Key::Delta(revision), Row::Delta(key_change(5_000)));
    rows_bytes(&[row.clone(), row.clone()]) - rows_bytes(&[row])
}

fn poll_bytes() -> usize {
    let revision = Revision(1_000_000);
    let head = Row::Head(HeadRow {
        revision,
        note: key_change(5_000).id,
    });
    let query = Query::One(Key::ConfigHead);
    let reply = rows_bytes(&[(Key::ConfigHead, head)]);
    size(&WireRead::from(&query)) + reply + HEADER_BYTES
}

fn read_bytes() -> usize {
    let query = Query::DeltasAfter(Revision(1_000_000));
    size(&WireRead::from(&query)) + size(&WireRows::default()) + HEADER_BYTES
}

#[test]
fn following_the_configuration_stays_within_its_fraction_of_the_budget() {
    let (poll, read, delta) = (poll_bytes(), read_bytes(), delta_bytes());
    let polls_per_second = 1_000.0 / CONFIG_POLL_INTERVAL_MS.0 as f64;
    let steady = polls_per_second * poll as f64 + CHANGES_PER_SECOND * (read + delta) as f64;
    println!("poll {poll} B, read {read} B, note {delta} B, steady {steady:.0} B/s");
    assert!(steady <= CONTROL_BYTES_PER_SECOND * CONFIG_FRACTION);
}

/// Returns a note with the maximum number of limit transfers.
fn largest_transfer_note() -> Note {
    let config = target();
    let to = |number: usize| DomainName::new(format!("domain-{}", 1 + number % (DOMAINS - 1)));
    let part = |number| LimitTransfer {
        team: TeamName::new(format!("team-{number}")),
        to: to(number),
        amount: Resources::from_amounts([10_000, 40_000, 1, 50]),
    };
    let parts: Vec<LimitTransfer> = (0..MAX_TRANSFERS_PER_NOTE).map(part).collect();
    let entries = split_entries(&config, &DomainName::new("domain-0"), &parts);
    Note {
        changed: entries,
        ..note(1_000_000, Vec::new(), Vec::new())
    }
}

#[test]
fn limit_transfers_use_less_than_half_of_the_budget() {
    let row = (
        Key::Delta(Revision(1_000_000)),
        Row::Delta(largest_transfer_note()),
    );
    let bytes = rows_bytes(&[row]) + read_bytes();
    let bytes_per_second = bytes as f64 * 1_000.0 / LIMIT_TRANSFER_INTERVAL_MS.0 as f64;
    println!("largest note of limit transfers {bytes} B, at most {bytes_per_second:.0} B/s");
    assert!(bytes_per_second <= CONTROL_BYTES_PER_SECOND / 2.0);
}

#[test]
fn a_start_uses_less_than_a_minute_of_the_budget() {
    let snapshot = encode_snapshot(&target()).unwrap().len();
    let notes = (SNAPSHOT_INTERVAL_REVISIONS + SNAPSHOT_MIN_LAG_REVISIONS) as usize;
    let start = snapshot + notes * delta_bytes() + poll_bytes() + 3 * read_bytes();
    let day = 69_000 * delta_bytes();
    println!("snapshot {snapshot} B, start at most {start} B, notes of a day {day} B");
    assert!(start as f64 <= CONTROL_BYTES_PER_SECOND * START_SECONDS);
}

#[test]
fn writing_snapshots_stays_within_the_budget_of_the_writing_daemon() {
    let snapshot = encode_snapshot(&target()).unwrap().len() as f64;
    let bytes_per_second = snapshot * CHANGES_PER_SECOND / SNAPSHOT_INTERVAL_REVISIONS as f64;
    println!("snapshots {bytes_per_second:.0} B/s");
    assert!(bytes_per_second <= CONTROL_BYTES_PER_SECOND * CONFIG_FRACTION);
}

#[test]
fn a_snapshot_is_decoded_as_encoded() {
    let config = target();
    let bytes = encode_snapshot(&config).unwrap();
    assert_eq!(decode_snapshot(&bytes), Ok(config));
}

#[test]
fn a_damaged_snapshot_is_rejected() {
    let bytes = encode_snapshot(&Config::default()).unwrap();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x01;
        // Damage to a field's name or to the envelope is detected like damage to the content.
        assert!(decode_snapshot(&damaged).is_err(), "byte {at}");
        assert!(decode_snapshot(&bytes[..at]).is_err(), "cut at {at}");
    }
}
