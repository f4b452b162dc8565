//! Gangs: all members start together, on places whose tickets are at hand, or room is kept for them.

use crate::{
    cell::{
        leader::{
            fleet::WorkerIx,
            placement::place_gang,
            schedule::{Pass, Turn, CLOCK_AGE_MS},
            Leader,
        },
        node::Ctx,
        DesiredState, Line, Queue, StepKey, TaskKey,
    },
    JobId, Millis, Resources,
};

/// The most gangs for which room is kept at a time.
const KEPT_GANGS: usize = 2;

impl Leader {
    /// Starts a gang if there is room for all of it, or keeps room for it.
    pub(crate) fn place_whole(
        &mut self,
        ctx: &mut Ctx,
        state: &DesiredState,
        queue: &Queue,
        turn: &Turn,
        pass: &mut Pass,
    ) {
        let key = &turn.key;
        let at = usize::from(key.step);
        let now = ctx.now;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (need, count) = (job.row.work.steps[at].need, job.row.work.steps[at].count);
        let one_rack = job.row.work.steps[at].same_rack;
        if self.team_room(state, job.row.team.as_ref(), &need) < u64::from(count) {
            return;
        }
        if let Some(places) = self.planned(ctx.now, queue, key) {
            self.drop_plan(key);
            return self.place_members(ctx, key, &places);
        }
        for ix in self.drop_plan(key) {
            pass.give(ix, &need);
        }
        let candidates = self.candidates(queue, key, pass);
        let Some(places) = place_gang(&candidates, &need, count, one_rack) else {
            if let Some(cost) = queue.advice {
                let workers = self.unasked(now, queue, key, true);
                self.ask_advice(now, key, workers, turn.latest_start_ms, cost);
            }
            return self.keep_room(now, queue, turn, pass);
        };
        for ix in &places {
            pass.take(*ix, &need);
        }
        self.start_or_fetch(ctx, queue, turn, places, need);
    }

    /// Starts a gang on its places, or fetches the tickets that are missing and keeps the places.
    fn start_or_fetch(
        &mut self,
        ctx: &mut Ctx,
        queue: &Queue,
        turn: &Turn,
        places: Vec<WorkerIx>,
        need: Resources,
    ) {
        let key = &turn.key;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let advice = &job.steps[usize::from(key.step)].advice;
        let mut stale = places.clone();
        stale.retain(|ix| queue.advice.is_some() && advice.ticket(*ix, ctx.now).is_none());
        stale.dedup();
        match queue.advice {
            Some(cost) if !stale.is_empty() => {
                self.plan(key, places, need);
                self.ask_advice(ctx.now, key, stale, turn.latest_start_ms, cost);
            }
            _ => self.place_members(ctx, key, &places),
        }
    }

    fn place_members(&mut self, ctx: &mut Ctx, key: &StepKey, places: &[WorkerIx]) {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let last = job.steps[at].tasks.iter().map(|task| task.run).max();
        let number = self.next_run(last.unwrap_or(0));
        let line = Line::info("gang_placed")
            .with("step", key)
            .with("members", places.len());
        ctx.log(line.with("run", number));
        for (index, &ix) in places.iter().enumerate() {
            let task = TaskKey {
                step: key.clone(),
                index: index as u32,
            };
            self.place(ix, task, number);
        }
        self.refresh_job(&key.job);
    }

    /// Keeps the room of a gang's members while their tickets are fetched.
    fn plan(&mut self, key: &StepKey, places: Vec<WorkerIx>, need: Resources) {
        for &ix in &places {
            let worker = self.fleet.get_mut(ix);
            worker.reserved = worker.reserved.plus(need);
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.steps[usize::from(key.step)].plan = Some(places);
        }
    }

    /// Returns the places of a plan, if the gang can start on them now.
    fn planned(&self, now: Millis, queue: &Queue, key: &StepKey) -> Option<Vec<WorkerIx>> {
        let step = &self.jobs.get(&key.job)?.steps[usize::from(key.step)];
        let places = step.plan.as_ref()?;
        let open = |ix: &WorkerIx| {
            let ticket = queue.advice.is_none() || step.advice.ticket(*ix, now).is_some();
            ticket && self.fleet.get(*ix).is_usable(now, CLOCK_AGE_MS)
        };
        places.iter().all(open).then(|| places.clone())
    }

    /// Gives the room of a plan back and returns where it was.
    fn drop_plan(&mut self, key: &StepKey) -> Vec<WorkerIx> {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return Vec::new();
        };
        let need = job.row.work.steps[at].need;
        let places = job.steps[at].plan.take().unwrap_or_default();
        for &ix in &places {
            let worker = self.fleet.get_mut(ix);
            worker.reserved = worker.reserved.minus(need);
        }
        places
    }

    /// Drops all plans of a job that has ended.
    pub(crate) fn drop_plans(&mut self, id: &JobId) {
        let count = self.jobs.get(id).map_or(0, |job| job.steps.len());
        for step in 0..count as u16 {
            let job = id.clone();
            let occurrence = 0;
            self.drop_plan(&StepKey {
                job,
                occurrence,
                step,
            });
        }
    }

    /// Keeps workers for a gang that comes first and finds no room: those with most room.
    fn keep_room(&mut self, now: Millis, queue: &Queue, turn: &Turn, pass: &mut Pass) {
        if pass.kept_gangs >= KEPT_GANGS || turn.latest_start_ms < now.0 {
            return;
        }
        let key = &turn.key;
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (spec, advice) = (&job.row.work.steps[at], &job.steps[at].advice);
        let mut allowed: Vec<(u64, WorkerIx)> = self
            .fleet
            .iter()
            .filter(|(ix, own)| {
                let serves = own.entry.service == queue.service && own.is_usable(now, CLOCK_AGE_MS);
                let open = queue.advice.is_none() || advice.allows(*ix);
                serves && open && !pass.kept.contains_key(ix) && spec.need.fits(&own.entry.room)
            })
            .map(|(ix, own)| (u64::MAX - own.free().cpu_milli, ix))
            .collect();
        allowed.sort_unstable();
        let mut missing = u64::from(spec.count);
        let mut kept = Vec::new();
        for (_, ix) in allowed {
            if missing == 0 {
                break;
            }
            let room = self.fleet.get(ix).entry.room;
            missing = missing.saturating_sub(spec.need.count_in(&room));
            kept.push((ix, room));
        }
        if missing == 0 {
            pass.kept.extend(kept);
            pass.kept_gangs += 1;
            let kept = &pass.kept;
            pass.open.retain(|(ix, _)| !kept.contains_key(ix));
            pass.note_most();
        }
    }
}
