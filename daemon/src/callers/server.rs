//! The HTTP server of callers and operators.

use super::{
    fields::{copy_headers, Call},
    reply::with_close,
    CallerApi,
};
use crate::{
    connection_gate::{ConnectionGate, Entry},
    consts,
    host_limits::HostLimits,
    listener::{listen, KernelBounds},
    metered_stream::MeteredStream,
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn, Request};
use hyper_util::rt::TokioIo;
use pomelotide_core::cell::LogEvent;
use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, thread, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::oneshot,
    task::{spawn_local, LocalSet},
    time::sleep,
};

/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the listener and serves it on a thread of its own.
pub(super) fn spawn(address: SocketAddr, api: CallerApi) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = {
        let _context = runtime.enter();
        listen(address, KernelBounds::HTTP)?
    };
    let work = move || LocalSet::new().block_on(&runtime, accept(listener, Rc::new(api)));
    thread::Builder::new().name("callers".into()).spawn(work)?;
    Ok(())
}

async fn accept(listener: TcpListener, api: Rc<CallerApi>) {
    let host = HostLimits::default();
    let log = |line: LogEvent| log::warn!("{line}");
    let gate = ConnectionGate::new("callers", host.clients(), log);
    let gate = Rc::new(gate.with_memory_bounds(host.client_memory()));
    spawn_local(gate.clone().close_overdue(|| None));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // File descriptors ran out or the caller has already disconnected; a retry may succeed.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // An error is ignored: without TCP_NODELAY, answers are only delayed.
        let _ = stream.set_nodelay(true);
        let Some((entry, closed)) = gate.enter().await else {
            continue;
        };
        spawn_local(serve(api.clone(), stream, Rc::new(entry), closed));
    }
}

/// Serves a connection until it ends or the gate closes it.
async fn serve(
    api: Rc<CallerApi>,
    stream: TcpStream,
    entry: Rc<Entry>,
    closed: oneshot::Receiver<()>,
) {
    let stream = MeteredStream::new(stream, entry.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let (api, entry) = (api.clone(), entry.clone());
        async move {
            entry.end_head();
            let (parts, body) = request.into_parts();
            let call = Call {
                method: parts.method.clone(),
                path: parts.uri.path().into(),
                headers: copy_headers(&parts.headers),
                body,
                entry: &entry,
            };
            // The head keeps its read buffer in memory.
            drop(parts);
            let reply = api.respond(call).await;
            entry.answer();
            Ok::<_, Infallible>(match entry.ends_after_answer() {
                true => with_close(reply),
                false => reply,
            })
        }
    });
    // Timeouts are those of the gate, which tells an idle connection from an unfinished head.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_header_size(consts::MAX_HEAD_BYTES)
        .max_buf_size(consts::MAX_HEAD_BYTES + consts::READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = closed => {}
        // A caller that disconnects does not need its answer.
        _ = connection => {}
    }
}
