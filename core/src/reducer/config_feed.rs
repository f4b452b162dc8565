//! Following the configuration: reading the table, and relaying to peers that can't.

use super::{snapshots::Source, Core, PendingOp};
use crate::{
    consts, DaemonId, DecisionEvent, Entry, Heartbeat, Key, Millis, Note, PeerMessage, Query,
    Revision, Row, SnapshotRow, TableReply,
};
use std::collections::VecDeque;

/// The state of following the configuration.
#[derive(Debug, Default)]
pub(super) struct Feed {
    pub(super) next_poll_ms: Millis,
    pub(super) polling: bool,
    head: Revision,
    pub(super) recent: VecDeque<Note>,
    /// The snapshots that the table names.
    pub(super) snapshot: SnapshotRow,
    /// Whether the latest reading of a snapshot gave nothing usable.
    pub(super) snapshot_failed: bool,
}

impl Core {
    pub(super) fn tick_feed(&mut self) {
        if self.feed.next_poll_ms <= self.now_ms {
            self.poll_config();
        }
    }

    pub(super) fn poll_config(&mut self) {
        if self.feed.polling {
            return;
        }
        self.feed.polling = true;
        self.feed.next_poll_ms = self.now_ms + consts::CONFIG_POLL_INTERVAL_MS;
        self.read(
            PendingOp::ReadHead {
                sent_ms: self.now_ms,
            },
            Query::One(Key::ConfigHead),
        );
    }

    pub(super) fn head_read(&mut self, sent_ms: Millis, reply: TableReply) {
        self.feed.polling = false;
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let head = rows.into_iter().find_map(|(_, row)| match row {
            Row::Head(head) => Some(head.revision),
            _ => None,
        });
        let head = head.unwrap_or_default();
        self.feed.head = head.max(self.feed.head);
        if head > self.config.revision() {
            self.read_on(sent_ms);
        } else if head == self.config.revision() {
            self.config_confirmed(sent_ms);
        }
    }

    fn read_on(&mut self, sent_ms: Millis) {
        self.feed.polling = true;
        let lacks = self.feed.head.0 - self.config.revision().0;
        if lacks >= consts::SNAPSHOT_MIN_LAG_REVISIONS {
            self.read(
                PendingOp::ReadSnapshotRow { sent_ms },
                Query::One(Key::Snapshot),
            );
        } else {
            self.read_deltas(sent_ms);
        }
    }

    pub(super) fn snapshot_row_read(&mut self, sent_ms: Millis, reply: TableReply) {
        let TableReply::Rows(rows) = reply else {
            self.feed.polling = false;
            return;
        };
        for (_, row) in rows {
            if let Row::Snapshot(row) = row {
                self.know_snapshots(row);
            }
        }
        match self.config_source() {
            Source::Snapshot(wanted) => self.read_snapshot(wanted),
            Source::Deltas => self.read_deltas(sent_ms),
        }
    }

    fn read_deltas(&mut self, sent_ms: Millis) {
        let query = Query::DeltasAfter(self.config.revision());
        self.read(PendingOp::ReadDeltas { sent_ms }, query);
    }

    pub(super) fn deltas_read(&mut self, sent_ms: Millis, reply: TableReply) {
        self.feed.polling = false;
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let before = self.config.revision();
        for (key, row) in rows {
            if let (Key::Delta(revision), Row::Delta(note)) = (key, row) {
                self.apply_note(revision, note);
            }
        }
        if self.config.revision() >= self.feed.head {
            self.config_confirmed(sent_ms);
        } else if self.config.revision() > before {
            self.feed.next_poll_ms = self.now_ms;
        } else {
            self.feed.next_poll_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        }
    }

    fn config_confirmed(&mut self, sent_ms: Millis) {
        self.freshness.confirm(sent_ms);
        self.propose_next();
    }

    /// Applies a note if it is the one that follows; an older or later one changes nothing.
    pub(super) fn apply_note(&mut self, revision: Revision, note: Note) {
        if revision != self.config.revision().next() {
            return;
        }
        let is_transfer = note
            .changed
            .iter()
            .any(|e| matches!(e, Entry::Split { .. }));
        self.config.apply(&note);
        self.limits
            .update(&self.config, &self.settings.domain, self.now_ms);
        let question = self.config.largest_small_need();
        self.fleet
            .set_headroom(question.times(consts::HEADROOM_REQUESTS_PER_WORKER));
        self.feed.recent.push_back(note);
        if self.feed.recent.len() > consts::MAX_RECENT_NOTES {
            self.feed.recent.pop_front();
        }
        self.config_advanced(is_transfer);
        self.log(DecisionEvent::ConfigApplied { revision });
        self.stop_surplus();
        self.schedule_all();
    }

    /// Sends a peer the notes that it lacks, where it can't read them itself.
    pub(super) fn relay_notes(&mut self, peer: &DaemonId, heartbeat: &Heartbeat) {
        let cut = heartbeat
            .fresh_age_ms
            .is_none_or(|age| age > consts::TABLE_TIMEOUT_MS);
        let lacks = self
            .config
            .revision()
            .0
            .saturating_sub(heartbeat.revision.0) as usize;
        let kept = self.feed.recent.len();
        if !cut || lacks == 0 || lacks > kept {
            return;
        }
        let notes = self.feed.recent.iter().skip(kept - lacks);
        let notes = notes.take(consts::MAX_NOTES_PER_MESSAGE).cloned().collect();
        let message = PeerMessage::Notes {
            first: heartbeat.revision.next(),
            notes,
        };
        self.send_peer(peer, message);
    }

    pub(super) fn notes_relayed(&mut self, first: Revision, notes: Vec<Note>) {
        for (revision, note) in (first.0..).zip(notes) {
            self.apply_note(Revision(revision), note);
        }
    }
}
