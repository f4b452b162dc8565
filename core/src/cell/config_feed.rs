//! Follows the desired state and the requests to drain domains in the store, and tracks until when they
//! may be used.

use crate::{
    cell::{
        consts,
        ctx::{reply_name, Ctx, RpcOwner},
        domain_drains::{DomainDrains, DrainChange},
        DesiredState, LogEvent, Row, RowKey, RowValue, RowVersion, RpcId, StoreCall, StoreReply,
        Table,
    },
    Millis,
};
use compact_str::{format_compact, CompactString};
use std::{collections::BTreeMap, rc::Rc};

/// How often in a row a page is read again that has no readable key and is not the last one.
const MAX_UNREADABLE_PAGES: u32 = 24;

/// A full read of the table, which goes on page by page.
#[derive(Clone, Debug)]
struct FullRead {
    /// The table and key with which the next page begins.
    from: (Table, CompactString),
    /// The version and the time of sending of the first page; a later page may lack changes before it.
    first_page: Option<(RowVersion, Millis)>,
    /// The requests to drain domains on the pages so far.
    drains: BTreeMap<CompactString, RowVersion>,
    unreadable_pages: u32,
}

impl Default for FullRead {
    fn default() -> Self {
        Self {
            from: (Table::DesiredState, CompactString::default()),
            first_page: None,
            drains: BTreeMap::new(),
            unreadable_pages: 0,
        }
    }
}

/// How the table is read next.
#[derive(Clone, Debug)]
enum NextRead {
    Full(FullRead),
    /// The changes after this version.
    Follow(RowVersion),
}

impl Default for NextRead {
    fn default() -> Self {
        Self::Full(FullRead::default())
    }
}

/// The rows of one of the store's answers.
#[derive(Debug)]
struct Page {
    rows: Vec<Row>,
    more: bool,
    version: RowVersion,
    sent_at: Millis,
}

/// The latest desired state that this daemon has read.
#[derive(Debug, Default)]
pub struct ConfigFeed {
    current: Option<Rc<DesiredState>>,
    /// The version of the store's row that was last read.
    row_version: RowVersion,
    drains: DomainDrains,
    /// When the last of this daemon's own reads was sent that the store has answered in full.
    drains_read_at: Option<Millis>,
    next_read: NextRead,
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

    /// Returns the drained domains.
    pub fn drains(&self) -> &DomainDrains {
        &self.drains
    }

