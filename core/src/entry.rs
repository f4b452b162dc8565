//! Entries of the configuration.

use crate::{Class, DomainName, KeyDigest, KeyName, QueueName, Resources, TeamName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One declared thing in the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Entry {
    /// A failure domain.
    Domain(DomainName),
    /// A team with its share and its fleet-wide upper limit.
    Team {
        /// The team's name.
        name: TeamName,
        /// The weight of the team when the fleet is full.
        share: u64,
        /// What the team may have running fleet-wide.
        limit: Resources,
    },
    /// A key that acts for a team.
    Key {
        /// The key's name.
        name: KeyName,
        /// The digest of the key's secret.
        digest: KeyDigest,
        /// The team that the key acts for.
        team: TeamName,
    },
    /// A queue.
    Queue {
        /// The queue's name.
        name: QueueName,
        /// The policy of the queue's work.
        class: Class,
        /// Whether callers need no key.
        open: bool,
        /// The only team that may use the queue, and the one that pays for an open queue.
        team: Option<TeamName>,
        /// What one request of the queue takes at a worker.
        need: Resources,
    },
    /// The part of a team's upper limit that a failure domain holds.
    Allotment {
        /// The team.
        team: TeamName,
        /// The failure domain.
        domain: DomainName,
        /// The part of the limit.
        amount: Resources,
    },
    /// How the keepers have split a team's upper limit among the failure domains; no operator
    /// writes it. In a note it names only the parts that change; in the configuration it names
    /// all, and a domain without one holds nothing.
    Split {
        /// The team.
        team: TeamName,
        /// The failure domains' parts.
        parts: Vec<(DomainName, Resources)>,
    },
}

/// The kind and name of an [`Entry`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EntryName {
    /// Names a failure domain.
    Domain(DomainName),
    /// Names a team.
    Team(TeamName),
    /// Names a key.
    Key(KeyName),
    /// Names a queue.
    Queue(QueueName),
    /// Names a failure domain's part of a team's limit.
    Allotment(TeamName, DomainName),
    /// Names the keepers' split of a team's limit.
    Split(TeamName),
}

impl Entry {
    /// Returns the entry's kind and name.
    pub fn name(&self) -> EntryName {
        match self {
            Entry::Domain(name) => EntryName::Domain(name.clone()),
            Entry::Team { name, .. } => EntryName::Team(name.clone()),
            Entry::Key { name, .. } => EntryName::Key(name.clone()),
            Entry::Queue { name, .. } => EntryName::Queue(name.clone()),
            Entry::Allotment { team, domain, .. } => {
                EntryName::Allotment(team.clone(), domain.clone())
            }
            Entry::Split { team, .. } => EntryName::Split(team.clone()),
        }
    }
}

impl fmt::Display for EntryName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryName::Domain(name) => write!(f, "domain {name}"),
            EntryName::Team(name) => write!(f, "team {name}"),
            EntryName::Key(name) => write!(f, "key {name}"),
            EntryName::Queue(name) => write!(f, "queue {name}"),
            EntryName::Allotment(team, domain) => write!(f, "allotment {team} {domain}"),
            EntryName::Split(team) => write!(f, "split {team}"),
        }
    }
}
