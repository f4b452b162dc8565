//! Elects the leader with a conditional write to the term row in the store.
//!
//! The leader renews the lease row. The other daemons read both rows and try to lead once the lease
//! has expired or the leader has resigned; hosts with a smaller processor share or a slower link wait longer.
//! The version of the term row is the leader's fencing token.

use crate::{
    cell::{
        consts,
        ctx::{Ctx, RpcOwner},
        host_strength::HostStrength,
        term::Term,
        CellSettings, FencingToken, LinkId, LogEvent, MemberRow, Row, RowKey, RowValue, RowVersion,
        RpcId, StoreCall, StoreReply, Table, TermRow, Write,
    },
    Millis,
};
use compact_str::CompactString;

#[derive(Debug)]
enum ElectionCall {
    Register,
    Read,
    Acquire {
        nonce: u64,
        generation: u32,
        sent_at: Millis,
    },
    Renew {
        sent_at: Millis,
    },
    Resign,
}

/// How the store's answer changes this daemon's leadership.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum LeadershipChange {
    /// The leadership is unchanged.
    None,
    /// This daemon has become the leader.
    Elected(Term),
    /// This daemon no longer leads.
    Lost,
}

/// One daemon's view of the leadership.
#[derive(Debug)]
pub(crate) struct Election {
    host: CompactString,
    member: MemberRow,
    registered: bool,
    /// The version and the value of the term row.
    term: RowVersion,
    term_row: TermRow,
    /// The version of the lease row, and the time from which its age is measured.
    lease: RowVersion,
    lease_seen_at: Millis,
    /// When the lease of that version expires, if known from the row and the store's clock.
    lease_expires_at: Option<Millis>,
    /// Whether the term and lease rows were read since they last may have changed.
    rows_known: bool,
    strength: HostStrength,
    /// The most that any daemon's host has of each, as reported by the last leader.
    pub(crate) strongest: HostStrength,
    next_acquire_at: Millis,
    /// When the leases of all earlier leaders have certainly expired, if the latest attempt to lead
    /// succeeds.
    earlier_leads_end_at: Millis,
    pub(crate) own_token: Option<FencingToken>,
    next_renew_at: Millis,
    next_read_at: Millis,
    open: Vec<(RpcId, ElectionCall)>,
    /// The connection to the leader, its token and the time of its latest heartbeat.
    pub(crate) link: Option<LinkId>,
    pub(crate) leader_token: FencingToken,
    pub(crate) heartbeat_at: Option<Millis>,
    resigning: bool,
    /// The last token under which this daemon led; it never leads under it again, because others may
    /// have been told that it no longer does.
    ended_token: FencingToken,
    /// The highest token of a leader that has announced its resignation.
    resigned_token: FencingToken,
    resigned_at: Millis,
    /// The first and the latest nonce that this process used in attempts to lead.
    first_nonce: u64,
    nonce: u64,
}

fn term_key() -> RowKey {
    RowKey::new(Table::Leadership, consts::CELL_PARTITION, "term")
}

/// Returns the key of the row that the leader writes to renew its lease.
pub(crate) fn lease_key() -> RowKey {
    RowKey::new(Table::Leadership, consts::CELL_PARTITION, "lease")
}

/// Returns the lease row for a lease that begins now.
pub(crate) fn lease_row(ctx: &Ctx) -> (RowKey, RowValue) {
    let clock_ms = ctx.store_clock.at_most(ctx.now);
    let until_ms = clock_ms.map(|clock_ms| clock_ms + consts::LEADER_LEASE_MS);
    (lease_key(), RowValue::Lease(until_ms))
}

/// Returns the expected version of the term row while the leader with `token` leads; a transaction
/// with it fails under any other leader.
pub(crate) fn fence(token: FencingToken) -> (RowKey, RowVersion) {
    (term_key(), RowVersion(token.0))
}

