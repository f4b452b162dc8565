//! What a new leader reads, and the tables that it follows.

use crate::{
    cell::{
        consts,
        leader::Leader,
        node::{Ctx, RpcOwner},
        submissions::partition_name,
        LogEvent, Row, RowValue, RowVersion, RpcId, StoreCall, StoreReply, Table,
    },
    Millis,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// A partition that is read whole.
#[derive(Clone, Debug)]
struct Scan {
    table: Table,
    part: CompactString,
    from: CompactString,
}

/// A table whose changes are followed.
#[derive(Clone, Debug)]
struct Feed {
    after: RowVersion,
    in_flight: bool,
    next_at: Millis,
}

#[derive(Debug)]
enum Open {
    Scan(Scan),
    Follow(Table),
}

impl Open {
    /// Returns the table that is read whole.
    fn scanned(&self) -> Option<Table> {
        match self {
            Open::Scan(scan) => Some(scan.table),
            Open::Follow(_) => None,
        }
    }
}

/// The reads of a leader.
#[derive(Debug)]
pub(crate) struct Load {
    /// What has to be read before work is placed.
    todo: Vec<Scan>,
    open: BTreeMap<RpcId, Open>,
    feeds: BTreeMap<Table, Feed>,
    retry_at: Millis,
    done: bool,
}

impl Default for Load {
    fn default() -> Self {
        let scan = |table, part: &str| Scan {
            table,
            part: part.into(),
            from: CompactString::default(),
        };
        let mut todo: Vec<Scan> = (0..consts::JOB_PARTITIONS)
            .map(|part| scan(Table::Jobs, &partition_name(part)))
            .collect();
        todo.push(scan(Table::Progress, consts::CELL_PARTITION));
        todo.push(scan(Table::Workers, ""));
        todo.push(scan(Table::Members, consts::MEMBERS_PARTITION));
        Self {
            todo,
            open: BTreeMap::new(),
            feeds: BTreeMap::new(),
            retry_at: Millis(0),
            done: false,
        }
    }
}

impl Load {
    /// Says whether everything on record has been read once.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Reads the changes of accepted jobs at once.
    pub(crate) fn hurry_jobs(&mut self) {
        if let Some(feed) = self.feeds.get_mut(&Table::Jobs) {
            feed.next_at = Millis(0);
        }
    }
}

/// Returns how long a following read waits at the store, and the pause between two.
const fn pace_of(table: Table) -> (Millis, Millis) {
    match table {
        Table::Jobs => (Millis(0), consts::JOBS_FOLLOW_INTERVAL_MS),
        Table::Members => (consts::MEMBERS_FOLLOW_WAIT_MS, Millis(0)),
        _ => (consts::FOLLOW_WAIT_MS, Millis(0)),
    }
}

impl Leader {
    pub(crate) fn load_tick(&mut self, ctx: &mut Ctx) {
        let load = &mut self.load;
        if ctx.now >= load.retry_at {
            for scan in std::mem::take(&mut load.todo) {
                let call = StoreCall::Read {
                    table: scan.table,
                    partition: scan.part.clone(),
                    from: scan.from.clone(),
                    limit: 0,
                };
                let rpc = ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
                load.open.insert(rpc, Open::Scan(scan));
            }
        }
        let scanned: Vec<Table> = load.open.values().filter_map(Open::scanned).collect();
        for (&table, feed) in &mut load.feeds {
            // The oldest of all scans of a table says from where on its changes are missing.
            let scanning =
                scanned.contains(&table) || load.todo.iter().any(|own| own.table == table);
            if feed.in_flight || ctx.now < feed.next_at || scanning {
                continue;
            }
            let (wait_ms, _) = pace_of(table);
            let after = feed.after;
            feed.in_flight = true;
            let call = StoreCall::Follow {
                table,
                after,
                wait_ms,
            };
            let rpc = ctx.call_store(RpcOwner::Leader, call, wait_ms + consts::STORE_TIMEOUT_MS);
            load.open.insert(rpc, Open::Follow(table));
        }
    }

    pub(crate) fn on_load(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) {
        match self.load.open.remove(&rpc) {
            Some(Open::Scan(scan)) => self.on_scan(ctx, scan, reply),
            Some(Open::Follow(table)) => self.on_follow(ctx, table, reply),
            None => {}
        }
    }

    fn on_scan(&mut self, ctx: &mut Ctx, mut scan: Scan, reply: StoreReply) {
        let StoreReply::Rows {
            rows,
            more,
            version,
            ..
        } = reply
        else {
            self.load.retry_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
            self.load.todo.push(scan);
            return;
        };
        if matches!(scan.table, Table::Jobs | Table::Workers | Table::Members) {
            // The first page of the first partition is the oldest: follow from there.
            let feed = Feed {
                after: version,
                in_flight: false,
                next_at: ctx.now,
            };
            let known = self.load.feeds.entry(scan.table).or_insert(feed);
            known.after = known.after.min(version);
        }
        if let (true, Some(last)) = (more, rows.last()) {
            scan.from = compact_str::format_compact!("{}\u{1}", last.key.key);
            self.load.todo.push(scan);
        }
        for row in rows {
            self.take_row(ctx, row);
        }
        let scanning = |open: &Open| matches!(open, Open::Scan(_));
        let left = !self.load.todo.is_empty() || self.load.open.values().any(scanning);
        if !left && !self.load.done {
            self.load.done = true;
            self.after_load(ctx);
        }
        self.load_tick(ctx);
    }

    fn after_load(&mut self, ctx: &mut Ctx) {
        let line = LogEvent::info("leader_loaded").with("token", self.token);
        let line = line
            .with("jobs", self.jobs.len())
            .with("workers", self.fleet.len());
        let missing = self
            .fleet
            .iter()
            .filter(|(_, worker)| !worker.listed)
            .count();
        let line = line.with("workers_missing", missing);
        ctx.log(line.with("took_ms", ctx.now.since(self.since).0));
        self.attach_progress(ctx);
        self.look_at_workers(ctx);
        self.wants_pass = true;
    }

    fn on_follow(&mut self, ctx: &mut Ctx, table: Table, reply: StoreReply) {
        let Some(feed) = self.load.feeds.get_mut(&table) else {
            return;
        };
        feed.in_flight = false;
        match reply {
            StoreReply::Rows { rows, version, .. } => {
                let (_, pause_ms) = pace_of(table);
                feed.after = version;
                feed.next_at = ctx.now + pause_ms;
                for row in rows {
                    self.take_row(ctx, row);
                }
            }
            StoreReply::HistoryLost => self.read_again(ctx, table),
            _ => feed.next_at = ctx.now + consts::STORE_RETRY_DELAY_MS,
        }
        self.load_tick(ctx);
    }

    /// Reads a table whole again, since its history is gone.
    fn read_again(&mut self, ctx: &mut Ctx, table: Table) {
        ctx.log(LogEvent::warn("history_lost").with("table", format_args!("{table:?}")));
        self.load.feeds.remove(&table);
        let again = Load::default().todo;
        let mut scans: Vec<Scan> = again
            .into_iter()
            .filter(|scan| scan.table == table)
            .collect();
        self.load.todo.append(&mut scans);
        if table == Table::Workers {
            self.fleet.begin_reading();
        }
    }

    fn take_row(&mut self, ctx: &mut Ctx, row: Row) {
        let table = row.key.table;
        match row.value {
            RowValue::Job(job) => self.learn(ctx, *job, row.version),
            RowValue::Progress(progress) => {
                self.commits.keep_loaded(&row.key, row.version, *progress);
            }
            RowValue::Worker(entry) => self.on_entry(ctx, *entry),
            RowValue::Member(member) => self.on_member(ctx, &row.key.key, member),
            RowValue::Gone if table == Table::Workers => self.on_entry_gone(ctx, &row.key.key),
            RowValue::Gone if table == Table::Members => self.members.remove(&row.key.key),
            RowValue::Unusable(reason) => {
                let line = LogEvent::warn("row_unusable").with("table", format_args!("{table:?}"));
                ctx.log(line.with("key", &row.key.key).with("reason", reason));
                if table == Table::Workers {
                    self.on_entry_gone(ctx, &row.key.key);
                }
            }
            _ => {}
        }
    }
}
