//! MIXED: the route of a queue is removed and added again under another name while submissions wait.

use crate::{
    cell::{Cell, ROUTE},
    record::Record,
    worker::Kind,
};
use std::{collections::BTreeSet, io, sync::Arc, thread, time::Duration};

const MAX_ATTEMPTS: u32 = 4;
const WAITING: usize = 6;
/// `visible_ms` + 2 s.
const VISIBLE_AFTER: Duration = Duration::from_millis(5_000);

pub fn play(record: Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let plan = Arc::new(|_: &str, _| (Duration::from_secs(18), "done"));
    let kind = Kind { service: "desk", cpu_milli: 4_000, labels: vec!["a", "r1-1"] };
    let cell = Cell::start(record.clone(), 3, &[kind.clone(), kind], MAX_ATTEMPTS, plan)?;
    let body = r#"{"spec":"orchard","steps":[{"count":2,"cpu":4000,"mem-mb":256,"estimated-ms":18000}]}"#;
    let mut accepted = Vec::new();
    // The first one fills both workers; the others wait.
    for at in 0..=WAITING {
        let id = format!("9c40d7e1b25a88{at:02x}");
        if cell.client("POST", &id, body).0 != 200 {
            return Err(io::Error::other("a submission was not accepted"));
        }
        accepted.push((record.now(), id));
        thread::sleep(Duration::from_millis(if at == 0 { 1_000 } else { 50 }));
    }
    if trouble {
        cell.operate(4, MAX_ATTEMPTS, &[]);
        thread::sleep(Duration::from_secs(3));
        cell.operate(7, MAX_ATTEMPTS, &["r-desk-again"]);
    } else {
        cell.operate(4, MAX_ATTEMPTS, &[ROUTE]);
    }
    thread::sleep(Duration::from_secs(6));
    let mut broken = Vec::new();
    for _ in 0..3 {
        let now = record.now();
        let begun: BTreeSet<String> = record.starts().iter().map(|start| start.task[..16].to_string()).collect();
        let waits = |(at, id): &&(Duration, String)| now - *at > VISIBLE_AFTER && !begun.contains(id);
        let waiting = accepted.iter().filter(waits).count();
        record.write(format!("{waiting} submissions of the queue have been accepted long ago and have not begun"));
        for (status, count) in cell.counts() {
            if status == 200 && count * 2 < waiting as u64 {
                broken.push((count, waiting));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for (_, id) in &accepted {
        cell.state(id);
    }
    let Some((count, waiting)) = broken.first() else { return Ok(None) };
    let times = broken.len();
    Ok(Some(format!("{times} answers with a count that is too low; the first: {count}, while {waiting} submissions wait")))
}
