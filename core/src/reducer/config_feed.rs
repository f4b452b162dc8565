//! The configuration feed: reads new revisions from the table and relays release notes to peers
//! that can't reach it.

use super::{snapshots::ConfigSource, Core, PendingOp};
use crate::{
    consts, DaemonId, DecisionEvent, Entry, Heartbeat, Key, Millis, Note, PeerMessage, Query,
    Revision, Row, SnapshotRow, TableReply,
};
use std::collections::VecDeque;

/// The state of the configuration feed.
#[derive(Debug, Default)]
pub(super) struct ConfigFeed {
    pub(super) next_poll_ms: Millis,
    /// Whether a read of the head, of notes or of a snapshot is in progress.
    pub(super) polling: bool,
    /// The latest revision read from the table's head.
    head: Revision,
    /// The latest applied notes, for peers that lack them.
    pub(super) recent: VecDeque<Note>,
    /// The snapshots that the table lists.
    pub(super) snapshot: SnapshotRow,
    /// Whether the latest read of a snapshot returned nothing usable.
    pub(super) snapshot_failed: bool,
}

impl Core {
    pub(super) fn tick_config_feed(&mut self) {
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

    pub(super) fn on_head_read(&mut self, sent_ms: Millis, reply: TableReply) {
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
            self.read_missing_revisions(sent_ms);
        } else if head == self.config.revision() {
            self.config_confirmed(sent_ms);
        }
    }

    fn read_missing_revisions(&mut self, sent_ms: Millis) {
        self.feed.polling = true;
        let missing = self.feed.head.0 - self.config.revision().0;
        if missing >= consts::SNAPSHOT_MIN_LAG_REVISIONS {
            self.read(
                PendingOp::ReadSnapshotRow { sent_ms },
                Query::One(Key::Snapshot),
            );
        } else {
            self.read_deltas(sent_ms);
        }
    }

    pub(super) fn on_snapshot_row_read(&mut self, sent_ms: Millis, reply: TableReply) {
        let TableReply::Rows(rows) = reply else {
            self.feed.polling = false;
            return;
        };
        for (_, row) in rows {
            if let Row::Snapshot(row) = row {
                self.update_snapshot_row(row);
            }
        }
        match self.config_source() {
            ConfigSource::Snapshot(wanted) => self.read_snapshot(wanted),
            ConfigSource::Deltas => self.read_deltas(sent_ms),
        }
    }

    fn read_deltas(&mut self, sent_ms: Millis) {
        let query = Query::DeltasAfter(self.config.revision());
        self.read(PendingOp::ReadDeltas { sent_ms }, query);
    }

    pub(super) fn on_deltas_read(&mut self, sent_ms: Millis, reply: TableReply) {
        self.feed.polling = false;
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let previous_revision = self.config.revision();
        for (key, row) in rows {
            if let (Key::Delta(revision), Row::Delta(note)) = (key, row) {
                self.apply_note(revision, note);
            }
        }
        if self.config.revision() >= self.feed.head {
            self.config_confirmed(sent_ms);
        } else if self.config.revision() > previous_revision {
            self.feed.next_poll_ms = self.now_ms;
        } else {
            self.feed.next_poll_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        }
    }

    fn config_confirmed(&mut self, sent_ms: Millis) {
        self.freshness.confirm(sent_ms);
        self.propose_next();
    }

    /// Applies a release note if it makes the next revision; any other note is ignored.
    pub(super) fn apply_note(&mut self, revision: Revision, note: Note) {
        if revision != self.config.revision().next() {
            return;
        }
        let changes_splits = note
            .changed
            .iter()
            .any(|e| matches!(e, Entry::Split { .. }));
        self.config.apply(&note);
        self.limits
            .update(&self.config, &self.settings.domain, self.now_ms);
        let largest_small_need = self.config.largest_small_need();
        self.fleet
            .set_headroom(largest_small_need.times(consts::HEADROOM_REQUESTS_PER_WORKER));
        self.feed.recent.push_back(note);
        if self.feed.recent.len() > consts::MAX_RECENT_NOTES {
            self.feed.recent.pop_front();
        }
        self.on_config_advanced(changes_splits);
        self.log(DecisionEvent::ConfigApplied { revision });
        self.stop_surplus();
        self.schedule_all();
    }

    /// Sends a peer the notes that it lacks if it seems unable to read the table itself.
    pub(super) fn relay_notes(&mut self, peer: &DaemonId, heartbeat: &Heartbeat) {
        let is_cut_off = heartbeat
            .fresh_age_ms
            .is_none_or(|age| age > consts::TABLE_TIMEOUT_MS);
        let missing = self
            .config
            .revision()
            .0
            .saturating_sub(heartbeat.revision.0) as usize;
        let recent_count = self.feed.recent.len();
        if !is_cut_off || missing == 0 || missing > recent_count {
            return;
        }
        let notes = self.feed.recent.iter().skip(recent_count - missing);
        let notes = notes.take(consts::MAX_NOTES_PER_MESSAGE).cloned().collect();
        let message = PeerMessage::Notes {
            first: heartbeat.revision.next(),
            notes,
        };
        self.send_peer(peer, message);
    }

    pub(super) fn on_notes_relayed(&mut self, first: Revision, notes: Vec<Note>) {
        for (revision, note) in (first.0..).zip(notes) {
            self.apply_note(Revision(revision), note);
        }
    }
}
