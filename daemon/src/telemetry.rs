//! Logs and metrics: one line and one sample for each decision that the reducer tells.

use log::{info, warn};
use metrics::{counter, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use pomelotide_core::{Millis, Told};

/// The upper bounds of the histograms of seconds.
const SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.2, 5.0, 30.0, 300.0,
];

/// Installs the recorder of metrics and returns what renders them.
pub(crate) fn install() -> PrometheusHandle {
    let suffix = Matcher::Suffix("_seconds".into());
    let builder = PrometheusBuilder::new();
    let builder = match builder.set_buckets_for_metric(suffix, &SECONDS) {
        Ok(builder) => builder,
        // The bounds are a constant that is not empty.
        Err(_) => PrometheusBuilder::new(),
    };
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Only a second daemon in the same process finds a recorder installed.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

fn seconds(span_ms: Millis) -> f64 {
    span_ms.0 as f64 / 1_000.0
}

/// Logs and counts one decision about work.
pub(crate) fn tell(told: &Told) {
    match told {
        Told::Placed {
            task,
            team,
            class,
            worker,
            waited_ms,
        } => {
            info!("event=placed task=\"{task}\" team={team} class={class} worker={worker} waited_ms={}", waited_ms.0);
            histogram!("pomelotide_wait_seconds", "team" => team.to_string(), "class" => class.to_string())
                .record(seconds(*waited_ms));
        }
        Told::Ended {
            task,
            team,
            worker,
            ran_ms,
            well,
        } => {
            info!(
                "event=ended task=\"{task}\" team={team} worker={worker} ran_ms={} well={well}",
                ran_ms.0
            );
            histogram!("pomelotide_run_seconds", "team" => team.to_string())
                .record(seconds(*ran_ms));
        }
        Told::RequestRefused { request, reason } => {
            info!("event=request_refused request={request} reason={reason}");
            counter!("pomelotide_refused_total", "reason" => reason.to_string()).increment(1);
        }
        Told::JobAccepted { job, team } => {
            info!("event=job_accepted job={job} team={team}");
            counter!("pomelotide_jobs_accepted_total", "team" => team.to_string()).increment(1);
        }
        Told::JobRefused { request, reason } => {
            info!("event=job_refused request={request} reason={reason}");
            counter!("pomelotide_refused_total", "reason" => reason.to_string()).increment(1);
        }
        other => tell_state(other),
    }
}

/// Logs and counts one change of the daemon's surroundings.
fn tell_state(told: &Told) {
    match told {
        Told::JobEnded { job, well } => info!("event=job_ended job={job} well={well}"),
        Told::KeeperStarted { term } => info!("event=keeper_started term={term}"),
        Told::KeeperStopped { term } => warn!("event=keeper_stopped term={term}"),
        Told::WorkerClaimed { worker, running } => {
            info!("event=worker_claimed worker={worker} running={running}");
        }
        Told::WorkerSilent { worker } => {
            warn!("event=worker_silent worker={worker}");
            counter!("pomelotide_worker_silent_total").increment(1);
        }
        Told::WorkerQuarantined { worker } => {
            warn!("event=worker_quarantined worker={worker}");
            counter!("pomelotide_worker_quarantined_total").increment(1);
        }
        Told::Fenced { worker, owner } => warn!("event=fenced worker={worker} owner={owner}"),
        Told::ConfigApplied { revision } => info!("event=config_applied revision={revision}"),
        Told::PeerSilent { peer } => warn!("event=peer_silent peer={peer}"),
        _ => {}
    }
}
