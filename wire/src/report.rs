//! Diagnostic that shows the problems of a file together with their lines.

use crate::Problems;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use std::{
    error::Error,
    fmt, //
};

/// A diagnostic for all problems of a file.
#[derive(Debug)]
pub struct FileReport {
    file: String,
    problems: Vec<LocatedProblem>,
}

/// A problem with the span of the text that it refers to.
#[derive(Debug)]
struct LocatedProblem {
    text: String,
    help: Option<String>,
    span: SourceSpan,
    source: NamedSource<String>,
}

impl FileReport {
    /// Creates a report about problems of the given text.
    pub fn new(problems: Problems, text: &str) -> Self {
        let Problems { file, list } = problems;
        let located = list.into_iter().map(|problem| LocatedProblem {
            span: line_span(text, problem.line),
            source: NamedSource::new(&file, text.to_string()),
            text: format!("{file}:{}: {}", problem.line, problem.text),
            help: problem.help,
        });
        Self {
            problems: located.collect(),
            file,
        }
    }
}

/// Returns the span of a line, without surrounding white space; `number` counts from 1.
fn line_span(text: &str, number: usize) -> SourceSpan {
    let mut lines = text.split_inclusive('\n');
    let preceding = lines.by_ref().take(number.saturating_sub(1));
    let start: usize = preceding.map(str::len).sum();
    let line = lines.next().unwrap_or_default();
    let indent = line.len() - line.trim_start().len();
    (start + indent, line.trim().len()).into()
}

impl fmt::Display for FileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = match self.problems.len() {
            1 => "1 problem".to_string(),
            more => format!("{more} problems"),
        };
        write!(f, "{} has {count}; nothing was applied", self.file)
    }
}

impl Error for FileReport {}

impl Diagnostic for FileReport {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let problems = self.problems.iter();
        Some(Box::new(problems.map(|problem| problem as &dyn Diagnostic)))
    }
}

impl fmt::Display for LocatedProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Error for LocatedProblem {}

impl Diagnostic for LocatedProblem {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.help.as_ref()?;
        Some(Box::new(help))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(None, self.span);
        Some(Box::new(std::iter::once(label)))
    }
}
