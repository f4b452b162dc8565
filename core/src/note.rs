//! Release notes, the changes of the configuration.

use crate::{Entry, EntryName, NoteId, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A release note: entries to add, change and withdraw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Note {
    /// The note's id. A note with the id of an accepted one is not applied again.
    pub id: NoteId,
    /// The revision that the note was written against.
    pub base: Revision,
    /// Entries that must not exist yet.
    pub added: Vec<Entry>,
    /// Entries that must exist.
    pub changed: Vec<Entry>,
    /// Entries to remove.
    pub withdrawn: Vec<EntryName>,
}

impl Note {
    /// Returns the names of all entries in the note.
    pub fn names(&self) -> impl Iterator<Item = EntryName> + '_ {
        let written = self.added.iter().chain(&self.changed).map(Entry::name);
        written.chain(self.withdrawn.iter().cloned())
    }
}

/// A fault of a note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NoteFault {
    /// The faulty entry.
    pub entry: EntryName,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The kinds of faults of an entry in a note.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FaultKind {
    /// An added entry already exists.
    Exists,
    /// A changed or withdrawn entry does not exist.
    Missing,
    /// The entry is named more than once in the note.
    Repeated,
    /// The entry names a team that does not exist.
    NoSuchTeam,
    /// The entry names a failure domain that does not exist.
    NoSuchDomain,
    /// An open queue names no team whose limit its work counts against.
    OpenWithoutTeam,
    /// The team has a share of zero.
    ZeroShare,
    /// The key has the same digest as another key.
    SameDigest,
    /// The allotments add up to more than the team's limit.
    AllotmentsOverLimit,
    /// Another entry still refers to the withdrawn one.
    StillUsed,
    /// The note's base is older than the history of changes, which begins after the given revision.
    BaseTooOld(Revision),
    /// Leaders may not split this team's limit.
    NotSplittable,
    /// The entry changed in the given revision, after the note's base.
    ChangedSince(Revision),
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            FaultKind::Exists => "exists already; list it under changed",
            FaultKind::Missing => "does not exist",
            FaultKind::Repeated => "is named more than once",
            FaultKind::NoSuchTeam => "names a team that does not exist",
            FaultKind::NoSuchDomain => "names a failure domain that does not exist",
            FaultKind::OpenWithoutTeam => "is open but names no team that pays for it",
            FaultKind::ZeroShare => "has a share of zero; the least is 1",
            FaultKind::SameDigest => "has the same secret as another key",
            FaultKind::AllotmentsOverLimit => "has allotments that exceed its limit",
            FaultKind::StillUsed => "is still used by another entry",
            FaultKind::NotSplittable => "is not split by the keepers",
            FaultKind::BaseTooOld(floor) => {
                return write!(
                    f,
                    "can't be compared with a base before revision {floor}; read the configuration again and write the note anew"
                );
            }
            FaultKind::ChangedSince(revision) => {
                return write!(f, "changed in revision {revision}, after the note's base");
            }
        };
        f.write_str(text)
    }
}

impl fmt::Display for NoteFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.entry, self.kind)
    }
}

/// The result of a proposed note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoteVerdict {
    /// The note was accepted and is in force at every daemon.
    InForce(Revision),
    /// The note has faults or conflicts; nothing changed.
    Rejected(Vec<NoteFault>),
    /// The table did not answer; the note may have been accepted. Proposing the same note again is
    /// safe.
    Unknown,
}