impl Election {
    pub(crate) fn new(settings: &CellSettings, nonce: u64) -> Self {
        let row = MemberRow {
            address: settings.address.clone(),
            cpu_milli: settings.cpu_milli,
            link_kbps: settings.link_kbps,
        };
        let strength = settings.strength();
        let usual = HostStrength::new(consts::DEFAULT_STRONGEST_CPU_MILLI, None);
        Self {
            host: settings.host.clone(),
            member: row,
            registered: false,
            term: RowVersion(0),
            term_row: TermRow::default(),
            lease: RowVersion(0),
            lease_seen_at: Millis(0),
            lease_expires_at: None,
            rows_known: false,
            strength,
            strongest: strength.max(usual),
            next_acquire_at: Millis(0),
            earlier_leads_end_at: Millis(0),
            own_token: None,
            next_renew_at: Millis(0),
            next_read_at: Millis(0),
            open: Vec::new(),
            link: None,
            leader_token: FencingToken(0),
            heartbeat_at: None,
            resigning: false,
            ended_token: FencingToken(0),
            resigned_token: FencingToken(0),
            resigned_at: Millis(0),
            first_nonce: nonce,
            nonce,
        }
    }

    /// Returns whether the connection to the leader is open and a heartbeat arrived recently.
    pub(crate) fn has_live_leader(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now.since(at) < consts::LEADER_TIMEOUT_MS;
        self.link.is_some() && self.heartbeat_at.is_some_and(is_recent)
    }

    pub(crate) fn tick(&mut self, ctx: &mut Ctx, stopping: bool) {
        self.register(ctx);
        if self.own_token.is_some() {
            self.renew(ctx);
        } else if !stopping && !self.has_live_leader(ctx.now) {
            self.try_to_lead(ctx);
        }
    }

    fn call(&mut self, ctx: &mut Ctx, open: ElectionCall, call: StoreCall, timeout_ms: Millis) {
        let rpc = ctx.call_store(RpcOwner::Election, call, timeout_ms);
        self.open.push((rpc, open));
    }

    fn is_open(&self, wanted: impl Fn(&ElectionCall) -> bool) -> bool {
        self.open.iter().any(|(_, open)| wanted(open))
    }

    fn register(&mut self, ctx: &mut Ctx) {
        if self.registered || self.is_open(|open| matches!(open, ElectionCall::Register)) {
            return;
        }
        let key = RowKey::new(Table::Members, consts::MEMBERS_PARTITION, &self.host);
        let write = Write {
            put: vec![(key, RowValue::Member(self.member.clone()))],
            ..Write::default()
        };
        let call = StoreCall::Write(write);
        self.call(ctx, ElectionCall::Register, call, consts::STORE_TIMEOUT_MS);
    }

    fn renew(&mut self, ctx: &mut Ctx) {
        let Some(token) = self.own_token.filter(|_| ctx.now >= self.next_renew_at) else {
            return;
        };
        self.next_renew_at = ctx.now + consts::LEASE_RENEW_INTERVAL_MS;
        if self.resigning {
            return self.write_resignation(ctx, token);
        }
        let write = Write {
            expect: vec![fence(token)],
            put: vec![lease_row(ctx)],
            remove: Vec::new(),
        };
        let open = ElectionCall::Renew { sent_at: ctx.now };
        self.call(
            ctx,
            open,
            StoreCall::Write(write),
            consts::LEASE_RENEW_TIMEOUT_MS,
        );
    }

    /// Tries to become leader if that is possible by now, and otherwise reads the rows when due.
    fn try_to_lead(&mut self, ctx: &mut Ctx) {
        if self.is_open(|open| matches!(open, ElectionCall::Acquire { .. })) {
            return;
        }
        if self.can_acquire(ctx.now) && ctx.now >= self.next_acquire_at {
            self.next_acquire_at = ctx.now + consts::ELECTION_READ_INTERVAL_MS;
            return self.acquire(ctx);
        }
        if ctx.now >= self.next_read_at {
            self.read(ctx);
        }
    }

