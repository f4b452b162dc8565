//! Everything that can happen to a daemon.

use crate::{
    CallId, DaemonId, Host, JobId, JobSpec, KeyDigest, Note, ObjectReply, OpId, PeerMessage,
    Request, RequestId, TableReply, WorkerId, WorkerReport,
};
use serde::{Deserialize, Serialize};

/// An input of the reducer.
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
        /// The digest of the key that came with it.
        key: Option<KeyDigest>,
        /// What is to be run.
        spec: JobSpec,
    },
    /// A caller asked for a job's state.
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
        /// The digest of the key that came with it.
        key: Option<KeyDigest>,
    },
    /// An operator proposed a release note.
    NoteArrived {
        /// The call.
        call: CallId,
        /// The note.
        note: Note,
    },
    /// A caller went away.
    CallDropped {
        /// The call.
        call: CallId,
    },
    /// A message came from a peer.
    PeerHeard {
        /// The peer.
        from: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// The connection to a worker is open.
    WorkerLinked {
        /// The worker.
        worker: WorkerId,
        /// Counts the connections to this worker.
        link: u64,
    },
    /// The connection to a worker is gone or could not be opened.
    WorkerUnlinked {
        /// The worker.
        worker: WorkerId,
        /// Counts the connections to this worker.
        link: u64,
    },
    /// A report came from a worker.
    WorkerHeard {
        /// The worker.
        worker: WorkerId,
        /// The connection that it came by.
        link: u64,
        /// The report.
        report: WorkerReport,
    },
    /// A table operation ended.
    TableAnswered {
        /// The operation.
        op: OpId,
        /// What came of it.
        reply: TableReply,
    },
    /// An operation on the object store ended.
    ObjectAnswered {
        /// The operation.
        op: OpId,
        /// What came of it.
        reply: ObjectReply,
    },
    /// The host list was read.
    HostsRead {
        /// The workers on it.
        hosts: Vec<Host>,
    },
    /// The host list was read and is the one read last.
    HostsUnchanged,
    /// The daemon was asked to stop.
    DrainAsked,
}
