//! The configuration: entries by name, with the revision in which each last changed.

use crate::{
    config_parts::ConfigParts,
    consts::{HISTORY_TRIM_BATCH, MAX_NOTE_HISTORY},
    split, Class, DomainName, Entry, EntryName, FaultKind, KeyDigest, KeyName, Note, NoteFault,
    NoteId, QueueName, Resources, Revision, TeamName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The complete configuration at one revision.
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
#[serde(from = "ConfigParts", into = "ConfigParts")]
pub struct Config {
    pub(crate) revision: Revision,
    /// The latest revision whose note and changed entries are no longer in the history.
    pub(crate) floor: Revision,
    pub(crate) entries: BTreeMap<EntryName, Entry>,
    /// The revision in which each entry other than a split was last added, changed or withdrawn, if
    /// it is later than the floor.
    pub(crate) touched: BTreeMap<EntryName, Revision>,
    /// The notes in the history, with the revisions that they made.
    pub(crate) notes: BTreeMap<NoteId, Revision>,
    /// The notes in the history, oldest first.
    pub(crate) last_notes: VecDeque<NoteId>,
    pub(crate) digests: BTreeMap<KeyDigest, KeyName>,
}

/// The settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueView<'a> {
    /// The policy of the queue's work.
    pub class: Class,
    /// Whether callers need no key.
    pub open: bool,
    /// The only team that may use the queue.
    pub team: Option<&'a TeamName>,
    /// The resources that one request takes at a worker.
    pub need: Resources,
}

impl Config {
    /// Returns the configuration's revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision that a note made, if the history still has the note.
    pub fn accepted_in(&self, note: &NoteId) -> Option<Revision> {
        self.notes.get(note).copied()
    }

    /// Returns the numbers of notes and of changed entries in the history.
    pub fn history_sizes(&self) -> (usize, usize) {
        (self.notes.len(), self.touched.len())
    }

    /// Returns all entries, ordered by name.
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

    /// Returns the largest amount of each resource but slots that any small request takes.
    pub fn largest_small_need(&self) -> Resources {
        let needs = self.entries.values().filter_map(|entry| match entry {
            Entry::Queue { class, need, .. } if *class == Class::Small => Some(*need),
            _ => None,
        });
        let most = needs.fold(Resources::default(), Resources::max);
        Resources { slots: 0, ..most }
    }

    /// Returns a team's share and its fleet-wide limit.
    pub fn team(&self, name: &TeamName) -> Option<(u64, Resources)> {
        match self.entries.get(&EntryName::Team(name.clone()))? {
            Entry::Team { share, limit, .. } => Some((*share, *limit)),
            _ => None,
        }
    }

