//! INI form of release notes.

use crate::{
    closest_name, format_resources,
    resources_text::{parse_need, parse_resources},
    IniField, IniSection, IniText, Problem, Problems,
};
use pomelotide_core::{
    Class, Entry, EntryName, KeyDigest, Note, NoteId, QueueName, Resources, Revision,
};
use std::{
    fmt::{Display, Write},
    str::FromStr, //
};

/// The kinds of entries with their fields.
const ENTRY_KINDS: [(&str, &[&str]); 5] = [
    ("domain", &[]),
    ("team", &["share", "limit"]),
    ("key", &["team", "secret_sha256"]),
    ("queue", &["class", "open", "team", "need"]),
    ("allotment", &["amount"]),
];
/// The first word of the header of an entry's section.
const ENTRY_ACTIONS: [&str; 3] = ["added", "changed", "withdrawn"];
/// The fields of the section `note`.
const NOTE_FIELDS: [&str; 2] = ["id", "base"];
/// The number of hexadecimal digits of a SHA-256 digest.
const DIGEST_HEX_DIGITS: usize = 64;

/// Parses a release note; `file` is its name in reported problems.
///
/// ```
/// let text = "[note]\nid = first\nbase = 0\n\n[added domain saiss]\n";
/// let note = pomelotide_wire::parse_note("first.ini", text).unwrap();
/// assert_eq!(note.added.len(), 1);
/// ```
pub fn parse_note(file: &str, text: &str) -> Result<Note, Problems> {
    let ini = IniText::parse(file, text)?;
    let mut parser = NoteParser {
        problems: Vec::new(),
    };
    let note = parser.parse(&ini);
    if parser.problems.is_empty() {
        return Ok(note);
    }
    parser.problems.sort_by_key(|problem| problem.line);
    Err(Problems {
        file: file.into(),
        list: parser.problems,
    })
}

/// Parses a release note and collects all of its problems.
struct NoteParser {
    problems: Vec<Problem>,
}

impl NoteParser {
    fn parse(&mut self, ini: &IniText) -> Note {
        let mut note = Note {
            id: NoteId::new(""),
            base: Revision(0),
            added: Vec::new(),
            changed: Vec::new(),
            withdrawn: Vec::new(),
        };
        if !ini.sections.iter().any(|section| section.name == "note") {
            let help = "begin with [note], id = NAME and base = REVISION";
            self.problems
                .push(Problem::new(1, "the section [note] is missing").with_help(help));
        }
        self.check_duplicate_entries(ini);
        for section in &ini.sections {
            let words: Vec<&str> = section.name.split_whitespace().collect();
            match words.as_slice() {
                ["note"] => self.parse_note_section(section, &mut note),
                ["added", kind, names @ ..] => {
                    note.added.extend(self.parse_entry(section, kind, names));
                }
                ["changed", kind, names @ ..] => {
                    note.changed.extend(self.parse_entry(section, kind, names));
                }
                ["withdrawn", kind, names @ ..] => {
                    self.check_fields(section, &[]);
                    note.withdrawn.extend(self.parse_name(section, kind, names));
                }
                _ => self.report_unknown_section(section, &words),
            }
        }
        note
    }

    /// Reports entries that are named by more than one section. Sections are compared without their
    /// action, so that an entry can't be both added and withdrawn, for example.
    fn check_duplicate_entries(&mut self, ini: &IniText) {
        let mut seen: Vec<(String, usize)> = Vec::new();
        for section in &ini.sections {
            let mut words = section.name.split_whitespace().peekable();
            words.next_if(|word| ENTRY_ACTIONS.contains(word));
            let name = words.collect::<Vec<_>>().join(" ");
            match seen.iter().find(|(earlier, _)| *earlier == name) {
                Some((_, line)) => {
                    let text = format!("{name} is named in line {line} too");
                    let help = "name each entry once in a note";
                    let problem = Problem::new(section.line, text).with_help(help);
                    self.problems.push(problem);
                }
                None => seen.push((name, section.line)),
            }
        }
    }

    fn report_unknown_section(&mut self, section: &IniSection, words: &[&str]) {
        if words.is_empty() {
            let text = "fields stand before the first section";
            let help = "begin with [note]";
            let problem = Problem::new(section.line, text).with_help(help);
            return self.problems.push(problem);
        }
        let known = ENTRY_ACTIONS.into_iter().chain(["note"]);
        let suggestion = words.first().and_then(|word| closest_name(word, known));
        let help = match suggestion {
            Some(suggestion) => format!("did you mean {suggestion}?"),
            None => "sections are [note] and [added|changed|withdrawn KIND NAME]".into(),
        };
        let text = format!("[{}] is not a section of a release note", section.name);
        self.problems
            .push(Problem::new(section.line, text).with_help(help));
    }

