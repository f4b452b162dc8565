//! The `pomelotide` command.

use pomelotide_cli::{cli, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    run(&cli::parse()).into()
}
