//! Membership: this daemon's row in the table, its peers and the heartbeats between them.

use super::{Core, PendingOp};
use crate::{
    consts, DaemonId, DecisionEvent, DomainName, Effect, Freshness, Heartbeat, Key, MemberRow,
    Millis, PeerMessage, PeerView, Query, Resources, Row, TableReply, Term, Txn,
};
use std::collections::BTreeMap;

/// The known state of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) domain: DomainName,
    address: String,
    /// When a membership row or a heartbeat of the peer was last read.
    seen_ms: Millis,
    heartbeat_ms: Option<Millis>,
    timeout_logged: bool,
    /// The peer's clock in its latest heartbeat, which is echoed to it.
    echo_ms: Option<Millis>,
    /// The latest time, on this daemon's clock, at which the peer could not reach the table.
    table_unreachable_ms: Option<Millis>,
    pub(super) leader_term: Option<Term>,
    pub(super) draining: bool,
    pub(super) free: Resources,
    pub(super) pending_requests: u64,
}

/// All known peers.
#[derive(Debug, Default)]
pub(super) struct Members {
    pub(super) peers: BTreeMap<DaemonId, Peer>,
    next_domain_heartbeat_ms: Millis,
    next_remote_heartbeat_ms: Millis,
    next_write_ms: Millis,
    next_read_ms: Millis,
    row_writes: u64,
    pub(super) seen_rows: super::stale_members::MemberRowAges,
}

impl Peer {
    fn new(domain: DomainName, address: String, now_ms: Millis) -> Self {
        Self {
            domain,
            address,
            seen_ms: now_ms,
            heartbeat_ms: None,
            timeout_logged: false,
            echo_ms: None,
            table_unreachable_ms: None,
            leader_term: None,
            draining: false,
            free: Resources::default(),
            pending_requests: 0,
        }
    }

    pub(super) fn is_responsive(&self, now_ms: Millis) -> bool {
        self.has_heartbeat_within(consts::PEER_TIMEOUT_MS, now_ms)
    }

    fn has_heartbeat_within(&self, span_ms: Millis, now_ms: Millis) -> bool {
        self.heartbeat_ms
            .is_some_and(|at_ms| now_ms.since(at_ms) <= span_ms)
    }
}

impl Members {
    pub(super) fn views(&self, now_ms: Millis) -> Vec<PeerView> {
        let views = self.peers.iter().map(|(daemon, peer)| PeerView {
            daemon: daemon.clone(),
            domain: peer.domain.clone(),
            address: peer.address.clone(),
            leader_term: peer.leader_term.filter(|_| peer.is_responsive(now_ms)),
            heard_age_ms: peer.heartbeat_ms.map(|at_ms| now_ms.since(at_ms)),
            draining: peer.draining,
        });
        views.collect()
    }
}

impl Core {
    pub(super) fn tick_members(&mut self) {
        let now_ms = self.now_ms;
        if self.members.next_write_ms <= now_ms {
            self.members.next_write_ms = now_ms + consts::MEMBER_WRITE_INTERVAL_MS;
            self.write_member();
        }
        if self.members.next_read_ms <= now_ms {
            self.members.next_read_ms = now_ms + consts::MEMBER_POLL_INTERVAL_MS;
            self.read(PendingOp::ReadMembers, Query::Members);
        }
        if self.members.next_domain_heartbeat_ms <= now_ms {
            self.members.next_domain_heartbeat_ms = now_ms + consts::HEARTBEAT_INTERVAL_MS;
            self.detect_peer_timeouts();
            self.send_domain_heartbeats();
        }
        if self.members.next_remote_heartbeat_ms <= now_ms && self.is_leader() {
            self.members.next_remote_heartbeat_ms = now_ms + consts::REMOTE_HEARTBEAT_INTERVAL_MS;
            self.send_remote_heartbeats();
        }
    }

    fn write_member(&mut self) {
        self.members.row_writes += 1;
        let puts = vec![(Key::Member(self.daemon_id().clone()), self.own_member_row())];
        self.write(
            PendingOp::WriteMember,
            Txn {
                puts,
                ..Txn::default()
            },
        );
    }

    pub(super) fn own_member_row(&self) -> Row {
        Row::Member(MemberRow {
            daemon: self.daemon_id().clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.address.clone(),
            writes: self.members.row_writes,
        })
    }

