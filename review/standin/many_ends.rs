//! A worker is cut off and runs on, and more of its tasks end meanwhile than it lists at a time.

use crate::{
    record::Record,
    site::{Site, ZONES},
    Outcome,
};
use std::sync::Arc;

const JOBS: u32 = 12;
const TASKS_A_JOB: u32 = 60;
/// The pause between two submissions.
const PAUSE_S: f64 = 0.35;
/// How long a task runs.
const TASK_MS: u64 = 10_000;
/// How long the worker is cut off; less than its lease.
const CUT_S: f64 = 5.5;

fn job() -> String {
    format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{TASKS_A_JOB},\"cpu\":20,\"mem-mb\":32,\"estimated-ms\":{TASK_MS}}}]}}"
    )
}

fn id(at: u32) -> String {
    format!("{:016x}", 0xc300 + at)
}

pub fn run(dir: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let site = Site::start(dir, record.clone());
    if !site.wait(15.0, || (0..ZONES.len()).all(|at| site.is_ready(at))) {
        return Outcome::NotRun("the daemons are not ready".into());
    }
    site.wait(2.0, || false);
    site.fleet.set_task_ms(TASK_MS);
    for at in 0..JOBS {
        let accepted = site.client(at as usize % ZONES.len(), "POST", &id(at), &job());
        if !matches!(accepted, Some((200..=299, _))) {
            return Outcome::NotRun("a submission was not accepted".into());
        }
        site.wait(PAUSE_S, || false);
    }
    let starts = (JOBS * TASKS_A_JOB) as usize;
    if !site.wait(5.0, || site.fleet.starts().len() >= starts) {
        return Outcome::NotRun("not all tasks have started".into());
    }
    let runs = |at: &usize| site.fleet.runs_on(*at).len();
    let Some(worker) = (0..2 * ZONES.len()).max_by_key(runs) else {
        return Outcome::NotRun("no workers".into());
    };
    record.line(&format!(
        "all tasks have started, {} of them on worker i-{worker}",
        runs(&worker)
    ));
    if !site.wait(20.0, || site.fleet.ends() > 0) {
        return Outcome::NotRun("no task has ended".into());
    }
    if has_trouble {
        site.cut_worker(worker, true);
        site.wait(CUT_S, || false);
        site.cut_worker(worker, false);
    }
    let mut polls = 0;
    let completed = site.wait(40.0, || {
        polls += 1;
        polls % 100 == 0 && (0..JOBS).all(|at| site.state(0, &id(at)) == "completed")
    });
    record.line(&format!("all submissions are completed: {completed}"));
    match (site.fleet.broken().is_empty(), completed) {
        (false, _) => Outcome::Broken,
        (true, true) => Outcome::Held,
        (true, false) => Outcome::NotRun("the submissions did not end".into()),
    }
}
