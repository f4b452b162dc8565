//! The daemon's command line.

use clap::{Arg, ArgAction, Command};

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The settings file.
    pub config: String,
    /// Whether only to check the settings.
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
                .help("The settings file, in INI form"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and end"),
        )
        .after_help("Example:\n  pomelotided --config /etc/pomelotide/saiss-1.ini --check")
}

/// Reads the command line; ends the process with a message where it is wrong.
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
