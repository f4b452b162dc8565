//! What a daemon does.

use crate::{
    cell::{
        ClientAnswer, FencingToken, LinkId, LogEvent, RpcId, StepKey, StoreCall, ToLeader,
        ToMember, WorkerCall,
    },
    CallId, Millis, WorkerId,
};
use compact_str::CompactString;

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a client.
    Answer(CallId, ClientAnswer),
    /// Calls the store.
    Store {
        /// The call's number.
        rpc: RpcId,
        /// The call.
        call: StoreCall,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Calls a worker.
    Worker {
        /// The call's number.
        rpc: RpcId,
        /// The worker.
        worker: WorkerId,
        /// Where it is called.
        address: CompactString,
        /// The leader's token.
        token: FencingToken,
        /// The call.
        call: WorkerCall,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Calls the advice service.
    Advise {
        /// The call's number.
        rpc: RpcId,
        /// The step.
        step: StepKey,
        /// The workers.
        workers: Vec<WorkerId>,
        /// How long to wait for the answer.
        timeout_ms: Millis,
    },
    /// Connects to another daemon.
    Dial(CompactString),
    /// Ends a connection.
    Close(LinkId),
    /// Sends a message over a connection that this daemon dialed.
    ToMember(LinkId, ToMember),
    /// Sends a message over a connection that the leader dialed.
    ToLeader(LinkId, ToLeader),
    /// Sets whether the balancer should send new clients.
    Ready(bool),
    /// Writes a log line.
    Log(LogEvent),
    /// Ends the process: everything is answered.
    Exit,
}
