//! The pomelotide entry host daemon.

use miette::{IntoDiagnostic, Result, WrapErr};
use pomelotide_daemon::{cli, read_settings, run};
use std::fs;

fn main() -> Result<()> {
    let options = cli::parse();
    let text = fs::read_to_string(&options.config)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read {}", options.config))?;
    let settings = read_settings(&options.config, &text)?;
    if options.check {
        println!("{}: ok", options.config);
        return Ok(());
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).init();
    run(settings).into_diagnostic()
}
