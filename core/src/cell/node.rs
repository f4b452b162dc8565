//! The reducer of a cell's daemon: dispatches events to the components and collects their effects.

use crate::{
    cell::{
        consts,
        ctx::{Ctx, RpcOwner, LOCAL_LINK},
        election::{Election, LeadershipChange},
        frontend::Frontend,
        host_strength::HostStrength,
        leader::{Leader, LeaseUpdate},
        submissions::Submissions,
        term::Term,
        CellSettings, ConfigFeed, Effect, Event, LinkId, LogEvent, RpcId, StoreReply, ToLeader,
        ToMember,
    },
    Millis,
};
/// The reducer of one daemon of a cell.
#[derive(Debug)]
pub struct Node {
    ctx: Ctx,
    config: ConfigFeed,
    election: Election,
    frontend: Frontend,
    submissions: Submissions,
    leader: Option<Box<Leader>>,
    stop_requested_at: Option<Millis>,
    ready: bool,
    exited: bool,
}

impl Node {
    /// Creates the reducer of a daemon that starts now.
    pub fn new(settings: CellSettings, now: Millis, unix_ms: u64) -> Self {
        Self {
            config: ConfigFeed::default(),
            election: Election::new(&settings, unix_ms),
            frontend: Frontend::default(),
            submissions: Submissions::default(),
            leader: None,
            stop_requested_at: None,
            ready: false,
            exited: false,
            ctx: Ctx::new(settings, now, unix_ms),
        }
    }

