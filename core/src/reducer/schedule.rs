//! Scheduling: chooses which pending unit of work starts next and on which worker.

use super::{team_order::TeamOrder, Core};
use crate::{
    consts, Class, DecisionEvent, JobId, Millis, Resources, Running, TaskAttempt, TaskId,
    TaskStart, TeamName, UnitKind, WaitCause, WorkUnit, WorkerCommand, WorkerIx,
};

/// The result of an attempt to start a unit of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartOutcome {
    /// The unit started.
    Started,
    /// The unit left its queue without a start: it is no longer needed, or room is reserved for it.
    Removed,
    /// No worker has room.
    NoRoom,
    /// The team's limit is reached.
    OverLimit,
}

/// The workers that a scheduling pass considers.
#[derive(Clone, Debug)]
enum Scope {
    /// All workers.
    AllWorkers,
    /// One worker. The team, if any, has just freed a part of its limit and may use all workers.
    OneWorker(WorkerIx, Option<TeamName>),
}

impl Core {
    /// Adds a unit to its queue and, if the queue is short, tries to start a unit of it at once.
    pub(super) fn enqueue(&mut self, unit: WorkUnit) {
        let (class, team) = (unit.class, unit.team.clone());
        let (kind, cause) = (unit.kind.clone(), self.wait_cause(&unit));
        let ahead = self.queues.len_of(class, &team);
        let is_only = self.queues.push(unit);
        let is_short = self.queues.len_of(class, &team) <= consts::BACKFILL_DEPTH;
        if is_only || is_short {
            self.start_first_fitting(class, &team, &Scope::AllWorkers, false);
        }
        if let Some(cause) = cause.filter(|_| self.is_kind_needed(&kind)) {
            self.log(DecisionEvent::Waiting {
                work: kind,
                team,
                class,
                ahead: ahead as u64,
                cause,
            });
        }
    }

    /// Returns why a unit would wait, or `None` if the newest unit of its queue belongs to the same
    /// job, since only the first waiting task of a job is logged.
    fn wait_cause(&self, unit: &WorkUnit) -> Option<WaitCause> {
        let ahead = self.queues.len_of(unit.class, &unit.team);
        let last = self.queues.newest(unit.class, &unit.team);
        if last.is_some_and(|last| last.is_of_same_job(&unit.kind)) {
            return None;
        }
        let total_need = unit.need.times(u64::from(unit.tasks()));
        if !self.is_within_limit(&unit.team, total_need) {
            return Some(WaitCause::TeamLimit);
        }
        Some(match ahead {
            0 => WaitCause::NoRoom,
            _ => WaitCause::Behind,
        })
    }

    /// Schedules pending work on all workers, after a change of limits or configuration.
    pub(super) fn schedule_all(&mut self) {
        if self.is_leader() {
            self.run_pass(&Scope::AllWorkers);
        }
    }

    /// Schedules pending work on all workers if no pass has run for
    /// [`consts::IDLE_SCHEDULING_INTERVAL_MS`], so that work waiting for reserved room does not
    /// keep waiting while workers are idle.
    pub(super) fn schedule_if_idle(&mut self) {
        let due = self.now_ms.since(self.last_pass_ms) >= consts::IDLE_SCHEDULING_INTERVAL_MS;
        if due && !self.queues.is_empty() {
            self.schedule_all();
        }
    }

    /// Schedules pending work on a worker that has free room again.
    ///
    /// `team` is the team whose task ended there, if any.
    pub(super) fn schedule_on_worker(&mut self, ix: WorkerIx, team: Option<TeamName>) {
        if self.is_leader() && !self.queues.is_empty() {
            self.run_pass(&Scope::OneWorker(ix, team));
        }
    }

    /// Schedules pending work on workers whose quarantine has ended since the last scan.
    pub(super) fn schedule_after_quarantine(&mut self) {
        let (now_ms, from_ms) = (self.now_ms, self.now_ms.since(consts::SCAN_INTERVAL_MS));
        let released = |ix: &WorkerIx| {
            let until_ms = self.fleet.get(*ix).quarantined_until_ms;
            until_ms > from_ms && until_ms <= now_ms && until_ms > Millis(0)
        };
        let released: Vec<WorkerIx> = self.fleet.indices().filter(released).collect();
        for ix in released {
            self.schedule_on_worker(ix, None);
        }
    }

