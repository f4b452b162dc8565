//! The desired state of a cell: queues, teams and limits on requests.

use crate::{cell::queue_key::QueueKey, KeyName, Millis, QueueName, Resources, TeamName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The expected duration of calls to the advice service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceCost {
    /// The fixed part of a call, in microseconds.
    pub base_us: u64,
    /// The additional part for each worker in the call, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket is valid.
    pub valid_ms: Millis,
}

impl AdviceCost {
    /// Returns the expected duration of a call that names `workers` workers, in microseconds.
    pub fn call_us(&self, workers: usize) -> u64 {
        self.base_us
            .saturating_add(self.per_worker_us.saturating_mul(workers as u64))
    }
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The queue's name.
    pub name: QueueName,
    /// The host name that clients use in requests.
    pub host: CompactString,
    /// The prefix of the paths of its requests.
    pub path_prefix: CompactString,
    /// The service whose workers run its tasks.
    pub service: CompactString,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub open: bool,
    /// The number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// The part of the latency objective that is proportional to the job's longest chain of
    /// estimated run times, in thousandths of it.
    pub slack_permille: u64,
    /// The fixed part of the latency objective.
    pub target_latency_ms: Millis,
    /// The cost of advice calls, if tasks need a ticket of the advice service to start.
    pub advice: Option<AdviceCost>,
}

impl Queue {
    /// Returns whether clients reach it at this address.
    pub(crate) fn is_at(&self, host: &str, path_prefix: &str) -> bool {
        self.host == host && self.path_prefix == path_prefix
    }
}

/// A team with its API keys, its share and its limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The API keys that belong to it.
    pub keys: Vec<KeyName>,
    /// Its weight when teams share a full fleet.
    pub weight: u64,
    /// The resources that its running tasks may use on the whole fleet; 0 means no limit.
    #[serde(rename = "cap")]
    pub limit: Resources,
}

/// Limits on the requests of clients. A daemon of an earlier version sends only the size of a body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestLimits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// The time that the head of a request may take.
    pub head_timeout_ms: Millis,
    /// The time for which a connection may be idle.
    pub idle_timeout_ms: Millis,
}

impl Default for RequestLimits {
    /// Returns the limits that apply where the desired state names none.
    fn default() -> Self {
        Self {
            body_bytes: 262_144,
            head_bytes: 16_384,
            head_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// A complete version of the desired state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredState {
    /// The version number; newer states have higher numbers.
    pub version: u64,
    /// All queues, sorted by name.
    pub queues: Vec<Queue>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl DesiredState {
    /// Returns the state with its queues sorted by name, as [`DesiredState::queue`] requires.
    pub fn with_sorted_queues(mut self) -> Self {
        self.queues.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// Returns the queue of a host with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&*queue.path_prefix);
        let found = self.queues.iter().filter(fits);
        found.max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the team that an API key belongs to.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        let holds = |team: &&Team| team.keys.iter().any(|own| own.as_str() == key);
        self.teams.iter().find(holds)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        let at = self.queues.binary_search_by(|queue| queue.name.cmp(name));
        at.ok().map(|at| &self.queues[at])
    }

    /// Returns the queue of a job: the one at the job's address or, if there is none, the one with its name.
    pub(crate) fn queue_of(&self, key: &QueueKey) -> Option<&Queue> {
        let named = self.queue(&key.name);
        let Some(address) = &key.address else {
            return named;
        };
        let is_there = |queue: &&Queue| queue.has_address(address);
        let at_address = named.filter(is_there);
        at_address
            .or_else(|| self.queues.iter().find(is_there))
            .or(named)
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
