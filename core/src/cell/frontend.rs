//! Handles the calls of clients at one daemon.
//!
//! Each call is routed to a queue and authorized according to a recent desired state. Submissions
//! are recorded in the store. Queries go to the leader, or to the store if the leader does not
//! answer.

mod leader_report;
mod row_calls;
mod submit;

use crate::{
    cell::{
        admission::AdmissionGate,
        consts,
        ctx::{Ctx, RpcOwner, LOCAL_LINK},
        frontend::{leader_report::LeaderReport, row_calls::RowCall},
        submissions::Submissions,
        AdviceReply, ClientAnswer, ClientCall, ClientVerb, ConfigFeed, DesiredState, Effect,
        JobAccess, JobRow, JobStateReply, LinkId, LogEvent, QueryId, Queue, RowKey, RowVersion,
        RpcId, Table, ToLeader, ToMember,
    },
    CallId, JobId, Millis, TeamName,
};
use std::{collections::BTreeMap, rc::Rc};

/// The number of hexadecimal digits in a job id.
const JOB_ID_DIGITS: usize = 16;

/// A query to the leader for a client's call.
#[derive(Clone, Debug)]
struct LeaderQuery {
    call: CallId,
    job: JobId,
    access: JobAccess,
    /// The desired state by which the call was let in.
    state: Rc<DesiredState>,
    cancels: bool,
    since: Millis,
    /// Whether the job's row was already read from the store for this call.
    row_looked_up: bool,
}

/// The open calls of clients at one daemon.
#[derive(Debug, Default)]
pub(crate) struct Frontend {
    open_calls: BTreeMap<CallId, Millis>,
    queries: BTreeMap<QueryId, LeaderQuery>,
    row_calls: BTreeMap<RpcId, RowCall>,
    advice: BTreeMap<RpcId, QueryId>,
    leader: Option<LinkId>,
    report: LeaderReport,
    admission: AdmissionGate,
    last_query: u64,
}

