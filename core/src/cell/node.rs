//! The reducer of one daemon of a cell: it routes events to the parts that decide.

use crate::{
    cell::{
        consts,
        door::Door,
        election::{Election, Turn},
        leader::{Leader, LeaseUpdate},
        store_clock::StoreClock,
        submits::Submits,
        CellSettings, ConfigFeed, Effect, Event, FencingToken, Line, LinkId, OrderId, StoreCall,
        StoreReply, ToLeader, ToMember,
    },
    Millis,
};
use std::collections::BTreeMap;

/// The link by which a leader speaks with its own daemon.
pub(crate) const OWN_LINK: LinkId = LinkId(0);

/// The part of a daemon that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    Config,
    Door,
    Election,
    Leader,
    Submits,
}

/// What all parts share: the time, the effects, and who waits for which answer.
#[derive(Debug)]
pub(crate) struct Ctx {
    pub(crate) now: Millis,
    pub(crate) unix_ms: u64,
    pub(crate) settings: CellSettings,
    last_order: OrderId,
    /// Who waits for which answer, and since when.
    owners: BTreeMap<OrderId, (Owner, Millis)>,
    pub(crate) store_clock: StoreClock,
    effects: Vec<Effect>,
    /// Messages between this daemon and the leader in the same process.
    pub(crate) inbox: Vec<ToLeader>,
    pub(crate) outbox: Vec<ToMember>,
    store_ok_at: Millis,
    store_failures: u32,
    store_down: bool,
}

impl Ctx {
    /// Takes the next number for a call.
    pub(crate) fn order(&mut self, owner: Owner) -> OrderId {
        self.last_order = self.last_order.next();
        self.owners.insert(self.last_order, (owner, self.now));
        self.last_order
    }

    pub(crate) fn store(&mut self, owner: Owner, call: StoreCall, limit_ms: Millis) -> OrderId {
        let order = self.order(owner);
        self.effects.push(Effect::Store {
            order,
            call,
            limit_ms,
        });
        order
    }

    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn log(&mut self, line: Line) {
        self.effects.push(Effect::Log(line));
    }

    /// Sends to a member, which may be this daemon itself.
    pub(crate) fn send_member(&mut self, link: LinkId, message: ToMember) {
        if link == OWN_LINK {
            self.outbox.push(message);
        } else {
            self.push(Effect::ToMember(link, message));
        }
    }

    /// Says whether the store has not answered lately.
    pub(crate) fn store_is_down(&self) -> bool {
        self.store_failures >= 2 && self.now.since(self.store_ok_at) > consts::STORE_DOWN_MS
    }

    /// Returns how long ago the store answered.
    pub(crate) fn store_age_ms(&self) -> Millis {
        self.now.since(self.store_ok_at)
    }

    /// Returns since when another daemon must have reached the store for this one to hand over.
    fn hand_over_after(&self) -> Option<Millis> {
        // A leader renews its lease more often than that, so some answer is due.
        let silent = self.store_age_ms() > consts::HAND_OVER_MS;
        silent.then_some(self.store_ok_at + consts::HAND_OVER_MS)
    }

    fn note_store(&mut self, reply: &StoreReply, sent_at: Millis) {
        if let StoreReply::Rows {
            clock_ms: Some(clock_ms),
            ..
        } = reply
        {
            self.store_clock.observe(sent_at, *clock_ms);
        }
        match reply {
            StoreReply::Refused(_) | StoreReply::Lost => self.store_failures += 1,
            _ => {
                self.store_failures = 0;
                self.store_ok_at = self.now;
            }
        }
        let down = self.store_is_down();
        if down != self.store_down {
            self.store_down = down;
            let ok_age_ms = self.now.since(self.store_ok_at).0;
            let line = match down {
                true => Line::warn("store_lost").with("ok_age_ms", ok_age_ms),
                false => Line::warn("store_regained"),
            };
            self.log(line.with("reply", reply_word(reply)));
        }
    }
}

const fn reply_word(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Written(_) => "written",
        StoreReply::Conflict(_) => "conflict",
        StoreReply::Rows { .. } => "rows",
        StoreReply::HistoryLost => "history_lost",
        StoreReply::Refused(_) => "refused",
        StoreReply::Lost => "lost",
    }
}

