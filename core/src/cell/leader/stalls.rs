//! Log events about steps that have waited for long and about the runs that keep tasks waiting.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            schedule::MAX_CLOCK_AGE_MS,
            worker::{Run, RunPhase},
            Leader,
        },
        LogEvent, StepKey,
    },
    Millis,
};
use std::collections::BTreeMap;

impl Leader {
    /// Logs what keeps ready work from starting, from time to time.
    pub(crate) fn log_stalls(&mut self, ctx: &mut Ctx) {
        if ctx.now < self.log_stalls_at {
            return;
        }
        self.log_stalls_at = ctx.now + consts::STALL_LOG_INTERVAL_MS;
        self.log_stalled_steps(ctx);
        self.log_stalled_runs(ctx);
    }

    /// Logs up to [`consts::MAX_LOGGED_STALLS`] stalled steps, those that have waited the longest first.
    fn log_stalled_steps(&self, ctx: &mut Ctx) {
        let stalled = self.stalled_steps(ctx.now);
        let count = stalled.len();
        if count > 0 {
            self.log_waiting_work(ctx, &stalled);
        }
        for (since, key) in stalled.into_iter().take(consts::MAX_LOGGED_STALLS) {
            if let Some(event) = self.stall_event(ctx.now, &key) {
                let event = event.with("ready_ms", ctx.now.since(since).0);
                ctx.log(event.with("stalled", count));
            }
        }
    }

    /// Logs what all stalled steps wait for, the calls for advice that wait, and how much of the usable
    /// workers' processors is in use or reserved.
    fn log_waiting_work(&self, ctx: &mut Ctx, stalled: &[(Millis, StepKey)]) {
        let mut waits: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, key) in stalled {
            *waits.entry(self.pending.wait_name(key)).or_default() += 1;
        }
        let waits: Vec<String> = waits
            .into_iter()
            .map(|(name, steps)| format!("{name}:{steps}"))
            .collect();
        let [short_calls, long_calls] = &self.advice.waiting;
        let oldest_call = self.advice.oldest_waiting_since();
        let (mut usable, mut capacity, mut used, mut reserved) = (0, 0u64, 0u64, 0u64);
        for (_, worker) in self.fleet.iter() {
            if worker.is_usable(ctx.now, MAX_CLOCK_AGE_MS) {
                usable += 1;
                capacity = capacity.saturating_add(worker.capacity().cpu_milli);
                used = used.saturating_add(worker.used.cpu_milli);
                reserved = reserved.saturating_add(worker.reserved.cpu_milli);
            }
        }
        let event = LogEvent::info("work_waiting")
            .with("stalled", stalled.len())
            .with("waits", waits.join(","))
            .with("pending", self.pending.len())
            .with("callers", self.advice.callers.len())
            .with("short_calls", short_calls.len())
            .with("long_calls", long_calls.len());
        let event = event
            .with(
                "oldest_call_ms",
                oldest_call.map_or(0, |at| ctx.now.since(at).0),
            )
            .with("usable", usable)
            .with("cpu_milli", capacity)
            .with("used_milli", used)
            .with("reserved_milli", reserved);
        ctx.log(event);
    }

    /// Logs up to [`consts::MAX_LOGGED_STALLS`] runs that have not been known to be active for at least
    /// [`consts::STALL_THRESHOLD_MS`], the longest first. Their tasks wait until they have ended.
    fn log_stalled_runs(&self, ctx: &mut Ctx) {
        let is_stalled = |run: &Run| {
            let is_active = matches!(run.phase, RunPhase::Active);
            !is_active && ctx.now.since(run.phase_since) >= consts::STALL_THRESHOLD_MS
        };
        let mut stalled = Vec::new();
        for (ix, worker) in self.fleet.iter() {
            let runs = worker.runs.iter().filter(|(_, run)| is_stalled(run));
            stalled.extend(runs.map(|(task, run)| (run.phase_since, ix, task)));
        }
        let count = stalled.len();
        stalled.sort_unstable();
        for (since, ix, task) in stalled.into_iter().take(consts::MAX_LOGGED_STALLS) {
            let worker = self.fleet.get(ix);
            let run = &worker.runs[task];
            let event = LogEvent::warn("run_stalled")
                .with("task", task)
                .with("run", run.number);
            let event = event
                .with("worker", worker.id())
                .with("phase", run.phase.name())
                .with("phase_ms", ctx.now.since(since).0)
                .with("confirmed", run.confirmed_at.is_some());
            let event = event
                .with("listed", worker.listed)
                .with("silent_ms", ctx.now.since(worker.answered_at).0);
            ctx.log(event.with("stalled", count));
        }
    }

    /// Returns the steps that have waited for at least [`consts::STALL_THRESHOLD_MS`], each with the time
    /// since when, oldest first.
    fn stalled_steps(&self, now: Millis) -> Vec<(Millis, StepKey)> {
        let is_stalled = |since: &Millis| now.since(*since) >= consts::STALL_THRESHOLD_MS;
        let mut stalled: Vec<(Millis, StepKey)> = Vec::new();
        for (id, job) in &self.jobs {
            for (at, step) in job.steps.iter().enumerate() {
                if let Some(since) = step.waiting_since.filter(is_stalled) {
                    let key = StepKey {
                        job: id.clone(),
                        occurrence: 0,
                        step: at as u16,
                    };
                    stalled.push((since, key));
                }
            }
        }
        stalled.sort_unstable();
        stalled
    }

    /// Returns the log event for a stalled step, with the inputs of its placement.
    fn stall_event(&self, now: Millis, key: &StepKey) -> Option<LogEvent> {
        let job = self.jobs.get(&key.job)?;
        let at = usize::from(key.step);
        let (spec, step) = (&job.row.submission.steps[at], &job.steps[at]);
        let policy = self.policy.as_ref()?;
        let queue = policy.queue(&job.row);
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let advice = &step.advice;
        let (mut allowed, mut tickets, mut usable, mut slots) = (0, 0, 0, 0);
        for (ix, worker) in self.fleet.iter() {
            let service = worker.paired().map(|entry| entry.service.clone());
            let serves = queue.is_some_and(|queue| service.as_ref() == Some(&queue.service));
            if !serves || (needs_ticket && !advice.allows(ix)) {
                continue;
            }
            allowed += 1;
            tickets += usize::from(advice.ticket(ix, now).is_some());
            if worker.is_usable(now, MAX_CLOCK_AGE_MS) {
                usable += 1;
                slots += spec
                    .need
                    .count_in(&worker.free())
                    .min(u64::from(spec.count));
            }
        }
        let headroom = self.team_headroom(policy, job, at);
        let calls = advice.in_flight.iter();
        let calls = calls.filter_map(|id| self.advice.requests.get(id));
        let call_since = calls.map(|request| request.requested_at).min();
        let event = LogEvent::warn("step_stalled")
            .with("step", key)
            .with("wait", self.pending.wait_name(key))
            .with("gang", spec.gang)
            .with("tasks", spec.count)
            .with("running", step.running())
            .with("pending", self.pending.contains(key))
            .with("call", !advice.in_flight.is_empty())
            .with("call_ms", call_since.map_or(0, |at| now.since(at).0))
            .with("advised", advice.permissions.len())
            .with("allowed", allowed)
            .with("tickets", tickets);
        let event = event
            .with("usable", usable)
            .with("slots", slots)
            .with("headroom", headroom.min(u64::from(u32::MAX)))
            .with("planned", step.awaited.workers.len());
        Some(event.with("surplus", job.surplus))
    }
}
