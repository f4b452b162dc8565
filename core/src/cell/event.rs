//! Events that a daemon of a cell handles.

use crate::{
    cell::{AdviceReply, ClientCall, LinkId, RpcId, StoreReply, ToLeader, ToMember, WorkerAnswer},
    CallId,
};
use compact_str::CompactString;

/// An event that [`crate::cell::Node::step`] handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The timer has fired.
    Tick,
    /// This many events wait to be handled; sent before each tick of a leader.
    Backlog(usize),
    /// A client has made a call.
    Call(CallId, Box<ClientCall>),
    /// A client has disconnected before it was answered.
    Hangup(CallId),
    /// The store has answered a call, or the call has failed.
    Store(RpcId, StoreReply),
    /// A worker has answered a call, or the call has failed.
    Worker(RpcId, WorkerAnswer),
    /// The advice service has answered a call, or the call has failed.
    Advice(RpcId, AdviceReply),
    /// An attempt to connect to another daemon has ended.
    Dialed {
        /// The address that was dialed.
        address: CompactString,
        /// The connection, or `None` if the attempt failed.
        link: Option<LinkId>,
    },
    /// A connection has closed.
    LinkDown(LinkId),
    /// A message to the leader has arrived on a connection that this daemon dialed.
    ToLeader(LinkId, ToLeader),
    /// A message from a leader has arrived on a connection that the leader dialed.
    ToMember(LinkId, ToMember),
    /// A planned stop has been requested.
    Stop,
}
