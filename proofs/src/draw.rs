//! Drawing random scenarios.

use crate::script::{Script, ScriptError};
use arbtest::arbitrary::{Result, Unstructured};

/// The scenario that every drawn one begins with.
const BEGIN: &str = "\
domain saiss daemons 2 workers 3
domain ifrane daemons 2 workers 3
note first.ini at saiss-1
expect first.ini in_force within 20s
wait 6s
";
/// How every drawn scenario ends: all faults heal, and then everything must end.
const END: &str = "\
heal all
expect quiet within 240s
";
/// The daemons of a drawn scenario.
const DAEMONS: [&str; 4] = ["saiss-1", "saiss-2", "ifrane-1", "ifrane-2"];
/// The workers of a drawn scenario.
const WORKERS: [&str; 6] = [
    "saiss-w0",
    "saiss-w1",
    "saiss-w2",
    "ifrane-w0",
    "ifrane-w1",
    "ifrane-w2",
];
/// The places between which a path can fail.
const PLACES: [&str; 7] = [
    "saiss", "ifrane", "platform", "saiss-1", "saiss-2", "ifrane-1", "ifrane-2",
];

/// The kinds of faults with the statements that bring them; `@` stands for a daemon, `%` for a
/// worker, `&` for a place.
const FAULTS: [(&str, &str); 14] = [
    ("kill", "kill @\nwait 3s\nstart @"),
    ("pause", "pause @\nwait 8s\nresume @"),
    ("short pause", "pause @\nwait 1700ms\nresume @"),
    ("cut", "cut & &\nwait 9s"),
    ("delay", "delay & & 400ms\nwait 5s"),
    ("loss", "loss & & 30\nwait 5s"),
    ("silent connection", "silence @ %\nwait 2s"),
    ("table down", "table down\nwait 9s\ntable up"),
    ("table slow", "table slow 1500ms\nwait 9s"),
    ("answers lost", "table lose 3\nwait 2s"),
    ("worker crash", "crash %\nwait 1s"),
    (
        "worker removed",
        "hosts stale\nremove %\nwait 4s\nhosts fresh",
    ),
    ("worker fails all", "fails %\nwait 1s"),
    ("planned stop", "drain @\nwait 6s\nstart @"),
];

/// The fault that comes once at most: a second worker that goes for good would leave too little for
/// a gang that was accepted.
const ONCE: &str = "worker removed";

/// The kinds of work with the statements that send them; `#` stands for a number.
const WORK: [&str; 7] = [
    "ask open# queue availability idempotent run 30ms at @",
    "ask loan# queue loans key agents run 40ms deadline 8s at @",
    "ask loan# queue loans key agents run 900ms deadline 8s at @",
    "submit batch# queue nightly key agents tasks 3 run 2s at @",
    "submit long# queue nightly key agents tasks 2 run 70s at @",
    "submit gang# queue approvals key agents tasks 4 need \"cpu 4\" run 3s at @",
    "submit other# queue nightly key signs tasks 2 declared 1s run 5s at @",
];

/// A drawn scenario.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drawn {
    /// Its text.
    pub text: String,
    /// The kinds of its faults.
    pub faults: Vec<&'static str>,
}

/// Draws a scenario with up to two faults at once.
pub fn draw_script(u: &mut Unstructured<'_>) -> Result<Drawn> {
    let mut text = format!("seed {}\n{BEGIN}", u.int_in_range(0..=1_000_000)?);
    let mut faults = Vec::new();
    let rounds = u.int_in_range(1..=2)?;
    for round in 0..rounds {
        add_work(u, &mut text, round * 100)?;
        let (kind, lines) = match *u.choose(&FAULTS)? {
            (kind, _) if kind == ONCE && faults.contains(&kind) => FAULTS[0],
            fault => fault,
        };
        faults.push(kind);
        let lines = fill(u, lines)?;
        // Half of the time work comes in the middle of the fault.
        match lines.split_once('\n') {
            Some((first, rest)) if u.arbitrary()? => {
                text += &format!("{first}\n");
                add_work(u, &mut text, round * 100 + 50)?;
                text += &format!("{rest}\n");
            }
            _ => text += &format!("{lines}\n"),
        }
    }
    text += END;
    Ok(Drawn { text, faults })
}

fn add_work(u: &mut Unstructured<'_>, text: &mut String, first: u32) -> Result<()> {
    for number in 0..u.int_in_range(1..=5)? {
        let line = u.choose(&WORK)?.replace('#', &(first + number).to_string());
        *text += &format!("{}\nwait {}ms\n", fill(u, &line)?, u.int_in_range(0..=300)?);
    }
    Ok(())
}

/// Fills in the places of a statement; one fault keeps its daemon and its worker.
fn fill(u: &mut Unstructured<'_>, lines: &str) -> Result<String> {
    let daemon = *u.choose(&DAEMONS)?;
    let worker = *u.choose(&WORKERS)?;
    let mut filled = lines.replace('@', daemon).replace('%', worker);
    while filled.contains('&') {
        filled = filled.replacen('&', u.choose(&PLACES)?, 1);
    }
    Ok(filled)
}

impl Drawn {
    /// Reads the drawn text.
    pub fn script(&self) -> std::result::Result<Script, ScriptError> {
        self.text.parse()
    }
}
