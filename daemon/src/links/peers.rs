//! WebSocket connections between daemons, one for each direction.

use super::send_event;
use crate::{
    consts,
    control::ControlInput,
    telemetry::{count_sent, peer_kind, Destination},
};
use crossbeam::channel::Sender;
use futures_util::{SinkExt, StreamExt};
use log::debug;
use pomelotide_core::{DaemonId, Event, PeerMessage};
use pomelotide_wire::{decode, encode, PeerFrame};
use std::time::Instant;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_tungstenite::{
    accept_async, client_async,
    tungstenite::{Bytes, Message},
    WebSocketStream,
};

/// Why a connection was closed.
enum CloseReason {
    /// No more messages are sent to the peer at this address.
    Unused,
    /// The connection failed or timed out.
    Failed,
}

/// Accepts and serves connections of peers.
pub(super) async fn serve(listener: TcpListener, inputs: Sender<ControlInput>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, inputs.clone()));
    }
}

async fn serve_connection(stream: TcpStream, inputs: Sender<ControlInput>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut socket) = accept_async(stream).await else {
        return;
    };
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        match decode::<PeerFrame>(&bytes) {
            Ok(frame) if frame.has_current_version() => {
                send_event(
                    &inputs,
                    Event::PeerHeard {
                        from: frame.from,
                        message: frame.message,
                    },
                );
            }
            Ok(_) => debug!("event=peer_version_unknown"),
            Err(error) => debug!("event=peer_frame_malformed error={:?}", error.to_string()),
        }
    }
}

/// Sends messages to a peer, reconnecting after a failure.
pub(super) async fn dial(
    own_id: DaemonId,
    address: String,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    loop {
        if let Some(socket) = open(&address).await {
            if let CloseReason::Unused = send_all(&own_id, socket, &mut messages).await {
                return;
            }
        }
        // Messages queued for the failed connection are stale; the reducer resends what matters.
        while messages.try_recv().is_ok() {}
        if messages.is_closed() {
            return;
        }
        time::sleep(consts::REDIAL_DELAY).await;
    }
}

async fn open(address: &str) -> Option<WebSocketStream<TcpStream>> {
    let dial = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{address}/peer");
        client_async(url, stream)
            .await
            .ok()
            .map(|(socket, _)| socket)
    };
    time::timeout(consts::DIAL_TIMEOUT, dial)
        .await
        .ok()
        .flatten()
}

async fn send_all(
    own_id: &DaemonId,
    socket: WebSocketStream<TcpStream>,
    messages: &mut mpsc::Receiver<PeerMessage>,
) -> CloseReason {
    let (mut sink, mut stream) = socket.split();
    let mut ping_timer = time::interval(consts::PING_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        let sent = tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return CloseReason::Unused };
                let kind = peer_kind(&message);
                let Ok(bytes) = encode(&PeerFrame::new(own_id.clone(), message)) else { continue };
                count_sent(Destination::Peers, kind, bytes.len());
                sink.send(Message::binary(bytes)).await
            }
            _ = ping_timer.tick() => {
                if last_received.elapsed() > consts::LINK_TIMEOUT {
                    return CloseReason::Failed;
                }
                sink.send(Message::Ping(Bytes::new())).await
            }
            pong = stream.next() => {
                let Some(Ok(_)) = pong else { return CloseReason::Failed };
                last_received = Instant::now();
                Ok(())
            }
        };
        if sent.is_err() {
            return CloseReason::Failed;
        }
    }
}
