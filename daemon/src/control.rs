//! The control thread: events in, effects out.

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

/// What the control thread takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something happened.
    Event(Event),
    /// A caller waits for an answer to the event made from the call's number.
    Call(Box<NewCall>),
    /// Somebody looks at the state, and sends on what was seen.
    Look(Look),
}

type LookFn = dyn FnOnce(&Core, &Journal) + Send;

/// A look at the state; it changes nothing.
pub(crate) struct Look(pub(crate) Box<LookFn>);

impl std::fmt::Debug for Look {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Look")
    }
}

/// A call whose number the control thread gives.
pub(crate) struct NewCall {
    /// Makes the event.
    pub(crate) event: Box<dyn FnOnce(CallId) -> Event + Send>,
    /// Where the answer goes.
    pub(crate) answer: Sender<Answer>,
}

impl std::fmt::Debug for NewCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("NewCall")
    }
}

/// What the control thread does after an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Go,
    Exit,
}

struct Control {
    core: Core,
    journal: Journal,
    begun: Instant,
    links: Links,
    platform: Platform,
    waiting: HashMap<CallId, Sender<Answer>>,
    last_call: CallId,
    trace: Option<BufWriter<File>>,
}

/// Runs a daemon until it was asked to stop and everything is answered.
pub fn run(settings: Settings) -> io::Result<()> {
    let (sender, inputs) = channel::unbounded();
    let metrics = telemetry::install();
    let core_settings = settings.core();
    let trace = settings.trace.as_ref().map(File::create).transpose()?;
    let mut control = Control {
        links: Links::start(&settings, &core_settings.daemon, sender.clone())?,
        platform: Platform::start(&settings, &sender)?,
        core: Core::new(core_settings.clone()),
        journal: Journal::new(core_settings.daemon.clone()),
        begun: Instant::now(),
        waiting: HashMap::new(),
        last_call: CallId(0),
        trace: trace.map(BufWriter::new),
    };
    watch_signals(sender.clone())?;
    let _server = callers::serve(&settings, &sender, metrics)?;
    info!(
        "event=started incarnation={} domain={} callers={} peers={}",
        core_settings.daemon, settings.domain, settings.callers, settings.peers
    );
    control.run(&inputs);
    thread::sleep(consts::LAST_WRITES);
    info!("event=stopped incarnation={}", core_settings.daemon);
    Ok(())
}

fn watch_signals(sender: Sender<Input>) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let watch = move || {
        for _ in signals.forever() {
            if sender.send(Input::Event(Event::DrainAsked)).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".into()).spawn(watch)?;
    Ok(())
}

impl Control {
    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let next = match inputs.recv_deadline(next_tick) {
                Ok(input) => self.take_in(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + consts::TICK;
                    self.step(Event::Tick)
                }
                Err(RecvTimeoutError::Disconnected) => Next::Exit,
            };
            if next == Next::Exit {
                return;
            }
        }
    }

    fn take_in(&mut self, input: Input) -> Next {
        match input {
            Input::Event(event) => self.step(event),
            Input::Call(call) => {
                self.last_call = self.last_call.next();
                self.waiting.insert(self.last_call, call.answer);
                self.step((call.event)(self.last_call))
            }
            Input::Look(look) => {
                (look.0)(&self.core, &self.journal);
                Next::Go
            }
        }
    }

    fn step(&mut self, event: Event) -> Next {
        let now_ms = Millis(self.begun.elapsed().as_millis() as u64);
        self.record(now_ms, &event);
        let stepping = Instant::now();
        let effects = self.core.step(now_ms, event);
        telemetry::sample_placements(&effects, stepping.elapsed());
        let mut next = Next::Go;
        for effect in effects {
            if self.carry_out(effect) == Next::Exit {
                next = Next::Exit;
            }
        }
        next
    }

    fn record(&mut self, now_ms: Millis, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let written = serde_json::to_writer(&mut *trace, &(now_ms, event))
            .map_err(io::Error::from)
            .and_then(|()| trace.write_all(b"\n"))
            .and_then(|()| trace.flush());
        if let Err(failure) = written {
            error!("event=trace_failed error={:?}", failure.to_string());
            self.trace = None;
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Next {
        match effect {
            Effect::AnswerCall { call, answer } => {
                if let Some(waiting) = self.waiting.remove(&call) {
                    // A caller that went away needs no answer.
                    let _ = waiting.send(answer);
                }
            }
            Effect::SetPeerAddress { peer, address } => self.links.know_peer(peer, address),
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
            Effect::Log(told) => {
                self.journal.keep(&told);
                telemetry::tell(&told);
            }
            Effect::Exit => return Next::Exit,
        }
        Next::Go
    }
}
