//! The log writer: a bounded queue to a thread that writes to standard output, with a rate limit for
//! each event.

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use metrics::counter;
use pomelotide_core::cell::{LogEvent, LogLevel};
use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::Mutex,
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The maximum number of lines queued for the writer: two seconds of lines at the full rate.
const MAX_QUEUED_LINES: usize = 4_096;
/// The maximum number of info lines of one event per second; twice the rate at which a leader
/// usually starts runs.
const MAX_INFO_LINES_PER_SECOND: u32 = 400;
/// The maximum number of warn lines of one event per second.
const MAX_WARN_LINES_PER_SECOND: u32 = 800;
/// The maximum number of bytes that a write to a pipe transfers atomically: `PIPE_BUF` on Linux.
const MAX_ATOMIC_WRITE_BYTES: usize = 4_096;
/// The minimum interval between two batches of lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the lines of each event in the current second to limit their rate.
#[derive(Debug, Default)]
pub struct LogBudget {
    second: u64,
    counts: BTreeMap<&'static str, u32>,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineAdmission {
    /// The line is written.
    Write,
    /// The line is left out; a later warning reports the number of such lines.
    Drop,
}

impl LogBudget {
    /// Returns whether to write a line in the given second. For the first line of a second, also
    /// returns a warning for each event that exceeded its limit in the second counted before.
    pub fn admit(&mut self, second: u64, line: &LogEvent) -> (LineAdmission, Vec<LogEvent>) {
        let mut reports = Vec::new();
        if second != self.second {
            self.second = second;
            for (event, count) in std::mem::take(&mut self.counts) {
                let max = max_lines_per_second(LogLevel::Info);
                if count > max {
                    let line = LogEvent::warn("lines_left_out").with("of", event);
                    reports.push(line.with("count", count - max));
                }
            }
        }
        let count = self.counts.entry(line.event).or_default();
        *count += 1;
        let admission = match *count <= max_lines_per_second(line.level) {
            true => LineAdmission::Write,
            false => LineAdmission::Drop,
        };
        (admission, reports)
    }
}

const fn max_lines_per_second(level: LogLevel) -> u32 {
    match level {
        LogLevel::Info => MAX_INFO_LINES_PER_SECOND,
        LogLevel::Warn => MAX_WARN_LINES_PER_SECOND,
    }
}

/// The handle to the log writer's thread.
#[derive(Debug)]
pub(crate) struct LogWriter {
    daemon: String,
    lines: Sender<String>,
    budget: Mutex<LogBudget>,
    thread: JoinHandle<()>,
}

impl LogWriter {
    pub(crate) fn spawn(daemon: String) -> io::Result<Self> {
        let (lines, received) = channel::bounded(MAX_QUEUED_LINES);
        let work = move || write_lines(&received);
        let thread = thread::Builder::new().name("log".into()).spawn(work)?;
        Ok(Self {
            daemon,
            lines,
            budget: Mutex::default(),
            thread,
        })
    }

    /// Queues a line without blocking; drops it if the queue is full.
    pub(crate) fn write(&self, line: &LogEvent) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let (admission, reports) = match self.budget.lock() {
            Ok(mut budget) => budget.admit(unix.as_secs(), line),
            Err(_) => return,
        };
        for line in reports {
            self.queue(unix, &line);
        }
        match admission {
            LineAdmission::Write => self.queue(unix, line),
            LineAdmission::Drop => counter!("pomelotide_log_lines_left_out_total").increment(1),
        }
    }

    fn queue(&self, unix: Duration, line: &LogEvent) {
        let level = match line.level {
            LogLevel::Info => "info",
            LogLevel::Warn => "warn",
        };
        let at = format!("{}.{:03}", unix.as_secs(), unix.subsec_millis());
        let text = format!("time={at} level={level} daemon={} {line}\n", self.daemon);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(text) {
            counter!("pomelotide_log_lines_dropped_total").increment(1);
        }
    }

    /// Writes the queued lines and stops the thread.
    pub(crate) fn close(self) {
        drop(self.lines);
        // Fails only if the thread has panicked.
        let _ = self.thread.join();
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut last_write = Instant::now();
    while let Ok(first) = lines.recv() {
        let pause = WRITE_INTERVAL.saturating_sub(last_write.elapsed());
        if !pause.is_zero() {
            thread::sleep(pause);
        }
        last_write = Instant::now();
        let queued = std::iter::once(first).chain(lines.try_iter());
        for text in join_lines(queued, MAX_ATOMIC_WRITE_BYTES) {
            // Fails if standard output is closed, and then the log has no reader.
            let _ = io::stdout().lock().write_all(text.as_bytes());
        }
    }
}

/// Joins lines into chunks of at most `max_bytes`; a longer line is a chunk of its own.
pub fn join_lines(lines: impl Iterator<Item = String>, max_bytes: usize) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    for line in lines {
        match texts.last_mut() {
            Some(text) if text.len() + line.len() <= max_bytes => text.push_str(&line),
            _ => texts.push(line),
        }
    }
    texts
}
