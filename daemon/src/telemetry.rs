//! Logs the reducer's decisions and updates the metrics.

use crate::log_line::log_line;
use log::{info, warn};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use pomelotide_core::{
    Class, DecisionEvent, Effect, Millis, PeerMessage, Status, TeamName, WorkerCommand,
};
use std::time::Duration;

/// The bucket bounds of histograms in seconds.
const BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.2, 5.0, 30.0, 300.0,
];
/// The bucket bounds of [`PLACEMENT_METRIC`], in seconds.
const PLACEMENT_BUCKETS_SECONDS: [f64; 10] = [
    0.00001, 0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.05,
];
/// The histogram of the computing time per placement.
const PLACEMENT_METRIC: &str = "pomelotide_placement_seconds";

/// The receiver of a control message, as a label of the counters of control traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Destination {
    Peers,
    Workers,
    Platform,
}

impl Destination {
    const fn name(self) -> &'static str {
        match self {
            Destination::Peers => "peers",
            Destination::Workers => "workers",
            Destination::Platform => "platform",
        }
    }
}

/// Installs the metrics recorder and returns the handle that renders its metrics.
pub(crate) fn install() -> PrometheusHandle {
    let bounds = |builder: PrometheusBuilder, matcher, bounds: &[f64]| {
        // Fails only for empty bounds.
        builder
            .set_buckets_for_metric(matcher, bounds)
            .unwrap_or_default()
    };
    let suffix = Matcher::Suffix("_seconds".into());
    let builder = bounds(PrometheusBuilder::new(), suffix, &BUCKETS_SECONDS);
    let placement = Matcher::Full(PLACEMENT_METRIC.into());
    let recorder = bounds(builder, placement, &PLACEMENT_BUCKETS_SECONDS).build_recorder();
    let handle = recorder.handle();
    // Fails only for a second daemon in the same process.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

const fn as_gauge(on: bool) -> f64 {
    if on {
        1.0
    } else {
        0.0
    }
}

/// Sets the gauges of a daemon's status.
pub(crate) fn set_status_gauges(status: &Status) {
    let gauges = [
        ("pomelotide_workers", status.workers),
        ("pomelotide_workers_ready", status.workers_ready),
        ("pomelotide_tasks_running", status.tasks_running),
        ("pomelotide_waiting", status.pending),
        ("pomelotide_open_calls", status.open_calls),
        ("pomelotide_revision", status.revision.0 as usize),
    ];
    for (name, value) in gauges {
        gauge!(name).set(value as f64);
    }
    let is_leader = status.leader.as_ref() == Some(&status.daemon);
    gauge!("pomelotide_is_keeper").set(as_gauge(is_leader));
}

fn seconds(duration_ms: Millis) -> f64 {
    duration_ms.0 as f64 / 1_000.0
}

/// Logs a decision and updates its metrics.
pub(crate) fn record_decision(decision: &DecisionEvent) {
    match decision {
        DecisionEvent::LeaderStopped { .. }
        | DecisionEvent::WorkerUnresponsive { .. }
        | DecisionEvent::WorkerQuarantined { .. }
        | DecisionEvent::Fenced { .. }
        | DecisionEvent::Lost { .. }
        | DecisionEvent::TableUnreachable { unreachable: true }
        | DecisionEvent::KeysStale { stale: true }
        | DecisionEvent::HostsStale { stale: true }
        | DecisionEvent::PeerUnresponsive { .. } => warn!("{}", log_line(decision)),
        _ => info!("{}", log_line(decision)),
    }
    count_decision(decision);
}

fn count_decision(decision: &DecisionEvent) {
    match decision {
        DecisionEvent::Placed {
            team,
            class,
            waited_ms,
            ..
        } => record_seconds("pomelotide_wait_seconds", team, Some(*class), *waited_ms),
        DecisionEvent::Ended {
            team,
            class,
            ran_ms,
            ..
        } => record_seconds("pomelotide_run_seconds", team, *class, *ran_ms),
        DecisionEvent::RequestRefused { reason, .. } | DecisionEvent::JobRefused { reason, .. } => {
            counter!("pomelotide_refused_total", "reason" => reason.to_string()).increment(1);
        }
        DecisionEvent::JobAccepted { team, .. } => {
            counter!("pomelotide_jobs_accepted_total", "team" => team.to_string()).increment(1);
        }
        DecisionEvent::TableUnreachable { unreachable } => {
            gauge!("pomelotide_table_silent").set(as_gauge(*unreachable));
        }
        DecisionEvent::KeysStale { stale } => gauge!("pomelotide_keys_stale").set(as_gauge(*stale)),
        DecisionEvent::HostsStale { stale } => {
            gauge!("pomelotide_hosts_stale").set(as_gauge(*stale))
        }
        DecisionEvent::Retried { .. } => counter!("pomelotide_retried_total").increment(1),
        DecisionEvent::Lost { .. } => counter!("pomelotide_lost_total").increment(1),
        DecisionEvent::WorkerUnresponsive { .. } => {
            counter!("pomelotide_worker_silent_total").increment(1)
        }
        DecisionEvent::WorkerQuarantined { .. } => {
            counter!("pomelotide_worker_quarantined_total").increment(1);
        }
        _ => {}
    }
}

fn record_seconds(name: &'static str, team: &TeamName, class: Option<Class>, duration_ms: Millis) {
    let class = class.map_or_else(|| "unknown".to_string(), |class| class.to_string());
    histogram!(name, "team" => team.to_string(), "class" => class).record(seconds(duration_ms));
}

/// Records the time of a reducer step, divided evenly among the placements that it decided.
pub(crate) fn record_placements(effects: &[Effect], elapsed: Duration) {
    let placed = effects.iter().filter_map(|effect| match effect {
        Effect::Log(DecisionEvent::Placed { team, class, .. }) => Some((team, class)),
        _ => None,
    });
    let count = placed.clone().count();
    for (team, class) in placed {
        histogram!(PLACEMENT_METRIC, "team" => team.to_string(), "class" => class.to_string())
            .record(elapsed.as_secs_f64() / count as f64);
    }
}

/// Counts a control message and its size.
pub(crate) fn count_sent(to: Destination, kind: &'static str, bytes: usize) {
    counter!("pomelotide_sent_messages_total", "to" => to.name(), "kind" => kind).increment(1);
    counter!("pomelotide_sent_bytes_total", "to" => to.name(), "kind" => kind)
        .increment(bytes as u64);
}

/// Returns the `kind` label of a message to a peer.
pub(crate) const fn peer_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::Notes { .. } => "notes",
        PeerMessage::LimitRequests { .. } => "wants",
        PeerMessage::Run(_) => "run",
        PeerMessage::Submit(_) => "submit",
        PeerMessage::Cancel { .. } => "cancel",
        PeerMessage::Answer { .. } => "answer",
        PeerMessage::Forget(_) => "forget",
        PeerMessage::Handover { .. } => "handover",
    }
}

/// Returns the `kind` label of a command to a worker.
pub(crate) const fn command_kind(command: &WorkerCommand) -> &'static str {
    match command {
        WorkerCommand::Claim { .. } => "claim",
        WorkerCommand::Start(_) => "start",
        WorkerCommand::Renew { .. } => "renew",
        WorkerCommand::Stop(_) => "stop",
        WorkerCommand::Ack(_) => "ack",
    }
}
