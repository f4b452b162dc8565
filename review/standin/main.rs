//! Stand-ins for the cases of the review: `standin CASE FOLDER TEMPORARY-FOLDER`.

mod cancelled;
mod http;
mod json;
mod long_ids;
mod many_ends;
mod public_route;
mod record;
mod site;
mod store;
mod worker;
mod zone_cut;

use crate::record::Record;
use std::{env, process::ExitCode, sync::Arc};

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, dir] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "public-route" => public_route::run(dir, &record, has_trouble),
        "zone-cut" => zone_cut::run(dir, &record, has_trouble),
        "cancelled" => cancelled::run(dir, &record, has_trouble),
        "long-ids" => long_ids::run(dir, &record, has_trouble),
        "many-ends" => many_ends::run(dir, &record, has_trouble),
        _ => Outcome::NotRun("no such case".into()),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_string()),
        Outcome::Broken => (1, "the rule was broken".to_string()),
        Outcome::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&format!("result: {text}"));
    println!("{text}");
    ExitCode::from(code)
}
