//! Exit codes, which are the same for every command.

use std::process::ExitCode;

/// The result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command was refused or failed, and certainly had no effect.
    Refused,
    /// The command line or a file is invalid. clap uses the same code.
    Usage,
    /// The outcome is unknown: the command may have taken effect.
    Unknown,
    /// No daemon accepted a connection.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unknown => 3,
            Exit::Unreachable => 4,
        })
    }
}
