//! Removing the membership rows of daemons that are gone.

use super::{Core, PendingOp};
use crate::{consts, DaemonId, Key, MemberRow, Millis, Row, Txn};
use std::collections::BTreeMap;

/// The membership rows of this failure domain, each with the time since which it has stayed as it
/// is.
#[derive(Debug, Default)]
pub(super) struct SeenRows(BTreeMap<DaemonId, (MemberRow, Millis)>);

impl SeenRows {
    /// Takes in all rows of one reading and returns those of daemons that are gone.
    fn take_in(&mut self, rows: Vec<MemberRow>, now_ms: Millis) -> Vec<MemberRow> {
        let mut before = std::mem::take(&mut self.0);
        let mut gone = Vec::new();
        for row in rows {
            let known = before.remove(&row.daemon);
            let same = known.filter(|(known, _)| *known == row);
            let since_ms = same.map_or(now_ms, |(_, since_ms)| since_ms);
            if now_ms.since(since_ms) >= consts::MEMBER_ROW_TIMEOUT_MS {
                gone.push(row.clone());
            }
            self.0.insert(row.daemon.clone(), (row, since_ms));
        }
        gone.truncate(consts::MAX_MEMBER_REMOVALS_PER_TXN);
        gone
    }
}

impl Core {
    /// Removes the rows of this domain's daemons that have stopped writing them; a row that its
    /// daemon writes meanwhile stays.
    pub(super) fn remove_gone_members(&mut self, rows: Vec<MemberRow>) {
        if !self.is_leader() {
            self.members.seen_rows = SeenRows::default();
            return;
        }
        let own = &self.settings;
        let near = |row: &MemberRow| row.domain == own.domain && row.daemon != own.daemon;
        let near: Vec<MemberRow> = rows.into_iter().filter(near).collect();
        let gone = self.members.seen_rows.take_in(near, self.now_ms);
        if gone.is_empty() {
            return;
        }
        let delete = |row: MemberRow| (Key::Member(row.daemon.clone()), Some(Row::Member(row)));
        let txn = Txn {
            deletes: gone.into_iter().map(delete).collect(),
            ..Txn::default()
        };
        self.write(PendingOp::WriteMember, txn);
    }
}
