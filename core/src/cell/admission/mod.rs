//! Admission by backlog and share: a job that can't start while its result is useful is refused.
//!
//! The leader keeps the accepted work that waits, for each service and team, in a [`Backlog`]. Its
//! heartbeats carry an [`AdmissionTable`], from which each daemon decides on submissions by [`decide`].
//! See docs/design/admission.md.

mod admission_table;
mod backlog;
mod decision;
mod expiring_sum;
mod gate;
mod job_demand;
mod pool_table;
mod refusal_reason;
mod retry_places;
mod team_backlog;
mod team_load;
mod waiting_job;

pub(crate) use crate::cell::admission::job_demand::useful_ms;
pub use crate::cell::admission::{
    admission_table::AdmissionTable,
    backlog::Backlog,
    decision::{decide, Admission},
    gate::{AdmissionGate, Verdict},
    job_demand::JobDemand,
    pool_table::PoolTable,
    refusal_reason::RefusalReason,
    retry_places::RetryPlaces,
    team_backlog::TeamBacklog,
    team_load::TeamLoad,
    waiting_job::WaitingJob,
};

/// By the terms of the service, a result is useful to its caller up to this multiple of the objective.
pub const USEFUL_FACTOR: u64 = 3;
/// The age from which a table is not used any more: three heartbeats and the time that one travels.
pub const MAX_TABLE_AGE_MS: u64 = 1_500;
/// The most teams that a table lists; the others are summed.
pub const MAX_LISTED_TEAMS: usize = 128;
