//! The control thread: passes events to the reducer and its effects to the other threads.

use crate::{
    cell::{
        channel::{ControlInput, EffectBatch},
        http_server::refusal_after_stop,
        log_writer::LogWriter,
        network::{self, Addresses},
        request_limits::SharedRequestLimits,
        telemetry,
    },
    CellSection, Settings,
};
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use pomelotide_core::{
    cell::{CellSettings, CellSettingsBuilder, Effect, Event, LogEvent, Node},
    Millis,
};
use rustix::time::{clock_gettime, ClockId};
use signal_hook::{
    consts::{SIGHUP, SIGTERM},
    iterator::Signals,
};
use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::mpsc::UnboundedSender;

/// The tick interval of a leader; well below the shortest timeout of its reducer.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The tick interval of a daemon that is not the leader.
const MEMBER_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the process goes on after the control loop, so that the last answers are sent.
const LAST_ANSWERS_DELAY: Duration = Duration::from_millis(150);
/// The maximum number of queued events that are processed before their effects are dispatched.
const MAX_EVENTS_PER_BATCH: usize = 64;

/// Returns the time since boot, which includes the time that the host was suspended.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Millis(seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000)
}

fn unix_ms() -> u64 {
    // A clock before 1970 counts as 1970: the time of day only affects the age shown for a job.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Runs a cell's daemon until a planned stop has completed.
pub fn run_cell(settings: &Settings, cell: &CellSection) -> io::Result<()> {
    let recorder = telemetry::install();
    let log = LogWriter::spawn(settings.name.clone())?;
    let (inputs, received) = channel::unbounded();
    let addresses = Addresses {
        callers: settings.callers,
        readiness: cell.readiness,
        metrics: cell.metrics,
        peers: settings.peers,
        store: settings.platform,
        advice: cell.advice,
    };
    let node_settings = node_settings(settings, cell);
    let limits = Arc::new(SharedRequestLimits::new(node_settings.max_steps()));
    let outputs = network::spawn(
        addresses,
        cell.host,
        limits.clone(),
        inputs.clone(),
        recorder,
    )?;
    spawn_signal_handler(inputs)?;
    let node = Node::new(node_settings, now(), unix_ms());
    let started = LogEvent::info("started").with("version", env!("CARGO_PKG_VERSION"));
    let started = started
        .with("domain", &settings.domain)
        .with("callers", settings.callers);
    log.write(
        &started
            .with("peers", settings.peers)
            .with("store", settings.platform),
    );
    run_control_loop(node, &received, &outputs, &limits, &log);
    refuse_queued_calls(&received, &outputs);
    // From here on the network thread refuses calls by itself.
    drop(received);
    thread::sleep(LAST_ANSWERS_DELAY);
    log.close();
    Ok(())
}

fn node_settings(settings: &Settings, cell: &CellSection) -> CellSettings {
    CellSettingsBuilder::new(
        &settings.name,
        settings.domain.as_str(),
        &settings.peers.to_string(),
    )
    .cpu_milli(cell.cpu_milli)
    .link_kbps(cell.link_kbps)
    .max_lease_ms(cell.max_lease_ms)
    .key_revocation_ms(cell.key_revocation_ms)
    .stop_grace_ms(settings.drain_grace_ms)
    .retention_ms(cell.retention_ms)
    .max_row_bytes(cell.max_row_bytes)
    .drain_bound_ms(cell.drain_bound_ms)
    .admission(cell.admission)
    .build()
}

/// Refuses the calls that arrived after the last event that was processed.
fn refuse_queued_calls(inputs: &Receiver<ControlInput>, outputs: &UnboundedSender<EffectBatch>) {
    let refusals = inputs.try_iter().filter_map(|input| match input {
        ControlInput::Event(Event::Call(call, _)) => {
            Some(Effect::Answer(call, refusal_after_stop()))
        }
        _ => None,
    });
    // Fails only if the network thread has ended, and then no connection is open.
    let _ = outputs.send(refusals.collect());
}

fn spawn_signal_handler(inputs: Sender<ControlInput>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let forward = move || {
        for signal in signals.forever() {
            let input = match signal {
                SIGHUP => ControlInput::Reload,
                _ => ControlInput::Event(Event::Stop),
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    };
    thread::Builder::new()
        .name("signals".into())
        .spawn(forward)?;
    Ok(())
}

fn run_control_loop(
    mut node: Node,
    inputs: &Receiver<ControlInput>,
    outputs: &UnboundedSender<EffectBatch>,
    limits: &SharedRequestLimits,
    log: &LogWriter,
) {
    let mut next_tick = now();
    loop {
        let tick = if node.is_leader() {
            LEADER_TICK_INTERVAL
        } else {
            MEMBER_TICK_INTERVAL
        };
        let wait_ms = next_tick.since(now()).0;
        let first = match inputs.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut effects = Vec::new();
        let queued = inputs.try_iter().take(MAX_EVENTS_PER_BATCH);
        for input in first.into_iter().chain(queued) {
            match input {
                ControlInput::Event(event) => {
                    effects.append(&mut node.step(now(), unix_ms(), event))
                }
                ControlInput::Reload => log.write(&LogEvent::info("reload_asked")),
                ControlInput::Log(line) => effects.push(Effect::Log(line)),
            }
        }
        if now() >= next_tick {
            next_tick = now() + Millis(tick.as_millis() as u64);
            if node.is_leader() {
                let backlog = Event::Backlog(inputs.len());
                effects.append(&mut node.step(now(), unix_ms(), backlog));
            }
            effects.append(&mut node.step(now(), unix_ms(), Event::Tick));
            telemetry::set_gauges(&node);
            if let Some(state) = node.config().current() {
                limits.set(state.limits);
            }
        }
        if !dispatch(effects, outputs, log) {
            return;
        }
    }
}

/// Writes log events and sends the other effects to the network thread; returns whether to continue.
fn dispatch(effects: Vec<Effect>, outputs: &UnboundedSender<EffectBatch>, log: &LogWriter) -> bool {
    let mut batch = Vec::with_capacity(effects.len());
    let mut exits = false;
    for effect in effects {
        match effect {
            Effect::Log(line) => {
                telemetry::record_event(&line);
                log.write(&line);
            }
            Effect::Exit => exits = true,
            effect => batch.push(effect),
        }
    }
    (batch.is_empty() || outputs.send(batch).is_ok()) && !exits
}
