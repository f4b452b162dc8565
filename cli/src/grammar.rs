//! Defines the command line for clap: commands, arguments and their help texts.

use clap::{value_parser, Arg, ArgAction, Command};
use clap_complete::Shell;
use pomelotide_core::{consts::MAX_JOB_TASKS, JobId, Millis, QueueName, RequestId};
use pomelotide_wire::parse_need;
use std::{fmt::Display, str::FromStr};

/// The program's name.
pub(crate) const PROGRAM_NAME: &str = "pomelotide";

/// The end of the program's own help text.
const AFTER_HELP: &str = "\
Exit codes: 0 done, 1 refused or failed, 2 wrong usage or file, 3 outcome unknown,
4 no daemon reached.
Without --daemon or --secret, POMELOTIDE_DAEMON and POMELOTIDE_SECRET are read from the environment.

Examples:
  pomelotide note check first.ini
  pomelotide --daemon 127.0.0.1:7101,127.0.0.1:7102 status
  pomelotide --secret KEY submit nightly --tasks 4 --need 'cpu 2, memory 1GiB' --run 30s
  pomelotide explain JOB";

/// Returns the definition of the whole command line.
pub fn command() -> Command {
    Command::new(PROGRAM_NAME)
        .about("Controls the pomelotide cluster scheduler")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_options())
        .subcommands([note_command(), ask_command(), submit_command()])
        .subcommands(job_commands())
        .subcommands(view_commands())
        .subcommands([key_command(), completions_command()])
        .after_help(AFTER_HELP)
}

