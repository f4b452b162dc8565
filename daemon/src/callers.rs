//! The HTTP API for callers and operators.

mod fields;
mod reply;
mod server;

use self::{
    fields::{
        check_job, check_payload, field_error, header, key_digest, parse, read_deadline,
        yes_no_header, Call, Rest,
    },
    reply::{answer_reply, json, text, with_close, with_request_id, Rejection, Reply},
};
use crate::{
    consts,
    control::{ControlInput, Inspection, PendingCall},
    telemetry, Journal, Settings,
};
use crossbeam::channel::Sender;
use hyper::HeaderMap;
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
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
use tokio::{sync::oneshot, time::timeout};

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
}

/// Serves callers and operators.
pub(crate) fn serve(
    settings: &Settings,
    inputs: &Sender<ControlInput>,
    metrics: PrometheusHandle,
) -> io::Result<()> {
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
    };
    server::spawn(settings.callers, api)
}

impl CallerApi {
    async fn respond(&self, mut call: Call<'_>) -> Reply {
        let rejection = match self.route(&mut call).await {
            Ok(reply) => return reply,
            Err(rejection) => rejection,
        };
        info!(
            "event=call_rejected path={:?} why=\"{rejection}\"",
            call.path
        );
        match call.discard_body().await {
            Rest::Discarded => rejection.reply(),
            Rest::Unreadable => with_close(rejection.reply()),
        }
    }