/// One daemon of a cell.
#[derive(Debug)]
pub struct Node {
    ctx: Ctx,
    config: ConfigFeed,
    election: Election,
    door: Door,
    submits: Submits,
    leader: Option<Box<Leader>>,
    stop_at: Option<Millis>,
    ready: bool,
    exited: bool,
}

impl Node {
    /// Makes the reducer of a daemon that starts now.
    pub fn new(settings: CellSettings, now: Millis, unix_ms: u64) -> Self {
        Self {
            config: ConfigFeed::default(),
            election: Election::new(&settings, unix_ms),
            door: Door::default(),
            submits: Submits::default(),
            leader: None,
            stop_at: None,
            ready: false,
            exited: false,
            ctx: Ctx {
                now,
                unix_ms,
                settings,
                last_order: OrderId(0),
                owners: BTreeMap::new(),
                store_clock: StoreClock::default(),
                effects: Vec::new(),
                inbox: Vec::new(),
                outbox: Vec::new(),
                store_ok_at: now,
                store_failures: 0,
                store_down: false,
            },
        }
    }

    /// Says whether this daemon leads at present.
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the part that leads, if this daemon does.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_deref()
    }

    /// Returns the desired state's feed.
    pub fn config(&self) -> &ConfigFeed {
        &self.config
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, now: Millis, unix_ms: u64, event: Event) -> Vec<Effect> {
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.unix_ms = unix_ms;
        self.take(event);
        self.exchange();
        self.settle();
        std::mem::take(&mut self.ctx.effects)
    }

    fn take(&mut self, event: Event) {
        let ctx = &mut self.ctx;
        match event {
            Event::Tick => self.tick(),
            Event::Call(call, request) => {
                self.door
                    .on_call(ctx, &self.config, &mut self.submits, call, *request);
            }
            Event::Hangup(call) => self.door.on_hangup(call),
            Event::Store(order, reply) => self.on_store(order, reply),
            Event::Worker(order, answer) => {
                ctx.owners.remove(&order);
                if let Some(leader) = &mut self.leader {
                    leader.on_worker_answer(ctx, order, answer);
                }
            }
            Event::Advice(order, reply) => {
                ctx.owners.remove(&order);
                self.door.on_advice(ctx, order, reply);
            }
            Event::Dialed { address, link } => match &mut self.leader {
                Some(leader) => leader.on_dialed(ctx, &address, link),
                None => {
                    if let Some(link) = link {
                        ctx.push(Effect::Close(link));
                    }
                }
            },
            Event::LinkDown(link) => {
                if self.election.link == Some(link) {
                    ctx.log(
                        Line::warn("leader_link_lost").with("token", self.election.leader_token),
                    );
                }
                self.election.on_link_down(link);
                if let Some(leader) = &mut self.leader {
                    leader.on_link_down(ctx, link);
                }
            }
            Event::ToLeader(link, message) => self.on_to_leader(link, message),
            Event::ToMember(link, message) => self.on_to_member(link, message),
            Event::Stop => {
                if self.stop_at.is_none() {
                    ctx.log(Line::info("stop_asked").with("open_calls", self.door.open_calls()));
                    self.stop_at = Some(ctx.now);
                    self.election.resign(ctx);
                }
            }
        }
    }

    fn tick(&mut self) {
        let ctx = &mut self.ctx;
        self.config.tick(ctx);
        self.election.tick(ctx, self.stop_at.is_some());
        self.submits.tick(ctx, &mut self.door);
        self.door.tick(ctx);
        if let Some(leader) = &mut self.leader {
            leader.tick(ctx, &self.config, &self.election);
            let after = ctx.hand_over_after();
            if after.is_some_and(|at| leader.has_member_with_store_since(at)) {
                self.hand_over("store lost");
            } else if leader.should_yield(ctx) {
                self.hand_over("weak host");
            }
        }
    }

    /// Leaves the lead to another daemon, which takes it at once.
    fn hand_over(&mut self, reason: &str) {
        let ctx = &mut self.ctx;
        let Some(leader) = &self.leader else { return };
        let token = leader.token();
        let line = Line::warn("lead_handed_over").with("token", token);
        let line = line
            .with("reason", reason)
            .with("cpu_milli", ctx.settings.cpu_milli);
        ctx.log(line.with("store_age_ms", ctx.store_age_ms().0));
        for link in leader.member_links() {
            ctx.push(Effect::ToMember(link, ToMember::Resigned { token }));
        }
        self.election.step_down(ctx);
        self.stop_leading();
    }

    fn on_store(&mut self, order: OrderId, reply: StoreReply) {
        let ctx = &mut self.ctx;
        let Some((owner, sent_at)) = ctx.owners.remove(&order) else {
            return;
        };
        ctx.note_store(&reply, sent_at);
        match owner {
            Owner::Config => self.config.on_store(ctx, order, reply),
            Owner::Door => self.door.on_store(ctx, order, reply),
            Owner::Submits => self.submits.on_store(ctx, &mut self.door, order, reply),
            Owner::Leader => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                match leader.on_store_reply(ctx, order, reply) {
                    LeaseUpdate::Unchanged => {}
                    LeaseUpdate::Renewed { sent_at, version } => {
                        self.election.on_renewed(sent_at, version)
                    }
                    LeaseUpdate::Deposed => {
                        self.election.step_down(ctx);
                        self.stop_leading();
                    }
                }
            }
            Owner::Election => match self.election.on_store(ctx, order, reply) {
                Turn::Stay => {}
                Turn::Lead { token, generation } => self.start_leading(token, generation),
                Turn::StepDown => self.stop_leading(),
            },
        }
    }

    fn start_leading(&mut self, token: FencingToken, generation: u32) {
        let leader = Leader::new(&mut self.ctx, token, generation);
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
            ToLeader::Submit { ask, job } => {
                self.submits.add_relayed(ctx, link, ask, *job);
            }
            ToLeader::Behind => {
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
            strongest_milli,
            store_silent,
            ..
        } = &message
        {
            if !self.election.on_heartbeat(ctx.now, link, *token, *lease) {
                ctx.push(Effect::Close(link));
                return;
            }
            self.election.strongest_milli = *strongest_milli;
            if *store_silent {
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
                .log(Line::info("leader_resigned").with("token", token));
            self.election.on_resigned(self.ctx.now, *token);
            self.election.on_link_down(link);
        } else if known {
            self.door
                .on_message(&mut self.ctx, &mut self.config, &mut self.submits, message);
        }
    }

    /// Carries messages between this daemon's door and its own leader until none is left.
    fn exchange(&mut self) {
        while !self.ctx.inbox.is_empty() || !self.ctx.outbox.is_empty() {
            for message in std::mem::take(&mut self.ctx.inbox) {
                if self.leader.is_some() {
                    self.on_to_leader(OWN_LINK, message);
                }
            }
            for message in std::mem::take(&mut self.ctx.outbox) {
                self.door
                    .on_message(&mut self.ctx, &mut self.config, &mut self.submits, message);
            }
        }
    }

    /// Lets the leader place work, and tells the balancer and the platform what has changed.
    fn settle(&mut self) {
        let ctx = &mut self.ctx;
        if let (Some(leader), Some(state)) = (&mut self.leader, self.config.current()) {
            let valid = self.election.is_valid(ctx.now);
            leader.run_due_work(ctx, state, valid);
        }
        let link = match &self.leader {
            Some(_) => Some(OWN_LINK),
            None => self
                .election
                .link
                .filter(|_| self.election.hears_leader(ctx.now)),
        };
        self.door.set_leader(link);
        let fresh = self.config.is_fresh(ctx.now, ctx.settings.revoke_ms);
        let reachable = !ctx.store_is_down() || (link.is_some() && self.leader.is_none());
        let ready = fresh && reachable && self.stop_at.is_none();
        if ready != self.ready {
            self.ready = ready;
            let line = Line::warn("ready_changed").with("ready", ready);
            let line = line
                .with("config_fresh", fresh)
                .with("reachable", reachable);
            ctx.log(line.with("stopping", self.stop_at.is_some()));
            ctx.push(Effect::Ready(ready));
        }
        self.exit_if_done();
    }

    /// Ends a planned stop shortly before the process would be killed.
    fn exit_if_done(&mut self) {
        let Some(since) = self.stop_at else { return };
        let waited = self.ctx.now.since(since);
        let reserve = Millis(self.ctx.settings.grace_ms.0 / consts::STOP_RESERVE_DIVISOR);
        let late = waited >= self.ctx.settings.grace_ms.since(reserve);
        if late && !self.exited {
            self.exited = true;
            let open = self.door.open_calls();
            self.ctx.log(
                Line::info("stopped")
                    .with("waited_ms", waited.0)
                    .with("open_calls", open),
            );
            self.ctx.push(Effect::Exit);
        }
    }
}