    pub(super) fn on_members_read(&mut self, reply: TableReply) {
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let rows = rows.into_iter().filter_map(|(_, row)| match row {
            Row::Member(row) => Some(row),
            _ => None,
        });
        let rows: Vec<MemberRow> = rows.collect();
        for row in rows.iter().cloned() {
            self.register_peer(row.daemon, row.domain, row.address);
        }
        self.remove_stale_members(rows);
        let now_ms = self.now_ms;
        self.members.peers.retain(|_, peer| {
            now_ms.since(peer.seen_ms) <= consts::PEER_RETENTION_MS
                || peer.has_heartbeat_within(consts::PEER_RETENTION_MS, now_ms)
        });
    }

    fn register_peer(&mut self, daemon: DaemonId, domain: DomainName, address: String) {
        if daemon == *self.daemon_id() {
            return;
        }
        let now_ms = self.now_ms;
        let new = || Peer::new(domain, address.clone(), now_ms);
        let peer = self.members.peers.entry(daemon.clone()).or_insert_with(new);
        let is_new_address = peer.address != address || peer.seen_ms == now_ms;
        peer.seen_ms = now_ms;
        peer.address.clone_from(&address);
        if is_new_address {
            self.effects.push(Effect::SetPeerAddress {
                peer: daemon,
                address,
            });
        }
    }

    fn domain_peers(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        let domain = &self.settings.domain;
        self.members
            .peers
            .iter()
            .filter(move |(_, peer)| peer.domain == *domain)
    }

    /// Returns the responsive peers of this failure domain that are not draining.
    pub(super) fn available_domain_peers(&self) -> impl Iterator<Item = &DaemonId> {
        let now_ms = self.now_ms;
        let staying = move |peer: &Peer| peer.is_responsive(now_ms) && !peer.draining;
        self.domain_peers()
            .filter(move |(_, peer)| staying(peer))
            .map(|(id, _)| id)
    }

