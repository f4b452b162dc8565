//! Placements whose starts wait for the store or for tickets.
//!
//! A ticket may expire while its placement is being stored. The placement is kept and the ticket is
//! renewed: a placement that is dropped for an expired ticket meets the same slow store again.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{fleet::WorkerIx, step::TaskRun, waiting_calls::Room, worker::RunPhase, Leader},
        AdviceCost, LogEvent, StepKey, TaskKey,
    },
    Millis,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long stored placements may wait for new tickets before their room is released.
const MAX_TICKET_WAIT_MS: Millis = Millis(6_000);

/// A step with placements whose starts have not been sent.
#[derive(Debug)]
struct UnsentStep {
    check_at: Millis,
    /// Since when a stored placement has waited for a new ticket.
    expired_since: Option<Millis>,
}

/// The steps with placements whose starts have not been sent.
#[derive(Debug, Default)]
pub(crate) struct UnsentStarts {
    steps: BTreeMap<StepKey, UnsentStep>,
    by_check: BTreeSet<(Millis, StepKey)>,
}

/// A placed run whose start has not been sent.
#[derive(Clone, Copy, Debug)]
struct UnsentRun {
    ix: WorkerIx,
    is_stored: bool,
}

impl UnsentStarts {
    /// Adds a step, to be checked at `check_at` unless it has a check already.
    pub(crate) fn add(&mut self, key: &StepKey, check_at: Millis) {
        if !self.steps.contains_key(key) {
            let expired_since = None;
            let step = UnsentStep {
                check_at,
                expired_since,
            };
            self.steps.insert(key.clone(), step);
            self.by_check.insert((check_at, key.clone()));
        }
    }

    /// Records that the start of a stored placement waits for a new ticket; the step is checked at once
    /// unless it waits already.
    pub(crate) fn hold(&mut self, key: &StepKey, now: Millis) {
        self.add(key, now);
        let step = self.steps.get(key);
        if step.is_some_and(|step| step.expired_since.is_none()) {
            self.reschedule(key, now);
        }
    }

    /// Changes the time of a step's next check.
    pub(crate) fn reschedule(&mut self, key: &StepKey, check_at: Millis) {
        if let Some(step) = self.steps.get_mut(key) {
            self.by_check.remove(&(step.check_at, key.clone()));
            step.check_at = check_at;
            self.by_check.insert((check_at, key.clone()));
        }
    }

    fn remove(&mut self, key: &StepKey) {
        if let Some(step) = self.steps.remove(key) {
            self.by_check.remove(&(step.check_at, key.clone()));
        }
    }

    /// Returns the steps whose check is due.
    fn due(&self, now: Millis) -> Vec<StepKey> {
        let due = self.by_check.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, key)| key.clone()).collect()
    }

    /// Records whether a stored placement of a step waits for a new ticket; returns whether one began
    /// to wait.
    fn set_expired(&mut self, key: &StepKey, expired: bool, now: Millis) -> bool {
        let Some(step) = self.steps.get_mut(key) else {
            return false;
        };
        let begins = expired && step.expired_since.is_none();
        step.expired_since = expired.then(|| step.expired_since.unwrap_or(now));
        begins
    }

    /// Returns whether the step's stored placements may wait longer for new tickets.
    pub(crate) fn may_wait(&self, key: &StepKey, now: Millis) -> bool {
        let step = self.steps.get(key);
        let since = step.and_then(|step| step.expired_since);
        since.is_none_or(|since| now.since(since) < MAX_TICKET_WAIT_MS)
    }
}

impl Leader {
    /// Checks the steps that are due: queues the starts of their stored placements again and renews
    /// their tickets.
    pub(crate) fn check_unsent_starts(&mut self, ctx: &mut Ctx) {
        for key in self.unsent_starts.due(ctx.now) {
            self.check_unsent_step(ctx, &key);
        }
    }

    fn check_unsent_step(&mut self, ctx: &mut Ctx, key: &StepKey) {
        let unsent = self.unsent_runs(key);
        let Some(job) = self.jobs.get(&key.job).filter(|_| !unsent.is_empty()) else {
            return self.unsent_starts.remove(key);
        };
        let stored_edits = job.stored_edits;
        let Some(cost) = self.advice_cost(key) else {
            self.unsent_starts.remove(key);
            return self.queue_recorded_starts(&key.job, stored_edits);
        };
        let advice = &job.steps[usize::from(key.step)].advice;
        let has_expired =
            |run: &&UnsentRun| run.is_stored && advice.ticket(run.ix, ctx.now).is_none();
        let expired = unsent.iter().filter(has_expired).count();
        if self.unsent_starts.set_expired(key, expired > 0, ctx.now) {
            let event = LogEvent::info("start_waiting").with("step", key);
            ctx.log(event.with("placed", unsent.len()).with("expired", expired));
        }
        self.queue_recorded_starts(&key.job, stored_edits);
        let check_at = self.renew_unsent_tickets(ctx.now, key, &unsent, cost);
        self.unsent_starts.reschedule(key, check_at);
    }

    /// Returns the cost of a call for advice on a step; `None` if its tasks need no tickets.
    pub(crate) fn advice_cost(&self, key: &StepKey) -> Option<AdviceCost> {
        let job = self.jobs.get(&key.job)?;
        self.policy.as_ref()?.advice_cost(&job.row)
    }

    /// Returns the placed runs of a step whose starts have not been sent.
    fn unsent_runs(&self, key: &StepKey) -> Vec<UnsentRun> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let unsent = |(index, TaskRun { worker: ix, .. }): (u32, TaskRun)| {
            let step = key.clone();
            let run = self.fleet.get(ix).runs.get(&TaskKey { step, index })?;
            let RunPhase::Placed(edit) = run.phase else {
                return None;
            };
            Some(UnsentRun {
                ix,
                is_stored: edit <= job.stored_edits,
            })
        };
        let runs = job.steps[usize::from(key.step)].runs();
        runs.filter_map(unsent).collect()
    }

    /// Requests new tickets if some expire before a call for them would end. Returns the time of the
    /// next check.
    fn renew_unsent_tickets(
        &mut self,
        now: Millis,
        key: &StepKey,
        unsent: &[UnsentRun],
        cost: AdviceCost,
    ) -> Millis {
        let min_check_at = now + consts::ADVICE_RETRY_DELAY_MS;
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return min_check_at;
        };
        let advice = &job.steps[at].advice;
        let places: Vec<WorkerIx> = unsent.iter().map(|run| run.ix).collect();
        let workers = match job.row.submission.steps[at].gang {
            true => advice.tickets_to_renew(&places, now, cost, self.advice.max_long_calls()),
            false => advice.expiring(&places, now, cost),
        };
        let named = workers.len().min(consts::MAX_ADVICE_WORKERS);
        let call_ms = Millis(cost.call_us(named).div_ceil(1_000));
        let expires_at = places.iter().map(|ix| advice.expires_at(*ix)).min();
        let renew_at = expires_at.unwrap_or_default().since(call_ms);
        if renew_at > now {
            return renew_at.max(min_check_at);
        }
        let job = self.jobs.get(&key.job);
        if job.is_some_and(|job| job.steps[at].advice.in_flight.is_empty()) {
            // No task of the step waits for the tickets of this call.
            self.release_awaited(key);
        }
        self.request_advice(now, key, workers, cost, Room::Held);
        min_check_at
    }
}
