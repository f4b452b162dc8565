//! Prints one line a measure, `name value unit bound`, and `OVER` behind a broken bound.
#![allow(missing_docs, clippy::unwrap_used)] // A benchmark is a test.

#[path = "../../tests/fixture/mod.rs"]
mod fixture;
mod memory;
mod messages;
mod report;
mod times;

use fixture::{
    alloc::Counting,
    meter::{FRAME_OVERHEAD_BYTES, HTTP_OVERHEAD_BYTES},
};
use report::{Bound, Report};

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// What a daemon may spend on control, by the target.
const CONTROL_BYTES_PER_S: f64 = 19_000.0;
const CONTROL_CORE_PERCENT: f64 = 4.0;
const CONTROL_MIB: f64 = 32.0;
/// What a failure domain has at the target: a tenth of everything.
const TARGET_WORKERS: usize = 3_000;
const TARGET_TEAMS: usize = 120;
const TARGET_RUNNING: usize = 26_000;
const TARGET_STARTS_PER_S: u64 = 430;
/// The workers of a failure domain in each measure of a slope.
const SIZES: [usize; 3] = [48, 480, TARGET_WORKERS];

fn main() {
    let mut report = Report::default();
    report.line(
        "overhead.frame",
        FRAME_OVERHEAD_BYTES as f64,
        "B",
        Bound::None,
    );
    report.line(
        "overhead.http",
        HTTP_OVERHEAD_BYTES as f64,
        "B",
        Bound::None,
    );
    messages::measure(&mut report);
    memory::measure(&mut report);
    times::measure(&mut report);
    report.finish();
}
