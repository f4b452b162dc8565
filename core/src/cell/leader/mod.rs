//! The leader: it learns of accepted jobs, commits workers and records what ended.

mod advice;
mod commits;
mod fleet;
mod gangs;
mod intake;
mod jobs;
mod load;
mod members;
mod orders;
mod placement;
mod placing;
pub(crate) mod ready;
mod runs;
mod schedule;
mod views;
mod worker;

use crate::{
    cell::{
        consts,
        leader::{
            advice::AdviceDesk,
            commits::Commits,
            fleet::Fleet,
            intake::Intake,
            jobs::Job,
            load::Load,
            members::Members,
            orders::{OpenOrder, PlacedRun},
            ready::Ready,
        },
        node::Ctx,
        ConfigFeed, DesiredState, FencingToken, LinkId, LogEvent, RowVersion, RpcId, StoreReply,
        ToLeader,
    },
    JobId, Millis, QueueName, Resources, TeamName,
};
use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

/// What follows from an answer of the store for the lead itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Follow {
    /// Nothing.
    Nothing,
    /// The lease was renewed by a write that was sent at this time.
    Renewed {
        sent_at: Millis,
        version: RowVersion,
    },
    /// Another daemon leads by now.
    Deposed,
}

/// The state of a daemon that leads its cell.
#[derive(Debug)]
pub struct Leader {
    token: FencingToken,
    generation: u32,
    since: Millis,
    /// The time of the event at hand.
    now: Millis,
    state: Option<Rc<DesiredState>>,
    load: Load,
    jobs: BTreeMap<JobId, Job>,
    fleet: Fleet,
    /// The steps of which a task may start now.
    ready: Ready,
    /// What each team has running.
    used: BTreeMap<TeamName, Resources>,
    /// How many jobs of each queue have started no task.
    queued: BTreeMap<QueueName, u64>,
    intake: Intake,
    advice: AdviceDesk,
    commits: Commits,
    members: Members,
    orders: BTreeMap<RpcId, OpenOrder>,
    held_asks: VecDeque<views::HeldAsk>,
    /// Runs whose placement is on record and whose start is to be ordered.
    placed: Vec<PlacedRun>,
    wants_pass: bool,
    next_pass_at: Millis,
    sweep_at: Millis,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Ctx, token: FencingToken, generation: u32) -> Self {
        let mut leader = Self {
            token,
            generation,
            since: ctx.now,
            now: ctx.now,
            state: None,
            load: Load::default(),
            jobs: BTreeMap::new(),
            fleet: Fleet::default(),
            ready: Ready::default(),
            used: BTreeMap::new(),
            queued: BTreeMap::new(),
            intake: Intake::default(),
            advice: AdviceDesk::default(),
            commits: Commits::default(),
            members: Members::default(),
            orders: BTreeMap::new(),
            held_asks: VecDeque::new(),
            placed: Vec::new(),
            wants_pass: false,
            next_pass_at: ctx.now,
            sweep_at: ctx.now + consts::SWEEP_INTERVAL_MS,
        };
        leader.load_tick(ctx);
        leader
    }

    /// Returns the fencing token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Says whether another daemon has reached the store since `at`.
    pub(crate) fn has_sound_member(&self, at: Millis) -> bool {
        self.members.has_sound(at)
    }

    /// Returns the connections to the other daemons.
    pub(crate) fn links(&self) -> Vec<LinkId> {
        self.members.links()
    }

    pub(crate) fn tick(
        &mut self,
        ctx: &mut Ctx,
        config: &ConfigFeed,
        election: &crate::cell::election::Election,
    ) {
        self.load_tick(ctx);
        self.members_tick(ctx, config, election);
        if !self.load.is_done() || !election.has_valid_lease(ctx.now) {
            return;
        }
        self.look_at_workers(ctx);
        self.retry_stops(ctx);
        self.expire_leases(ctx);
        self.sweep(ctx);
        self.wants_pass |= !self.ready.is_empty();
    }

    /// Handles an answer of the store.
    pub(crate) fn on_store(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) -> Follow {
        if self.commits.holds(rpc) {
            return self.on_commit(ctx, rpc, reply);
        }
        self.on_load(ctx, rpc, reply);
        Follow::Nothing
    }

    pub(crate) fn on_message(&mut self, ctx: &mut Ctx, link: LinkId, message: ToLeader) {
        match message {
            ToLeader::Accepted { job, version } => self.learn(ctx, *job, version),
            ToLeader::State { query, job, team } => self.tell_state(ctx, link, query, &job, team),
            ToLeader::Cancel { query, job, team } => self.cancel(ctx, link, query, &job, team),
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

    /// Acts on what has changed: places work, asks for advice, writes progress.
    pub(crate) fn settle(&mut self, ctx: &mut Ctx, state: &Rc<DesiredState>, valid: bool) {
        self.now = ctx.now;
        self.take_state(state);
        if !self.load.is_done() {
            return;
        }
        let known = self.state.clone();
        if let (Some(known), true) = (
            known,
            valid && self.wants_pass && ctx.now >= self.next_pass_at,
        ) {
            self.wants_pass = false;
            self.next_pass_at = ctx.now + consts::MIN_PASS_INTERVAL_MS;
            self.pass(ctx, &known);
        }
        if valid {
            self.send_placed(ctx);
            self.dispatch_advice(ctx);
        }
        self.flush_commits(ctx);
        self.answer_held(ctx);
    }

    /// Takes a desired state, and keeps the queues that it withdraws: their accepted jobs still run.
    fn take_state(&mut self, state: &Rc<DesiredState>) {
        let known = self.state.as_ref();
        if known.is_some_and(|known| known.version == state.version) {
            return;
        }
        let mut kept = (**state).clone();
        for queue in known.iter().flat_map(|known| &known.queues) {
            if state.queue(&queue.name).is_none() && self.has_jobs(&queue.name) {
                kept.queues.push(queue.clone());
            }
        }
        self.state = Some(Rc::new(kept.with_sorted_queues()));
    }

    fn has_jobs(&self, queue: &QueueName) -> bool {
        let open = |job: &Job| job.row.queue == *queue && !job.progress.state.is_final();
        self.jobs.values().any(open)
    }

    /// Removes ended jobs that are past their retention.
    fn sweep(&mut self, ctx: &mut Ctx) {
        if ctx.now < self.sweep_at {
            return;
        }
        self.sweep_at = ctx.now + consts::SWEEP_INTERVAL_MS;
        let retention_ms = ctx.settings.retention_ms;
        let over = |job: &&Job| job.is_settled() && ctx.now.since(job.ended_at) > retention_ms;
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(over)
            .map(|job| job.row.id.clone())
            .collect();
        for chunk in ids.chunks(consts::MAX_BATCH_ROWS) {
            self.commits.remove_rows(ctx, self.token, chunk);
        }
        for id in &ids {
            self.jobs.remove(id);
        }
        if !ids.is_empty() {
            ctx.log(LogEvent::info("jobs_swept").with("count", ids.len()));
        }
    }
}
