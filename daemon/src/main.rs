//! The pomelotide entry host daemon.

use miette::Report;
use pomelotide_daemon::{cli, read_settings, run, Settings};
use pomelotide_wire::FileReport;
use std::{fs, process::ExitCode};

/// The exit code where the daemon could not go on.
const EXIT_FAILED: u8 = 1;
/// The exit code of a wrong settings file. The command-line library uses the same for arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = cli::parse();
    let settings = match settings(&options.config) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        println!("{}: ok", options.config);
        return ExitCode::SUCCESS;
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).init();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error={:?}", error.to_string());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn settings(file: &str) -> Result<Settings, Report> {
    let text = fs::read_to_string(file)
        .map_err(|error| Report::msg(format!("can't read {file}: {error}")))?;
    read_settings(file, &text).map_err(|problems| Report::new(FileReport::new(problems, &text)))
}
