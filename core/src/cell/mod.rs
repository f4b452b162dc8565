//! The cell: every daemon accepts jobs, and one elected leader places them on the whole fleet.
//!
//! [`Node`] is the reducer of one daemon. It handles one [`Event`] at a time and returns
//! [`Effect`]s as data, without any I/O, like [`crate::Core`]. A conditional write to the store
//! elects the leader, and workers refuse calls with an old fencing token. A job is recorded before
//! it is accepted, and the end of a run before it is acknowledged. See
//! docs/decisions/11-one-leader-a-cell.md.

mod admission;
mod client;
mod config_feed;
pub mod consts;
mod ctx;
mod desired;
mod domain_drains;
mod domain_refill;
mod effect;
mod election;
mod event;
mod found_row;
mod frontend;
mod host_strength;
mod ids;
mod job;
mod job_access;
mod leader;
mod log_event;
mod message;
mod node;
mod progress;
mod queue_key;
mod row_size;
mod settings;
mod store;
mod store_clock;
mod submissions;
mod task_key;
mod term;
mod withdrawal;
mod worker_call;
mod worker_entry;

pub use crate::cell::{
    admission::{
        decide, Admission, AdmissionGate, AdmissionTable, Backlog, JobDemand, PoolTable,
        RefusalReason, RetryPlaces, TeamBacklog, TeamLoad, Verdict, WaitingJob, MAX_LISTED_TEAMS,
        MAX_TABLE_AGE_MS,
    },
    client::{ClientAnswer, ClientCall, ClientVerb},
    config_feed::ConfigFeed,
    desired::{AdviceCost, DesiredState, Queue, RequestLimits, Team},
    domain_drains::DomainDrains,
    effect::Effect,
    event::Event,
    ids::{FencingToken, Incarnation, LinkId, QueryId, RowVersion, RpcId},
    job::{JobRow, StepSpec, Submission},
    job_access::JobAccess,
    leader::{Leader, SchedulingWork},
    log_event::{LogEvent, LogLevel},
    message::{JobStateReply, SubmitOutcome, ToLeader, ToMember},
    node::Node,
    progress::{JobState, Placement, Progress, StepProgress},
    queue_key::{QueueAddress, QueueCount},
    settings::{CellSettings, CellSettingsBuilder},
    store::{MemberRow, Row, RowKey, RowValue, StoreCall, StoreReply, Table, TermRow, Write},
    task_key::{StepKey, TaskKey},
    withdrawal::Withdrawal,
    worker_call::{
        ActiveRun, AdviceReply, FinishedRun, RunOutcome, StartRequest, Ticket, UnreadableRows,
        WorkerAnswer, WorkerCall, WorkerRefusal, WorkerRuns,
    },
    worker_entry::WorkerEntry,
};
