//! The store: rows with versions, transactions that check them, and a feed of changes.

use super::FakeWorker;
use pomelotide_core::{
    cell::{
        DesiredState, Row, RowKey, RowValue, RowVersion, RpcId, StoreCall, StoreReply, Table, Write,
    },
    Millis,
};
use std::collections::BTreeMap;

/// How far the store's clock is ahead of that of the daemons.
const CLOCK_LEAD_MS: u64 = 7_000_000;
/// The maximum number of rows in a page.
const PAGE_ROWS: usize = 500;
/// The maximum size of the rows in a page, and of a transaction.
const MAX_BYTES: usize = 1_000_000;
/// The maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 100;

/// The most bytes of the values of a transaction, as base64.
const MAX_WRITE_BYTES: usize = 1_000_000;

/// A store that is up unless it is told otherwise.
pub struct FakeStore {
    pub rows: BTreeMap<RowKey, (RowVersion, RowValue)>,
    /// All changes in order.
    changes: Vec<Row>,
    version: u64,
    /// Whether all calls are refused.
    pub down: bool,
    /// How many of the next writes take effect without an answer.
    pub lose_answers: usize,
    /// The version up to which the history is gone.
    pub history_gone: u64,
    pub writes: usize,
    /// Whether reads of the table of workers get no answer.
    pub worker_reads_lost: bool,
    /// Whether a page that is not the last one ends with a row that can't be read.
    pub unreadable_page_ends: bool,
    /// The maximum number of rows in a page and in an answer about changes.
    pub page_rows: usize,
    /// How many of the next pages of accepted jobs, and answers about their changes, have no rows although
    /// there are some.
    pub empty_pages: usize,
    /// Whether reads of the desired state get no answer.
    pub state_reads_lost: bool,
    /// The longest time that a read of changes waits.
    pub max_follow_wait_ms: u64,
    /// How many of the next reads of the desired state get no answer within the time that the caller waits.
    pub lost_state_reads: usize,
    /// How many of the next pages that are not the last one have no row that can be read.
    pub unreadable_pages: usize,
    /// The most bytes of a row's value, as base64.
    pub max_row_bytes: usize,
    /// How many writes were refused because a row or the transaction was too large.
    pub oversized: usize,
}

/// How long the caller of a read of changes waits for its answer.
const FOLLOW_TIMEOUT_MS: u64 = 2_500;

/// Returns the table that the platform's store keeps the rows of `table` in.
fn stored_in(table: Table) -> Table {
    match table {
        Table::DomainDrains => Table::DesiredState,
        table => table,
    }
}

type Replies = Vec<(usize, RpcId, u64, StoreReply)>;

/// Returns the size of a value as the store's interface encodes it.
fn value_bytes(value: &RowValue) -> usize {
    pomelotide_wire::encode(value).unwrap().len().div_ceil(3) * 4
}

/// Returns whether the store takes a transaction of this size, whose entries share one partition.
fn is_within_limits(write: &Write) -> bool {
    let expected = write.expect.iter().map(|(key, _)| key);
    let put = write.put.iter().map(|(key, _)| key);
    let keys: Vec<&RowKey> = expected.chain(put).chain(&write.remove).collect();
    let is_in_first = |key: &&RowKey| key.partition == keys[0].partition;
    let bytes: usize = write.put.iter().map(|(_, value)| value_bytes(value)).sum();
    keys.len() <= MAX_ENTRIES && keys.iter().all(is_in_first) && bytes <= MAX_BYTES
}

impl FakeStore {
    pub fn new(state: DesiredState) -> Self {
        let mut store = Self {
            rows: BTreeMap::new(),
            changes: Vec::new(),
            version: 0,
            down: false,
            lose_answers: 0,
            history_gone: 0,
            writes: 0,
            worker_reads_lost: false,
            unreadable_page_ends: false,
            page_rows: PAGE_ROWS,
            empty_pages: 0,
            state_reads_lost: false,
            max_follow_wait_ms: 200,
            lost_state_reads: 0,
            unreadable_pages: 0,
            max_row_bytes: 65_536,
            oversized: 0,
        };
        store.put_state(state);
        store
    }

