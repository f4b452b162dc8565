//! Which waiting work starts next, and where.

use super::{team_order::TeamOrder, Core};
use crate::{
    consts, Class, JobId, Millis, Resources, Running, TaskId, TaskName, TaskStart, TeamName, Told,
    Unit, UnitKind, WaitCause, WorkerCommand, WorkerIx,
};

/// What came of the attempt to start a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
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
            self.start_first(class, &team, &Scope::Everywhere, false);
        }
        if let Some(cause) = cause.filter(|_| self.is_wanted_kind(&kind)) {
            self.log(Told::Waiting {
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
        let last = self.queues.newest(unit.class, &unit.team);
        if last.is_some_and(|last| last.is_of_same_job(&unit.kind)) {
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
        if self.is_leader() {
            self.pass(&Scope::Everywhere);
        }
    }

    /// Looks for work everywhere where nothing has caused a look for a while, so that work that
    /// waits for kept room is not left waiting beside idle workers.
    pub(super) fn schedule_waiting(&mut self) {
        let due = self.now_ms.since(self.last_pass_ms) >= consts::LOOK_MS;
        if due && !self.queues.is_empty() {
            self.schedule_all();
        }
    }

    /// Looks for work for a worker that has room again.
    pub(super) fn refill(&mut self, ix: WorkerIx, team: Option<TeamName>) {
        if self.is_leader() && !self.queues.is_empty() {
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
        self.last_pass_ms = self.now_ms;
        self.start_reserved(scope.worker());
        self.pass_classes(&[Class::Small], scope);
        self.pass_classes(&[Class::Service, Class::Gang, Class::Batch], scope);
    }

    /// Starts units of some classes, always of the team that is furthest below its share, and
    /// within a team in order of the classes.
    fn pass_classes(&mut self, classes: &[Class], scope: &Scope) {
        let mut order = TeamOrder::default();
        for class in classes {
            for team in self.queues.teams(*class) {
                order.add_class(team, *class);
            }
        }
        order.sort_by_share(|team| self.weighted_share_ppm(team));
        let neediest = order.first().map(|(team, _)| team);
        while let Some((team, class)) = order.first() {
            let may_reserve = class != Class::Small && neediest.as_ref() == Some(&team);
            match self.start_first(class, &team, scope, may_reserve) {
                Outcome::NoRoom | Outcome::OverLimit => order.remove_class(&team, class),
                Outcome::Started | Outcome::Dropped => {
                    if self.queues.len_of(class, &team) == 0 {
                        order.remove_class(&team, class);
                    }
                    order.update_share(&team, self.weighted_share_ppm(&team));
                }
            }
            self.end_if_full(&mut order, scope, neediest.as_ref());
        }
    }

    /// Ends the turns that can come to nothing, once a worker has no room for anything that waits;
    /// the neediest team may still have room kept for it.
    fn end_if_full(&self, order: &mut TeamOrder, scope: &Scope, neediest: Option<&TeamName>) {
        if let Scope::At(ix, team) = scope {
            if !self.queues.may_fit(&self.fleet.get(*ix).free()) {
                let kept: Vec<&TeamName> = team.iter().chain(neediest).collect();
                order.retain_teams(&kept);
            }
        }
    }

    /// Returns a team's dominant share of the failure domain divided by its weight. What it had
    /// running lately counts beside what it has now, so that an excess is paid back.
    fn weighted_share_ppm(&self, team: &TeamName) -> u64 {
        let weight = self.config.team(team).map_or(1, |(share, _)| share.max(1));
        let now_ppm = self.share_ppm(team);
        let lately_ppm = self.share_meter.mean_ppm(team) * consts::SHARE_MEMORY;
        (now_ppm + lately_ppm) * 1_000 / weight
    }

    fn share_ppm(&self, team: &TeamName) -> u64 {
        let held = self.fleet.usage(team).plus(self.reserved_for(team));
        held.dominant_share_ppm(&self.fleet.total())
    }

    /// Takes in what each team has running.
    pub(super) fn sample_shares(&mut self) {
        let teams: Vec<TeamName> = self.config.teams().cloned().collect();
        for team in teams {
            let usage = self.fleet.usage(&team);
            let share_ppm = usage.dominant_share_ppm(&self.fleet.total());
            self.share_meter.sample(&team, share_ppm);
        }
    }

    /// Starts the first unit of a queue that fits, looking a little way behind the head. Room is
    /// kept for a head that does not fit, so that what is behind it can't starve it.
    fn start_first(
        &mut self,
        class: Class,
        team: &TeamName,
        scope: &Scope,
        may_reserve: bool,
    ) -> Outcome {
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
            let blocked = place == 0 && outcome == Outcome::NoRoom;
            if blocked && may_reserve && self.reserve_head(class, team, &unit) {
                self.queues.remove(class, team, place);
                return Outcome::Dropped;
            }
            first = first.or(Some(outcome));
            place += 1;
        }
        first.unwrap_or(Outcome::NoRoom)
    }

    fn reserve_head(&mut self, class: Class, team: &TeamName, unit: &Unit) -> bool {
        let since_ms = self.queues.block_head(class, team, self.now_ms);
        self.now_ms.since(since_ms) >= consts::RESERVE_AFTER_MS && self.reserve(unit)
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

    pub(super) fn is_wanted(&self, unit: &Unit) -> bool {
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
    pub(super) fn may_spend(&self, team: &TeamName, more: Resources) -> bool {
        let used = self.fleet.usage(team).plus(self.fleet.unclaimed());
        used.plus(more).fits(&self.spendable(team))
    }

    fn find_place(&self, unit: &Unit, scope: &Scope) -> Option<WorkerIx> {
        match scope {
            Scope::At(ix, team) if team.as_ref() != Some(&unit.team) => {
                let fits = self.fleet.fits_at(*ix, unit.class, &unit.need, self.now_ms);
                fits.then_some(*ix)
            }
            _ => self.headroom_for(unit).or_else(|| {
                let avoid = unit.avoid.as_ref();
                self.fleet
                    .choose(unit.class, &unit.need, avoid, self.now_ms)
            }),
        }
    }

    /// Finds headroom for a small question while larger work waits, so that questions do not
    /// split the rest of the fleet into pieces that fit nothing else.
    fn headroom_for(&self, unit: &Unit) -> Option<WorkerIx> {
        let wanted = unit.class == Class::Small && unit.avoid.is_none();
        let crowded = self.queues.len(Class::Batch) + self.queues.len(Class::Gang) > 0;
        if !wanted || !crowded {
            return None;
        }
        self.fleet.choose_headroom(&unit.need, self.now_ms)
    }

    pub(super) fn start_at(&mut self, ix: WorkerIx, unit: &Unit) -> Outcome {
        let Some(term) = self.leader_term() else {
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
        self.log(told);
    }

    /// Starts all tasks of a gang, or none.
    fn start_gang(&mut self, unit: &Unit, job: &JobId, tasks: u32) -> Outcome {
        let Some(places) = self.find_gang_places(unit, tasks) else {
            return Outcome::NoRoom;
        };
        self.start_gang_at(unit, job, &places);
        Outcome::Started
    }

    /// Starts the tasks of a gang, each at its place.
    pub(super) fn start_gang_at(&mut self, unit: &Unit, job: &JobId, places: &[WorkerIx]) {
        self.gang_placed(job);
        for (index, ix) in (0..).zip(places) {
            let kind = UnitKind::Task {
                job: job.clone(),
                index,
            };
            let task = Unit {
                kind,
                ..unit.clone()
            };
            self.start_at(*ix, &task);
        }
    }

    /// Finds a place for each task of a gang, by counting them one by one and taking all back.
    fn find_gang_places(&mut self, unit: &Unit, tasks: u32) -> Option<Vec<WorkerIx>> {
        let (class, need) = (unit.class, unit.need);
        if !self
            .fleet
            .has_copies(class, &need, u64::from(tasks), self.now_ms)
        {
            return None;
        }
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
}

impl Scope {
    const fn worker(&self) -> Option<WorkerIx> {
        match self {
            Scope::Everywhere => None,
            Scope::At(ix, _) => Some(*ix),
        }
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
