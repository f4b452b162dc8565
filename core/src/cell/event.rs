//! What can happen to a daemon.

use crate::{
    cell::{AdviceReply, ClientCall, LinkId, RpcId, StoreReply, ToLeader, ToMember, WorkerAnswer},
    CallId,
};
use compact_str::CompactString;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A client called.
    Call(CallId, Box<ClientCall>),
    /// A client left before its answer.
    Hangup(CallId),
    /// The store answered.
    Store(RpcId, StoreReply),
    /// A worker answered.
    Worker(RpcId, WorkerAnswer),
    /// The advice service answered.
    Advice(RpcId, AdviceReply),
    /// A connection that this daemon asked for was made.
    Dialed {
        /// The address that was called.
        address: CompactString,
        /// The connection, or `None` where it failed.
        link: Option<LinkId>,
    },
    /// A connection ended.
    LinkDown(LinkId),
    /// A message for the leader came in over a connection that this daemon dialed.
    ToLeader(LinkId, ToLeader),
    /// A message of a leader came in over a connection that it dialed.
    ToMember(LinkId, ToMember),
    /// A planned stop was asked for.
    Stop,
}