    fn put(&mut self, key: RowKey, value: RowValue) {
        let version = RowVersion(self.version);
        let row = Row {
            key: key.clone(),
            version,
            value: value.clone(),
        };
        self.changes.push(row);
        self.rows.insert(key, (version, value));
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what the store's clock shows at `now_ms`.
    pub fn clock_ms(now_ms: u64) -> Millis {
        Millis(CLOCK_LEAD_MS + now_ms)
    }

    /// Writes a desired state as an operator does.
    pub fn put_state(&mut self, state: DesiredState) {
        self.version += 1;
        let key = RowKey::new(Table::DesiredState, "", "config");
        self.put(key, RowValue::DesiredState(Box::new(state)));
    }

    /// Writes a worker's entry as the worker does.
    pub fn put_worker(&mut self, worker: &FakeWorker) {
        self.version += 1;
        let key = RowKey::new(Table::Workers, "", worker.entry.id.as_str());
        self.put(key, RowValue::Worker(Box::new(worker.entry.clone())));
    }

    /// Writes a row with any value, as a writer other than the daemons may.
    pub fn put_row(&mut self, table: Table, part: &str, key: &str, value: RowValue) {
        self.version += 1;
        self.put(RowKey::new(table, part, key), value);
    }

    /// Requests that a domain is drained, as an operator does.
    pub fn drain(&mut self, domain: &str) {
        self.put_row(Table::DomainDrains, "", domain, RowValue::DomainDrain);
    }

    /// Withdraws the request to drain a domain.
    pub fn restore(&mut self, domain: &str) {
        self.remove_row(RowKey::new(Table::DomainDrains, "", domain));
    }

    /// Removes a worker's entry.
    pub fn remove_worker(&mut self, id: &str) {
        self.remove_row(RowKey::new(Table::Workers, "", id));
    }

    fn remove_row(&mut self, key: RowKey) {
        self.version += 1;
        self.rows.remove(&key);
        self.changes.push(Row {
            key,
            version: RowVersion(self.version),
            value: RowValue::Gone,
        });
    }

    /// Returns whether a row or the transaction is too large, as encoded by the daemon.
    fn is_oversized(&self, write: &Write) -> bool {
        let base64_bytes = |value: &RowValue| {
            let bytes = pomelotide_wire::encode(value).unwrap().len();
            assert!(bytes <= value.max_encoded_bytes(), "{bytes} {value:?}");
            bytes.div_ceil(3) * 4
        };
        let sizes: Vec<usize> = write.put.iter().map(|(_, row)| base64_bytes(row)).collect();
        let has_large_row = sizes.iter().any(|bytes| *bytes > self.max_row_bytes);
        has_large_row || sizes.iter().sum::<usize>() > MAX_WRITE_BYTES
    }

    fn write(&mut self, write: Write) -> StoreReply {
        if self.is_oversized(&write) {
            self.oversized += 1;
            return StoreReply::Refused(400);
        }
        if !is_within_limits(&write) {
            return StoreReply::Refused(400);
        }
        let has = |key: &RowKey| self.rows.get(key).map_or(RowVersion(0), |row| row.0);
        if write
            .expect
            .iter()
            .any(|(key, version)| has(key) != *version)
        {
            let rows = write.expect.iter().filter_map(|(key, _)| {
                let (version, value) = self.rows.get(key)?;
                Some(Row {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                })
            });
            return StoreReply::Conflict(rows.collect());
        }
        self.writes += 1;
        self.version += 1;
        for (key, value) in write.put {
            self.put(key, value);
        }
        for key in write.remove {
            self.rows.remove(&key);
        }
        StoreReply::Written(RowVersion(self.version))
    }

    /// Reads at most `most` rows of a partition, beginning with the key `from`.
    fn read_page(&mut self, from: &RowKey, most: usize, now_ms: u64) -> StoreReply {
        let is_in_page = |key: &RowKey| {
            let is_in_table = stored_in(key.table) == stored_in(from.table);
            is_in_table && key.partition == from.partition && *key >= *from
        };
        let found = self.rows.iter().filter(|(key, _)| is_in_page(key));
        let mut bytes = 0;
        let page = found.clone().take(most).take_while(|(_, (_, value))| {
            let is_first = bytes == 0;
            bytes += value_bytes(value);
            is_first || bytes <= MAX_BYTES
        });
        let mut rows: Vec<Row> = page
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        let more = found.count() > rows.len();
        if more && self.unreadable_page_ends {
            rows.push(Row {
                key: RowKey::new(from.table, "", ""),
                version: RowVersion(0),
                value: RowValue::Unusable("malformed".into()),
            });
        }
        if more && self.unreadable_pages > 0 {
            self.unreadable_pages -= 1;
            for row in &mut rows {
                row.key = RowKey::new(from.table, "", "");
                row.value = RowValue::Unusable("malformed".into());
            }
        }
        StoreReply::Rows {
            rows,
            more,
            version: RowVersion(self.version),
            clock_ms: Some(Self::clock_ms(now_ms)),
        }
    }

    pub fn call(
        &mut self,
        refuses: bool,
        at: usize,
        rpc: RpcId,
        call: StoreCall,
        now_ms: u64,
    ) -> Replies {
        if self.down || refuses {
            return vec![(at, rpc, 0, StoreReply::Refused(503))];
        }
        let (wait_ms, reply) = match call {
            StoreCall::Read {
                table: Table::Workers,
                ..
            }
            | StoreCall::Follow {
                table: Table::Workers,
                ..
            } if self.worker_reads_lost => (0, StoreReply::Lost),
            StoreCall::Read {
                table: Table::DesiredState,
                ..
            }
            | StoreCall::Follow {
                table: Table::DesiredState,
                ..
            } if self.state_reads_lost => (0, StoreReply::Lost),
            StoreCall::Read {
                table: Table::DesiredState | Table::DomainDrains,
                ..
            }
            | StoreCall::Follow {
                table: Table::DesiredState,
                ..
            } if self.lost_state_reads > 0 => {
                self.lost_state_reads -= 1;
                (FOLLOW_TIMEOUT_MS, StoreReply::Lost)
            }
            StoreCall::Write(write) => {
                let reply = self.write(write);
                if self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    (1_500, StoreReply::Lost)
                } else {
                    (0, reply)
                }
            }
            StoreCall::Read {
                table,
                partition,
                from,
                limit,
            } => {
                let most = match limit {
                    0 => self.page_rows,
                    limit => (limit as usize).min(self.page_rows),
                };
                let from = RowKey::new(table, &partition, &from);
                (0, self.read_page(&from, most, now_ms))
            }
            StoreCall::Follow {
                table,
                after,
                wait_ms,
            } => self.follow(table, after, wait_ms, now_ms),
        };
        let reply = self.without_rows(reply);
        vec![(at, rpc, wait_ms, reply)]
    }

