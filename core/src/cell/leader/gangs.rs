//! Placement of gangs: all members start together on workers with valid tickets, or room is
//! reserved for them.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{
            candidates::may_run,
            fit::{fit_gang, rack_count, spare_workers, Candidate},
            fleet::WorkerIx,
            gang_wait::GangWait,
            schedule::MAX_CLOCK_AGE_MS,
            wait::Wait,
            waiting_calls::Room,
            Leader,
        },
        LogEvent, Queue, StepKey, TaskKey,
    },
    JobId, Millis, Resources,
};

/// Gangs of up to this many members are woken by each worker that may run them and has new room; larger
/// ones are examined one after another.
const MAX_SMALL_GANG: u32 = 8;

/// The resources that a gang needs.
#[derive(Clone, Copy, Debug)]
struct GangNeed {
    /// The resources of one member.
    member: Resources,
    /// The number of members.
    count: u32,
    /// Whether all members should run in one rack if any has room for them.
    same_rack: bool,
}

impl GangNeed {
    /// Chooses a worker for each member; `None` if there is no room for all.
    fn fit(&self, candidates: &[Candidate]) -> Option<Vec<WorkerIx>> {
        fit_gang(candidates, &self.member, self.count, self.same_rack)
    }
}

/// The workers that a pass has found for a gang.
#[derive(Debug)]
enum GangPlaces {
    /// One worker for each member, all with valid tickets.
    Startable(Vec<WorkerIx>),
    /// One worker for each member; some tickets are missing or have expired.
    TicketsMissing(Vec<WorkerIx>),
    /// There is no room for all members.
    NoRoom,
}

impl Leader {
    /// Places a gang if there is room for all members, or else reserves room for it. Returns what it waits
    /// for.
    pub(crate) fn place_gang(&mut self, ctx: &mut Ctx, queue: &Queue, key: &StepKey) -> Wait {
        let Some(job) = self.jobs.get(&key.job) else {
            return Wait::Other;
        };
        let spec = &job.row.submission.steps[usize::from(key.step)];
        let need = GangNeed {
            member: spec.need,
            count: spec.count,
            same_rack: spec.same_rack,
        };
        if let Some(places) = self.startable_places(ctx.now, queue, key) {
            self.release_awaited(key);
            self.release_kept_workers(key);
            self.place_gang_members(ctx, key, &places);
            return Wait::Other;
        }
        let previous = self.release_awaited(key);
        let candidates = self.candidates(ctx.now, queue, key);
        match self.choose_places(ctx.now, queue, key, need, &candidates) {
            GangPlaces::Startable(places) => {
                self.release_kept_workers(key);
                self.place_gang_members(ctx, key, &places);
                Wait::Other
            }
            GangPlaces::TicketsMissing(places) => {
                self.release_kept_workers(key);
                let spares = spare_workers(&candidates, &places);
                if self.request_tickets(ctx, queue, key, &previous, &places, spares) {
                    self.await_places(key, places);
                }
                let retry_at = ctx.now + consts::ADVICE_RETRY_DELAY_MS;
                self.advice_wait(ctx.now, key, Wait::Until(retry_at))
            }
            GangPlaces::NoRoom => self.wait_for_room(ctx, queue, key, &candidates),
        }
    }

    /// Chooses a worker for each member of a gang. Workers with valid tickets are preferred, unless the
    /// gang would spread over more racks than on other workers.
    fn choose_places(
        &self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        need: GangNeed,
        candidates: &[Candidate],
    ) -> GangPlaces {
        let Some(places) = need.fit(candidates) else {
            return GangPlaces::NoRoom;
        };
        let ready = self.with_tickets(now, queue, key, candidates);
        let racks = |places: &[WorkerIx]| rack_count(candidates, places);
        match need.fit(&ready) {
            Some(ready) if !need.same_rack || racks(&ready) <= racks(&places) => {
                GangPlaces::Startable(ready)
            }
            _ => GangPlaces::TicketsMissing(places),
        }
    }

