//! Removes the membership rows of daemons that no longer renew them.

use super::{Core, PendingOp};
use crate::{consts, DaemonId, Key, MemberRow, Millis, Row, Txn};
use std::collections::BTreeMap;

/// The membership rows of this failure domain, each with the time at which its content was first
/// read.
#[derive(Debug, Default)]
pub(super) struct MemberRowAges(BTreeMap<DaemonId, (MemberRow, Millis)>);

impl MemberRowAges {
    /// Replaces the rows by those of a new read; returns the rows that were not renewed in time, at
    /// most [`consts::MAX_MEMBER_REMOVALS_PER_TXN`].
    fn update(&mut self, rows: Vec<MemberRow>, now_ms: Millis) -> Vec<MemberRow> {
        let mut previous = std::mem::take(&mut self.0);
        let mut stale = Vec::new();
        for row in rows {
            let known = previous.remove(&row.daemon);
            let unchanged = known.filter(|(known, _)| *known == row);
            let since_ms = unchanged.map_or(now_ms, |(_, since_ms)| since_ms);
            if now_ms.since(since_ms) >= consts::MEMBER_ROW_TIMEOUT_MS {
                stale.push(row.clone());
            }
            self.0.insert(row.daemon.clone(), (row, since_ms));
        }
        stale.truncate(consts::MAX_MEMBER_REMOVALS_PER_TXN);
        stale
    }
}

impl Core {
    /// Removes the rows of this domain's daemons that no longer renew them. A delete requires the
    /// content that was read, so a row that its daemon renews meanwhile is kept.
    pub(super) fn remove_stale_members(&mut self, rows: Vec<MemberRow>) {
        if !self.is_leader() {
            self.members.seen_rows = MemberRowAges::default();
            return;
        }
        let own = &self.settings;
        let is_other_member =
            |row: &MemberRow| row.domain == own.domain && row.daemon != own.daemon;
        let other_members: Vec<MemberRow> = rows.into_iter().filter(is_other_member).collect();
        let stale = self.members.seen_rows.update(other_members, self.now_ms);
        if stale.is_empty() {
            return;
        }
        let delete = |row: MemberRow| (Key::Member(row.daemon.clone()), Some(Row::Member(row)));
        let txn = Txn {
            deletes: stale.into_iter().map(delete).collect(),
            ..Txn::default()
        };
        self.write(PendingOp::WriteMember, txn);
    }
}
