//! The configuration log under lost answers, races, lagging reads, restarts and cuts.

mod config_fakes;

use config_fakes::{key, note, queue, team, withdrawal, Fakes};
use pomelotide_core::{
    consts, Answer, DomainName, Entry, EntryName, FaultKind, KeyName, Note, NoteFault, NoteVerdict,
    Refusal, Revision, TeamName,
};

fn three_keys() -> Vec<Entry> {
    vec![
        Entry::Domain(DomainName::new("a")),
        team("t", 8),
        key("k", "t"),
        queue("q", None),
        team("o", 8),
        queue("open", Some("o")),
    ]
}

fn with_domain_b(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.push(Entry::Domain(DomainName::new("b")));
    entries
}

#[test]
fn a_note_whose_answer_got_lost_is_known_again_and_applied_once() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.run(3_000);
    fakes.nodes[0].lose_answers = 1;
    let call = fakes.propose(0, note("first", 0, three_keys()));
    fakes.run(12_000);
    assert_eq!(
        fakes.answer(0, call),
        Some(&Answer::Note(NoteVerdict::InForce(Revision(1))))
    );
    assert_eq!(fakes.revision(0), 1);
}

#[test]
fn of_two_racing_notes_the_loser_is_told_which_entries() {
    let mut fakes = Fakes::start(&["a-1", "a-2"]);
    fakes.settle(three_keys());
    let raise = |id, limit| Note {
        changed: vec![team("t", limit)],
        ..note(id, 1, Vec::new())
    };
    let calls = [
        fakes.propose(0, raise("one", 10)),
        fakes.propose(1, raise("other", 20)),
    ];
    fakes.run(12_000);
    let verdicts = [fakes.answer(0, calls[0]), fakes.answer(1, calls[1])];
    let in_force = Answer::Note(NoteVerdict::InForce(Revision(2)));
    let fault = NoteFault {
        entry: EntryName::Team(TeamName::new("t")),
        kind: FaultKind::ChangedSince(Revision(2)),
    };
    let rejected = Answer::Note(NoteVerdict::Rejected(vec![fault]));
    let (won, lost) = (verdicts.iter().flatten()).fold((0, 0), |(won, lost), verdict| {
        (
            won + usize::from(**verdict == in_force),
            lost + usize::from(**verdict == rejected),
        )
    });
    assert_eq!((won, lost), (1, 1), "{verdicts:?}");
    assert_eq!([fakes.revision(0), fakes.revision(1)], [2, 2]);
}

#[test]
fn a_lagging_read_neither_reverts_nor_confirms() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(three_keys());
    let old = fakes.rows.clone();
    let gone = EntryName::Key(KeyName::new("k"));
    fakes.propose(0, withdrawal("gone", 1, gone));
    fakes.run(2_000);
    assert_eq!(fakes.revision(0), 2);
    fakes.nodes[0].lagging = Some(old);
    fakes.run(8_000);
    assert_eq!(fakes.revision(0), 2);
    assert!(!fakes.nodes[0].core.is_fresh());
}

#[test]
fn a_cut_daemon_stops_honouring_keys_before_a_withdrawal_is_said_to_hold() {
    let mut fakes = Fakes::start(&["a-1", "b-1"]);
    fakes.settle(with_domain_b(three_keys()));
    fakes.nodes[1].cut = true;
    let gone = EntryName::Key(KeyName::new("k"));
    let call = fakes.propose(0, withdrawal("gone", 1, gone));
    while fakes.answer(0, call).is_none() {
        fakes.run(50);
        assert!(fakes.nodes[0].clock_ms < 30_000, "no verdict");
    }
    assert!(!fakes.nodes[1].core.is_fresh());
    let keyed = fakes.request(1, "k", "q");
    let refused = Answer::refused(Refusal::StaleConfig, consts::DEFAULT_RETRY_AFTER_MS);
    assert_eq!(fakes.answer(1, keyed), Some(&refused));
    let open = fakes.request(1, "k", "open");
    assert_eq!(fakes.answer(1, open), None, "open queues are served");
    assert_eq!(fakes.running_at(1), 1);
}

#[test]
fn keys_are_honoured_while_the_table_is_silent_in_every_domain() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(three_keys());
    fakes.nodes[0].cut = true;
    fakes.run(60_000);
    assert!(fakes.nodes[0].core.is_fresh());
}

#[test]
fn a_confirmation_that_lapsed_in_a_pause_is_not_prolonged() {
    let mut fakes = Fakes::start(&["a-1"]);
    fakes.settle(three_keys());
    fakes.nodes[0].paused = true;
    fakes.run(6_000);
    fakes.nodes[0].cut = true;
    fakes.nodes[0].paused = false;
    fakes.run(20_000);
    assert!(!fakes.nodes[0].core.is_fresh());
}

#[test]
fn one_silent_domain_does_not_prolong_while_another_is_not_heard() {
    let mut fakes = Fakes::start(&["a-1", "b-1"]);
    fakes.settle(with_domain_b(three_keys()));
    fakes.nodes[0].cut = true;
    fakes.run(8_000);
    assert!(!fakes.nodes[0].core.is_fresh());
    assert!(fakes.nodes[1].core.is_fresh());
}
