//! Effects that the reducer of a cell's daemon returns for its caller to carry out.

use crate::{
    cell::{
        ClientAnswer, FencingToken, LinkId, LogEvent, RpcId, StepKey, StoreCall, ToLeader,
        ToMember, WorkerCall,
    },
    CallId, Millis, WorkerId,
};
use compact_str::CompactString;

/// An action that [`crate::cell::Node::step`] returns.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a client.
    Answer(CallId, ClientAnswer),
    /// Calls the store.
    Store {
        /// The id of the call.
        rpc: RpcId,
        /// The call.
        call: StoreCall,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Calls a worker.
    Worker {
        /// The id of the call.
        rpc: RpcId,
        /// The worker.
        worker: WorkerId,
        /// The worker's address.
        address: CompactString,
        /// The leader's fencing token.
        token: FencingToken,
        /// The call.
        call: WorkerCall,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Calls the advice service.
    Advise {
        /// The id of the call.
        rpc: RpcId,
        /// The step whose tasks are to be placed.
        step: StepKey,
        /// The workers on which advice is requested.
        workers: Vec<WorkerId>,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Connects to the daemon at an address.
    Dial(CompactString),
    /// Closes a connection.
    Close(LinkId),
    /// Sends a message over a connection that this daemon dialed as leader.
    ToMember(LinkId, ToMember),
    /// Sends a message over a connection that the leader dialed.
    ToLeader(LinkId, ToLeader),
    /// Sets whether the readiness check succeeds; while it does, the load balancer sends new
    /// clients.
    SetReady(bool),
    /// Writes an event to the log.
    Log(LogEvent),
    /// Exits the process at the end of a planned stop.
    Exit,
}
