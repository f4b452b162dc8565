//! The control thread: passes events to the reducer and performs its effects.

use crate::{callers, consts, links::Links, platform::Platform, telemetry, Journal, Settings};
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use log::{error, info};
use pomelotide_core::{Answer, CallId, Core, Effect, Event, Millis};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{
    collections::HashMap,
    fs::File,
    io::{self, BufWriter, Write},
    thread,
    time::Instant,
};
use tokio::sync::oneshot;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the reducer.
    Event(Event),
    /// A call whose caller waits for the answer.
    Call(Box<PendingCall>),
    /// A function to run on the current state.
    Inspect(Inspection),
}

type InspectFn = dyn FnOnce(&Core, &Journal) + Send;

/// A function that reads the state in the control thread and sends its result to the caller.
pub(crate) struct Inspection(pub(crate) Box<InspectFn>);

impl std::fmt::Debug for Inspection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Inspection")
    }
}

/// A call that has no id yet; the control thread assigns it.
pub(crate) struct PendingCall {
    /// Creates the event from the call's id.
    pub(crate) event: Box<dyn FnOnce(CallId) -> Event + Send>,
    /// The channel for the answer.
    pub(crate) answer: oneshot::Sender<Answer>,
}

impl std::fmt::Debug for PendingCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PendingCall")
    }
}

/// Whether the control thread continues after an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flow {
    Continue,
    Exit,
}

struct Control {
    core: Core,
    journal: Journal,
    started_at: Instant,
    links: Links,
    platform: Platform,
    open_calls: HashMap<CallId, oneshot::Sender<Answer>>,
    last_call: CallId,
    trace: Option<BufWriter<File>>,
}

/// Runs a daemon until a requested stop has completed.
pub fn run(settings: Settings) -> io::Result<()> {
    let (sender, inputs) = channel::unbounded();
    let metrics = telemetry::install();
    let core_settings = settings.core_settings();
    let trace = settings.trace.as_ref().map(File::create).transpose()?;
    let mut control = Control {
        links: Links::start(&settings, &core_settings.daemon, sender.clone())?,
        platform: Platform::start(&settings, &sender)?,
        core: Core::new(core_settings.clone()),
        journal: Journal::new(core_settings.daemon.clone()),
        started_at: Instant::now(),
        open_calls: HashMap::new(),
        last_call: CallId(0),
        trace: trace.map(BufWriter::new),
    };
    watch_signals(sender.clone())?;
    callers::serve(&settings, &sender, metrics)?;
    info!(
        "event=started incarnation={} domain={} callers={} peers={}",
        core_settings.daemon, settings.domain, settings.callers, settings.peers
    );
    control.run(&inputs);
    thread::sleep(consts::FINAL_WRITES_DELAY);
    info!("event=stopped incarnation={}", core_settings.daemon);
    Ok(())
}

fn watch_signals(sender: Sender<ControlInput>) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let watch = move || {
        for _ in signals.forever() {
            if sender.send(ControlInput::Event(Event::DrainAsked)).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".into()).spawn(watch)?;
    Ok(())
}

impl Control {
    fn run(&mut self, inputs: &Receiver<ControlInput>) {
        let mut next_tick = Instant::now();
        loop {
            let flow = match inputs.recv_deadline(next_tick) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + consts::TICK_INTERVAL;
                    self.step(Event::Tick)
                }
                Err(RecvTimeoutError::Disconnected) => Flow::Exit,
            };
            if flow == Flow::Exit {
                return;
            }
        }
    }

    fn handle_input(&mut self, input: ControlInput) -> Flow {
        match input {
            ControlInput::Event(event) => self.step(event),
            ControlInput::Call(call) => {
                self.last_call = self.last_call.next();
                self.open_calls.insert(self.last_call, call.answer);
                self.step((call.event)(self.last_call))
            }
            ControlInput::Inspect(inspection) => {
                (inspection.0)(&self.core, &self.journal);
                Flow::Continue
            }
        }
    }

    fn step(&mut self, event: Event) -> Flow {
        let now_ms = Millis(self.started_at.elapsed().as_millis() as u64);
        self.record_trace(now_ms, &event);
        let step_started_at = Instant::now();
        let effects = self.core.step(now_ms, event);
        telemetry::record_placements(&effects, step_started_at.elapsed());
        let mut flow = Flow::Continue;
        for effect in effects {
            if self.perform(effect) == Flow::Exit {
                flow = Flow::Exit;
            }
        }
        flow
    }

    fn record_trace(&mut self, now_ms: Millis, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let result = serde_json::to_writer(&mut *trace, &(now_ms, event))
            .map_err(io::Error::from)
            .and_then(|()| trace.write_all(b"\n"))
            .and_then(|()| trace.flush());
        if let Err(failure) = result {
            error!("event=trace_failed error={:?}", failure.to_string());
            self.trace = None;
        }
    }

    fn perform(&mut self, effect: Effect) -> Flow {
        match effect {
            Effect::AnswerCall { call, answer } => {
                if let Some(caller) = self.open_calls.remove(&call) {
                    // Fails if the caller has disconnected.
                    let _ = caller.send(answer);
                }
            }
            Effect::SetPeerAddress { peer, address } => self.links.set_peer_address(peer, address),
            Effect::SendPeer { to, message } => self.links.send_peer(to, message),
            Effect::LinkWorker {
                worker,
                address,
                link,
            } => {
                self.links.link_worker(worker, address, link);
            }
            Effect::UnlinkWorker { worker } => self.links.unlink_worker(worker),
            Effect::SendWorker {
                worker,
                link,
                claim,
                command,
            } => {
                self.links.send_worker(worker, link, claim, command);
            }
            Effect::Write { op, txn } => self.platform.write(op, txn),
            Effect::Read { op, query } => self.platform.read(op, query),
            Effect::PutObject { op, slot, config } => self.platform.put_object(op, slot, config),
            Effect::GetObject { op, slot } => self.platform.get_object(op, slot),
            Effect::ReadHosts => self.platform.read_hosts(),
            Effect::Log(decision) => {
                self.journal.record(&decision);
                telemetry::record_decision(&decision);
            }
            Effect::Exit => return Flow::Exit,
        }
        Flow::Continue
    }
}