    /// Reads the term and lease rows, unless a read is in flight.
    pub(crate) fn read(&mut self, ctx: &mut Ctx) {
        if self.is_open(|open| matches!(open, ElectionCall::Read)) {
            return;
        }
        self.next_read_at = ctx.now + consts::ELECTION_READ_INTERVAL_MS;
        let call = StoreCall::Read {
            table: Table::Leadership,
            partition: consts::CELL_PARTITION.into(),
            from: "".into(),
            limit: 0,
        };
        self.call(ctx, ElectionCall::Read, call, consts::STORE_TIMEOUT_MS);
    }

    /// Returns whether this daemon may try to lead: the rows are known, and the lease expired or
    /// the leader resigned at least the delay for this host's strength ago. An earlier
    /// process on this host is replaced at once.
    fn can_acquire(&self, now: Millis) -> bool {
        let waited = now.since(self.lease_seen_at);
        let weak_host_delay_ms = self.strength.election_delay_ms(self.strongest);
        let expired = if self.is_own_earlier_incarnation() {
            true
        } else if self.has_holder_resigned() {
            now.since(self.resigned_at) >= weak_host_delay_ms
        } else if self.term_row.holder.is_none() {
            waited >= weak_host_delay_ms
        } else {
            let expires_at = self.lease_seen_at + consts::LEADER_LEASE_MS;
            now >= self.lease_expires_at.unwrap_or(expires_at) + weak_host_delay_ms
        };
        self.rows_known && expired
    }

    /// Returns whether the leader that the term row names has announced its resignation. Before the first
    /// leader there is neither.
    fn has_holder_resigned(&self) -> bool {
        self.term > RowVersion(0) && self.resigned_token.0 == self.term.0
    }

    /// Returns when the leases of all earlier leaders have certainly expired, if this daemon's attempt to
    /// lead succeeds: the store then takes no renewal after the version of the lease row that is known
    /// now. The end that the row states is no bound, because the store may carry out an earlier renewal
    /// after later ones; nor is the end of the last leader, because the ones before it may outlast it.
    fn earlier_leads_end_at(&self, now: Millis) -> Millis {
        now.max(self.lease_seen_at + consts::LEADER_LEASE_MS)
    }

    /// Returns whether the term row names an earlier process on this host, which has ended by now.
    fn is_own_earlier_incarnation(&self) -> bool {
        let own = self.term_row.holder.as_ref() == Some(&self.host);
        own && !(self.first_nonce..=self.nonce).contains(&self.term_row.nonce)
    }

    fn acquire(&mut self, ctx: &mut Ctx) {
        self.nonce += 1;
        self.earlier_leads_end_at = self.earlier_leads_end_at(ctx.now);
        let generation = self.term_row.generation.saturating_add(1);
        let row = TermRow {
            holder: Some(self.host.clone()),
            nonce: self.nonce,
            generation,
        };
        let write = Write {
            expect: vec![(term_key(), self.term), (lease_key(), self.lease)],
            put: vec![(term_key(), RowValue::Term(row)), lease_row(ctx)],
            remove: Vec::new(),
        };
        let event = LogEvent::info("lead_wanted").with("generation", generation);
        let event = event.with("lease_age_ms", ctx.now.since(self.lease_seen_at).0);
        ctx.log(event.with("lease_version", self.lease));
        let open = ElectionCall::Acquire {
            nonce: self.nonce,
            generation,
            sent_at: ctx.now,
        };
        self.call(ctx, open, StoreCall::Write(write), consts::STORE_TIMEOUT_MS);
    }

    /// Resigns as leader, so that another daemon can take over at once. The lease ends with that: another
    /// daemon may lead as soon as the write is stored, which the answer shows later or not at all.
    pub(crate) fn resign(&mut self, ctx: &mut Ctx) {
        let Some(token) = self.own_token.filter(|_| !self.resigning) else {
            return;
        };
        self.resigning = true;
        ctx.end_lead();
        ctx.log(LogEvent::info("lead_resigned").with("token", token));
        self.write_resignation(ctx, token);
    }

