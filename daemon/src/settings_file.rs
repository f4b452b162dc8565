//! Reads a settings file and reports all of its problems.

use crate::{CellSection, HostLimits, Settings, SettingsBuilder};
use pomelotide_core::{DomainName, KeyDigest, Millis};
use pomelotide_wire::{closest_name, IniField, IniSection, IniText, Problem, Problems};
use std::{fmt::Display, net::SocketAddr, str::FromStr};

/// A field of the settings file.
struct FieldSpec {
    section: &'static str,
    name: &'static str,
    /// The form of its value, for the reference.
    form: &'static str,
    /// The default as shown in the reference; `None` for a required field.
    default: Option<&'static str>,
    meaning: &'static str,
}

/// All fields of the settings file.
const FIELDS: [FieldSpec; 21] = [
    FieldSpec {
        section: "daemon",
        name: "name",
        form: "letters, digits, - _ .",
        default: None,
        meaning: "the host's name; each start adds its time to it",
    },
    FieldSpec {
        section: "daemon",
        name: "domain",
        form: "letters, digits, - _ .",
        default: None,
        meaning: "the failure domain, as the host list and the release notes name it",
    },
    FieldSpec {
        section: "daemon",
        name: "callers",
        form: "IP:port",
        default: Some("127.0.0.1:7100"),
        meaning: "where callers and operators are served by HTTP",
    },
    FieldSpec {
        section: "daemon",
        name: "peers",
        form: "IP:port",
        default: Some("127.0.0.1:7200"),
        meaning: "where the other daemons connect; they are told this address",
    },
    FieldSpec {
        section: "daemon",
        name: "drain_grace",
        form: "span, at most 10min",
        default: Some("5s"),
        meaning: "how long callers are still served after a planned stop was asked for",
    },
    FieldSpec {
        section: "daemon",
        name: "operator_sha256",
        form: "64 hexadecimal digits",
        default: Some("no operator"),
        meaning: "the digest of the secret that operators show (pomelotide key digest)",
    },
    FieldSpec {
        section: "daemon",
        name: "trace",
        form: "path",
        default: Some("no trace"),
        meaning: "where to record all events for a replay; for development, it grows without end",
    },
    FieldSpec {
        section: "platform",
        name: "address",
        form: "IP:port",
        default: Some("127.0.0.1:7000"),
        meaning: "where the platform's table service and host list are",
    },
    FieldSpec {
        section: "cell",
        name: "readiness",
        form: "IP:port",
        default: Some("not served"),
        meaning: "where the balancer asks whether new clients are taken; with any field of [cell] the daemon joins a cell",
    },
    FieldSpec {
        section: "cell",
        name: "metrics",
        form: "IP:port",
        default: Some("not served"),
        meaning: "where metrics are served as text",
    },
    FieldSpec {
        section: "cell",
        name: "advice",
        form: "IP:port",
        default: Some("no advice"),
        meaning: "where the advice service is",
    },
    FieldSpec {
        section: "cell",
        name: "cpu_share",
        form: "a number above 0",
        default: Some("1.0"),
        meaning: "the host's processor share in cores; strong hosts lead",
    },
    FieldSpec {
        section: "cell",
        name: "link_mbps",
        form: "a number above 0",
        default: Some("unknown, taken as fast"),
        meaning: "the rate of the host's link in Mbit/s; hosts with fast ones lead",
    },
    FieldSpec {
        section: "cell",
        name: "max_lease",
        form: "span",
        default: Some("10s"),
        meaning: "the longest lease that workers grant",
    },
    FieldSpec {
        section: "cell",
        name: "revoke",
        form: "span",
        default: Some("5s"),
        meaning: "how long a withdrawn key may at most be honoured",
    },
    FieldSpec {
        section: "cell",
        name: "retention",
        form: "span",
        default: Some("120s"),
        meaning: "how long an ended job can be asked for",
    },
    FieldSpec {
        section: "cell",
        name: "max_row_bytes",
        form: "a whole number",
        default: Some("65536"),
        meaning: "the most bytes of a row's value in the store, as base64",
    },
    FieldSpec {
        section: "cell",
        name: "domain_drain",
        form: "span",
        default: Some("requests are ignored"),
        meaning: "how long after a request to drain a failure domain a task may at most start there",
    },
    FieldSpec {
        section: "cell",
        name: "admission",
        form: "on or off",
        default: Some("off"),
        meaning: "whether jobs that can't start while their result is useful are refused",
    },
    FieldSpec {
        section: "cell",
        name: "memory_mb",
        form: "a number, 64 to 1048576",
        default: Some("120"),
        meaning: "the host's memory in MB; bounds unfinished requests and connections",
    },
    FieldSpec {
        section: "cell",
        name: "max_fds",
        form: "a number, 512 to 1048576",
        default: Some("3075"),
        meaning: "the file descriptors of the process; bounds connections",
    },
];

