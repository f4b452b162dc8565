//! The platform's table, in memory.

use pomelotide_core::{
    Check, Entry, HeadRow, Key, Note, NoteId, Query, Revision, Row, TableReply, Txn,
};
use std::collections::BTreeMap;

/// Rows by key.
pub struct Table(BTreeMap<Key, Row>);

impl Table {
    /// Makes a table that holds a first configuration.
    pub fn with(added: Vec<Entry>) -> Self {
        let note = Note {
            id: NoteId::new("first"),
            base: Revision(0),
            added,
            changed: Vec::new(),
            withdrawn: Vec::new(),
        };
        let head = HeadRow {
            revision: Revision(1),
            note: note.id.clone(),
        };
        Self(BTreeMap::from([
            (Key::ConfigHead, Row::Head(head)),
            (Key::Delta(Revision(1)), Row::Delta(note)),
        ]))
    }

    /// Applies a transaction.
    pub fn write(&mut self, txn: Txn) -> TableReply {
        let broken = |check: &&Check| self.0.get(&check.key) != check.row.as_ref();
        if let Some(check) = txn.checks.iter().find(broken) {
            let found = self.0.get(&check.key).cloned().map(Box::new);
            let key = check.key.clone();
            return TableReply::Conflict { key, found };
        }
        self.0.extend(txn.puts);
        for (key, row) in txn.deletes {
            if row.is_none() || self.0.get(&key) == row.as_ref() {
                self.0.remove(&key);
            }
        }
        let mut existed = Vec::new();
        for insert in txn.inserts {
            match self.0.get(&insert.key) {
                Some(row) => existed.push((insert.key, row.clone())),
                None => {
                    self.0.insert(insert.key, insert.row);
                    self.0.extend(insert.second.map(|with| *with));
                }
            }
        }
        TableReply::Committed { existed }
    }

    /// Reads rows.
    pub fn read(&self, query: Query) -> TableReply {
        let wanted = |key: &Key| match (&query, key) {
            (Query::One(one), key) => one == key,
            (Query::Many(many), key) => many.contains(key),
            (Query::DeltasAfter(after), Key::Delta(revision)) => revision > after,
            (Query::Members, Key::Member(_)) => true,
            (Query::JobsAfter(_, after), Key::Job(job)) => Some(job) > after.as_ref(),
            _ => false,
        };
        let rows = self.0.iter().filter(|(key, _)| wanted(key));
        TableReply::Rows(rows.map(|(key, row)| (key.clone(), row.clone())).collect())
    }
}
