//! A file's problems as a diagnostic that shows each with its line.

use crate::Problems;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use std::{
    error::Error,
    fmt, //
};

/// A file's problems with the text that they are in.
#[derive(Debug)]
pub struct FileReport {
    file: String,
    faults: Vec<Fault>,
}

/// One problem with the place that it marks.
#[derive(Debug)]
struct Fault {
    text: String,
    help: Option<String>,
    span: SourceSpan,
    source: NamedSource<String>,
}

impl FileReport {
    /// Makes a report of problems in a text.
    pub fn new(problems: Problems, text: &str) -> Self {
        let Problems { file, list } = problems;
        let faults = list.into_iter().map(|problem| Fault {
            span: line_span(text, problem.line),
            source: NamedSource::new(&file, text.to_string()),
            text: format!("{file}:{}: {}", problem.line, problem.text),
            help: problem.help,
        });
        Self {
            faults: faults.collect(),
            file,
        }
    }
}

/// Returns the place of a line without its end and the blanks around it.
fn line_span(text: &str, number: usize) -> SourceSpan {
    let mut lines = text.split_inclusive('\n');
    let before = lines.by_ref().take(number.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    let line = lines.next().unwrap_or_default();
    let blanks = line.len() - line.trim_start().len();
    (start + blanks, line.trim().len()).into()
}

impl fmt::Display for FileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problems = match self.faults.len() {
            1 => "1 problem".to_string(),
            count => format!("{count} problems"),
        };
        write!(f, "{} has {problems}; nothing was taken over", self.file)
    }
}

impl Error for FileReport {}

impl Diagnostic for FileReport {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let faults = self.faults.iter();
        Some(Box::new(faults.map(|fault| fault as &dyn Diagnostic)))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Error for Fault {}

impl Diagnostic for Fault {
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
