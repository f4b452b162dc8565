//! The network thread: performs effects on sockets and turns what arrives into events.

use crate::{
    cell::{
        call_event::call_event,
        channel::{ControlInput, EffectBatch},
        connection_pool::ConnectionPool,
        http_server::{self, Endpoint, HttpServer},
        links::Links,
        request_limits::SharedRequestLimits,
    },
    connection_gate::ConnectionGate,
    host_limits::HostLimits,
    listener::{listen, KernelBounds},
};
use crossbeam::channel::Sender;
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use pomelotide_core::{
    cell::{
        AdviceReply, Effect, Event, LogEvent, RpcId, StoreCall, StoreReply, WorkerAnswer,
        WorkerCall,
    },
    Millis,
};
use pomelotide_platform::{
    decode_advice_reply, decode_store_reply, decode_worker_answer, encode_advice_request,
    encode_store_call, encode_worker_call, HttpOutcome, HttpRequest,
};
use std::{io, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};
use tokio::{
    net::TcpListener,
    runtime,
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::{spawn_local, LocalSet},
};

/// The addresses that a daemon listens on and calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: Option<SocketAddr>,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) peers: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) advice: Option<SocketAddr>,
}

/// The state of the network thread.
struct Network {
    addresses: Addresses,
    inputs: Sender<ControlInput>,
    http: Rc<HttpServer>,
    links: Rc<Links>,
    pool: Rc<ConnectionPool>,
}

/// Binds all listeners and starts the network thread.
pub(crate) fn spawn(
    addresses: Addresses,
    host: HostLimits,
    limits: Arc<SharedRequestLimits>,
    inputs: Sender<ControlInput>,
    metrics: PrometheusHandle,
) -> io::Result<UnboundedSender<EffectBatch>> {
    let (outputs, received) = mpsc::unbounded_channel();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listeners = runtime.block_on(bind(addresses))?;
    let work = move || {
        let local = LocalSet::new();
        local.block_on(
            &runtime,
            serve(
                addresses, host, listeners, limits, inputs, metrics, received,
            ),
        );
    };
    thread::Builder::new().name("traffic".into()).spawn(work)?;
    Ok(outputs)
}

/// The bound listeners, before the network thread accepts connections.
struct Listeners {
    http: Vec<(TcpListener, Endpoint)>,
    peers: TcpListener,
}

async fn bind(addresses: Addresses) -> io::Result<Listeners> {
    let http_listener = |address| listen(address, KernelBounds::HTTP);
    let mut http = vec![(http_listener(addresses.callers)?, Endpoint::Clients)];
    let optional = [
        (addresses.readiness, Endpoint::Readiness),
        (addresses.metrics, Endpoint::Metrics),
    ];
    for (address, endpoint) in optional {
        if let Some(address) = address {
            http.push((http_listener(address)?, endpoint));
        }
    }
    let peers = listen(addresses.peers, KernelBounds::PEERS)?;
    Ok(Listeners { http, peers })
}

/// Starts serving the listeners, each with its own bounds.
fn serve_listeners(
    network: &Network,
    listeners: Listeners,
    host: HostLimits,
    limits: &Arc<SharedRequestLimits>,
) {
    for (listener, endpoint) in listeners.http {
        let bounds = match endpoint {
            Endpoint::Clients => host.clients(),
            Endpoint::Readiness | Endpoint::Metrics => HostLimits::small_listener(),
        };
        let gate = ConnectionGate::new(endpoint.name(), bounds, network.log());
        let gate = Rc::new(match endpoint {
            Endpoint::Clients => gate.with_memory_bounds(host.client_memory()),
            Endpoint::Readiness | Endpoint::Metrics => gate,
        });
        let limits = limits.clone();
        spawn_local(gate.clone().close_overdue(move || {
            let limits = limits.get();
            Some((limits.head_timeout_ms.0, limits.idle_timeout_ms.0))
        }));
        spawn_local(http_server::accept(
            network.http.clone(),
            listener,
            endpoint,
            gate,
        ));
    }
    let gate = ConnectionGate::new("peers", HostLimits::peers(), network.log());
    let gate = Rc::new(gate);
    spawn_local(gate.clone().close_overdue(|| None));
    spawn_local(network.links.clone().accept(listeners.peers, gate));
}

