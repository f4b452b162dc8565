//! One worker as the leader sees it.

use crate::{
    cell::{Incarnation, RpcId, TaskKey, WorkerEntry},
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
    Unsure(Millis),
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
    pub(crate) settled_at: Option<Millis>,
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
    pub(crate) contact: bool,
    /// A time of its clock and of the leader's.
    pub(crate) clock: Option<(Millis, Millis)>,
    pub(crate) look: Option<RpcId>,
    /// A second look that does not wait, where the first may wait for long.
    pub(crate) quick_look: Option<RpcId>,
    pub(crate) wants_quick_look: bool,
    pub(crate) next_look_at: Millis,
    pub(crate) lost_looks: u32,
    pub(crate) answered_at: Millis,
    /// The last end that was seen, and the last that is on record.
    pub(crate) seen: u64,
    pub(crate) stored: u64,
    /// The jobs whose progress has to be written before `seen` may be acknowledged.
    pub(crate) unstored: Vec<(JobId, u64)>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    pub(crate) reserved: Resources,
    /// After this time no run of before can be alive without an answer.
    pub(crate) lease_over_at: Millis,
    pub(crate) rest_until: Millis,
    /// Runs on it that nobody knows, since this time.
    pub(crate) foreign_since: Option<Millis>,
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
            contact: false,
            clock: None,
            look: None,
            quick_look: None,
            wants_quick_look: false,
            next_look_at: Millis(0),
            lost_looks: 0,
            answered_at: Millis(0),
            seen: 0,
            stored: 0,
            unstored: Vec::new(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            reserved: Resources::default(),
            lease_over_at: Millis(0),
            rest_until: Millis(0),
            foreign_since: None,
            failures: 0,
            quarantined_until: Millis(0),
        }
    }

    /// Returns the room that nothing takes or is kept for.
    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.minus(self.used.plus(self.reserved))
    }

    /// Says whether work may start on it now.
    pub(crate) fn is_usable(&self, now: Millis, clock_age_ms: Millis) -> bool {
        let clock = self
            .clock
            .is_some_and(|(_, at)| now.since(at) < clock_age_ms);
        let sound = self.listed && self.contact && self.lost_looks == 0;
        let rests = now < self.rest_until || now < self.quarantined_until;
        let willing = !self.entry.draining && !rests;
        clock && sound && willing && self.foreign_since.is_none()
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
