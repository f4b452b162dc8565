//! Stand-ins for the platform and its workers; for development only.

use pomelotide_standins::{cli, serve_platform, serve_workers};
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
    match run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error={:?}", error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn run(role: cli::Role) -> io::Result<()> {
    match role {
        cli::Role::Platform(address) => serve_platform(address)?.join(),
        cli::Role::Workers(options) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()?;
            runtime.block_on(serve_workers(options))
        }
    }
}
