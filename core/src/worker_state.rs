//! The leader's state of one worker.

use crate::{consts, Claim, Class, Host, Millis, Resources, TaskId, TeamName, UnitKind};
use std::collections::BTreeMap;

/// The state of the connection to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// There is no connection.
    Down {
        /// When the next connection attempt is due.
        retry_ms: Millis,
    },
    /// A connection is being opened.
    Opening {
        /// The time of the attempt.
        since_ms: Millis,
    },
    /// A claim was sent and is not answered yet.
    Claiming {
        /// When it was sent.
        since_ms: Millis,
    },
    /// The worker accepted the claim.
    Ready,
}

/// A task that runs or may be running on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The request or task that it runs; `None` if the leader has no record of it.
    pub unit: Option<UnitKind>,
    /// The team whose limit it counts against.
    pub team: TeamName,
    /// The resources that it takes.
    pub need: Resources,
    /// When this daemon started or adopted it, on this daemon's clock.
    pub since_ms: Millis,
    /// Whether it runs a request, whose caller waits for the answer.
    pub is_request: bool,
}

/// The leader's state of one worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// The worker's latest entry in the host list. A claim replaces its capacity by the one that
    /// the worker reports.
    pub host: Host,
    /// The index of its rack in the fleet.
    pub rack: usize,
    /// Whether it is on the host list.
    pub listed: bool,
    /// The connection's state.
    pub link: Link,
    /// The number of the latest connection.
    pub link_number: u64,
    /// The latest claim.
    pub claim: Claim,
    /// Whether the worker accepted a claim of this term.
    pub claimed: bool,
    /// The worker's incarnation, which changes with each start.
    pub incarnation: Option<u64>,
    /// The resources that the tasks take.
    pub used: Resources,
    /// The dominant share of the capacity that the tasks take, in millionths.
    fullness_ppm: u64,
    /// The room that is reserved for work that does not fit yet.
    pub reserved: Resources,
    /// The resources that the requests among the tasks take.
    pub request_usage: Resources,
    /// The tasks that run or may be running.
    pub tasks: BTreeMap<TaskId, Running>,
    /// The number of requests among the tasks.
    pub running_requests: u32,
    /// When the worker last sent a report.
    pub last_report_ms: Millis,
    /// When the latest renewal or claim was sent. The tasks' leases end at most
    /// [`consts::TASK_EXPIRY_MS`] later.
    pub last_renewal_ms: Millis,
    /// When the oldest unanswered renewal or claim was sent.
    pub unanswered_since_ms: Millis,
    /// The number of failures since the last success, of work that succeeded elsewhere.
    pub failures: u32,
    /// The number of failures since the last success that may be due to the worker or to the work.
    pub unattributed_failures: u32,
    /// Until when the worker is in quarantine and gets no work.
    pub quarantined_until_ms: Millis,
}

impl WorkerState {
    /// Returns the state of a newly listed worker.
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

    /// Returns whether new work may be placed on the worker. After a quarantine it gets one task at
    /// a time until one succeeds.
    pub fn accepts_work(&self, now_ms: Millis) -> bool {
        let probing = self.failures >= consts::QUARANTINE_FAILURES && !self.tasks.is_empty();
        self.link == Link::Ready
            && self.listed
            && !self.host.leaving
            && self.quarantined_until_ms <= now_ms
            && !probing
    }

    /// Returns the free resources.
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

    /// Sets the capacity that the worker reported.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.host.capacity = capacity;
        self.set_used(self.used);
    }

    /// Sets the worker's entry in the host list.
    pub fn set_host(&mut self, host: Host) {
        self.host = host;
        self.set_used(self.used);
    }

    /// Returns whether room is reserved here for work that does not fit yet.
    pub fn is_reserved(&self) -> bool {
        self.reserved != Resources::default()
    }

    /// Returns the free resources for work of a class. Reserved room and the headroom count as free
    /// only for small requests.
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

    /// Removes all tasks.
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
