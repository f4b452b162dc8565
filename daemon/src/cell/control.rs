//! The control thread: it owns the reducer and hands its effects out.

use crate::{
    cell::{
        input::{Input, Output},
        log_writer::LogWriter,
        measures,
        traffic::{self, Ports},
    },
    CellPart, Settings,
};
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use pomelotide_core::{
    cell::{CellSettingsBuilder, Effect, Event, LogEvent, Node},
    Millis,
};
use rustix::time::{clock_gettime, ClockId};
use signal_hook::{
    consts::{SIGHUP, SIGTERM},
    iterator::Signals,
};
use std::{
    io, thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::mpsc::UnboundedSender;

/// How often the reducer of a leader looks at the time: well below the shortest span that it keeps.
const LEADER_TICK: Duration = Duration::from_millis(25);
/// How often that of another daemon does.
const MEMBER_TICK: Duration = Duration::from_millis(50);
/// The most events that are taken before their effects are handed out.
const MOST_EVENTS: usize = 64;

/// Returns the time that goes on while the host is suspended.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Millis(seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000)
}

fn unix_ms() -> u64 {
    // A clock before 1970 counts as 1970: the time of day decides nothing but a job's shown age.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Runs the daemon until a planned stop has ended.
pub fn run_cell(settings: &Settings, cell: &CellPart) -> io::Result<()> {
    let recorder = measures::install();
    let log = LogWriter::spawn(settings.name.clone())?;
    let (inputs, received) = channel::unbounded();
    let ports = Ports {
        callers: settings.callers,
        readiness: cell.readiness,
        metrics: cell.metrics,
        peers: settings.peers,
        store: settings.platform,
        advice: cell.advice,
    };
    let outputs = traffic::spawn(ports, inputs.clone(), recorder)?;
    spawn_signals(inputs)?;
    let node = Node::new(
        CellSettingsBuilder::new(
            &settings.name,
            settings.domain.as_str(),
            &settings.peers.to_string(),
        )
        .cpu_milli(cell.cpu_milli)
        .max_lease_ms(cell.max_lease_ms)
        .key_revocation_ms(cell.revoke_ms)
        .stop_grace_ms(settings.drain_grace_ms)
        .retention_ms(cell.retention_ms)
        .build(),
        now(),
        unix_ms(),
    );
    let line = LogEvent::info("started").with("version", env!("CARGO_PKG_VERSION"));
    let line = line
        .with("domain", &settings.domain)
        .with("callers", settings.callers);
    log.write(
        &line
            .with("peers", settings.peers)
            .with("store", settings.platform),
    );
    control(node, &received, &outputs, &log);
    log.close();
    Ok(())
}

fn spawn_signals(inputs: Sender<Input>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let work = move || {
        for signal in signals.forever() {
            let input = match signal {
                SIGHUP => Input::Reload,
                _ => Input::Event(Event::Stop),
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".into()).spawn(work)?;
    Ok(())
}

fn control(
    mut node: Node,
    inputs: &Receiver<Input>,
    outputs: &UnboundedSender<Output>,
    log: &LogWriter,
) {
    let mut next_tick = now();
    loop {
        let tick = if node.is_leader() {
            LEADER_TICK
        } else {
            MEMBER_TICK
        };
        let wait_ms = next_tick.since(now()).0;
        let first = match inputs.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut effects = Vec::new();
        let more = inputs.try_iter().take(MOST_EVENTS);
        for input in first.into_iter().chain(more) {
            match input {
                Input::Event(event) => effects.append(&mut node.step(now(), unix_ms(), event)),
                Input::Reload => log.write(&LogEvent::info("reload_asked")),
            }
        }
        if now() >= next_tick {
            next_tick = now() + Millis(tick.as_millis() as u64);
            effects.append(&mut node.step(now(), unix_ms(), Event::Tick));
            measures::show(&node);
        }
        if !hand_out(effects, outputs, log) {
            return;
        }
    }
}

/// Hands effects to the thread of the sockets; says whether to go on.
fn hand_out(effects: Vec<Effect>, outputs: &UnboundedSender<Output>, log: &LogWriter) -> bool {
    let mut sent = Vec::with_capacity(effects.len());
    let mut ends = false;
    for effect in effects {
        match effect {
            Effect::Log(line) => {
                measures::count(&line);
                log.write(&line);
            }
            Effect::Exit => ends = true,
            effect => sent.push(effect),
        }
    }
    (sent.is_empty() || outputs.send(sent).is_ok()) && !ends
}
