//! The reducer of a daemon: [`Core::step`] takes one event and returns the effects to carry out.

mod adoption;
mod calls;
mod commits;
mod config_feed;
mod decision_log;
mod drain;
mod health;
mod job_record;
mod jobs;
mod leader;
mod members;
mod notes;
mod orphans;
mod overload;
mod quarantine;
mod request_state;
mod requests;
mod reservations;
mod schedule;
mod snapshots;
mod stale_members;
mod surplus;
mod team_order;
mod transfers;
mod views;
mod workers;

use crate::{
    consts, CallId, Config, CoreSettings, DaemonId, DecisionEvent, Effect, Event, Fleet, Freshness,
    JobId, Limits, Millis, ObjectReply, OpId, Origin, PendingQueues, Query, RequestId, RetryBudget,
    Revision, ServiceTime, ShareMeter, SnapshotRow, TableReply, TeamName, Txn,
};
use std::collections::BTreeMap;

/// The state of a daemon and its decision logic.
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
    effects: Vec<Effect>,
    next_scan_ms: Millis,
    next_surplus_scan_ms: Millis,
    ops: BTreeMap<OpId, PendingOp>,
    last_op: OpId,
    last_table_reply_ms: Millis,
    config: Config,
    feed: config_feed::ConfigFeed,
    notes: notes::ProposedNotes,
    freshness: Freshness,
    limits: Limits,
    transfers: transfers::Transfers,
    members: members::Members,
    role: leader::Role,
    fleet: Fleet,
    next_host_read_ms: Millis,
    queues: PendingQueues,
    reservations: Vec<reservations::Reservation>,
    share_meter: ShareMeter,
    last_pass_ms: Millis,
    service_time: ServiceTime,
    calls: BTreeMap<CallId, calls::Call>,
    requests: BTreeMap<RequestId, request_state::RequestState>,
    jobs: BTreeMap<JobId, job_record::JobRecord>,
    adoption: adoption::Adoption,
    orphans: BTreeMap<RequestId, orphans::Orphan>,
    /// The unanswered request of each origin.
    requests_by_origin: BTreeMap<Origin, RequestId>,
    commits: commits::Commits,
    retry_budget: RetryBudget,
    /// When a request of each team last succeeded.
    last_success_ms: BTreeMap<TeamName, Millis>,
    drain: drain::Drain,
    health: health::Health,
}

/// The purpose of a pending operation on the table or the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PendingOp {
    ReadHead { sent_ms: Millis },
    ReadDeltas { sent_ms: Millis },
    ReadSnapshotRow { sent_ms: Millis },
    GetSnapshotObject { wanted: Revision },
    PutSnapshotObject { revision: Revision },
    WriteSnapshotRow { row: SnapshotRow },
    WriteNote,
    WriteTransfer,
    ReadMembers,
    WriteMember,
    ReadLeader,
    WriteLeader,
    ReadJobs,
    WriteCommit,
    ReadBackCommit,
    ReadJobState { call: CallId },
}

impl PendingOp {
    /// Returns whether the operation belongs to the leader's term, so that its reply is ignored once
    /// the term has ended.
    const fn belongs_to_term(&self) -> bool {
        matches!(
            self,
            PendingOp::ReadLeader
                | PendingOp::WriteLeader
                | PendingOp::ReadJobs
                | PendingOp::WriteCommit
                | PendingOp::ReadBackCommit
        )
    }
}

