//! The commands.

use crate::{
    cli::{Action, Options, OutputForm},
    client::{exit_of, Client},
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

/// The span between two looks at a job that is waited for.
const WAIT_POLL: Duration = Duration::from_millis(200);
/// The status of a whole answer.
const STATUS_OK: u16 = 200;

/// Runs the command that the command line asks for.
pub fn run(options: &Options) -> Exit {
    carry_out(options).unwrap_or_else(|exit| exit)
}

fn carry_out(options: &Options) -> Result<Exit, Exit> {
    let client = Client::new(options);
    match &options.action {
        Action::NoteCheck(_)
        | Action::NoteApply(_)
        | Action::NoteDiff(_)
        | Action::NoteShow
        | Action::NoteHistory => note(options, &client),
        Action::Ask { .. } => ask(options, &client),
        Action::Submit { .. } => submit(options, &client),
        Action::Job(job) => answer(options, client.get(&format!("/v1/jobs/{job}"))),
        Action::Wait { job, limit } => wait(options, &client, job, limit),
        Action::Cancel(job) => answer(
            options,
            client.send("DELETE", &format!("/v1/jobs/{job}"), &[], Vec::new()),
        ),
        Action::Status => status(options, &client),
        Action::Jobs => kept::<ApiJobView>(options, &client, "/v1/jobs"),
        Action::Workers => kept::<ApiWorkerView>(options, &client, "/v1/workers"),
        Action::Teams => kept::<ApiTeamView>(options, &client, "/v1/teams"),
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
            answer(options, reply)
        }
        Action::NoteDiff(file) => {
            let (_, note) = read_note(file)?;
            let diff = diff(&config(client)?, &note);
            let text = if diff.is_empty() {
                "nothing would change"
            } else {
                &diff
            };
            show(options, text, json!({"diff": diff}))
        }
        Action::NoteShow => {
            let config = config(client)?;
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
    let id = id.clone().unwrap_or_else(fresh_id);
    headers.push(("request-id", id.as_str()));
    let path = format!("/v1/queues/{queue}/requests");
    let reply = reached(client.send("POST", &path, &headers, payload.clone().into_bytes()))?;
    if reply.status != STATUS_OK {
        let exit = shown(options, &reply);
        eprintln!("request id {id}; pomelotide explain {id} says more");
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
    let id = id.unwrap_or_else(fresh_id);
    let headers = [("request-id", id.as_str())];
    let exit = answer(options, client.send("POST", "/v1/jobs", &headers, body))?;
    if exit != Exit::Done {
        eprintln!("submission id {id}; pomelotide explain {id} says more");
    }
    Ok(exit)
}

fn wait(options: &Options, client: &Client, job: &str, limit: &str) -> Result<Exit, Exit> {
    let limit: Millis = limit.parse().map_err(|error| {
        eprintln!("--limit {limit}: {error}");
        Exit::Usage
    })?;
    let begun = Instant::now();
    loop {
        let reply = client.get(&format!("/v1/jobs/{job}"));
        let over = match &reply {
            Ok(reply) => !is_unsettled(reply),
            Err(_) => false,
        };
        if over || begun.elapsed() >= Duration::from_millis(limit.0) {
            let active = reply.as_ref().is_ok_and(is_unsettled);
            let exit = answer(options, reply)?;
            return Ok(if active { Exit::Unknown } else { exit });
        }
        thread::sleep(WAIT_POLL);
    }
}

/// Says whether a look at a job showed that it goes on, or showed nothing for the moment.
fn is_unsettled(reply: &HttpReply) -> bool {
    match serde_json::from_slice::<ApiAnswer>(&reply.body) {
        Ok(ApiAnswer::Job { state, .. }) => state == "active",
        Ok(ApiAnswer::NotRun { retry_after_ms, .. }) => retry_after_ms.is_some(),
        _ => false,
    }
}

fn status(options: &Options, client: &Client) -> Result<Exit, Exit> {
    let reply = reached(client.get("/v1/status"))?;
    match serde_json::from_slice::<ApiStatus>(&reply.body) {
        Ok(status) => {
            show_status(options.output, &status);
            Ok(Exit::Done)
        }
        Err(_) => Ok(shown(options, &reply)),
    }
}

/// Makes an id that no other call has, so that the call can be repeated and explained.
fn fresh_id() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("cli.{}.{}", process::id(), since.as_micros())
}

fn list<T: Row>(options: &Options, client: &Client, path: &str) -> Result<Exit, Exit> {
    let reply = reached(client.get(path))?;
    match serde_json::from_slice::<Vec<T>>(&reply.body) {
        Ok(rows) => {
            println!("{}", rows_text(options.output, &rows));
            Ok(Exit::Done)
        }
        Err(_) => Ok(shown(options, &reply)),
    }
}

/// Shows what only a failure domain's keeper knows in full; says so where another one is asked.
fn kept<T: Row>(options: &Options, client: &Client, path: &str) -> Result<Exit, Exit> {
    let reply = reached(client.get("/v1/status"))?;
    if let Ok(status) = serde_json::from_slice::<ApiStatus>(&reply.body) {
        if status.leader.as_ref() != Some(&status.daemon) {
            let keeper = status.leader.unwrap_or_else(|| "not known".into());
            let (daemon, domain) = (status.daemon, status.domain);
            eprintln!(
                "{daemon} does not keep the workers of {domain} and knows only a part; the keeper \
                 is {keeper}"
            );
        }
    }
    list::<T>(options, client, path)
}

/// Asks all named daemons what they know of a request or job.
fn explain(options: &Options, client: &Client, id: &str) -> Result<Exit, Exit> {
    let mut all = ApiExplanation {
        id: id.into(),
        ..ApiExplanation::default()
    };
    let mut failures = Vec::new();
    let path = format!("/v1/explain/{id}");
    for reply in client.get_all(&path) {
        match reached(reply) {
            Ok(reply) => match serde_json::from_slice::<ApiExplanation>(&reply.body) {
                Ok(found) => all.entries.extend(found.entries),
                Err(_) => failures.push(shown(options, &reply)),
            },
            Err(exit) => failures.push(exit),
        }
    }
    if all.entries.is_empty() && !failures.is_empty() {
        return Err(failures[0]);
    }
    all.entries.sort_by_key(|step| step.at_ms);
    if options.output == OutputForm::Json || !all.entries.is_empty() {
        println!("{}", explanation_text(options.output, &all));
    }
    if all.entries.is_empty() {
        eprintln!(
            "these daemons remember nothing of {id}; name all entry hosts with --daemon A,B,C, or \
             search their logs"
        );
        return Ok(Exit::Refused);
    }
    Ok(Exit::Done)
}

/// Shows a result for people or for programs.
fn show(options: &Options, text: &str, json: Value) -> Result<Exit, Exit> {
    let shown = match options.output {
        OutputForm::Text => writeln!(io::stdout(), "{text}"),
        OutputForm::Json => writeln!(io::stdout(), "{json}"),
    };
    shown.map(|()| Exit::Done).map_err(|_| Exit::Unknown)
}

fn config(client: &Client) -> Result<String, Exit> {
    let reply = reached(client.get("/v1/config"))?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

fn answer(options: &Options, reply: Result<HttpReply, HttpError>) -> Result<Exit, Exit> {
    Ok(shown(options, &reached(reply)?))
}

fn reached(reply: Result<HttpReply, HttpError>) -> Result<HttpReply, Exit> {
    reply.map_err(|error| match error {
        HttpError::NotSent(_) => {
            eprintln!("{error}; name a daemon that runs with --daemon IP:PORT");
            Exit::Unreachable
        }
        HttpError::NoResponse(_) => {
            eprintln!("{error}; the daemon may have got the call, so repeat it with its id");
            Exit::Unknown
        }
    })
}

fn shown(options: &Options, reply: &HttpReply) -> Exit {
    match serde_json::from_slice::<ApiAnswer>(&reply.body) {
        Ok(answer) => {
            show_answer(options.output, &answer);
            exit_of(&answer)
        }
        Err(_) => {
            if options.output == OutputForm::Text {
                println!("failed at the backend server (status {})", reply.status);
            }
            println!("{}", String::from_utf8_lossy(&reply.body));
            Exit::Refused
        }
    }
}
