//! The metrics of a cell's daemon.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use pomelotide_core::cell::{LogEvent, Node};

/// The bucket bounds of histograms in milliseconds.
const BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0, 30_000.0,
];

/// Installs the metrics recorder and returns the handle that renders its metrics.
pub(crate) fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    // Fails only for empty bounds.
    let builder = builder
        .set_buckets_for_metric(Matcher::Suffix("_ms".into()), &BUCKETS_MS)
        .unwrap_or_default();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only for a second daemon in the same process.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Counts a log event and records its duration, if it has one.
pub(crate) fn record_event(event: &LogEvent) {
    counter!("pomelotide_decisions_total", "event" => event.event).increment(1);
    if event.event == "job_refused" {
        let reason = event.fields.iter().find(|(field, _)| *field == "reason");
        let reason = reason.map_or_else(String::new, |(_, reason)| reason.to_string());
        counter!("pomelotide_jobs_refused_total", "reason" => reason).increment(1);
    }
    let name = match event.event {
        "job_ended" => "pomelotide_job_ms",
        "advice_given" => "pomelotide_advice_ms",
        "job_accepted" => "pomelotide_accept_ms",
        _ => return,
    };
    let duration_fields = ["took_ms", "waited_ms"];
    let duration = event
        .fields
        .iter()
        .find(|(field, _)| duration_fields.contains(field));
    if let Some(duration_ms) = duration.and_then(|(_, text)| text.parse::<f64>().ok()) {
        histogram!(name).record(duration_ms);
    }
}

/// Sets the gauges of a daemon's state.
pub(crate) fn set_gauges(node: &Node) {
    gauge!("pomelotide_config_version").set(node.config().version() as f64);
    gauge!("pomelotide_drained_domains").set(node.drained_domains() as f64);
    let expected_wait_ms = node.expected_wait_ms().unwrap_or_default();
    gauge!("pomelotide_expected_wait_ms").set(expected_wait_ms.0 as f64);
    let Some(leader) = node.leader() else {
        gauge!("pomelotide_leads").set(0.0);
        return;
    };
    gauge!("pomelotide_leads").set(1.0);
    gauge!("pomelotide_leader_backlog").set(leader.event_backlog() as f64);
    gauge!("pomelotide_pending_steps").set(leader.pending_steps() as f64);
    gauge!("pomelotide_token").set(leader.token().0 as f64);
}
