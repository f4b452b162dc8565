//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("record.txt")),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