async fn serve(
    addresses: Addresses,
    host: HostLimits,
    listeners: Listeners,
    limits: Arc<SharedRequestLimits>,
    inputs: Sender<ControlInput>,
    metrics: PrometheusHandle,
    mut outputs: UnboundedReceiver<EffectBatch>,
) {
    let network = Network {
        addresses,
        http: Rc::new(HttpServer::new(inputs.clone(), limits.clone(), metrics)),
        links: Rc::new(Links::new(inputs.clone())),
        pool: Rc::default(),
        inputs,
    };
    serve_listeners(&network, listeners, host, &limits);
    while let Some(effects) = outputs.recv().await {
        for effect in effects {
            network.perform(effect);
        }
    }
}

impl Network {
    /// Returns how the listeners write log lines.
    fn log(&self) -> impl Fn(LogEvent) + 'static {
        let inputs = self.inputs.clone();
        move |line| {
            // Fails only while the process exits.
            let _ = inputs.send(ControlInput::Log(line));
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Answer(call, answer) => self.http.answer(call, answer),
            Effect::Store {
                rpc,
                call,
                timeout_ms,
            } => self.call_store(rpc, call, timeout_ms),
            Effect::Worker {
                rpc,
                worker,
                address,
                token,
                call,
                timeout_ms,
            } => {
                let kind = match &call {
                    WorkerCall::Start(_) => "start",
                    WorkerCall::Stop { .. } => "stop",
                    WorkerCall::Renew { .. } => "look",
                };
                let http = encode_worker_call(&call, token, &worker).ok();
                let to = address.parse().ok();
                let lost = Event::Worker(rpc, WorkerAnswer::Lost);
                self.call(kind, to, http, timeout_ms, lost, move |answer| {
                    let parse = |answer| decode_worker_answer(&call, answer);
                    Event::Worker(rpc, answer.map_or(WorkerAnswer::NotSent, parse))
                });
            }
            Effect::Advise {
                rpc,
                step,
                workers,
                timeout_ms,
            } => {
                let http = encode_advice_request(&step, &workers).ok();
                self.call(
                    "advise",
                    self.addresses.advice,
                    http,
                    timeout_ms,
                    Event::Advice(rpc, AdviceReply::Lost),
                    move |answer| {
                        Event::Advice(rpc, answer.map_or(AdviceReply::Lost, decode_advice_reply))
                    },
                );
            }
            Effect::Dial(address) => {
                spawn_local(self.links.clone().dial(address.to_string()));
            }
            Effect::Close(link) => self.links.close(link),
            Effect::ToMember(link, message) => self.links.send(link, &message),
            Effect::ToLeader(link, message) => self.links.send(link, &message),
            Effect::SetReady(ready) => self.http.set_ready(ready),
            // Handled by the control thread.
            Effect::Log(_) | Effect::Exit => {}
        }
    }

    fn call_store(&self, rpc: RpcId, call: StoreCall, timeout_ms: Millis) {
        let kind = match &call {
            StoreCall::Write(_) => "store_write",
            StoreCall::Read { .. } => "store_read",
            StoreCall::Follow { .. } => "store_follow",
        };
        let http = encode_store_call(&call);
        if let Err(reason) = &http {
            log::error!("event=store_call_unwritable order={rpc} reason={reason:?}");
        }
        let to = Some(self.addresses.store);
        let lost = Event::Store(rpc, StoreReply::Lost);
        self.call(kind, to, http.ok(), timeout_ms, lost, move |answer| {
            let reply = answer.map(|answer| decode_store_reply(&call, answer));
            Event::Store(rpc, reply.unwrap_or(StoreReply::Refused(0)))
        });
    }

    /// Makes a call and sends the control thread the event that `event` creates from the answer, or
    /// from `None` if there is no valid address or request; `lost` if that fails.
    fn call(
        &self,
        kind: &'static str,
        to: Option<SocketAddr>,
        http: Option<HttpRequest>,
        timeout_ms: Millis,
        lost: Event,
        event: impl FnOnce(Option<HttpOutcome>) -> Event + 'static,
    ) {
        counter!("pomelotide_calls_total", "kind" => kind).increment(1);
        let (pool, inputs) = (self.pool.clone(), self.inputs.clone());
        let timeout = Duration::from_millis(timeout_ms.0);
        let call = async move {
            let answer = match (to, http) {
                (Some(to), Some(http)) => Some(pool.call(to, &http, timeout).await),
                _ => None,
            };
            event(answer)
        };
        spawn_local(async move {
            let event = call_event(call, lost).await;
            // Fails only while the process exits.
            let _ = inputs.send(ControlInput::Event(event));
        });
    }
}