    fn run_pass(&mut self, scope: &Scope) {
        self.last_pass_ms = self.now_ms;
        self.start_reserved(scope.worker());
        self.start_by_share(&[Class::Small], scope);
        self.start_by_share(&[Class::Service, Class::Gang, Class::Batch], scope);
    }

    /// Starts units of the given classes, each time from the team with the lowest weighted share,
    /// and within a team in the order of `classes`.
    fn start_by_share(&mut self, classes: &[Class], scope: &Scope) {
        let mut order = TeamOrder::default();
        for class in classes {
            for team in self.queues.teams(*class) {
                order.add_class(team, *class);
            }
        }
        order.sort_by_share(|team| self.weighted_share_ppm(team));
        let most_underserved = order.first().map(|(team, _)| team);
        while let Some((team, class)) = order.first() {
            let may_reserve = class != Class::Small && most_underserved.as_ref() == Some(&team);
            match self.start_first_fitting(class, &team, scope, may_reserve) {
                StartOutcome::NoRoom | StartOutcome::OverLimit => order.remove_class(&team, class),
                StartOutcome::Started | StartOutcome::Removed => {
                    if self.queues.len_of(class, &team) == 0 {
                        order.remove_class(&team, class);
                    }
                    order.update_share(&team, self.weighted_share_ppm(&team));
                }
            }
            self.remove_teams_if_full(&mut order, scope, most_underserved.as_ref());
        }
    }

    /// Removes the teams that can't start anything once the worker has no room for any pending
    /// unit.
    ///
    /// The most underserved team stays, since room may be reserved for it, and so does the team
    /// that has just freed part of its limit.
    fn remove_teams_if_full(
        &self,
        order: &mut TeamOrder,
        scope: &Scope,
        most_underserved: Option<&TeamName>,
    ) {
        if let Scope::OneWorker(ix, team) = scope {
            if !self.queues.may_fit(&self.fleet.get(*ix).free()) {
                let retained: Vec<&TeamName> = team.iter().chain(most_underserved).collect();
                order.retain_teams(&retained);
            }
        }
    }

    /// Returns a team's dominant share of the failure domain divided by its weight.
    ///
    /// Recent usage counts in addition to current usage, so that a team that exceeded its share
    /// gets less afterwards.
    fn weighted_share_ppm(&self, team: &TeamName) -> u64 {
        let weight = self.config.team(team).map_or(1, |(share, _)| share.max(1));
        let now_ppm = self.share_ppm(team);
        let recent_ppm = self.share_meter.mean_ppm(team) * consts::PAST_SHARE_WEIGHT;
        (now_ppm + recent_ppm) * 1_000 / weight
    }

    fn share_ppm(&self, team: &TeamName) -> u64 {
        let held = self.fleet.usage(team).plus(self.reserved_for(team));
        held.dominant_share_ppm(&self.fleet.total_capacity())
    }

    /// Samples the dominant share of each team.
    pub(super) fn sample_shares(&mut self) {
        let teams: Vec<TeamName> = self.config.teams().cloned().collect();
        for team in teams {
            let usage = self.fleet.usage(&team);
            let share_ppm = usage.dominant_share_ppm(&self.fleet.total_capacity());
            self.share_meter.sample(&team, share_ppm);
        }
    }

