//! The adapter to callers and operators: HTTP.

use crate::{
    consts,
    control::{Input, NewCall},
    Settings,
};
use crossbeam::channel::{bounded, Sender};
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::{
    model::{header::RETRY_AFTER, Body, HeaderValue, Request as HttpRequest, Response, StatusCode},
    ListeningServer, Server,
};
use pomelotide_core::{
    Answer, CallId, Entry, Event, JobId, JobSpec, KeyDigest, Millis, Payload, QueueName, Request,
    RequestId, Status,
};
use pomelotide_wire::{
    digest_of, parse_note, show_entries, status_of, ApiAnswer, ApiFault, ApiJob, ApiStatus,
};
use std::{
    io::{self, Read},
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The deadline of a request that names none.
const DEFAULT_DEADLINE_MS: Millis = Millis(10_000);
/// How long the control thread may take to describe itself.
const STATUS_LIMIT: Duration = Duration::from_secs(2);
/// How much longer than any deadline a handler waits for the control thread.
const ANSWER_LIMIT: Duration = Duration::from_secs(330);

struct Callers {
    inputs: Sender<Input>,
    metrics: PrometheusHandle,
    operator: Option<KeyDigest>,
    name: String,
    begun_ms: u128,
    unnamed: AtomicU64,
}

/// Why a call got no further than this adapter.
enum Rejected {
    Malformed(ApiFault),
    TooLarge,
    NotOperator,
    NoSuchPath,
    Stopped,
}

type Reply = Response<Body>;

/// Serves callers and operators.
pub(crate) fn serve(
    settings: &Settings,
    inputs: &Sender<Input>,
    metrics: PrometheusHandle,
) -> io::Result<ListeningServer> {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let callers = Callers {
        inputs: inputs.clone(),
        metrics,
        operator: settings.operator.clone(),
        name: settings.name.clone(),
        begun_ms: started.as_millis(),
        unnamed: AtomicU64::new(0),
    };
    Server::new(move |request| callers.respond(request))
        .bind(settings.callers)
        .with_global_timeout(consts::CALLER_LIMIT)
        .with_max_concurrent_connections(consts::MAX_CALLERS)
        .spawn()
}

impl Callers {
    fn respond(&self, request: &mut HttpRequest<Body>) -> Reply {
        self.route(request)
            .unwrap_or_else(|rejected| rejected.reply())
    }

    fn route(&self, request: &mut HttpRequest<Body>) -> Result<Reply, Rejected> {
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method().as_str(), parts.as_slice()) {
            ("POST", ["v1", "queues", queue, "requests"]) => self.run(request, queue),
            ("POST", ["v1", "jobs"]) => self.submit(request),
            ("GET", ["v1", "jobs", job]) => self.look_up(job),
            ("DELETE", ["v1", "jobs", job]) => self.cancel(request, job),
            ("POST", ["v1", "notes"]) => self.propose(request),
            ("GET", ["v1", "config"]) => self.show_config(),
            ("GET", ["v1", "status"]) => Ok(json(200, &ApiStatus::from(self.status()?))),
            ("GET", ["healthz"]) => self.status().map(|_| text(200, "ok\n")),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["metrics"]) => Ok(text(200, &self.metrics.render())),
            _ => Err(Rejected::NoSuchPath),
        }
    }

    fn run(&self, http: &mut HttpRequest<Body>, queue: &str) -> Result<Reply, Rejected> {
        let queue: QueueName = parse("queue", queue)?;
        let deadline = header(http, "deadline")?;
        let deadline_ms = deadline.map(|text| parse("deadline", &text)).transpose()?;
        let request = Request {
            id: self.request_id(http)?,
            key: key(http)?,
            queue,
            idempotent: yes_no(http, "idempotent")?,
            deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
            payload: Payload(body(http)?),
        };
        self.call(|call| Event::RequestArrived { call, request })
    }

    fn submit(&self, http: &mut HttpRequest<Body>) -> Result<Reply, Rejected> {
        let request = self.request_id(http)?;
        let key = key(http)?;
        let parsed = serde_json::from_slice::<ApiJob>(&body(http)?);
        let job = parsed.map_err(|error| fault("body", error))?;
        let spec = JobSpec::try_from(job).map_err(Rejected::Malformed)?;
        self.call(|call| Event::JobArrived {
            call,
            request,
            key,
            spec,
        })
    }

    fn look_up(&self, job: &str) -> Result<Reply, Rejected> {
        let job: JobId = parse("job", job)?;
        self.call(|call| Event::JobAsked { call, job })
    }

    fn cancel(&self, http: &HttpRequest<Body>, job: &str) -> Result<Reply, Rejected> {
        let job: JobId = parse("job", job)?;
        let key = key(http)?;
        self.call(|call| Event::CancelArrived { call, job, key })
    }

    fn propose(&self, http: &mut HttpRequest<Body>) -> Result<Reply, Rejected> {
        if self.operator.is_none() || key(http)? != self.operator {
            return Err(Rejected::NotOperator);
        }
        let bytes = body(http)?;
        let text = std::str::from_utf8(&bytes).map_err(|error| fault("body", error))?;
        let note = parse_note("note", text).map_err(|problems| fault("note", problems))?;
        self.call(|call| Event::NoteArrived { call, note })
    }

    fn show_config(&self) -> Result<Reply, Rejected> {
        let entries: Vec<Entry> = self.ask(Input::Config)?;
        let revision = self.status()?.revision;
        let head = format!("; revision {revision}\n\n");
        Ok(text(200, &(head + &show_entries("added", entries.iter()))))
    }

    fn ready(&self) -> Result<Reply, Rejected> {
        let status = self.status()?;
        let ready = status.keeper.is_some() && !status.draining;
        Ok(if ready {
            text(200, "ready\n")
        } else {
            text(503, "not ready\n")
        })
    }

    fn status(&self) -> Result<Status, Rejected> {
        self.ask(Input::Status)
    }

    fn ask<T>(&self, input: impl FnOnce(Sender<T>) -> Input) -> Result<T, Rejected> {
        let (sender, answer) = bounded(1);
        self.inputs
            .send(input(sender))
            .map_err(|_| Rejected::Stopped)?;
        answer
            .recv_timeout(STATUS_LIMIT)
            .map_err(|_| Rejected::Stopped)
    }

    fn call(
        &self,
        event: impl FnOnce(CallId) -> Event + Send + 'static,
    ) -> Result<Reply, Rejected> {
        let (sender, answer) = bounded(1);
        let call = NewCall {
            event: Box::new(event),
            answer: sender,
        };
        self.inputs
            .send(Input::Call(Box::new(call)))
            .map_err(|_| Rejected::Stopped)?;
        match answer.recv_timeout(ANSWER_LIMIT) {
            Ok(answer) => Ok(answer_reply(answer)),
            Err(_) => Ok(answer_reply(Answer::OutcomeUnknown)),
        }
    }

    fn request_id(&self, http: &HttpRequest<Body>) -> Result<RequestId, Rejected> {
        match header(http, "request-id")? {
            Some(text) => parse("request-id", &text),
            None => {
                let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
                Ok(RequestId::new(format!(
                    "{}.{}.{number}",
                    self.name, self.begun_ms
                )))
            }
        }
    }
}

