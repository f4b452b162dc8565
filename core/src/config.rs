//! The configuration: entries by name, each with the revision that last touched it.

use crate::{
    Class, DomainName, Entry, EntryName, FaultKind, KeyDigest, KeyName, Note, NoteFault, NoteId,
    QueueName, Resources, Revision, TeamName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The notes that are known again when they are applied twice.
const REMEMBERED_NOTES: usize = 8_192;

/// The whole configuration at one revision.
///
/// ```
/// use pomelotide_core::{Config, Entry, DomainName, Note, NoteId, Revision};
/// let mut config = Config::default();
/// let note = Note {
///     id: NoteId::new("first"),
///     base: Revision(0),
///     added: vec![Entry::Domain(DomainName::new("saiss"))],
///     changed: vec![],
///     withdrawn: vec![],
/// };
/// assert!(config.check(&note).is_empty());
/// config.apply(&note);
/// assert_eq!(config.revision(), Revision(1));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    revision: Revision,
    entries: BTreeMap<EntryName, Entry>,
    touched: BTreeMap<EntryName, Revision>,
    notes: BTreeMap<NoteId, Revision>,
    last_notes: VecDeque<NoteId>,
    digests: BTreeMap<KeyDigest, KeyName>,
}

/// A queue's settings.
#[derive(Clone, Copy, Debug)]
pub struct QueueView<'a> {
    /// The policy of the queue's work.
    pub class: Class,
    /// Whether callers need no key.
    pub open: bool,
    /// The only team that may use the queue.
    pub team: Option<&'a TeamName>,
    /// What one request takes at a worker.
    pub need: Resources,
}

impl Config {
    /// Returns the revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision in which a note was accepted.
    pub fn accepted_in(&self, note: &NoteId) -> Option<Revision> {
        self.notes.get(note).copied()
    }

    /// Returns all entries in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the team that a key acts for.
    pub fn team_of_key(&self, digest: &KeyDigest) -> Option<&TeamName> {
        let name = self.digests.get(digest)?;
        match self.entries.get(&EntryName::Key(name.clone()))? {
            Entry::Key { team, .. } => Some(team),
            _ => None,
        }
    }