    fn parse_note_section(&mut self, section: &IniSection, note: &mut Note) {
        self.check_fields(section, &NOTE_FIELDS);
        if let Some(id) = self.required_value(section, "id") {
            note.id = id;
        }
        if let Some(base) = self.required_number(section, "base", 0) {
            note.base = Revision(base);
        }
    }

    fn parse_entry(&mut self, section: &IniSection, kind: &str, names: &[&str]) -> Option<Entry> {
        let name = self.parse_name(section, kind, names)?;
        let fields = ENTRY_KINDS
            .iter()
            .find(|(known, _)| *known == kind)
            .map(|(_, fields)| *fields);
        self.check_fields(section, fields.unwrap_or_default());
        // Each branch parses all fields before it returns for an invalid one, to report every
        // problem.
        match name {
            EntryName::Domain(name) => Some(Entry::Domain(name)),
            EntryName::Team(name) => {
                let share = self.required_number(section, "share", 1);
                let limit = self.required_resources(section, "limit");
                let (share, limit) = (share?, limit?);
                Some(Entry::Team { name, share, limit })
            }
            EntryName::Key(name) => {
                let digest = self.required_digest(section);
                let team = self.required_value(section, "team");
                let (digest, team) = (digest?, team?);
                Some(Entry::Key { name, digest, team })
            }
            EntryName::Queue(name) => self.parse_queue(section, name),
            EntryName::Allotment(team, domain) => {
                let amount = self.required_resources(section, "amount")?;
                Some(Entry::Allotment {
                    team,
                    domain,
                    amount,
                })
            }
            EntryName::Split(_) => None,
        }
    }

    fn parse_queue(&mut self, section: &IniSection, name: QueueName) -> Option<Entry> {
        let class = self.required_value::<Class>(section, "class");
        let open = self.optional_flag(section, "open");
        let team = self.optional_value(section, "team");
        let need = self.required_need(section);
        Some(Entry::Queue {
            name,
            class: class?,
            open: open?,
            team: team?,
            need: need?,
        })
    }

    fn parse_name(
        &mut self,
        section: &IniSection,
        kind: &str,
        names: &[&str],
    ) -> Option<EntryName> {
        let line = section.line;
        match (kind, names) {
            ("domain", [name]) => self.parse_id(line, name).map(EntryName::Domain),
            ("team", [name]) => self.parse_id(line, name).map(EntryName::Team),
            ("key", [name]) => self.parse_id(line, name).map(EntryName::Key),
            ("queue", [name]) => self.parse_id(line, name).map(EntryName::Queue),
            ("allotment", [team, domain]) => Some(EntryName::Allotment(
                self.parse_id(line, team)?,
                self.parse_id(line, domain)?,
            )),
            _ => {
                let known = ENTRY_KINDS.iter().map(|(kind, _)| *kind);
                let help = match closest_name(kind, known) {
                    Some(suggestion) if suggestion != kind => format!("did you mean {suggestion}?"),
                    _ => "write domain NAME, team NAME, key NAME, queue NAME or \
                          allotment TEAM DOMAIN"
                        .into(),
                };
                let text = format!("[{}] does not name an entry", section.name);
                self.problems.push(Problem::new(line, text).with_help(help));
                None
            }
        }
    }

