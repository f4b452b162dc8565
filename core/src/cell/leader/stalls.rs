//! Log events about steps that are ready but have not started for long.

use crate::{
    cell::{
        consts,
        leader::{schedule::MAX_CLOCK_AGE_MS, Leader},
        node::Ctx,
        LogEvent, StepKey,
    },
    Millis,
};

impl Leader {
    /// Logs up to [`consts::MAX_LOGGED_STALLS`] stalled steps, those that have waited the longest first.
    pub(crate) fn log_stalled_steps(&mut self, ctx: &mut Ctx) {
        if ctx.now < self.log_stalls_at {
            return;
        }
        self.log_stalls_at = ctx.now + consts::STALL_LOG_INTERVAL_MS;
        let stalled = self.stalled_steps(ctx.now);
        let count = stalled.len();
        for (since, key) in stalled.into_iter().take(consts::MAX_LOGGED_STALLS) {
            if let Some(event) = self.stall_event(ctx.now, &key) {
                let event = event.with("ready_ms", ctx.now.since(since).0);
                ctx.log(event.with("stalled", count));
            }
        }
    }

    /// Returns the steps that have been ready for at least [`consts::STALL_THRESHOLD_MS`] without a
    /// running task, each with the time since when it has waited, oldest first.
    fn stalled_steps(&self, now: Millis) -> Vec<(Millis, StepKey)> {
        let is_stalled = |since: &Millis| now.since(*since) >= consts::STALL_THRESHOLD_MS;
        let mut stalled: Vec<(Millis, StepKey)> = Vec::new();
        for (id, job) in &self.jobs {
            for (at, step) in job.steps.iter().enumerate() {
                if let Some(since) = step.ready_since.filter(is_stalled) {
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
        let state = self.state.as_ref()?;
        let queue = state.queue(&job.row.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let advice = &step.advice;
        let (mut allowed, mut tickets, mut usable, mut slots) = (0, 0, 0, 0);
        for (ix, worker) in self.fleet.iter() {
            let serves = queue.is_some_and(|queue| queue.service == worker.entry.service);
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
        let headroom = self.team_headroom(state, job.row.team.as_ref(), &spec.need);
        let event = LogEvent::warn("step_stalled")
            .with("step", key)
            .with("gang", spec.gang)
            .with("tasks", spec.count)
            .with("pending", self.pending.contains(key))
            .with("call", advice.in_flight.is_some())
            .with("advised", advice.permissions.len())
            .with("allowed", allowed)
            .with("tickets", tickets);
        let event = event
            .with("usable", usable)
            .with("slots", slots)
            .with("headroom", headroom.min(u64::from(u32::MAX)))
            .with("planned", step.plan.as_ref().map_or(0, Vec::len));
        Some(event.with("surplus", job.surplus))
    }
}
