//! Reads the tables that a new leader needs: each in full once, then the changes of jobs, workers
//! and members.

use crate::{
    cell::{
        consts,
        ctx::{reply_name, Ctx, RpcOwner},
        leader::{page_size::PageSize, Leader},
        store_clock::StoreClock,
        submissions::partition_name,
        LogEvent, Row, RowValue, RowVersion, RpcId, StoreCall, StoreReply, Table,
    },
    JobId, Millis,
};
use compact_str::{format_compact, CompactString};
use std::collections::{BTreeMap, VecDeque};

/// How often in a row a page is read again that has no readable key and is not the last one.
const MAX_UNREADABLE_PAGES: u32 = 24;

/// A full read of a partition.
#[derive(Clone, Debug)]
struct Scan {
    table: Table,
    part: CompactString,
    from: CompactString,
}

/// The progress of reading a table's changes after a full read.
#[derive(Clone, Debug)]
struct Feed {
    read_up_to: RowVersion,
    in_flight: bool,
    sent_at: Millis,
    next_at: Millis,
    /// How many answers in a row did not come in time.
    lost: u32,
}

impl Feed {
    /// Returns how long the answer to the next read may take, beside its wait at the store. An answer holds
    /// all changes since the last one, so after a lost one the next is larger.
    fn timeout_ms(&self) -> Millis {
        let factor = 1 << self.lost.min(consts::MAX_FOLLOW_TIMEOUT_DOUBLINGS);
        Millis(consts::STORE_TIMEOUT_MS.0 * factor)
    }
}

#[derive(Debug)]
enum OpenRead {
    Scan {
        scan: Scan,
        sent_at: Millis,
        /// The most rows that the page may have.
        rows: u32,
    },
    Follow(Table),
}

impl OpenRead {
    /// Returns the table of a full read.
    fn scanned(&self) -> Option<Table> {
        match self {
            OpenRead::Scan { scan, .. } => Some(scan.table),
            OpenRead::Follow(_) => None,
        }
    }
}

/// The leader's reads of the store.
#[derive(Debug)]
pub(crate) struct Loader {
    /// Full reads that are not sent yet, in the order of sending; all must have ended before work is
    /// placed.
    pending_scans: VecDeque<Scan>,
    page_size: PageSize,
    /// When the next page may be requested.
    next_scan_at: Millis,
    open: BTreeMap<RpcId, OpenRead>,
    feeds: BTreeMap<Table, Feed>,
    /// How many reads of each table have failed in a row.
    failures: BTreeMap<Table, u32>,
    /// A reading of the store's clock, and the leader's time when it arrived.
    clock: Option<(Millis, Millis)>,
    is_done: bool,
}

impl Default for Loader {
    fn default() -> Self {
        let scan = |table, part: &str| Scan {
            table,
            part: part.into(),
            from: CompactString::default(),
        };
        let small_tables = [
            scan(Table::Members, consts::MEMBERS_PARTITION),
            scan(Table::Workers, ""),
            scan(Table::Progress, consts::CELL_PARTITION),
        ];
        let jobs = (0..consts::JOB_PARTITIONS).map(|part| scan(Table::Jobs, &partition_name(part)));
        Self {
            pending_scans: small_tables.into_iter().chain(jobs).collect(),
            page_size: PageSize::default(),
            next_scan_at: Millis(0),
            open: BTreeMap::new(),
            feeds: BTreeMap::new(),
            failures: BTreeMap::new(),
            clock: None,
            is_done: false,
        }
    }
}

impl Loader {
    /// Returns whether all tables have been read once.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns the time by which the store's clock certainly shows `clock_ms`, if it has been read.
    pub(crate) fn time_at_clock(&self, clock_ms: Millis) -> Option<Millis> {
        let (read_ms, read_at) = self.clock?;
        Some(read_at + StoreClock::longest(clock_ms.since(read_ms)))
    }

