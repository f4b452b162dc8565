//! Follows the desired state in the store and tracks until when it may be used to accept API keys.

use crate::{
    cell::{
        consts,
        ctx::{reply_name, Ctx, RpcOwner},
        DesiredState, LogEvent, RowValue, RowVersion, RpcId, StoreCall, StoreReply, Table,
    },
    Millis,
};
use std::rc::Rc;

/// The latest desired state that this daemon has read.
#[derive(Debug, Default)]
pub struct ConfigFeed {
    current: Option<Rc<DesiredState>>,
    /// The version of the store's row that was last read.
    row_version: RowVersion,
    /// The version up to which the table has been read; `None` if it must be read in full.
    read_version: Option<RowVersion>,
    /// The latest time at which the current state is known to have been the newest.
    confirmed_at: Option<Millis>,
    in_flight: Option<(RpcId, Millis)>,
    next_at: Millis,
    /// How many reads have failed in a row.
    failures: u32,
}

impl ConfigFeed {
    /// Returns the current desired state.
    pub fn current(&self) -> Option<&Rc<DesiredState>> {
        self.current.as_ref()
    }

    /// Returns the version of the current desired state, or 0 if there is none yet.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |state| state.version)
    }

    /// Returns the latest time at which the current state is known to have been the newest.
    pub(crate) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Returns whether the current state is recent enough to check API keys against it.
    pub(crate) fn is_fresh(&self, now: Millis, key_revocation_ms: Millis) -> bool {
        let max_age_ms = key_revocation_ms.since(consts::KEY_REVOCATION_MARGIN_MS);
        self.confirmed_at
            .is_some_and(|at| now.since(at) < max_age_ms)
    }

    /// Records the leader's confirmation that `version` was the newest at the time `at`.
    pub(crate) fn confirm(&mut self, version: u64, at: Millis) {
        if version == self.version() && self.current.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Replaces the current state with `state` if that is newer.
    pub(crate) fn apply(&mut self, state: DesiredState, ctx: &mut Ctx, source: &'static str) {
        if state.version <= self.version() {
            return;
        }
        let event = LogEvent::info("config_applied").with("version", state.version);
        let event = event.with("before", self.version()).with("source", source);
        ctx.log(
            event
                .with("queues", state.queues.len())
                .with("teams", state.teams.len()),
        );
        self.current = Some(Rc::new(state));
    }

    pub(crate) fn tick(&mut self, ctx: &mut Ctx) {
        if self.in_flight.is_some() || ctx.now < self.next_at {
            return;
        }
        let (call, wait_ms) = match self.read_version {
            Some(after) => {
                let wait_ms = consts::FOLLOW_WAIT_MS;
                let table = Table::DesiredState;
                (
                    StoreCall::Follow {
                        table,
                        after,
                        wait_ms,
                    },
                    wait_ms,
                )
            }
            None => (
                StoreCall::Read {
                    table: Table::DesiredState,
                    partition: "".into(),
                    from: "".into(),
                    limit: 0,
                },
                Millis(0),
            ),
        };
        let timeout_ms = wait_ms + consts::STORE_TIMEOUT_MS;
        let rpc = ctx.call_store(RpcOwner::Config, call, timeout_ms);
        self.in_flight = Some((rpc, ctx.now));
    }

    pub(crate) fn on_store(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) {
        let Some((_, sent_at)) = self.in_flight.take_if(|(open, _)| *open == rpc) else {
            return;
        };
        match reply {
            StoreReply::Rows { rows, version, .. } => {
                for row in rows {
                    self.on_row(ctx, row.version, row.value);
                }
                self.failures = 0;
                self.read_version = self.read_version.max(Some(version));
                self.confirmed_at = self.confirmed_at.max(Some(sent_at));
                self.next_at = ctx.now;
            }
            StoreReply::HistoryLost => {
                ctx.log(LogEvent::warn("config_history_lost").with("after", self.row_version));
                self.read_version = None;
                self.next_at = ctx.now;
            }
            reply => {
                self.next_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
                self.failures = self.failures.saturating_add(1);
                if self.failures.is_power_of_two() {
                    let event = LogEvent::warn("read_failed").with("table", "DesiredState");
                    let event = event.with("reply", reply_name(&reply));
                    ctx.log(event.with("failures", self.failures));
                }
            }
        }
        self.tick(ctx);
    }

    fn on_row(&mut self, ctx: &mut Ctx, version: RowVersion, value: RowValue) {
        match value {
            RowValue::DesiredState(state) if version > self.row_version => {
                self.row_version = version;
                self.apply(*state, ctx, "store");
            }
            RowValue::Unusable(reason) => {
                ctx.log(LogEvent::warn("config_unusable").with("reason", reason));
            }
            _ => {}
        }
    }
}
