//! The other daemons of the cell: dialed, sent heartbeats, asked for help.

use crate::{
    cell::{
        consts, election::Election, leader::Leader, node::Ctx, node::LOCAL_LINK, ConfigFeed,
        Effect, LinkId, LogEvent, MemberRow, RowVersion, ToMember,
    },
    Millis, QueueName,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How often a member that can't be reached is dialed at most: the pause doubles up to 8 times.
const MAX_REDIAL_FACTOR: u64 = 8;

#[derive(Debug, Default)]
struct Member {
    address: CompactString,
    link: Option<LinkId>,
    dialing: bool,
    next_dial_at: Millis,
    failures: u32,
    cpu_milli: u64,
    joined_at: Millis,
    heard_at: Millis,
    store_ok_at: Millis,
    /// Pings by the member's clock with the time at which they came.
    pings: Vec<(Millis, Millis)>,
}

/// The daemons that are on record.
#[derive(Debug, Default)]
pub(crate) struct Members {
    by_host: BTreeMap<CompactString, Member>,
    next_beat_at: Millis,
    beat_lease: RowVersion,
    beat_at: Millis,
}

impl Members {
    pub(crate) fn links(&self) -> Vec<LinkId> {
        self.by_host.values().filter_map(|own| own.link).collect()
    }

    /// Says whether a connected daemon has reached the store since `at`.
    pub(crate) fn has_sound(&self, at: Millis) -> bool {
        let mut members = self.by_host.values();
        members.any(|own| own.link.is_some() && own.store_ok_at >= at)
    }

    /// Says whether a much stronger daemon has been connected for a while and reaches the store.
    fn has_stronger(&self, now: Millis, own_milli: u64) -> bool {
        let strong = |own: &Member| own.cpu_milli >= own_milli * consts::YIELD_CPU_FACTOR;
        let steady = |own: &Member| now.since(own.joined_at) >= consts::YIELD_STABLE_MS;
        let sound = |own: &Member| now.since(own.store_ok_at) < consts::STORE_DOWN_TIMEOUT_MS;
        let mut members = self.by_host.values();
        members.any(|own| own.link.is_some() && strong(own) && steady(own) && sound(own))
    }

    pub(crate) fn remove(&mut self, host: &str) {
        self.by_host.remove(host);
    }

    pub(crate) fn on_ping(
        &mut self,
        now: Millis,
        link: LinkId,
        sent_ms: Millis,
        store_ok_at: Millis,
    ) {
        let mut members = self.by_host.values_mut();
        if let Some(member) = members.find(|own| own.link == Some(link)) {
            member.pings.push((sent_ms, now));
            member.heard_at = now;
            member.store_ok_at = store_ok_at;
        }
    }
}

impl Member {
    /// Returns the latest ping that came before `at`, and forgets those up to it.
    fn confirmed(&mut self, at: Option<Millis>) -> Option<Millis> {
        let at = at?;
        let last = self.pings.iter().rposition(|(_, came)| *came <= at)?;
        let (sent_ms, _) = self.pings[last];
        self.pings.drain(..=last);
        Some(sent_ms)
    }
}

impl Leader {
    /// Says whether a much stronger daemon should lead instead.
    pub(crate) fn should_yield(&self, ctx: &Ctx) -> bool {
        let steady = ctx.now.since(self.since) >= consts::YIELD_STABLE_MS;
        steady && self.members.has_stronger(ctx.now, ctx.settings.cpu_milli)
    }

    pub(crate) fn on_member(&mut self, ctx: &mut Ctx, host: &str, row: MemberRow) {
        if row.address == ctx.settings.address {
            return;
        }
        let member = self.members.by_host.entry(host.into()).or_default();
        if member.address != row.address {
            ctx.log(
                LogEvent::info("member_listed")
                    .with("host", host)
                    .with("address", &row.address),
            );
            if let Some(link) = member.link.take() {
                ctx.push(Effect::Close(link));
            }
        }
        member.address = row.address;
        member.cpu_milli = row.cpu_milli;
        member.next_dial_at = ctx.now;
        member.failures = 0;
    }

    pub(crate) fn on_dialed(&mut self, ctx: &mut Ctx, address: &str, link: Option<LinkId>) {
        let mut members = self.members.by_host.iter_mut();
        let found = members.find(|(_, own)| own.address == address && own.dialing);
        let Some((host, member)) = found else {
            if let Some(link) = link {
                ctx.push(Effect::Close(link));
            }
            return;
        };
        member.dialing = false;
        match link {
            Some(link) => {
                ctx.log(
                    LogEvent::info("member_joined")
                        .with("host", host)
                        .with("link", link),
                );
                member.link = Some(link);
                member.heard_at = ctx.now;
                member.joined_at = ctx.now;
                member.failures = 0;
                member.pings.clear();
                self.advice.add_lane(link);
                self.members.next_beat_at = Millis(0);
            }
            None => {
                member.failures += 1;
                let factor = (1u64 << member.failures.min(8)).min(MAX_REDIAL_FACTOR);
                member.next_dial_at = ctx.now + Millis(consts::REDIAL_DELAY_MS.0 * factor / 2);
            }
        }
    }

    pub(crate) fn on_link_down(&mut self, ctx: &mut Ctx, link: LinkId) {
        let mut members = self.members.by_host.iter_mut();
        if let Some((host, member)) = members.find(|(_, own)| own.link == Some(link)) {
            ctx.log(
                LogEvent::warn("member_lost")
                    .with("host", host)
                    .with("link", link),
            );
            member.link = None;
            member.next_dial_at = ctx.now + consts::REDIAL_DELAY_MS;
        }
        self.advice.drop_lane(link);
    }

    pub(crate) fn members_tick(&mut self, ctx: &mut Ctx, config: &ConfigFeed, election: &Election) {
        let now = ctx.now;
        let silent = |own: &Member| now.since(own.heard_at) > consts::MEMBER_TIMEOUT_MS;
        let members = self.members.by_host.values();
        let silent = members.filter(|own| silent(own)).filter_map(|own| own.link);
        for link in silent.collect::<Vec<_>>() {
            ctx.push(Effect::Close(link));
            self.on_link_down(ctx, link);
        }
        for member in self.members.by_host.values_mut() {
            if member.link.is_none() && !member.dialing && ctx.now >= member.next_dial_at {
                member.dialing = true;
                ctx.push(Effect::Dial(member.address.clone()));
            }
        }
        // A new lease is passed on early, so that the others count from its latest renewal.
        let news = election.lease() > self.members.beat_lease;
        let store_slow = ctx.store_age_ms() > consts::STORE_SLOW_THRESHOLD_MS;
        let early = (news || store_slow)
            && now.since(self.members.beat_at) >= consts::MIN_HEARTBEAT_INTERVAL_MS;
        if now < self.members.next_beat_at && !early || !election.has_valid_lease(now) {
            return;
        }
        self.members.beat_lease = election.lease();
        self.members.beat_at = now;
        self.members.next_beat_at = now + consts::HEARTBEAT_INTERVAL_MS;
        let queued: Vec<(QueueName, u64)> = self.waiting_counts();
        let closed = self.closed_queues(ctx);
        let shares = self.members.by_host.values().map(|own| own.cpu_milli);
        let strongest_cpu_milli = shares.fold(ctx.settings.cpu_milli, u64::max);
        let beat = |confirmed_ms| ToMember::Heartbeat {
            token: self.token,
            lease: election.lease(),
            version: config.version(),
            confirmed_ms,
            queued: queued.clone(),
            ready: self.load.is_done(),
            store_slow,
            strongest_cpu_milli,
            closed: closed.clone(),
        };
        ctx.send_member(LOCAL_LINK, beat(None));
        for member in self.members.by_host.values_mut() {
            if let Some(link) = member.link {
                let confirmed_ms = member.confirmed(config.confirmed_at());
                ctx.send_member(link, beat(confirmed_ms));
            }
        }
    }
}