    /// Counts a failed read; logs the 1st, 2nd, 4th, 8th and so on of a series.
    fn on_failed_read(&mut self, ctx: &mut Ctx, table: Table, reply: &str) {
        let failures = self.failures.entry(table).or_default();
        *failures = failures.saturating_add(1);
        if failures.is_power_of_two() {
            let event = LogEvent::warn("read_failed").with("table", format_args!("{table:?}"));
            let event = event.with("reply", reply).with("failures", failures);
            ctx.log(event.with("page_rows", self.page_size.rows()));
        }
    }

    /// Sends a failed full read again after a pause.
    fn retry_scan(&mut self, ctx: &mut Ctx, scan: Scan, reply: &str) {
        self.on_failed_read(ctx, scan.table, reply);
        self.next_scan_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
        self.pending_scans.push_front(scan);
    }

    /// Returns how many pages may be requested now.
    fn free_scans(&self, now: Millis) -> usize {
        let max_open = match self.is_done {
            true => 1,
            false => consts::MAX_OPEN_SCANS,
        };
        let open = self.open.values().filter_map(OpenRead::scanned).count();
        match now >= self.next_scan_at {
            true => max_open.saturating_sub(open),
            false => 0,
        }
    }

    /// Adapts the size of the next pages to the answer to a request for `rows` rows. Pages that are read
    /// while this daemon places work leave the host's link to its other calls for as long as they took.
    fn adapt_pages(&mut self, now: Millis, rows: u32, took_ms: Millis, reply: &StoreReply) {
        match reply {
            StoreReply::Rows { more, .. } => {
                self.page_size.on_page(rows, took_ms, !*more);
                if self.is_done {
                    self.next_scan_at = now + took_ms;
                }
            }
            StoreReply::Lost => self.page_size.on_lost(rows),
            _ => {}
        }
    }

    /// Returns whether a table is being read in full.
    pub(crate) fn is_scanning(&self, table: Table) -> bool {
        let mut open = self.open.values().filter_map(OpenRead::scanned);
        let mut pending = self.pending_scans.iter();
        open.any(|own| own == table) || pending.any(|scan| scan.table == table)
    }

    /// Removes and returns the next full read to send. While jobs are being removed, their table is not
    /// read: a page from before would bring a removed job back.
    fn take_scan(&mut self, are_jobs_removed: bool) -> Option<Scan> {
        let is_due = |scan: &Scan| !(are_jobs_removed && scan.table == Table::Jobs);
        let at = self.pending_scans.iter().position(is_due)?;
        self.pending_scans.remove(at)
    }

    /// Reads the changes of a table, if that is due.
    fn follow(&mut self, ctx: &mut Ctx, table: Table) {
        let feed = self.feeds.get_mut(&table);
        let Some(feed) = feed.filter(|feed| !feed.in_flight && ctx.now >= feed.next_at) else {
            return;
        };
        let (wait_ms, _) = follow_timing(table);
        feed.in_flight = true;
        feed.sent_at = ctx.now;
        let call = StoreCall::Follow {
            table,
            after: feed.read_up_to,
            wait_ms,
        };
        let rpc = ctx.call_store(RpcOwner::Leader, call, wait_ms + feed.timeout_ms());
        self.open.insert(rpc, OpenRead::Follow(table));
    }

    /// Makes the next read of accepted jobs due at once.
    pub(crate) fn read_jobs_now(&mut self) {
        if let Some(feed) = self.feeds.get_mut(&Table::Jobs) {
            feed.next_at = Millis(0);
        }
    }
}

/// Returns how long a read of changes waits at the store, and the pause between two such reads.
const fn follow_timing(table: Table) -> (Millis, Millis) {
    match table {
        Table::Jobs => (Millis(0), consts::JOBS_FOLLOW_INTERVAL_MS),
        Table::Members => (consts::MEMBERS_FOLLOW_WAIT_MS, Millis(0)),
        _ => (consts::FOLLOW_WAIT_MS, Millis(0)),
    }
}

