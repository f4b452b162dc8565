//! The pomelotide entry host daemon: adapters around the reducer.
//!
//! One thread owns all control state. The adapters' threads turn what arrives on sockets into events
//! and perform the reducer's effects.

mod callers;
mod cell;
pub mod cli;
mod client_budget;
mod consts;
mod control;
mod description;
mod journal;
mod links;
mod log_line;
mod platform;
mod segments;
mod settings;
mod settings_file;
mod telemetry;

pub use crate::{
    cell::{
        call_event, join_lines, run_cell, ConnectionPool, HostLimits, LineAdmission, LogBudget,
    },
    client_budget::{Admission, BudgetLimits, ClientBudget, ConnectionId, ShedReason},
    control::run,
    journal::Journal,
    log_line::log_line,
    segments::Segments,
    settings::{CellSection, Settings, SettingsBuilder},
    settings_file::{read_settings, settings_reference},
};
