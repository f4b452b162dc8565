//! Tests of the INI form of release notes and of the messages about invalid ones.

use pomelotide_core::{Entry, EntryName, Revision};
use pomelotide_wire::{format_entries, parse_note};
use std::{fs, path::Path};

/// Returns the content of `notes/NAME.ini`.
fn note_text(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/notes");
    fs::read_to_string(folder.join(format!("{name}.ini"))).expect("a note of the test data")
}

#[test]
fn invalid_notes_get_the_expected_messages() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/notes");
    let mut checked = 0;
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|kind| kind != "txt") {
            continue;
        }
        let name = path.file_stem().unwrap().to_str().unwrap();
        let problems = parse_note(&format!("{name}.ini"), &note_text(name)).unwrap_err();
        let expected = fs::read_to_string(&path).unwrap();
        assert_eq!(format!("{problems}\n"), expected, "{name}");
        checked += 1;
    }
    assert_eq!(checked, 7);
}

#[test]
fn a_note_with_every_kind_of_entry_is_parsed() {
    let note = parse_note("good.ini", &note_text("good")).unwrap();
    assert_eq!(
        (note.id.as_str(), note.base),
        ("2026-12-04/harvest", Revision(7))
    );
    assert_eq!(
        (note.added.len(), note.changed.len(), note.withdrawn.len()),
        (4, 1, 2)
    );
    let old: EntryName = note.withdrawn[0].clone();
    assert_eq!(old.to_string(), "key old-agents");
}

#[test]
fn formatted_entries_parse_to_the_same_entries() {
    let note = parse_note("good.ini", &note_text("good")).unwrap();
    let entries: Vec<Entry> = note.added.iter().chain(&note.changed).cloned().collect();
    let text = format!(
        "[note]\nid = again\nbase = 0\n\n{}",
        format_entries("added", entries.iter())
    );
    assert_eq!(parse_note("shown", &text).unwrap().added, entries);
}
