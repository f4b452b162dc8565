//! Release notes as text: what is read, and what is said of wrong ones.

use pomelotide_core::{Entry, EntryName, Revision};
use pomelotide_wire::{format_entries, parse_note};
use std::{fs, path::Path};

/// Reads `notes/NAME.ini`.
fn text_of(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/notes");
    fs::read_to_string(folder.join(format!("{name}.ini"))).expect("a note of the test data")
}

#[test]
fn wrong_notes_get_the_messages_beside_them() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/notes");
    let mut tried = 0;
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|kind| kind != "txt") {
            continue;
        }
        let name = path.file_stem().unwrap().to_str().unwrap();
        let problems = parse_note(&format!("{name}.ini"), &text_of(name)).unwrap_err();
        let expected = fs::read_to_string(&path).unwrap();
        assert_eq!(format!("{problems}\n"), expected, "{name}");
        tried += 1;
    }
    assert_eq!(tried, 7);
}

#[test]
fn a_note_with_every_kind_is_read_whole() {
    let note = parse_note("good.ini", &text_of("good")).unwrap();
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
fn shown_entries_are_read_back_the_same() {
    let note = parse_note("good.ini", &text_of("good")).unwrap();
    let entries: Vec<Entry> = note.added.iter().chain(&note.changed).cloned().collect();
    let text = format!(
        "[note]\nid = again\nbase = 0\n\n{}",
        format_entries("added", entries.iter())
    );
    assert_eq!(parse_note("shown", &text).unwrap().added, entries);
}
