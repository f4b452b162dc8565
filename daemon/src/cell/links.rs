//! Connections between daemons: WebSocket with CBOR messages, opened by the leader.

use crate::{
    cell::channel::ControlInput,
    connection_gate::{ConnectionGate, Entry},
    metered_stream::MeteredStream,
};
use crossbeam::channel::Sender;
use futures_util::{SinkExt, StreamExt};
use pomelotide_core::cell::{Event, LinkId};
use pomelotide_wire::{decode, encode};
use serde::{de::DeserializeOwned, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::timeout,
};
use tokio_tungstenite::{
    accept_async_with_config, client_async,
    tungstenite::{protocol::WebSocketConfig, Message},
    WebSocketStream,
};

/// The timeout for opening a connection; allows for the retransmission of one lost packet.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of frames queued for a slow receiver before the connection is closed.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// The maximum size of a message from a connection that was accepted; a desired state has at most 1 MB.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The read buffer of such a connection; the library's default of 128 KB for each is more than an
/// unfinished handshake is worth.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The open connections to other daemons.
pub(crate) struct Links {
    inputs: Sender<ControlInput>,
    senders: RefCell<HashMap<LinkId, mpsc::Sender<Vec<u8>>>>,
    last_link: Cell<u64>,
}

impl Links {
    pub(crate) fn new(inputs: Sender<ControlInput>) -> Self {
        Self {
            inputs,
            senders: RefCell::default(),
            last_link: Cell::new(0),
        }
    }

    fn send_event(&self, event: Event) {
        // Fails only while the process exits.
        let _ = self.inputs.send(ControlInput::Event(event));
    }

    /// Queues a message; closes the connection if its queue is full.
    pub(crate) fn send<T: Serialize>(&self, link: LinkId, message: &T) {
        let Ok(bytes) = encode(message) else {
            log::warn!("event=frame_unwritable link={link}");
            return;
        };
        let mut senders = self.senders.borrow_mut();
        let failed = senders
            .get(&link)
            .is_some_and(|sender| sender.try_send(bytes).is_err());
        if failed {
            senders.remove(&link);
        }
    }

    pub(crate) fn close(&self, link: LinkId) {
        self.senders.borrow_mut().remove(&link);
    }

    fn register(&self) -> (LinkId, mpsc::Receiver<Vec<u8>>) {
        self.last_link.set(self.last_link.get() + 1);
        let link = LinkId(self.last_link.get());
        let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        self.senders.borrow_mut().insert(link, sender);
        (link, frames)
    }

    /// Connects to a member and serves the connection.
    pub(crate) async fn dial(self: Rc<Self>, address: String) {
        let opened = timeout(OPEN_TIMEOUT, open(&address)).await.ok().flatten();
        let Some(socket) = opened else {
            let address = address.into();
            return self.send_event(Event::Dialed {
                address,
                link: None,
            });
        };
        let (link, frames) = self.register();
        self.send_event(Event::Dialed {
            address: address.into(),
            link: Some(link),
        });
        self.serve(link, socket, frames, Event::ToLeader, || {})
            .await;
    }

    /// Accepts and serves connections of leaders.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, gate: Rc<ConnectionGate>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // File descriptors ran out or the peer has already disconnected; a retry may succeed.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            // An error is ignored: without TCP_NODELAY, messages are only delayed.
            let _ = stream.set_nodelay(true);
            let Some((entry, closed)) = gate.enter().await else {
                continue;
            };
            let links = self.clone();
            spawn_local(async move {
                let mut link = None;
                tokio::select! {
                    biased;
                    // The gate closes the connection.
                    _ = closed => {}
                    () = links.serve_accepted(stream, Rc::new(entry), &mut link) => return,
                }
                if let Some(link) = link {
                    links.close(link);
                    links.send_event(Event::LinkDown(link));
                }
            });
        }
    }

    /// Opens and serves an accepted connection until it fails, and sets `opened` to its link.
    async fn serve_accepted(
        &self,
        stream: TcpStream,
        entry: Rc<Entry>,
        opened: &mut Option<LinkId>,
    ) {
        let config = WebSocketConfig::default()
            .read_buffer_size(READ_BUFFER_BYTES)
            .max_message_size(Some(MAX_MESSAGE_BYTES))
            .max_frame_size(Some(MAX_MESSAGE_BYTES));
        let stream = MeteredStream::new(stream, entry.clone());
        let opening = timeout(OPEN_TIMEOUT, accept_async_with_config(stream, Some(config)));
        let Ok(Ok(socket)) = opening.await else {
            return;
        };
        entry.answer();
        let (link, frames) = self.register();
        *opened = Some(link);
        let received = || entry.receive_message();
        self.serve(link, socket, frames, Event::ToMember, received)
            .await;
    }

    /// Serves a connection until it fails; `received` is called after each message.
    async fn serve<T: DeserializeOwned, S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        link: LinkId,
        socket: WebSocketStream<S>,
        mut frames: mpsc::Receiver<Vec<u8>>,
        event: fn(LinkId, T) -> Event,
        received: impl Fn(),
    ) {
        let (mut sink, mut stream) = socket.split();
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { break };
                    if sink.feed(Message::binary(frame)).await.is_err() {
                        break;
                    }
                    let more = std::iter::from_fn(|| frames.try_recv().ok());
                    let mut failed = false;
                    for frame in more {
                        failed |= sink.feed(Message::binary(frame)).await.is_err();
                    }
                    if failed || sink.flush().await.is_err() {
                        break;
                    }
                }
                message = stream.next() => match message {
                    Some(Ok(Message::Binary(bytes))) => match decode(&bytes) {
                        Ok(message) => {
                            received();
                            self.send_event(event(link, message));
                        }
                        Err(error) => {
                            log::warn!("event=frame_malformed link={link} error={error:?}");
                            break;
                        }
                    },
                    Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                    Some(Ok(_)) => {}
                },
            }
        }
        self.close(link);
        self.send_event(Event::LinkDown(link));
    }
}

async fn open(address: &str) -> Option<WebSocketStream<TcpStream>> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    // An error is ignored: without TCP_NODELAY, messages are only delayed.
    let _ = stream.set_nodelay(true);
    let (socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .ok()?;
    Some(socket)
}
