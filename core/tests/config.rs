//! Release notes against the configuration.

use pomelotide_core::{
    Config, DomainName, Entry, EntryName, FaultKind, KeyDigest, KeyName, Note, NoteId, Resources,
    Revision, TeamName,
};

fn team(name: &str, slots: u64) -> Entry {
    let limit = Resources {
        slots,
        ..Resources::default()
    };
    Entry::Team {
        name: TeamName::new(name),
        share: 1,
        limit,
    }
}

fn key(name: &str, team: &str) -> Entry {
    let digest = KeyDigest::new(format!("digest-of-{name}"));
    Entry::Key {
        name: KeyName::new(name),
        digest,
        team: TeamName::new(team),
    }
}

fn note(id: &str, base: u64, added: Vec<Entry>) -> Note {
    let (changed, withdrawn) = (Vec::new(), Vec::new());
    Note {
        id: NoteId::new(id),
        base: Revision(base),
        added,
        changed,
        withdrawn,
    }
}

fn first() -> Config {
    let mut config = Config::default();
    let domains = ["a", "b", "c"].map(|name| Entry::Domain(DomainName::new(name)));
    let mut added = vec![team("t", 10), key("k", "t")];
    added.extend(domains);
    config.apply(&note("first", 0, added));
    config
}

#[test]
fn a_limit_is_split_without_a_rest() {
    let config = first();
    let parts = config
        .domains()
        .map(|domain| config.allotment(&TeamName::new("t"), domain).slots);
    assert_eq!(parts.collect::<Vec<_>>(), [4, 3, 3]);
}

#[test]
fn a_racing_note_is_told_which_entries_changed() {
    let mut config = first();
    let change = |id| Note {
        changed: vec![team("t", 20)],
        ..note(id, 1, vec![])
    };
    config.apply(&change("one"));
    let faults = config.check(&change("other"));
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].entry, EntryName::Team(TeamName::new("t")));
    assert_eq!(faults[0].kind, FaultKind::ChangedSince(Revision(2)));
}

#[test]
fn a_note_on_other_entries_is_no_conflict() {
    let mut config = first();
    config.apply(&Note {
        changed: vec![team("t", 20)],
        ..note("one", 1, vec![])
    });
    assert_eq!(config.check(&note("other", 1, vec![team("u", 5)])), []);
}

#[test]
fn a_withdrawn_key_finds_no_team() {
    let mut config = first();
    let digest = KeyDigest::new("digest-of-k");
    assert!(config.team_of_key(&digest).is_some());
    let withdrawn = vec![EntryName::Key(KeyName::new("k"))];
    config.apply(&Note {
        withdrawn,
        ..note("gone", 1, vec![])
    });
    assert_eq!(config.team_of_key(&digest), None);
}

#[test]
fn a_withdrawn_team_must_not_leave_keys_behind() {
    let config = first();
    let withdrawn = vec![EntryName::Team(TeamName::new("t"))];
    let faults = config.check(&Note {
        withdrawn,
        ..note("gone", 1, vec![])
    });
    assert_eq!(faults[0].kind, FaultKind::NoSuchTeam);
}
