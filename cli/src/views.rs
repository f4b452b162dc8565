//! Formats tables of jobs, workers, teams, daemons and release notes, and the explanation of a
//! request or job.

use crate::cli::OutputFormat;
use pomelotide_core::consts::PEER_TIMEOUT_MS;
use pomelotide_wire::{
    ApiExplanation, ApiJobView, ApiNoteView, ApiPeerView, ApiTeamView, ApiWorkerView,
};
use serde::{de::DeserializeOwned, Serialize};

const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
const SECOND_MS: u64 = 1_000;

/// A row of a table.
pub(crate) trait Row: DeserializeOwned + Serialize {
    /// The columns' headers.
    const HEADERS: &'static [&'static str];

    /// Returns the columns' values, in the order of the headers.
    fn cells(&self) -> Vec<String>;
}

/// Formats rows as an aligned table or as one JSON array.
pub(crate) fn rows_text<T: Row>(format: OutputFormat, rows: &[T]) -> String {
    if format == OutputFormat::Json {
        return serde_json::to_string(rows).unwrap_or_default();
    }
    let mut lines = vec![T::HEADERS.iter().map(ToString::to_string).collect()];
    lines.extend(rows.iter().map(Row::cells));
    let widths: Vec<usize> = (0..T::HEADERS.len())
        .map(|column| column_width(&lines, column))
        .collect();
    let formatted: Vec<String> = lines
        .iter()
        .map(|cells| format_line(cells, &widths))
        .collect();
    formatted.join("\n")
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    let widths = lines.iter().map(|cells| cells[column].chars().count());
    widths.max().unwrap_or(0)
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<String> = padded
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_string()
}

/// Formats an explanation as one line per decision or as one JSON value.
pub(crate) fn explanation_text(format: OutputFormat, explanation: &ApiExplanation) -> String {
    if format == OutputFormat::Json {
        return serde_json::to_string(explanation).unwrap_or_default();
    }
    let entries = explanation.entries.iter();
    let lines: Vec<String> = entries
        .map(|entry| {
            format!(
                "{}  {}  {}",
                format_time_of_day(entry.at_ms),
                entry.daemon,
                entry.text
            )
        })
        .collect();
    lines.join("\n")
}

/// Formats the UTC time of day of a Unix time in milliseconds.
fn format_time_of_day(at_ms: u64) -> String {
    let day_ms = at_ms % DAY_MS;
    let (hours, minutes) = (day_ms / HOUR_MS, day_ms % HOUR_MS / MINUTE_MS);
    let (seconds, millis) = (day_ms % MINUTE_MS / SECOND_MS, day_ms % SECOND_MS);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}Z")
}

impl Row for ApiJobView {
    const HEADERS: &'static [&'static str] = &[
        "JOB", "TEAM", "QUEUE", "CLASS", "STATE", "TASKS", "RUNNING", "DONE", "FAILURES",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.job.clone(),
            self.team.clone(),
            self.queue.clone(),
            self.class.clone(),
            self.state.clone(),
            self.tasks.to_string(),
            self.running.to_string(),
            self.done.to_string(),
            self.failures.to_string(),
        ]
    }
}

impl Row for ApiWorkerView {
    const HEADERS: &'static [&'static str] =
        &["WORKER", "RACK", "STATE", "TASKS", "USED", "CAPACITY"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.worker.clone(),
            self.rack.clone(),
            self.state.clone(),
            self.tasks.to_string(),
            self.used.clone(),
            self.capacity.clone(),
        ]
    }
}

impl Row for ApiTeamView {
    const HEADERS: &'static [&'static str] = &[
        "TEAM",
        "SHARE",
        "WAITING",
        "RUNNING HERE",
        "ALLOTMENT HERE",
        "LIMIT FLEET-WIDE",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.team.clone(),
            self.share.to_string(),
            self.pending.to_string(),
            self.running.clone(),
            self.allotment.clone(),
            self.limit.clone(),
        ]
    }
}

impl Row for ApiPeerView {
    const HEADERS: &'static [&'static str] = &[
        "DOMAIN",
        "DAEMON",
        "PEER ADDRESS",
        "KEEPER",
        "HEARD",
        "STATE",
    ];

    fn cells(&self) -> Vec<String> {
        let leader = self.leader_term.map(|term| format!("term {term}"));
        let heard = self.heard_age_ms.map(|age_ms| format!("{age_ms} ms ago"));
        let state = match self.heard_age_ms {
            None => "not heard",
            Some(age_ms) if age_ms > PEER_TIMEOUT_MS.0 => "silent",
            Some(_) if self.draining => "draining",
            Some(_) => "serving",
        };
        vec![
            self.domain.clone(),
            self.daemon.clone(),
            self.address.clone(),
            leader.unwrap_or_else(|| "-".into()),
            heard.unwrap_or_else(|| "never".into()),
            state.into(),
        ]
    }
}

impl Row for ApiNoteView {
    const HEADERS: &'static [&'static str] = &["REVISION", "NOTE"];

    fn cells(&self) -> Vec<String> {
        vec![self.revision.to_string(), self.note.clone()]
    }
}
