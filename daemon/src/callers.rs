//! The HTTP API for callers and operators.

mod body_budget;
mod fields;
mod reply;

use self::{
    body_budget::BodyBudget,
    fields::{
        check_job, check_payload, close_after_answer, discard_body, field_error, header,
        key_digest, parse, read_deadline, yes_no_header,
    },
    reply::{answer_reply, json, text, with_request_id, Rejection, Reply},
};
use crate::{
    consts,
    control::{ControlInput, Inspection, PendingCall},
    telemetry, Journal, Settings,
};
use crossbeam::channel::{bounded, Sender};
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::{
    model::{Body, Request as HttpRequest},
    ListeningServer, Server,
};
use pomelotide_core::{
    Answer, CallId, Core, Event, JobId, JobSpec, KeyDigest, Payload, QueueName, Request, RequestId,
    Status,
};
use pomelotide_wire::{
    format_entries, parse_note, ApiExplanation, ApiJob, ApiJobView, ApiNoteView, ApiPeerView,
    ApiStatus, ApiTeamView, ApiWorkerView,
};
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How long a handler waits for the control thread to read the state.
const INSPECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a handler waits for the answer to a call; longer than the maximum deadline of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(330);

/// The HTTP API with the state that its handlers share.
struct CallerApi {
    inputs: Sender<ControlInput>,
    metrics: PrometheusHandle,
    operator: Option<KeyDigest>,
    name: String,
    started_unix_ms: u128,
    generated_id_count: AtomicU64,
    bodies: BodyBudget,
}

/// Serves callers and operators.
pub(crate) fn serve(
    settings: &Settings,
    inputs: &Sender<ControlInput>,
    metrics: PrometheusHandle,
) -> io::Result<ListeningServer> {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let api = CallerApi {
        inputs: inputs.clone(),
        metrics,
        operator: settings.operator.clone(),
        name: settings.name.clone(),
        started_unix_ms: started.as_millis(),
        generated_id_count: AtomicU64::new(0),
        bodies: BodyBudget::default(),
    };
    Server::new(move |request| api.respond(request))
        .bind(settings.callers)
        .with_global_timeout(consts::CALLER_TIMEOUT)
        .with_max_concurrent_connections(consts::MAX_CALLER_CONNECTIONS)
        .spawn()
}

impl CallerApi {
    fn respond(&self, request: &mut HttpRequest<Body>) -> Reply {
        self.route(request).unwrap_or_else(|rejection| {
            let path = request.uri().path();
            info!("event=call_rejected path={path:?} why=\"{rejection}\"");
            match rejection {
                // Reading on would keep the connection for a client that does not finish.
                Rejection::Overloaded | Rejection::TooSlow => close_after_answer(request),
                _ => discard_body(request),
            }
            rejection.reply()
        })
    }

    fn route(&self, request: &mut HttpRequest<Body>) -> Result<Reply, Rejection> {
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        // The id of a job or request may contain slashes.
        match (request.method().as_str(), parts.as_slice()) {
            ("POST", ["v1", "queues", queue, "requests"]) => self.submit_request(request, queue),
            ("POST", ["v1", "jobs"]) => self.submit_job(request),
            ("GET", ["v1", "jobs", job @ ..]) if !job.is_empty() => self.find_job(&job.join("/")),
            ("DELETE", ["v1", "jobs", job @ ..]) if !job.is_empty() => {
                self.cancel(request, &job.join("/"))
            }
            ("POST", ["v1", "notes"]) => self.propose_note(request),
            ("GET", ["v1", "explain", id @ ..]) if !id.is_empty() => self.explain(&id.join("/")),
            ("GET", rest) => self.read_state(rest),
            (_, rest) => Err(unmatched_route(rest)),
        }
    }

    /// Answers a GET of the daemon's state.
    fn read_state(&self, path: &[&str]) -> Result<Reply, Rejection> {
        match path {
            ["v1", "config"] => self.show_config(),
            ["v1", "status"] => Ok(json(200, &ApiStatus::from(self.status()?))),
            ["v1", "jobs"] => {
                self.list(|core| core.job_views().into_iter().map(ApiJobView::from).collect())
            }
            ["v1", "workers"] => self.list(|core| {
                core.worker_views()
                    .into_iter()
                    .map(ApiWorkerView::from)
                    .collect()
            }),
            ["v1", "teams"] => self.list(|core| {
                core.team_views()
                    .into_iter()
                    .map(ApiTeamView::from)
                    .collect()
            }),
            ["v1", "daemons"] => self.list(|core| {
                core.peer_views()
                    .into_iter()
                    .map(ApiPeerView::from)
                    .collect()
            }),
            ["v1", "notes"] => self.list(|core| {
                let notes = core.config().history().take(consts::MAX_HISTORY_NOTES);
                notes.map(ApiNoteView::from).collect()
            }),
            ["healthz"] => self.status().map(|_| text(200, "ok\n")),
            ["readyz"] => self.readiness(),
            ["metrics"] => {
                telemetry::set_status_gauges(&self.status()?);
                Ok(text(200, &self.metrics.render()))
            }
            _ => Err(unmatched_route(path)),
        }
    }

    fn submit_request(
        &self,
        http: &mut HttpRequest<Body>,
        queue: &str,
    ) -> Result<Reply, Rejection> {
        let queue: QueueName = parse("queue", queue)?;
        let id = self.request_id(http)?;
        let key = key_digest(http)?;
        let idempotent = yes_no_header(http, "idempotent")?;
        let deadline_ms = read_deadline(http)?;
        let (payload, _lease) = self.bodies.read(http.body_mut())?;
        check_payload(&payload)?;
        let request = Request {
            id,
            key,
            queue,
            idempotent,
            deadline_ms,
            payload: Payload(payload),
        };
        let id = request.id.clone();
        let reply = self.call(|call| Event::RequestArrived { call, request })?;
        Ok(with_request_id(reply, &id))
    }