    /// Writes that this daemon has resigned, unless that write is in flight.
    fn write_resignation(&mut self, ctx: &mut Ctx, token: FencingToken) {
        if self.is_open(|open| matches!(open, ElectionCall::Resign)) {
            return;
        }
        let row = TermRow {
            holder: None,
            nonce: 0,
            generation: self.term_row.generation,
        };
        let write = Write {
            expect: vec![fence(token)],
            put: vec![(term_key(), RowValue::Term(row))],
            remove: Vec::new(),
        };
        let call = StoreCall::Write(write);
        self.call(ctx, ElectionCall::Resign, call, consts::STORE_TIMEOUT_MS);
    }

    pub(crate) fn on_store(
        &mut self,
        ctx: &mut Ctx,
        rpc: RpcId,
        reply: StoreReply,
    ) -> LeadershipChange {
        let Some(at) = self.open.iter().position(|(open, _)| *open == rpc) else {
            return LeadershipChange::None;
        };
        let (_, open) = self.open.swap_remove(at);
        match (open, reply) {
            (ElectionCall::Register, reply) => {
                self.registered = matches!(reply, StoreReply::Written(_))
            }
            (ElectionCall::Read, StoreReply::Rows { rows, clock_ms, .. }) => {
                return self.on_rows(ctx, rows, clock_ms)
            }
            (
                ElectionCall::Acquire {
                    generation,
                    sent_at,
                    ..
                },
                StoreReply::Written(version),
            ) => {
                let change = self.become_leader(ctx, version, generation);
                self.on_renewed(ctx, sent_at, version);
                return change;
            }
            (ElectionCall::Acquire { .. }, StoreReply::Conflict(rows)) => {
                return self.on_rows(ctx, rows, None)
            }
            (ElectionCall::Acquire { .. }, StoreReply::Refused(_)) => {}
            (ElectionCall::Acquire { nonce, .. }, _) => {
                ctx.log(LogEvent::warn("lead_unsure").with("nonce", nonce));
                // The rows must be read to find out whether the write was committed.
                self.rows_known = false;
                self.next_read_at = ctx.now;
            }
            (ElectionCall::Renew { sent_at }, StoreReply::Written(version)) => {
                self.on_renewed(ctx, sent_at, version);
            }
            (ElectionCall::Renew { .. } | ElectionCall::Resign, StoreReply::Conflict(_))
            | (ElectionCall::Resign, StoreReply::Written(_)) => return self.step_down(ctx),
            _ => {}
        }
        LeadershipChange::None
    }

    /// Extends the lease after a committed write of the lease row that was sent at `sent_at`.
    pub(crate) fn on_renewed(&mut self, ctx: &mut Ctx, sent_at: Millis, version: RowVersion) {
        self.lease = self.lease.max(version);
        if self.own_token.is_none() || self.resigning {
            return;
        }
        let span = consts::LEADER_LEASE_MS.since(consts::LEADER_LEASE_MARGIN_MS);
        ctx.extend_lead(sent_at + span);
        self.next_renew_at = self
            .next_renew_at
            .max(sent_at + consts::LEASE_RENEW_INTERVAL_MS);
    }

    /// Starts this daemon's leadership; the version of the term row is its token.
    fn become_leader(
        &mut self,
        ctx: &mut Ctx,
        version: RowVersion,
        generation: u32,
    ) -> LeadershipChange {
        let token = FencingToken(version.0);
        self.own_token = Some(token);
        self.term = version;
        self.term_row.generation = generation;
        self.lease = version;
        self.leader_token = token;
        self.resigning = false;
        self.link = None;
        // After a read that found this daemon's own term row, the lease must be renewed before it
        // counts as valid.
        ctx.end_lead();
        self.next_renew_at = ctx.now;
        let term = Term {
            token,
            generation,
            earlier_leads_end_at: self.earlier_leads_end_at.max(ctx.now),
        };
        let event = LogEvent::warn("lead_taken").with("token", token);
        let event = event.with("generation", generation);
        ctx.log(event.with(
            "earlier_left_ms",
            term.earlier_leads_end_at.since(ctx.now).0,
        ));
        LeadershipChange::Elected(term)
    }

