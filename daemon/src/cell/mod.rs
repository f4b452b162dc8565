//! The daemon of a cell on the users' platform: adapters around [`pomelotide_core::cell::Node`].
//!
//! One thread owns the reducer; one thread serves all sockets; one writes the log.

mod control;
mod front;
mod input;
mod links;
mod log_writer;
mod measures;
mod pool;
mod traffic;

pub use self::{
    control::run_cell,
    log_writer::{joined, Allowance, LogBudget},
};
