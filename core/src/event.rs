//! The inputs of the reducer.

use crate::{
    CallId, DaemonId, Host, JobId, JobSpec, KeyDigest, Note, ObjectReply, OpId, PeerMessage,
    Request, RequestId, TableReply, WorkerId, WorkerReport,
};
use serde::{Deserialize, Serialize};

/// Something that happened at or to a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller sent a request.
    RequestArrived {
        /// The call.
        call: CallId,
        /// The request.
        request: Request,
    },
    /// A caller submitted a job.
    JobArrived {
        /// The call.
        call: CallId,
        /// The caller's id of the submission.
        request: RequestId,
        /// The digest of the key in the call.
        key: Option<KeyDigest>,
        /// The job to run.
        spec: JobSpec,
    },
    /// A caller queried a job's state.
    JobAsked {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// A caller cancelled a job.
    CancelArrived {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
        /// The digest of the key in the call.
        key: Option<KeyDigest>,
    },
    /// An operator proposed a release note.
    NoteArrived {
        /// The call.
        call: CallId,
        /// The note.
        note: Note,
    },
    /// A caller closed its connection before the answer.
    CallDropped {
        /// The call.
        call: CallId,
    },
    /// A peer sent a message.
    PeerHeard {
        /// The peer.
        from: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a worker was opened.
    WorkerLinked {
        /// The worker.
        worker: WorkerId,
        /// The number of the connection.
        link: u64,
    },
    /// A connection to a worker was closed or could not be opened.
    WorkerUnlinked {
        /// The worker.
        worker: WorkerId,
        /// The number of the connection.
        link: u64,
    },
    /// A worker sent a report.
    WorkerHeard {
        /// The worker.
        worker: WorkerId,
        /// The number of the connection on which it arrived.
        link: u64,
        /// The report.
        report: WorkerReport,
    },
    /// A table operation ended.
    TableAnswered {
        /// The operation.
        op: OpId,
        /// The result.
        reply: TableReply,
    },
    /// An operation on the object store ended.
    ObjectAnswered {
        /// The operation.
        op: OpId,
        /// The result.
        reply: ObjectReply,
    },
    /// The host list was read.
    HostsRead {
        /// The workers on it.
        hosts: Vec<Host>,
    },
    /// The host list was read and has not changed since the previous read.
    HostsUnchanged,
    /// A planned shutdown was requested. A second request ends the process without waiting for open
    /// calls.
    DrainAsked,
}
