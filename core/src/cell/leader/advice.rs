//! Advice: which workers may run a step, and the tickets that its tasks need to start there.
//!
//! The advice service handles one call at a time from each daemon. The leader therefore spreads the
//! calls across all daemons, reserves some of them for short calls, and caches the answers: the set
//! of workers that may run a step does not change.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            advice_dispatcher::{AdviceRequest, InFlightCall},
            awaited_places::RoomCheck,
            fleet::WorkerIx,
            waiting_calls::Room,
            Leader,
        },
        AdviceCost, AdviceReply, LogEvent, QueryId, StepKey, TaskKey, Ticket, ToMember,
    },
    Millis, WorkerId,
};
use std::collections::BTreeMap;

/// Whether one worker may run one step.
#[derive(Clone, Debug)]
pub(crate) enum Permission {
    /// The worker may not run the step.
    Denied,
    /// The worker may run the step, with a ticket that is valid until this time.
    Allowed(Ticket, Millis),
}

/// The advice received on a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    pub(crate) permissions: BTreeMap<WorkerIx, Permission>,
    /// The requests that are not answered yet.
    pub(crate) in_flight: Vec<QueryId>,
    /// When the request was made that the next answer is for, or an earlier one that was withdrawn.
    pub(crate) requested_since: Option<Millis>,
    /// After a failed call, no advice is requested before this time.
    pub(crate) retry_at: Millis,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if it is still valid.
    pub(crate) fn ticket(&self, ix: WorkerIx, now: Millis) -> Option<&Ticket> {
        match self.permissions.get(&ix) {
            Some(Permission::Allowed(ticket, until)) if now < *until => Some(ticket),
            _ => None,
        }
    }

    /// Chooses the workers of a gang for the next calls for tickets. If all fit into one call, all are
    /// named, so that their tickets are valid at the same time. Otherwise, those whose tickets expire
    /// before the expected end of the calls are named, the oldest first. `parallel_calls` are made at
    /// the same time.
    pub(crate) fn tickets_to_renew(
        &self,
        places: &[WorkerIx],
        now: Millis,
        cost: AdviceCost,
        parallel_calls: usize,
    ) -> Vec<WorkerIx> {
        let mut workers = places.to_vec();
        workers.sort_unstable();
        workers.dedup();
        if workers.len() <= consts::MAX_ADVICE_WORKERS {
            return workers;
        }
        workers.sort_by_key(|ix| self.expires_at(*ix));
        let outlives = |count: usize| {
            let calls = count.div_ceil(consts::MAX_ADVICE_WORKERS);
            let call_us = cost.call_us(count.div_ceil(calls));
            let rounds = calls.div_ceil(parallel_calls) as u64;
            let ends_at = now + Millis((rounds * call_us).div_ceil(1_000));
            self.expires_at(workers[count]) > ends_at
        };
        let count = (1..workers.len()).find(|&count| outlives(count));
        workers.truncate(count.unwrap_or(workers.len()));
        workers
    }

    /// Returns the workers whose tickets expire before the expected end of a call that names all
    /// `places`, at most [`consts::MAX_ADVICE_WORKERS`], the earliest first.
    pub(crate) fn expiring(
        &self,
        places: &[WorkerIx],
        now: Millis,
        cost: AdviceCost,
    ) -> Vec<WorkerIx> {
        let mut workers = places.to_vec();
        workers.sort_unstable();
        workers.dedup();
        let named = workers.len().min(consts::MAX_ADVICE_WORKERS);
        let ends_at = now + Millis(cost.call_us(named).div_ceil(1_000));
        workers.retain(|ix| self.expires_at(*ix) <= ends_at);
        workers.sort_by_key(|ix| self.expires_at(*ix));
        workers.truncate(consts::MAX_ADVICE_WORKERS);
        workers
    }

    /// Returns when the ticket for a worker expires; zero if there is none.
    pub(crate) fn expires_at(&self, ix: WorkerIx) -> Millis {
        match self.permissions.get(&ix) {
            Some(Permission::Allowed(_, until)) => *until,
            _ => Millis(0),
        }
    }

    /// Expires what was received on an earlier incarnation of a worker.
    fn expire(&mut self, ix: WorkerIx) {
        match self.permissions.get_mut(&ix) {
            Some(Permission::Allowed(_, until)) => *until = Millis(0),
            Some(Permission::Denied) => {
                self.permissions.remove(&ix);
            }
            None => {}
        }
    }

    /// Returns the workers that may run the step, even if their tickets have expired.
    pub(crate) fn allowed(&self) -> impl Iterator<Item = WorkerIx> + '_ {
        let permissions = self.permissions.iter();
        let allowed =
            permissions.filter(|(_, permission)| matches!(permission, Permission::Allowed(..)));
        allowed.map(|(ix, _)| *ix)
    }

    /// Returns whether the worker may not run the step.
    pub(crate) fn denies(&self, ix: WorkerIx) -> bool {
        matches!(self.permissions.get(&ix), Some(Permission::Denied))
    }

    /// Returns whether the worker may run the step, even if its ticket has expired.
    pub(crate) fn allows(&self, ix: WorkerIx) -> bool {
        matches!(self.permissions.get(&ix), Some(Permission::Allowed(..)))
    }
}

