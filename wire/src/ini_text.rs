//! INI text whose sections and fields know their lines.

use crate::{Problem, Problems};
use ini::{Ini, ParseOption};

/// A field with its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniField {
    /// The field's name.
    pub name: String,
    /// Its value.
    pub value: String,
    /// Its line, counted from 1.
    pub line: usize,
}

/// A section with its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// The section's name.
    pub name: String,
    /// Its line, counted from 1.
    pub line: usize,
    /// Its fields.
    pub fields: Vec<IniField>,
}

/// A parsed INI text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniText {
    /// The sections in the order of the text.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Parses a text; `file` names it in problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
            let help = "a line is [SECTION], NAME = VALUE, or a comment that begins with ;";
            let line = first_wrong_line(text).unwrap_or(error.line);
            Problems {
                file: file.into(),
                list: vec![Problem::new(line, "not a line of INI").with_help(help)],
            }
        })?;
        let lines = Lines::of(text);
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

/// Returns the first line that neither is blank or a comment nor begins a section or field.
fn first_wrong_line(text: &str) -> Option<usize> {
    let is_wrong = |line: &str| {
        let closed = !line.starts_with('[') || line.ends_with(']');
        let ignored = line.is_empty() || line.starts_with([';', '#']);
        !(ignored || closed && Start::of(line).is_some())
    };
    let wrong = text.lines().position(|line| is_wrong(line.trim()));
    wrong.map(|place| place + 1)
}

impl IniSection {
    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&IniField> {
        self.fields.iter().find(|field| field.name == name)
    }
}

/// The lines of a text that begin sections or fields.
struct Lines<'a> {
    starts: Vec<(usize, Start<'a>)>,
}

enum Start<'a> {
    Section(&'a str),
    Field(&'a str),
}

impl<'a> Lines<'a> {
    fn of(text: &'a str) -> Self {
        let numbered = text
            .lines()
            .enumerate()
            .map(|(i, line)| (i + 1, line.trim()));
        let starts = numbered.filter_map(|(number, line)| Some((number, Start::of(line)?)));
        Self {
            starts: starts.collect(),
        }
    }

    fn section<'p>(
        &self,
        name: String,
        properties: impl Iterator<Item = (&'p str, &'p str)>,
        before: &[IniSection],
    ) -> IniSection {
        let same_before = before.iter().filter(|section| section.name == name).count();
        let is_start = |start: &Start<'_>| matches!(start, Start::Section(of) if *of == name);
        let found = self
            .starts
            .iter()
            .enumerate()
            .filter(|(_, (_, start))| is_start(start));
        let found = found
            .map(|(place, (line, _))| (place + 1, *line))
            .nth(same_before);
        let (place, line) = found.unwrap_or((0, 1));
        let mut fields: Vec<IniField> = Vec::new();
        for (key, value) in properties {
            let same_before = fields.iter().filter(|field| field.name == key).count();
            fields.push(IniField {
                name: key.to_string(),
                value: value.to_string(),
                line: self.field_line(place, key, same_before).unwrap_or(line),
            });
        }
        IniSection { name, line, fields }
    }

    fn field_line(&self, place: usize, name: &str, same_before: usize) -> Option<usize> {
        let rest = self.starts[place.min(self.starts.len())..].iter();
        let own = rest.take_while(|(_, start)| matches!(start, Start::Field(_)));
        let mut named = own.filter(|(_, start)| matches!(start, Start::Field(of) if *of == name));
        named.nth(same_before).map(|(line, _)| *line)
    }
}

impl<'a> Start<'a> {
    fn of(line: &'a str) -> Option<Self> {
        if line.starts_with([';', '#']) {
            return None;
        }
        if let Some(name) = line.strip_prefix('[') {
            return Some(Start::Section(name.split(']').next()?.trim()));
        }
        let (name, _) = line.split_once(['=', ':'])?;
        Some(Start::Field(name.trim()))
    }
}
