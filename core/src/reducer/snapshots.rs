//! Snapshots of the configuration, and deletion of the release notes that they make redundant.

use super::{Core, PendingOp};
use crate::{
    consts, Check, Config, DecisionEvent, Effect, Key, ObjectReply, Revision, Row, SnapshotRow,
    SnapshotSlot, TableReply, Txn,
};

/// The source from which missing revisions are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConfigSource {
    /// The rows of the notes.
    Deltas,
    /// The snapshot of a revision.
    Snapshot(Revision),
}

impl Core {
    pub(super) fn update_snapshot_row(&mut self, row: SnapshotRow) {
        let known = self.feed.snapshot;
        if (row.latest, row.trimmed) > (known.latest, known.trimmed) {
            self.feed.snapshot = row;
        }
    }

    /// Returns the source of the missing revisions: a snapshot if the daemon is far behind or the
    /// notes are trimmed. After a failed read it is the previous snapshot, or the notes if they are
    /// not trimmed.
    pub(super) fn config_source(&mut self) -> ConfigSource {
        let failed = std::mem::take(&mut self.feed.snapshot_failed);
        let (own, row) = (self.config.revision(), self.feed.snapshot);
        let is_far_behind =
            row.latest.0.saturating_sub(own.0) >= consts::SNAPSHOT_MIN_LAG_REVISIONS;
        let is_trimmed = own < row.trimmed;
        match (failed, is_far_behind || is_trimmed) {
            (false, true) => ConfigSource::Snapshot(row.latest),
            (true, _) if is_trimmed => ConfigSource::Snapshot(row.previous),
            _ => ConfigSource::Deltas,
        }
    }

    pub(super) fn read_snapshot(&mut self, wanted: Revision) {
        let op = self.begin_op(PendingOp::GetSnapshotObject { wanted });
        let slot = SnapshotSlot::of(wanted);
        self.effects.push(Effect::GetObject { op, slot });
    }

    pub(super) fn on_snapshot_read(&mut self, wanted: Revision, reply: ObjectReply) {
        let found = match reply {
            ObjectReply::Found(config) if config.revision() >= wanted => Some(config),
            _ => None,
        };
        self.feed.polling = false;
        self.feed.snapshot_failed = found.is_none();
        self.feed.next_poll_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        if let Some(config) = found {
            self.install_config(*config);
            self.poll_config();
        }
    }

    /// Replaces the whole configuration if the given one is newer.
    fn install_config(&mut self, config: Config) {
        if config.revision() <= self.config.revision() {
            return;
        }
        let revision = config.revision();
        self.config = config;
        self.feed.recent.clear();
        self.limits
            .update(&self.config, &self.settings.domain, self.now_ms);
        self.on_config_advanced(true);
        self.log(DecisionEvent::ConfigApplied { revision });
        self.schedule_all();
    }

    /// Stores a snapshot if the revision that this daemon has just written is due for one.
    pub(super) fn store_snapshot_if_due(&mut self, written: Revision) {
        let is_due = written
            .0
            .is_multiple_of(consts::SNAPSHOT_INTERVAL_REVISIONS);
        if !is_due || self.config.revision() != written {
            return;
        }
        let op = self.begin_op(PendingOp::PutSnapshotObject { revision: written });
        self.effects.push(Effect::PutObject {
            op,
            slot: SnapshotSlot::of(written),
            config: Box::new(self.config.clone()),
        });
    }

    pub(super) fn on_snapshot_stored(&mut self, revision: Revision, reply: ObjectReply) {
        let known = self.feed.snapshot;
        if reply != ObjectReply::Stored || revision <= known.latest {
            return;
        }
        let row = SnapshotRow {
            latest: revision,
            previous: known.latest,
            trimmed: known.trimmed,
        };
        self.write_snapshot_row(row, Vec::new());
    }

    fn write_snapshot_row(&mut self, row: SnapshotRow, deletes: Vec<(Key, Option<Row>)>) {
        let known = self.feed.snapshot;
        let exists = known != SnapshotRow::default();
        let txn = Txn {
            checks: vec![Check {
                key: Key::Snapshot,
                row: exists.then_some(Row::Snapshot(known)),
            }],
            puts: vec![(Key::Snapshot, Row::Snapshot(row))],
            deletes,
            ..Txn::default()
        };
        self.write(PendingOp::WriteSnapshotRow { row }, txn);
    }

    pub(super) fn on_snapshot_row_written(&mut self, row: SnapshotRow, reply: TableReply) {
        match reply {
            TableReply::Committed { .. } => {
                self.feed.snapshot = row;
                self.trim_notes();
            }
            TableReply::Conflict { found, .. } => {
                if let Some(Row::Snapshot(found)) = found.as_deref() {
                    self.update_snapshot_row(*found);
                    self.on_snapshot_stored(row.latest, ObjectReply::Stored);
                }
            }
            _ => {}
        }
    }

    /// Deletes a batch of the notes that the previous snapshot contains.
    fn trim_notes(&mut self) {
        let row = self.feed.snapshot;
        let new_trimmed = row
            .previous
            .0
            .min(row.trimmed.0 + consts::MAX_TRIM_ROWS_PER_TXN);
        if new_trimmed <= row.trimmed.0 {
            return;
        }
        let trimmed_revisions = row.trimmed.0 + 1..=new_trimmed;
        let deletes = trimmed_revisions.map(|revision| (Key::Delta(Revision(revision)), None));
        let trimmed = Revision(new_trimmed);
        self.write_snapshot_row(SnapshotRow { trimmed, ..row }, deletes.collect());
    }
}
