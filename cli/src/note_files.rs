//! Reads release notes from files and compares them with the configuration in force.

use crate::exit::Exit;
use miette::Report;
use pomelotide_core::{EntryName, Note};
use pomelotide_wire::{format_entries, parse_note, FileReport};
use std::fs;

/// Reads and checks a release note; prints the problems if it is invalid.
pub(crate) fn read_note(file: &str) -> Result<(String, Note), Exit> {
    let text = fs::read_to_string(file).map_err(|error| {
        eprintln!("can't read {file}: {error}");
        Exit::Usage
    })?;
    let note = parse_note(file, &text).map_err(|problems| {
        eprintln!("{:?}", Report::new(FileReport::new(problems, &text)));
        Exit::Usage
    })?;
    Ok((text, note))
}

/// Returns the changes that a note would make to a configuration, as lines that begin with `+` or
/// `-`. A changed entry appears as removed and added.
pub(crate) fn diff(config: &str, note: &Note) -> String {
    let mut lines = Vec::new();
    let removed: Vec<EntryName> = note.changed.iter().map(|entry| entry.name()).collect();
    for name in removed.iter().chain(&note.withdrawn) {
        lines.extend(section(config, name).iter().map(|line| format!("- {line}")));
    }
    let added = format_entries("added", note.added.iter().chain(&note.changed));
    let added = added.lines().filter(|line| !line.is_empty());
    lines.extend(added.map(|line| format!("+ {line}")));
    lines.join("\n")
}

/// Returns the lines of an entry in a configuration, up to the next empty line.
fn section<'a>(config: &'a str, name: &EntryName) -> Vec<&'a str> {
    let header = format!("[added {name}]");
    let section = config.lines().skip_while(|line| *line != header);
    section.take_while(|line| !line.is_empty()).collect()
}