    /// Ends this daemon's leadership.
    pub(crate) fn step_down(&mut self, ctx: &mut Ctx) -> LeadershipChange {
        let Some(token) = self.own_token.take() else {
            return LeadershipChange::None;
        };
        ctx.log(LogEvent::warn("lead_lost").with("token", token));
        ctx.end_lead();
        self.ended_token = token;
        self.resigning = false;
        self.rows_known = false;
        self.lease_seen_at = ctx.now;
        self.lease_expires_at = None;
        self.next_read_at = ctx.now + consts::ELECTION_READ_INTERVAL_MS;
        LeadershipChange::Lost
    }

    fn on_rows(
        &mut self,
        ctx: &mut Ctx,
        rows: Vec<Row>,
        clock_ms: Option<Millis>,
    ) -> LeadershipChange {
        let mut lease = RowVersion(0);
        let mut until_ms = None;
        let mut term = (RowVersion(0), TermRow::default());
        for row in rows {
            if row.key == lease_key() {
                lease = row.version;
                if let RowValue::Lease(until) = row.value {
                    until_ms = until;
                }
            } else if row.key == term_key() {
                let RowValue::Term(value) = row.value else {
                    ctx.log(LogEvent::warn("term_row_unreadable").with("version", row.version));
                    return LeadershipChange::None;
                };
                term = (row.version, value);
            }
        }
        let known = self.rows_known || self.term > RowVersion(0);
        let changed = lease != self.lease || term.0 != self.term || !known;
        if changed {
            self.lease_seen_at = ctx.now;
            self.lease_expires_at = None;
        }
        if let (Some(until_ms), Some(clock_ms)) = (until_ms, clock_ms) {
            // The store's clock shows at least `clock_ms` by now, so the lease expires no later.
            let expires_at = ctx.now + until_ms.since(clock_ms);
            // The row was written before it was seen, so a later end is malformed.
            let latest = self.lease_seen_at + consts::LEADER_LEASE_MS;
            let known = self.lease_expires_at.unwrap_or(latest);
            self.lease_expires_at = Some(expires_at.min(known).min(latest));
        }
        self.lease = lease;
        self.term = term.0;
        self.term_row = term.1;
        self.rows_known = true;
        let mine = self.term_row.holder.as_ref() == Some(&self.host);
        let is_own_write = mine && self.term_row.nonce == self.nonce;
        let is_new = self.term.0 > self.ended_token.0;
        if is_own_write && is_new && self.own_token.is_none() {
            return self.become_leader(ctx, self.term, self.term_row.generation);
        }
        LeadershipChange::None
    }

    /// Handles a leader's heartbeat; returns whether its token is the highest known.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Millis,
        link: LinkId,
        token: FencingToken,
        lease: RowVersion,
    ) -> bool {
        if token < self.leader_token || self.own_token.is_some_and(|own| own >= token) {
            return false;
        }
        self.leader_token = token;
        self.link = Some(link);
        self.heartbeat_at = Some(now);
        if lease > self.lease || self.term.0 != token.0 {
            self.lease = lease;
            self.lease_seen_at = now;
            self.lease_expires_at = None;
            self.term = RowVersion(token.0);
            // The rows must be read before this daemon may try to lead.
            self.rows_known = false;
        }
        true
    }

    /// Handles the resignation of the leader with `token`.
    pub(crate) fn on_resigned(&mut self, now: Millis, token: FencingToken) {
        self.resigned_token = self.resigned_token.max(token);
        self.resigned_at = now;
        self.next_read_at = now;
    }

    pub(crate) fn on_link_down(&mut self, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
        }
    }

    /// Returns the latest known version of the lease row.
    pub(crate) fn lease(&self) -> RowVersion {
        self.lease
    }
}
