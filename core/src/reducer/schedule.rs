//! Which waiting work starts next, and where.

use super::Core;
use crate::{
    consts, Class, Millis, Resources, Running, TaskId, TaskName, TaskStart, TeamName, Told, Unit,
    UnitKind, WaitCause, WorkerCommand, WorkerIx,
};
use std::collections::BTreeSet;

/// What came of the attempt to start a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It started.
    Started,
    /// Nobody wants it any more.
    Dropped,
    /// No worker has room.
    NoRoom,
    /// The team's limit is reached.
    OverLimit,
}

/// Where a pass over the queues looks for room.
#[derive(Clone, Debug)]
enum Scope {
    /// On all workers.
    Everywhere,
    /// On one worker; a team that just gave up part of its limit looks on all.
    At(WorkerIx, Option<TeamName>),
}

impl Core {
    /// Lets a unit wait, or starts it at once where nothing of its kind waits before it.
    pub(super) fn enqueue(&mut self, unit: Unit) {
        let (class, team) = (unit.class, unit.team.clone());
        let (kind, cause) = (unit.kind.clone(), self.wait_cause(&unit));
        let ahead = self.queues.len_of(class, &team);
        let alone = self.queues.push(unit);
        let few = self.queues.len_of(class, &team) <= consts::BACKFILL_DEPTH;
        if alone || few {
            self.start_first(class, &team, &Scope::Everywhere);
        }
        if let Some(cause) = cause.filter(|_| self.is_wanted_kind(&kind)) {
            self.tell(Told::Waiting {
                work: kind,
                team,
                class,
                ahead: ahead as u64,
                cause,
            });
        }
    }

    /// Returns why a unit would wait; of the tasks of one job only the first is told of.
    fn wait_cause(&self, unit: &Unit) -> Option<WaitCause> {
        let ahead = self.queues.len_of(unit.class, &unit.team);
        let last = ahead.checked_sub(1);
        let last = last.and_then(|last| self.queues.get(unit.class, &unit.team, last));
        if last.is_some_and(|last| last.kind.is_of_same_job(&unit.kind)) {
            return None;
        }
        let together = unit.need.times(u64::from(unit.tasks()));
        if !self.may_spend(&unit.team, together) {
            return Some(WaitCause::TeamLimit);
        }
        Some(match ahead {
            0 => WaitCause::NoRoom,
            _ => WaitCause::Behind,
        })
    }

    /// Looks for work everywhere, after a change of limits or configuration.
    pub(super) fn schedule_all(&mut self) {
        if self.is_keeper() {
            self.pass(&Scope::Everywhere);
        }
    }

    /// Looks for work for a worker that has room again.
    pub(super) fn refill(&mut self, ix: WorkerIx, team: Option<TeamName>) {
        if self.is_keeper() && !self.queues.is_empty() {
            self.pass(&Scope::At(ix, team));
        }
    }

    /// Looks for work for workers whose rest is just over.
    pub(super) fn schedule_rested(&mut self) {
        let (now_ms, from_ms) = (self.now_ms, self.now_ms.since(consts::SCAN_MS));
        let rested = |ix: &WorkerIx| {
            let until_ms = self.fleet.get(*ix).rest_until_ms;
            until_ms > from_ms && until_ms <= now_ms && until_ms > Millis(0)
        };
        let rested: Vec<WorkerIx> = self.fleet.places().filter(rested).collect();
        for ix in rested {
            self.refill(ix, None);
        }
    }

    fn pass(&mut self, scope: &Scope) {
        for (class, _) in Class::ALL {
            if class == Class::Batch && self.gang_is_impatient() {
                return;
            }
            self.pass_class(class, scope);
        }
    }