impl Leader {
    /// Sends the full reads and the reads of changes that are due.
    pub(crate) fn send_reads(&mut self, ctx: &mut Ctx) {
        let are_jobs_removed = self.progress_writes.has_removals();
        let loader = &mut self.loader;
        for _ in 0..loader.free_scans(ctx.now) {
            let Some(scan) = loader.take_scan(are_jobs_removed) else {
                break;
            };
            let rows = loader.page_size.rows();
            let call = StoreCall::Read {
                table: scan.table,
                partition: scan.part.clone(),
                from: scan.from.clone(),
                limit: rows,
            };
            let rpc = ctx.call_store(RpcOwner::Leader, call, consts::STORE_TIMEOUT_MS);
            let sent_at = ctx.now;
            let read = OpenRead::Scan {
                scan,
                sent_at,
                rows,
            };
            loader.open.insert(rpc, read);
        }
        // The version to follow from is known only once all full reads of the table have ended.
        let feeds = loader.feeds.keys().copied();
        let feeds: Vec<Table> = feeds.filter(|table| !loader.is_scanning(*table)).collect();
        for table in feeds {
            loader.follow(ctx, table);
        }
    }

    pub(crate) fn on_read_reply(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: StoreReply) {
        match self.loader.open.remove(&rpc) {
            Some(OpenRead::Scan {
                scan,
                sent_at,
                rows,
            }) => {
                let took_ms = ctx.now.since(sent_at);
                self.loader.adapt_pages(ctx.now, rows, took_ms, &reply);
                self.on_scan(ctx, scan, reply)
            }
            Some(OpenRead::Follow(table)) => self.on_follow(ctx, table, reply),
            None => {}
        }
    }

    fn on_scan(&mut self, ctx: &mut Ctx, mut scan: Scan, reply: StoreReply) {
        let StoreReply::Rows {
            rows,
            more,
            version,
            clock_ms,
        } = reply
        else {
            return self.loader.retry_scan(ctx, scan, reply_name(&reply));
        };
        self.loader.clock = clock_ms
            .map(|clock_ms| (clock_ms, ctx.now))
            .or(self.loader.clock);
        // A row whose key can't be read has an empty one.
        let mut keys = rows.iter().rev().map(|row| &row.key.key);
        let last_key = keys.find(|key| !key.is_empty()).cloned();
        if more && last_key.is_none() {
            // The next page begins after a key of this one.
            let failures = self.loader.failures.get(&scan.table).copied().unwrap_or(0);
            if failures < MAX_UNREADABLE_PAGES {
                let event = LogEvent::warn("page_without_keys");
                let event = event.with("table", format_args!("{:?}", scan.table));
                let event = event.with("part", &scan.part).with("from", &scan.from);
                ctx.log(event.with("rows", rows.len()));
                return self.loader.retry_scan(ctx, scan, "unreadable_page");
            }
            let event = LogEvent::warn("read_cut_short");
            let event = event.with("table", format_args!("{:?}", scan.table));
            ctx.log(event.with("part", &scan.part).with("from", &scan.from));
        }
        self.loader.failures.remove(&scan.table);
        if matches!(scan.table, Table::Jobs | Table::Workers | Table::Members) {
            // A page lacks all later changes, so the oldest page decides where to follow from.
            let feed = Feed {
                read_up_to: version,
                in_flight: false,
                sent_at: ctx.now,
                next_at: ctx.now,
                lost: 0,
            };
            let existing = self.loader.feeds.entry(scan.table).or_insert(feed);
            existing.read_up_to = existing.read_up_to.min(version);
        }
        if let (true, Some(last)) = (more, last_key) {
            scan.from = format_compact!("{last}\u{1}");
            self.loader.pending_scans.push_front(scan);
        }
        for row in rows {
            self.apply_row(ctx, row);
        }
        let is_scan = |open: &OpenRead| open.scanned().is_some();
        let has_scans_left =
            !self.loader.pending_scans.is_empty() || self.loader.open.values().any(is_scan);
        if !has_scans_left && !self.loader.is_done {
            self.loader.is_done = true;
            self.on_loaded(ctx);
        }
        self.send_reads(ctx);
    }