    /// Starts the first unit of a queue that fits, out of the oldest unit of each different need, up
    /// to [`consts::BACKFILL_DEPTH`] of them.
    ///
    /// With `may_reserve`, room is reserved for the head of the queue once it has found none for
    /// [`consts::RESERVATION_DELAY_MS`], so that the units behind it can't starve it.
    fn start_first_fitting(
        &mut self,
        class: Class,
        team: &TeamName,
        scope: &Scope,
        may_reserve: bool,
    ) -> StartOutcome {
        let mut position = 0;
        let mut first_outcome = None;
        while position < consts::BACKFILL_DEPTH {
            let Some(unit) = self.queues.get(class, team, position).cloned() else {
                break;
            };
            let outcome = self.try_start(&unit, scope);
            if matches!(outcome, StartOutcome::Started | StartOutcome::Removed) {
                self.queues.remove(class, team, position);
                return outcome;
            }
            let blocked = position == 0 && outcome == StartOutcome::NoRoom;
            if blocked && may_reserve && self.reserve_for_head(class, team, &unit) {
                self.queues.remove(class, team, position);
                return StartOutcome::Removed;
            }
            first_outcome = first_outcome.or(Some(outcome));
            position += 1;
        }
        first_outcome.unwrap_or(StartOutcome::NoRoom)
    }

    fn reserve_for_head(&mut self, class: Class, team: &TeamName, unit: &WorkUnit) -> bool {
        let since_ms = self.queues.mark_head_blocked(class, team, self.now_ms);
        self.now_ms.since(since_ms) >= consts::RESERVATION_DELAY_MS && self.reserve(unit)
    }

    fn try_start(&mut self, unit: &WorkUnit, scope: &Scope) -> StartOutcome {
        if !self.is_needed(unit) {
            return StartOutcome::Removed;
        }
        let total_need = unit.need.times(u64::from(unit.tasks()));
        if !self.is_within_limit(&unit.team, total_need) {
            return StartOutcome::OverLimit;
        }
        match &unit.kind {
            UnitKind::Gang { job, tasks } => self.start_gang(unit, &job.clone(), *tasks),
            _ => match self.find_worker(unit, scope) {
                Some(ix) => self.start_on(ix, unit),
                None => StartOutcome::NoRoom,
            },
        }
    }

    pub(super) fn is_needed(&self, unit: &WorkUnit) -> bool {
        self.is_kind_needed(&unit.kind)
    }

    fn is_kind_needed(&self, kind: &UnitKind) -> bool {
        match kind {
            UnitKind::Request(id) => self.can_start_request(id),
            UnitKind::Task { job, index } => self.can_start_task(job, *index),
            UnitKind::Gang { job, .. } => self.can_start_job(job),
        }
    }

    /// Returns whether a team stays within its allotment if it uses `more`.
    ///
    /// Workers not yet claimed in this term count as fully used, since a previous leader may still
    /// start tasks there.
    pub(super) fn is_within_limit(&self, team: &TeamName, more: Resources) -> bool {
        let used = self.fleet.usage(team).plus(self.fleet.unclaimed_capacity());
        used.plus(more).fits(&self.usable_allotment(team))
    }

    fn find_worker(&self, unit: &WorkUnit, scope: &Scope) -> Option<WorkerIx> {
        match scope {
            Scope::OneWorker(ix, team) if team.as_ref() != Some(&unit.team) => {
                let fits = self
                    .fleet
                    .can_place(*ix, unit.class, &unit.need, self.now_ms);
                fits.then_some(*ix)
            }
            _ => self.find_headroom(unit).or_else(|| {
                let avoid = unit.avoid.as_ref();
                self.fleet
                    .choose(unit.class, &unit.need, avoid, self.now_ms)
            }),
        }
    }

    /// Finds headroom for a small request while batch or gang work is pending, so that requests do
    /// not fragment the rest of the fleet.
    fn find_headroom(&self, unit: &WorkUnit) -> Option<WorkerIx> {
        let wanted = unit.class == Class::Small && unit.avoid.is_none();
        let crowded = self.queues.len(Class::Batch) + self.queues.len(Class::Gang) > 0;
        if !wanted || !crowded {
            return None;
        }
        self.fleet.choose_headroom(&unit.need, self.now_ms)
    }