    /// Removes the rows of an answer with accepted jobs, if such answers are due.
    fn without_rows(&mut self, mut reply: StoreReply) -> StoreReply {
        if let StoreReply::Rows { rows, more, .. } = &mut reply {
            let has_jobs = rows.iter().any(|row| row.key.table == Table::Jobs);
            if has_jobs && self.empty_pages > 0 {
                self.empty_pages -= 1;
                rows.clear();
                *more = true;
            }
        }
        reply
    }

    /// A change that comes while a call waits is seen by the next call only: bounded by the wait.
    fn follow(
        &self,
        table: Table,
        after: RowVersion,
        wait_ms: Millis,
        now_ms: u64,
    ) -> (u64, StoreReply) {
        if after.0 < self.history_gone {
            return (0, StoreReply::HistoryLost);
        }
        let newer = |row: &&Row| stored_in(row.key.table) == table && row.version > after;
        let changes: Vec<&Row> = self.changes.iter().filter(newer).collect();
        // The changes of a transaction share a version and an answer.
        let last = changes.get(self.page_rows - 1).map(|row| row.version);
        let is_in_page = |row: &&&Row| last.is_none_or(|last| row.version <= last);
        let rows: Vec<Row> = changes
            .iter()
            .filter(is_in_page)
            .copied()
            .cloned()
            .collect();
        let more = changes.len() > rows.len();
        let wait_ms = if rows.is_empty() {
            wait_ms.0.min(self.max_follow_wait_ms)
        } else {
            0
        };
        let version = RowVersion(self.version);
        (
            wait_ms,
            StoreReply::Rows {
                rows,
                more,
                version,
                clock_ms: Some(Self::clock_ms(now_ms + wait_ms)),
            },
        )
    }
}