fn answer_reply(answer: Answer) -> Reply {
    let status = status_of(&answer);
    if let Answer::Done(payload) = answer {
        return reply(status, "application/octet-stream", payload.0);
    }
    let retry_after_ms = match &answer {
        Answer::NotRun { retry_after_ms, .. } => *retry_after_ms,
        _ => None,
    };
    let mut response = match &answer {
        Answer::Failed(payload) => reply(status, "application/octet-stream", payload.0.clone()),
        other => json(status, &ApiAnswer::from(other)),
    };
    if let Some(after_ms) = retry_after_ms {
        let seconds = after_ms.0.div_ceil(1_000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

impl Rejected {
    fn reply(self) -> Reply {
        match self {
            Rejected::Malformed(fault) => json(400, &ApiAnswer::Malformed(fault)),
            Rejected::TooLarge => {
                let error = format!("larger than {} bytes", consts::MAX_BODY_BYTES);
                json(413, &ApiAnswer::Malformed(ApiFault::new("body", error)))
            }
            Rejected::NotOperator => {
                let error = "operators show the secret of operator_sha256";
                json(
                    401,
                    &ApiAnswer::Malformed(ApiFault::new("authorization", error)),
                )
            }
            Rejected::NoSuchPath => json(
                404,
                &ApiAnswer::Malformed(ApiFault::new("path", "no such path")),
            ),
            Rejected::Stopped => {
                let (reason, retry_after_ms) = ("draining".into(), Some(1_000));
                json(
                    503,
                    &ApiAnswer::NotRun {
                        reason,
                        retry_after_ms,
                    },
                )
            }
        }
    }
}

fn fault(field: &str, error: impl ToString) -> Rejected {
    Rejected::Malformed(ApiFault::new(field, error))
}

fn parse<T: FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, Rejected> {
    text.parse().map_err(|error: T::Err| fault(field, error))
}

fn header(http: &HttpRequest<Body>, name: &'static str) -> Result<Option<String>, Rejected> {
    let Some(value) = http.headers().get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| fault(name, "expected plain text"))?;
    Ok(Some(text.trim().to_string()))
}

fn yes_no(http: &HttpRequest<Body>, name: &'static str) -> Result<bool, Rejected> {
    match header(http, name)?.as_deref() {
        None | Some("no") => Ok(false),
        Some("yes") => Ok(true),
        Some(_) => Err(fault(name, "expected yes or no")),
    }
}

fn key(http: &HttpRequest<Body>) -> Result<Option<KeyDigest>, Rejected> {
    let Some(text) = header(http, "authorization")? else {
        return Ok(None);
    };
    match text.strip_prefix("Bearer ") {
        Some(secret) => Ok(Some(digest_of(secret.trim()))),
        None => Err(fault("authorization", "expected Bearer SECRET")),
    }
}

fn body(http: &mut HttpRequest<Body>) -> Result<Vec<u8>, Rejected> {
    let mut bytes = Vec::new();
    let mut limited = http.body_mut().take(consts::MAX_BODY_BYTES + 1);
    limited
        .read_to_end(&mut bytes)
        .map_err(|error| fault("body", error))?;
    if bytes.len() as u64 > consts::MAX_BODY_BYTES {
        return Err(Rejected::TooLarge);
    }
    Ok(bytes)
}

fn json<T: serde::Serialize>(status: u16, value: &T) -> Reply {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    reply(status, "application/json", bytes)
}

fn text(status: u16, text: &str) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into())
}

fn reply(status: u16, kind: &'static str, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static(kind));
    response
}
