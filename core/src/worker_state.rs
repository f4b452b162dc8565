//! What a keeper knows of one worker.

use crate::{consts, Claim, Class, Host, Millis, Resources, TaskId, TeamName, UnitKind};
use std::collections::BTreeMap;

/// The state of the connection to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Not connected; the next attempt is due at the given time.
    Down {
        /// When to try again.
        retry_ms: Millis,
    },
    /// A connection is being opened.
    Opening {
        /// Since when.
        since_ms: Millis,
    },
    /// The claim is sent and not answered.
    Claiming {
        /// Since when.
        since_ms: Millis,
    },
    /// The worker is under this daemon's command.
    Ready,
}

/// A task that runs, or may run, on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// What the task belongs to; `None` for one that nobody waits for.
    pub unit: Option<UnitKind>,
    /// The team that pays for it.
    pub team: TeamName,
    /// What it takes.
    pub need: Resources,
    /// When it was started, on this daemon's clock.
    pub since_ms: Millis,
    /// Whether a caller waits for its output.
    pub is_request: bool,
}

/// What a keeper knows of one worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// The worker as the host list shows it.
    pub host: Host,
    /// The place of its rack among the fleet's racks.
    pub rack: usize,
    /// Whether the host list still shows it.
    pub listed: bool,
    /// The connection's state.
    pub link: Link,
    /// Counts the connections.
    pub link_number: u64,
    /// The claim in use.
    pub claim: Claim,
    /// Whether the worker accepted a claim of this term.
    pub claimed: bool,
    /// Changes whenever the worker starts anew.
    pub incarnation: Option<u64>,
    /// What the tasks take.
    pub used: Resources,
    /// The dominant share of the capacity that the tasks take.
    fullness_ppm: u64,
    /// What is kept for work that does not fit yet.
    pub reserved: Resources,
    /// What the requests among the tasks take.
    pub request_usage: Resources,
    /// The tasks that run or may run.
    pub tasks: BTreeMap<TaskId, Running>,
    /// The tasks among them for which a caller waits.
    pub running_requests: u32,
    /// When the worker was last heard.
    pub last_report_ms: Millis,
    /// When the latest renewal was sent; the tasks' leases count from no later.
    pub last_renewal_ms: Millis,
    /// When the oldest unanswered renewal was sent.
    pub unanswered_since_ms: Millis,
    /// The failures of work that succeeded elsewhere, since the last success.
    pub failures: u32,
    /// The failures since the last success of which nobody knows whether the work is to blame.
    pub unattributed_failures: u32,
    /// Until when the worker gets no work.
    pub quarantined_until_ms: Millis,
}

impl WorkerState {
    /// Makes the state of a worker that was just listed.
    pub fn new(host: Host, rack: usize) -> Self {
        Self {
            host,
            rack,
            listed: true,
            link: Link::Down {
                retry_ms: Millis(0),
            },
            link_number: 0,
            claim: Claim::default(),
            claimed: false,
            incarnation: None,
            used: Resources::default(),
            fullness_ppm: 0,
            reserved: Resources::default(),
            request_usage: Resources::default(),
            tasks: BTreeMap::new(),
            running_requests: 0,
            last_report_ms: Millis(0),
            last_renewal_ms: Millis(0),
            unanswered_since_ms: Millis(0),
            failures: 0,
            unattributed_failures: 0,
            quarantined_until_ms: Millis(0),
        }
    }

    /// Says whether new work may go to the worker.
    pub fn accepts_work(&self, now_ms: Millis) -> bool {
        let probing = self.failures >= consts::QUARANTINE_FAILURES && !self.tasks.is_empty();
        self.link == Link::Ready
            && self.listed
            && !self.host.leaving
            && self.quarantined_until_ms <= now_ms
            && !probing
    }

    /// Returns what is free.
    pub fn free(&self) -> Resources {
        self.host.capacity.minus(self.used)
    }

    /// Returns the dominant share of the capacity that the tasks take, in millionths.
    pub const fn fullness_ppm(&self) -> u64 {
        self.fullness_ppm
    }

    fn set_used(&mut self, used: Resources) {
        self.used = used;
        self.fullness_ppm = used.dominant_share_ppm(&self.host.capacity);
    }

    /// Takes over what the worker itself says that it has.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.host.capacity = capacity;
        self.set_used(self.used);
    }

    /// Takes over a reading of the host list.
    pub fn set_host(&mut self, host: Host) {
        self.host = host;
        self.set_used(self.used);
    }

    /// Says whether room is kept here for work that does not fit yet.
    pub fn is_reserved(&self) -> bool {
        self.reserved != Resources::default()
    }

    /// Returns what is free for work of a class, where small questions have some headroom.
    pub fn free_for(&self, class: Class, headroom: Resources) -> Resources {
        match class {
            Class::Small => self.free(),
            _ => {
                let kept = self.reserved.plus(headroom.minus(self.request_usage));
                self.free().minus(kept)
            }
        }
    }

    /// Adds a task.
    pub fn add(&mut self, task: TaskId, running: Running) {
        self.set_used(self.used.plus(running.need));
        if running.is_request {
            self.request_usage = self.request_usage.plus(running.need);
        }
        self.running_requests += u32::from(running.is_request);
        self.tasks.insert(task, running);
    }

    /// Forgets all tasks.
    pub fn clear_tasks(&mut self) {
        self.tasks.clear();
        self.running_requests = 0;
        self.request_usage = Resources::default();
        self.set_used(Resources::default());
    }

    /// Removes a task.
    pub fn remove(&mut self, task: &TaskId) -> Option<Running> {
        let running = self.tasks.remove(task)?;
        self.set_used(self.used.minus(running.need));
        if running.is_request {
            self.request_usage = self.request_usage.minus(running.need);
        }
        self.running_requests -= u32::from(running.is_request);
        Some(running)
    }
}
