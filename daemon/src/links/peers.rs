//! Connections between daemons, one for each direction.

use super::tell;
use crate::{
    consts,
    control::Input,
    telemetry::{count_sent, peer_kind, Receiver},
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

/// How a connection ended.
enum End {
    /// The peer is no longer spoken to.
    Dropped,
    /// The connection broke or went silent.
    Broken,
}

/// Accepts peers' connections for ever.
pub(super) async fn serve(listener: TcpListener, inputs: Sender<Input>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_one(stream, inputs.clone()));
    }
}

async fn serve_one(stream: TcpStream, inputs: Sender<Input>) {
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
                tell(
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

/// Keeps a connection to a peer open and sends it messages.
pub(super) async fn dial(me: DaemonId, address: String, mut messages: mpsc::Receiver<PeerMessage>) {
    loop {
        if let Some(socket) = open(&address).await {
            if let End::Dropped = send_all(&me, socket, &mut messages).await {
                return;
            }
        }
        // What waited for the broken connection is stale; its senders send anew what matters.
        while messages.try_recv().is_ok() {}
        if messages.is_closed() {
            return;
        }
        time::sleep(consts::REDIAL).await;
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
    time::timeout(consts::DIAL_LIMIT, dial).await.ok().flatten()
}

async fn send_all(
    me: &DaemonId,
    socket: WebSocketStream<TcpStream>,
    messages: &mut mpsc::Receiver<PeerMessage>,
) -> End {
    let (mut sink, mut stream) = socket.split();
    let mut ping = time::interval(consts::PING);
    let mut heard = Instant::now();
    loop {
        let sent = tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return End::Dropped };
                let kind = peer_kind(&message);
                let Ok(bytes) = encode(&PeerFrame::new(me.clone(), message)) else { continue };
                count_sent(Receiver::Peers, kind, bytes.len());
                sink.send(Message::binary(bytes)).await
            }
            _ = ping.tick() => {
                if heard.elapsed() > consts::LINK_SILENCE {
                    return End::Broken;
                }
                sink.send(Message::Ping(Bytes::new())).await
            }
            pong = stream.next() => {
                let Some(Ok(_)) = pong else { return End::Broken };
                heard = Instant::now();
                Ok(())
            }
        };
        if sent.is_err() {
            return End::Broken;
        }
    }
}
