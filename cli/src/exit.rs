//! Exit codes, the same for every command.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// What was asked for is done.
    Done,
    /// It was refused or failed, and certainly is not done.
    Refused,
    /// The command line or a file is wrong. The command-line library uses the same code.
    Usage,
    /// It may be done; nobody can tell.
    Unknown,
    /// The daemon could not be reached.
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
