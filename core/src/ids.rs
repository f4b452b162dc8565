//! Identifiers, each a newtype of a text or a number.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    str::FromStr, //
};

/// The maximum length of a text identifier in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The maximum length of a job identifier in bytes: a failure domain, a team and a caller's id with
/// separators.
pub const MAX_JOB_ID_BYTES: usize = 3 * MAX_ID_BYTES + 2;

/// The reason why a text is not a valid identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than the maximum, which is given in bytes.
    TooLong(usize),
    /// The text contains a character that this kind of identifier does not allow.
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
            /// Returns the identifier with a text that is known to be valid.
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
    /// Identifies one process of a daemon by host name and start counter.
    DaemonId, ":", MAX_ID_BYTES;
    /// The name of a failure domain.
    DomainName, "", MAX_ID_BYTES;
    /// Identifies a job. It begins with the failure domain that runs the job and a `~`.
    JobId, ":/~", MAX_JOB_ID_BYTES;
    /// The name of a key in the configuration.
    KeyName, "", MAX_ID_BYTES;
    /// The digest of a caller's secret.
    KeyDigest, "", MAX_ID_BYTES;
    /// Identifies a release note.
    NoteId, ":/", MAX_ID_BYTES;
    /// The name of a queue.
    QueueName, "", MAX_ID_BYTES;
    /// The name of a rack within a failure domain.
    RackName, "", MAX_ID_BYTES;
    /// Identifies a caller's request. A retry has the same id.
    RequestId, ":/", MAX_ID_BYTES;
    /// Identifies one attempt to run a task on a worker.
    TaskId, ":/~ ", MAX_ID_BYTES;
    /// The name of a team.
    TeamName, "", MAX_ID_BYTES;
    /// Identifies a worker.
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
    /// The number of an open call within a daemon.
    CallId;
    /// The number of a claim on a worker within a term. A worker refuses claims below its present
    /// one.
    Epoch;
    /// The number of a table or object store operation within a daemon.
    OpId;
    /// The number of accepted configuration changes.
    Revision;
    /// The number of leader changes of a failure domain.
    Term;
    /// The number of a unit of pending work within a daemon.
    UnitId;
}

impl JobId {
    /// Returns the id of the job that `domain` runs for a caller's request.
    pub fn in_domain(domain: &DomainName, request: &RequestId) -> Self {
        Self::new(format!("{domain}~{request}"))
    }

    /// Returns the failure domain in the id, if there is one.
    pub fn domain(&self) -> Option<DomainName> {
        let (domain, _) = self.as_str().split_once('~')?;
        Some(DomainName::new(domain))
    }
}

impl RequestId {
    /// Returns the id of a team's request within the system. It contains the team, so that the same
    /// id from two teams denotes two requests.
    pub fn of_team(team: &TeamName, id: &RequestId) -> Self {
        Self::new(format!("{team}~{id}"))
    }
}
