//! What the components of a daemon share: the time, the settings, the open calls and the effects.

use crate::{
    cell::{
        consts, store_clock::StoreClock, CellSettings, Effect, LinkId, LogEvent, RpcId, StoreCall,
        StoreReply, ToLeader, ToMember,
    },
    Millis,
};
use std::collections::BTreeMap;

/// The link for messages between a daemon and the leader in the same process.
pub(crate) const LOCAL_LINK: LinkId = LinkId(0);

/// The component of a daemon that made a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RpcOwner {
    Config,
    Frontend,
    Election,
    Leader,
    Submissions,
}

/// State shared by all components: the time, the settings, the open calls and the effects.
#[derive(Debug)]
pub(crate) struct Ctx {
    pub(crate) now: Millis,
    pub(crate) unix_ms: u64,
    pub(crate) settings: CellSettings,
    last_rpc: RpcId,
    /// The component that made each open call, and when.
    owners: BTreeMap<RpcId, (RpcOwner, Millis)>,
    pub(crate) store_clock: StoreClock,
    effects: Vec<Effect>,
    /// Messages to and from the leader in this process, which need no connection.
    pub(crate) inbox: Vec<ToLeader>,
    pub(crate) outbox: Vec<ToMember>,
    store_ok_at: Millis,
    store_failures: u32,
    store_down: bool,
    /// The end of this daemon's lease as the leader; it lies in the past while the daemon does not lead.
    lead_until: Millis,
}

impl Ctx {
    pub(crate) fn new(settings: CellSettings, now: Millis, unix_ms: u64) -> Self {
        Self {
            now,
            unix_ms,
            settings,
            last_rpc: RpcId(0),
            owners: BTreeMap::new(),
            store_clock: StoreClock::default(),
            effects: Vec::new(),
            inbox: Vec::new(),
            outbox: Vec::new(),
            store_ok_at: now,
            store_failures: 0,
            store_down: false,
            lead_until: Millis(0),
        }
    }

    /// Returns whether this daemon's lease as the leader is certainly valid.
    pub(crate) fn has_lead(&self) -> bool {
        self.now < self.lead_until
    }

    /// Returns the time until which this daemon's lease as the leader is certainly valid.
    pub(crate) fn lead_until(&self) -> Millis {
        self.lead_until
    }

    /// Extends the lease as the leader.
    pub(crate) fn extend_lead(&mut self, until: Millis) {
        self.lead_until = self.lead_until.max(until);
    }

    /// Ends the lease as the leader now.
    pub(crate) fn end_lead(&mut self) {
        self.lead_until = self.lead_until.min(self.now);
    }

    /// Removes an open call; returns the component that made it, and when.
    pub(crate) fn end_rpc(&mut self, rpc: RpcId) -> Option<(RpcOwner, Millis)> {
        self.owners.remove(&rpc)
    }

    /// Takes the effects of the event that was handled.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the id for a new call of a component.
    pub(crate) fn next_rpc(&mut self, owner: RpcOwner) -> RpcId {
        self.last_rpc = self.last_rpc.next();
        self.owners.insert(self.last_rpc, (owner, self.now));
        self.last_rpc
    }

    pub(crate) fn call_store(
        &mut self,
        owner: RpcOwner,
        call: StoreCall,
        timeout_ms: Millis,
    ) -> RpcId {
        let rpc = self.next_rpc(owner);
        self.effects.push(Effect::Store {
            rpc,
            call,
            timeout_ms,
        });
        rpc
    }

    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Sends a message to a member, which may be this daemon itself.
    pub(crate) fn send_member(&mut self, link: LinkId, message: ToMember) {
        if link == LOCAL_LINK {
            self.outbox.push(message);
        } else {
            self.push(Effect::ToMember(link, message));
        }
    }

    /// Returns whether several calls to the store in a row have failed and none was answered
    /// recently.
    pub(crate) fn store_is_down(&self) -> bool {
        self.store_failures >= 2 && self.now.since(self.store_ok_at) > consts::STORE_DOWN_TIMEOUT_MS
    }

    /// Returns how long ago the store last answered.
    pub(crate) fn store_age_ms(&self) -> Millis {
        self.now.since(self.store_ok_at)
    }

    /// Returns the time since which another daemon must have reached the store for this leader to
    /// hand over, or `None` if the store has answered this leader recently.
    pub(crate) fn handover_after(&self) -> Option<Millis> {
        // A leader renews its lease more often than this, so at least one answer is overdue.
        let is_overdue = self.store_age_ms() > consts::HANDOVER_THRESHOLD_MS;
        is_overdue.then_some(self.store_ok_at + consts::HANDOVER_THRESHOLD_MS)
    }

    /// Updates the store's clock and whether the store is down, from the reply to a call sent at
    /// `sent_at`.
    pub(crate) fn record_store_reply(&mut self, reply: &StoreReply, sent_at: Millis) {
        if let StoreReply::Rows {
            clock_ms: Some(clock_ms),
            ..
        } = reply
        {
            self.store_clock.observe(sent_at, self.now, *clock_ms);
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
            let event = match down {
                true => LogEvent::warn("store_lost").with("ok_age_ms", ok_age_ms),
                false => LogEvent::warn("store_regained"),
            };
            self.log(event.with("reply", reply_name(reply)));
        }
    }
}

pub(crate) const fn reply_name(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Written(_) => "written",
        StoreReply::Conflict(_) => "conflict",
        StoreReply::Rows { .. } => "rows",
        StoreReply::HistoryLost => "history_lost",
        StoreReply::Refused(_) => "refused",
        StoreReply::Lost => "lost",
    }
}
