//! What was sent, answered and run: the lines of `record.txt`, and the runs that the checks look at.

use crate::worker::Kind;
use std::{
    fs::File,
    io::{self, Write},
    sync::Mutex,
    time::{Duration, Instant},
};

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub kind: Kind,
    /// When and how it ended.
    pub end: Option<(Duration, &'static str)>,
    /// When its end was taken note of.
    pub acknowledged_at: Option<Duration>,
}

pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { began_at: Instant::now(), file, starts: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.began_at.elapsed()
    }

    pub fn write(&self, line: String) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {line}");
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }

    pub fn on_start(&self, task: &str, run: u64, worker: &str, kind: &Kind) {
        self.starts.lock().unwrap().push(Start {
            at: self.now(),
            task: task.to_string(),
            run,
            worker: worker.to_string(),
            kind: kind.clone(),
            end: None,
            acknowledged_at: None,
        });
    }

    pub fn on_end(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        let now = self.now();
        for start in self.starts.lock().unwrap().iter_mut() {
            if start.worker == worker && start.task == task && start.run == run && start.end.is_none() {
                start.end = Some((now, how));
            }
        }
    }

    /// Notes that a task's runs are gone with their worker.
    pub fn on_gone(&self, worker: &str, task: &str) {
        let now = self.now();
        for start in self.starts.lock().unwrap().iter_mut() {
            if start.worker == worker && start.task == task && start.end.is_none() {
                start.end = Some((now, "gone"));
            }
        }
    }

    pub fn on_acknowledged(&self, worker: &str, task: &str, run: u64) {
        let now = self.now();
        for start in self.starts.lock().unwrap().iter_mut() {
            if start.worker == worker && start.task == task && start.run == run {
                start.acknowledged_at = start.acknowledged_at.or(Some(now));
            }
        }
    }
}
