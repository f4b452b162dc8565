//! The leader's state of one worker and its runs.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        domain_refill::Refill,
        leader::{
            entry_pair::{EntryPair, PairedEntry, PairedIncarnation},
            wait::Pool,
        },
        Incarnation, LogEvent, RpcId, TaskKey, WorkerEntry,
    },
    JobId, Millis, Resources, TeamName, WorkerId,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How long a worker may list active runs that can't be read before its lease is no longer renewed;
/// longer than a poll waits.
const UNREADABLE_RUN_GRACE_MS: Millis = Millis(2_500);

/// The phase of a run, as known from answered calls and the lists of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// It was placed by the change of the job's progress with this number; its start is sent once
    /// that change is stored.
    Placed(u64),
    /// Its start was sent and has not been answered.
    Starting,
    /// The call to start it counted as lost at this time.
    Unconfirmed(Millis),
    /// It is running.
    Active,
    /// It is to be stopped; the stop is repeated from this time on.
    Stopping(Millis),
}

/// Whether the end of a worker's lease is recorded with its placements. The next leader relies on a
/// recorded end, so the lease is not renewed before the record is cleared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LeaseRecord {
    None,
    /// It ends at this time by the store's clock.
    EndsAt(Millis),
    /// The record is cleared once these changes of jobs are stored.
    Clearing(Vec<(JobId, u64)>),
}

impl LeaseRecord {
    /// Returns the recorded end of the lease.
    pub(crate) fn ends_ms(&self) -> Option<Millis> {
        match self {
            Self::EndsAt(ends_ms) => Some(*ends_ms),
            Self::None | Self::Clearing(_) => None,
        }
    }
}

/// A run that occupies room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamName>,
    pub(crate) phase: RunPhase,
    /// Since when it has been in this phase; repeated stops do not change it.
    pub(crate) phase_since: Millis,
    /// When its start or stop was last confirmed; if a list requested later lacks it, it has ended.
    pub(crate) confirmed_at: Option<Millis>,
    pub(crate) percent: u8,
    pub(crate) checkpoint: Option<CompactString>,
}

impl RunPhase {
    /// Returns the name of the phase in log events.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Placed(_) => "placed",
            Self::Starting => "starting",
            Self::Unconfirmed(_) => "unconfirmed",
            Self::Active => "active",
            Self::Stopping(_) => "stopping",
        }
    }
}

impl Run {
    pub(crate) fn set_phase(&mut self, phase: RunPhase, now: Millis) {
        if self.phase.name() != phase.name() {
            self.phase_since = now;
        }
        self.phase = phase;
    }
}