impl Core {
    /// Creates the state of a daemon that has just started.
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            settings,
            now_ms: Millis(0),
            effects: Vec::new(),
            next_scan_ms: Millis(0),
            next_surplus_scan_ms: Millis(0),
            ops: BTreeMap::new(),
            last_op: OpId(0),
            last_table_reply_ms: Millis(0),
            config: Config::default(),
            feed: config_feed::ConfigFeed::default(),
            notes: notes::ProposedNotes::default(),
            freshness: Freshness::default(),
            limits: Limits::default(),
            transfers: transfers::Transfers::default(),
            members: members::Members::default(),
            role: leader::Role::default(),
            fleet: Fleet::default(),
            next_host_read_ms: Millis(0),
            queues: PendingQueues::default(),
            reservations: Vec::new(),
            share_meter: ShareMeter::default(),
            last_pass_ms: Millis(0),
            service_time: ServiceTime::default(),
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            adoption: adoption::Adoption::default(),
            orphans: BTreeMap::new(),
            requests_by_origin: BTreeMap::new(),
            commits: commits::Commits::default(),
            retry_budget: RetryBudget::default(),
            last_success_ms: BTreeMap::new(),
            drain: drain::Drain::default(),
            health: health::Health::default(),
        }
    }

    /// Handles one event and returns the effects to carry out.
    ///
    /// `now_ms` is the time on the daemon's monotonic clock.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Effect> {
        self.now_ms = now_ms.max(self.now_ms);
        self.handle(event);
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, event: Event) {
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
            Event::NoteArrived { call, note } => self.on_note_arrived(call, note),
            Event::CallDropped { call } => self.on_call_dropped(call),
            Event::PeerHeard { from, message } => self.on_peer_message(&from, message),
            Event::WorkerLinked { worker, link } => self.on_worker_linked(&worker, link),
            Event::WorkerUnlinked { worker, link } => self.on_worker_unlinked(&worker, link),
            Event::WorkerHeard {
                worker,
                link,
                report,
            } => {
                self.on_worker_report(&worker, link, report);
            }
            Event::TableAnswered { op, reply } => self.on_table_reply(op, reply),
            Event::ObjectAnswered { op, reply } => self.on_object_reply(op, reply),
            Event::HostsRead { hosts } => self.on_hosts_read(hosts),
            Event::HostsUnchanged => self.record_hosts_read(),
            Event::DrainAsked => self.on_drain_requested(),
        }
    }

    fn tick(&mut self) {
        self.tick_config_feed();
        self.tick_members();
        self.tick_role();
        self.tick_commits();
        self.tick_transfers();
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
        self.schedule_if_idle();
        self.schedule_after_quarantine();
    }

    fn on_table_reply(&mut self, op: OpId, reply: TableReply) {
        let Some(purpose) = self.ops.remove(&op) else {
            return;
        };
        if !matches!(reply, TableReply::Refused | TableReply::Lost) {
            self.last_table_reply_ms = self.now_ms;
        }
        match purpose {
            PendingOp::ReadHead { sent_ms } => self.on_head_read(sent_ms, reply),
            PendingOp::ReadDeltas { sent_ms } => self.on_deltas_read(sent_ms, reply),
            PendingOp::ReadSnapshotRow { sent_ms } => self.on_snapshot_row_read(sent_ms, reply),
            PendingOp::WriteSnapshotRow { row } => self.on_snapshot_row_written(row, reply),
            PendingOp::GetSnapshotObject { .. } | PendingOp::PutSnapshotObject { .. } => {}
            PendingOp::WriteTransfer => self.on_transfer_written(reply),
            PendingOp::WriteNote => self.on_note_written(reply),
            PendingOp::ReadMembers => self.on_members_read(reply),
            PendingOp::WriteMember => {}
            PendingOp::ReadLeader => self.on_leader_row_read(reply),
            PendingOp::WriteLeader => self.on_leader_row_written(reply),
            PendingOp::ReadJobs => self.on_jobs_read(reply),
            PendingOp::WriteCommit => self.on_commit_reply(reply),
            PendingOp::ReadBackCommit => self.on_commit_read_back(reply),
            PendingOp::ReadJobState { call } => self.on_job_state_read(call, reply),
        }
    }

    fn on_object_reply(&mut self, op: OpId, reply: ObjectReply) {
        match self.ops.remove(&op) {
            Some(PendingOp::GetSnapshotObject { wanted }) => self.on_snapshot_read(wanted, reply),
            Some(PendingOp::PutSnapshotObject { revision }) => {
                self.on_snapshot_stored(revision, reply)
            }
            _ => {}
        }
    }

    fn write(&mut self, purpose: PendingOp, txn: Txn) {
        let op = self.begin_op(purpose);
        self.effects.push(Effect::Write { op, txn });
    }

    fn read(&mut self, purpose: PendingOp, query: Query) {
        let op = self.begin_op(purpose);
        self.effects.push(Effect::Read { op, query });
    }

    fn begin_op(&mut self, purpose: PendingOp) -> OpId {
        self.last_op = self.last_op.next();
        self.ops.insert(self.last_op, purpose);
        self.last_op
    }

    fn log(&mut self, event: DecisionEvent) {
        self.effects.push(Effect::Log(event));
    }

    fn daemon_id(&self) -> &DaemonId {
        &self.settings.daemon
    }

    /// Returns the configuration in use.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns how much a team may use in this failure domain, if this daemon is its leader.
    pub fn usable_allotment_here(&self, team: &TeamName) -> crate::Resources {
        self.usable_allotment(team)
    }

    /// Returns the workers of the failure domain.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns whether the configuration is recent enough for keyed work.
    pub fn is_fresh(&self) -> bool {
        self.freshness.is_fresh(self.now_ms)
    }

    /// Returns a summary of the daemon's state for operators.
    pub fn status(&self) -> crate::Status {
        crate::Status {
            daemon: self.settings.daemon.clone(),
            domain: self.settings.domain.clone(),
            leader: self.leader_id(),
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
