//! Connections to peers and workers, served by their own asynchronous runtime.

mod peers;
mod workers;

use crate::{control::ControlInput, Settings};
use crossbeam::channel::Sender;
use pomelotide_core::{Claim, DaemonId, Event, PeerMessage, WorkerCommand, WorkerId};
use pomelotide_wire::WorkerFrame;
use std::{collections::HashMap, io};
use tokio::{
    runtime::{Builder, Runtime},
    sync::mpsc,
};

/// The connections to peers and workers.
pub(crate) struct Links {
    runtime: Runtime,
    own_id: DaemonId,
    inputs: Sender<ControlInput>,
    peers: HashMap<DaemonId, (String, mpsc::Sender<PeerMessage>)>,
    workers: HashMap<WorkerId, (u64, mpsc::UnboundedSender<Box<WorkerFrame>>)>,
}

impl Links {
    pub(crate) fn start(
        settings: &Settings,
        own_id: &DaemonId,
        inputs: Sender<ControlInput>,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("links")
            .enable_all()
            .build()?;
        let listener = runtime.block_on(tokio::net::TcpListener::bind(settings.peers))?;
        runtime.spawn(peers::serve(listener, inputs.clone()));
        let (peers, workers) = (HashMap::new(), HashMap::new());
        Ok(Self {
            runtime,
            own_id: own_id.clone(),
            inputs,
            peers,
            workers,
        })
    }

    /// Sets a peer's address; a changed address replaces the peer's connection.
    pub(crate) fn set_peer_address(&mut self, peer: DaemonId, address: String) {
        if self
            .peers
            .get(&peer)
            .is_some_and(|(current, _)| *current == address)
        {
            return;
        }
        let (sender, messages) = mpsc::channel(crate::consts::MAX_QUEUED_PEER_MESSAGES);
        self.runtime
            .spawn(peers::dial(self.own_id.clone(), address.clone(), messages));
        self.peers.insert(peer, (address, sender));
    }

    /// Queues a message for a peer, or drops it if the queue is full.
    pub(crate) fn send_peer(&mut self, to: DaemonId, message: PeerMessage) {
        if let Some((_, sender)) = self.peers.get(&to) {
            let _ = sender.try_send(message);
        }
    }

    pub(crate) fn link_worker(&mut self, worker: WorkerId, address: String, link: u64) {
        let (sender, frames) = mpsc::unbounded_channel();
        let inputs = self.inputs.clone();
        self.runtime
            .spawn(workers::dial(worker.clone(), address, link, frames, inputs));
        self.workers.insert(worker, (link, sender));
    }

    pub(crate) fn unlink_worker(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    pub(crate) fn send_worker(
        &mut self,
        worker: WorkerId,
        link: u64,
        claim: Claim,
        command: WorkerCommand,
    ) {
        let sender = self
            .workers
            .get(&worker)
            .filter(|(current, _)| *current == link);
        if let Some((_, sender)) = sender {
            // Fails if the connection has closed, which a `WorkerUnlinked` event reports.
            let _ = sender.send(Box::new(WorkerFrame { claim, command }));
        }
    }
}

/// Sends an event to the control thread. Errors are ignored, as the control thread outlives all
/// connections.
fn send_event(inputs: &Sender<ControlInput>, event: Event) {
    let _ = inputs.send(ControlInput::Event(event));
}