/// A worker, as recorded by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    entry: EntryPair,
    /// Whether the store's table of workers lists it.
    pub(crate) listed: bool,
    /// When its first list of this incarnation arrived; a list of another incarnation that was
    /// requested before is outdated.
    pub(crate) incarnation_seen_at: Millis,
    /// Whether it has listed its runs under this leader's token.
    pub(crate) has_reported: bool,
    /// A reading of its clock, and the leader's time when that arrived.
    pub(crate) clock: Option<(Millis, Millis)>,
    /// The open poll, which may wait at the worker.
    pub(crate) poll: Option<RpcId>,
    /// A second poll that does not wait, sent while the first may wait for long.
    pub(crate) quick_poll: Option<RpcId>,
    pub(crate) needs_quick_poll: bool,
    pub(crate) next_poll_at: Millis,
    /// How many polls have failed in a row.
    pub(crate) failed_polls: u32,
    /// How many polls in a row it answered before half of their wait without a new ended run.
    pub(crate) early_answers: u32,
    pub(crate) answered_at: Millis,
    /// The number of the last ended run that it listed.
    pub(crate) last_end_seen: u64,
    /// The number of the last ended run that may be acknowledged, because its effect is stored.
    pub(crate) last_end_stored: u64,
    /// The number of the last ended run that was acknowledged; zero once that poll is lost.
    pub(crate) last_end_acknowledged: u64,
    /// The changes of jobs that must be stored before `last_end_seen` may be acknowledged.
    pub(crate) unstored: Vec<(JobId, u64)>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    /// The room reserved for tasks whose call for tickets is under way.
    pub(crate) reserved: Resources,
    /// When its lease expires: if it has not answered by then, none of its runs is active any more.
    pub(crate) lease_expires_at: Millis,
    pub(crate) lease_record: LeaseRecord,
    /// Whether its lease was last renewed while the leader's own lease was not valid.
    pub(crate) has_capped_lease: bool,
    /// After a refused or lost call, it gets no work before this time.
    pub(crate) backoff_until: Millis,
    /// The time since which it has been listing runs that belong to no known task.
    pub(crate) unknown_runs_since: Option<Millis>,
    /// The time since which it has been listing active runs that can't be read.
    pub(crate) unreadable_since: Option<Millis>,
    /// Whether its last list had ended runs whose position can't be read.
    pub(crate) has_unnumbered_ends: bool,
    /// Whether it may hold ended runs that its last list did not name.
    pub(crate) has_more_ends: bool,
    /// How many of its runs have failed in a row.
    pub(crate) failures: u32,
    /// It gets no work before this time because its last runs have all failed.
    pub(crate) quarantined_until: Millis,
    /// Whether its domain is drained: nothing may start on it.
    pub(crate) is_drained: bool,
    /// Its part in the refill of its domain, if that was drained before.
    pub(crate) refill: Option<Refill>,
    /// Until when its runs are expected to be slower than usual.
    pub(crate) cold_until: Millis,
    /// Whether tasks could start on it when that was last noted.
    pub(crate) was_usable: bool,
    /// How often steps were woken for its room since that last changed, while none started on it.
    pub(crate) fruitless_wakes: u32,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry) -> Self {
        Self {
            entry: EntryPair::new(entry),
            listed: true,
            incarnation_seen_at: Millis(0),
            has_reported: false,
            clock: None,
            poll: None,
            quick_poll: None,
            needs_quick_poll: false,
            next_poll_at: Millis(0),
            failed_polls: 0,
            early_answers: 0,
            answered_at: Millis(0),
            last_end_seen: 0,
            last_end_stored: 0,
            last_end_acknowledged: 0,
            unstored: Vec::new(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            reserved: Resources::default(),
            lease_expires_at: Millis(0),
            lease_record: LeaseRecord::None,
            has_capped_lease: false,
            backoff_until: Millis(0),
            unknown_runs_since: None,
            unreadable_since: None,
            has_unnumbered_ends: false,
            has_more_ends: false,
            failures: 0,
            quarantined_until: Millis(0),
            is_drained: false,
            refill: None,
            cold_until: Millis(0),
            was_usable: false,
            fruitless_wakes: 0,
        }
    }

    /// Returns the failure domain that its entry states.
    pub(crate) fn domain(&self) -> &CompactString {
        self.entry.domain()
    }

    /// Returns its id.
    pub(crate) fn id(&self) -> &WorkerId {
        self.entry.id()
    }

    /// Returns the address for calls to it.
    pub(crate) fn address(&self) -> &CompactString {
        self.entry.address()
    }

    /// Returns the incarnation of its latest report.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.entry.reported()
    }

    /// Returns the incarnation that its entry states.
    pub(crate) fn listed_incarnation(&self) -> Option<Incarnation> {
        self.entry.listed()
    }

    /// Returns its entry if that belongs to the incarnation that reports.
    pub(crate) fn paired(&self) -> Option<PairedEntry<'_>> {
        self.entry.paired()
    }

    /// Returns the incarnation that reports, if its entry belongs to that one.
    pub(crate) fn paired_incarnation(&self) -> Option<PairedIncarnation> {
        self.entry.paired_incarnation()
    }

    /// Returns its entry and the incarnation of its reports, to be changed by the fleet, which keeps the
    /// workers by their free room.
    pub(crate) fn entry_mut(&mut self) -> &mut EntryPair {
        &mut self.entry
    }

    /// Returns its capacity; nothing while its entry is that of another incarnation.
    pub(crate) fn capacity(&self) -> Resources {
        self.paired()
            .map_or(Resources::default(), |entry| entry.capacity)
    }

    /// Returns the room that is neither used nor reserved.
    pub(crate) fn free(&self) -> Resources {
        self.capacity().minus(self.used.plus(self.reserved))
    }

    /// Returns whether its capacity, which changes with its entry, covers what is used and reserved.
    pub(crate) fn has_reserved_room(&self) -> bool {
        self.used.plus(self.reserved).fits(&self.capacity())
    }

    /// Returns whether tasks may start on it now; its clock reading must be newer than
    /// `clock_age_ms`.
    pub(crate) fn is_usable(&self, now: Millis, clock_age_ms: Millis) -> bool {
        let has_recent_clock = self
            .clock
            .is_some_and(|(_, at)| now.since(at) < clock_age_ms);
        let is_reachable = self.listed && self.has_reported && self.failed_polls == 0;
        let is_backed_off = now < self.backoff_until || now < self.quarantined_until;
        let may_renew = self.lease_record == LeaseRecord::None;
        let is_open = self.paired().is_some_and(|entry| !entry.draining);
        let accepts_work = is_open && !is_backed_off && may_renew;
        let lists_only_known_runs =
            self.unknown_runs_since.is_none() && self.unreadable_since.is_none();
        has_recent_clock
            && is_reachable
            && accepts_work
            && lists_only_known_runs
            && self.is_offered(now)
    }

    /// Returns whether its domain is not drained and, after a drain, work is offered to it again.
    fn is_offered(&self, now: Millis) -> bool {
        let is_refilled = |refill: Refill| refill.is_offered(now, self.cold_until);
        !self.is_drained && self.refill.is_none_or(is_refilled)
    }

    /// Notes how long it stays slow by its entry, which was written a moment before `now`.
    pub(crate) fn set_cold(&mut self, now: Millis) {
        let cold_ms = self.entry.cold_remaining_ms();
        self.cold_until = match cold_ms {
            Millis(0) => Millis(0),
            cold_ms => now + cold_ms,
        };
    }

    /// Returns whether its runs are expected to be slower than usual.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether it has listed active runs that can't be read for so long that its lease should
    /// expire: such a list does not show which runs are missing.
    pub(crate) fn should_lapse(&self, now: Millis) -> bool {
        self.unreadable_since
            .is_some_and(|since| now.since(since) > UNREADABLE_RUN_GRACE_MS)
    }

    /// Counts an early answer without a new ended run; any other answer resets the count.
    pub(crate) fn count_early_answer(&mut self, is_early: bool) {
        self.early_answers = match is_early {
            true => self.early_answers.saturating_add(1),
            false => 0,
        };
    }

    /// Returns the pause between an answered poll and the next one.
    pub(crate) fn poll_pause_ms(&self) -> Millis {
        if self.lease_record != LeaseRecord::None {
            return consts::POLL_RETRY_DELAY_MS;
        }
        match (self.runs.is_empty(), self.unstored.is_empty()) {
            (_, false) => consts::UNSTORED_POLL_INTERVAL_MS,
            (true, true) => consts::IDLE_POLL_INTERVAL_MS,
            _ if self.early_answers >= consts::MAX_EARLY_ANSWERS => consts::POLL_RETRY_DELAY_MS,
            (false, true) => Millis(0),
        }
    }

    /// Estimates its clock at a time before or after the last reading; the true clock is never behind the
    /// estimate. Returns `None` for a time before the clock began.
    pub(crate) fn clock_at(&self, time: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let clock_ms = (clock + time.since(at)).0.checked_sub(at.since(time).0)?;
        Some(Millis(clock_ms))
    }

    /// Returns the pools that it is in.
    pub(crate) fn pools(&self) -> Vec<Pool> {
        let Some(entry) = self.paired() else {
            return Vec::new();
        };
        let labels = entry.labels.iter().cloned().map(Some);
        let pool = |label| Pool {
            service: entry.service.clone(),
            label,
        };
        std::iter::once(None).chain(labels).map(pool).collect()
    }

    /// Returns its rack.
    pub(crate) fn rack(&self) -> Option<&CompactString> {
        self.paired()?.rack()
    }
}

/// Logs that a worker's entry is that of another incarnation than its reports, if so: the worker gets no
/// work until they belong together.
pub(crate) fn log_unpaired(ctx: &mut Ctx, worker: &Worker) {
    if worker.paired().is_some() {
        return;
    }
    let number = |own: Option<Incarnation>| own.map_or(0, |own| own.0);
    let event = LogEvent::warn("entry_unpaired").with("worker", worker.id());
    let event = event.with("listed", number(worker.listed_incarnation()));
    ctx.log(event.with("reported", number(worker.incarnation())));
}