    async fn route(&self, call: &mut Call<'_>) -> Result<Reply, Rejection> {
        let path = call.path.clone();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        // The id of a job or request may contain slashes.
        match (call.method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "queues", queue, "requests"]) => self.submit_request(call, queue).await,
            ("POST", ["v1", "jobs"]) => self.submit_job(call).await,
            ("GET", ["v1", "jobs", job @ ..]) if !job.is_empty() => {
                self.find_job(call, &job.join("/")).await
            }
            ("DELETE", ["v1", "jobs", job @ ..]) if !job.is_empty() => {
                self.cancel(call, &job.join("/")).await
            }
            ("POST", ["v1", "notes"]) => self.propose_note(call).await,
            ("GET", ["v1", "explain", id @ ..]) if !id.is_empty() => {
                self.explain(&id.join("/")).await
            }
            ("GET", rest) => self.read_state(rest).await,
            (_, rest) => Err(unmatched_route(rest)),
        }
    }

    /// Answers a GET of the daemon's state.
    async fn read_state(&self, path: &[&str]) -> Result<Reply, Rejection> {
        match path {
            ["v1", "config"] => self.show_config().await,
            ["v1", "status"] => Ok(json(200, &ApiStatus::from(self.status().await?))),
            ["v1", "jobs"] => {
                self.list(|core| core.job_views().into_iter().map(ApiJobView::from).collect())
                    .await
            }
            ["v1", "workers"] => {
                self.list(|core| {
                    core.worker_views()
                        .into_iter()
                        .map(ApiWorkerView::from)
                        .collect()
                })
                .await
            }
            ["v1", "teams"] => {
                self.list(|core| {
                    core.team_views()
                        .into_iter()
                        .map(ApiTeamView::from)
                        .collect()
                })
                .await
            }
            ["v1", "daemons"] => {
                self.list(|core| {
                    core.peer_views()
                        .into_iter()
                        .map(ApiPeerView::from)
                        .collect()
                })
                .await
            }
            ["v1", "notes"] => {
                self.list(|core| {
                    let notes = core.config().history().take(consts::MAX_HISTORY_NOTES);
                    notes.map(ApiNoteView::from).collect()
                })
                .await
            }
            ["healthz"] => self.status().await.map(|_| text(200, "ok\n")),
            ["readyz"] => self.readiness().await,
            ["metrics"] => {
                telemetry::set_status_gauges(&self.status().await?);
                Ok(text(200, &self.metrics.render()))
            }
            _ => Err(unmatched_route(path)),
        }
    }

    async fn submit_request(&self, call: &mut Call<'_>, queue: &str) -> Result<Reply, Rejection> {
        let queue: QueueName = parse("queue", queue)?;
        let id = self.request_id(&call.headers)?;
        let key = key_digest(&call.headers)?;
        let idempotent = yes_no_header(&call.headers, "idempotent")?;
        let deadline_ms = read_deadline(&call.headers)?;
        let payload = call.read_body().await?;
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
        let event = |call| Event::RequestArrived { call, request };
        Ok(with_request_id(self.pass_on(call, event).await?, &id))
    }

    async fn submit_job(&self, call: &mut Call<'_>) -> Result<Reply, Rejection> {
        let request = self.request_id(&call.headers)?;
        let key = key_digest(&call.headers)?;
        let body = call.read_body().await?;
        let parsed = serde_json::from_slice::<ApiJob>(&body);
        let job = parsed.map_err(|error| field_error("body", error))?;
        let spec = JobSpec::try_from(job).map_err(Rejection::Malformed)?;
        check_job(&spec)?;
        let id = request.clone();
        let event = |call| Event::JobArrived {
            call,
            request,
            key,
            spec,
        };
        Ok(with_request_id(self.pass_on(call, event).await?, &id))
    }

    async fn find_job(&self, call: &Call<'_>, job: &str) -> Result<Reply, Rejection> {
        let job: JobId = parse("job", job)?;
        self.pass_on(call, |call| Event::JobAsked { call, job })
            .await
    }

    async fn cancel(&self, call: &Call<'_>, job: &str) -> Result<Reply, Rejection> {
        let job: JobId = parse("job", job)?;
        let key = key_digest(&call.headers)?;
        self.pass_on(call, |call| Event::CancelArrived { call, job, key })
            .await
    }

    async fn propose_note(&self, call: &mut Call<'_>) -> Result<Reply, Rejection> {
        if self.operator.is_none() || key_digest(&call.headers)? != self.operator {
            return Err(Rejection::NotOperator);
        }
        let bytes = call.read_body().await?;
        let text = std::str::from_utf8(&bytes).map_err(|error| field_error("body", error))?;
        let note = parse_note("note", text).map_err(|problems| field_error("note", problems))?;
        self.pass_on(call, |call| Event::NoteArrived { call, note })
            .await
    }

    async fn explain(&self, id: &str) -> Result<Reply, Rejection> {
        // A request id is also a valid job id, one without failure domain and team.
        let id: JobId = parse("id", id)?;
        let explanation = self.inspect(move |_, journal| ApiExplanation {
            id: id.to_string(),
            entries: journal.explain(id.as_str()),
        });
        let explanation = explanation.await?;
        Ok(json(200, &explanation))
    }

    async fn show_config(&self) -> Result<Reply, Rejection> {
        let shown = self.inspect(|core, _| {
            let head = format!("; revision {}\n\n", core.config().revision());
            head + &format_entries("added", core.config().entries())
        });
        Ok(text(200, &shown.await?))
    }

    async fn readiness(&self) -> Result<Reply, Rejection> {
        let status = self.status().await?;
        let ready = status.leader.is_some() && !status.draining;
        Ok(if ready {
            text(200, "ready\n")
        } else {
            text(503, "not ready\n")
        })
    }

    async fn status(&self) -> Result<Status, Rejection> {
        self.inspect(|core, _| core.status()).await
    }

    async fn list<T: Send + serde::Serialize + 'static>(
        &self,
        list: impl FnOnce(&Core) -> Vec<T> + Send + 'static,
    ) -> Result<Reply, Rejection> {
        Ok(json(200, &self.inspect(|core, _| list(core)).await?))
    }

    /// Runs a function on the state in the control thread and returns its result.
    async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&Core, &Journal) -> T + Send + 'static,
    ) -> Result<T, Rejection> {
        let (sender, result) = oneshot::channel();
        let inspection = move |core: &Core, journal: &Journal| {
            // Fails if the handler has timed out.
            let _ = sender.send(inspect(core, journal));
        };
        self.inputs
            .send(ControlInput::Inspect(Inspection(Box::new(inspection))))
            .map_err(|_| Rejection::Stopped)?;
        match timeout(INSPECTION_TIMEOUT, result).await {
            Ok(Ok(result)) => Ok(result),
            _ => Err(Rejection::Stopped),
        }
    }

    /// Passes a call on to the control thread and waits for its answer; the outcome is unknown if there is
    /// none in time.
    async fn pass_on(
        &self,
        call: &Call<'_>,
        event: impl FnOnce(CallId) -> Event + Send + 'static,
    ) -> Result<Reply, Rejection> {
        if !call.entry.pass_on().await {
            // The connection is being closed, so this answer is not sent either.
            return Err(Rejection::Stopped);
        }
        let (sender, answer) = oneshot::channel();
        let call = PendingCall {
            event: Box::new(event),
            answer: sender,
        };
        self.inputs
            .send(ControlInput::Call(Box::new(call)))
            .map_err(|_| Rejection::Stopped)?;
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(answer_reply(answer)),
            _ => Ok(answer_reply(Answer::OutcomeUnknown)),
        }
    }

    fn request_id(&self, headers: &HeaderMap) -> Result<RequestId, Rejection> {
        match header(headers, "request-id")? {
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
