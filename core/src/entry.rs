//! Entries of the configuration.

use crate::{Class, DomainName, KeyDigest, KeyName, QueueName, Resources, TeamName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An entry of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Entry {
    /// A failure domain.
    Domain(DomainName),
    /// A team.
    Team {
        /// The team's name.
        name: TeamName,
        /// The weight of the team's share when the fleet is full.
        share: u64,
        /// The fleet-wide limit of what the team may have running.
        limit: Resources,
    },
    /// A key that authorizes callers to act for a team.
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
        /// The only team that may use the queue. The work of an open queue counts against its
        /// limit.
        team: Option<TeamName>,
        /// The resources that one request of the queue takes at a worker.
        need: Resources,
    },
    /// A failure domain's part of a team's limit, as operators set it.
    Allotment {
        /// The team.
        team: TeamName,
        /// The failure domain.
        domain: DomainName,
        /// The part of the limit.
        amount: Resources,
    },
    /// The split of a team's limit among the failure domains, written by leaders only. A note lists
    /// only the changed parts. The configuration lists all; an unlisted domain has no part.
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
    /// A failure domain.
    Domain(DomainName),
    /// A team.
    Team(TeamName),
    /// A key.
    Key(KeyName),
    /// A queue.
    Queue(QueueName),
    /// A failure domain's part of a team's limit.
    Allotment(TeamName, DomainName),
    /// The leaders' split of a team's limit.
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
