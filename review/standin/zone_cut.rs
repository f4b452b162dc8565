//! The zone of the leader is cut off from the other zones and the platform, for longer than a lease.

use crate::{
    record::Record,
    site::{Site, ZONES},
    Outcome,
};
use std::sync::Arc;

/// How long a task runs; longer than the cut.
const TASK_MS: u64 = 18_000;
/// How long the zone is cut off: two cuts of the longest kind, one after the other.
const CUT_S: f64 = 13.0;
const QUICK: &str = "00000000000000a1";
const LONG: &str = "00000000000000b2";

fn job(count: u32, estimated_ms: u64, rack: &str) -> String {
    format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{count},\"cpu\":2000,\"mem-mb\":256,\
         \"estimated-ms\":{estimated_ms},\"affinity\":\"{rack}\"}}]}}"
    )
}

pub fn run(dir: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let site = Site::start(dir, record.clone());
    if !site.wait(15.0, || (0..ZONES.len()).all(|at| site.is_ready(at))) {
        return Outcome::NotRun("the daemons are not ready".into());
    }
    // The first start shows who leads.
    let accepted = site.client(0, "POST", QUICK, &job(1, 100, "r-saiss"));
    if !matches!(accepted, Some((200..=299, _))) {
        return Outcome::NotRun("the first submission was not accepted".into());
    }
    if !site.wait(10.0, || site.state(0, QUICK) == "completed") {
        return Outcome::NotRun("the first submission did not end".into());
    }
    let leader = site.fleet.starts().last().map(|seen| seen.from.clone());
    let zone = site
        .daemons
        .iter()
        .position(|daemon| Some(&daemon.name) == leader.as_ref());
    let Some(zone) = zone else {
        return Outcome::NotRun("nobody leads".into());
    };
    let other = (zone + 1) % ZONES.len();
    record.line(&format!("the leader is in {}", ZONES[zone]));
    site.fleet.set_task_ms(TASK_MS);
    let rack = format!("r-{}", ZONES[zone]);
    let accepted = site.client(other, "POST", LONG, &job(2, TASK_MS, &rack));
    if !matches!(accepted, Some((200..=299, _))) {
        return Outcome::NotRun("the submission was not accepted".into());
    }
    let at_work = || site.fleet.runs_on(2 * zone).len() + site.fleet.runs_on(2 * zone + 1).len();
    if !site.wait(5.0, || at_work() == 2) {
        return Outcome::NotRun("the tasks did not start in the leader's zone".into());
    }
    site.wait(2.0, || false);
    if has_trouble {
        site.cut_zone(zone, true);
        let lapse_s = Site::entry_lapse().as_secs_f64();
        site.wait(lapse_s, || false);
        site.list_workers(zone, false);
        site.wait(CUT_S - lapse_s, || false);
        site.cut_zone(zone, false);
        site.list_workers(zone, true);
    } else {
        site.wait(CUT_S, || false);
    }
    let is_completed = || site.state(other, LONG) == "completed";
    let mut polls = 0;
    let completed = site.wait(50.0, || {
        polls += 1;
        polls % 50 == 0 && is_completed()
    });
    record.line(&format!("the submission is completed: {completed}"));
    match (site.fleet.broken().is_empty(), completed) {
        (false, _) => Outcome::Broken,
        (true, true) => Outcome::Held,
        (true, false) => Outcome::NotRun("the submission did not end".into()),
    }
}
