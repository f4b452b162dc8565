//! The pomelotide entry host daemon: adapters around the reducer.
//!
//! One thread owns all control state; the threads of the adapters turn sockets into events and
//! carry out effects.

mod callers;
mod cell;
mod check;
pub mod cli;
mod consts;
mod control;
mod journal;
mod links;
mod log_line;
mod platform;
mod sentence;
mod settings;
mod telemetry;

pub use crate::{
    cell::{join_lines, run_cell, LineAdmission, LogBudget},
    check::{read_settings, settings_reference},
    control::run,
    journal::Journal,
    log_line::log_line,
    settings::{CellPart, Settings, SettingsBuilder},
};
