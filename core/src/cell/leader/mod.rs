//! The leader of a cell: places the tasks of accepted jobs on workers and records their progress.

mod advice;
mod advice_dispatcher;
mod awaited_places;
mod candidates;
mod drains;
mod entry_pair;
mod fit;
mod fleet;
mod gang_wait;
mod gangs;
mod job_backlog;
mod jobs;
mod kept_workers;
mod limit_reservations;
mod loader;
mod members;
mod page_size;
mod pending;
mod placements;
mod policy;
mod progress_writes;
mod queries;
mod rank;
mod reconcile;
mod runs;
mod schedule;
mod scheduling_work;
mod single_tasks;
mod stalls;
mod step;
mod team_rate;
mod unsent_starts;
mod wait;
mod wait_list;
mod waiting_calls;
mod waking;
mod worker;
mod worker_rpcs;

pub use crate::cell::leader::scheduling_work::SchedulingWork;
use crate::{
    cell::{
        admission::Backlog,
        consts,
        ctx::Ctx,
        election::Election,
        leader::{
            advice_dispatcher::AdviceDispatcher,
            drains::AppliedDrains,
            fleet::Fleet,
            jobs::Job,
            kept_workers::KeptWorkers,
            limit_reservations::LimitReservations,
            loader::Loader,
            members::Members,
            pending::PendingSteps,
            policy::Policy,
            progress_writes::ProgressWrites,
            team_rate::TeamRateLimiter,
            unsent_starts::UnsentStarts,
            worker_rpcs::{OpenWorkerRpc, RecordedStart},
        },
        queue_key::QueueKey,
        term::Term,
        ConfigFeed, DesiredState, FencingToken, LinkId, LogEvent, RowVersion, RpcId, StoreReply,
        Table, ToLeader,
    },
    JobId, Millis, Resources, TeamName,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

/// What a store reply means for this daemon's leader lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaseUpdate {
    /// The lease did not change.
    Unchanged,
    /// The lease was renewed by a write that was sent at `sent_at`.
    Renewed {
        sent_at: Millis,
        version: RowVersion,
    },
    /// Another daemon leads now.
    Deposed,
}

