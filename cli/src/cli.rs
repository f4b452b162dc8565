//! The command line.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use clap_complete::{generate, Shell};
use std::{env, io};

/// The name of the program.
const NAME: &str = "pomelotide";
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
    /// The daemon's address, as `IP:port`.
    pub daemon: String,
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
    /// Shows a daemon's summary of itself.
    Status,
    /// Shows the digest of a secret.
    KeyDigest(String),
}

fn note_command() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .help("The release note")
    };
    Command::new("note")
        .about("Checks and applies release notes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a note's text")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a note and waits until it is in force")
                .arg(file()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what a note would change")
                .arg(file()),
        )
        .subcommand(Command::new("show").about("Shows the configuration in force"))
}

fn ask_command() -> Command {
    Command::new("ask")
        .about("Sends a request and shows its answer")
        .arg(Arg::new("queue").required(true))
        .arg(Arg::new("payload").default_value(""))
        .arg(option("id", "The request's id; a retry shows it again"))
        .arg(option("deadline", "How long to wait").default_value("10s"))
        .arg(
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("Running it twice does no harm"),
        )
        .after_help("Example:\n  pomelotide ask availability 'press 7?' --idempotent")
}

fn submit_command() -> Command {
    Command::new("submit")
        .about("Submits a job and shows its id")
        .arg(Arg::new("queue").required(true))
        .arg(Arg::new("payload").default_value(""))
        .arg(
            option("tasks", "The number of tasks")
                .value_parser(value_parser!(u32))
                .default_value("1"),
        )
        .arg(option("need", "The need of one task").default_value("cpu 1, memory 256MiB"))
        .arg(option(
            "run",
            "The declared run time; without it, until cancelled",
        ))
        .arg(option("id", "The submission's id; a retry shows it again"))
        .after_help(
            "Example:\n  pomelotide submit nightly --tasks 4 --need 'cpu 2, memory 1GiB' --run 30s",
        )
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

/// Returns the whole command line.
pub fn command() -> Command {
    let job = || Arg::new("job").required(true).help("The job's id");
    let key = Command::new("key")
        .about("Works with keys' secrets")
        .subcommand_required(true)
        .subcommand(
            Command::new("digest")
                .about("Shows the digest of a secret")
                .arg(Arg::new("secret").required(true)),
        );
    let completions = Command::new("completions")
        .about("Shows a shell's completion script")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        );
    Command::new(NAME)
        .about("Drives the pomelotide cluster scheduler")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(option("daemon", "The daemon's address, as IP:port").global(true))
        .arg(option("secret", "The secret of the key to show").global(true))
        .arg(
            option("output", "How results are shown")
                .global(true)
                .value_parser(["text", "json"])
                .default_value("text"),
        )
        .subcommands([note_command(), ask_command(), submit_command()])
        .subcommand(Command::new("job").about("Shows a job's state").arg(job()))
        .subcommand(
            Command::new("wait")
                .about("Waits until a job is over")
                .arg(job())
                .arg(option("limit", "How long to wait").default_value("60s")),
        )
        .subcommand(Command::new("cancel").about("Cancels a job").arg(job()))
        .subcommand(Command::new("status").about("Shows a daemon's summary of itself"))
        .subcommands([key, completions])
        .after_help(
            "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown, \
             4 daemon not reached.\nThe variables POMELOTIDE_DAEMON and POMELOTIDE_SECRET stand \
             in for --daemon and --secret.",
        )
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
    let daemon = text(&matches, "daemon").or_else(|| env::var(DAEMON_VARIABLE).ok());
    let json = text(&matches, "output").as_deref() == Some("json");
    Options {
        daemon: daemon.unwrap_or_else(|| DEFAULT_DAEMON.into()),
        secret: text(&matches, "secret").or_else(|| env::var(SECRET_VARIABLE).ok()),
        output: if json {
            OutputForm::Json
        } else {
            OutputForm::Text
        },
        action: action(&matches),
    }
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
            Some((_, args)) => Action::KeyDigest(required(args, "secret")),
            None => unreachable!("clap demands a subcommand"),
        },
        _ => Action::Status,
    }
}

fn note_action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("check", args)) => Action::NoteCheck(required(args, "file")),
        Some(("apply", args)) => Action::NoteApply(required(args, "file")),
        Some(("diff", args)) => Action::NoteDiff(required(args, "file")),
        _ => Action::NoteShow,
    }
}

fn text(args: &ArgMatches, name: &str) -> Option<String> {
    args.get_one::<String>(name).cloned()
}

fn required(args: &ArgMatches, name: &str) -> String {
    text(args, name).unwrap_or_default()
}
