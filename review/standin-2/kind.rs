//! ROUTE: a worker starts again under its id as a boot of another kind, while it is cut off from the store.

use crate::{cell::Cell, record::Record, worker::Kind};
use std::{io, sync::Arc, thread, time::Duration};

const JOB: &str = "7be11a90c45d02f3";
const LABEL: &str = "a";

pub fn play(record: Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let plan = Arc::new(|_: &str, _| (Duration::from_millis(800), "done"));
    let kind = |label| Kind { service: "desk", cpu_milli: 16_000, labels: vec![label, "r1-1"] };
    let kinds = [kind("a"), kind("a"), kind("a"), kind("a"), kind("a")];
    let cell = Cell::start(record.clone(), 3, &kinds, 4, plan)?;
    if trouble {
        let worker = &cell.workers[0];
        worker.set_cut(true);
        thread::sleep(Duration::from_millis(300));
        worker.crash();
        thread::sleep(Duration::from_millis(500));
        worker.boot(kind("b"))?;
        thread::sleep(Duration::from_millis(1_200));
    }
    let body = format!(
        r#"{{"spec":"orchard","steps":[{{"count":20,"cpu":1000,"mem-mb":256,"estimated-ms":800,"requirements":"{LABEL}"}}]}}"#
    );
    if cell.client("POST", JOB, &body).0 != 200 {
        return Err(io::Error::other("the submission was not accepted"));
    }
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        cell.workers[0].set_cut(false);
    }
    thread::sleep(Duration::from_millis(3_000));
    record.write(format!("shown as {}", cell.state(JOB)));
    // A start on a worker without the label in `requirements`.
    let starts = record.starts();
    let broken: Vec<_> = starts.iter().filter(|start| !start.kind.labels.contains(&LABEL)).collect();
    let Some(first) = broken.first() else { return Ok(None) };
    let count = broken.len();
    let (task, worker, labels) = (&first.task, &first.worker, &first.kind.labels);
    Ok(Some(format!(
        "{count} starts on a worker without the label {LABEL:?}; the first: {task} on {worker}, whose labels are {labels:?}"
    )))
}
