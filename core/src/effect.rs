//! Everything that a daemon can be told to do.

use crate::{
    Answer, CallId, Claim, Config, DaemonId, OpId, PeerMessage, Query, SnapshotSlot, Txn,
    WorkerCommand, WorkerId,
};
use serde::{Deserialize, Serialize};

/// An output of the reducer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Answers a caller.
    AnswerCall {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Makes a peer's address known.
    #[serde(rename = "KnowPeer")]
    SetPeerAddress {
        /// The peer.
        peer: DaemonId,
        /// Its address, as `IP:port`.
        address: String,
    },
    /// Sends a message to a peer; it may get lost.
    SendPeer {
        /// The peer.
        to: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// Opens a connection to a worker in place of any older one.
    LinkWorker {
        /// The worker.
        worker: WorkerId,
        /// Its address, as `IP:port`.
        address: String,
        /// The number of the new connection.
        link: u64,
    },
    /// Closes the connection to a worker.
    UnlinkWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Sends a command to a worker.
    SendWorker {
        /// The worker.
        worker: WorkerId,
        /// The connection to send it by.
        link: u64,
        /// The right that the command is given under.
        claim: Claim,
        /// The command.
        command: WorkerCommand,
    },
    /// Writes to the table.
    Write {
        /// The operation.
        op: OpId,
        /// The transaction.
        txn: Txn,
    },
    /// Reads from the table.
    Read {
        /// The operation.
        op: OpId,
        /// The query.
        query: Query,
    },
    /// Writes a snapshot of the configuration to the object store.
    PutObject {
        /// The operation.
        op: OpId,
        /// The object.
        slot: SnapshotSlot,
        /// The configuration.
        config: Box<Config>,
    },
    /// Reads a snapshot of the configuration from the object store.
    GetObject {
        /// The operation.
        op: OpId,
        /// The object.
        slot: SnapshotSlot,
    },
    /// Reads the host list.
    ReadHosts,
    /// Tells what happened, for logs and metrics.
    #[serde(rename = "Tell")]
    Log(crate::DecisionEvent),
    /// Ends the process: nothing is left to do.
    Exit,
}
