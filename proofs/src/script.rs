//! Reading scenario scripts: one statement a line, `#` at the beginning of a line for comments.

use crate::statement::{Expected, Place, Statement, Work};
use pomelotide_core::{Millis, Resources};
use pomelotide_wire::parse_resources;
use std::{fmt, str::FromStr};

/// What a worker has where a script does not say.
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 32_768,
    accelerators: 0,
    slots: 8,
};
/// How long an expectation waits where a script does not say.
const WITHIN_MS: Millis = Millis(10_000);

/// A scenario.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Script {
    /// The seed of delays and losses.
    pub seed: u64,
    /// The statements with their lines.
    pub statements: Vec<(usize, Statement)>,
}

/// Says which line of a script is wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptError {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

impl std::error::Error for ScriptError {}

impl FromStr for Script {
    type Err = ScriptError;

    fn from_str(text: &str) -> Result<Self, ScriptError> {
        let mut script = Script {
            seed: 1,
            ..Script::default()
        };
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let number = i + 1;
            if let Some(seed) = line.strip_prefix("seed ") {
                let wrong = |_| ScriptError {
                    line: number,
                    text: "a seed is a number".into(),
                };
                script.seed = seed.parse().map_err(wrong)?;
                continue;
            }
            let mut words = Words::of(line);
            let statement = words.statement().filter(|_| words.is_empty());
            let wrong = || ScriptError {
                line: number,
                text: format!("not a statement: {line}"),
            };
            script
                .statements
                .push((number, statement.ok_or_else(wrong)?));
        }
        Ok(script)
    }
}

