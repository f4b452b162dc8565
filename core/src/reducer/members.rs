//! Peers: who they are, and whether they are heard.

use super::{Core, Op};
use crate::{
    consts, DaemonId, DecisionEvent, DomainName, Effect, Freshness, Heartbeat, Key, MemberRow,
    Millis, PeerMessage, PeerView, Query, Resources, Row, TableReply, Term, Txn,
};
use std::collections::BTreeMap;

/// A peer as it is known.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) domain: DomainName,
    address: String,
    known_ms: Millis,
    heard_ms: Option<Millis>,
    told_silent: bool,
    /// The peer's clock in its latest heartbeat.
    echo_ms: Option<Millis>,
    /// Until when the peer certainly had not reached the table.
    silent_ms: Option<Millis>,
    pub(super) keeper: Option<Term>,
    pub(super) draining: bool,
    pub(super) free: Resources,
    pub(super) waiting: u64,
}

/// All known peers.
#[derive(Debug, Default)]
pub(super) struct Members {
    pub(super) peers: BTreeMap<DaemonId, Peer>,
    next_heartbeat_ms: Millis,
    next_far_ms: Millis,
    next_write_ms: Millis,
    next_read_ms: Millis,
    beats: u64,
    pub(super) seen_rows: super::stale_members::MemberRowAges,
}

impl Peer {
    fn new(domain: DomainName, address: String, now_ms: Millis) -> Self {
        Self {
            domain,
            address,
            known_ms: now_ms,
            heard_ms: None,
            told_silent: false,
            echo_ms: None,
            silent_ms: None,
            keeper: None,
            draining: false,
            free: Resources::default(),
            waiting: 0,
        }
    }

    pub(super) fn is_heard(&self, now_ms: Millis) -> bool {
        self.heard_within(consts::PEER_TIMEOUT_MS, now_ms)
    }

    fn heard_within(&self, span_ms: Millis, now_ms: Millis) -> bool {
        self.heard_ms
            .is_some_and(|at_ms| now_ms.since(at_ms) <= span_ms)
    }
}

impl Members {
    pub(super) fn views(&self, now_ms: Millis) -> Vec<PeerView> {
        let views = self.peers.iter().map(|(daemon, peer)| PeerView {
            daemon: daemon.clone(),
            domain: peer.domain.clone(),
            address: peer.address.clone(),
            leader_term: peer.keeper.filter(|_| peer.is_heard(now_ms)),
            heard_age_ms: peer.heard_ms.map(|at_ms| now_ms.since(at_ms)),
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
            self.read(Op::ReadMembers, Query::Members);
        }
        if self.members.next_heartbeat_ms <= now_ms {
            self.members.next_heartbeat_ms = now_ms + consts::HEARTBEAT_INTERVAL_MS;
            self.watch_silence();
            self.send_near_heartbeats();
        }
        if self.members.next_far_ms <= now_ms && self.is_keeper() {
            self.members.next_far_ms = now_ms + consts::REMOTE_HEARTBEAT_INTERVAL_MS;
            self.send_far_heartbeats();
        }
    }

    fn write_member(&mut self) {
        self.members.beats += 1;
        let puts = vec![(Key::Member(self.me().clone()), self.own_member_row())];
        self.write(
            Op::WriteMember,
            Txn {
                puts,
                ..Txn::default()
            },
        );
    }

    pub(super) fn own_member_row(&self) -> Row {
        Row::Member(MemberRow {
            daemon: self.me().clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.address.clone(),
            writes: self.members.beats,
        })
    }

    pub(super) fn members_read(&mut self, reply: TableReply) {
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let rows = rows.into_iter().filter_map(|(_, row)| match row {
            Row::Member(row) => Some(row),
            _ => None,
        });
        let rows: Vec<MemberRow> = rows.collect();
        for row in rows.iter().cloned() {
            self.know_peer(row.daemon, row.domain, row.address);
        }
        self.remove_stale_members(rows);
        let now_ms = self.now_ms;
        self.members.peers.retain(|_, peer| {
            now_ms.since(peer.known_ms) <= consts::PEER_RETENTION_MS
                || peer.heard_within(consts::PEER_RETENTION_MS, now_ms)
        });
    }

    fn know_peer(&mut self, daemon: DaemonId, domain: DomainName, address: String) {
        if daemon == *self.me() {
            return;
        }
        let now_ms = self.now_ms;
        let new = || Peer::new(domain, address.clone(), now_ms);
        let peer = self.members.peers.entry(daemon.clone()).or_insert_with(new);
        let moved = peer.address != address || peer.known_ms == now_ms;
        peer.known_ms = now_ms;
        peer.address.clone_from(&address);
        if moved {
            self.out.push(Effect::SetPeerAddress {
                peer: daemon,
                address,
            });
        }
    }

    fn near(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        let domain = &self.settings.domain;
        self.members
            .peers
            .iter()
            .filter(move |(_, peer)| peer.domain == *domain)
    }

    /// Returns the peers of this failure domain that are heard and not about to stop.
    pub(super) fn near_staying(&self) -> impl Iterator<Item = &DaemonId> {
        let now_ms = self.now_ms;
        let staying = move |peer: &Peer| peer.is_heard(now_ms) && !peer.draining;
        self.near()
            .filter(move |(_, peer)| staying(peer))
            .map(|(id, _)| id)
    }

    /// Returns the heard keeper of a failure domain with the highest term.
    pub(super) fn keeper_of(&self, domain: &DomainName) -> Option<(&DaemonId, Term)> {
        let heard = self
            .members
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_heard(self.now_ms));
        let in_domain = heard.filter(|(_, peer)| peer.domain == *domain);
        let keepers = in_domain.filter_map(|(id, peer)| Some((id, peer.keeper?)));
        keepers.max_by_key(|(_, term)| *term)
    }

