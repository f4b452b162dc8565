//! Workload classes.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    str::FromStr, //
};

/// The placement policy of a queue's work. The variants are in order of precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Class {
    /// Small requests: placed on the worker with the fewest used slots, ahead of all other classes.
    Small,
    /// Long-running services, spread over racks.
    Service,
    /// Gang jobs, whose tasks start all at once or not at all.
    Gang,
    /// Batch work, packed onto the fullest worker that has room.
    Batch,
}

impl Class {
    /// All classes in order of precedence, with their names in release notes and metrics.
    pub const ALL: [(Class, &'static str); 4] = [
        (Class::Small, "small"),
        (Class::Service, "service"),
        (Class::Gang, "gang"),
        (Class::Batch, "batch"),
    ];
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(Self::ALL[*self as usize].1)
    }
}

/// The error for a text that is not the name of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassError;

impl fmt::Display for ClassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of small, service, gang, batch")
    }
}

impl std::error::Error for ClassError {}

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        let found = Self::ALL.iter().find(|(_, name)| *name == text);
        found.map(|(class, _)| *class).ok_or(ClassError)
    }
}
