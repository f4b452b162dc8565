//! WebSocket connections to workers.

use super::send_event;
use crate::{
    consts,
    control::ControlInput,
    telemetry::{command_kind, count_sent, Destination},
};
use crossbeam::channel::Sender;
use futures_util::{SinkExt, StreamExt};
use pomelotide_core::{Event, WorkerId};
use pomelotide_wire::{decode, encode, WorkerFrame};
use tokio::{net::TcpStream, sync::mpsc, time};
use tokio_tungstenite::{
    client_async_with_config,
    tungstenite::{protocol::WebSocketConfig, Message},
    WebSocketStream,
};

/// Connects to a worker and serves the connection until it fails or is no longer used.
pub(super) async fn dial(
    worker: WorkerId,
    address: String,
    link: u64,
    frames: mpsc::UnboundedReceiver<Box<WorkerFrame>>,
    inputs: Sender<ControlInput>,
) {
    let opened = time::timeout(consts::DIAL_TIMEOUT, open(&address))
        .await
        .ok()
        .flatten();
    if let Some(socket) = opened {
        send_event(
            &inputs,
            Event::WorkerLinked {
                worker: worker.clone(),
                link,
            },
        );
        serve(&worker, link, socket, frames, &inputs).await;
    }
    send_event(&inputs, Event::WorkerUnlinked { worker, link });
}

async fn open(address: &str) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{address}/control");
    let config = WebSocketConfig::default().read_buffer_size(consts::WORKER_READ_BUFFER_BYTES);
    client_async_with_config(url, stream, Some(config))
        .await
        .ok()
        .map(|(socket, _)| socket)
}

async fn serve(
    worker: &WorkerId,
    link: u64,
    socket: WebSocketStream<TcpStream>,
    mut frames: mpsc::UnboundedReceiver<Box<WorkerFrame>>,
    inputs: &Sender<ControlInput>,
) {
    let (mut sink, mut stream) = socket.split();
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return };
                let Ok(bytes) = encode(&frame) else { continue };
                count_sent(Destination::Workers, command_kind(&frame.command), bytes.len());
                if sink.send(Message::binary(bytes)).await.is_err() {
                    return;
                }
            }
            message = stream.next() => {
                let Some(Ok(message)) = message else { return };
                let Message::Binary(bytes) = message else { continue };
                if let Ok(report) = decode(&bytes) {
                    let worker = worker.clone();
                    send_event(inputs, Event::WorkerHeard { worker, link, report });
                }
            }
        }
    }
}
