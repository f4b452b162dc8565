//! Release notes: the one way in which the configuration changes.

use crate::{Entry, EntryName, NoteId, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A list of entries to add, change and withdraw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Note {
    /// The note's id; applying the same id twice changes nothing the second time.
    pub id: NoteId,
    /// The revision that the note's writer had seen.
    pub base: Revision,
    /// Entries that must not exist yet.
    pub added: Vec<Entry>,
    /// Entries that must exist.
    pub changed: Vec<Entry>,
    /// Entries that go.
    pub withdrawn: Vec<EntryName>,
}

impl Note {
    /// Returns the names of all entries that the note touches.
    pub fn names(&self) -> impl Iterator<Item = EntryName> + '_ {
        let written = self.added.iter().chain(&self.changed).map(Entry::name);
        written.chain(self.withdrawn.iter().cloned())
    }
}

/// One thing that is wrong with a note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NoteFault {
    /// The entry at fault.
    pub entry: EntryName,
    /// What is wrong with it.
    pub kind: FaultKind,
}

/// The ways in which an entry of a note can be wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FaultKind {
    /// An added entry exists already.
    Exists,
    /// A changed or withdrawn entry does not exist.
    Missing,
    /// The entry is named more than once in the note.
    Repeated,
    /// The entry names a team that does not exist.
    NoSuchTeam,
    /// The entry names a failure domain that does not exist.
    NoSuchDomain,
    /// An open queue names no team that pays for it.
    OpenWithoutTeam,
    /// A share of zero.
    ZeroShare,
    /// Two keys with the same digest.
    SameDigest,
    /// The allotments add up to more than the team's limit.
    AllotmentsOverLimit,
    /// Another entry still needs the withdrawn one.
    StillUsed,
    /// The note's base is so old that changes after it are no longer known.
    BaseTooOld(Revision),
    /// The keepers' split of a limit that is not theirs to split.
    NotSplittable,
    /// The entry changed after the note's base revision.
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
                    "can't be compared with a base before revision {floor}; read the \
                     configuration again and write the note anew"
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

/// What became of a proposed note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoteVerdict {
    /// The note is accepted and in force everywhere.
    InForce(Revision),
    /// The note is wrong or in conflict; nothing changed.
    Rejected(Vec<NoteFault>),
    /// The table's answer is missing; ask again with the same note.
    Unknown,
}