    /// Returns when the last of this daemon's own reads was sent that the store has answered in full; all
    /// requests to drain domains that the store had answered by then are known.
    pub(crate) fn drains_read_at(&self) -> Option<Millis> {
        self.drains_read_at
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
        let (call, wait_ms) = match &self.next_read {
            NextRead::Follow(after) => {
                // The answer to a repeated read is due at once, since the last one is old already.
                let wait_ms = match self.failures {
                    0 => ctx.settings.follow_wait_ms(),
                    _ => Millis(0),
                };
                let call = StoreCall::Follow {
                    table: Table::DesiredState,
                    after: *after,
                    wait_ms,
                };
                (call, wait_ms)
            }
            NextRead::Full(read) => {
                let (table, from) = read.from.clone();
                let call = StoreCall::Read {
                    table,
                    partition: "".into(),
                    from,
                    limit: 0,
                };
                (call, Millis(0))
            }
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
            StoreReply::Rows {
                rows,
                more,
                version,
                ..
            } => {
                let page = Page {
                    rows,
                    more,
                    version,
                    sent_at,
                };
                self.next_at = ctx.now;
                match std::mem::take(&mut self.next_read) {
                    NextRead::Full(read) => self.on_full_page(ctx, read, page),
                    NextRead::Follow(after) => self.on_changes(ctx, after, page),
                }
            }
            StoreReply::HistoryLost => {
                ctx.log(LogEvent::warn("config_history_lost").with("after", self.row_version));
                self.next_read = NextRead::default();
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

    /// Handles a page of a full read; the requests to drain domains are replaced after the last page.
    fn on_full_page(&mut self, ctx: &mut Ctx, mut read: FullRead, page: Page) {
        // A row whose key can't be read has an empty one.
        let mut keys = page.rows.iter().rev().map(|row| &row.key);
        let last = keys.find(|key| !key.key.is_empty()).cloned();
        if page.more && last.is_none() && read.unreadable_pages < MAX_UNREADABLE_PAGES {
            read.unreadable_pages += 1;
            self.next_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
            let event = LogEvent::warn("page_without_keys").with("table", "DesiredState");
            let event = event.with("from", &read.from.1);
            ctx.log(event.with("rows", page.rows.len()));
            self.next_read = NextRead::Full(read);
            return;
        }
        if page.more && last.is_none() {
            let event = LogEvent::warn("read_cut_short").with("table", "DesiredState");
            ctx.log(event.with("from", &read.from.1));
        }
        let first_page = *read.first_page.get_or_insert((page.version, page.sent_at));
        for row in page.rows {
            match row.key.table {
                Table::DomainDrains if !row.key.key.is_empty() => {
                    log_unreadable_request(ctx, &row);
                    if row.value != RowValue::Gone {
                        read.drains.insert(row.key.key, row.version);
                    }
                }
                _ => self.on_state_row(ctx, row.version, row.value),
            }
        }
        if let (true, Some(RowKey { table, key, .. })) = (page.more, last) {
            read.from = (table, format_compact!("{key}\u{1}"));
            self.next_read = NextRead::Full(read);
            return;
        }
        let (version, sent_at) = first_page;
        for change in self.drains.replace(ctx.now, read.drains) {
            log_drain_change(ctx, change, sent_at);
        }
        self.next_read = NextRead::Follow(version);
        self.confirm_read(sent_at);
    }

    /// Handles the changes after the version `after`.
    fn on_changes(&mut self, ctx: &mut Ctx, after: RowVersion, page: Page) {
        // An answer that is not the last one covers only the changes up to its last row.
        let last = page.rows.iter().map(|row| row.version).max();
        let last = last.filter(|last| *last > after);
        let read_up_to = match (page.more, last) {
            (false, _) => Some(page.version.max(after)),
            (true, last) => last,
        };
        for row in page.rows {
            match row.key.table {
                Table::DomainDrains if !row.key.key.is_empty() => {
                    self.on_drain_change(ctx, row, page.sent_at)
                }
                _ => self.on_state_row(ctx, row.version, row.value),
            }
        }
        match read_up_to {
            Some(version) => self.next_read = NextRead::Follow(version),
            None => {
                // It is unknown where the next answer begins.
                ctx.log(LogEvent::warn("config_history_lost").with("after", after));
                self.next_read = NextRead::default();
                return;
            }
        }
        if !page.more {
            self.confirm_read(page.sent_at);
        }
    }

    /// Records that the store has answered a read that was sent at `sent_at` in full.
    fn confirm_read(&mut self, sent_at: Millis) {
        self.failures = 0;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.drains_read_at = self.drains_read_at.max(Some(sent_at));
    }

    fn on_drain_change(&mut self, ctx: &mut Ctx, row: Row, sent_at: Millis) {
        log_unreadable_request(ctx, &row);
        let (domain, version) = (&row.key.key, row.version);
        let change = match row.value {
            RowValue::Gone => self.drains.withdraw(ctx.now, domain, version),
            _ => self.drains.request(domain, version),
        };
        if let Some(change) = change {
            log_drain_change(ctx, change, sent_at);
        }
    }

    fn on_state_row(&mut self, ctx: &mut Ctx, version: RowVersion, value: RowValue) {
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

/// Logs a request whose value can't be read. It is in force all the same: its key names the domain, and
/// a domain that is drained in error costs capacity only.
fn log_unreadable_request(ctx: &mut Ctx, row: &Row) {
    if let RowValue::Unusable(reason) = &row.value {
        let event = LogEvent::warn("row_unusable").with("table", "DomainDrains");
        let event = event.with("key", &row.key.key);
        ctx.log(event.with("reason", reason));
    }
}

fn log_drain_change(ctx: &mut Ctx, change: DrainChange, sent_at: Millis) {
    if ctx.settings.drain_bound_ms.is_none() {
        return;
    }
    let (event, domain, version) = match change {
        DrainChange::Drained(domain, version) => ("domain_drained", domain, version),
        DrainChange::Restored(domain, version) => ("domain_restored", domain, version),
    };
    let event = LogEvent::warn(event).with("domain", domain);
    let event = event.with("version", version);
    ctx.log(event.with("age_ms", ctx.now.since(sent_at).0));
}
