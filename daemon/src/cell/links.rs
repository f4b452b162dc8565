//! Connections between daemons: WebSocket frames of CBOR, dialed by the leader.

use crate::cell::input::Input;
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
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::timeout,
};
use tokio_tungstenite::{accept_async, client_async, tungstenite::Message, WebSocketStream};

/// How long a connection may take to open: one lost packet is sent again within it.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);
/// How many frames may wait for a slow receiver before the connection is given up.
const QUEUE_FRAMES: usize = 4_096;

/// The connections of a daemon.
pub(crate) struct Links {
    inputs: Sender<Input>,
    open: RefCell<HashMap<LinkId, mpsc::Sender<Vec<u8>>>>,
    last: Cell<u64>,
}

impl Links {
    pub(crate) fn new(inputs: Sender<Input>) -> Self {
        Self {
            inputs,
            open: RefCell::default(),
            last: Cell::new(0),
        }
    }

    fn event(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Sends a message; a connection whose receiver does not keep up is given up.
    pub(crate) fn send<T: Serialize>(&self, link: LinkId, message: &T) {
        let Ok(bytes) = encode(message) else {
            log::warn!("event=frame_unwritable link={link}");
            return;
        };
        let mut open = self.open.borrow_mut();
        let full = open
            .get(&link)
            .is_some_and(|queue| queue.try_send(bytes).is_err());
        if full {
            open.remove(&link);
        }
    }

    pub(crate) fn close(&self, link: LinkId) {
        self.open.borrow_mut().remove(&link);
    }

    fn add(&self) -> (LinkId, mpsc::Receiver<Vec<u8>>) {
        self.last.set(self.last.get() + 1);
        let link = LinkId(self.last.get());
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        self.open.borrow_mut().insert(link, queue);
        (link, frames)
    }

    /// Connects to a member.
    pub(crate) async fn dial(self: Rc<Self>, address: String) {
        let opened = timeout(OPEN_LIMIT, open(&address)).await.ok().flatten();
        let Some(socket) = opened else {
            let address = address.into();
            return self.event(Event::Dialed {
                address,
                link: None,
            });
        };
        let (link, frames) = self.add();
        self.event(Event::Dialed {
            address: address.into(),
            link: Some(link),
        });
        self.carry(link, socket, frames, Event::ToLeader).await;
    }

    /// Accepts connections of leaders.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, or a connection that ended at once: others may succeed.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let links = self.clone();
            spawn_local(async move {
                // Without it messages only come later.
                let _ = stream.set_nodelay(true);
                let Ok(Ok(socket)) = timeout(OPEN_LIMIT, accept_async(stream)).await else {
                    return;
                };
                let (link, frames) = links.add();
                links.carry(link, socket, frames, Event::ToMember).await;
            });
        }
    }

    async fn carry<T: DeserializeOwned>(
        &self,
        link: LinkId,
        socket: WebSocketStream<TcpStream>,
        mut frames: mpsc::Receiver<Vec<u8>>,
        event: fn(LinkId, T) -> Event,
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
                        Ok(message) => self.event(event(link, message)),
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
        self.event(Event::LinkDown(link));
    }
}

async fn open(address: &str) -> Option<WebSocketStream<TcpStream>> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    // Without it messages only come later.
    let _ = stream.set_nodelay(true);
    let (socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .ok()?;
    Some(socket)
}