    /// Returns whether this daemon is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the leader's state if this daemon is the leader.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_deref()
    }

    /// Returns the longest expected wait of a new job, by the leader's last table if it is recent.
    pub fn expected_wait_ms(&self) -> Option<Millis> {
        self.frontend.expected_wait_ms(self.ctx.now)
    }

    /// Returns the feed of the desired state.
    pub fn config(&self) -> &ConfigFeed {
        &self.config
    }

    /// Returns the number of drained failure domains; requests that are ignored do not count.
    pub fn drained_domains(&self) -> usize {
        match self.ctx.settings.drain_bound_ms {
            Some(_) => self.config.drains().len(),
            None => 0,
        }
    }

    /// Handles an event and returns the resulting effects.
    pub fn step(&mut self, now: Millis, unix_ms: u64, event: Event) -> Vec<Effect> {
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.unix_ms = unix_ms;
        self.handle(event);
        self.deliver_local_messages();
        self.finish_step();
        self.ctx.take_effects()
    }

    fn handle(&mut self, event: Event) {
        let ctx = &mut self.ctx;
        match event {
            Event::Tick => self.tick(),
            Event::Backlog(events) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_backlog(ctx, events);
                }
            }
            Event::Call(call, request) => {
                self.frontend
                    .on_call(ctx, &self.config, &mut self.submissions, call, *request);
            }
            Event::Hangup(call) => self.frontend.on_hangup(call),
            Event::Store(rpc, reply) => self.on_store(rpc, reply),
            Event::Worker(rpc, answer) => {
                ctx.end_rpc(rpc);
                if let Some(leader) = &mut self.leader {
                    leader.on_worker_answer(ctx, rpc, answer);
                }
            }
            Event::Advice(rpc, reply) => {
                ctx.end_rpc(rpc);
                self.frontend.on_advice(ctx, rpc, reply);
            }
            Event::Dialed { address, link } => match &mut self.leader {
                Some(leader) => leader.on_dialed(ctx, &address, link),
                None => {
                    if let Some(link) = link {
                        ctx.push(Effect::Close(link));
                    }
                }
            },
            Event::LinkDown(link) => self.on_link_down(link),
            Event::ToLeader(link, message) => self.on_to_leader(link, message),
            Event::ToMember(link, message) => self.on_to_member(link, message),
            Event::Stop => {
                if self.stop_requested_at.is_none() {
                    ctx.log(
                        LogEvent::info("stop_asked").with("open_calls", self.frontend.open_calls()),
                    );
                    self.stop_requested_at = Some(ctx.now);
                    self.election.resign(ctx);
                }
            }
        }
    }

    fn on_link_down(&mut self, link: LinkId) {
        let ctx = &mut self.ctx;
        if self.election.link == Some(link) {
            let event = LogEvent::warn("leader_link_lost");
            ctx.log(event.with("token", self.election.leader_token));
        }
        self.election.on_link_down(link);
        if let Some(leader) = &mut self.leader {
            leader.on_link_down(ctx, link);
        }
    }

    fn tick(&mut self) {
        let ctx = &mut self.ctx;
        self.config.tick(ctx);
        self.election.tick(ctx, self.stop_requested_at.is_some());
        self.submissions.tick(ctx, &mut self.frontend);
        self.frontend.tick(ctx);
        if let Some(leader) = &mut self.leader {
            leader.tick(ctx, &self.config, &self.election);
            let after = ctx.handover_after();
            if after.is_some_and(|at| leader.has_member_with_store_since(at)) {
                self.hand_over_leadership("store lost");
            } else if leader.should_yield(ctx) {
                self.hand_over_leadership("weak host");
            }
        }
    }

    /// Resigns as leader and announces it, so that another daemon can take over at once.
    fn hand_over_leadership(&mut self, reason: &str) {
        let ctx = &mut self.ctx;
        let Some(leader) = &self.leader else { return };
        let token = leader.token();
        let event = LogEvent::warn("lead_handed_over").with("token", token);
        let event = event
            .with("reason", reason)
            .with("cpu_milli", ctx.settings.cpu_milli)
            .with("link_kbps", ctx.settings.strength().link_kbps());
        ctx.log(event.with("store_age_ms", ctx.store_age_ms().0));
        for link in leader.member_links() {
            ctx.push(Effect::ToMember(link, ToMember::Resigned { token }));
        }
        self.election.step_down(ctx);
        self.stop_leading();
    }

    fn on_store(&mut self, rpc: RpcId, reply: StoreReply) {
        let ctx = &mut self.ctx;
        let Some((owner, sent_at)) = ctx.end_rpc(rpc) else {
            return;
        };
        ctx.record_store_reply(&reply, sent_at);
        match owner {
            RpcOwner::Config => self.config.on_store(ctx, rpc, reply),
            RpcOwner::Frontend => self.frontend.on_store(ctx, rpc, reply),
            RpcOwner::Submissions => self
                .submissions
                .on_store(ctx, &mut self.frontend, rpc, reply),
            RpcOwner::Leader => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                match leader.on_store_reply(ctx, rpc, reply) {
                    LeaseUpdate::Unchanged => {}
                    LeaseUpdate::Renewed { sent_at, version } => {
                        self.election.on_renewed(ctx, sent_at, version)
                    }
                    LeaseUpdate::Deposed => {
                        self.election.step_down(ctx);
                        self.stop_leading();
                    }
                }
            }
            RpcOwner::Election => match self.election.on_store(ctx, rpc, reply) {
                LeadershipChange::None => {}
                LeadershipChange::Elected(term) => {
                    self.start_leading(term);
                    if self.stop_requested_at.is_some() {
                        // The attempt was on its way when the stop was requested.
                        self.election.resign(&mut self.ctx);
                    }
                }
                LeadershipChange::Lost => self.stop_leading(),
            },
        }
    }

    fn start_leading(&mut self, term: Term) {
        let leader = Leader::new(&mut self.ctx, term);
        self.leader = Some(Box::new(leader));
    }

    fn stop_leading(&mut self) {
        if let Some(leader) = self.leader.take() {
            for link in leader.member_links() {
                self.ctx.push(Effect::Close(link));
            }
        }
    }

    fn on_to_leader(&mut self, link: LinkId, message: ToLeader) {
        let ctx = &mut self.ctx;
        let Some(leader) = &mut self.leader else {
            ctx.push(Effect::Close(link));
            return;
        };
        match message {
            ToLeader::Submit { query, job } => {
                self.submissions
                    .add_relayed(ctx, &mut self.frontend, link, query, *job);
            }
            ToLeader::ConfigRequest => {
                if let Some(state) = self.config.current() {
                    ctx.send_member(link, ToMember::Config(Box::new((**state).clone())));
                }
            }
            message => leader.on_member_message(ctx, link, message),
        }
    }

    fn on_to_member(&mut self, link: LinkId, message: ToMember) {
        let ctx = &mut self.ctx;
        if let ToMember::Heartbeat {
            token,
            lease,
            strongest_cpu_milli,
            strongest_link_kbps,
            store_slow,
            ..
        } = &message
        {
            if !self.election.on_heartbeat(ctx.now, link, *token, *lease) {
                ctx.push(Effect::Close(link));
                return;
            }
            let strongest = HostStrength::new(*strongest_cpu_milli, *strongest_link_kbps);
            self.election.strongest = strongest;
            if *store_slow {
                self.election.read(ctx);
            }
            if self.leader.as_ref().is_some_and(|own| own.token() < *token) {
                self.election.step_down(ctx);
                self.stop_leading();
            }
        }
        let known = Some(link) == self.election.link;
        if let (ToMember::Resigned { token }, true) = (&message, known) {
            self.ctx
                .log(LogEvent::info("leader_resigned").with("token", token));
            self.election.on_resigned(self.ctx.now, *token);
            self.election.on_link_down(link);
        } else if known {
            self.frontend.on_message(
                &mut self.ctx,
                &mut self.config,
                &mut self.submissions,
                message,
            );
        }
    }

    /// Delivers the messages between the leader in this process and the other components until
    /// none are left.
    fn deliver_local_messages(&mut self) {
        while !self.ctx.inbox.is_empty() || !self.ctx.outbox.is_empty() {
            for message in std::mem::take(&mut self.ctx.inbox) {
                if self.leader.is_some() {
                    self.on_to_leader(LOCAL_LINK, message);
                }
            }
            for message in std::mem::take(&mut self.ctx.outbox) {
                self.frontend.on_message(
                    &mut self.ctx,
                    &mut self.config,
                    &mut self.submissions,
                    message,
                );
            }
        }
    }

    /// Does the work that follows every event: if this daemon leads, places pending work; then
    /// updates the readiness and exits at the end of a planned stop.
    fn finish_step(&mut self) {
        let ctx = &mut self.ctx;
        if let Some(leader) = &mut self.leader {
            leader.update_drains(ctx, &self.config);
            leader.run_due_work(ctx, self.config.current());
        }
        let link = match &self.leader {
            Some(_) => Some(LOCAL_LINK),
            None => self
                .election
                .link
                .filter(|_| self.election.has_live_leader(ctx.now)),
        };
        self.frontend.set_leader(link);
        let fresh = self
            .config
            .is_fresh(ctx.now, ctx.settings.key_revocation_ms);
        let reachable = !ctx.store_is_down() || (link.is_some() && self.leader.is_none());
        let ready = fresh && reachable && self.stop_requested_at.is_none();
        if ready != self.ready {
            self.ready = ready;
            let event = LogEvent::warn("ready_changed").with("ready", ready);
            let event = event
                .with("config_fresh", fresh)
                .with("reachable", reachable);
            ctx.log(event.with("stopping", self.stop_requested_at.is_some()));
            ctx.push(Effect::SetReady(ready));
        }
        self.exit_if_stopped();
    }

    /// Exits the process shortly before the grace period of a planned stop ends.
    fn exit_if_stopped(&mut self) {
        let Some(since) = self.stop_requested_at else {
            return;
        };
        let waited = self.ctx.now.since(since);
        let reserve = Millis(self.ctx.settings.stop_grace_ms.0 / consts::STOP_RESERVE_DIVISOR);
        let late = waited >= self.ctx.settings.stop_grace_ms.since(reserve);
        if late && !self.exited {
            self.exited = true;
            let open = self.frontend.open_calls();
            self.ctx.log(
                LogEvent::info("stopped")
                    .with("waited_ms", waited.0)
                    .with("open_calls", open),
            );
            self.frontend.answer_open_calls(&mut self.ctx);
            self.ctx.push(Effect::Exit);
        }
    }
}