    /// Returns the candidates on which tasks of a step may start now.
    fn with_tickets(
        &self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        candidates: &[Candidate],
    ) -> Vec<Candidate> {
        let job = self.jobs.get(&key.job);
        let advice = job.map(|job| &job.steps[usize::from(key.step)].advice);
        let has_ticket = |ix| advice.is_some_and(|advice| advice.ticket(ix, now).is_some());
        let ready = candidates
            .iter()
            .filter(|candidate| queue.advice.is_none() || has_ticket(candidate.ix));
        ready.cloned().collect()
    }

    /// Requests advice on more workers for a gang that finds no room, and keeps workers free for it.
    fn wait_for_room(
        &mut self,
        ctx: &mut Ctx,
        queue: &Queue,
        key: &StepKey,
        candidates: &[Candidate],
    ) -> Wait {
        let Some(job) = self.jobs.get(&key.job) else {
            return Wait::Other;
        };
        let spec = &job.row.submission.steps[usize::from(key.step)];
        let (need, count) = (spec.need, spec.count);
        let slots = candidates
            .iter()
            .map(|candidate| need.count_in(&candidate.free));
        let slots = slots.fold(0, u64::saturating_add);
        self.log_gang_wait(ctx, key, GangWait::NoRoom, |event| {
            event.with("allowed", candidates.len()).with("slots", slots)
        });
        if let Some(cost) = queue.advice {
            let workers = self.workers_without_advice(ctx.now, queue, key, 0);
            self.request_advice(ctx.now, key, workers, cost, Room::Free);
        }
        self.keep_workers_for(ctx.now, queue, key);
        let otherwise = match count <= MAX_SMALL_GANG {
            true => Wait::Room(self.room_wait(queue, key)),
            false => Wait::GangRoom,
        };
        self.advice_wait(ctx.now, key, otherwise)
    }

    /// Requests the tickets for a gang's places and for `spares`, which replace places that are
    /// unusable when the answer arrives; returns whether a call was requested. `previous` are the places of
    /// the last pass.
    fn request_tickets(
        &mut self,
        ctx: &mut Ctx,
        queue: &Queue,
        key: &StepKey,
        previous: &[WorkerIx],
        places: &[WorkerIx],
        spares: Vec<WorkerIx>,
    ) -> bool {
        let (Some(cost), Some(job)) = (queue.advice, self.jobs.get(&key.job)) else {
            return false;
        };
        let advice = &job.steps[usize::from(key.step)].advice;
        let has_ticket = |ix: &&WorkerIx| advice.ticket(**ix, ctx.now).is_some();
        let missing = places.len() - places.iter().filter(has_ticket).count();
        let parallel_calls = self.advice.max_long_calls();
        let mut workers = advice.tickets_to_renew(places, ctx.now, cost, parallel_calls);
        workers.extend(spares);
        self.log_missing_tickets(ctx, key, previous, places, missing);
        self.request_advice(ctx.now, key, workers, cost, Room::Free)
    }

    /// Logs that a gang waits for `missing` tickets, and how its places differ from the `previous` ones.
    fn log_missing_tickets(
        &mut self,
        ctx: &mut Ctx,
        key: &StepKey,
        previous: &[WorkerIx],
        places: &[WorkerIx],
        missing: usize,
    ) {
        let kept = places.iter().filter(|ix| previous.contains(ix)).count();
        let is_unusable =
            |ix: &&WorkerIx| !self.fleet.get(**ix).is_usable(ctx.now, MAX_CLOCK_AGE_MS);
        let unusable = previous.iter().filter(is_unusable).count();
        self.log_gang_wait(ctx, key, GangWait::Tickets, |event| {
            let event = event.with("members", places.len()).with("kept", kept);
            event.with("unusable", unusable).with("missing", missing)
        });
    }

    /// Logs why a pass left a gang unplaced: at once if the reason is new, otherwise from time to
    /// time.
    fn log_gang_wait(
        &mut self,
        ctx: &mut Ctx,
        key: &StepKey,
        wait: GangWait,
        with_inputs: impl FnOnce(LogEvent) -> LogEvent,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let accepted_at = job.accepted_at;
        let logged = &mut job.steps[usize::from(key.step)].logged_wait;
        let is_due = logged.is_none_or(|(reason, at)| {
            reason != wait || ctx.now.since(at) >= consts::GANG_WAIT_LOG_INTERVAL_MS
        });
        if is_due {
            *logged = Some((wait, ctx.now));
            let event = LogEvent::info("gang_waiting").with("step", key);
            let event = event.with("why", wait);
            let event = event.with("job_age_ms", ctx.now.since(accepted_at).0);
            ctx.log(with_inputs(event));
        }
    }

