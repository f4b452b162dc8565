//! Problems found in a text file, each with its line and an optional help text.

use std::{
    error::Error,
    fmt, //
};

/// The maximum edit distance between an unknown name and a suggested one.
const MAX_EDIT_DISTANCE: usize = 3;

/// A problem in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The line, counted from 1.
    pub line: usize,
    /// The description of the problem.
    pub text: String,
    /// A hint on how to fix it.
    pub help: Option<String>,
}

/// All problems found in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problems {
    /// The file's name.
    pub file: String,
    /// The problems, ordered by line.
    pub list: Vec<Problem>,
}

impl Problem {
    /// Creates a problem without a help text.
    pub fn new(line: usize, text: impl Into<String>) -> Self {
        Self {
            line,
            text: text.into(),
            help: None,
        }
    }

    /// Returns the problem with a help text.
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

/// Returns the known name with the smallest edit distance to an unknown one, or `None` if no
/// name is similar enough to suggest it.
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

/// Returns the Levenshtein distance between two texts, counted in bytes.
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