impl Frontend {
    /// Returns the number of open calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.len()
    }

    /// Returns whether a client still waits for the answer to its call.
    pub(crate) fn is_open(&self, call: CallId) -> bool {
        self.open_calls.contains_key(&call)
    }

    /// Returns the longest expected wait of a new job, as the leader last reported it.
    pub(crate) fn expected_wait_ms(&self, now: Millis) -> Option<Millis> {
        self.admission.expected_wait_ms(now)
    }

    pub(crate) fn set_leader(&mut self, link: Option<LinkId>) {
        self.leader = link;
    }

    pub(crate) fn on_hangup(&mut self, call: CallId) {
        self.open_calls.remove(&call);
    }

    /// Answers a call, unless it was answered before or the client has disconnected.
    pub(crate) fn answer(&mut self, ctx: &mut Ctx, call: CallId, answer: ClientAnswer) {
        if self.open_calls.remove(&call).is_some() {
            ctx.push(Effect::Answer(call, answer));
        }
    }

    /// Answers all open calls before the process exits; the clients may send them to another daemon.
    pub(crate) fn answer_open_calls(&mut self, ctx: &mut Ctx) {
        for call in std::mem::take(&mut self.open_calls).into_keys() {
            ctx.push(Effect::Answer(call, ClientAnswer::Unknown));
        }
    }

    fn refuse(&mut self, ctx: &mut Ctx, call: CallId, reason: &'static str) {
        ctx.log(
            LogEvent::warn("call_refused")
                .with("call", call)
                .with("reason", reason),
        );
        let retry_after_ms = consts::RETRY_AFTER_MS;
        let answer = ClientAnswer::NotRun {
            reason,
            retry_after_ms,
        };
        self.answer(ctx, call, answer);
    }

    pub(crate) fn on_call(
        &mut self,
        ctx: &mut Ctx,
        config: &ConfigFeed,
        submissions: &mut Submissions,
        call: CallId,
        request: ClientCall,
    ) {
        self.open_calls.insert(call, ctx.now);
        submissions.leader = self.leader;
        let Some(state) = config.current().cloned() else {
            return self.refuse(ctx, call, "no configuration yet");
        };
        if !config.is_fresh(ctx.now, ctx.settings.key_revocation_ms) {
            return self.refuse(ctx, call, "the configuration at hand may be outdated");
        }
        let Some(queue) = state.route(&request.host, &request.path) else {
            let event = LogEvent::warn("call_unrouted")
                .with("call", call)
                .with("host", request.host);
            ctx.log(
                event
                    .with("path", request.path)
                    .with("version", state.version),
            );
            return self.answer(ctx, call, ClientAnswer::NoQueue);
        };
        let team = request.key.as_ref().and_then(|key| state.team_by_key(key));
        if team.is_none() && !queue.open {
            let event = LogEvent::warn("key_refused")
                .with("call", call)
                .with("queue", &queue.name);
            ctx.log(event.with("version", state.version));
            return self.answer(ctx, call, ClientAnswer::BadKey);
        }
        let weight = team.map(|team| team.weight);
        let team = team.map(|team| team.name.clone());
        let rest = &request.path[queue.path_prefix.len()..];
        self.on_routed_call(
            ctx,
            submissions,
            call,
            &state,
            queue,
            team,
            weight,
            rest,
            request.verb,
        );
    }

    #[allow(clippy::too_many_arguments)]
    fn on_routed_call(
        &mut self,
        ctx: &mut Ctx,
        submissions: &mut Submissions,
        call: CallId,
        state: &Rc<DesiredState>,
        queue: &Queue,
        team: Option<TeamName>,
        weight: Option<u64>,
        rest: &str,
        verb: ClientVerb,
    ) {
        if rest.is_empty() && verb == ClientVerb::Get {
            return self.answer_count(ctx, call, queue);
        }
        let job = match parse_job_id(rest) {
            Ok(job) => job,
            Err(answer) => return self.answer(ctx, call, answer),
        };
        match verb {
            ClientVerb::Submit(submission) => {
                let weight = weight.unwrap_or(0);
                self.submit(
                    ctx,
                    submissions,
                    call,
                    queue,
                    team,
                    weight,
                    job,
                    *submission,
                )
            }
            ClientVerb::Malformed(reason) => {
                let event = LogEvent::warn("job_malformed").with("job", job);
                ctx.log(event.with("queue", &queue.name).with("reason", &reason));
                self.answer(ctx, call, ClientAnswer::Malformed(reason));
            }
            ClientVerb::Get | ClientVerb::Cancel => {
                let query = LeaderQuery {
                    call,
                    job,
                    access: JobAccess::new(queue, team),
                    state: state.clone(),
                    cancels: verb == ClientVerb::Cancel,
                    since: ctx.now,
                    row_looked_up: false,
                };
                self.query_leader(ctx, query);
            }
        }
    }

    fn answer_count(&mut self, ctx: &mut Ctx, call: CallId, queue: &Queue) {
        let is_recent = |at: Millis| ctx.now.since(at) < consts::MAX_LEADER_REPORT_AGE_MS;
        if !self.report.ready || !self.report.at.is_some_and(is_recent) {
            return self.refuse(ctx, call, "no leader is heard");
        }
        let count = self.report.pending_jobs(queue);
        self.answer(ctx, call, ClientAnswer::Count(count));
    }

    fn query_leader(&mut self, ctx: &mut Ctx, query: LeaderQuery) {
        let Some(link) = self.leader else {
            return self.on_leader_unavailable(ctx, query);
        };
        self.last_query += 1;
        let id = QueryId(self.last_query);
        let (job, access) = (query.job.clone(), query.access.clone());
        let message = match query.cancels {
            true => ToLeader::Cancel {
                query: id,
                job,
                access,
            },
            false => ToLeader::State {
                query: id,
                job,
                access,
            },
        };
        self.queries.insert(id, query);
        send(ctx, link, message);
    }

    /// Handles a query that the leader can't answer or did not answer in time: a cancellation is
    /// refused, for another query the store is read.
    fn on_leader_unavailable(&mut self, ctx: &mut Ctx, query: LeaderQuery) {
        if query.cancels {
            let event = LogEvent::warn("cancel_refused").with("job", &query.job);
            ctx.log(event.with("reason", "no leader"));
            return self.refuse(ctx, query.call, "no leader is heard");
        }
        self.look_up(ctx, query);
    }

    /// Reports a recorded job to the leader.
    pub(crate) fn report_accepted(&mut self, ctx: &mut Ctx, job: JobRow, version: RowVersion) {
        let Some(link) = self.leader else { return };
        let job = Box::new(job);
        send(ctx, link, ToLeader::Accepted { job, version });
    }

    pub(crate) fn on_message(
        &mut self,
        ctx: &mut Ctx,
        config: &mut ConfigFeed,
        submissions: &mut Submissions,
        message: ToMember,
    ) {
        match message {
            ToMember::Heartbeat { .. } => self.on_heartbeat(ctx, config, message),
            ToMember::Resigned { .. } => {}
            ToMember::Config(state) => config.apply(*state, ctx, "leader"),
            ToMember::State { query, view } => self.on_state(ctx, query, view),
            ToMember::Submitted { query, outcome } => {
                submissions.on_relayed(ctx, self, query, outcome)
            }
            ToMember::Advise {
                query,
                step,
                workers,
                timeout_ms,
            } => {
                let rpc = ctx.next_rpc(RpcOwner::Frontend);
                self.advice.insert(rpc, query);
                ctx.push(Effect::Advise {
                    rpc,
                    step,
                    workers,
                    timeout_ms,
                });
            }
        }
    }

    fn on_heartbeat(&mut self, ctx: &mut Ctx, config: &mut ConfigFeed, message: ToMember) {
        let ToMember::Heartbeat {
            version,
            confirmed_ms,
            queued,
            queued_at,
            worker_id_bytes,
            ready,
            closed,
            admission,
            ..
        } = message
        else {
            return;
        };
        self.admission
            .set_table(ctx.now, admission.map(|table| *table));
        self.report = LeaderReport {
            counts: queued.into_iter().collect(),
            counts_at: queued_at.map(|counts| {
                let counts = counts.into_iter();
                counts.map(|count| (count.address, count.pending)).collect()
            }),
            closed: closed.into_iter().collect(),
            worker_id_bytes,
            at: Some(ctx.now),
            ready,
        };
        if let Some(at) = confirmed_ms {
            config.confirm(version, at);
        }
        let Some(link) = self.leader.filter(|link| *link != LOCAL_LINK) else {
            return;
        };
        if version > config.version() {
            send(ctx, link, ToLeader::ConfigRequest);
        }
        let ping = ToLeader::Ping {
            sent_ms: ctx.now,
            store_age_ms: ctx.store_age_ms(),
        };
        send(ctx, link, ping);
    }

    /// Handles the leader's answer. A job without a known state is looked up in the store, except
    /// that a cancellation is refused while the leader is loading.
    fn on_state(&mut self, ctx: &mut Ctx, id: QueryId, view: JobStateReply) {
        let Some(query) = self.queries.remove(&id) else {
            return;
        };
        match (view, query.cancels) {
            (JobStateReply::Known(state), false) => {
                self.answer(ctx, query.call, ClientAnswer::State(state));
            }
            (JobStateReply::Known(_), true) => {
                self.answer(ctx, query.call, ClientAnswer::Cancelled)
            }
            (JobStateReply::Loading, true) => {
                self.refuse(ctx, query.call, "the leader is starting")
            }
            (JobStateReply::UnknownToLeader, true) if query.row_looked_up => {
                // The job is recorded, so it may run.
                self.refuse(ctx, query.call, "the leader does not know the job yet");
            }
            (JobStateReply::UnknownToLeader | JobStateReply::Loading, _) => {
                self.look_up(ctx, query)
            }
        }
    }

    pub(crate) fn on_advice(&mut self, ctx: &mut Ctx, rpc: RpcId, reply: AdviceReply) {
        let Some(query) = self.advice.remove(&rpc) else {
            return;
        };
        if let Some(link) = self.leader {
            send(ctx, link, ToLeader::Advice { query, reply });
        }
    }

    /// Handles the queries that the leader did not answer in time.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        let timeout = |query: &LeaderQuery| match query.cancels {
            true => consts::CANCEL_TIMEOUT_MS,
            false => consts::QUERY_TIMEOUT_MS,
        };
        let overdue = |(id, query): (&QueryId, &LeaderQuery)| {
            (now.since(query.since) >= timeout(query)).then_some(*id)
        };
        let overdue: Vec<QueryId> = self.queries.iter().filter_map(overdue).collect();
        for id in overdue {
            let Some(query) = self.queries.remove(&id) else {
                continue;
            };
            ctx.log(
                LogEvent::warn("ask_unanswered")
                    .with("job", &query.job)
                    .with("cancels", query.cancels),
            );
            self.on_leader_unavailable(ctx, query);
        }
    }
}

fn send(ctx: &mut Ctx, link: LinkId, message: ToLeader) {
    if link == LOCAL_LINK {
        ctx.inbox.push(message);
    } else {
        ctx.push(Effect::ToLeader(link, message));
    }
}

/// Returns the key of the row with a job's progress.
pub(crate) fn progress_key(job: &JobId) -> RowKey {
    RowKey::new(Table::Progress, consts::CELL_PARTITION, job.as_str())
}

fn parse_job_id(rest: &str) -> Result<JobId, ClientAnswer> {
    if rest.contains('/') || rest.is_empty() {
        return Err(ClientAnswer::NoQueue);
    }
    let is_valid = rest.len() == JOB_ID_DIGITS && rest.bytes().all(|c| c.is_ascii_hexdigit());
    match is_valid {
        true => Ok(JobId::new(rest)),
        false => Err(ClientAnswer::Malformed(
            "the job's id: expected 16 hexadecimal digits".into(),
        )),
    }
}
