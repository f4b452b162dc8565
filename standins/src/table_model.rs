//! A transactional table of texts.

use pomelotide_wire::{WireCheck, WirePair, WireRead, WireRows, WireTxn, WireTxnReply};
use std::collections::BTreeMap;

/// The platform's table: every transaction takes effect whole or not at all, in one order.
#[derive(Clone, Debug, Default)]
pub struct TableModel {
    rows: BTreeMap<String, String>,
    writes: u64,
    reads: u64,
}

impl TableModel {
    /// Applies a transaction.
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
                    existed.push(WirePair { key, value });
                }
                None => {
                    self.put(&insert.row);
                    insert.with.iter().for_each(|pair| self.put(pair));
                }
            }
        }
        WireTxnReply::Committed { existed }
    }

    fn is_satisfied(&self, check: &WireCheck) -> bool {
        self.rows.get(&check.key) == check.value.as_ref()
    }

    fn put(&mut self, pair: &WirePair) {
        self.rows.insert(pair.key.clone(), pair.value.clone());
    }

    /// Reads rows.
    pub fn read(&mut self, read: &WireRead) -> WireRows {
        self.reads += 1;
        let to_pair = |(key, value): (&String, &String)| {
            let (key, value) = (key.clone(), value.clone());
            WirePair { key, value }
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

    /// Returns the numbers of transactions and reads so far.
    pub const fn counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }
}