    /// Starts the leader's work once all tables have been read.
    fn on_loaded(&mut self, ctx: &mut Ctx) {
        let event = LogEvent::info("leader_loaded").with("token", self.token);
        let event = event
            .with("jobs", self.jobs.len())
            .with("workers", self.fleet.len());
        let missing = self
            .fleet
            .iter()
            .filter(|(_, worker)| !worker.listed)
            .count();
        let event = event.with("workers_missing", missing);
        let event = event.with("config", self.policy.is_some());
        let event = event.with("page_rows", self.loader.page_size.rows());
        ctx.log(event.with("took_ms", ctx.now.since(self.started_at).0));
        self.set_refills();
        self.attach_progress(ctx);
        self.end_exhausted_jobs(ctx);
        self.log_loaded_jobs(ctx);
        self.poll_workers(ctx);
        self.needs_pass = true;
    }

    fn on_follow(&mut self, ctx: &mut Ctx, table: Table, reply: StoreReply) {
        let Some(feed) = self.loader.feeds.get_mut(&table) else {
            return;
        };
        feed.in_flight = false;
        match reply {
            StoreReply::Rows {
                rows,
                more,
                version,
                ..
            } => {
                self.loader.failures.remove(&table);
                feed.lost = 0;
                let (wait_ms, pause_ms) = follow_timing(table);
                // A page that is not the last one covers only the changes up to its last row.
                let last = rows.iter().map(|row| row.version).max();
                let last = last.filter(|last| *last > feed.read_up_to);
                // Without a last row, it is unknown where the next page begins.
                let is_gapless = !more || last.is_some();
                feed.read_up_to = feed
                    .read_up_to
                    .max(last.filter(|_| more).unwrap_or(version));
                let took_ms = ctx.now.since(feed.sent_at).since(wait_ms);
                feed.next_at = ctx.now + pause_ms.max(took_ms);
                for row in rows {
                    self.apply_row(ctx, row);
                }
                if !is_gapless {
                    self.rescan(ctx, table);
                }
            }
            StoreReply::HistoryLost => self.rescan(ctx, table),
            reply => {
                feed.next_at = ctx.now + consts::STORE_RETRY_DELAY_MS;
                feed.lost += u32::from(reply == StoreReply::Lost);
                self.loader.on_failed_read(ctx, table, reply_name(&reply));
            }
        }
        self.send_reads(ctx);
    }

    /// Reads a table in full again, because its history of changes was lost.
    fn rescan(&mut self, ctx: &mut Ctx, table: Table) {
        ctx.log(LogEvent::warn("history_lost").with("table", format_args!("{table:?}")));
        self.loader.feeds.remove(&table);
        let all_scans = Loader::default().pending_scans;
        let scans = all_scans.into_iter().filter(|scan| scan.table == table);
        self.loader.pending_scans.extend(scans);
        if table == Table::Workers {
            self.fleet.mark_all_unlisted();
        }
    }

    pub(crate) fn apply_row(&mut self, ctx: &mut Ctx, row: Row) {
        let table = row.key.table;
        match row.value {
            RowValue::Job(job) => self.add_job(ctx, *job, row.version),
            RowValue::Withdrawn(_) if table == Table::Jobs => {
                let seen_at = ctx.now;
                let id = JobId::new(&row.key.key);
                let known = self.withdrawn.entry(id).or_insert((row.version, seen_at));
                if row.version > known.0 {
                    // A row that was written again is kept for the whole retention time.
                    *known = (row.version, seen_at);
                }
            }
            RowValue::Gone if table == Table::Jobs => {
                self.withdrawn.remove(&JobId::new(&row.key.key));
            }
            RowValue::Progress(progress) => {
                self.progress_writes
                    .add_loaded(&row.key, row.version, *progress);
            }
            RowValue::Worker(entry) => self.on_entry(ctx, *entry),
            RowValue::Member(member) => self.on_member_row(ctx, &row.key.key, member),
            RowValue::Gone if table == Table::Workers => self.on_entry_removed(ctx, &row.key.key),
            RowValue::Gone if table == Table::Members => self.members.remove(&row.key.key),
            RowValue::Unusable(reason) => {
                let event = LogEvent::warn("row_unusable").with("table", format_args!("{table:?}"));
                ctx.log(event.with("key", &row.key.key).with("reason", reason));
                if table == Table::Workers {
                    self.on_entry_removed(ctx, &row.key.key);
                }
            }
            _ => {}
        }
    }
}
