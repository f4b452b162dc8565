//! Plays one case against the project's daemons; exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case could not run.
//!
//! `standin CASE RECORD`; with `TROUBLE=0` in the environment the case has no disruption.

mod base64;
mod budget;
mod cell;
mod count;
mod http;
mod json;
mod kind;
mod record;
mod store;
mod worker;

use record::Record;
use std::{io, process, sync::Arc};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(&path).and_then(|record| {
        let record = Arc::new(record);
        let result = match case.as_str() {
            "budget" => budget::play(record.clone(), trouble),
            "count" => count::play(record.clone(), trouble),
            "kind" => kind::play(record.clone(), trouble),
            _ => Err(io::Error::other("no such case")),
        };
        result.inspect_err(|error| record.write(format!("could not run: {error}"))).map(|broken| {
            match &broken {
                Some(what) => record.write(format!("BROKEN: {what}")),
                None => record.write("the rule held".into()),
            }
            broken
        })
    });
    process::exit(match played {
        Ok(Some(what)) => {
            println!("broken: {what}");
            1
        }
        Ok(None) => {
            println!("held");
            0
        }
        Err(error) => {
            println!("could not run: {error}");
            2
        }
    });
}
