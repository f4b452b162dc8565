//! Identifiers: one newtype for each kind of name or number.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    str::FromStr, //
};

/// The longest accepted text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The longest accepted job identifier, in bytes: a failure domain, a team and a caller's id.
pub const MAX_JOB_ID_BYTES: usize = 3 * MAX_ID_BYTES + 2;

/// Says why a text is not an identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than the given number of bytes.
    TooLong(usize),
    /// The text holds a character that this kind of identifier does not allow.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "an identifier may not be empty"),
            IdError::TooLong(max_bytes) => {
                write!(f, "an identifier has at most {max_bytes} bytes here")
            }
            IdError::BadCharacter(c) => {
                write!(f, "{c:?} is not allowed here (letters, digits, - _ .)")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check_text(text: &str, extra_chars: &str, max_bytes: usize) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > max_bytes {
        return Err(IdError::TooLong(max_bytes));
    }
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra_chars.contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident, $extra_chars:literal, $max_bytes:expr;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub struct $name(CompactString);

        impl $name {
            /// Makes an identifier from text that the program itself wrote.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(CompactString::from(text.as_ref()))
            }

            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_text(text, $extra_chars, $max_bytes)?;
                Ok(Self::new(text))
            }
        }
    )*};
}

text_ids! {
    /// Names a daemon, unique for the life of one process (host name and start counter).
    DaemonId, ":", MAX_ID_BYTES;
    /// Names a failure domain.
    DomainName, "", MAX_ID_BYTES;
    /// Names a submitted job; it begins with the failure domain that runs it and a `~`.
    JobId, ":/~", MAX_JOB_ID_BYTES;
    /// Names a key in a release note.
    KeyName, "", MAX_ID_BYTES;
    /// Holds the digest of the secret that a caller shows.
    KeyDigest, "", MAX_ID_BYTES;
    /// Names a release note.
    NoteId, ":/", MAX_ID_BYTES;
    /// Names a queue.
    QueueName, "", MAX_ID_BYTES;
    /// Names a rack inside a failure domain.
    RackName, "", MAX_ID_BYTES;
    /// Names a caller's request; a retry shows the same id.
    RequestId, ":/", MAX_ID_BYTES;
    /// Names one attempt to run one task on one worker.
    TaskId, ":/~ ", MAX_ID_BYTES;
    /// Names a team.
    TeamName, "", MAX_ID_BYTES;
    /// Names a worker.
    WorkerId, ":", MAX_ID_BYTES;
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

number_ids! {
    /// Numbers a caller's open call inside one daemon.
    CallId;
    /// Counts the claims on one worker; a worker refuses an epoch below its own.
    Epoch;
    /// Numbers a table operation inside one daemon.
    OpId;
    /// Counts accepted configuration changes.
    Revision;
    /// Counts the changes of a failure domain's keeper.
    Term;
    /// Numbers a unit of queued work inside one daemon.
    UnitId;
}

impl JobId {
    /// Makes the id of a job that `domain` runs for a request of a caller.
    pub fn in_domain(domain: &DomainName, request: &RequestId) -> Self {
        Self::new(format!("{domain}~{request}"))
    }

    /// Returns the failure domain that runs the job, if the id names one.
    pub fn domain(&self) -> Option<DomainName> {
        let (domain, _) = self.as_str().split_once('~')?;
        Some(DomainName::new(domain))
    }
}

impl RequestId {
    /// Makes the id under which a team's request is known inside the system, so that two teams
    /// never meet in one id.
    pub fn of_team(team: &TeamName, id: &RequestId) -> Self {
        Self::new(format!("{team}~{id}"))
    }
}