    fn submit_job(&self, http: &mut HttpRequest<Body>) -> Result<Reply, Rejection> {
        let request = self.request_id(http)?;
        let key = key_digest(http)?;
        let (body, _lease) = self.bodies.read(http.body_mut())?;
        let parsed = serde_json::from_slice::<ApiJob>(&body);
        let job = parsed.map_err(|error| field_error("body", error))?;
        let spec = JobSpec::try_from(job).map_err(Rejection::Malformed)?;
        check_job(&spec)?;
        let id = request.clone();
        let reply = self.call(|call| Event::JobArrived {
            call,
            request,
            key,
            spec,
        })?;
        Ok(with_request_id(reply, &id))
    }

    fn find_job(&self, job: &str) -> Result<Reply, Rejection> {
        let job: JobId = parse("job", job)?;
        self.call(|call| Event::JobAsked { call, job })
    }

    fn cancel(&self, http: &HttpRequest<Body>, job: &str) -> Result<Reply, Rejection> {
        let job: JobId = parse("job", job)?;
        let key = key_digest(http)?;
        self.call(|call| Event::CancelArrived { call, job, key })
    }

    fn propose_note(&self, http: &mut HttpRequest<Body>) -> Result<Reply, Rejection> {
        if self.operator.is_none() || key_digest(http)? != self.operator {
            return Err(Rejection::NotOperator);
        }
        let (bytes, _lease) = self.bodies.read(http.body_mut())?;
        let text = std::str::from_utf8(&bytes).map_err(|error| field_error("body", error))?;
        let note = parse_note("note", text).map_err(|problems| field_error("note", problems))?;
        self.call(|call| Event::NoteArrived { call, note })
    }

    fn explain(&self, id: &str) -> Result<Reply, Rejection> {
        // A request id is also a valid job id, one without failure domain and team.
        let id: JobId = parse("id", id)?;
        let explanation = self.inspect(move |_, journal| ApiExplanation {
            id: id.to_string(),
            entries: journal.explain(id.as_str()),
        })?;
        Ok(json(200, &explanation))
    }

    fn show_config(&self) -> Result<Reply, Rejection> {
        let shown = self.inspect(|core, _| {
            let head = format!("; revision {}\n\n", core.config().revision());
            head + &format_entries("added", core.config().entries())
        })?;
        Ok(text(200, &shown))
    }

    fn readiness(&self) -> Result<Reply, Rejection> {
        let status = self.status()?;
        let ready = status.leader.is_some() && !status.draining;
        Ok(if ready {
            text(200, "ready\n")
        } else {
            text(503, "not ready\n")
        })
    }

    fn status(&self) -> Result<Status, Rejection> {
        self.inspect(|core, _| core.status())
    }

    fn list<T: Send + serde::Serialize + 'static>(
        &self,
        list: impl FnOnce(&Core) -> Vec<T> + Send + 'static,
    ) -> Result<Reply, Rejection> {
        Ok(json(200, &self.inspect(|core, _| list(core))?))
    }

    /// Runs a function on the state in the control thread and returns its result.
    fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&Core, &Journal) -> T + Send + 'static,
    ) -> Result<T, Rejection> {
        let (sender, result) = bounded(1);
        let inspection = move |core: &Core, journal: &Journal| {
            // Fails if the handler has timed out.
            let _ = sender.send(inspect(core, journal));
        };
        self.inputs
            .send(ControlInput::Inspect(Inspection(Box::new(inspection))))
            .map_err(|_| Rejection::Stopped)?;
        result
            .recv_timeout(INSPECTION_TIMEOUT)
            .map_err(|_| Rejection::Stopped)
    }

    /// Sends a call to the control thread and waits for its answer; the outcome is unknown if there is
    /// none in time.
    fn call(
        &self,
        event: impl FnOnce(CallId) -> Event + Send + 'static,
    ) -> Result<Reply, Rejection> {
        let (sender, answer) = bounded(1);
        let call = PendingCall {
            event: Box::new(event),
            answer: sender,
        };
        self.inputs
            .send(ControlInput::Call(Box::new(call)))
            .map_err(|_| Rejection::Stopped)?;
        match answer.recv_timeout(ANSWER_TIMEOUT) {
            Ok(answer) => Ok(answer_reply(answer)),
            Err(_) => Ok(answer_reply(Answer::OutcomeUnknown)),
        }
    }

    fn request_id(&self, http: &HttpRequest<Body>) -> Result<RequestId, Rejection> {
        match header(http, "request-id")? {
            Some(text) => parse("request-id", &text),
            None => {
                let number = self.generated_id_count.fetch_add(1, Ordering::Relaxed);
                Ok(RequestId::new(format!(
                    "{}.{}.{number}",
                    self.name, self.started_unix_ms
                )))
            }
        }
    }
}

/// Returns the rejection of a call whose path or method is not served.
fn unmatched_route(path: &[&str]) -> Rejection {
    match path {
        ["v1", "jobs"] | ["v1", "notes"] => Rejection::WrongMethod("GET, POST"),
        ["v1", "jobs", ..] => Rejection::WrongMethod("GET, DELETE"),
        ["v1", "queues", _, "requests"] => Rejection::WrongMethod("POST"),
        ["v1", "explain", ..]
        | ["v1", "config" | "daemons" | "status" | "teams" | "workers"]
        | ["healthz" | "metrics" | "readyz"] => Rejection::WrongMethod("GET"),
        _ => Rejection::NoSuchPath,
    }
}
