//! The pomelotide command line: applies release notes, sends requests and jobs, and shows the state
//! of daemons.

pub mod cli;
mod client;
mod commands;
mod exit;
mod grammar;
mod note_files;
mod output;
mod views;

pub use crate::{commands::run, exit::Exit, grammar::command};