    /// Starts units of one class, always of the team that is furthest below its share.
    fn pass_class(&mut self, class: Class, scope: &Scope) {
        let mut open: BTreeSet<TeamName> = self.queues.teams(class).into_iter().collect();
        while let Some(team) = self.neediest(&open) {
            match self.start_first(class, &team, scope) {
                Outcome::Started | Outcome::Dropped => {}
                Outcome::NoRoom | Outcome::OverLimit => {
                    open.remove(&team);
                }
            }
            if self.queues.len_of(class, &team) == 0 {
                open.remove(&team);
            }
        }
    }

    fn neediest(&self, teams: &BTreeSet<TeamName>) -> Option<TeamName> {
        teams
            .iter()
            .min_by_key(|team| (self.weighted_share_ppm(team), *team))
            .cloned()
    }

    /// Returns a team's dominant share of the failure domain divided by its weight.
    fn weighted_share_ppm(&self, team: &TeamName) -> u64 {
        let weight = self.config.team(team).map_or(1, |(share, _)| share.max(1));
        self.fleet
            .usage(team)
            .dominant_share_ppm(&self.fleet.total())
            * 1_000
            / weight
    }

    /// Starts the first unit of a queue that fits, looking a little way behind the head.
    fn start_first(&mut self, class: Class, team: &TeamName, scope: &Scope) -> Outcome {
        let mut place = 0;
        let mut first = None;
        while place < consts::BACKFILL_DEPTH {
            let Some(unit) = self.queues.get(class, team, place).cloned() else {
                break;
            };
            let outcome = self.try_start(&unit, scope);
            if matches!(outcome, Outcome::Started | Outcome::Dropped) {
                self.queues.remove(class, team, place);
                return outcome;
            }
            first = first.or(Some(outcome));
            place += 1;
        }
        first.unwrap_or(Outcome::NoRoom)
    }

    fn try_start(&mut self, unit: &Unit, scope: &Scope) -> Outcome {
        if !self.is_wanted(unit) {
            return Outcome::Dropped;
        }
        let together = unit.need.times(u64::from(unit.tasks()));
        if !self.may_spend(&unit.team, together) {
            return Outcome::OverLimit;
        }
        match &unit.kind {
            UnitKind::Gang { job, tasks } => self.start_gang(unit, &job.clone(), *tasks),
            _ => match self.find_place(unit, scope) {
                Some(ix) => self.start_at(ix, unit),
                None => Outcome::NoRoom,
            },
        }
    }

    fn is_wanted(&self, unit: &Unit) -> bool {
        self.is_wanted_kind(&unit.kind)
    }

    fn is_wanted_kind(&self, kind: &UnitKind) -> bool {
        match kind {
            UnitKind::Request(id) => self.wants_request(id),
            UnitKind::Task { job, index } => self.wants_task(job, *index),
            UnitKind::Gang { job, .. } => self.wants_job(job),
        }
    }

    /// Says whether a team stays within its part of the limit. Workers that this term has not
    /// claimed count in full, since an older keeper may still start tasks there.
    fn may_spend(&self, team: &TeamName, more: Resources) -> bool {
        let used = self.fleet.usage(team).plus(self.fleet.unclaimed());
        used.plus(more).fits(&self.spendable(team))
    }

    fn find_place(&self, unit: &Unit, scope: &Scope) -> Option<WorkerIx> {
        match scope {
            Scope::At(ix, team) if team.as_ref() != Some(&unit.team) => {
                let fits = self.fleet.fits_at(*ix, &unit.need, self.now_ms);
                fits.then_some(*ix)
            }
            _ => self
                .fleet
                .choose(unit.class, &unit.need, unit.avoid.as_ref(), self.now_ms),
        }
    }

