//! The reducer: one function from an event to effects, over all state of a daemon.

mod adoption;
mod calls;
mod commits;
mod config_feed;
mod drain;
mod health;
mod job_record;
mod jobs;
mod judge;
mod keeper;
mod members;
mod moves;
mod notes;
mod orphans;
mod overload;
mod request_state;
mod requests;
mod reserve;
mod schedule;
mod snapshots;
mod stale_members;
mod surplus;
mod tells;
mod turns;
mod views;
mod workers;

use crate::{
    consts, CallId, Config, CoreSettings, DaemonId, DecisionEvent, Effect, Event, Fleet, Freshness,
    JobId, Limits, Millis, ObjectReply, OpId, Origin, PendingQueues, Query, RequestId, RetryBudget,
    Revision, ServiceTime, ShareMeter, SnapshotRow, TableReply, TeamName, Txn,
};
use std::collections::BTreeMap;

/// All state of a daemon and every decision on it.
///
/// ```
/// use pomelotide_core::{Core, CoreSettings, DaemonId, DomainName, Effect, Event, Millis};
/// let settings = CoreSettings {
///     daemon: DaemonId::new("saiss-1.0"),
///     domain: DomainName::new("saiss"),
///     address: "127.0.0.1:7101".into(),
///     drain_grace_ms: Millis(1_000),
/// };
/// let mut core = Core::new(settings);
/// let effects = core.step(Millis(0), Event::Tick);
/// assert!(effects.contains(&Effect::ReadHosts));
/// ```
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    now_ms: Millis,
    out: Vec<Effect>,
    next_scan_ms: Millis,
    next_surplus_ms: Millis,
    ops: BTreeMap<OpId, Op>,
    last_op: OpId,
    table_ok_ms: Millis,
    config: Config,
    feed: config_feed::ConfigFeed,
    notes: notes::Notes,
    freshness: Freshness,
    limits: Limits,
    moves: moves::Moves,
    members: members::Members,
    role: keeper::Role,
    fleet: Fleet,
    next_hosts_ms: Millis,
    queues: PendingQueues,
    reserved: Vec<reserve::Reservation>,
    share_meter: ShareMeter,
    last_pass_ms: Millis,
    service_time: ServiceTime,
    calls: BTreeMap<CallId, calls::Call>,
    requests: BTreeMap<RequestId, request_state::RequestState>,
    jobs: BTreeMap<JobId, job_record::JobRecord>,
    adoption: adoption::Adoption,
    orphans: BTreeMap<RequestId, orphans::Orphan>,
    /// The unanswered request of each call.
    asked: BTreeMap<Origin, RequestId>,
    commits: commits::Commits,
    budget: RetryBudget,
    /// When a request of each team last succeeded.
    succeeded_ms: BTreeMap<TeamName, Millis>,
    drain: drain::Drain,
    health: health::Health,
}

/// Why a table operation was begun.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Op {
    PollHead { sent_ms: Millis },
    PollDeltas { sent_ms: Millis },
    PollSnapshotRow { sent_ms: Millis },
    PollSnapshot { wanted: Revision },
    PutSnapshot { revision: Revision },
    WriteSnapshot { row: SnapshotRow },
    WriteNote,
    WriteMove,
    ReadMembers,
    WriteMember,
    ReadKeeper,
    WriteKeeper,
    ReadJobs,
    Commit,
    ReadBack,
    JobState { call: CallId },
}

impl Op {
    /// Says whether the answer means nothing once the keeper's term is over.
    const fn belongs_to_term(&self) -> bool {
        matches!(
            self,
            Op::ReadKeeper | Op::WriteKeeper | Op::ReadJobs | Op::Commit | Op::ReadBack
        )
    }
}

