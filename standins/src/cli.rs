//! Command line of the `pomelotide-standins` binary.

use crate::WorkersOptions;
use clap::{value_parser, Arg, ArgMatches, Command};
use pomelotide_core::{DomainName, Resources};
use pomelotide_wire::parse_resources;
use std::net::SocketAddr;

/// The service that the process stands in for.
#[derive(Clone, Debug)]
pub enum Role {
    /// The platform, listening on the given address.
    Platform(SocketAddr),
    /// The workers of a failure domain.
    Workers(WorkersOptions),
}

fn command() -> Command {
    let platform = Command::new("platform")
        .about("Stands in for the platform")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("The address to listen on, as IP:port")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7000"),
        );
    let workers = Command::new("workers")
        .about("Stands in for the workers of one failure domain")
        .arg(
            Arg::new("domain")
                .long("domain")
                .required(true)
                .value_parser(value_parser!(DomainName)),
        )
        .arg(number("count", "8", "The number of workers"))
        .arg(number("per-rack", "8", "The number of workers per rack"))
        .arg(number(
            "failing",
            "0",
            "The number of workers on which every task fails",
        ))
        .arg(
            Arg::new("capacity")
                .long("capacity")
                .value_parser(|text: &str| parse_resources(text))
                .default_value("cpu 16, memory 32GiB, slots 8"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .default_value("127.0.0.1:7000"),
        );
    Command::new("pomelotide-standins")
        .about("Stand-ins for the platform and its workers; for development only")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommands([platform, workers])
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u32))
        .default_value(default)
}

/// Parses the command line; prints an error and exits the process if it is invalid.
pub fn parse() -> Role {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("workers", args)) => Role::Workers(workers(args)),
        Some((_, args)) => Role::Platform(value(args, "listen")),
        None => unreachable!("clap requires a subcommand"),
    }
}

fn workers(args: &ArgMatches) -> WorkersOptions {
    WorkersOptions {
        domain: value(args, "domain"),
        count: value(args, "count"),
        per_rack: value(args, "per-rack"),
        capacity: value::<Resources>(args, "capacity"),
        platform: value(args, "platform"),
        failing: value(args, "failing"),
    }
}

/// Returns the value of an argument that has a default or is required.
fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    let found = args.get_one::<T>(name);
    found
        .cloned()
        .unwrap_or_else(|| unreachable!("{name} has a default or is required"))
}