    pub(super) fn start_on(&mut self, ix: WorkerIx, unit: &WorkUnit) -> StartOutcome {
        let Some(term) = self.leader_term() else {
            return StartOutcome::NoRoom;
        };
        let worker = self.fleet.get(ix).host.worker.clone();
        let placed = match &unit.kind {
            UnitKind::Request(request) => {
                let name = |attempt| TaskAttempt::Request {
                    request: request.clone(),
                    term,
                    attempt,
                };
                let placed = self.begin_request_attempt(request, &worker, |n| name(n).id());
                placed.map(|(task, payload)| (task, payload, Millis(0)))
            }
            UnitKind::Task { job, index } => {
                let (job, index) = (job.clone(), *index);
                let name = |attempt| TaskAttempt::Job {
                    job: job.clone(),
                    index,
                    term,
                    attempt,
                };
                let placed = self.begin_task_attempt(&job, index, &worker, |n| name(n).id());
                placed.map(|(task, spec)| (task, spec.payload, spec.run_ms))
            }
            UnitKind::Gang { .. } => None,
        };
        let Some((task, payload, run_ms)) = placed else {
            return StartOutcome::Removed;
        };
        let (team, need) = (unit.team.clone(), unit.need);
        self.record_start(ix, unit, &task);
        let start = TaskStart {
            task,
            team,
            need,
            run_ms,
            payload,
        };
        self.send_command(ix, WorkerCommand::Start(start));
        StartOutcome::Started
    }

    fn record_start(&mut self, ix: WorkerIx, unit: &WorkUnit, task: &TaskId) {
        let running = Running {
            unit: Some(unit.kind.clone()),
            team: unit.team.clone(),
            need: unit.need,
            since_ms: self.now_ms,
            is_request: matches!(unit.kind, UnitKind::Request(_)),
        };
        self.fleet.add(ix, task.clone(), running);
        let placed = DecisionEvent::Placed {
            task: task.clone(),
            team: unit.team.clone(),
            class: unit.class,
            worker: self.fleet.get(ix).host.worker.clone(),
            waited_ms: self.now_ms.since(unit.since_ms),
        };
        self.log(placed);
    }

    /// Starts all tasks of a gang or none.
    fn start_gang(&mut self, unit: &WorkUnit, job: &JobId, tasks: u32) -> StartOutcome {
        let Some(workers) = self.find_gang_workers(unit, tasks) else {
            return StartOutcome::NoRoom;
        };
        self.start_gang_on(unit, job, &workers);
        StartOutcome::Started
    }

    /// Starts the tasks of a gang, one on each of the given workers.
    pub(super) fn start_gang_on(&mut self, unit: &WorkUnit, job: &JobId, workers: &[WorkerIx]) {
        self.gang_placed(job);
        for (index, ix) in (0..).zip(workers) {
            let kind = UnitKind::Task {
                job: job.clone(),
                index,
            };
            let task = WorkUnit {
                kind,
                ..unit.clone()
            };
            self.start_on(*ix, &task);
        }
    }

    /// Finds a worker for each task of a gang.
    ///
    /// Adds a placeholder for each task so that the next choice accounts for it, then removes all.
    fn find_gang_workers(&mut self, unit: &WorkUnit, tasks: u32) -> Option<Vec<WorkerIx>> {
        let (class, need) = (unit.class, unit.need);
        if !self
            .fleet
            .has_room_for(class, &need, u64::from(tasks), self.now_ms)
        {
            return None;
        }
        let mut workers = Vec::new();
        for index in 0..tasks {
            let found = self.fleet.choose(unit.class, &unit.need, None, self.now_ms);
            let Some(ix) = found else {
                break;
            };
            self.fleet
                .add(ix, placeholder(index), Running::placeholder(unit));
            workers.push(ix);
        }
        for (index, ix) in (0..tasks).zip(&workers) {
            self.fleet.remove(*ix, &placeholder(index));
        }
        (workers.len() == tasks as usize).then_some(workers)
    }
}

impl Scope {
    const fn worker(&self) -> Option<WorkerIx> {
        match self {
            Scope::AllWorkers => None,
            Scope::OneWorker(ix, _) => Some(*ix),
        }
    }
}

fn placeholder(index: u32) -> TaskId {
    TaskId::new(format!("placeholder {index}"))
}

impl Running {
    fn placeholder(unit: &WorkUnit) -> Self {
        let (team, need) = (unit.team.clone(), unit.need);
        Self {
            unit: None,
            team,
            need,
            since_ms: Millis(0),
            is_request: false,
        }
    }
}
