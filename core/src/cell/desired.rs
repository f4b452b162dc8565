//! The desired state of a cell: queues, teams and limits of the front.

use crate::{KeyName, Millis, QueueName, Resources, TeamName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a call to the advice service takes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceCost {
    /// The fixed part of a call, in microseconds.
    pub base_us: u64,
    /// The part for each worker named, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket is valid.
    pub valid_ms: Millis,
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The queue's name.
    pub name: QueueName,
    /// The host that clients name.
    pub host: CompactString,
    /// The beginning of the paths of its calls.
    pub path_prefix: CompactString,
    /// The service whose workers run its tasks.
    pub service: CompactString,
    /// Its rank; 0 comes first.
    pub priority: u8,
    /// Whether calls need no key.
    pub open: bool,
    /// How many runs of a task may fail.
    pub max_attempts: u32,
    /// The objective as a multiple of the longest chain of work, in thousandths.
    pub slack_permille: u64,
    /// What the objective adds to that.
    pub target_latency_ms: Millis,
    /// What advice costs, where tasks may start only with a ticket.
    pub advice: Option<AdviceCost>,
}

/// A team: its keys, its share and its upper limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The keys that speak for it.
    pub keys: Vec<KeyName>,
    /// Its share when the fleet is full.
    pub weight: u64,
    /// What it may have running fleet-wide; 0 means no limit.
    #[serde(rename = "cap")]
    pub limit: Resources,
}

/// Limits of what clients may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestLimits {
    /// The longest body, in bytes.
    pub body_bytes: u64,
}

/// One version of the desired state, in full.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredState {
    /// Its version; versions rise.
    pub version: u64,
    /// All queues, in the order of their names.
    pub queues: Vec<Queue>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Limits of the front.
    pub limits: RequestLimits,
}

impl DesiredState {
    /// Brings the queues into the order that [`DesiredState::queue`] relies on.
    pub fn with_sorted_queues(mut self) -> Self {
        self.queues.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// Finds the queue with the longest prefix that a call's path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&*queue.path_prefix);
        let found = self.queues.iter().filter(fits);
        found.max_by_key(|queue| queue.path_prefix.len())
    }

    /// Finds the team that a key speaks for.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        let holds = |team: &&Team| team.keys.iter().any(|own| own.as_str() == key);
        self.teams.iter().find(holds)
    }

    /// Finds a queue by name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        let at = self.queues.binary_search_by(|queue| queue.name.cmp(name));
        at.ok().map(|at| &self.queues[at])
    }

    /// Finds a team by name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