/// The state of a daemon that leads its cell.
#[derive(Debug)]
pub struct Leader {
    token: FencingToken,
    generation: u32,
    /// The most bytes of a row's value before it is encoded as base64.
    max_value_bytes: usize,
    started_at: Millis,
    /// When the leases of all earlier leaders have certainly expired. They may have granted workers' leases
    /// until then.
    earlier_leads_end_at: Millis,
    /// The time of the event that is being handled.
    now: Millis,
    /// What the desired state says; `None` until one has been read.
    policy: Option<Rc<Policy>>,
    drains: AppliedDrains,
    loader: Loader,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that were learned before a desired state was read and are not charged to their teams yet.
    uncharged: Vec<JobId>,
    /// Cancellations that came before the record of their job: the versions of their rows, and when each
    /// was read first.
    withdrawn: BTreeMap<JobId, (RowVersion, Millis)>,
    fleet: Fleet,
    /// Steps with a task that may start now.
    pending: PendingSteps,
    /// The resources in use by each team's runs.
    used: BTreeMap<TeamName, Resources>,
    limit_reservations: LimitReservations,
    /// How many jobs of each queue have not started a task yet.
    queued: BTreeMap<QueueKey, u64>,
    team_rates: TeamRateLimiter,
    /// The accepted work that waits.
    backlog: Backlog,
    advice: AdviceDispatcher,
    progress_writes: ProgressWrites,
    members: Members,
    worker_rpcs: BTreeMap<RpcId, OpenWorkerRpc>,
    held_queries: VecDeque<queries::HeldQuery>,
    /// Runs whose placement is stored and whose start has not been sent yet.
    recorded_starts: Vec<RecordedStart>,
    unsent_starts: UnsentStarts,
    /// Whether a scheduling pass is needed.
    needs_pass: bool,
    next_pass_at: Millis,
    /// How many events waited to be handled at the last tick.
    event_backlog: usize,
    /// When it is logged next that many events wait.
    log_backlog_at: Millis,
    kept_workers: KeptWorkers,
    /// Teams whose limits allow more since steps were last woken for them.
    freed_teams: BTreeSet<TeamName>,
    /// Whether the next pass considers reservations of the teams' limits.
    limits_due: bool,
    /// When jobs past their retention are removed next.
    sweep_at: Millis,
    /// When stalled steps are logged next.
    log_stalls_at: Millis,
    work: SchedulingWork,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Ctx, term: Term) -> Self {
        let Term {
            token,
            generation,
            earlier_leads_end_at,
        } = term;
        let mut leader = Self {
            token,
            generation,
            earlier_leads_end_at,
            max_value_bytes: ctx.settings.max_value_bytes(),
            started_at: ctx.now,
            now: ctx.now,
            policy: None,
            drains: AppliedDrains::default(),
            loader: Loader::default(),
            jobs: BTreeMap::new(),
            uncharged: Vec::new(),
            withdrawn: BTreeMap::new(),
            fleet: Fleet::default(),
            pending: PendingSteps::default(),
            used: BTreeMap::new(),
            limit_reservations: LimitReservations::default(),
            queued: BTreeMap::new(),
            team_rates: TeamRateLimiter::default(),
            backlog: Backlog::default(),
            advice: AdviceDispatcher::new(token),
            progress_writes: ProgressWrites::default(),
            members: Members::default(),
            worker_rpcs: BTreeMap::new(),
            held_queries: VecDeque::new(),
            recorded_starts: Vec::new(),
            unsent_starts: UnsentStarts::default(),
            needs_pass: false,
            next_pass_at: ctx.now,
            event_backlog: 0,
            log_backlog_at: ctx.now,
            kept_workers: KeptWorkers::default(),
            freed_teams: BTreeSet::new(),
            limits_due: false,
            sweep_at: ctx.now + consts::SWEEP_INTERVAL_MS,
            log_stalls_at: ctx.now + consts::STALL_LOG_INTERVAL_MS,
            work: SchedulingWork::default(),
        };
        leader.send_reads(ctx);
        leader
    }

    /// Returns the leader's fencing token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns what scheduling has looked at so far.
    pub fn scheduling_work(&self) -> SchedulingWork {
        self.work
    }

    /// Returns whether another connected daemon has reached the store since `at`.
    pub(crate) fn has_member_with_store_since(&self, at: Millis) -> bool {
        self.members.has_store_access_since(at)
    }

    /// Returns the links to the other daemons.
    pub(crate) fn member_links(&self) -> Vec<LinkId> {
        self.members.links()
    }

    /// Does the work that is due by time: reads, heartbeats, polls, repeated stops, expired leases.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx, config: &ConfigFeed, election: &Election) {
        self.send_reads(ctx);
        self.tick_members(ctx, config, election);
        if !self.loader.is_done() || !ctx.has_lead() {
            return;
        }
        self.poll_workers(ctx);
        self.retry_stops(ctx);
        self.expire_leases(ctx);
        self.record_lease_ends(ctx);
        self.sweep(ctx);
        self.log_stalls(ctx);
        self.prepare_pass(ctx.now);
    }

    /// Handles the store's reply to one of the leader's calls.
    pub(crate) fn on_store_reply(
        &mut self,
        ctx: &mut Ctx,
        rpc: RpcId,
        reply: StoreReply,
    ) -> LeaseUpdate {
        if self.progress_writes.is_in_flight(rpc) {
            return self.on_progress_written(ctx, rpc, reply);
        }
        if let Some(jobs) = self.progress_writes.take_removal(rpc) {
            self.on_jobs_removed(ctx, &jobs, reply);
            return LeaseUpdate::Unchanged;
        }
        self.on_read_reply(ctx, rpc, reply);
        LeaseUpdate::Unchanged
    }

    pub(crate) fn on_member_message(&mut self, ctx: &mut Ctx, link: LinkId, message: ToLeader) {
        match message {
            ToLeader::Accepted { job, version } => self.add_job(ctx, *job, version),
            ToLeader::State { query, job, access } => {
                self.answer_state_query(ctx, link, query, &job, &access)
            }
            ToLeader::Cancel { query, job, access } => {
                self.cancel_job(ctx, link, query, &job, &access)
            }
            ToLeader::Advice { query, reply } => self.on_advice(ctx, query, reply),
            ToLeader::Ping {
                sent_ms,
                store_age_ms,
            } => {
                let store_ok_at = ctx.now.since(store_age_ms);
                self.members.on_ping(ctx.now, link, sent_ms, store_ok_at);
            }
            ToLeader::Submit { .. } | ToLeader::ConfigRequest => {}
        }
    }

    /// Runs a scheduling pass if one is due, sends start and advice calls, writes progress and
    /// answers held queries. Nothing is started without a valid lease or a desired state, or while the
    /// requests to drain domains are not known to be recent.
    pub(crate) fn run_due_work(&mut self, ctx: &mut Ctx, state: Option<&Rc<DesiredState>>) {
        self.now = ctx.now;
        if let Some(state) = state {
            self.update_policy(ctx, state);
        }
        if !self.loader.is_done() {
            return;
        }
        let may_start = ctx.has_lead() && self.may_start(ctx);
        if let (Some(policy), true) = (self.policy.clone(), may_start) {
            self.start_due_work(ctx, &policy);
        }
        self.write_progress(ctx);
        self.answer_held_queries(ctx);
    }

    fn start_due_work(&mut self, ctx: &mut Ctx, policy: &Policy) {
        if self.needs_pass && ctx.now >= self.next_pass_at {
            self.needs_pass = false;
            self.next_pass_at = ctx.now + self.pass_interval_ms();
            self.run_pass(ctx, policy);
        }
        self.check_unsent_starts(ctx);
        self.send_recorded_starts(ctx, policy);
        self.dispatch_advice(ctx);
    }

    /// Returns the time between two passes: the more events wait to be handled, the longer.
    fn pass_interval_ms(&self) -> Millis {
        let waiting = self.event_backlog as u64 / consts::EVENTS_PER_PASS_INTERVAL;
        let interval_ms = Millis(consts::MIN_PASS_INTERVAL_MS.0.saturating_mul(1 + waiting));
        interval_ms.min(consts::MAX_PASS_INTERVAL_MS)
    }

    /// Notes how many events wait to be handled, and logs it from time to time if they are many.
    pub(crate) fn on_backlog(&mut self, ctx: &mut Ctx, events: usize) {
        self.event_backlog = events;
        if events < consts::LATE_LEADER_EVENTS || ctx.now < self.log_backlog_at {
            return;
        }
        self.log_backlog_at = ctx.now + consts::LATE_LEADER_LOG_INTERVAL_MS;
        let event = LogEvent::warn("leader_late").with("events", events);
        let event = event.with("pass_ms", self.pass_interval_ms().0);
        ctx.log(event.with("pending", self.pending.len()));
    }

    /// Returns the number of steps with a task that may start now.
    pub fn pending_steps(&self) -> usize {
        self.pending.len()
    }

    /// Returns how many events waited to be handled at the last tick.
    pub fn event_backlog(&self) -> usize {
        self.event_backlog
    }

    /// Decides by a desired state from now on, if it is another one than before.
    fn update_policy(&mut self, ctx: &mut Ctx, state: &Rc<DesiredState>) {
        let former = self.policy.as_deref();
        if former.is_some_and(|former| former.version() == state.version) {
            return;
        }
        let open_jobs = self.jobs.values().filter(|job| job.is_open());
        let policy = Policy::new(state, former, open_jobs.map(|job| &job.row));
        let has_new_queues = former.is_none_or(|former| !former.has_same_queues(&policy));
        self.policy = Some(Rc::new(policy));
        // Limits may be higher now.
        let limited = self.pending.limited_teams().cloned();
        self.freed_teams.extend(limited);
        self.needs_pass = true;
        if self.loader.is_done() && has_new_queues {
            self.apply_queues(ctx);
        }
    }

    /// Removes jobs that ended, and withdrawals that were read, longer ago than the retention time; not while
    /// their table is read in full, because a page from before a removal would bring a removed job back.
    fn sweep(&mut self, ctx: &mut Ctx) {
        if ctx.now < self.sweep_at || self.loader.is_scanning(Table::Jobs) {
            return;
        }
        self.sweep_at = ctx.now + consts::SWEEP_INTERVAL_MS;
        let retention_ms = ctx.settings.retention_ms;
        let is_expired =
            |job: &&Job| job.is_removable() && ctx.now.since(job.ended_at) > retention_ms;
        let jobs = self.jobs.values().filter(is_expired);
        let jobs = jobs.map(|job| (job.row.id.clone(), job.row_version));
        let withdrawn = self.withdrawn.iter();
        let withdrawn =
            withdrawn.filter(|(_, (_, seen_at))| ctx.now.since(*seen_at) > retention_ms);
        let withdrawn = withdrawn.map(|(id, (version, _))| (id.clone(), *version));
        let expired: Vec<(JobId, RowVersion)> = jobs.chain(withdrawn).collect();
        self.progress_writes.remove_jobs(ctx, &expired);
    }
}
