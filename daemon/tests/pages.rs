//! Tests that the operators' pages mention every log event and metric.

use std::{fs, path::Path};

fn read(path: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(file).expect("a file of the repository")
}

/// Returns the texts between each mark and the next quotation mark.
fn quoted<'a>(text: &'a str, mark: &str) -> Vec<&'a str> {
    let parts = text.split(mark).skip(1);
    parts.filter_map(|part| part.split('"').next()).collect()
}

#[test]
fn the_page_explains_every_event() {
    let page = read("../docs/OPERATING.md");
    let code = read("src/log_line.rs");
    let names = code.split("fn log_line").next().expect("the names");
    let events = quoted(names, "=> \"");
    assert!(events.len() > 25, "{events:?}");
    for event in events {
        assert!(page.contains(&format!("`{event}`")), "{event}");
    }
    for event in quoted(&read("src/connection_gate.rs"), "LogEvent::warn(\"") {
        assert!(page.contains(&format!("`{event}`")), "{event}");
    }
    for file in ["src/control.rs", "src/callers.rs", "src/platform.rs"] {
        for line in quoted(&read(file), "event=") {
            let event = line.split(' ').next().unwrap_or(line);
            assert!(page.contains(&format!("`{event}`")), "{event}");
        }
    }
}

#[test]
fn the_page_explains_every_metric() {
    let page = read("../docs/OPERATING.md");
    let names = read("src/telemetry.rs");
    let mut names = quoted(&names, "\"pomelotide_");
    assert!(names.len() > 15, "{names:?}");
    let gate = read("src/connection_gate.rs");
    names.extend(quoted(&gate, "\"pomelotide_"));
    for name in names {
        assert!(page.contains(&format!("`pomelotide_{name}`")), "{name}");
    }
}

/// Returns the sources of the cell's reducer and daemon.
fn cell_sources() -> Vec<String> {
    let directories = ["../core/src/cell", "../core/src/cell/leader", "src/cell"];
    let mut all = Vec::new();
    for directory in directories {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
        for entry in fs::read_dir(directory)
            .expect("a directory of sources")
            .flatten()
        {
            if entry.path().is_file() {
                all.push(fs::read_to_string(entry.path()).expect("a source"));
            }
        }
    }
    all.push(read("src/connection_gate.rs"));
    all
}

#[test]
fn the_page_on_cells_explains_every_event_and_metric() {
    let page = read("../docs/OPERATIONS.md");
    let mut events = 0;
    for code in cell_sources() {
        for mark in ["LogEvent::info(\"", "LogEvent::warn(\""] {
            for event in quoted(&code, mark) {
                assert!(page.contains(&format!("`{event}`")), "{event}");
                events += 1;
            }
        }
        for name in quoted(&code, "\"pomelotide_") {
            assert!(page.contains(&format!("`pomelotide_{name}")), "{name}");
        }
    }
    assert!(events > 50, "{events}");
}
