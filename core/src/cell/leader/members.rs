//! The other daemons of the cell: dials them and sends them heartbeats.

use crate::{
    cell::{
        consts,
        ctx::{Ctx, LOCAL_LINK},
        election::Election,
        host_strength::HostStrength,
        leader::Leader,
        ConfigFeed, Effect, LinkId, LogEvent, MemberRow, RowVersion, ToMember,
    },
    Millis,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Maximum factor of the redial pause, which is half of [`consts::REDIAL_DELAY_MS`] times a factor
/// that doubles with each failure.
const MAX_REDIAL_FACTOR: u64 = 8;

/// Another daemon of the cell.
#[derive(Debug, Default)]
struct Member {
    address: CompactString,
    link: Option<LinkId>,
    dialing: bool,
    next_dial_at: Millis,
    failures: u32,
    /// `None` until its row has been read.
    strength: Option<HostStrength>,
    /// When the connection to it was made.
    joined_at: Millis,
    last_ping_at: Millis,
    /// When the store last answered it.
    store_ok_at: Millis,
    /// Pings not yet confirmed in a heartbeat, each with its time by the member's clock and the
    /// time at which it arrived.
    pings: Vec<(Millis, Millis)>,
}

/// The daemons in the store's table of members.
#[derive(Debug, Default)]
pub(crate) struct Members {
    by_host: BTreeMap<CompactString, Member>,
    next_heartbeat_at: Millis,
    /// The version of the lease row in the last heartbeat.
    heartbeat_lease: RowVersion,
    last_heartbeat_at: Millis,
}

impl Members {
    /// Returns the number of daemons with a connection, this one included.
    pub(crate) fn count(&self) -> u64 {
        self.links().len() as u64 + 1
    }

    pub(crate) fn links(&self) -> Vec<LinkId> {
        self.by_host
            .values()
            .filter_map(|member| member.link)
            .collect()
    }

    /// Returns whether a connected daemon has reached the store since `at`.
    pub(crate) fn has_store_access_since(&self, at: Millis) -> bool {
        let mut members = self.by_host.values();
        members.any(|member| member.link.is_some() && member.store_ok_at >= at)
    }

    /// Returns whether a much stronger daemon has been connected for a while and reaches the store.
    fn has_stronger_member(&self, now: Millis, own: HostStrength) -> bool {
        let is_strong = |member: &Member| {
            let strength = member.strength;
            strength.is_some_and(|strength| strength.is_much_stronger_than(own))
        };
        let is_steady = |member: &Member| now.since(member.joined_at) >= consts::YIELD_STABLE_MS;
        let reaches_store =
            |member: &Member| now.since(member.store_ok_at) < consts::STORE_DOWN_TIMEOUT_MS;
        let mut members = self.by_host.values();
        members.any(|member| {
            member.link.is_some() && is_strong(member) && is_steady(member) && reaches_store(member)
        })
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
        if let Some(member) = members.find(|member| member.link == Some(link)) {
            member.pings.push((sent_ms, now));
            member.last_ping_at = now;
            member.store_ok_at = store_ok_at;
        }
    }
}

impl Member {
    /// Returns the send time of the latest ping that arrived up to `at`, and removes that ping and
    /// all earlier ones.
    fn take_confirmed_ping(&mut self, at: Option<Millis>) -> Option<Millis> {
        let at = at?;
        let last = self
            .pings
            .iter()
            .rposition(|(_, arrived_at)| *arrived_at <= at)?;
        let (sent_ms, _) = self.pings[last];
        self.pings.drain(..=last);
        Some(sent_ms)
    }
}

impl Leader {
    /// Returns whether a much stronger daemon should lead instead.
    pub(crate) fn should_yield(&self, ctx: &Ctx) -> bool {
        let is_steady = ctx.now.since(self.started_at) >= consts::YIELD_STABLE_MS;
        is_steady
            && self
                .members
                .has_stronger_member(ctx.now, ctx.settings.strength())
    }

    /// Adds a member or updates its address and strength.
    pub(crate) fn on_member_row(&mut self, ctx: &mut Ctx, host: &str, row: MemberRow) {
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
        member.strength = Some(HostStrength::new(row.cpu_milli, row.link_kbps));
        member.next_dial_at = ctx.now;
        member.failures = 0;
    }

    /// Handles the end of an attempt to connect to a member.
    pub(crate) fn on_dialed(&mut self, ctx: &mut Ctx, address: &str, link: Option<LinkId>) {
        let mut members = self.members.by_host.iter_mut();
        let found = members.find(|(_, member)| member.address == address && member.dialing);
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
                member.last_ping_at = ctx.now;
                member.joined_at = ctx.now;
                member.failures = 0;
                member.pings.clear();
                self.advice.add_caller(link);
                self.members.next_heartbeat_at = Millis(0);
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
        if let Some((host, member)) = members.find(|(_, member)| member.link == Some(link)) {
            ctx.log(
                LogEvent::warn("member_lost")
                    .with("host", host)
                    .with("link", link),
            );
            member.link = None;
            member.next_dial_at = ctx.now + consts::REDIAL_DELAY_MS;
        }
        self.advice.remove_caller(link);
    }

    /// Closes links to unresponsive members, dials the missing ones and sends heartbeats when due.
    pub(crate) fn tick_members(&mut self, ctx: &mut Ctx, config: &ConfigFeed, election: &Election) {
        let now = ctx.now;
        let is_unresponsive =
            |member: &Member| now.since(member.last_ping_at) > consts::MEMBER_TIMEOUT_MS;
        let members = self.members.by_host.values();
        let unresponsive = members
            .filter(|member| is_unresponsive(member))
            .filter_map(|member| member.link);
        for link in unresponsive.collect::<Vec<_>>() {
            ctx.push(Effect::Close(link));
            self.on_link_down(ctx, link);
        }
        for member in self.members.by_host.values_mut() {
            if member.link.is_none() && !member.dialing && ctx.now >= member.next_dial_at {
                member.dialing = true;
                ctx.push(Effect::Dial(member.address.clone()));
            }
        }
        // A renewed lease is sent early, so that the others measure its age from the latest
        // renewal.
        let has_new_lease = election.lease() > self.members.heartbeat_lease;
        let store_slow = ctx.store_age_ms() > consts::STORE_SLOW_THRESHOLD_MS;
        let is_early_due = (has_new_lease || store_slow)
            && now.since(self.members.last_heartbeat_at) >= consts::MIN_HEARTBEAT_INTERVAL_MS;
        if now < self.members.next_heartbeat_at && !is_early_due || !ctx.has_lead() {
            return;
        }
        self.members.heartbeat_lease = election.lease();
        self.members.last_heartbeat_at = now;
        self.members.next_heartbeat_at = now + consts::HEARTBEAT_INTERVAL_MS;
        let (queued, queued_at) = self.queued_counts();
        let closed = self.closed_queues(ctx);
        let worker_id_bytes = self.fleet.longest_id_bytes();
        let admission = self.admission_table(ctx);
        let members = self.members.by_host.values();
        let strengths = members.filter_map(|member| member.strength);
        let strongest = strengths.fold(ctx.settings.strength(), HostStrength::max);
        let heartbeat = |confirmed_ms| ToMember::Heartbeat {
            token: self.token,
            lease: election.lease(),
            version: config.version(),
            confirmed_ms,
            queued: queued.clone(),
            queued_at: Some(queued_at.clone()),
            worker_id_bytes: self.loader.is_done().then_some(worker_id_bytes),
            ready: self.loader.is_done(),
            store_slow,
            strongest_cpu_milli: strongest.cpu_milli(),
            strongest_link_kbps: Some(strongest.link_kbps()),
            closed: closed.clone(),
            admission: admission.clone(),
        };
        ctx.send_member(LOCAL_LINK, heartbeat(None));
        for member in self.members.by_host.values_mut() {
            if let Some(link) = member.link {
                let confirmed_ms = member.take_confirmed_ping(config.confirmed_at());
                ctx.send_member(link, heartbeat(confirmed_ms));
            }
        }
    }
}
