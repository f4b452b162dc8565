//! Parses the command line and the environment variables into options.

use crate::grammar::{command, PROGRAM_NAME};
use clap::{error::ErrorKind, ArgMatches};
use clap_complete::{generate, Shell};
use std::{env, io, net::SocketAddr};

/// The environment variable that replaces a missing `--daemon`.
const DAEMON_VARIABLE: &str = "POMELOTIDE_DAEMON";
/// The environment variable that replaces a missing `--secret`.
const SECRET_VARIABLE: &str = "POMELOTIDE_SECRET";
/// The daemon's address if neither `--daemon` nor its variable is set.
const DEFAULT_DAEMON_ADDRESS: &str = "127.0.0.1:7100";

/// The format of results on standard output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// One JSON value, for programs.
    Json,
}

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The daemons' addresses, in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// The secret of the client account's or operator's key, sent as a bearer token.
    pub secret: Option<String>,
    /// The format of results.
    pub output: OutputFormat,
    /// The command to run.
    pub action: Action,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Checks a release note without a daemon.
    NoteCheck(String),
    /// Applies a release note.
    NoteApply(String),
    /// Shows what a release note would change.
    NoteDiff(String),
    /// Shows the configuration that is in force.
    NoteShow,
    /// Sends a request and shows its answer.
    Ask {
        /// The queue.
        queue: String,
        /// The payload.
        payload: String,
        /// The request's id; one is generated if there is none.
        id: Option<String>,
        /// Whether the request may safely run more than once.
        idempotent: bool,
        /// The longest time to wait for the answer, such as `10s`.
        deadline: String,
    },
    /// Submits a job.
    Submit {
        /// The queue.
        queue: String,
        /// The number of tasks.
        tasks: u32,
        /// The resources that one task needs, such as `cpu 1, memory 256MiB`.
        need: String,
        /// The declared run time; without it, tasks run until the job is cancelled.
        run: Option<String>,
        /// The payload that each task receives.
        payload: String,
        /// The submission's id; one is generated if there is none.
        id: Option<String>,
    },
    /// Shows a job's state.
    Job(String),
    /// Waits until a job has ended.
    Wait {
        /// The job's id.
        job: String,
        /// The longest time to wait, such as `60s`.
        limit: String,
    },
    /// Cancels a job.
    Cancel(String),
    /// Shows the latest revisions of the configuration with their release notes' ids.
    NoteHistory,
    /// Shows a daemon's status.
    Status,
    /// Shows a failure domain's jobs.
    Jobs,
    /// Shows a failure domain's workers.
    Workers,
    /// Shows the teams with their shares and limits.
    Teams,
    /// Shows the daemons that are known to a daemon.
    Daemons,
    /// Shows the decisions about a request or job.
    Explain(String),
    /// Shows the digest of a secret.
    KeyDigest(String),
}

/// Parses the command line.
///
/// Exits the process with a message if it is invalid, or after printing a completion script.
pub fn parse() -> Options {
    let matches = command().get_matches();
    if let Some(("completions", args)) = matches.subcommand() {
        if let Some(shell) = args.get_one::<Shell>("shell") {
            generate(*shell, &mut command(), PROGRAM_NAME, &mut io::stdout());
        }
        std::process::exit(0);
    }
    let json = optional_arg(&matches, "output").as_deref() == Some("json");
    Options {
        daemons: daemons(&matches),
        secret: secret(&matches),
        output: if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        },
        action: action(&matches),
    }
}

fn daemons(matches: &ArgMatches) -> Vec<SocketAddr> {
    let addresses = optional_arg(matches, "daemon").or_else(|| env::var(DAEMON_VARIABLE).ok());
    let addresses = addresses.unwrap_or_else(|| DEFAULT_DAEMON_ADDRESS.into());
    let parts = addresses.split(',').map(str::trim);
    let parsed: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    parsed.unwrap_or_else(|_| {
        exit_with_usage_error(format!(
            "--daemon or {DAEMON_VARIABLE}: {addresses:?} is not IP:port, or several of them \
             separated by commas (for example {DEFAULT_DAEMON_ADDRESS})"
        ))
    })
}

fn secret(matches: &ArgMatches) -> Option<String> {
    let secret = optional_arg(matches, "secret").or_else(|| env::var(SECRET_VARIABLE).ok())?;
    let is_printable = !secret.is_empty() && secret.chars().all(|c| c.is_ascii_graphic());
    if !is_printable {
        exit_with_usage_error(format!(
            "--secret or {SECRET_VARIABLE}: expected letters, digits and signs without spaces"
        ));
    }
    Some(secret)
}

/// Prints a usage error and ends the process with exit code 2.
fn exit_with_usage_error(message: String) -> ! {
    command().error(ErrorKind::ValueValidation, message).exit()
}

fn action(matches: &ArgMatches) -> Action {
    let Some((name, args)) = matches.subcommand() else {
        unreachable!("clap requires a subcommand");
    };
    match name {
        "note" => note_action(args),
        "ask" => Action::Ask {
            queue: required_arg(args, "queue"),
            payload: required_arg(args, "payload"),
            id: optional_arg(args, "id"),
            idempotent: args.get_flag("idempotent"),
            deadline: required_arg(args, "deadline"),
        },
        "submit" => Action::Submit {
            queue: required_arg(args, "queue"),
            tasks: args.get_one("tasks").copied().unwrap_or(1),
            need: required_arg(args, "need"),
            run: optional_arg(args, "run"),
            payload: required_arg(args, "payload"),
            id: optional_arg(args, "id"),
        },
        "job" => Action::Job(required_arg(args, "job")),
        "wait" => Action::Wait {
            job: required_arg(args, "job"),
            limit: required_arg(args, "limit"),
        },
        "cancel" => Action::Cancel(required_arg(args, "job")),
        "key" => match args.subcommand() {
            Some((_, args)) => Action::KeyDigest(required_arg(args, "text")),
            None => unreachable!("clap requires a subcommand"),
        },
        "jobs" => Action::Jobs,
        "workers" => Action::Workers,
        "teams" => Action::Teams,
        "daemons" => Action::Daemons,
        "explain" => Action::Explain(required_arg(args, "id")),
        _ => Action::Status,
    }
}

fn note_action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("check", args)) => Action::NoteCheck(required_arg(args, "file")),
        Some(("apply", args)) => Action::NoteApply(required_arg(args, "file")),
        Some(("diff", args)) => Action::NoteDiff(required_arg(args, "file")),
        Some(("history", _)) => Action::NoteHistory,
        _ => Action::NoteShow,
    }
}

fn optional_arg(args: &ArgMatches, name: &str) -> Option<String> {
    args.get_one::<String>(name).cloned()
}

/// Returns an argument that clap requires or fills with a default.
fn required_arg(args: &ArgMatches, name: &str) -> String {
    optional_arg(args, name).unwrap_or_default()
}
