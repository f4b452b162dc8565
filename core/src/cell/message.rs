//! Messages between the leader and the other daemons of a cell.

use crate::{
    cell::{
        AdviceReply, DesiredState, FencingToken, JobRow, JobState, QueryId, RowVersion, StepKey,
    },
    JobId, Millis, QueueName, TeamName, WorkerId,
};
use serde::{Deserialize, Serialize};

/// What the leader knows of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStateReply {
    /// The job's state.
    Known(JobState),
    /// The leader has not heard of it; the store may have.
    #[serde(rename = "Unheard")]
    UnknownToLeader,
    /// The leader is still reading what is on record.
    Loading,
}

/// What became of a submission that was passed on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitOutcome {
    /// It is on record.
    Accepted,
    /// It is not on record and never will be.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// A message to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToLeader {
    /// Hands over a job that is on record.
    Accepted {
        /// The job.
        job: Box<JobRow>,
        /// The transaction that recorded it.
        version: RowVersion,
    },
    /// Asks the leader to put a job on record, since the sender does not reach the store.
    Submit {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: Box<JobRow>,
    },
    /// Asks for a job's state.
    State {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: JobId,
        /// The team that asks; `None` on an open queue.
        team: Option<TeamName>,
    },
    /// Gives a job up.
    Cancel {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The job.
        job: JobId,
        /// The team that asks; `None` on an open queue.
        team: Option<TeamName>,
    },
    /// Returns advice.
    Advice {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// What the service said.
        reply: AdviceReply,
    },
    /// Asks for a newer desired state than the sender's.
    #[serde(rename = "Behind")]
    ConfigRequest,
    /// Asks the leader to say when the desired state was confirmed after this ping.
    Ping {
        /// The time on the sender's clock.
        sent_ms: Millis,
        /// How long ago the store answered the sender.
        store_age_ms: Millis,
    },
}

/// A message from the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToMember {
    /// Says that the leader lives and what it knows.
    Heartbeat {
        /// The leader's token.
        token: FencingToken,
        /// The latest version of its lease row.
        lease: RowVersion,
        /// The version of its desired state.
        version: u64,
        /// The latest ping of the receiver after which this version was still the newest.
        confirmed_ms: Option<Millis>,
        /// How many jobs wait, for the queues where some do.
        queued: Vec<(QueueName, u64)>,
        /// Whether the leader has read all that is on record.
        ready: bool,
        /// Whether the store is slow to answer the leader, so that it wants to know who reaches it.
        #[serde(rename = "store_silent")]
        store_slow: bool,
        /// The processor share of the strongest daemon, in thousandths of a core.
        #[serde(rename = "strongest_milli")]
        strongest_cpu_milli: u64,
        /// Jobs of these queues can't be served in time at present; come back after the span.
        closed: Vec<(QueueName, Millis)>,
    },
    /// Says that the sender leads no more, since it does not reach the store: another may lead now.
    Resigned {
        /// The token under which it led.
        token: FencingToken,
    },
    /// Passes on a desired state.
    Config(Box<DesiredState>),
    /// Answers [`ToLeader::State`].
    State {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The answer.
        view: JobStateReply,
    },
    /// Answers [`ToLeader::Submit`].
    Submitted {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The answer.
        view: SubmitOutcome,
    },
    /// Asks the member to call the advice service.
    Advise {
        /// The question.
        #[serde(rename = "ask")]
        query: QueryId,
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<WorkerId>,
        /// How long the call may take.
        #[serde(rename = "limit_ms")]
        timeout_ms: Millis,
    },
}
