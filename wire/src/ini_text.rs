//! INI parser that returns the line of each section and field.

use crate::{Problem, Problems};
use ini::{Ini, ParseOption};

/// A field of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniField {
    /// The field's name.
    pub name: String,
    /// Its value.
    pub value: String,
    /// Its line, counted from 1.
    pub line: usize,
}

/// A section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// The section's name.
    pub name: String,
    /// Its line, counted from 1.
    pub line: usize,
    /// Its fields, grouped by name.
    pub fields: Vec<IniField>,
}

/// A parsed INI text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniText {
    /// The sections in the order of the text.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Parses a text; `file` is its name in reported problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
            let help = "a line is [SECTION], NAME = VALUE, or a comment that begins with ;";
            let line = first_invalid_line(text).unwrap_or(error.line);
            Problems {
                file: file.into(),
                list: vec![Problem::new(line, "not a line of INI").with_help(help)],
            }
        })?;
        let lines = LineIndex::of(text);
        let mut sections = Vec::new();
        for (name, properties) in &parsed {
            let name = name.unwrap_or_default().to_string();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            sections.push(lines.section(name, properties.iter(), &sections));
        }
        Ok(Self { sections })
    }
}

/// Returns the first line that is neither blank, a comment, a section header nor a field.
fn first_invalid_line(text: &str) -> Option<usize> {
    let is_invalid = |line: &str| {
        let closed = !line.starts_with('[') || line.ends_with(']');
        let ignored = line.is_empty() || line.starts_with([';', '#']);
        !(ignored || closed && LineStart::of(line).is_some())
    };
    let invalid = text.lines().position(|line| is_invalid(line.trim()));
    invalid.map(|index| index + 1)
}

impl IniSection {
    /// Returns the field with the given name; the first one if there are several.
    pub fn field(&self, name: &str) -> Option<&IniField> {
        self.fields.iter().find(|field| field.name == name)
    }
}

/// The lines of a text at which sections and fields start.
///
/// The `ini` crate returns no line numbers. This index finds the line of a section or field by its
/// name and by the number of sections or fields of that name before it.
struct LineIndex<'a> {
    starts: Vec<(usize, LineStart<'a>)>,
}

/// The section header or field that a line begins with.
enum LineStart<'a> {
    Section(&'a str),
    Field(&'a str),
}

impl<'a> LineIndex<'a> {
    fn of(text: &'a str) -> Self {
        let numbered = text
            .lines()
            .enumerate()
            .map(|(i, line)| (i + 1, line.trim()));
        let starts = numbered.filter_map(|(number, line)| Some((number, LineStart::of(line)?)));
        Self {
            starts: starts.collect(),
        }
    }

    fn section<'p>(
        &self,
        name: String,
        properties: impl Iterator<Item = (&'p str, &'p str)>,
        preceding: &[IniSection],
    ) -> IniSection {
        let occurrence = preceding
            .iter()
            .filter(|section| section.name == name)
            .count();
        let is_start =
            |start: &LineStart<'_>| matches!(start, LineStart::Section(of) if *of == name);
        let found = self
            .starts
            .iter()
            .enumerate()
            .filter(|(_, (_, start))| is_start(start));
        let found = found
            .map(|(index, (line, _))| (index + 1, *line))
            .nth(occurrence);
        let (index, line) = found.unwrap_or((0, 1));
        let mut fields: Vec<IniField> = Vec::new();
        for (key, value) in properties {
            let occurrence = fields.iter().filter(|field| field.name == key).count();
            fields.push(IniField {
                name: key.to_string(),
                value: value.to_string(),
                line: self.field_line(index, key, occurrence).unwrap_or(line),
            });
        }
        IniSection { name, line, fields }
    }

    /// Returns the line of a field in the section whose fields start at `index`; `occurrence` counts
    /// the fields of the same name before it.
    fn field_line(&self, index: usize, name: &str, occurrence: usize) -> Option<usize> {
        let rest = self.starts[index.min(self.starts.len())..].iter();
        let own = rest.take_while(|(_, start)| matches!(start, LineStart::Field(_)));
        let mut named =
            own.filter(|(_, start)| matches!(start, LineStart::Field(of) if *of == name));
        named.nth(occurrence).map(|(line, _)| *line)
    }
}

impl<'a> LineStart<'a> {
    fn of(line: &'a str) -> Option<Self> {
        if line.starts_with([';', '#']) {
            return None;
        }
        if let Some(name) = line.strip_prefix('[') {
            return Some(LineStart::Section(name.split(']').next()?.trim()));
        }
        let (name, _) = line.split_once(['=', ':'])?;
        Some(LineStart::Field(name.trim()))
    }
}