/// The words of a line that are still to be read; text in quotes is one word.
struct Words<'a> {
    left: std::collections::VecDeque<&'a str>,
}

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Self {
        let parts = line.split('"').enumerate();
        let words = parts.flat_map(|(i, part)| match i % 2 {
            0 => part.split_whitespace().collect::<Vec<_>>(),
            _ => vec![part],
        });
        Self {
            left: words.collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    fn word(&mut self) -> Option<&'a str> {
        self.left.pop_front()
    }

    fn text(&mut self) -> Option<String> {
        self.word().map(String::from)
    }

    fn parse<T: FromStr>(&mut self) -> Option<T> {
        self.word()?.parse().ok()
    }

    fn place(&mut self) -> Option<Place> {
        self.text().map(Place)
    }

    fn places(&mut self) -> Option<(Place, Place)> {
        Some((self.place()?, self.place()?))
    }

    /// Takes a word if it is the next one.
    fn take(&mut self, word: &str) -> bool {
        let found = self.left.front() == Some(&word);
        if found {
            self.left.pop_front();
        }
        found
    }

    fn statement(&mut self) -> Option<Statement> {
        match self.word()? {
            "domain" => self.domain(),
            "trace" => Some(Statement::Trace),
            "wait" => Some(Statement::Wait(self.parse()?)),
            "start" => Some(Statement::Start(self.text()?)),
            "kill" => Some(Statement::Kill(self.text()?)),
            "pause" => Some(Statement::Pause(self.text()?)),
            "resume" => Some(Statement::Resume(self.text()?)),
            "drain" => Some(Statement::Drain(self.text()?)),
            "drift" => Some(Statement::Drift(self.text()?, self.parse()?)),
            "cut" => self.places().map(|(a, b)| Statement::Cut(a, b)),
            "heal" if self.take("all") => Some(Statement::HealAll),
            "heal" => self.places().map(|(a, b)| Statement::Heal(a, b)),
            "delay" => Some(Statement::Delay(
                self.place()?,
                self.place()?,
                self.parse()?,
            )),
            "loss" => Some(Statement::Loss(self.place()?, self.place()?, self.parse()?)),
            "silence" => Some(Statement::Silence(self.text()?, self.text()?)),
            "table" => self.table(),
            "hosts" if self.take("stale") => Some(Statement::HostsStale(true)),
            "hosts" => self.take("fresh").then_some(Statement::HostsStale(false)),
            "leave" => Some(Statement::Leave(self.text()?)),
            "crash" => Some(Statement::Crash(self.text()?)),
            "remove" => Some(Statement::Remove(self.text()?)),
            "fails" => Some(Statement::Fails(self.text()?)),
            "ignore-claims" => Some(Statement::IgnoreClaims(self.text()?)),
            "note" => Some(Statement::Note(self.text()?, self.after("at")?)),
            "ask" => self.work(0).map(Statement::Send),
            "submit" => self.work(1).map(Statement::Send),
            "times" => {
                let (count, every) = (self.parse()?, self.after("every")?.parse().ok()?);
                let tasks = if self.take("submit") {
                    1
                } else {
                    u32::from(!self.take("ask"))
                };
                Some(Statement::Times(count, every, self.work(tasks)?))
            }
            "cancel" => Some(Statement::Cancel(
                self.text()?,
                self.after("key")?,
                self.after("at")?,
            )),
            "expect" => self.expect(),
            _ => None,
        }
    }

    fn after(&mut self, word: &str) -> Option<String> {
        self.take(word).then(|| self.text()).flatten()
    }

    fn domain(&mut self) -> Option<Statement> {
        let name = self.text()?;
        let daemons = self.after("daemons")?.parse().ok()?;
        let workers = self.after("workers")?.parse().ok()?;
        let capacity = match self.after("capacity") {
            Some(text) => parse_resources(&text).ok()?,
            None => CAPACITY,
        };
        Some(Statement::Domain {
            name,
            daemons,
            workers,
            capacity,
        })
    }

    fn table(&mut self) -> Option<Statement> {
        match self.word()? {
            "down" => Some(Statement::TableDown(true)),
            "up" => Some(Statement::TableDown(false)),
            "slow" => Some(Statement::TableSlow(self.parse()?)),
            "lose" => Some(Statement::TableLose(self.parse()?)),
            _ => None,
        }
    }

    fn work(&mut self, tasks: u32) -> Option<Work> {
        let mut work = Work {
            id: self.text()?,
            queue: String::new(),
            key: None,
            at: String::new(),
            idempotent: false,
            deadline_ms: WITHIN_MS,
            run_ms: Millis(5),
            declared_ms: None,
            tasks,
            need: Resources {
                cpu_milli: 1_000,
                ..Resources::default()
            },
            fails: false,
        };
        while let Some(word) = self.word() {
            match word {
                "queue" => work.queue = self.text()?,
                "key" => work.key = Some(self.text()?),
                "at" => work.at = self.text()?,
                "idempotent" => work.idempotent = true,
                "fails" => work.fails = true,
                "deadline" => work.deadline_ms = self.parse()?,
                "run" => work.run_ms = self.parse()?,
                "declared" => work.declared_ms = Some(self.parse()?),
                "tasks" => work.tasks = self.parse()?,
                "need" => work.need = parse_resources(self.word()?).ok()?,
                _ => return None,
            }
        }
        let whole = !work.queue.is_empty() && !work.at.is_empty();
        whole.then_some(work)
    }

    fn expect(&mut self) -> Option<Statement> {
        let what = self.text()?;
        match what.as_str() {
            "quiet" => return Some(Statement::ExpectQuiet(self.within())),
            "race" => {
                return Some(Statement::ExpectRace(
                    self.text()?,
                    self.text()?,
                    self.within(),
                ))
            }
            "starts" => return Some(Statement::ExpectStarts(self.text()?, self.parse()?)),
            "keeper" => return Some(Statement::ExpectKeeper(self.text()?, self.within())),
            "at-least" => {
                let count = self.parse()?;
                return Some(Statement::ExpectDone(self.after("done")?, count));
            }
            _ => {}
        }
        let expected = match self.word()? {
            "done" => Expected::Done,
            "not_run" => {
                let reason = self
                    .left
                    .front()
                    .filter(|word| **word != "within")
                    .is_some();
                Expected::NotRun(if reason { self.text() } else { None })
            }
            "unknown" => Expected::Unknown,
            "answered" => Expected::Answered,
            "accepted" => Expected::Accepted,
            "in_force" => Expected::InForce,
            "rejected" => Expected::Rejected,
            state @ ("succeeded" | "failed" | "cancelled") => Expected::State(state.into()),
            _ => return None,
        };
        Some(Statement::Expect(what, expected, self.within()))
    }

    fn within(&mut self) -> Millis {
        self.after("within")
            .and_then(|text| text.parse().ok())
            .unwrap_or(WITHIN_MS)
    }
}
