//! Formats decisions as log lines of key=value pairs.

use pomelotide_core::{DecisionEvent, TaskAttempt, TaskId, UnitKind};

/// Returns the name of a decision in the log.
pub(crate) const fn event_name(decision: &DecisionEvent) -> &'static str {
    match decision {
        DecisionEvent::RequestAdmitted { .. } => "request_admitted",
        DecisionEvent::JobAdmitted { .. } => "job_admitted",
        DecisionEvent::Forwarded { .. } => "passed_on",
        DecisionEvent::Waiting { .. } => "waiting",
        DecisionEvent::Placed { .. } => "placed",
        DecisionEvent::Ended { .. } => "ended",
        DecisionEvent::Lost { .. } => "lost",
        DecisionEvent::Found { .. } => "found",
        DecisionEvent::Retried { .. } => "retried",
        DecisionEvent::RequestAnswered { .. } => "request_answered",
        DecisionEvent::RequestRefused { .. } => "request_refused",
        DecisionEvent::JobAccepted { .. } => "job_accepted",
        DecisionEvent::JobRefused { .. } => "job_refused",
        DecisionEvent::JobDecided { .. } => "job_decided",
        DecisionEvent::JobEnded { .. } => "job_ended",
        DecisionEvent::LeaderStarted { .. } => "keeper_started",
        DecisionEvent::LeaderStopped { .. } => "keeper_stopped",
        DecisionEvent::WorkerClaimed { .. } => "worker_claimed",
        DecisionEvent::WorkerUnresponsive { .. } => "worker_silent",
        DecisionEvent::WorkerQuarantined { .. } => "worker_quarantined",
        DecisionEvent::Fenced { .. } => "fenced",
        DecisionEvent::ConfigApplied { .. } => "config_applied",
        DecisionEvent::LimitsTransferred { .. } => "limits_given",
        DecisionEvent::TableUnreachable { unreachable: true } => "table_silent",
        DecisionEvent::TableUnreachable { unreachable: false } => "table_back",
        DecisionEvent::KeysStale { stale: true } => "keys_stale",
        DecisionEvent::KeysStale { stale: false } => "keys_fresh",
        DecisionEvent::HostsStale { stale: true } => "hosts_stale",
        DecisionEvent::HostsStale { stale: false } => "hosts_back",
        DecisionEvent::PeerUnresponsive { .. } => "peer_silent",
    }
}

/// Returns the log line of a decision, without the time, level and daemon.
///
/// ```
/// use pomelotide_core::{Revision, DecisionEvent};
/// let decision = DecisionEvent::ConfigApplied { revision: Revision(7) };
/// assert_eq!(pomelotide_daemon::log_line(&decision), "event=config_applied revision=7");
/// ```
pub fn log_line(decision: &DecisionEvent) -> String {
    let fields = attempt_fields(decision)
        .or_else(|| work_fields(decision))
        .unwrap_or_else(|| state_fields(decision));
    let line = format!("event={} {fields}", event_name(decision));
    line.trim_end().to_string()
}

/// Returns the fields of a decision about one attempt of a task, or `None` for another decision.
fn attempt_fields(decision: &DecisionEvent) -> Option<String> {
    let (task, team, worker, rest) = match decision {
        DecisionEvent::Placed {
            task,
            team,
            class,
            worker,
            waited_ms,
        } => {
            let waited_ms = waited_ms.0;
            let rest = format!("class={class} waited_ms={waited_ms}");
            (task, team, worker, rest)
        }
        DecisionEvent::Ended {
            task,
            team,
            worker,
            ran_ms,
            end,
            ..
        } => {
            let ran_ms = ran_ms.0;
            (task, team, worker, format!("ran_ms={ran_ms} end={end:?}"))
        }
        DecisionEvent::Found {
            task,
            team,
            worker,
            continues,
        } => (task, team, worker, format!("goes_on={continues}")),
        DecisionEvent::Lost {
            task,
            team,
            worker,
            cause,
        } => (task, team, worker, format!("cause={cause:?}")),
        _ => return None,
    };
    let task = attempt_id_fields(task);
    Some(format!("{task} team={team} worker={worker} {rest}"))
}

/// Returns the fields of a decision about a request or job, or `None` for another decision.
fn work_fields(decision: &DecisionEvent) -> Option<String> {
    Some(match decision {
        DecisionEvent::RequestAdmitted {
            request,
            team,
            queue,
        }
        | DecisionEvent::JobAdmitted {
            request,
            team,
            queue,
        } => format!("request={request} team={team} queue={queue}"),
        DecisionEvent::Forwarded { request, to } => format!("request={request} to={to}"),
        DecisionEvent::Waiting {
            work,
            team,
            class,
            ahead,
            cause,
        } => {
            let work = work_id_fields(work);
            format!("{work} team={team} class={class} ahead={ahead} cause={cause:?}")
        }
        DecisionEvent::Retried { work, avoid } => match avoid {
            Some(worker) => format!("{} avoid={worker}", work_id_fields(work)),
            None => work_id_fields(work),
        },
        DecisionEvent::RequestAnswered {
            request,
            team,
            outcome,
        } => format!("request={request} team={team} outcome={outcome:?}"),
        DecisionEvent::RequestRefused { request, reason }
        | DecisionEvent::JobRefused { request, reason } => {
            format!("request={request} reason={reason}")
        }
        DecisionEvent::JobAccepted { job, team } => format!("job={job} team={team}"),
        DecisionEvent::JobDecided { job, team, state } => {
            format!("job={job} team={team} state={state:?}")
        }
        DecisionEvent::JobEnded { job, succeeded } => format!("job={job} well={succeeded}"),
        _ => return None,
    })
}

/// Returns the fields of a decision about anything else.
fn state_fields(decision: &DecisionEvent) -> String {
    match decision {
        DecisionEvent::LeaderStarted { term } | DecisionEvent::LeaderStopped { term } => {
            format!("term={term}")
        }
        DecisionEvent::WorkerClaimed { worker, running } => {
            format!("worker={worker} running={running}")
        }
        DecisionEvent::WorkerUnresponsive { worker }
        | DecisionEvent::WorkerQuarantined { worker } => {
            format!("worker={worker}")
        }
        DecisionEvent::Fenced { worker, owner } => format!("worker={worker} owner={owner}"),
        DecisionEvent::ConfigApplied { revision } => format!("revision={revision}"),
        DecisionEvent::LimitsTransferred { revision, teams } => {
            format!("revision={revision} parts={teams}")
        }
        DecisionEvent::PeerUnresponsive { peer } => format!("peer={peer}"),
        _ => String::new(),
    }
}

fn work_id_fields(work: &UnitKind) -> String {
    match work {
        UnitKind::Request(request) => format!("request={request}"),
        UnitKind::Task { job, index } => format!("job={job} index={index}"),
        UnitKind::Gang { job, tasks } => format!("job={job} tasks={tasks}"),
    }
}

fn attempt_id_fields(task: &TaskId) -> String {
    match TaskAttempt::parse(task) {
        Some(TaskAttempt::Request {
            request,
            term,
            attempt,
        }) => format!("request={request} term={term} attempt={attempt}"),
        Some(TaskAttempt::Job {
            job,
            index,
            term,
            attempt,
        }) => format!("job={job} index={index} term={term} attempt={attempt}"),
        None => format!("task=\"{task}\""),
    }
}
