//! In-memory model of the platform's transactional key-value table.

use pomelotide_wire::{WireCheck, WireRead, WireRow, WireRows, WireTxn, WireTxnReply};
use std::collections::BTreeMap;

/// The platform's table; transactions are atomic and serialized.
#[derive(Clone, Debug, Default)]
pub struct TableModel {
    rows: BTreeMap<String, String>,
    writes: u64,
    reads: u64,
}

impl TableModel {
    /// Applies a transaction, or returns the first check that is not satisfied and changes nothing.
    ///
    /// A delete with an expected value is skipped if the row has another value. An insert whose key
    /// exists is skipped together with its accompanying rows, and the existing row is returned.
    pub fn apply(&mut self, txn: &WireTxn) -> WireTxnReply {
        self.writes += 1;
        if let Some(check) = txn.checks.iter().find(|check| !self.is_satisfied(check)) {
            let value = self.rows.get(&check.key).cloned();
            return WireTxnReply::Conflict(WireCheck {
                key: check.key.clone(),
                value,
            });
        }
        for pair in &txn.puts {
            self.put(pair);
        }
        for delete in &txn.deletes {
            if delete.value.is_none() || self.is_satisfied(delete) {
                self.rows.remove(&delete.key);
            }
        }
        let mut existed = Vec::new();
        for insert in &txn.inserts {
            match self.rows.get(&insert.row.key) {
                Some(value) => {
                    let (key, value) = (insert.row.key.clone(), value.clone());
                    existed.push(WireRow { key, value });
                }
                None => {
                    self.put(&insert.row);
                    insert.second.iter().for_each(|pair| self.put(pair));
                }
            }
        }
        WireTxnReply::Committed { existed }
    }

    fn is_satisfied(&self, check: &WireCheck) -> bool {
        self.rows.get(&check.key) == check.value.as_ref()
    }

    fn put(&mut self, pair: &WireRow) {
        self.rows.insert(pair.key.clone(), pair.value.clone());
    }

    /// Returns the rows with the given keys, or a page of those with the given key prefix.
    pub fn read(&mut self, read: &WireRead) -> WireRows {
        self.reads += 1;
        let to_pair = |(key, value): (&String, &String)| {
            let (key, value) = (key.clone(), value.clone());
            WireRow { key, value }
        };
        let rows = match read {
            WireRead::Keys(keys) => {
                let found = keys.iter().filter_map(|key| self.rows.get_key_value(key));
                found.map(to_pair).collect()
            }
            WireRead::Prefix {
                prefix,
                after,
                limit,
            } => {
                let from = self.rows.range(prefix.max(after).clone()..);
                let matching = from.take_while(|(key, _)| key.starts_with(prefix));
                matching
                    .filter(|(key, _)| *key > after)
                    .take(*limit as usize)
                    .map(to_pair)
                    .collect()
            }
        };
        WireRows { rows }
    }

    /// Returns the number of transactions, including rejected ones, and the number of reads.
    pub const fn counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }
}
