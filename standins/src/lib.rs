//! Stand-ins for the platform and its workers, for tests and demonstrations only.
//!
//! The models implement only what the interfaces guarantee. They perform no I/O, so that the same
//! code runs behind sockets here and in simulations on virtual time.

pub mod cli;
mod link;
mod platform;
mod table_model;
mod worker_model;
mod workers;

pub use crate::{
    platform::{serve_platform, PlatformFaults},
    table_model::TableModel,
    worker_model::{WorkerFaults, WorkerModel},
    workers::{serve_workers, WorkersOptions},
};
