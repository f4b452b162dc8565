//! A gang is submitted to workers with long ids.

use crate::{
    record::Record,
    site::{Site, ZONES},
    Outcome,
};
use std::sync::Arc;

const GANG: &str = "00000000000000b2";
const MEMBERS: u32 = 400;
const TASK_MS: u64 = 2_000;
/// The ids' common part: service, zone, rack, host and the number of its life.
const LONG_PREFIX: &str =
    "lending-desk.fes-meknes.rack-0003.host-0017.7f3a91c2-55e0-4c6b-9d1f-2b7a61c0-";
/// `finish_s` of the settings, and the 3 s for which nothing may run.
const FINISH_S: f64 = 14.0;
const IDLE_S: f64 = 3.0;

pub fn run(dir: &str, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let prefix = if has_trouble { LONG_PREFIX } else { "i-" };
    let site = Site::start_with_ids(dir, record.clone(), prefix);
    if !site.wait(15.0, || (0..ZONES.len()).all(|at| site.is_ready(at))) {
        return Outcome::NotRun("the daemons are not ready".into());
    }
    site.wait(2.0, || false);
    site.fleet.set_task_ms(TASK_MS);
    let job = format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":100,\"mem-mb\":64,\"estimated-ms\":{TASK_MS},\"gang\":true}}]}}"
    );
    let accepted = site.client(0, "POST", GANG, &job);
    match accepted {
        Some((200..=299, _)) => {}
        // A truthful refusal keeps the rule.
        Some((400..=599, _)) => return Outcome::Held,
        _ => return Outcome::NotRun("the submission got no answer".into()),
    }
    let has_started = site.wait(FINISH_S + IDLE_S, || !site.fleet.starts().is_empty());
    if !has_started {
        let state = site.state(1, GANG);
        record.line(&format!(
            "LOST: {GANG} was accepted and is {state}, nothing of it has run for {} s",
            FINISH_S + IDLE_S
        ));
        return Outcome::Broken;
    }
    let completed = site.wait(20.0, || {
        site.wait(0.5, || false);
        site.state(1, GANG) == "completed"
    });
    match completed {
        true => Outcome::Held,
        false => Outcome::NotRun("the submission did not end".into()),
    }
}