/// Returns the settings reference as a table in Markdown.
pub fn settings_reference() -> String {
    let head = "| section | field | value | default | meaning |\n|---|---|---|---|---|\n";
    let rows = FIELDS.iter().map(|spec| {
        let default = spec.default.unwrap_or("(required)");
        let FieldSpec {
            section,
            name,
            form,
            meaning,
            ..
        } = spec;
        format!("| `[{section}]` | `{name}` | {form} | {default} | {meaning} |\n")
    });
    head.to_string() + &rows.collect::<String>()
}

/// The longest accepted `drain_grace`, in milliseconds.
const MAX_DRAIN_GRACE_MS: Millis = Millis(600_000);

/// Reads settings from the text of a file, or returns all of its problems.
pub fn read_settings(file: &str, text: &str) -> Result<Settings, Problems> {
    let ini = IniText::parse(file, text)?;
    let mut parser = SettingsParser {
        ini: &ini,
        problems: Vec::new(),
    };
    parser.check_structure();
    let settings = parser.parse();
    let mut list = parser.problems;
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

/// Parses the fields of a settings file and collects all of its problems.
struct SettingsParser<'a> {
    ini: &'a IniText,
    problems: Vec<Problem>,
}

impl SettingsParser<'_> {
    fn check_structure(&mut self) {
        for (index, section) in self.ini.sections.iter().enumerate() {
            let earlier = &self.ini.sections[..index];
            if let Some(first) = earlier.iter().find(|first| first.name == section.name) {
                let text = format!(
                    "[{}] is already defined in line {}",
                    section.name, first.line
                );
                let problem = Problem::new(section.line, text);
                self.problems
                    .push(problem.with_help("write each section once"));
            }
            if section.name.is_empty() {
                let problem = Problem::new(section.line, "fields stand before the first section");
                self.problems.push(problem.with_help("begin with [daemon]"));
                continue;
            }
            if !FIELDS.iter().any(|spec| spec.section == section.name) {
                let known = FIELDS.iter().map(|spec| spec.section);
                let text = format!("there is no section [{}]", section.name);
                self.report_unknown(section.line, text, closest_name(&section.name, known));
                continue;
            }
            self.check_fields(section);
        }
        for spec in FIELDS.iter().filter(|spec| spec.default.is_none()) {
            if self.find(spec.section, spec.name).is_none() {
                let text = format!("[{}] needs the field {}", spec.section, spec.name);
                let is_same = |section: &&IniSection| section.name == spec.section;
                let line = self
                    .ini
                    .sections
                    .iter()
                    .find(is_same)
                    .map_or(1, |section| section.line);
                let help = format!("add {} = ...", spec.name);
                self.problems.push(Problem::new(line, text).with_help(help));
            }
        }
    }

    fn check_fields(&mut self, section: &IniSection) {
        let known = || FIELDS.iter().filter(|spec| spec.section == section.name);
        for (index, field) in section.fields.iter().enumerate() {
            if section.fields[..index]
                .iter()
                .any(|earlier| earlier.name == field.name)
            {
                let text = format!("{} is given twice", field.name);
                self.problems.push(Problem::new(field.line, text));
            }
            if !known().any(|spec| spec.name == field.name) {
                let text = format!("[{}] has no field {}", section.name, field.name);
                let suggestion = closest_name(&field.name, known().map(|spec| spec.name));
                self.report_unknown(field.line, text, suggestion);
            }
        }
    }

    fn report_unknown(&mut self, line: usize, text: String, suggestion: Option<&str>) {
        let problem = Problem::new(line, text);
        self.problems.push(match suggestion {
            Some(suggestion) => problem.with_help(format!("did you mean {suggestion}?")),
            None => problem,
        });
    }

    fn find(&self, section: &str, name: &str) -> Option<IniField> {
        let mut sections = self
            .ini
            .sections
            .iter()
            .filter(|candidate| candidate.name == section);
        sections.find_map(|section| section.field(name)).cloned()
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

    fn parse(&mut self) -> Option<Settings> {
        let name: Option<DomainName> = self.get("daemon", "name");
        let domain = self.get("daemon", "domain");
        let callers = self.address("daemon", "callers");
        let peers = self.address("daemon", "peers");
        let platform = self.address("platform", "address");
        self.check_addresses(callers, peers);
        let drain_grace_ms = self.get::<Millis>("daemon", "drain_grace");
        let operator = self.operator_digest();
        self.check_drain_grace(drain_grace_ms);
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
        if let Some(drain_grace_ms) = drain_grace_ms {
            builder = builder.drain_grace_ms(drain_grace_ms);
        }
        if let Some(digest) = operator {
            builder = builder.operator(digest);
        }
        if let Some(field) = self.find("daemon", "trace") {
            builder = builder.trace(field.value);
        }
        if let Some(section) = self.cell_section() {
            builder = builder.cell(section);
        }
        Some(builder.build())
    }

    /// Reads the section of a cell's daemon, if there is one.
    fn cell_section(&mut self) -> Option<CellSection> {
        if !self
            .ini
            .sections
            .iter()
            .any(|section| section.name == "cell")
        {
            return None;
        }
        let duration_ms = |parser: &mut Self, name, default: u64| {
            parser
                .get::<Millis>("cell", name)
                .unwrap_or(Millis(default))
        };
        Some(CellSection {
            readiness: self.address("cell", "readiness"),
            metrics: self.address("cell", "metrics"),
            advice: self.address("cell", "advice"),
            cpu_milli: self.cpu_milli(),
            link_kbps: self.link_kbps(),
            max_lease_ms: duration_ms(self, "max_lease", 10_000),
            key_revocation_ms: duration_ms(self, "revoke", 5_000),
            retention_ms: duration_ms(self, "retention", 120_000),
            max_row_bytes: self.get("cell", "max_row_bytes").unwrap_or(65_536),
            drain_bound_ms: self.drain_bound_ms(),
            admission: self.is_on("cell", "admission", false),
            host: self.host_limits(),
        })
    }

    fn drain_bound_ms(&mut self) -> Option<Millis> {
        let bound_ms = self.get("cell", "domain_drain");
        if let (Some(Millis(0)), Some(field)) = (bound_ms, self.find("cell", "domain_drain")) {
            // With no time for a read and a call, nothing could ever start.
            let text = format!("domain_drain = {}: expected a span above 0", field.value);
            self.problems.push(Problem::new(field.line, text));
        }
        bound_ms
    }

    /// Reads a field that is `on` or `off`.
    fn is_on(&mut self, section: &str, name: &str, default: bool) -> bool {
        let Some(field) = self.find(section, name) else {
            return default;
        };
        match field.value.as_str() {
            "on" => true,
            "off" => false,
            value => {
                let text = format!("{name} = {value}: expected on or off");
                self.problems.push(Problem::new(field.line, text));
                default
            }
        }
    }

    fn host_limits(&mut self) -> HostLimits {
        let default = HostLimits::default();
        HostLimits {
            memory_mb: self.number_in("memory_mb", 64, default.memory_mb),
            max_fds: self.number_in("max_fds", 512, default.max_fds),
        }
    }

    /// Reads a number of `[cell]` that is at least `min` and rounds it down.
    fn number_in(&mut self, name: &str, min: u32, default: u64) -> u64 {
        const MAX: f64 = 1_048_576.0;
        match self.get::<f64>("cell", name) {
            Some(number) if (f64::from(min)..=MAX).contains(&number) => number as u64,
            Some(number) => {
                let line = self.find("cell", name).map_or(1, |field| field.line);
                let text = format!("{name} = {number}: expected {min} to {MAX}");
                self.problems.push(Problem::new(line, text));
                default
            }
            None => default,
        }
    }

    fn cpu_milli(&mut self) -> u64 {
        const WHOLE_CORE_MILLI: u64 = 1_000;
        self.thousandths("cpu_share").unwrap_or(WHOLE_CORE_MILLI)
    }

    fn link_kbps(&mut self) -> Option<u64> {
        self.thousandths("link_mbps")
    }

    /// Reads a number of `[cell]` above 0 and returns its thousandths.
    fn thousandths(&mut self, name: &str) -> Option<u64> {
        let number = self.get::<f64>("cell", name)?;
        if number > 0.0 && number.is_finite() {
            return Some((number * 1_000.0) as u64);
        }
        let line = self.find("cell", name).map_or(1, |field| field.line);
        let text = format!("{name} = {number}: expected a number above 0");
        self.problems.push(Problem::new(line, text));
        None
    }

    fn address(&mut self, section: &str, name: &str) -> Option<SocketAddr> {
        let field = self.find(section, name)?;
        let address: Option<SocketAddr> = field.value.parse().ok();
        let (what, help) = match address {
            None => (
                "expected IP:port",
                "for example 127.0.0.1:7100; names are not looked up",
            ),
            Some(address) if address.port() == 0 => {
                ("the port may not be 0", "other processes need a fixed port")
            }
            Some(address) if address.ip().is_unspecified() && name != "callers" => (
                "not reachable from other hosts",
                "use the host's own IP address",
            ),
            Some(_) => return address,
        };
        let text = format!("{name} = {}: {what}", field.value);
        self.problems
            .push(Problem::new(field.line, text).with_help(help));
        None
    }

    /// Reports a problem if callers and peers share an address.
    fn check_addresses(&mut self, callers: Option<SocketAddr>, peers: Option<SocketAddr>) {
        if let (Some(field), true) = (self.find("daemon", "peers"), callers == peers) {
            if peers.is_some() {
                let text = format!("peers = {}: the same address as callers", field.value);
                let help = "use different ports";
                self.problems
                    .push(Problem::new(field.line, text).with_help(help));
            }
        }
    }

    fn check_drain_grace(&mut self, drain_grace_ms: Option<Millis>) {
        let field = self.find("daemon", "drain_grace");
        if let (Some(field), true) = (field, drain_grace_ms > Some(MAX_DRAIN_GRACE_MS)) {
            let text = format!("drain_grace = {}: the maximum is 10min", field.value);
            self.problems.push(Problem::new(field.line, text));
        }
    }

    fn operator_digest(&mut self) -> Option<KeyDigest> {
        let field = self.find("daemon", "operator_sha256")?;
        let is_valid =
            field.value.len() == 64 && field.value.chars().all(|c| c.is_ascii_hexdigit());
        if !is_valid {
            let text = "operator_sha256: expected 64 hexadecimal digits";
            let help = "pomelotide key digest prints them for a secret";
            self.problems
                .push(Problem::new(field.line, text).with_help(help));
        }
        is_valid.then(|| KeyDigest::new(field.value.to_ascii_lowercase()))
    }
}