    /// Returns a queue's settings.
    pub fn queue(&self, name: &QueueName) -> Option<QueueView<'_>> {
        match self.entries.get(&EntryName::Queue(name.clone()))? {
            Entry::Queue {
                class,
                open,
                team,
                need,
                ..
            } => Some(QueueView {
                class: *class,
                open: *open,
                team: team.as_ref(),
                need: *need,
            }),
            _ => None,
        }
    }

    /// Returns a team's share and fleet-wide upper limit.
    pub fn team(&self, name: &TeamName) -> Option<(u64, Resources)> {
        match self.entries.get(&EntryName::Team(name.clone()))? {
            Entry::Team { share, limit, .. } => Some((*share, *limit)),
            _ => None,
        }
    }

    /// Returns the names of all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Team { name, .. } => Some(name),
            _ => None,
        })
    }

    /// Returns the names of all failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Domain(name) => Some(name),
            _ => None,
        })
    }

    /// Returns the part of a team's upper limit that a failure domain holds.
    ///
    /// Without any allotment entry for the team the limit is split evenly; with one, a domain that
    /// has no entry holds nothing.
    pub fn allotment(&self, team: &TeamName, domain: &DomainName) -> Resources {
        let Some((_, limit)) = self.team(team) else {
            return Resources::default();
        };
        let named = self
            .entries
            .get(&EntryName::Allotment(team.clone(), domain.clone()));
        if let Some(Entry::Allotment { amount, .. }) = named {
            return *amount;
        }
        let split_by_hand = self.allotments(team).next().is_some();
        match self.domains().position(|name| name == domain) {
            Some(place) if !split_by_hand => even_part(limit, self.domains().count(), place),
            _ => Resources::default(),
        }
    }

    fn allotments<'a>(&'a self, team: &'a TeamName) -> impl Iterator<Item = Resources> + 'a {
        self.entries.values().filter_map(move |entry| match entry {
            Entry::Allotment {
                team: of, amount, ..
            } if of == team => Some(*amount),
            _ => None,
        })
    }

    /// Returns everything that is wrong with a note at this revision.
    pub fn check(&self, note: &Note) -> Vec<NoteFault> {
        let mut faults = self.conflicts(note);
        faults.extend(self.misplaced(note));
        if faults.is_empty() {
            let mut after = self.clone();
            after.apply(note);
            faults.extend(after.inconsistencies());
        }
        faults
    }

    fn conflicts(&self, note: &Note) -> Vec<NoteFault> {
        let newer = |name: EntryName| {
            let revision = *self.touched.get(&name)?;
            let kind = FaultKind::ChangedSince(revision);
            (revision > note.base).then_some(NoteFault { entry: name, kind })
        };
        note.names().filter_map(newer).collect()
    }

    fn misplaced(&self, note: &Note) -> Vec<NoteFault> {
        let mut seen = BTreeSet::new();
        let mut faults = Vec::new();
        let added = note.added.iter().map(|entry| (entry.name(), false));
        let changed = note.changed.iter().map(|entry| (entry.name(), true));
        let withdrawn = note.withdrawn.iter().map(|name| (name.clone(), true));
        for (entry, must_exist) in added.chain(changed).chain(withdrawn) {
            let exists = self.entries.contains_key(&entry);
            let kind = match (seen.insert(entry.clone()), exists, must_exist) {
                (false, _, _) => FaultKind::Repeated,
                (_, true, false) => FaultKind::Exists,
                (_, false, true) => FaultKind::Missing,
                _ => continue,
            };
            faults.push(NoteFault { entry, kind });
        }
        faults
    }

    fn inconsistencies(&self) -> Vec<NoteFault> {
        let mut digests = BTreeSet::new();
        let mut faults = Vec::new();
        for entry in self.entries.values() {
            let mut kinds = self.faults_of(entry);
            if let Entry::Key { digest, .. } = entry {
                if !digests.insert(digest) {
                    kinds.push(FaultKind::SameDigest);
                }
            }
            faults.extend(kinds.into_iter().map(|kind| NoteFault {
                entry: entry.name(),
                kind,
            }));
        }
        faults
    }

    fn faults_of(&self, entry: &Entry) -> Vec<FaultKind> {
        let mut kinds = Vec::new();
        match entry {
            Entry::Domain(_) => {}
            Entry::Team { name, share, limit } => {
                let sum = self
                    .allotments(name)
                    .fold(Resources::default(), Resources::plus);
                if *share == 0 {
                    kinds.push(FaultKind::ZeroShare);
                }
                if !sum.fits(limit) {
                    kinds.push(FaultKind::AllotmentsOverLimit);
                }
            }
            Entry::Key { team, .. } => kinds.extend(self.missing_team(team)),
            Entry::Queue { open, team, .. } => match team {
                Some(team) => kinds.extend(self.missing_team(team)),
                None if *open => kinds.push(FaultKind::OpenWithoutTeam),
                None => {}
            },
            Entry::Allotment { team, domain, .. } => {
                kinds.extend(self.missing_team(team));
                if !self
                    .entries
                    .contains_key(&EntryName::Domain(domain.clone()))
                {
                    kinds.push(FaultKind::NoSuchDomain);
                }
            }
        }
        kinds
    }

    fn missing_team(&self, team: &TeamName) -> Option<FaultKind> {
        self.team(team).is_none().then_some(FaultKind::NoSuchTeam)
    }

    /// Applies a checked note and moves to the next revision.
    pub fn apply(&mut self, note: &Note) {
        self.revision = self.revision.next();
        for name in note.names() {
            self.touched.insert(name.clone(), self.revision);
            self.remove(&name);
        }
        for entry in note.added.iter().chain(&note.changed) {
            if let Entry::Key { name, digest, .. } = entry {
                self.digests.insert(digest.clone(), name.clone());
            }
            self.entries.insert(entry.name(), entry.clone());
        }
        self.remember(note.id.clone());
    }

    fn remember(&mut self, note: NoteId) {
        self.notes.insert(note.clone(), self.revision);
        self.last_notes.push_back(note);
        if self.last_notes.len() > REMEMBERED_NOTES {
            let oldest = self.last_notes.pop_front();
            oldest.and_then(|note| self.notes.remove(&note));
        }
    }

    /// Returns the latest notes with the revisions that they made, the newest first.
    pub fn history(&self) -> impl Iterator<Item = (Revision, &NoteId)> {
        let newest = self.last_notes.iter().rev();
        newest.filter_map(|note| Some((self.accepted_in(note)?, note)))
    }

    /// Returns the note that made this revision.
    pub fn last_note(&self) -> Option<&NoteId> {
        self.last_notes.back()
    }

    fn remove(&mut self, name: &EntryName) {
        if let Some(Entry::Key { digest, .. }) = self.entries.remove(name) {
            self.digests.remove(&digest);
        }
    }
}

/// Returns one of `count` parts of a limit; the remainder goes to the first parts.
fn even_part(limit: Resources, count: usize, place: usize) -> Resources {
    let count = count.max(1) as u64;
    let part = |whole: u64| whole / count + u64::from((place as u64) < whole % count);
    Resources::from_parts(limit.parts().map(part))
}
