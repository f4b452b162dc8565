//! The pomelotide entry host daemon: adapters around the reducer.
//!
//! One thread owns all control state; the threads of the adapters turn sockets into events and
//! carry out effects.

mod callers;
mod cell;
pub mod cli;
mod consts;
mod control;
mod description;
mod journal;
mod links;
mod log_line;
mod platform;
mod settings;
mod settings_file;
mod telemetry;

pub use crate::{
    cell::{join_lines, run_cell, LineAdmission, LogBudget},
    control::run,
    journal::Journal,
    log_line::log_line,
    settings::{CellSection, Settings, SettingsBuilder},
    settings_file::{read_settings, settings_reference},
};
