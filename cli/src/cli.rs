//! What the command line asks for.

use crate::grammar::{command, NAME};
use clap::{error::ErrorKind, ArgMatches};
use clap_complete::{generate, Shell};
use std::{env, io, net::SocketAddr};

/// The variable that names the daemon where no argument does.
const DAEMON_VARIABLE: &str = "POMELOTIDE_DAEMON";
/// The variable that holds the key's secret where no argument does.
const SECRET_VARIABLE: &str = "POMELOTIDE_SECRET";
/// The daemon's address where neither an argument nor a variable names it.
const DEFAULT_DAEMON: &str = "127.0.0.1:7100";

/// How results are shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputForm {
    /// For people.
    Text,
    /// For programs: one JSON value.
    Json,
}

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The daemons' addresses.
    pub daemons: Vec<SocketAddr>,
    /// The secret of the key to show.
    pub secret: Option<String>,
    /// How results are shown.
    pub output: OutputForm,
    /// The command.
    pub action: Action,
}

/// A command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Checks a release note without a daemon.
    NoteCheck(String),
    /// Applies a release note.
    NoteApply(String),
    /// Shows what a release note would change.
    NoteDiff(String),
    /// Shows the configuration in force.
    NoteShow,
    /// Sends a request and shows its answer.
    Ask {
        /// The queue.
        queue: String,
        /// The payload.
        payload: String,
        /// The request's id.
        id: Option<String>,
        /// Whether running it twice does no harm.
        idempotent: bool,
        /// How long to wait.
        deadline: String,
    },
    /// Submits a job.
    Submit {
        /// The queue.
        queue: String,
        /// The number of tasks.
        tasks: u32,
        /// The need of one task.
        need: String,
        /// The declared run time.
        run: Option<String>,
        /// What each task is given.
        payload: String,
        /// The submission's id.
        id: Option<String>,
    },
    /// Shows a job's state.
    Job(String),
    /// Waits until a job is over.
    Wait {
        /// The job.
        job: String,
        /// How long to wait.
        limit: String,
    },
    /// Cancels a job.
    Cancel(String),
    /// Shows the latest release notes.
    NoteHistory,
    /// Shows a daemon's summary of itself.
    Status,
    /// Shows a failure domain's jobs.
    Jobs,
    /// Shows a failure domain's workers.
    Workers,
    /// Shows the teams.
    Teams,
    /// Shows the daemons.
    Daemons,
    /// Shows what happened to a request or job.
    Explain(String),
    /// Shows the digest of a secret.
    KeyDigest(String),
}

/// Reads the command line; ends the process with a message where it is wrong.
pub fn parse() -> Options {
    let matches = command().get_matches();
    if let Some(("completions", args)) = matches.subcommand() {
        if let Some(shell) = args.get_one::<Shell>("shell") {
            generate(*shell, &mut command(), NAME, &mut io::stdout());
        }
        std::process::exit(0);
    }
    let json = text(&matches, "output").as_deref() == Some("json");
    Options {
        daemons: daemons(&matches),
        secret: secret(&matches),
        output: if json {
            OutputForm::Json
        } else {
            OutputForm::Text
        },
        action: action(&matches),
    }
}

fn daemons(matches: &ArgMatches) -> Vec<SocketAddr> {
    let given = text(matches, "daemon").or_else(|| env::var(DAEMON_VARIABLE).ok());
    let given = given.unwrap_or_else(|| DEFAULT_DAEMON.into());
    let parts = given.split(',').map(str::trim);
    let read: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    read.unwrap_or_else(|_| {
        wrong(format!(
            "--daemon or {DAEMON_VARIABLE}: {given:?} is not IP:port, or several of them \
             separated by commas (for example {DEFAULT_DAEMON})"
        ))
    })
}

fn secret(matches: &ArgMatches) -> Option<String> {
    let secret = text(matches, "secret").or_else(|| env::var(SECRET_VARIABLE).ok())?;
    let plain = !secret.is_empty() && secret.chars().all(|c| c.is_ascii_graphic());
    if !plain {
        wrong(format!(
            "--secret or {SECRET_VARIABLE}: expected letters, digits and signs without spaces"
        ));
    }
    Some(secret)
}

/// Ends the process with a message and the exit code of wrong usage.
fn wrong(message: String) -> ! {
    command().error(ErrorKind::ValueValidation, message).exit()
}

fn action(matches: &ArgMatches) -> Action {
    let Some((name, args)) = matches.subcommand() else {
        unreachable!("clap demands a subcommand");
    };
    match name {
        "note" => note_action(args),
        "ask" => Action::Ask {
            queue: required(args, "queue"),
            payload: required(args, "payload"),
            id: text(args, "id"),
            idempotent: args.get_flag("idempotent"),
            deadline: required(args, "deadline"),
        },
        "submit" => Action::Submit {
            queue: required(args, "queue"),
            tasks: args.get_one("tasks").copied().unwrap_or(1),
            need: required(args, "need"),
            run: text(args, "run"),
            payload: required(args, "payload"),
            id: text(args, "id"),
        },
        "job" => Action::Job(required(args, "job")),
        "wait" => Action::Wait {
            job: required(args, "job"),
            limit: required(args, "limit"),
        },
        "cancel" => Action::Cancel(required(args, "job")),
        "key" => match args.subcommand() {
            Some((_, args)) => Action::KeyDigest(required(args, "text")),
            None => unreachable!("clap demands a subcommand"),
        },
        "jobs" => Action::Jobs,
        "workers" => Action::Workers,
        "teams" => Action::Teams,
        "daemons" => Action::Daemons,
        "explain" => Action::Explain(required(args, "id")),
        _ => Action::Status,
    }
}

fn note_action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("check", args)) => Action::NoteCheck(required(args, "file")),
        Some(("apply", args)) => Action::NoteApply(required(args, "file")),
        Some(("diff", args)) => Action::NoteDiff(required(args, "file")),
        Some(("history", _)) => Action::NoteHistory,
        _ => Action::NoteShow,
    }
}

fn text(args: &ArgMatches, name: &str) -> Option<String> {
    args.get_one::<String>(name).cloned()
}

fn required(args: &ArgMatches, name: &str) -> String {
    text(args, name).unwrap_or_default()
}
