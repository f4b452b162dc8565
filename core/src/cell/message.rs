//! Messages between the leader and the other daemons of a cell.

use crate::{
    cell::{
        AdmissionTable, AdviceReply, DesiredState, FencingToken, JobAccess, JobRow, JobState,
        QueryId, QueueCount, RowVersion, StepKey,
    },
    JobId, Millis, QueueName, WorkerId,
};
use serde::{Deserialize, Serialize};

/// The leader's answer to a query for a job's state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStateReply {
    /// The job's state.
    Known(JobState),
    /// The leader has no such job; it may still be recorded in the store.
    #[serde(rename = "Unheard")]
    UnknownToLeader,
    /// The leader has not yet read all records.
    Loading,
}

/// The outcome of a submission that was forwarded to the leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitOutcome {
    /// The job is recorded.
    Accepted,
    /// The job is not recorded and will not be.
    NotRun,
    /// The job was cancelled before it was recorded, and will not be.
    Withdrawn,
    /// The job may or may not be recorded.
    Unknown,
}

/// A message to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToLeader {
    /// Reports a job that the sender has recorded.
    Accepted {
        /// The job.
        job: Box<JobRow>,
        /// The version of the transaction that recorded it.
        version: RowVersion,
    },
    /// Asks the leader to record a job, because the store is slow or unreachable for the sender.
    Submit {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: Box<JobRow>,
    },
    /// Asks for a job's state.
    State {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: JobId,
        /// The jobs that the caller may see and end.
        #[serde(flatten)]
        access: JobAccess,
    },
    /// Cancels a job.
    Cancel {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: JobId,
        /// The jobs that the caller may see and end.
        #[serde(flatten)]
        access: JobAccess,
    },
    /// Answers [`ToMember::Advise`].
    Advice {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The service's answer.
        reply: AdviceReply,
    },
    /// Requests the leader's desired state, which is newer than the sender's.
    #[serde(rename = "Behind")]
    ConfigRequest,
    /// Answers a heartbeat. Once the leader has confirmed its desired state after this ping, it
    /// returns `sent_ms` in a heartbeat.
    Ping {
        /// The time on the sender's clock.
        sent_ms: Millis,
        /// How long ago the store last answered the sender.
        store_age_ms: Millis,
    },
}

/// A message from the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToMember {
    /// Reports periodically that the leader is alive, together with its state.
    Heartbeat {
        /// The leader's fencing token.
        token: FencingToken,
        /// The latest version of its lease row.
        lease: RowVersion,
        /// The version of its desired state.
        version: u64,
        /// The send time of the receiver's latest ping after which this version was confirmed as
        /// the newest.
        confirmed_ms: Option<Millis>,
        /// The number of pending jobs of each queue that has some, for receivers of earlier versions.
        queued: Vec<(QueueName, u64)>,
        /// The same by address, which is what identifies a queue; `None` from earlier versions.
        #[serde(default)]
        queued_at: Option<Vec<QueueCount>>,
        /// The length of the longest worker's id, which bounds the size of a gang; `None` while it is unknown
        /// and from earlier versions.
        #[serde(default)]
        worker_id_bytes: Option<usize>,
        /// Whether the leader has read all records.
        ready: bool,
        /// Whether the store is slow for the leader; members then read from the store, so that
        /// their pings report whether they reach it.
        #[serde(rename = "store_silent")]
        store_slow: bool,
        /// The largest processor share of all daemons, in thousandths of a core.
        #[serde(rename = "strongest_milli")]
        strongest_cpu_milli: u64,
        /// The rate of the fastest link of all daemons, as far as a leader uses it; `None` from leaders of
        /// earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        strongest_link_kbps: Option<u64>,
        /// The queues that refuse jobs because they can't finish in time, with the delay after
        /// which a client may retry.
        closed: Vec<(QueueName, Millis)>,
        /// The accepted work that waits; `None` while the leader does not know it, and from leaders of
        /// earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        admission: Option<Box<AdmissionTable>>,
    },
    /// Announces that the sender no longer leads, so that another daemon can take over at once.
    Resigned {
        /// The fencing token under which it led.
        token: FencingToken,
    },
    /// Sends the leader's desired state.
    Config(Box<DesiredState>),
    /// Answers [`ToLeader::State`].
    State {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The answer.
        view: JobStateReply,
    },
    /// Answers [`ToLeader::Submit`].
    Submitted {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The answer.
        #[serde(rename = "view")]
        outcome: SubmitOutcome,
    },
    /// Asks the member to call the advice service.
    Advise {
        /// The id of the query.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The step whose tasks are to be placed.
        step: StepKey,
        /// The workers on which advice is requested.
        workers: Vec<WorkerId>,
        /// How long the call may take.
        #[serde(rename = "limit_ms")]
        timeout_ms: Millis,
    },
}
