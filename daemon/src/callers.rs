//! The adapter to callers and operators: HTTP.

mod fields;
mod reply;

use self::{
    fields::{body, check_job, deadline, drop_body, fault, header, key, parse, payload, yes_no},
    reply::{answer_reply, json, text, with_request_id, Rejected, Reply},
};
use crate::{
    consts,
    control::{Input, Look, NewCall},
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
        self.route(request).unwrap_or_else(|rejected| {
            let path = request.uri().path();
            info!("event=call_rejected path={path:?} why=\"{rejected}\"");
            drop_body(request);
            rejected.reply()
        })
    }

    fn route(&self, request: &mut HttpRequest<Body>) -> Result<Reply, Rejected> {
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        // The id of a job or request may hold a slash.
        match (request.method().as_str(), parts.as_slice()) {
            ("POST", ["v1", "queues", queue, "requests"]) => self.run(request, queue),
            ("POST", ["v1", "jobs"]) => self.submit(request),
            ("GET", ["v1", "jobs", job @ ..]) if !job.is_empty() => self.look_up(&job.join("/")),
            ("DELETE", ["v1", "jobs", job @ ..]) if !job.is_empty() => {
                self.cancel(request, &job.join("/"))
            }
            ("POST", ["v1", "notes"]) => self.propose(request),
            ("GET", ["v1", "explain", id @ ..]) if !id.is_empty() => self.explain(&id.join("/")),
            ("GET", rest) => self.show(rest),
            (_, rest) => Err(other_method(rest)),
        }
    }

    /// Shows a part of the daemon's state.
    fn show(&self, path: &[&str]) -> Result<Reply, Rejected> {
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
                let notes = core.config().history().take(consts::HISTORY_NOTES);
                notes.map(ApiNoteView::from).collect()
            }),
            ["healthz"] => self.status().map(|_| text(200, "ok\n")),
            ["readyz"] => self.ready(),
            ["metrics"] => {
                telemetry::show_status(&self.status()?);
                Ok(text(200, &self.metrics.render()))
            }
            _ => Err(other_method(path)),
        }
    }

    fn run(&self, http: &mut HttpRequest<Body>, queue: &str) -> Result<Reply, Rejected> {
        let queue: QueueName = parse("queue", queue)?;
        let request = Request {
            id: self.request_id(http)?,
            key: key(http)?,
            queue,
            idempotent: yes_no(http, "idempotent")?,
            deadline_ms: deadline(http)?,
            payload: Payload(payload(http)?),
        };
        let id = request.id.clone();
        let reply = self.call(|call| Event::RequestArrived { call, request })?;
        Ok(with_request_id(reply, &id))
    }

    fn submit(&self, http: &mut HttpRequest<Body>) -> Result<Reply, Rejected> {
        let request = self.request_id(http)?;
        let key = key(http)?;
        let parsed = serde_json::from_slice::<ApiJob>(&body(http)?);
        let job = parsed.map_err(|error| fault("body", error))?;
        let spec = JobSpec::try_from(job).map_err(Rejected::Malformed)?;
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

    fn explain(&self, id: &str) -> Result<Reply, Rejected> {
        // A request's id is a job's id that names neither failure domain nor team.
        let id: JobId = parse("id", id)?;
        let explanation = self.look(move |_, journal| ApiExplanation {
            id: id.to_string(),
            entries: journal.explain(id.as_str()),
        })?;
        Ok(json(200, &explanation))
    }

    fn show_config(&self) -> Result<Reply, Rejected> {
        let shown = self.look(|core, _| {
            let head = format!("; revision {}\n\n", core.config().revision());
            head + &format_entries("added", core.config().entries())
        })?;
        Ok(text(200, &shown))
    }

    fn ready(&self) -> Result<Reply, Rejected> {
        let status = self.status()?;
        let ready = status.leader.is_some() && !status.draining;
        Ok(if ready {
            text(200, "ready\n")
        } else {
            text(503, "not ready\n")
        })
    }

    fn status(&self) -> Result<Status, Rejected> {
        self.look(|core, _| core.status())
    }

    fn list<T: Send + serde::Serialize + 'static>(
        &self,
        list: impl FnOnce(&Core) -> Vec<T> + Send + 'static,
    ) -> Result<Reply, Rejected> {
        Ok(json(200, &self.look(|core, _| list(core))?))
    }

    /// Looks at the state from the control thread.
    fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&Core, &Journal) -> T + Send + 'static,
    ) -> Result<T, Rejected> {
        let (sender, seen) = bounded(1);
        let look = move |core: &Core, journal: &Journal| {
            // Whoever asked may have gone away.
            let _ = sender.send(look(core, journal));
        };
        self.inputs
            .send(Input::Look(Look(Box::new(look))))
            .map_err(|_| Rejected::Stopped)?;
        seen.recv_timeout(STATUS_LIMIT)
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

/// Says why no answer belongs to a path under the method of the call.
fn other_method(path: &[&str]) -> Rejected {
    match path {
        ["v1", "jobs"] | ["v1", "notes"] => Rejected::WrongMethod("GET, POST"),
        ["v1", "jobs", ..] => Rejected::WrongMethod("GET, DELETE"),
        ["v1", "queues", _, "requests"] => Rejected::WrongMethod("POST"),
        ["v1", "explain", ..]
        | ["v1", "config" | "daemons" | "status" | "teams" | "workers"]
        | ["healthz" | "metrics" | "readyz"] => Rejected::WrongMethod("GET"),
        _ => Rejected::NoSuchPath,
    }
}
