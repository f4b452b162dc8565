//! The pomelotide entry host daemon: adapters around the reducer.
//!
//! One thread owns all control state. The adapters' threads turn what arrives on sockets into events
//! and perform the reducer's effects.

mod byte_size;
mod callers;
mod cell;
pub mod cli;
mod client_bounds;
mod client_budget;
mod connection_gate;
mod consts;
mod control;
mod description;
mod heap;
mod host_limits;
mod http_body;
mod journal;
mod links;
mod listener;
mod log_line;
mod memory_bounds;
mod memory_return;
mod metered_stream;
mod platform;
mod resident_memory;
mod segments;
mod settings;
mod settings_file;
mod telemetry;

pub use crate::{
    byte_size::ByteSize,
    cell::{call_event, join_lines, run_cell, ConnectionPool, LineAdmission, LogBudget},
    client_bounds::ClientBounds,
    client_budget::{Admission, BudgetLimits, ClientBudget, ConnectionId, ShedReason},
    control::run,
    host_limits::HostLimits,
    journal::Journal,
    log_line::log_line,
    memory_bounds::MemoryBounds,
    memory_return::{FreedMemory, MemoryReturn},
    segments::Segments,
    settings::{CellSection, Settings, SettingsBuilder},
    settings_file::{read_settings, settings_reference},
};
