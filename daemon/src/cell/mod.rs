//! A cell's daemon on the users' platform: adapters around [`pomelotide_core::cell::Node`].
//!
//! One thread owns the reducer, one thread serves all sockets and one writes the log.

mod call_event;
mod channel;
mod connection_pool;
mod control;
mod http_server;
mod links;
mod log_writer;
mod network;
mod request_limits;
mod telemetry;

pub use self::{
    call_event::call_event,
    connection_pool::ConnectionPool,
    control::run_cell,
    log_writer::{join_lines, LineAdmission, LogBudget},
};
