//! Decisions as log lines: key=value pairs, with the ids of all that they are about.

use pomelotide_core::{TaskId, TaskName, Told, UnitKind};

/// Returns the kind of a decision, as it stands in the log.
pub(crate) const fn event_name(told: &Told) -> &'static str {
    match told {
        Told::RequestAdmitted { .. } => "request_admitted",
        Told::JobAdmitted { .. } => "job_admitted",
        Told::PassedOn { .. } => "passed_on",
        Told::Waiting { .. } => "waiting",
        Told::Placed { .. } => "placed",
        Told::Ended { .. } => "ended",
        Told::Lost { .. } => "lost",
        Told::Found { .. } => "found",
        Told::Retried { .. } => "retried",
        Told::RequestAnswered { .. } => "request_answered",
        Told::RequestRefused { .. } => "request_refused",
        Told::JobAccepted { .. } => "job_accepted",
        Told::JobRefused { .. } => "job_refused",
        Told::JobDecided { .. } => "job_decided",
        Told::JobEnded { .. } => "job_ended",
        Told::KeeperStarted { .. } => "keeper_started",
        Told::KeeperStopped { .. } => "keeper_stopped",
        Told::WorkerClaimed { .. } => "worker_claimed",
        Told::WorkerSilent { .. } => "worker_silent",
        Told::WorkerQuarantined { .. } => "worker_quarantined",
        Told::Fenced { .. } => "fenced",
        Told::ConfigApplied { .. } => "config_applied",
        Told::LimitsGiven { .. } => "limits_given",
        Told::TableSilent { silent: true } => "table_silent",
        Told::TableSilent { silent: false } => "table_back",
        Told::KeysStale { stale: true } => "keys_stale",
        Told::KeysStale { stale: false } => "keys_fresh",
        Told::HostsStale { stale: true } => "hosts_stale",
        Told::HostsStale { stale: false } => "hosts_back",
        Told::PeerSilent { .. } => "peer_silent",
    }
}

/// Returns the line of a decision, without the time, level and daemon.
///
/// ```
/// use pomelotide_core::{Revision, Told};
/// let told = Told::ConfigApplied { revision: Revision(7) };
/// assert_eq!(pomelotide_daemon::log_line(&told), "event=config_applied revision=7");
/// ```
pub fn log_line(told: &Told) -> String {
    let pairs = task_told(told)
        .or_else(|| work_told(told))
        .unwrap_or_else(|| state_told(told));
    let line = format!("event={} {pairs}", event_name(told));
    line.trim_end().to_string()
}

/// Returns the pairs of a decision about one attempt.
fn task_told(told: &Told) -> Option<String> {
    let (task, team, worker, rest) = match told {
        Told::Placed {
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
        Told::Ended {
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
        Told::Found {
            task,
            team,
            worker,
            goes_on,
        } => (task, team, worker, format!("goes_on={goes_on}")),
        Told::Lost {
            task,
            team,
            worker,
            cause,
        } => (task, team, worker, format!("cause={cause:?}")),
        _ => return None,
    };
    let task = task_pairs(task);
    Some(format!("{task} team={team} worker={worker} {rest}"))
}

/// Returns the pairs of another decision about a request or job.
fn work_told(told: &Told) -> Option<String> {
    Some(match told {
        Told::RequestAdmitted {
            request,
            team,
            queue,
        }
        | Told::JobAdmitted {
            request,
            team,
            queue,
        } => format!("request={request} team={team} queue={queue}"),
        Told::PassedOn { request, to } => format!("request={request} to={to}"),
        Told::Waiting {
            work,
            team,
            class,
            ahead,
            cause,
        } => {
            let work = work_pairs(work);
            format!("{work} team={team} class={class} ahead={ahead} cause={cause:?}")
        }
        Told::Retried { work, avoid } => match avoid {
            Some(worker) => format!("{} avoid={worker}", work_pairs(work)),
            None => work_pairs(work),
        },
        Told::RequestAnswered {
            request,
            team,
            outcome,
        } => format!("request={request} team={team} outcome={outcome:?}"),
        Told::RequestRefused { request, reason } | Told::JobRefused { request, reason } => {
            format!("request={request} reason={reason}")
        }
        Told::JobAccepted { job, team } => format!("job={job} team={team}"),
        Told::JobDecided { job, team, state } => format!("job={job} team={team} state={state:?}"),
        Told::JobEnded { job, well } => format!("job={job} well={well}"),
        _ => return None,
    })
}

/// Returns the pairs of a decision about the daemon's surroundings.
fn state_told(told: &Told) -> String {
    match told {
        Told::KeeperStarted { term } | Told::KeeperStopped { term } => format!("term={term}"),
        Told::WorkerClaimed { worker, running } => format!("worker={worker} running={running}"),
        Told::WorkerSilent { worker } | Told::WorkerQuarantined { worker } => {
            format!("worker={worker}")
        }
        Told::Fenced { worker, owner } => format!("worker={worker} owner={owner}"),
        Told::ConfigApplied { revision } => format!("revision={revision}"),
        Told::LimitsGiven { revision, parts } => format!("revision={revision} parts={parts}"),
        Told::PeerSilent { peer } => format!("peer={peer}"),
        _ => String::new(),
    }
}

fn work_pairs(work: &UnitKind) -> String {
    match work {
        UnitKind::Request(request) => format!("request={request}"),
        UnitKind::Task { job, index } => format!("job={job} index={index}"),
        UnitKind::Gang { job, tasks } => format!("job={job} tasks={tasks}"),
    }
}

fn task_pairs(task: &TaskId) -> String {
    match TaskName::parse(task) {
        Some(TaskName::Request {
            request,
            term,
            attempt,
        }) => format!("request={request} term={term} attempt={attempt}"),
        Some(TaskName::Job {
            job,
            index,
            term,
            attempt,
        }) => format!("job={job} index={index} term={term} attempt={attempt}"),
        None => format!("task=\"{task}\""),
    }
}