fn global_options() -> [Arg; 3] {
    [
        option(
            "daemon",
            "The daemons' addresses (IP:port, separated by commas); the first one reachable is used",
        )
        .value_name("IP:PORT")
        .global(true),
        option("secret", "The secret of the key to authenticate with").global(true),
        option("output", "The format of results")
            .global(true)
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}

fn note_command() -> Command {
    let on_file = |name, about, example| {
        let file = Arg::new("file").value_name("FILE").required(true);
        Command::new(name)
            .about(about)
            .arg(file.help("The release note"))
            .after_help(example)
    };
    let check = on_file(
        "check",
        "Checks a note's text, without a daemon",
        "Example:\n  pomelotide note check first.ini",
    );
    let apply = on_file(
        "apply",
        "Applies a note and waits until it is in force",
        "Example:\n  pomelotide --secret OPERATOR note apply first.ini\n\n\
         Applying the same note again is safe: a note is accepted once by its id.",
    );
    let diff = on_file(
        "diff",
        "Shows what a note would change",
        "Example:\n  pomelotide note diff second.ini",
    );
    let show = Command::new("show")
        .about("Shows the configuration in force")
        .after_help("Example:\n  pomelotide note show > in-force.ini");
    let history = Command::new("history")
        .about("Shows the latest revisions with their notes' ids, newest first")
        .after_help("Example:\n  pomelotide note history --output json");
    Command::new("note")
        .about("Checks, applies and shows release notes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check, apply, diff, show, history])
}

fn ask_command() -> Command {
    Command::new("ask")
        .about("Sends a request and shows its answer")
        .args([queue(), payload()])
        .arg(request_id(
            "The request's id; a retry has to use the same one",
        ))
        .arg(
            option("deadline", "The longest time to wait, at most 5min")
                .value_parser(validated::<Millis>)
                .default_value("10s"),
        )
        .arg(
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("The request may safely run more than once"),
        )
        .after_help("Example:\n  pomelotide ask availability 'press 7?' --idempotent")
}

fn submit_command() -> Command {
    Command::new("submit")
        .about("Submits a job and shows its id")
        .args([queue(), payload()])
        .arg(
            option("tasks", "The number of tasks")
                .value_parser(value_parser!(u32).range(1..=i64::from(MAX_JOB_TASKS)))
                .default_value("1"),
        )
        .arg(
            option("need", "The resources that one task needs")
                .value_parser(validated_need)
                .default_value("cpu 1, memory 256MiB"),
        )
        .arg(
            option(
                "run",
                "The declared run time; without it, tasks run until the job is cancelled",
            )
            .value_parser(validated::<Millis>),
        )
        .arg(request_id(
            "The submission's id; a retry has to use the same one",
        ))
        .after_help(
            "Example:\n  pomelotide submit nightly --tasks 4 --need 'cpu 2, memory 1GiB' --run 30s",
        )
}

fn job_commands() -> [Command; 3] {
    let job = || {
        let job = Arg::new("job").value_name("JOB").required(true);
        job.value_parser(validated::<JobId>).help("The job's id")
    };
    let show = Command::new("job")
        .about("Shows a job's state")
        .arg(job())
        .after_help("Example:\n  pomelotide job saiss~bennani~night-1");
    let wait = Command::new("wait")
        .about("Waits until a job has ended")
        .arg(job())
        .arg(
            option("limit", "The longest time to wait")
                .value_parser(validated::<Millis>)
                .default_value("60s"),
        )
        .after_help(
            "Example:\n  pomelotide wait saiss~bennani~night-1 --limit 10min\n\n\
             Exits with 0 if the job succeeded or was cancelled, with 1 if it failed, and with 3 \
             if it is still active when the time is up.",
        );
    let cancel = Command::new("cancel")
        .about("Cancels a job")
        .arg(job())
        .after_help("Example:\n  pomelotide --secret KEY cancel saiss~bennani~night-1");
    [show, wait, cancel]
}

fn view_commands() -> [Command; 6] {
    let view = |name, about, example| Command::new(name).about(about).after_help(example);
    let explain = view(
        "explain",
        "Shows what happened to a request or job, and why",
        "Example:\n  pomelotide --daemon 127.0.0.1:7101,127.0.0.1:7102 explain loan-1\n\n\
         Queries every daemon that --daemon names and sorts their entries by time. A daemon holds \
         only its own latest 8192 decisions, in memory; its log has all of them.",
    );
    [
        view(
            "status",
            "Shows a daemon's status",
            "Example:\n  pomelotide status",
        ),
        view(
            "jobs",
            "Shows the failure domain's jobs that have not ended (complete on its leader only)",
            "Example:\n  pomelotide jobs --output json",
        ),
        view(
            "workers",
            "Shows the failure domain's workers (complete on its leader only)",
            "Example:\n  pomelotide workers",
        ),
        view(
            "teams",
            "Shows each team's share, limit and use in the failure domain (complete on its leader only)",
            "Example:\n  pomelotide teams",
        ),
        view(
            "daemons",
            "Shows the daemons that are known to a daemon",
            "Example:\n  pomelotide daemons\n\n\
             Only leaders exchange messages across failure domains, so the other daemons of another \
             domain show as not heard; query a leader.",
        ),
        explain.arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .value_parser(validated::<JobId>)
                .help("A request's or a job's id"),
        ),
    ]
}

fn key_command() -> Command {
    Command::new("key")
        .about("Prepares the secrets of keys for the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("digest")
                .about("Shows the digest of a secret, for secret_sha256 and operator_sha256")
                .arg(Arg::new("text").value_name("SECRET").required(true))
                .after_help("Example:\n  pomelotide key digest press"),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Shows a shell's completion script")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
        .after_help("Example:\n  pomelotide completions bash > /etc/bash_completion.d/pomelotide")
}

fn queue() -> Arg {
    let queue = Arg::new("queue").value_name("QUEUE").required(true);
    queue.value_parser(validated::<QueueName>).help("The queue")
}

fn payload() -> Arg {
    let payload = Arg::new("payload").value_name("PAYLOAD").default_value("");
    payload.help("The payload for the backend server")
}

fn request_id(help: &'static str) -> Arg {
    option("id", help).value_parser(validated::<RequestId>)
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

/// Returns the text unchanged if it parses as a `T`, or the parse error as text.
fn validated<T: FromStr<Err: Display>>(text: &str) -> Result<String, String> {
    text.parse::<T>()
        .map(|_| text.to_string())
        .map_err(|error| error.to_string())
}

fn validated_need(text: &str) -> Result<String, String> {
    parse_need(text)
        .map(|_| text.to_string())
        .map_err(|error| error.to_string())
}
