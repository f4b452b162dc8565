//! Reading a settings file and checking it whole.

use crate::{Settings, SettingsBuilder};
use pomelotide_core::{DomainName, KeyDigest, Millis};
use pomelotide_wire::{nearest, IniField, IniSection, IniText, Problem, Problems};
use std::{fmt::Display, str::FromStr};

/// A field of the settings file.
struct FieldRule {
    section: &'static str,
    name: &'static str,
    required: bool,
}

const fn rule(section: &'static str, name: &'static str, required: bool) -> FieldRule {
    FieldRule {
        section,
        name,
        required,
    }
}

/// All fields of the settings file; `docs/OPERATING.md` describes each.
const FIELDS: [FieldRule; 8] = [
    rule("daemon", "name", true),
    rule("daemon", "domain", true),
    rule("daemon", "callers", false),
    rule("daemon", "peers", false),
    rule("daemon", "drain_grace", false),
    rule("daemon", "operator_sha256", false),
    rule("daemon", "trace", false),
    rule("platform", "address", false),
];

/// The longest accepted grace, in milliseconds.
const MAX_GRACE_MS: Millis = Millis(600_000);

/// Reads settings from the text of a file; all problems are returned together.
pub fn read_settings(file: &str, text: &str) -> Result<Settings, Problems> {
    let ini = IniText::parse(file, text)?;
    let mut checker = Checker {
        ini: &ini,
        problems: Vec::new(),
    };
    checker.check_names();
    let settings = checker.read();
    let mut list = checker.problems;
    match settings {
        Some(settings) if list.is_empty() => Ok(settings),
        _ => {
            list.sort_by_key(|problem| problem.line);
            Err(Problems {
                file: file.into(),
                list,
            })
        }
    }
}

struct Checker<'a> {
    ini: &'a IniText,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn check_names(&mut self) {
        for section in &self.ini.sections {
            if !FIELDS.iter().any(|rule| rule.section == section.name) {
                let known = FIELDS.iter().map(|rule| rule.section);
                let text = format!("there is no section [{}]", section.name);
                self.unknown(section.line, text, nearest(&section.name, known));
                continue;
            }
            self.check_fields(section);
        }
        for rule in FIELDS.iter().filter(|rule| rule.required) {
            if self.find(rule.section, rule.name).is_none() {
                let text = format!("[{}] needs the field {}", rule.section, rule.name);
                self.problems.push(Problem::new(1, text));
            }
        }
    }

    fn check_fields(&mut self, section: &IniSection) {
        let known = || FIELDS.iter().filter(|rule| rule.section == section.name);
        for (place, field) in section.fields.iter().enumerate() {
            if section.fields[..place]
                .iter()
                .any(|earlier| earlier.name == field.name)
            {
                let text = format!("{} is given twice", field.name);
                self.problems.push(Problem::new(field.line, text));
            }
            if !known().any(|rule| rule.name == field.name) {
                let text = format!("[{}] has no field {}", section.name, field.name);
                let near = nearest(&field.name, known().map(|rule| rule.name));
                self.unknown(field.line, text, near);
            }
        }
    }

    fn unknown(&mut self, line: usize, text: String, near: Option<&str>) {
        let problem = Problem::new(line, text);
        self.problems.push(match near {
            Some(near) => problem.with_help(format!("did you mean {near}?")),
            None => problem,
        });
    }

    fn find(&self, section: &str, name: &str) -> Option<IniField> {
        let mut sections = self
            .ini
            .sections
            .iter()
            .filter(|found| found.name == section);
        sections.find_map(|found| found.field(name)).cloned()
    }

    fn get<T: FromStr<Err: Display>>(&mut self, section: &str, name: &str) -> Option<T> {
        let field = self.find(section, name)?;
        match field.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("{name} = {}: {error}", field.value);
                self.problems.push(Problem::new(field.line, text));
                None
            }
        }
    }

    fn read(&mut self) -> Option<Settings> {
        let name: Option<DomainName> = self.get("daemon", "name");
        let domain = self.get("daemon", "domain");
        let callers = self.get("daemon", "callers");
        let peers = self.get("daemon", "peers");
        let platform = self.get("platform", "address");
        let grace_ms = self.get::<Millis>("daemon", "drain_grace");
        let operator = self.digest();
        self.check_grace(grace_ms);
        let mut builder = SettingsBuilder::new(name?.to_string(), domain?);
        if let Some(address) = callers {
            builder = builder.callers(address);
        }
        if let Some(address) = peers {
            builder = builder.peers(address);
        }
        if let Some(address) = platform {
            builder = builder.platform(address);
        }
        if let Some(span_ms) = grace_ms {
            builder = builder.drain_grace_ms(span_ms);
        }
        if let Some(digest) = operator {
            builder = builder.operator(digest);
        }
        if let Some(field) = self.find("daemon", "trace") {
            builder = builder.trace(field.value);
        }
        Some(builder.build())
    }

    fn check_grace(&mut self, grace_ms: Option<Millis>) {
        let field = self.find("daemon", "drain_grace");
        if let (Some(field), true) = (field, grace_ms > Some(MAX_GRACE_MS)) {
            let text = format!("drain_grace = {}: the most is 10min", field.value);
            self.problems.push(Problem::new(field.line, text));
        }
    }

    fn digest(&mut self) -> Option<KeyDigest> {
        let field = self.find("daemon", "operator_sha256")?;
        let hex = field.value.len() == 64 && field.value.chars().all(|c| c.is_ascii_hexdigit());
        if !hex {
            let text = "operator_sha256: expected 64 hexadecimal digits";
            let help = "pomelotide key digest prints them for a secret";
            self.problems
                .push(Problem::new(field.line, text).with_help(help));
        }
        hex.then(|| KeyDigest::new(field.value.to_ascii_lowercase()))
    }
}
