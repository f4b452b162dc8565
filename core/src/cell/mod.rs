//! The cell: one leader places the work of a whole fleet, and every daemon accepts it.
//!
//! [`Node`] is the reducer of one daemon. It takes one [`Event`] at a time and returns [`Effect`]s as
//! data, without any I/O, like [`crate::Core`]. The store decides who leads; workers compare the
//! leader's fencing token; a job is on record before it is accepted, and an end before it is
//! acknowledged. See docs/decisions/11-one-leader-a-cell.md.

mod client;
mod config_feed;
pub mod consts;
mod desired;
mod effect;
mod election;
mod event;
mod frontend;
mod job;
mod leader;
mod log_event;
mod message;
mod node;
mod numbers;
mod progress;
mod settings;
mod store;
mod store_clock;
mod submissions;
mod task_key;
mod worker_call;
mod worker_entry;

pub use crate::cell::{
    client::{ClientAnswer, ClientCall, ClientVerb},
    config_feed::ConfigFeed,
    desired::{AdviceCost, DesiredState, Queue, RequestLimits, Team},
    effect::Effect,
    event::Event,
    job::{JobRow, StepSpec, Submission},
    leader::Leader,
    log_event::{LogEvent, LogLevel},
    message::{JobStateReply, SubmitOutcome, ToLeader, ToMember},
    node::Node,
    numbers::{FencingToken, Incarnation, LinkId, QueryId, RowVersion, RpcId},
    progress::{JobState, Placement, Progress, StepProgress},
    settings::{CellSettings, CellSettingsBuilder},
    store::{MemberRow, Row, RowKey, RowValue, StoreCall, StoreReply, Table, TermRow, Write},
    task_key::{StepKey, TaskKey},
    worker_call::{
        ActiveRun, AdviceReply, FinishedRun, RunOutcome, StartRequest, Ticket, WorkerAnswer,
        WorkerCall, WorkerRefusal, WorkerRuns,
    },
    worker_entry::WorkerEntry,
};
