//! Compares today's policy with a first-fit FIFO queue on the same arrivals, in virtual time.
//!
//! The bounds are the targets and the strict queue (`fifo`); a queue that looks past work that does
//! not fit (`fifo_skip`) is printed beside it.
//!
//! Prints one line a measure: name, value, unit and bound. Ends with exit code 1 where a bound is
//! broken.

#[path = "../../tests/support/mod.rs"]
mod support;

mod baseline;
mod mix;
mod outcome;
mod report;
mod today;

use mix::Mix;
use report::Report;
use std::process::ExitCode;

/// How far the second baseline looks past work that does not fit.
const SKIP_DEPTH: usize = 256;

fn main() -> ExitCode {
    let mut report = Report::default();
    for mix in [Mix::bennani(), Mix::nyabugogo()] {
        let arrivals = mix.arrivals();
        let today = today::run(&mix, &arrivals);
        let strict = baseline::run(&mix, &arrivals, 1);
        let skipping = baseline::run(&mix, &arrivals, SKIP_DEPTH);
        report.compare(&mix, &today, &strict, &skipping);
    }
    if report.is_broken() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