    /// Returns the responsive peer that leads a failure domain, with its term; if there are several,
    /// the one with the highest term.
    pub(super) fn leader_of(&self, domain: &DomainName) -> Option<(&DaemonId, Term)> {
        let responsive = self
            .members
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_responsive(self.now_ms));
        let in_domain = responsive.filter(|(_, peer)| peer.domain == *domain);
        let leaders = in_domain.filter_map(|(id, peer)| Some((id, peer.leader_term?)));
        leaders.max_by_key(|(_, term)| *term)
    }

    fn detect_peer_timeouts(&mut self) {
        let now_ms = self.now_ms;
        let mut unresponsive = Vec::new();
        for (id, peer) in &mut self.members.peers {
            let timed_out = peer.heartbeat_ms.is_some() && !peer.is_responsive(now_ms);
            if timed_out && !peer.timeout_logged {
                unresponsive.push(id.clone());
            }
            peer.timeout_logged = timed_out;
        }
        for peer in unresponsive {
            self.log(DecisionEvent::PeerUnresponsive { peer });
        }
        self.update_table_reachability();
    }

    /// Records if this failure domain can't reach the table, and extends the confirmation of the
    /// configuration if no failure domain can, since no change can have been accepted then.
    fn update_table_reachability(&mut self) {
        if let Some(at_ms) = self.domain_table_unreachable_ms() {
            let domain = self.settings.domain.clone();
            self.freshness.record_unreachable(&domain, at_ms);
        }
        let Self {
            freshness,
            config,
            now_ms,
            ..
        } = self;
        Freshness::extend(freshness, *now_ms, config.domains());
    }

    pub(super) fn is_table_unreachable(&self) -> bool {
        self.table_unreachable_ms().is_some()
    }

    /// Returns the current time if this daemon can't reach the table.
    pub(super) fn table_unreachable_ms(&self) -> Option<Millis> {
        let unreachable = self.now_ms.since(self.last_table_reply_ms) > consts::TABLE_TIMEOUT_MS;
        unreachable.then_some(self.now_ms)
    }

    /// Returns the latest time at which no daemon of this failure domain could reach the table.
    fn domain_table_unreachable_ms(&self) -> Option<Millis> {
        let mut oldest_ms = self.table_unreachable_ms()?;
        for (_, peer) in self.domain_peers() {
            if peer.has_heartbeat_within(consts::PEER_RETENTION_MS, self.now_ms) {
                oldest_ms = oldest_ms.min(peer.table_unreachable_ms?);
            }
        }
        Some(oldest_ms)
    }

    fn send_domain_heartbeats(&mut self) {
        let unreachable_ms = self.table_unreachable_ms();
        let to: Vec<DaemonId> = self.domain_peers().map(|(id, _)| id.clone()).collect();
        self.send_heartbeats(to, unreachable_ms);
    }

    fn send_remote_heartbeats(&mut self) {
        let unreachable_ms = self.domain_table_unreachable_ms();
        let own = &self.settings.domain;
        let remote = self
            .members
            .peers
            .iter()
            .filter(|(_, peer)| peer.domain != *own);
        let receivers = remote.filter(|(id, peer)| match self.leader_of(&peer.domain) {
            Some((leader, _)) => leader == *id,
            None => true,
        });
        let to = receivers.map(|(id, _)| id.clone()).collect();
        self.send_heartbeats(to, unreachable_ms);
    }

    fn send_heartbeats(&mut self, to: Vec<DaemonId>, unreachable_ms: Option<Millis>) {
        let free = self.fleet.free(self.now_ms);
        for peer in to {
            let echo_ms = self.members.peers.get(&peer).and_then(|peer| peer.echo_ms);
            let heartbeat = Heartbeat {
                domain: self.settings.domain.clone(),
                address: self.settings.address.clone(),
                sent_ms: self.now_ms,
                echo_ms,
                leader_term: self.announced_term(),
                revision: self.config.revision(),
                fresh_age_ms: self.freshness.age_ms(self.now_ms),
                table_unreachable_age_ms: unreachable_ms.map(|at_ms| self.now_ms.since(at_ms)),
                free,
                pending_requests: self.queues.len(crate::Class::Small) as u64,
                draining: self.drain.is_requested(),
            };
            self.send_peer(&peer, PeerMessage::Heartbeat(heartbeat));
        }
    }

    pub(super) fn send_peer(&mut self, to: &DaemonId, message: PeerMessage) {
        self.effects.push(Effect::SendPeer {
            to: to.clone(),
            message,
        });
    }

    pub(super) fn on_peer_message(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            PeerMessage::Notes { first, notes } => self.on_notes_relayed(first, notes),
            PeerMessage::Run(request) => self.on_run_request(*request),
            PeerMessage::Submit(job) => self.on_submit_request(*job),
            PeerMessage::Cancel { origin, team, job } => self.on_cancel_request(origin, &team, job),
            PeerMessage::Answer { call, answer } => {
                let origin = self.origin(call);
                self.answer_origin(&origin, answer);
            }
            PeerMessage::LimitRequests { revision, requests } => {
                self.on_limit_requests(from, revision, requests)
            }
            PeerMessage::Forget(origin) => self.forget_origin(&origin),
            PeerMessage::Handover {
                term,
                running,
                pending,
            } => {
                self.on_handover(term, running, pending);
            }
        }
    }

    fn on_heartbeat(&mut self, from: &DaemonId, heartbeat: Heartbeat) {
        self.register_peer(
            from.clone(),
            heartbeat.domain.clone(),
            heartbeat.address.clone(),
        );
        let now_ms = self.now_ms;
        let mine = self.config.revision();
        let Some(peer) = self.members.peers.get_mut(from) else {
            return;
        };
        peer.heartbeat_ms = Some(now_ms);
        peer.echo_ms = Some(heartbeat.sent_ms);
        peer.leader_term = heartbeat.leader_term;
        peer.draining = heartbeat.draining;
        peer.free = heartbeat.free;
        peer.pending_requests = heartbeat.pending_requests;
        // `echo_ms` is a time on this daemon's clock before the peer wrote the heartbeat, so a
        // state of a given age held at `echo_ms` minus that age or later.
        let held_at_ms =
            |age_ms: Option<Millis>| heartbeat.echo_ms?.0.checked_sub(age_ms?.0).map(Millis);
        let applies = heartbeat.revision <= mine;
        peer.table_unreachable_ms =
            held_at_ms(heartbeat.table_unreachable_age_ms).filter(|_| applies);
        let (unreachable_ms, is_same_domain) = (
            peer.table_unreachable_ms,
            peer.domain == self.settings.domain,
        );
        if let Some(at_ms) = held_at_ms(heartbeat.fresh_age_ms).filter(|_| applies) {
            self.freshness.confirm(at_ms);
        }
        if let Some(at_ms) = unreachable_ms.filter(|_| !is_same_domain) {
            self.freshness.record_unreachable(&heartbeat.domain, at_ms);
        }
        self.relay_notes(from, &heartbeat);
        self.observe_peer_leader(from, &heartbeat);
    }
}
