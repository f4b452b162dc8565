//! The pomelotide command line: release notes, requests, jobs and the state of daemons.

pub mod cli;
mod client;
mod commands;
mod exit;
mod note_files;
mod output;

pub use crate::{commands::run, exit::Exit};
