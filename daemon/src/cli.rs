//! The daemon's command line.

use clap::{Arg, ArgAction, Command};

/// The options of the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The path of the settings file.
    pub config: String,
    /// Whether to check the settings file and exit.
    pub check: bool,
}

fn command() -> Command {
    Command::new("pomelotided")
        .about("Runs one entry host of the pomelotide cluster scheduler")
        .version(clap::crate_version!())
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .help("The settings file, in INI format"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
        .after_help("Example:\n  pomelotided --config /etc/pomelotide/saiss-1.ini --check")
}

/// Parses the command line; exits the process with a message if it is invalid.
pub fn parse() -> Options {
    let matches = command().get_matches();
    Options {
        config: matches
            .get_one::<String>("config")
            .cloned()
            .unwrap_or_default(),
        check: matches.get_flag("check"),
    }
}