    /// Returns the names of all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        let from = EntryName::Team(TeamName::new(""));
        self.entries
            .range(from..)
            .map_while(|(_, entry)| match entry {
                Entry::Team { name, .. } => Some(name),
                _ => None,
            })
    }

    /// Returns the names of all failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        // Failure domains come first in the order of `EntryName`.
        self.entries.values().map_while(|entry| match entry {
            Entry::Domain(name) => Some(name),
            _ => None,
        })
    }

    /// Returns a failure domain's part of a team's limit.
    ///
    /// Allotments that operators wrote take precedence; if the team has any, a domain without one
    /// has no part. Otherwise the leaders' split applies, which is even at first.
    pub fn allotment(&self, team: &TeamName, domain: &DomainName) -> Resources {
        let named = self
            .entries
            .get(&EntryName::Allotment(team.clone(), domain.clone()));
        if let Some(Entry::Allotment { amount, .. }) = named {
            return *amount;
        }
        if self.has_operator_allotments(team) {
            return Resources::default();
        }
        let parts = self.split(team);
        let part = parts.iter().find(|(of, _)| of == domain);
        part.map(|(_, amount)| *amount).unwrap_or_default()
    }

    /// Returns the leaders' split of a team's limit among the failure domains. It does not apply to
    /// a team with allotments that operators wrote.
    pub fn split(&self, team: &TeamName) -> split::SplitParts {
        if let Some(Entry::Split { parts, .. }) = self.entries.get(&EntryName::Split(team.clone()))
        {
            return parts.clone();
        }
        let Some((_, limit)) = self.team(team) else {
            return Vec::new();
        };
        let count = self.domains().count();
        let part = |(index, domain): (usize, &DomainName)| {
            (domain.clone(), split::even_part(limit, count, index))
        };
        self.domains().enumerate().map(part).collect()
    }

    /// Returns whether leaders may transfer parts of a team's limit: operators have not allotted
    /// it, and the team owns no open queue, whose work starts even with an outdated configuration.
    pub fn is_transferable(&self, team: &TeamName) -> bool {
        self.team(team).is_some()
            && !self.has_operator_allotments(team)
            && !self.owns_open_queue(team)
    }

    /// Returns whether the work of an open queue counts against a team's limit.
    pub fn owns_open_queue(&self, team: &TeamName) -> bool {
        let from = EntryName::Queue(QueueName::new(""));
        let mut queues = self
            .entries
            .range(from..)
            .map_while(|(_, entry)| match entry {
                Entry::Queue { open, team, .. } => Some((*open, team.as_ref())),
                _ => None,
            });
        queues.any(|queue| queue == (true, Some(team)))
    }

    fn has_operator_allotments(&self, team: &TeamName) -> bool {
        self.allotments(team).next().is_some()
    }

    fn allotments<'a>(&'a self, team: &'a TeamName) -> impl Iterator<Item = Resources> + 'a {
        let from = EntryName::Allotment(team.clone(), DomainName::new(""));
        self.entries
            .range(from..)
            .map_while(move |(_, entry)| match entry {
                Entry::Allotment {
                    team: of, amount, ..
                } if of == team => Some(*amount),
                _ => None,
            })
    }

    /// Returns the faults of a note at this revision. Only a note without conflicts, and without
    /// entries that are repeated, missing or already present, is checked for inconsistencies of the
    /// resulting configuration.
    pub fn check(&self, note: &Note) -> Vec<NoteFault> {
        let mut faults = self.conflicts(note);
        faults.extend(self.existence_faults(note));
        if faults.is_empty() {
            let mut after = self.clone();
            after.apply(note);
            faults.extend(after.inconsistencies());
        }
        faults
    }

    fn conflicts(&self, note: &Note) -> Vec<NoteFault> {
        if note.base < self.floor {
            let kind = FaultKind::BaseTooOld(self.floor);
            return note
                .names()
                .map(|entry| NoteFault { entry, kind })
                .collect();
        }
        let newer = |name: EntryName| {
            let revision = *self.touched.get(&name)?;
            let kind = FaultKind::ChangedSince(revision);
            (revision > note.base).then_some(NoteFault { entry: name, kind })
        };
        note.names().filter_map(newer).collect()
    }

    fn existence_faults(&self, note: &Note) -> Vec<NoteFault> {
        let mut seen = BTreeSet::new();
        let mut faults = Vec::new();
        let added = note.added.iter().map(|entry| (entry.name(), false));
        let changed = note.changed.iter().map(|entry| (entry.name(), true));
        let withdrawn = note.withdrawn.iter().map(|name| (name.clone(), true));
        for (entry, must_exist) in added.chain(changed).chain(withdrawn) {
            let exists = self.entries.contains_key(&entry);
            // Leaders list a split as changed even if the team has none yet.
            let exists = exists || matches!(entry, EntryName::Split(_));
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
            let mut kinds = self.entry_faults(entry);
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

    fn entry_faults(&self, entry: &Entry) -> Vec<FaultKind> {
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
            Entry::Split { team, parts } => kinds.extend(self.split_faults(team, parts)),
        }
        kinds
    }

    fn split_faults(&self, team: &TeamName, parts: &split::SplitParts) -> Option<FaultKind> {
        let Some((_, limit)) = self.team(team) else {
            return Some(FaultKind::NoSuchTeam);
        };
        let is_domain = |domain: &DomainName| {
            self.entries
                .contains_key(&EntryName::Domain(domain.clone()))
        };
        if !parts.iter().all(|(domain, _)| is_domain(domain)) {
            return Some(FaultKind::NoSuchDomain);
        }
        if !self.is_transferable(team) {
            return Some(FaultKind::NotSplittable);
        }
        let fits = split::total(parts).fits(&limit);
        (!fits).then_some(FaultKind::AllotmentsOverLimit)
    }

    fn missing_team(&self, team: &TeamName) -> Option<FaultKind> {
        self.team(team).is_none().then_some(FaultKind::NoSuchTeam)
    }

    /// Applies a checked note, which makes the next revision.
    pub fn apply(&mut self, note: &Note) {
        self.revision = self.revision.next();
        let written = note.names();
        for name in written.filter(|name| !matches!(name, EntryName::Split(_))) {
            self.remove(&name);
            self.touched.insert(name, self.revision);
        }
        for entry in note.added.iter().chain(&note.changed) {
            self.insert(entry);
        }
        if note.names().any(|name| may_affect_splits(&name)) {
            self.rescale_splits();
        }
        self.record_in_history(note.id.clone());
    }

    fn insert(&mut self, entry: &Entry) {
        let entry = match entry {
            Entry::Split { team, parts } => self.merged_split(team, parts),
            entry => entry.clone(),
        };
        if let Entry::Key { name, digest, .. } = &entry {
            self.digests.insert(digest.clone(), name.clone());
        }
        self.entries.insert(entry.name(), entry);
    }

    /// Returns a team's split with the changed parts replaced.
    fn merged_split(&self, team: &TeamName, changed: &split::SplitParts) -> Entry {
        let mut parts: BTreeMap<DomainName, Resources> = self.split(team).into_iter().collect();
        parts.extend(changed.iter().cloned());
        Entry::Split {
            team: team.clone(),
            parts: parts.into_iter().collect(),
        }
    }

    /// Adapts the leaders' splits to changed domains, teams and queues. Every daemon computes the
    /// same result.
    fn rescale_splits(&mut self) {
        let from = EntryName::Split(TeamName::new(""));
        let splits = self
            .entries
            .range(from..)
            .filter_map(|(_, entry)| match entry {
                Entry::Split { team, parts } => Some((team.clone(), parts.clone())),
                _ => None,
            });
        let splits: Vec<_> = splits.collect();
        for (team, mut parts) in splits {
            let name = EntryName::Split(team.clone());
            parts.retain(|(domain, _)| {
                self.entries
                    .contains_key(&EntryName::Domain(domain.clone()))
            });
            let limit = self.team(&team).filter(|_| self.is_transferable(&team));
            match limit {
                Some((_, limit)) if !parts.is_empty() => {
                    let parts = match split::total(&parts) == limit {
                        true => parts,
                        false => split::rescaled(&parts, limit),
                    };
                    self.entries.insert(name, Entry::Split { team, parts });
                }
                _ => {
                    self.entries.remove(&name);
                }
            }
        }
    }

    fn record_in_history(&mut self, note: NoteId) {
        self.notes.insert(note.clone(), self.revision);
        self.last_notes.push_back(note);
        let excess = self.last_notes.len().saturating_sub(MAX_NOTE_HISTORY);
        if excess < HISTORY_TRIM_BATCH as usize {
            return;
        }
        for note in self.last_notes.drain(..excess) {
            if let Some(revision) = self.notes.remove(&note) {
                self.floor = revision.max(self.floor);
            }
        }
        let floor = self.floor;
        self.touched.retain(|_, revision| *revision > floor);
    }

    /// Returns the latest notes with the revisions that they made, newest first.
    pub fn history(&self) -> impl Iterator<Item = (Revision, &NoteId)> {
        let newest = self.last_notes.iter().rev();
        newest.filter_map(|note| Some((self.accepted_in(note)?, note)))
    }

    /// Returns the note that made the present revision.
    pub fn last_note(&self) -> Option<&NoteId> {
        self.last_notes.back()
    }

    fn remove(&mut self, name: &EntryName) {
        if let Some(Entry::Key { digest, .. }) = self.entries.remove(name) {
            self.digests.remove(&digest);
        }
    }
}

/// Returns whether a change of an entry can invalidate a split.
const fn may_affect_splits(name: &EntryName) -> bool {
    !matches!(name, EntryName::Key(_) | EntryName::Split(_))
}
