//! The outputs of the reducer.

use crate::{
    Answer, CallId, Claim, Config, DaemonId, OpId, PeerMessage, Query, SnapshotSlot, Txn,
    WorkerCommand, WorkerId,
};
use serde::{Deserialize, Serialize};

/// An action that the daemon carries out for the reducer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Answers a caller.
    AnswerCall {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Sets the address of a peer.
    #[serde(rename = "KnowPeer")]
    SetPeerAddress {
        /// The peer.
        peer: DaemonId,
        /// Its address, as `IP:port`.
        address: String,
    },
    /// Sends a message to a peer, without a guarantee of delivery.
    SendPeer {
        /// The peer.
        to: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// Opens a connection to a worker, replacing any earlier one.
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
        /// The number of the connection to use.
        link: u64,
        /// The claim under which the command is sent.
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
    /// Logs a decision and counts it in the metrics.
    #[serde(rename = "Tell")]
    Log(crate::DecisionEvent),
    /// Exits the process after a completed drain.
    Exit,
}