    fn parse_id<T: FromStr<Err: Display>>(&mut self, line: usize, text: &str) -> Option<T> {
        match text.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                self.problems
                    .push(Problem::new(line, format!("{text:?}: {error}")));
                None
            }
        }
    }

    /// Reports duplicate fields and fields that the section does not have.
    fn check_fields(&mut self, section: &IniSection, known: &[&str]) {
        let mut seen = Vec::new();
        for field in &section.fields {
            if seen.contains(&field.name.as_str()) {
                let text = format!("{} is given twice", field.name);
                self.problems.push(Problem::new(field.line, text));
            }
            seen.push(&field.name);
            if known.contains(&field.name.as_str()) {
                continue;
            }
            let text = format!("[{}] has no field {}", section.name, field.name);
            let mut problem = Problem::new(field.line, text);
            if let Some(suggestion) = closest_name(&field.name, known.iter().copied()) {
                problem = problem.with_help(format!("did you mean {suggestion}?"));
            }
            self.problems.push(problem);
        }
    }

    /// Returns a field, or reports that it is missing.
    fn required_field<'a>(&mut self, section: &'a IniSection, name: &str) -> Option<&'a IniField> {
        let found = section.field(name);
        if found.is_none() {
            let text = format!("[{}] needs the field {name}", section.name);
            self.problems.push(Problem::new(section.line, text));
        }
        found
    }

    /// Returns the parsed value of a field, or reports why it is invalid.
    fn check_value<T, E: Display>(&mut self, field: &IniField, parsed: Result<T, E>) -> Option<T> {
        match parsed {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("{} = {}: {error}", field.name, field.value);
                self.problems.push(Problem::new(field.line, text));
                None
            }
        }
    }

    fn required_value<T: FromStr<Err: Display>>(
        &mut self,
        section: &IniSection,
        name: &str,
    ) -> Option<T> {
        let field = self.required_field(section, name)?;
        self.check_value(field, field.value.parse())
    }

    fn optional_value<T: FromStr<Err: Display>>(
        &mut self,
        section: &IniSection,
        name: &str,
    ) -> Option<Option<T>> {
        match section.field(name) {
            None => Some(None),
            Some(field) => self.check_value(field, field.value.parse()).map(Some),
        }
    }

    fn required_resources(&mut self, section: &IniSection, name: &str) -> Option<Resources> {
        let field = self.required_field(section, name)?;
        self.check_value(field, parse_resources(&field.value))
    }

    fn required_need(&mut self, section: &IniSection) -> Option<Resources> {
        let field = self.required_field(section, "need")?;
        self.check_value(field, parse_need(&field.value))
    }

    /// Parses a whole number of at least `min`.
    fn required_number(&mut self, section: &IniSection, name: &str, min: u64) -> Option<u64> {
        let field = self.required_field(section, name)?;
        let parsed = match field.value.parse::<u64>() {
            Ok(number) if number >= min => Ok(number),
            Ok(_) => Err(format!("the least is {min}")),
            Err(_) => Err("expected a whole number".to_string()),
        };
        self.check_value(field, parsed)
    }

    /// Parses a field that is `yes` or `no`; a missing one counts as `no`.
    fn optional_flag(&mut self, section: &IniSection, name: &str) -> Option<bool> {
        let Some(field) = section.field(name) else {
            return Some(false);
        };
        let parsed = match field.value.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err("expected yes or no"),
        };
        self.check_value(field, parsed)
    }

    fn required_digest(&mut self, section: &IniSection) -> Option<KeyDigest> {
        let field = self.required_field(section, "secret_sha256")?;
        let is_hex = field.value.len() == DIGEST_HEX_DIGITS
            && field
                .value
                .chars()
                .all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        let parsed = if is_hex {
            Ok(KeyDigest::new(&field.value))
        } else {
            Err("expected 64 lower-case hexadecimal digits (pomelotide key digest)")
        };
        self.check_value(field, parsed)
    }
}

/// Formats entries as sections of a release note that begin with the given action, such as `added`.
pub fn format_entries<'a>(action: &str, entries: impl Iterator<Item = &'a Entry>) -> String {
    let mut text = String::new();
    // Leaders write splits; operators can't list them in a note.
    let operator_entries = entries.filter(|entry| !matches!(entry, Entry::Split { .. }));
    for entry in operator_entries {
        let mut line = |args: std::fmt::Arguments<'_>| {
            // Writing to a string can't fail.
            let _ = text.write_fmt(args);
        };
        line(format_args!("[{action} {}]\n", entry.name()));
        match entry {
            Entry::Domain(_) | Entry::Split { .. } => {}
            Entry::Team { share, limit, .. } => {
                line(format_args!(
                    "share = {share}\nlimit = {}\n",
                    format_resources(limit)
                ));
            }
            Entry::Key { digest, team, .. } => {
                line(format_args!("team = {team}\nsecret_sha256 = {digest}\n"));
            }
            Entry::Queue {
                class,
                open,
                team,
                need,
                ..
            } => {
                let open = if *open { "yes" } else { "no" };
                line(format_args!("class = {class}\nopen = {open}\n"));
                if let Some(team) = team {
                    line(format_args!("team = {team}\n"));
                }
                line(format_args!("need = {}\n", format_resources(need)));
            }
            Entry::Allotment { amount, .. } => {
                line(format_args!("amount = {}\n", format_resources(amount)));
            }
        }
        line(format_args!("\n"));
    }
    text
}
