//! Scripted scenarios and invariant checks.
//!
//! Two to six reducers run in virtual time over small fakes of the table, the workers, the callers
//! and the paths between them. The checks judge by what workers and callers saw, never by the
//! reducers' own bookkeeping. The same script and seed always give the same verdict.

mod checks;
mod draw;
mod faults;
mod history;
mod recording;
mod runner;
mod script;
mod statement;
mod world;

pub use crate::{
    checks::{Checker, Invariant, Violation},
    draw::{draw_script, Drawn},
    history::{CallNumber, Observation},
    recording::Recording,
    runner::{record_script, run_script, Failure, Verdict},
    script::{Script, ScriptError},
    statement::{Expected, Place, Statement, Work},
    world::World,
};
