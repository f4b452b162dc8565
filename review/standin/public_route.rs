//! A route is removed and added again as a public one while a submission of it is at work.

use crate::{
    record::Record,
    site::{Route, Site, ZONES},
    Outcome,
};
use std::sync::Arc;

const LONG: &str = "00000000000000b2";
const TASK_MS: u64 = 25_000;
/// `visible_ms` of the settings.
const VISIBLE_S: f64 = 3.0;
/// `cancel_ms` and `stop-timeout-ms` of the settings, and half a second more.
const CANCEL_S: f64 = 4.4;
/// `config-apply-ms` of the settings, and a second more.
const APPLY_S: f64 = 3.0;

pub fn run(dir: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let site = Site::start(dir, record.clone());
    if !site.wait(15.0, || (0..ZONES.len()).all(|at| site.is_ready(at))) {
        return Outcome::NotRun("the daemons are not ready".into());
    }
    site.fleet.set_task_ms(TASK_MS);
    let job = format!("{{\"spec\":\"x\",\"steps\":[{{\"count\":2,\"cpu\":2000,\"mem-mb\":256,\"estimated-ms\":{TASK_MS}}}]}}");
    let accepted = site.client(0, "POST", LONG, &job);
    if !matches!(accepted, Some((200..=299, _))) {
        return Outcome::NotRun("the submission was not accepted".into());
    }
    site.wait(VISIBLE_S, || false);
    if site.state(0, LONG) != "running" {
        return Outcome::NotRun("the submission is not at work".into());
    }
    if has_trouble {
        site.set_route(2, Route::Missing);
        site.wait(APPLY_S, || false);
        site.set_route(4, Route::Public);
    }
    site.wait(APPLY_S, || false);
    let call = |at: usize, method: &str| match has_trouble {
        true => site.client_without_key(at, method, LONG),
        false => site.client(at, method, LONG, ""),
    };
    let mut is_broken = false;
    for at in 0..ZONES.len() {
        if matches!(call(at, "GET"), Some((410, _))) {
            is_broken = true;
            let at_work = site.fleet.runs_of(LONG);
            record.line(&format!(
                "LOST: {LONG} is answered 410 while {at_work:?} are at work"
            ));
        }
    }
    if !matches!(call(0, "DELETE"), Some((200..=299 | 410, _))) {
        return Outcome::NotRun("the cancelling was not acknowledged".into());
    }
    site.wait(CANCEL_S, || false);
    for (task, worker) in site.fleet.runs_of(LONG) {
        is_broken = true;
        record.line(&format!(
            "UNASKED: {task} runs on on {worker}, {CANCEL_S} s after the cancelling's ack"
        ));
    }
    match is_broken {
        false => Outcome::Held,
        true => Outcome::Broken,
    }
}