    fn place_gang_members(&mut self, ctx: &mut Ctx, key: &StepKey, places: &[WorkerIx]) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let number = self.next_run(job.steps[at].last_run_of_all());
        let event = LogEvent::info("gang_placed")
            .with("step", key)
            .with("members", places.len());
        ctx.log(event.with("run", number));
        for (index, &ix) in places.iter().enumerate() {
            let task = TaskKey {
                step: key.clone(),
                index: index as u32,
            };
            self.record_placement(ix, task, number);
        }
        self.refresh_pending_steps(&key.job);
    }

    /// Returns the workers on which a gang awaited tickets, one for each member, if all are usable, have
    /// room and have valid tickets.
    fn startable_places(&self, now: Millis, queue: &Queue, key: &StepKey) -> Option<Vec<WorkerIx>> {
        let step = &self.jobs.get(&key.job)?.steps[usize::from(key.step)];
        let places = &step.awaited.workers;
        let is_usable_place = |ix: &WorkerIx| {
            let ticket = queue.advice.is_none() || step.advice.ticket(*ix, now).is_some();
            let worker = self.fleet.get(*ix);
            ticket && worker.is_usable(now, MAX_CLOCK_AGE_MS) && worker.has_reserved_room()
        };
        let can_start = !places.is_empty() && places.iter().all(is_usable_place);
        can_start.then(|| places.clone())
    }

    /// Releases the room reserved for a gang that can't start because of its team's limit, so that
    /// other teams can use it. Does nothing if no room is reserved.
    pub(crate) fn release_blocked_places(&mut self, ctx: &mut Ctx, key: &StepKey) {
        let previous = self.release_awaited(key);
        if !previous.is_empty() {
            self.log_gang_wait(ctx, key, GangWait::TeamLimit, |event| {
                event.with("released", previous.len())
            });
        }
    }

    /// Releases the room reserved for the steps of a job that has ended.
    pub(crate) fn release_job_rooms(&mut self, id: &JobId) {
        let count = self.jobs.get(id).map_or(0, |job| job.steps.len());
        for step in 0..count as u16 {
            let key = StepKey {
                job: id.clone(),
                occurrence: 0,
                step,
            };
            self.release_awaited(&key);
            self.release_kept_workers(&key);
        }
    }

    /// Keeps whole workers free for a gang that can still end in time but finds no room, those with the
    /// most free processors first.
    fn keep_workers_for(&mut self, now: Millis, queue: &Queue, key: &StepKey) {
        if !self.pending.is_in_time(key) || !self.may_keep_workers(key) {
            return self.release_kept_workers(key);
        }
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (spec, advice) = (&job.row.submission.steps[at], &job.steps[at].advice);
        let max_on_worker = spec.per_worker.map_or(u64::MAX, u64::from);
        let mut missing = u64::from(spec.count);
        let (mut workers, mut considered) = (Vec::new(), 0);
        for ix in self.fleet.by_free(0).rev() {
            considered += 1;
            let worker = self.fleet.get(ix);
            let is_allowed = queue.advice.is_none() || advice.allows(ix);
            let is_kept = self.kept_workers.keeper(ix).is_some_and(|own| own != key);
            let is_eligible = is_allowed && !is_kept && may_run(worker, queue, spec);
            if !is_eligible || !worker.is_usable(now, MAX_CLOCK_AGE_MS) {
                continue;
            }
            let members = spec.need.count_in(&worker.capacity()).min(max_on_worker);
            if members > 0 {
                workers.push(ix);
                missing = missing.saturating_sub(members);
            }
            if missing == 0 {
                break;
            }
        }
        self.work.workers_considered += considered;
        match missing {
            0 => self.keep_workers(key, workers),
            _ => self.release_kept_workers(key),
        }
    }
}
