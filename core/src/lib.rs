//! The decisions of the pomelotide cluster scheduler.
//!
//! [`Core`] is a reducer: it receives one [`Event`] at a time, together with the time, and returns
//! [`Effect`]s as data. It does no I/O, reads no clock and draws no random numbers, so the same
//! code runs in the daemon, in tests with virtual time and in benchmarks, and a recorded trace of
//! events replays to the same effects.

mod answer;
pub mod cell;
mod class;
mod config;
mod config_parts;
pub mod consts;
mod decision_event;
mod effect;
mod entry;
mod event;
mod fleet;
mod freshness;
mod ids;
mod job;
pub mod limit_transfers;
mod limits;
mod millis;
mod note;
mod object;
mod payload;
mod peer;
mod pending_queues;
mod reducer;
mod request;
pub mod resources;
mod retry_budget;
mod service_time;
mod settings;
mod share_meter;
pub mod split;
mod status;
mod table;
mod task_attempt;
mod task_set;
mod team_queue;
mod view;
mod work_unit;
mod worker;
mod worker_state;

pub use crate::{
    answer::{Answer, Refusal},
    class::{Class, ClassError},
    config::{Config, QueueView},
    decision_event::{DecisionEvent, LostCause, RequestOutcome, WaitCause},
    effect::Effect,
    entry::{Entry, EntryName},
    event::Event,
    fleet::{Fleet, WorkerIx},
    freshness::Freshness,
    ids::*,
    job::{JobRow, JobSpec, JobState},
    limits::Limits,
    millis::{Millis, MillisError},
    note::{FaultKind, Note, NoteFault, NoteVerdict},
    object::{ObjectReply, SnapshotSlot},
    payload::Payload,
    peer::{
        AdmittedJob, AdmittedRequest, Heartbeat, Origin, PeerMessage, PendingRequest,
        RunningRequest,
    },
    pending_queues::PendingQueues,
    reducer::Core,
    request::Request,
    resources::Resources,
    retry_budget::RetryBudget,
    service_time::ServiceTime,
    settings::CoreSettings,
    share_meter::ShareMeter,
    status::Status,
    table::{
        Check, HeadRow, Insert, IntentRow, IntentState, Key, LeaderRow, MemberRow, Query, Row,
        SnapshotRow, TableReply, Txn,
    },
    task_attempt::TaskAttempt,
    task_set::TaskSet,
    team_queue::TeamQueue,
    view::{JobView, PeerView, TeamView, WorkerView},
    work_unit::{UnitKind, WorkUnit},
    worker::{ActiveTask, Claim, EndedTask, Host, TaskEnd, TaskStart, WorkerCommand, WorkerReport},
    worker_state::{Link, Running, WorkerState},
};