impl Leader {
    /// Requests advice on a step, unless a call for it is in flight or has just failed; returns whether it
    /// did. More workers than one call names are named in several calls, which different daemons make at
    /// the same time.
    pub(crate) fn request_advice(
        &mut self,
        now: Millis,
        step: &StepKey,
        mut workers: Vec<WorkerIx>,
        cost: AdviceCost,
        room: Room,
    ) -> bool {
        let Some(policy) = &self.policy else {
            return false;
        };
        let latest_start_ms = self.rank(policy, step).latest_start_ms;
        workers.truncate(consts::MAX_ADVICE_WORKERS * consts::MAX_ADVICE_CALLS_PER_STEP);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return false;
        };
        let advice = &mut job.steps[usize::from(step.step)].advice;
        if !advice.in_flight.is_empty() || now < advice.retry_at || workers.is_empty() {
            return false;
        }
        let requested_at = *advice.requested_since.get_or_insert(now);
        let calls = workers.len().div_ceil(consts::MAX_ADVICE_WORKERS);
        for workers in workers.chunks(workers.len().div_ceil(calls)) {
            let id = self.advice.add(AdviceRequest {
                step: step.clone(),
                workers: workers.to_vec(),
                cost,
                latest_start_ms,
                requested_at,
                incarnations: Vec::new(),
                sent: None,
                room,
            });
            advice.in_flight.push(id);
        }
        true
    }

    /// Handles calls that timed out as lost, and sends waiting requests to daemons with capacity.
    pub(crate) fn dispatch_advice(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        for id in self.advice.timed_out(now) {
            self.on_advice(ctx, id, AdviceReply::Lost);
        }
        while let Some((id, link, reason)) = self.advice.next(now) {
            let Some(step) = self
                .advice
                .requests
                .get(&id)
                .map(|request| request.step.clone())
            else {
                return;
            };
            if self.reserve_awaited(&step) == RoomCheck::Taken {
                self.replace_requests(ctx, &step);
                continue;
            }
            self.advice.note_sent(id, reason);
            let others = self.open_requests(&step);
            for other in others.into_iter().filter(|other| *other != id) {
                self.advice.hold_room(other);
            }
            let Some(request) = self.advice.requests.get_mut(&id) else {
                return;
            };
            let long = request.is_long();
            request.sent = Some((link, now));
            let incarnation = |ix: &WorkerIx| self.fleet.get(*ix).paired_incarnation();
            request.incarnations = request.workers.iter().map(incarnation).collect();
            let name = |ix: &WorkerIx| self.fleet.get(*ix).id().clone();
            let message = ToMember::Advise {
                query: id,
                step: request.step.clone(),
                workers: request.workers.iter().map(name).collect(),
                timeout_ms: request.timeout_ms(),
            };
            let times_out_at = now + request.timeout_ms() + consts::STORE_RETRY_DELAY_MS;
            if let Some(caller) = self.advice.callers.get_mut(&link) {
                caller.calls.push(InFlightCall {
                    id,
                    long,
                    times_out_at,
                });
            }
            ctx.send_member(link, message);
        }
    }

    /// Returns the requests for a step that are not answered yet.
    fn open_requests(&self, step: &StepKey) -> Vec<QueryId> {
        let job = self.jobs.get(&step.job);
        let advice = job.map(|job| &job.steps[usize::from(step.step)].advice);
        advice.map_or(Vec::new(), |advice| advice.in_flight.clone())
    }

    /// Withdraws a step's requests; returns when the first one was made.
    pub(crate) fn withdraw_requests(&mut self, step: &StepKey) -> Option<Millis> {
        let open = self.open_requests(step);
        let requests = open.iter().filter_map(|id| self.advice.take(*id));
        let since = requests.map(|request| request.requested_at).min();
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.steps[usize::from(step.step)].advice.in_flight.clear();
        }
        since
    }

    /// Withdraws a step's requests, none of which has been sent, because others have taken the room that its
    /// tasks were to start on, and looks for other room at once. A request for that counts from when the
    /// first one was made.
    fn replace_requests(&mut self, ctx: &mut Ctx, step: &StepKey) {
        let since = self.withdraw_requests(step);
        if self.pending.wake(step) {
            self.needs_pass = true;
            if let Some(policy) = self.policy.clone() {
                self.place_step(ctx, &policy, step);
            }
        }
        let event = LogEvent::info("advice_withdrawn").with("step", step);
        let waited_ms = since.map_or(Millis(0), |since| ctx.now.since(since));
        let event = event
            .with("why", "room_taken")
            .with("waited_ms", waited_ms.0);
        ctx.log(event.with("replaced", !self.open_requests(step).is_empty()));
    }

    /// Handles the advice service's answer to a request.
    pub(crate) fn on_advice(&mut self, ctx: &mut Ctx, id: QueryId, reply: AdviceReply) {
        let Some(request) = self.advice.take(id) else {
            return;
        };
        self.needs_pass = true;
        let Some(job) = self.jobs.get_mut(&request.step.job) else {
            return;
        };
        let advice = &mut job.steps[usize::from(request.step.step)].advice;
        advice.in_flight.retain(|open| *open != id);
        advice.requested_since = None;
        match reply {
            AdviceReply::Allowed(rows) => self.on_allowed(ctx, &request, rows, true),
            AdviceReply::PartlyAllowed(rows) => self.on_allowed(ctx, &request, rows, false),
            AdviceReply::Busy | AdviceReply::Lost => {
                advice.retry_at = ctx.now + consts::ADVICE_RETRY_DELAY_MS;
                self.on_advice_missing(ctx, &request, &reply);
            }
        }
        self.unsent_starts.reschedule(&request.step, ctx.now);
        self.refresh_pending_steps(&request.step.job);
        self.pending.wake(&request.step);
    }

    /// Stores the tickets of an answer. Workers that a complete answer does not name are denied; after
    /// another one, advice on them is requested again.
    fn on_allowed(
        &mut self,
        ctx: &mut Ctx,
        request: &AdviceRequest,
        rows: Vec<(WorkerId, Ticket)>,
        is_complete: bool,
    ) {
        let sent_at = request.sent.map_or(ctx.now, |(_, at)| at);
        let event = match is_complete {
            true => LogEvent::info("advice_given"),
            false => LogEvent::warn("advice_given").with("complete", is_complete),
        };
        let event = event.with("step", &request.step);
        let event = event
            .with("asked", request.workers.len())
            .with("allowed", rows.len());
        let event = event.with("took_ms", ctx.now.since(sent_at).0);
        ctx.log(event.with("queued_ms", sent_at.since(request.requested_at).0));
        let Some(job) = self.jobs.get_mut(&request.step.job) else {
            return;
        };
        let advice = &mut job.steps[usize::from(request.step.step)].advice;
        let until = ctx.now + request.cost.valid_ms.since(consts::TICKET_MARGIN_MS);
        let rows: BTreeMap<WorkerId, Ticket> = rows.into_iter().collect();
        for (&ix, incarnation) in request.workers.iter().zip(&request.incarnations) {
            let worker = self.fleet.get(ix);
            let permission = match rows.get(worker.id()) {
                Some(ticket) => Permission::Allowed(ticket.clone(), until),
                None if !is_complete => continue,
                None => Permission::Denied,
            };
            advice.permissions.insert(ix, permission);
            // The service may have gone by the entry of another incarnation.
            if incarnation.is_none() || worker.paired_incarnation() != *incarnation {
                advice.expire(ix);
            }
        }
    }

    /// Pauses calls through the daemon whose call for advice failed, and then prefers other daemons for
    /// [`consts::ADVICE_AVOIDANCE_MS`].
    fn on_advice_missing(&mut self, ctx: &mut Ctx, request: &AdviceRequest, reply: &AdviceReply) {
        let sent_at = request.sent.map_or(ctx.now, |(_, at)| at);
        let link = request.sent.map(|(link, _)| link);
        if let Some(caller) = link.and_then(|link| self.advice.callers.get_mut(&link)) {
            caller.retry_at = ctx.now + consts::ADVICE_RETRY_DELAY_MS;
            caller.avoided_until = ctx.now + consts::ADVICE_AVOIDANCE_MS;
        }
        let event = LogEvent::warn("advice_missing").with("step", &request.step);
        let event = event.with("reply", format_args!("{reply:?}"));
        ctx.log(event.with("took_ms", ctx.now.since(sent_at).0));
    }

    /// Marks a ticket that a worker refused as expired.
    pub(crate) fn expire_ticket(&mut self, task: &TaskKey, ix: WorkerIx) {
        let at = usize::from(task.step.step);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let permissions = &mut job.steps[at].advice.permissions;
            if let Some(Permission::Allowed(_, until)) = permissions.get_mut(&ix) {
                *until = Millis(0);
            }
        }
    }

    /// Marks the tickets that were issued for earlier incarnations of workers as expired, and removes
    /// denials, since the new incarnation may be of another kind.
    pub(crate) fn expire_invalidated_tickets(&mut self) {
        for ix in std::mem::take(&mut self.advice.invalidated) {
            for step in self.jobs.values_mut().flat_map(|job| &mut job.steps) {
                step.advice.expire(ix);
            }
        }
    }
}
