//! One worker as the leader sees it.

use crate::{
    cell::{Incarnation, OrderId, TaskKey, WorkerEntry},
    JobId, Millis, Resources, TeamName,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How far a run is, as far as orders and lists tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// Its placement is this edit of the job's progress; its start is ordered once that is on record.
    Placed(u64),
    /// Its start was ordered and not answered.
    Ordered,
    /// The answer to its start was lost at this time.
    Unconfirmed(Millis),
    /// It runs.
    Active,
    /// It is to be stopped; the order is repeated from this time on.
    Stopping(Millis),
}

/// A run that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamName>,
    pub(crate) phase: RunPhase,
    /// When the last order on it was answered; a later list without it means that it is over.
    pub(crate) confirmed_at: Option<Millis>,
    pub(crate) percent: u8,
    pub(crate) checkpoint: Option<CompactString>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    pub(crate) listed: bool,
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether its lists were read under this leader's token.
    pub(crate) has_reported: bool,
    /// A time of its clock and of the leader's.
    pub(crate) clock: Option<(Millis, Millis)>,
    pub(crate) poll: Option<OrderId>,
    /// A second look that does not wait, where the first may wait for long.
    pub(crate) quick_poll: Option<OrderId>,
    pub(crate) needs_quick_poll: bool,
    pub(crate) next_poll_at: Millis,
    pub(crate) failed_polls: u32,
    pub(crate) answered_at: Millis,
    /// The last end that was seen, and the last that is on record.
    pub(crate) last_end_seen: u64,
    pub(crate) last_end_stored: u64,
    /// The jobs whose progress has to be written before `seen` may be acknowledged.
    pub(crate) unstored: Vec<(JobId, u64)>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    pub(crate) reserved: Resources,
    /// After this time no run of before can be alive without an answer.
    pub(crate) lease_expires_at: Millis,
    pub(crate) backoff_until: Millis,
    /// Runs on it that nobody knows, since this time.
    pub(crate) unknown_runs_since: Option<Millis>,
    /// How many runs in a row have failed on it.
    pub(crate) failures: u32,
    /// Until when it gets no work, since all that it ran has failed.
    pub(crate) quarantined_until: Millis,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            listed: true,
            incarnation: None,
            has_reported: false,
            clock: None,
            poll: None,
            quick_poll: None,
            needs_quick_poll: false,
            next_poll_at: Millis(0),
            failed_polls: 0,
            answered_at: Millis(0),
            last_end_seen: 0,
            last_end_stored: 0,
            unstored: Vec::new(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            reserved: Resources::default(),
            lease_expires_at: Millis(0),
            backoff_until: Millis(0),
            unknown_runs_since: None,
            failures: 0,
            quarantined_until: Millis(0),
        }
    }

    /// Returns the room that nothing takes or is kept for.
    pub(crate) fn free(&self) -> Resources {
        self.entry.room.minus(self.used.plus(self.reserved))
    }

    /// Says whether work may start on it now.
    pub(crate) fn is_usable(&self, now: Millis, clock_age_ms: Millis) -> bool {
        let has_recent_clock = self
            .clock
            .is_some_and(|(_, at)| now.since(at) < clock_age_ms);
        let is_reachable = self.listed && self.has_reported && self.failed_polls == 0;
        let is_backed_off = now < self.backoff_until || now < self.quarantined_until;
        let accepts_work = !self.entry.draining && !is_backed_off;
        has_recent_clock && is_reachable && accepts_work && self.unknown_runs_since.is_none()
    }

    /// Returns the time of its clock by the last answer; the true time is never earlier.
    pub(crate) fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(clock, at)| clock + now.since(at))
    }

    /// Says whether it has a label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Returns the rack, the last of the labels.
    pub(crate) fn rack(&self) -> Option<&CompactString> {
        self.entry.labels.last()
    }
}
