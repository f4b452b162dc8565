//! The reducer has no dependency that does I/O, reads a clock or draws random numbers.

#![allow(clippy::unwrap_used)]

use std::fs;

/// The only libraries that the reducer may use: text, and the traits and codecs of serialization.
const ALLOWED: [&str; 3] = ["compact_str", "serde", "serde_bytes"];

#[test]
fn the_reducer_depends_on_nothing_that_does_io() {
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let text = fs::read_to_string(manifest).unwrap();
    let after = text.split("\n[dependencies]\n").nth(1).unwrap();
    let section = after.split("\n[").next().unwrap();
    let names: Vec<&str> = section
        .lines()
        .filter_map(|line| line.split(['.', ' ', '=']).next())
        .collect();
    let names: Vec<&str> = names.into_iter().filter(|name| !name.is_empty()).collect();
    assert_eq!(names, ALLOWED);
}

#[test]
fn the_reducer_names_no_clock_file_or_socket() {
    let forbidden = [
        "std::time",
        "std::fs",
        "std::net",
        "std::env",
        "std::io",
        "std::thread",
        "std::process",
    ];
    for file in sources(concat!(env!("CARGO_MANIFEST_DIR"), "/src")) {
        let text = fs::read_to_string(&file).unwrap();
        let found = forbidden.iter().find(|name| text.contains(**name));
        assert_eq!(found, None, "{file}");
    }
}

fn sources(folder: &str) -> Vec<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap().map(Result::unwrap) {
        let path = entry.path().to_string_lossy().into_owned();
        if entry.path().is_dir() {
            files.extend(sources(&path));
        } else {
            files.push(path);
        }
    }
    files
}