impl Core {
    /// Makes the state of a daemon that just started.
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            settings,
            now_ms: Millis(0),
            out: Vec::new(),
            next_scan_ms: Millis(0),
            next_surplus_ms: Millis(0),
            ops: BTreeMap::new(),
            last_op: OpId(0),
            table_ok_ms: Millis(0),
            config: Config::default(),
            feed: config_feed::ConfigFeed::default(),
            notes: notes::Notes::default(),
            freshness: Freshness::default(),
            limits: Limits::default(),
            moves: moves::Moves::default(),
            members: members::Members::default(),
            role: keeper::Role::default(),
            fleet: Fleet::default(),
            next_hosts_ms: Millis(0),
            queues: PendingQueues::default(),
            reserved: Vec::new(),
            share_meter: ShareMeter::default(),
            last_pass_ms: Millis(0),
            service_time: ServiceTime::default(),
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            adoption: adoption::Adoption::default(),
            orphans: BTreeMap::new(),
            asked: BTreeMap::new(),
            commits: commits::Commits::default(),
            budget: RetryBudget::default(),
            succeeded_ms: BTreeMap::new(),
            drain: drain::Drain::default(),
            health: health::Health::default(),
        }
    }

    /// Takes in one event and returns what is to be done.
    ///
    /// `now_ms` is the daemon's monotonic clock and never goes back.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Effect> {
        self.now_ms = now_ms.max(self.now_ms);
        self.take_in(event);
        std::mem::take(&mut self.out)
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::RequestArrived { call, request } => self.on_request_arrived(call, request),
            Event::JobArrived {
                call,
                request,
                key,
                spec,
            } => {
                self.on_job_arrived(call, request, key, spec);
            }
            Event::JobAsked { call, job } => self.on_job_state_query(call, job),
            Event::CancelArrived { call, job, key } => self.on_cancel_arrived(call, job, key),
            Event::NoteArrived { call, note } => self.note_arrived(call, note),
            Event::CallDropped { call } => self.on_call_dropped(call),
            Event::PeerHeard { from, message } => self.peer_heard(&from, message),
            Event::WorkerLinked { worker, link } => self.worker_linked(&worker, link),
            Event::WorkerUnlinked { worker, link } => self.worker_unlinked(&worker, link),
            Event::WorkerHeard {
                worker,
                link,
                report,
            } => {
                self.worker_heard(&worker, link, report);
            }
            Event::TableAnswered { op, reply } => self.table_answered(op, reply),
            Event::ObjectAnswered { op, reply } => self.object_answered(op, reply),
            Event::HostsRead { hosts } => self.hosts_read(hosts),
            Event::HostsUnchanged => self.record_hosts_read(),
            Event::DrainAsked => self.on_drain_requested(),
        }
    }

    fn tick(&mut self) {
        self.tick_config_feed();
        self.tick_members();
        self.tick_keeper();
        self.tick_commits();
        self.tick_moves();
        if self.next_scan_ms <= self.now_ms {
            self.next_scan_ms = self.now_ms + consts::SCAN_INTERVAL_MS;
            self.scan();
        }
        self.tick_drain();
    }

    fn scan(&mut self) {
        if self.limits.apply_due_increases(self.now_ms) {
            self.schedule_all();
        }
        self.scan_hosts();
        self.scan_workers();
        self.scan_requests();
        self.scan_adoption();
        self.scan_calls();
        self.scan_notes();
        self.scan_surplus();
        self.scan_health();
        self.sample_shares();
        self.start_reserved(None);
        self.schedule_waiting();
        self.schedule_rested();
    }

    fn table_answered(&mut self, op: OpId, reply: TableReply) {
        let Some(purpose) = self.ops.remove(&op) else {
            return;
        };
        if !matches!(reply, TableReply::Refused | TableReply::Lost) {
            self.table_ok_ms = self.now_ms;
        }
        match purpose {
            Op::PollHead { sent_ms } => self.on_head_read(sent_ms, reply),
            Op::PollDeltas { sent_ms } => self.on_deltas_read(sent_ms, reply),
            Op::PollSnapshotRow { sent_ms } => self.on_snapshot_row_read(sent_ms, reply),
            Op::WriteSnapshot { row } => self.on_snapshot_row_written(row, reply),
            Op::PollSnapshot { .. } | Op::PutSnapshot { .. } => {}
            Op::WriteMove => self.move_written(reply),
            Op::WriteNote => self.note_written(reply),
            Op::ReadMembers => self.members_read(reply),
            Op::WriteMember => {}
            Op::ReadKeeper => self.keeper_read(reply),
            Op::WriteKeeper => self.keeper_written(reply),
            Op::ReadJobs => self.on_jobs_read(reply),
            Op::Commit => self.on_commit_reply(reply),
            Op::ReadBack => self.on_commit_read_back(reply),
            Op::JobState { call } => self.on_job_state_read(call, reply),
        }
    }

    fn object_answered(&mut self, op: OpId, reply: ObjectReply) {
        match self.ops.remove(&op) {
            Some(Op::PollSnapshot { wanted }) => self.on_snapshot_read(wanted, reply),
            Some(Op::PutSnapshot { revision }) => self.on_snapshot_stored(revision, reply),
            _ => {}
        }
    }

    fn write(&mut self, purpose: Op, txn: Txn) {
        let op = self.begin(purpose);
        self.out.push(Effect::Write { op, txn });
    }

    fn read(&mut self, purpose: Op, query: Query) {
        let op = self.begin(purpose);
        self.out.push(Effect::Read { op, query });
    }

    fn begin(&mut self, purpose: Op) -> OpId {
        self.last_op = self.last_op.next();
        self.ops.insert(self.last_op, purpose);
        self.last_op
    }

    fn tell(&mut self, told: DecisionEvent) {
        self.out.push(Effect::Log(told));
    }

    fn me(&self) -> &DaemonId {
        &self.settings.daemon
    }

    /// Returns the configuration that the daemon acts on.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns what a team may have running in this failure domain, at its keeper.
    pub fn spendable_here(&self, team: &TeamName) -> crate::Resources {
        self.spendable(team)
    }

    /// Returns the failure domain's workers as the daemon knows them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Says whether the daemon honours keys now.
    pub fn is_fresh(&self) -> bool {
        self.freshness.is_fresh(self.now_ms)
    }

    /// Returns a summary for operators.
    pub fn status(&self) -> crate::Status {
        crate::Status {
            daemon: self.settings.daemon.clone(),
            domain: self.settings.domain.clone(),
            leader: self.keeper_name(),
            revision: self.config.revision(),
            fresh: self.is_fresh(),
            workers: self.fleet.iter().filter(|worker| worker.listed).count(),
            workers_ready: self
                .fleet
                .iter()
                .filter(|w| w.accepts_work(self.now_ms))
                .count(),
            tasks_running: self.fleet.iter().map(|worker| worker.tasks.len()).sum(),
            pending: crate::Class::ALL
                .iter()
                .map(|(class, _)| self.queues.len(*class))
                .sum(),
            open_calls: self.calls.len(),
            draining: self.drain.is_requested(),
        }
    }
}
