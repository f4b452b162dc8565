//! A client leaves while the answer to the write of its submission is lost, and cancels.

use crate::{
    record::Record,
    site::{Site, ZONES},
    Outcome,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const QUICK: &str = "00000000000000a1";
const LONG: &str = "00000000000000b2";
/// How long a task runs.
const TASK_MS: u64 = 15_000;
/// After this time the client leaves.
const PATIENCE: Duration = Duration::from_millis(500);
/// How much later than sent the write without an answer is done.
const LATE: Duration = Duration::from_millis(1_200);
/// `cancel_ms`, `stop-timeout-ms` and `contact-ms` of the settings.
const CANCEL_MS: u64 = 3_000;
const STOP_TIMEOUT_MS: u64 = 900;
const CONTACT_MS: u64 = 3_000;

fn job(estimated_ms: u64) -> String {
    format!("{{\"spec\":\"x\",\"steps\":[{{\"count\":2,\"cpu\":2000,\"mem-mb\":256,\"estimated-ms\":{estimated_ms}}}]}}")
}

pub fn run(dir: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let site = Site::start(dir, record.clone());
    if !site.wait(15.0, || (0..ZONES.len()).all(|at| site.is_ready(at))) {
        return Outcome::NotRun("the daemons are not ready".into());
    }
    // The first start shows who leads.
    let accepted = site.client(0, "POST", QUICK, &job(100));
    if !matches!(accepted, Some((200..=299, _))) {
        return Outcome::NotRun("the first submission was not accepted".into());
    }
    if !site.wait(10.0, || site.state(0, QUICK) == "completed") {
        return Outcome::NotRun("the first submission did not end".into());
    }
    let leader = site.fleet.starts().last().map(|seen| seen.from.clone());
    let others = (0..ZONES.len()).filter(|at| Some(&site.daemons[*at].name) != leader.as_ref());
    let others: Vec<usize> = others.collect();
    let [first, second] = others[..] else {
        return Outcome::NotRun("nobody leads".into());
    };
    site.fleet.set_task_ms(TASK_MS);
    site.wait(1.0, || false);
    if has_trouble {
        site.store
            .set_late_writes(Some((&site.daemons[first].name, LATE)));
    }
    let accepted = site.client_for(first, "POST", LONG, &job(TASK_MS), PATIENCE);
    site.store.set_late_writes(None);
    let trouble_ended_at = Instant::now() + LATE;
    if has_trouble && accepted.is_some() {
        return Outcome::NotRun("the client got an answer".into());
    }
    let cancelled = site.client(second, "DELETE", LONG, "");
    if !matches!(cancelled, Some((200..=299 | 410, _))) {
        return Outcome::NotRun("the cancelling was not acknowledged".into());
    }
    let cancelled_at = Instant::now();
    // The bound after the cancelling, and long enough after the disruption, and half a second more.
    let bound = cancelled_at + Duration::from_millis(CANCEL_MS + STOP_TIMEOUT_MS);
    let until = bound.max(trouble_ended_at + Duration::from_millis(CONTACT_MS))
        + Duration::from_millis(500);
    site.wait(
        until
            .saturating_duration_since(Instant::now())
            .as_secs_f64(),
        || false,
    );
    let at_work = site.fleet.runs_of(LONG);
    for (task, worker) in &at_work {
        let waited = cancelled_at.elapsed().as_millis();
        record.line(&format!(
            "UNASKED: {task} runs on on {worker}, {waited} ms after the cancelling's ack"
        ));
    }
    site.state(second, LONG);
    match at_work.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
