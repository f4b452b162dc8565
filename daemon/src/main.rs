//! The pomelotide entry host daemon.

use env_logger::fmt::Formatter;
use log::Record;
use miette::Report;
use pomelotide_daemon::{cli, read_settings, run, run_cell, Settings};
use pomelotide_wire::FileReport;
use std::{fs, io::Write, process::ExitCode};

/// The exit code of a daemon that failed.
const EXIT_FAILED: u8 = 1;
/// The exit code for an invalid settings file; clap uses the same code for invalid arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = cli::parse();
    let settings = match load_settings(&options.config) {
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
    init_logging(settings.name.clone());
    let result = match &settings.cell {
        Some(section) => run_cell(&settings, section),
        None => run(settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error={:?}", error.to_string());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Initializes logging: one line of key=value pairs per event on standard error.
fn init_logging(daemon: String) {
    let env = env_logger::Env::default().default_filter_or("info");
    let format = move |out: &mut Formatter, record: &Record<'_>| {
        let (at, level) = (out.timestamp_millis(), record.level().as_str());
        let level = level.to_lowercase();
        writeln!(
            out,
            "at={at} level={level} daemon={daemon} {}",
            record.args()
        )
    };
    env_logger::Builder::from_env(env).format(format).init();
}

fn load_settings(file: &str) -> Result<Settings, Report> {
    let text = fs::read_to_string(file)
        .map_err(|error| Report::msg(format!("can't read {file}: {error}")))?;
    read_settings(file, &text).map_err(|problems| Report::new(FileReport::new(problems, &text)))
}
