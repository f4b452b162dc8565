//! Log lines as data: an event's name and its fields.

use compact_str::{format_compact, CompactString};
use std::fmt::{Display, Formatter, Result};

/// How much a line matters when lines have to be left out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// A decision on work that goes well.
    Info,
    /// A refusal, a failure, or a change of what the process believes.
    Warn,
}

/// One decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// How much it matters.
    pub level: LogLevel,
    /// The event's stable name.
    pub event: &'static str,
    /// Its fields in order.
    pub fields: Vec<(&'static str, CompactString)>,
}

impl LogEvent {
    /// Begins a line of level info.
    pub fn info(event: &'static str) -> Self {
        Self {
            level: LogLevel::Info,
            event,
            fields: Vec::new(),
        }
    }

    /// Begins a line of level warn.
    pub fn warn(event: &'static str) -> Self {
        Self {
            level: LogLevel::Warn,
            ..Self::info(event)
        }
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        self.fields.push((name, format_compact!("{value}")));
        self
    }
}

impl Display for LogEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "event={}", self.event)?;
        for (name, value) in &self.fields {
            if value.contains([' ', '"', '=']) || value.is_empty() {
                write!(f, " {name}={:?}", value.as_str())?;
            } else {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
