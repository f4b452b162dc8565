//! Runs the commands: sends their requests to the daemons and prints the results.

use crate::{
    cli::{Action, Options, OutputFormat},
    client::{answer_exit, Client},
    exit::Exit,
    note_files::{diff, read_note},
    output::{show_answer, show_status},
    views::{explanation_text, rows_text, Row},
};
use pomelotide_core::Millis;
use pomelotide_wire::{
    secret_digest, ApiAnswer, ApiExplanation, ApiJob, ApiJobView, ApiNoteView, ApiPeerView,
    ApiStatus, ApiTeamView, ApiWorkerView, HttpError, HttpReply,
};
use serde_json::{json, Value};
use std::{
    io::{self, Write},
    process, thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The interval at which `wait` polls the job.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The HTTP status of a complete answer.
const STATUS_OK: u16 = 200;

/// Runs the command and returns its exit status.
pub fn run(options: &Options) -> Exit {
    execute(options).unwrap_or_else(|exit| exit)
}

fn execute(options: &Options) -> Result<Exit, Exit> {
    let client = Client::new(options);
    match &options.action {
        Action::NoteCheck(_)
        | Action::NoteApply(_)
        | Action::NoteDiff(_)
        | Action::NoteShow
        | Action::NoteHistory => note(options, &client),
        Action::Ask { .. } => ask(options, &client),
        Action::Submit { .. } => submit(options, &client),
        Action::Job(job) => show_call_result(options, client.get(&format!("/v1/jobs/{job}"))),
        Action::Wait { job, limit } => wait(options, &client, job, limit),
        Action::Cancel(job) => show_call_result(
            options,
            client.send("DELETE", &format!("/v1/jobs/{job}"), &[], Vec::new()),
        ),
        Action::Status => status(options, &client),
        Action::Jobs => list_from_leader::<ApiJobView>(options, &client, "/v1/jobs"),
        Action::Workers => list_from_leader::<ApiWorkerView>(options, &client, "/v1/workers"),
        Action::Teams => list_from_leader::<ApiTeamView>(options, &client, "/v1/teams"),
        Action::Daemons => list::<ApiPeerView>(options, &client, "/v1/daemons"),
        Action::Explain(id) => explain(options, &client, id),
        Action::KeyDigest(secret) => {
            let digest = secret_digest(secret);
            show(
                options,
                digest.as_str(),
                json!({"secret_sha256": digest.as_str()}),
            )
        }
    }
}

fn note(options: &Options, client: &Client) -> Result<Exit, Exit> {
    match &options.action {
        Action::NoteCheck(file) => {
            let (_, note) = read_note(file)?;
            let text = format!(
                "{file}: note {} on revision {} is well-formed",
                note.id, note.base
            );
            show(
                options,
                &text,
                json!({"file": file, "note": note.id, "base": note.base}),
            )
        }
        Action::NoteApply(file) => {
            let (text, _) = read_note(file)?;
            let reply = client.send("POST", "/v1/notes", &[], text.into_bytes());
            show_call_result(options, reply)
        }
        Action::NoteDiff(file) => {
            let (_, note) = read_note(file)?;
            let diff = diff(&fetch_config(client)?, &note);
            let text = if diff.is_empty() {
                "nothing would change"
            } else {
                &diff
            };
            show(options, text, json!({"diff": diff}))
        }
        Action::NoteShow => {
            let config = fetch_config(client)?;
            show(options, config.trim_end(), json!({"config": config}))
        }
        _ => list::<ApiNoteView>(options, client, "/v1/notes"),
    }
}

fn ask(options: &Options, client: &Client) -> Result<Exit, Exit> {
    let Action::Ask {
        queue,
        payload,
        id,
        idempotent,
        deadline,
    } = &options.action
    else {
        return Err(Exit::Usage);
    };
    let mut headers = vec![("deadline", deadline.as_str())];
    headers.push(("idempotent", if *idempotent { "yes" } else { "no" }));
    let id = id.clone().unwrap_or_else(generate_id);
    headers.push(("request-id", id.as_str()));
    let path = format!("/v1/queues/{queue}/requests");
    let reply = reply_or_exit(client.send("POST", &path, &headers, payload.clone().into_bytes()))?;
    if reply.status != STATUS_OK {
        let exit = show_reply(options, &reply);
        eprintln!("request id {id}; run pomelotide explain {id} for details");
        return Ok(exit);
    }
    let answer = String::from_utf8_lossy(&reply.body).into_owned();
    let json = json!({"outcome": "done", "request": id, "answer": answer});
    show(options, &answer, json)
}

fn submit(options: &Options, client: &Client) -> Result<Exit, Exit> {
    let Action::Submit {
        queue,
        tasks,
        need,
        run,
        payload,
        id,
    } = options.action.clone()
    else {
        return Err(Exit::Usage);
    };
    let job = ApiJob {
        queue,
        tasks,
        need,
        run,
        payload,
    };
    let body = serde_json::to_vec(&job).map_err(|_| Exit::Usage)?;
    let id = id.unwrap_or_else(generate_id);
    let headers = [("request-id", id.as_str())];
    let exit = show_call_result(options, client.send("POST", "/v1/jobs", &headers, body))?;
    if exit != Exit::Done {
        eprintln!("submission id {id}; run pomelotide explain {id} for details");
    }
    Ok(exit)
}

fn wait(options: &Options, client: &Client, job: &str, limit: &str) -> Result<Exit, Exit> {
    let limit: Millis = limit.parse().map_err(|error| {
        eprintln!("--limit {limit}: {error}");
        Exit::Usage
    })?;
    let started = Instant::now();
    loop {
        let reply = client.get(&format!("/v1/jobs/{job}"));
        let ended = match &reply {
            Ok(reply) => !should_poll_again(reply),
            Err(_) => false,
        };
        if ended || started.elapsed() >= Duration::from_millis(limit.0) {
            let active = reply.as_ref().is_ok_and(should_poll_again);
            let exit = show_call_result(options, reply)?;
            return Ok(if active { Exit::Unknown } else { exit });
        }
        thread::sleep(WAIT_POLL_INTERVAL);
    }
}

/// Returns whether the job is still active or the daemon asked to retry later.
fn should_poll_again(reply: &HttpReply) -> bool {
    match serde_json::from_slice::<ApiAnswer>(&reply.body) {
        Ok(ApiAnswer::Job { state, .. }) => state == "active",
        Ok(ApiAnswer::NotRun { retry_after_ms, .. }) => retry_after_ms.is_some(),
        _ => false,
    }
}

fn status(options: &Options, client: &Client) -> Result<Exit, Exit> {
    let reply = reply_or_exit(client.get("/v1/status"))?;
    match serde_json::from_slice::<ApiStatus>(&reply.body) {
        Ok(status) => {
            show_status(options.output, &status);
            Ok(Exit::Done)
        }
        Err(_) => Ok(show_reply(options, &reply)),
    }
}

/// Returns an id that no other call has, so that the call can be retried and explained. It consists
/// of the process id and the current time.
fn generate_id() -> String {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("cli.{}.{}", process::id(), since_epoch.as_micros())
}

fn list<T: Row>(options: &Options, client: &Client, path: &str) -> Result<Exit, Exit> {
    let reply = reply_or_exit(client.get(path))?;
    match serde_json::from_slice::<Vec<T>>(&reply.body) {
        Ok(rows) => {
            println!("{}", rows_text(options.output, &rows));
            Ok(Exit::Done)
        }
        Err(_) => Ok(show_reply(options, &reply)),
    }
}

/// Lists rows of which only a failure domain's leader has the full set; prints a warning if another
/// daemon answers.
fn list_from_leader<T: Row>(options: &Options, client: &Client, path: &str) -> Result<Exit, Exit> {
    let reply = reply_or_exit(client.get("/v1/status"))?;
    if let Ok(status) = serde_json::from_slice::<ApiStatus>(&reply.body) {
        if status.leader.as_ref() != Some(&status.daemon) {
            let leader = status.leader.unwrap_or_else(|| "not known".into());
            let (daemon, domain) = (status.daemon, status.domain);
            eprintln!(
                "{daemon} is not the leader of {domain}, so the list is incomplete; the leader is \
                 {leader}"
            );
        }
    }
    list::<T>(options, client, path)
}

/// Collects the decisions about a request or job from all daemons and prints them by time.
///
/// Returns the first failure if no daemon returned any and at least one could not be queried.
fn explain(options: &Options, client: &Client, id: &str) -> Result<Exit, Exit> {
    let mut all = ApiExplanation {
        id: id.into(),
        ..ApiExplanation::default()
    };
    let mut failures = Vec::new();
    let path = format!("/v1/explain/{id}");
    for reply in client.get_all(&path) {
        match reply_or_exit(reply) {
            Ok(reply) => match serde_json::from_slice::<ApiExplanation>(&reply.body) {
                Ok(explanation) => all.entries.extend(explanation.entries),
                Err(_) => failures.push(show_reply(options, &reply)),
            },
            Err(exit) => failures.push(exit),
        }
    }
    if all.entries.is_empty() && !failures.is_empty() {
        return Err(failures[0]);
    }
    all.entries.sort_by_key(|entry| entry.at_ms);
    if options.output == OutputFormat::Json || !all.entries.is_empty() {
        println!("{}", explanation_text(options.output, &all));
    }
    if all.entries.is_empty() {
        eprintln!(
            "no entries for {id} on these daemons; name all entry hosts with --daemon A,B,C, or \
             search their logs"
        );
        return Ok(Exit::Refused);
    }
    Ok(Exit::Done)
}

/// Prints a result in the requested format.
fn show(options: &Options, text: &str, json: Value) -> Result<Exit, Exit> {
    let written = match options.output {
        OutputFormat::Text => writeln!(io::stdout(), "{text}"),
        OutputFormat::Json => writeln!(io::stdout(), "{json}"),
    };
    written.map(|()| Exit::Done).map_err(|_| Exit::Unknown)
}

fn fetch_config(client: &Client) -> Result<String, Exit> {
    let reply = reply_or_exit(client.get("/v1/config"))?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Prints the reply of a call, or why there is none.
fn show_call_result(options: &Options, reply: Result<HttpReply, HttpError>) -> Result<Exit, Exit> {
    Ok(show_reply(options, &reply_or_exit(reply)?))
}

/// Returns the reply of a call; prints the error and returns its exit status if there is none.
fn reply_or_exit(reply: Result<HttpReply, HttpError>) -> Result<HttpReply, Exit> {
    reply.map_err(|error| match error {
        HttpError::NotSent(_) => {
            eprintln!("{error}; name a daemon that runs with --daemon IP:PORT");
            Exit::Unreachable
        }
        HttpError::NoResponse(_) => {
            eprintln!(
                "{error}; the daemon may have received the request; retry it with the same id"
            );
            Exit::Unknown
        }
    })
}

/// Prints a reply and returns its exit status.
///
/// A body that does not parse as an [`ApiAnswer`] is a backend server's answer; it is printed as is.
fn show_reply(options: &Options, reply: &HttpReply) -> Exit {
    match serde_json::from_slice::<ApiAnswer>(&reply.body) {
        Ok(answer) => {
            show_answer(options.output, &answer);
            answer_exit(&answer)
        }
        Err(_) => {
            if options.output == OutputFormat::Text {
                println!("failed at the backend server (status {})", reply.status);
            }
            println!("{}", String::from_utf8_lossy(&reply.body));
            Exit::Refused
        }
    }
}