    fn watch_silence(&mut self) {
        let now_ms = self.now_ms;
        let mut silent = Vec::new();
        for (id, peer) in &mut self.members.peers {
            let gone = peer.heard_ms.is_some() && !peer.is_heard(now_ms);
            if gone && !peer.told_silent {
                silent.push(id.clone());
            }
            peer.told_silent = gone;
        }
        for peer in silent {
            self.tell(DecisionEvent::PeerUnresponsive { peer });
        }
        self.note_silence();
    }

    /// Notes whether the table is silent in this failure domain, and prolongs the confirmation of
    /// the configuration where it is silent in all.
    fn note_silence(&mut self) {
        if let Some(at_ms) = self.domain_silent_ms() {
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

    pub(super) fn table_is_silent(&self) -> bool {
        self.own_silent_ms().is_some()
    }

    pub(super) fn own_silent_ms(&self) -> Option<Millis> {
        let silent = self.now_ms.since(self.table_ok_ms) > consts::TABLE_TIMEOUT_MS;
        silent.then_some(self.now_ms)
    }

    /// Returns the time until which no daemon of this failure domain had reached the table.
    fn domain_silent_ms(&self) -> Option<Millis> {
        let mut oldest_ms = self.own_silent_ms()?;
        for (_, peer) in self.near() {
            if peer.heard_within(consts::PEER_RETENTION_MS, self.now_ms) {
                oldest_ms = oldest_ms.min(peer.silent_ms?);
            }
        }
        Some(oldest_ms)
    }

    fn send_near_heartbeats(&mut self) {
        let silent_ms = self.own_silent_ms();
        let to: Vec<DaemonId> = self.near().map(|(id, _)| id.clone()).collect();
        self.send_heartbeats(to, silent_ms);
    }

    fn send_far_heartbeats(&mut self) {
        let silent_ms = self.domain_silent_ms();
        let own = &self.settings.domain;
        let far = self
            .members
            .peers
            .iter()
            .filter(|(_, peer)| peer.domain != *own);
        let wanted = far.filter(|(id, peer)| match self.keeper_of(&peer.domain) {
            Some((keeper, _)) => keeper == *id,
            None => true,
        });
        let to = wanted.map(|(id, _)| id.clone()).collect();
        self.send_heartbeats(to, silent_ms);
    }

    fn send_heartbeats(&mut self, to: Vec<DaemonId>, silent_ms: Option<Millis>) {
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
                table_unreachable_age_ms: silent_ms.map(|at_ms| self.now_ms.since(at_ms)),
                free,
                pending_requests: self.queues.len(crate::Class::Small) as u64,
                draining: self.drain.is_requested(),
            };
            self.send_peer(&peer, PeerMessage::Heartbeat(heartbeat));
        }
    }

    pub(super) fn send_peer(&mut self, to: &DaemonId, message: PeerMessage) {
        self.out.push(Effect::SendPeer {
            to: to.clone(),
            message,
        });
    }

    pub(super) fn peer_heard(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat_heard(from, heartbeat),
            PeerMessage::Notes { first, notes } => self.on_notes_relayed(first, notes),
            PeerMessage::Run(request) => self.on_run_request(*request),
            PeerMessage::Submit(job) => self.on_submit_request(*job),
            PeerMessage::Cancel { origin, team, job } => self.on_cancel_request(origin, &team, job),
            PeerMessage::Answer { call, answer } => {
                let origin = self.origin(call);
                self.answer_origin(&origin, answer);
            }
            PeerMessage::LimitRequests { revision, requests } => {
                self.wants_heard(from, revision, requests)
            }
            PeerMessage::Forget(origin) => self.forget_origin(&origin),
            PeerMessage::Handover {
                term,
                running,
                pending: waiting,
            } => {
                self.on_handover(term, running, waiting);
            }
        }
    }

    fn heartbeat_heard(&mut self, from: &DaemonId, heartbeat: Heartbeat) {
        self.know_peer(
            from.clone(),
            heartbeat.domain.clone(),
            heartbeat.address.clone(),
        );
        let now_ms = self.now_ms;
        let mine = self.config.revision();
        let Some(peer) = self.members.peers.get_mut(from) else {
            return;
        };
        peer.heard_ms = Some(now_ms);
        peer.echo_ms = Some(heartbeat.sent_ms);
        peer.keeper = heartbeat.leader_term;
        peer.draining = heartbeat.draining;
        peer.free = heartbeat.free;
        peer.waiting = heartbeat.pending_requests;
        // The peer wrote this after it had read what was sent at `echo_ms`, so whatever it says
        // was true at `echo_ms` minus its age, on this daemon's clock.
        let told = |age_ms: Option<Millis>| heartbeat.echo_ms?.0.checked_sub(age_ms?.0).map(Millis);
        let usable = heartbeat.revision <= mine;
        peer.silent_ms = told(heartbeat.table_unreachable_age_ms).filter(|_| usable);
        let (silent_ms, near) = (peer.silent_ms, peer.domain == self.settings.domain);
        if let Some(at_ms) = told(heartbeat.fresh_age_ms).filter(|_| usable) {
            self.freshness.confirm(at_ms);
        }
        if let Some(at_ms) = silent_ms.filter(|_| !near) {
            self.freshness.record_unreachable(&heartbeat.domain, at_ms);
        }
        self.relay_notes(from, &heartbeat);
        self.peer_keeps(from, &heartbeat);
    }
}
