//! Snapshots of the configuration, and the trimming of notes that they make needless.

use super::{Core, PendingOp};
use crate::{
    consts, Check, Config, DecisionEvent, Effect, Key, ObjectReply, Revision, Row, SnapshotRow,
    SnapshotSlot, TableReply, Txn,
};

/// Where the notes that a daemon lacks are read from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// The notes' rows.
    Deltas,
    /// The snapshot of a revision.
    Snapshot(Revision),
}

impl Core {
    pub(super) fn know_snapshots(&mut self, row: SnapshotRow) {
        let known = self.feed.snapshot;
        if (row.latest, row.trimmed) > (known.latest, known.trimmed) {
            self.feed.snapshot = row;
        }
    }

    /// Returns where to read on from.
    pub(super) fn config_source(&mut self) -> Source {
        let failed = std::mem::take(&mut self.feed.snapshot_failed);
        let (mine, row) = (self.config.revision(), self.feed.snapshot);
        let lacks_much = row.latest.0.saturating_sub(mine.0) >= consts::SNAPSHOT_MIN_LAG_REVISIONS;
        let is_trimmed = mine < row.trimmed;
        match (failed, lacks_much || is_trimmed) {
            (false, true) => Source::Snapshot(row.latest),
            (true, _) if is_trimmed => Source::Snapshot(row.previous),
            _ => Source::Deltas,
        }
    }

    pub(super) fn read_snapshot(&mut self, wanted: Revision) {
        let op = self.begin_op(PendingOp::GetSnapshotObject { wanted });
        let slot = SnapshotSlot::of(wanted);
        self.effects.push(Effect::GetObject { op, slot });
    }

    pub(super) fn snapshot_read(&mut self, wanted: Revision, reply: ObjectReply) {
        let found = match reply {
            ObjectReply::Found(config) if config.revision() >= wanted => Some(config),
            _ => None,
        };
        self.feed.polling = false;
        self.feed.snapshot_failed = found.is_none();
        self.feed.next_poll_ms = self.now_ms + consts::TABLE_RETRY_DELAY_MS;
        if let Some(config) = found {
            self.install(*config);
            self.poll_config();
        }
    }

    /// Takes over a whole configuration, if it is newer than the one at hand.
    fn install(&mut self, config: Config) {
        if config.revision() <= self.config.revision() {
            return;
        }
        let revision = config.revision();
        self.config = config;
        self.feed.recent.clear();
        self.limits
            .update(&self.config, &self.settings.domain, self.now_ms);
        self.config_advanced(true);
        self.log(DecisionEvent::ConfigApplied { revision });
        self.schedule_all();
    }

    /// Stores a snapshot where this daemon has just written a revision that is due for one.
    pub(super) fn snapshot_if_due(&mut self, written: Revision) {
        let due = written
            .0
            .is_multiple_of(consts::SNAPSHOT_INTERVAL_REVISIONS);
        if !due || self.config.revision() != written {
            return;
        }
        let op = self.begin_op(PendingOp::PutSnapshotObject { revision: written });
        self.effects.push(Effect::PutObject {
            op,
            slot: SnapshotSlot::of(written),
            config: Box::new(self.config.clone()),
        });
    }

    pub(super) fn snapshot_stored(&mut self, revision: Revision, reply: ObjectReply) {
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

    pub(super) fn snapshot_row_written(&mut self, row: SnapshotRow, reply: TableReply) {
        match reply {
            TableReply::Committed { .. } => {
                self.feed.snapshot = row;
                self.trim();
            }
            TableReply::Conflict { found, .. } => {
                if let Some(Row::Snapshot(found)) = found.as_deref() {
                    self.know_snapshots(*found);
                    self.snapshot_stored(row.latest, ObjectReply::Stored);
                }
            }
            _ => {}
        }
    }

    /// Removes some of the notes that the snapshot before the latest one holds.
    fn trim(&mut self) {
        let row = self.feed.snapshot;
        let upto = row
            .previous
            .0
            .min(row.trimmed.0 + consts::MAX_TRIM_ROWS_PER_TXN);
        if upto <= row.trimmed.0 {
            return;
        }
        let gone = row.trimmed.0 + 1..=upto;
        let deletes = gone.map(|revision| (Key::Delta(Revision(revision)), None));
        let trimmed = Revision(upto);
        self.write_snapshot_row(SnapshotRow { trimmed, ..row }, deletes.collect());
    }
}
