//! The pomelotide entry host daemon: adapters around the reducer.
//!
//! One thread owns all control state; the threads of the adapters turn sockets into events and
//! carry out effects.

mod callers;
mod check;
pub mod cli;
mod consts;
mod control;
mod links;
mod platform;
mod settings;
mod telemetry;

pub use crate::{
    check::read_settings,
    control::run,
    settings::{Settings, SettingsBuilder},
};
