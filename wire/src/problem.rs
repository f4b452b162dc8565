//! Problems of a text file, each with its line and a help.

use std::{
    error::Error,
    fmt, //
};

/// The most edits between a wrong name and the one that is proposed for it.
const MAX_EDIT_DISTANCE: usize = 3;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
    /// What to do about it.
    pub help: Option<String>,
}

/// Everything that is wrong in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problems {
    /// The file's name.
    pub file: String,
    /// The problems in the order of their lines.
    pub list: Vec<Problem>,
}

impl Problem {
    /// Makes a problem without a help.
    pub fn new(line: usize, text: impl Into<String>) -> Self {
        Self {
            line,
            text: text.into(),
            help: None,
        }
    }

    /// Adds a help.
    pub fn with_help(self, help: impl Into<String>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}: {}", self.file, problem.line, problem.text)?;
            if let Some(help) = &problem.help {
                write!(f, " ({help})")?;
            }
        }
        Ok(())
    }
}

impl Error for Problems {}

/// Returns the known name that is nearest to a wrong one.
pub fn closest_name<'a>(
    unknown: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|name| (edit_distance(unknown, name), name));
    scored
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE)
        .min()
        .map(|(_, name)| name)
}

/// Returns the least number of inserted, removed and replaced bytes between two texts.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.bytes().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, to) in b.bytes().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