    fn start_at(&mut self, ix: WorkerIx, unit: &Unit) -> Outcome {
        let Some(term) = self.keeper_term() else {
            return Outcome::NoRoom;
        };
        let worker = self.fleet.get(ix).host.worker.clone();
        let placed = match &unit.kind {
            UnitKind::Request(request) => {
                let name = |attempt| TaskName::Request {
                    request: request.clone(),
                    term,
                    attempt,
                };
                let placed = self.request_placed(request, &worker, |n| name(n).id());
                placed.map(|(task, payload)| (task, payload, Millis(0)))
            }
            UnitKind::Task { job, index } => {
                let (job, index) = (job.clone(), *index);
                let name = |attempt| TaskName::Job {
                    job: job.clone(),
                    index,
                    term,
                    attempt,
                };
                let placed = self.job_task_placed(&job, index, &worker, |n| name(n).id());
                placed.map(|(task, spec)| (task, spec.payload, spec.run_ms))
            }
            UnitKind::Gang { .. } => None,
        };
        let Some((task, payload, run_ms)) = placed else {
            return Outcome::Dropped;
        };
        let (team, need) = (unit.team.clone(), unit.need);
        self.count_start(ix, unit, &task);
        let start = TaskStart {
            task,
            team,
            need,
            run_ms,
            payload,
        };
        self.command(ix, WorkerCommand::Start(start));
        Outcome::Started
    }

    fn count_start(&mut self, ix: WorkerIx, unit: &Unit, task: &TaskId) {
        let running = Running {
            unit: Some(unit.kind.clone()),
            team: unit.team.clone(),
            need: unit.need,
            since_ms: self.now_ms,
            owes_answer: matches!(unit.kind, UnitKind::Request(_)),
        };
        self.fleet.add(ix, task.clone(), running);
        let told = Told::Placed {
            task: task.clone(),
            team: unit.team.clone(),
            class: unit.class,
            worker: self.fleet.get(ix).host.worker.clone(),
            waited_ms: self.now_ms.since(unit.since_ms),
        };
        self.tell(told);
    }

    /// Starts all tasks of a gang, or none.
    fn start_gang(&mut self, unit: &Unit, job: &crate::JobId, tasks: u32) -> Outcome {
        let Some(places) = self.find_gang_places(unit, tasks) else {
            return Outcome::NoRoom;
        };
        self.gang_placed(job);
        for (index, ix) in (0..tasks).zip(places) {
            let kind = UnitKind::Task {
                job: job.clone(),
                index,
            };
            let task = Unit {
                kind,
                ..unit.clone()
            };
            self.start_at(ix, &task);
        }
        Outcome::Started
    }

    /// Finds a place for each task of a gang, by counting them one by one and taking all back.
    fn find_gang_places(&mut self, unit: &Unit, tasks: u32) -> Option<Vec<WorkerIx>> {
        let mut places = Vec::new();
        for index in 0..tasks {
            let found = self.fleet.choose(unit.class, &unit.need, None, self.now_ms);
            let Some(ix) = found else {
                break;
            };
            self.fleet
                .add(ix, placeholder(index), Running::placeholder(unit));
            places.push(ix);
        }
        for (index, ix) in (0..tasks).zip(&places) {
            self.fleet.remove(*ix, &placeholder(index));
        }
        (places.len() == tasks as usize).then_some(places)
    }

    /// Says whether a gang that could run has waited so long that batch work must hold back.
    fn gang_is_impatient(&self) -> bool {
        let teams = self.queues.teams(Class::Gang);
        let heads = teams
            .iter()
            .filter_map(|team| self.queues.get(Class::Gang, team, 0));
        let mut runnable = heads.filter(|unit| {
            let together = unit.need.times(u64::from(unit.tasks()));
            self.is_wanted(unit) && self.may_spend(&unit.team, together)
        });
        runnable.any(|unit| self.now_ms.since(unit.since_ms) > consts::GANG_PATIENCE_MS)
    }
}

fn placeholder(index: u32) -> TaskId {
    TaskId::new(format!("placeholder {index}"))
}

impl Running {
    fn placeholder(unit: &Unit) -> Self {
        let (team, need) = (unit.team.clone(), unit.need);
        Self {
            unit: None,
            team,
            need,
            since_ms: Millis(0),
            owes_answer: false,
        }
    }
}
