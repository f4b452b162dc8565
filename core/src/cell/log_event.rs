//! Log events: a stable name with fields.

use compact_str::{format_compact, CompactString};
use std::fmt::{Display, Formatter, Result};

/// The maximum length of a field's value in characters; ids and texts of other writers may be long.
const MAX_VALUE_CHARS: usize = 500;

/// The level of a log event, which determines how many events a second are written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// A decision in normal operation.
    Info,
    /// A refusal, a failure, or a change in the daemon's view of the cell.
    Warn,
}

/// A decision, as written to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// The level.
    pub level: LogLevel,
    /// The stable name of the event.
    pub event: &'static str,
    /// The names and values of the fields, in the order in which they are written.
    pub fields: Vec<(&'static str, CompactString)>,
}

impl LogEvent {
    /// Creates an event of level info, without fields.
    pub fn info(event: &'static str) -> Self {
        Self {
            level: LogLevel::Info,
            event,
            fields: Vec::new(),
        }
    }

    /// Creates an event of level warn, without fields.
    pub fn warn(event: &'static str) -> Self {
        Self {
            level: LogLevel::Warn,
            ..Self::info(event)
        }
    }

    /// Returns the event with one more field.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        let mut value = format_compact!("{value}");
        if let Some((end, _)) = value.char_indices().nth(MAX_VALUE_CHARS) {
            value.truncate(end);
            value.push_str("...");
        }
        self.fields.push((name, value));
        self
    }
}

impl Display for LogEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "event={}", self.event)?;
        for (name, value) in &self.fields {
            let needs_quotes = |c: char| matches!(c, ' ' | '"' | '=') || c.is_control();
            if value.contains(needs_quotes) || value.is_empty() {
                write!(f, " {name}={:?}", value.as_str())?;
            } else {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
