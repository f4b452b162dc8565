//! The commands.

use crate::{
    cli::{Action, Options, OutputForm},
    client::{exit_of, Client},
    exit::Exit,
    note_files::{diff, read_note},
    output::{show_answer, show_status},
};
use pomelotide_core::Millis;
use pomelotide_wire::{digest_of, ApiAnswer, ApiJob, ApiStatus, HttpError, HttpReply};
use std::{
    io::{self, Write},
    thread,
    time::{Duration, Instant},
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
        Action::NoteCheck(file) => {
            let (_, note) = read_note(file)?;
            println!(
                "{file}: note {} on revision {} is well-formed",
                note.id, note.base
            );
            Ok(Exit::Done)
        }
        Action::NoteApply(file) => {
            let (text, _) = read_note(file)?;
            answer(
                options,
                client.send("POST", "/v1/notes", &[], text.into_bytes()),
            )
        }
        Action::NoteDiff(file) => {
            let (_, note) = read_note(file)?;
            println!("{}", diff(&config(&client)?, &note));
            Ok(Exit::Done)
        }
        Action::NoteShow => {
            print!("{}", config(&client)?);
            Ok(Exit::Done)
        }
        Action::Ask { .. } => ask(options, &client),
        Action::Submit { .. } => submit(options, &client),
        Action::Job(job) => answer(
            options,
            client.send("GET", &format!("/v1/jobs/{job}"), &[], Vec::new()),
        ),
        Action::Wait { job, limit } => wait(options, &client, job, limit),
        Action::Cancel(job) => answer(
            options,
            client.send("DELETE", &format!("/v1/jobs/{job}"), &[], Vec::new()),
        ),
        Action::Status => status(options, &client),
        Action::KeyDigest(secret) => {
            println!("{}", digest_of(secret));
            Ok(Exit::Done)
        }
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
    if let Some(id) = id {
        headers.push(("request-id", id));
    }
    let path = format!("/v1/queues/{queue}/requests");
    let reply = reached(client.send("POST", &path, &headers, payload.clone().into_bytes()))?;
    if reply.status != STATUS_OK {
        return Ok(shown(options, &reply));
    }
    let mut out = io::stdout();
    let written = out
        .write_all(&reply.body)
        .and_then(|()| out.write_all(b"\n"));
    Ok(if written.is_ok() {
        Exit::Done
    } else {
        Exit::Unknown
    })
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
    let headers: Vec<(&str, &str)> = id.iter().map(|id| ("request-id", id.as_str())).collect();
    answer(options, client.send("POST", "/v1/jobs", &headers, body))
}

fn wait(options: &Options, client: &Client, job: &str, limit: &str) -> Result<Exit, Exit> {
    let limit: Millis = limit.parse().map_err(|error| {
        eprintln!("--limit {limit}: {error}");
        Exit::Usage
    })?;
    let begun = Instant::now();
    loop {
        let reply = client.send("GET", &format!("/v1/jobs/{job}"), &[], Vec::new());
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
    let reply = reached(client.send("GET", "/v1/status", &[], Vec::new()))?;
    match serde_json::from_slice::<ApiStatus>(&reply.body) {
        Ok(status) => {
            show_status(options.output, &status);
            Ok(Exit::Done)
        }
        Err(_) => Ok(shown(options, &reply)),
    }
}

fn config(client: &Client) -> Result<String, Exit> {
    let reply = reached(client.send("GET", "/v1/config", &[], Vec::new()))?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

fn answer(options: &Options, reply: Result<HttpReply, HttpError>) -> Result<Exit, Exit> {
    Ok(shown(options, &reached(reply)?))
}

fn reached(reply: Result<HttpReply, HttpError>) -> Result<HttpReply, Exit> {
    reply.map_err(|error| {
        eprintln!("{error}");
        match error {
            HttpError::NotSent(_) => Exit::Unreachable,
            HttpError::Broken(_) => Exit::Unknown,
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
