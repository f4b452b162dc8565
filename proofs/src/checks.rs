//! The invariants of the brief, judged by what was seen from outside.

use crate::history::{withdrawn_keys, CallNumber, Observation};
use pomelotide_core::{
    Answer, DaemonId, Entry, Millis, Note, Payload, Refusal, Resources, Revision, TaskAttempt,
    TaskId, TeamName, WorkerId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// How long after the host list shows a worker as leaving it may still get new work.
const LEAVING_GRACE_MS: Millis = Millis(5_000);

/// A point of the brief that must always hold.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// 1: no worker beyond its processors, memory or accelerators.
    Capacity,
    /// 2: no task in two places at once.
    OnePlace,
    /// 3: a withdrawn key stops working.
    Keys,
    /// 4: no team above its upper limit.
    Limits,
    /// 5: every caller gets the whole answer to its own request, once.
    OwnAnswer,
    /// 6: a refusal that says "not run" is true.
    NotRun,
    /// 7: a non-idempotent request runs at most once.
    AtMostOnce,
    /// 8: a leaving worker gets no new work.
    Leaving,
    /// 9: a planned stop cuts off no request.
    PlannedStop,
    /// 10: an accepted configuration is in force everywhere and never reverts.
    Configuration,
}

/// An invariant that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When.
    pub at_ms: Millis,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at {}: {:?} broken: {}",
            self.at_ms, self.invariant, self.seen
        )
    }
}

#[derive(Clone, Debug)]
struct Call {
    id: String,
    echo: String,
    answered: bool,
    not_run: bool,
}

#[derive(Clone, Debug)]
struct Run {
    team: TeamName,
    need: Resources,
}

/// Follows a history and tells the first broken invariant.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    now_ms: Millis,
    calls: BTreeMap<CallNumber, Call>,
    non_idempotent: BTreeSet<String>,
    dead_keys: BTreeSet<String>,
    barred: BTreeSet<String>,
    capacity: BTreeMap<WorkerId, Resources>,
    running: BTreeMap<(WorkerId, TaskId), Run>,
    starts: BTreeMap<String, u64>,
    leaving: BTreeMap<WorkerId, Millis>,
    limits: BTreeMap<TeamName, Resources>,
    in_force: Revision,
    revisions: BTreeMap<DaemonId, Revision>,
}

type Checked = Result<(), (Invariant, String)>;

impl Checker {
    /// Takes in one observation.
    pub fn see(&mut self, now_ms: Millis, seen: &Observation) -> Result<(), Violation> {
        self.now_ms = now_ms;
        let checked = self.take_in(seen);
        checked.map_err(|(invariant, seen)| Violation {
            invariant,
            at_ms: now_ms,
            seen,
        })
    }

    fn take_in(&mut self, seen: &Observation) -> Checked {
        match seen {
            Observation::Answered { call, answer } => self.answered(*call, answer),
            Observation::Started {
                worker,
                task,
                team,
                need,
            } => self.started(worker, task, team, *need),
            Observation::InForce { note, revision } => {
                self.accepted(note, *revision);
                self.check_limits()
            }
            Observation::Overcommitted { worker, task } => {
                let seen = format!("{worker} was told to start {task} without room");
                Err((Invariant::Capacity, seen))
            }
            Observation::Acting {
                daemon,
                revision,
                fresh,
            } => self.acting(daemon, *revision, *fresh),
            other => {
                self.remember(other);
                Ok(())
            }
        }
    }

    /// Takes in what breaks no invariant by itself.
    fn remember(&mut self, seen: &Observation) {
        match seen {
            Observation::Asked {
                call,
                id,
                key,
                idempotent,
                echo,
            } => {
                self.asked(*call, id, key.as_ref(), *idempotent, echo);
            }
            Observation::Broken { call } => {
                self.calls.remove(call);
            }
            Observation::Worker { worker, capacity } => {
                self.capacity.insert(worker.clone(), *capacity);
            }
            Observation::Ended { worker, task, .. } => {
                self.running.remove(&(worker.clone(), task.clone()));
            }
            Observation::Crashed { worker } => self.running.retain(|(on, _), _| on != worker),
            Observation::Leaving { worker } => {
                self.leaving.entry(worker.clone()).or_insert(self.now_ms);
            }
            _ => {}
        }
    }

    fn asked(
        &mut self,
        call: CallNumber,
        id: &str,
        key: Option<&String>,
        idempotent: bool,
        echo: &str,
    ) {
        if !idempotent {
            self.non_idempotent.insert(id.into());
        }
        if key.is_some_and(|key| self.dead_keys.contains(key)) {
            self.barred.insert(id.into());
        }
        let (id, echo) = (id.into(), echo.into());
        self.calls.insert(
            call,
            Call {
                id,
                echo,
                answered: false,
                not_run: false,
            },
        );
    }

    fn answered(&mut self, number: CallNumber, answer: &Answer) -> Checked {
        let Some(call) = self.calls.get_mut(&number) else {
            return Ok(());
        };
        if call.answered {
            return Err((
                Invariant::OwnAnswer,
                format!("{} was answered twice", call.id),
            ));
        }
        call.answered = true;
        match answer {
            Answer::Done(payload) if *payload != Payload::from(call.echo.as_str()) => Err((
                Invariant::OwnAnswer,
                format!("{} got another answer", call.id),
            )),
            Answer::NotRun {
                reason: Refusal::Draining,
                ..
            } => Err((
                Invariant::PlannedStop,
                format!("{} was cut off by a stop", call.id),
            )),
            Answer::NotRun { .. } => {
                call.not_run = true;
                let id = call.id.clone();
                self.check_not_run(&id)
            }
            _ => Ok(()),
        }
    }

    /// A "not run" is false where the request was started and no other call of the same id was
    /// open then or since.
    fn check_not_run(&self, id: &str) -> Checked {
        let excused = self
            .calls
            .values()
            .any(|call| call.id == id && !call.not_run);
        match self.starts.get(id) {
            Some(starts) if *starts > 0 && !excused => Err((
                Invariant::NotRun,
                format!("{id} was refused as not run but was started"),
            )),
            _ => Ok(()),
        }
    }

    fn started(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        team: &TeamName,
        need: Resources,
    ) -> Checked {
        self.check_leaving(worker)?;
        let name = TaskAttempt::parse(task);
        if let Some(TaskAttempt::Request { request, .. }) = &name {
            self.check_request(request.as_str())?;
        }
        if let Some(TaskAttempt::Job { job, index, .. }) = &name {
            let id = job.as_str().rsplit('~').next().unwrap_or_default();
            *self.starts.entry(id.into()).or_default() += 1;
            self.check_one_place(worker, job.as_str(), *index)?;
        }
        let run = Run {
            team: team.clone(),
            need,
        };
        self.running.insert((worker.clone(), task.clone()), run);
        self.check_capacity(worker)?;
        self.check_limit(team)
    }

    fn check_leaving(&self, worker: &WorkerId) -> Checked {
        match self.leaving.get(worker) {
            Some(since_ms) if self.now_ms.since(*since_ms) > LEAVING_GRACE_MS => Err((
                Invariant::Leaving,
                format!("{worker} is leaving and got new work"),
            )),
            _ => Ok(()),
        }
    }

    fn check_request(&mut self, request: &str) -> Checked {
        let id = request.split_once('~').map_or(request, |(_, id)| id);
        let starts = self.starts.entry(id.into()).or_default();
        *starts += 1;
        if *starts > 1 && self.non_idempotent.contains(id) {
            return Err((
                Invariant::AtMostOnce,
                format!("{id} was started {starts} times"),
            ));
        }
        if self.barred.contains(id) {
            return Err((
                Invariant::Keys,
                format!("{id} came with a withdrawn key and ran"),
            ));
        }
        let mut calls = self.calls.values().filter(|call| call.id == id).peekable();
        let refused = calls.peek().is_some() && calls.all(|call| call.not_run);
        if refused {
            return Err((
                Invariant::NotRun,
                format!("{id} ran after it was refused as not run"),
            ));
        }
        Ok(())
    }

    fn check_one_place(&self, worker: &WorkerId, job: &str, index: u32) -> Checked {
        let same = |task: &TaskId| match TaskAttempt::parse(task) {
            Some(TaskAttempt::Job {
                job: of, index: at, ..
            }) => of.as_str() == job && at == index,
            _ => false,
        };
        let other = self.running.keys().find(|(_, task)| same(task));
        match other {
            Some((other, _)) => {
                let seen = format!("task {index} of {job} started on {worker}, runs on {other}");
                Err((Invariant::OnePlace, seen))
            }
            None => Ok(()),
        }
    }

    fn sum(&self, which: impl Fn(&WorkerId, &Run) -> bool) -> Resources {
        let chosen = self
            .running
            .iter()
            .filter(|((worker, _), run)| which(worker, run));
        chosen.fold(Resources::default(), |sum, (_, run)| sum.plus(run.need))
    }

    fn check_capacity(&self, worker: &WorkerId) -> Checked {
        let used = self.sum(|on, _| on == worker);
        match self.capacity.get(worker) {
            Some(capacity) if !used.fits(capacity) => Err((
                Invariant::Capacity,
                format!("{worker} runs {used} of {capacity}"),
            )),
            _ => Ok(()),
        }
    }

    fn check_limits(&self) -> Checked {
        self.limits
            .keys()
            .try_for_each(|team| self.check_limit(team))
    }

    fn check_limit(&self, team: &TeamName) -> Checked {
        let used = self.sum(|_, run| run.team == *team);
        match self.limits.get(team) {
            Some(limit) if !used.fits(limit) => Err((
                Invariant::Limits,
                format!("{team} runs {used}, its limit is {limit}"),
            )),
            _ => Ok(()),
        }
    }

    fn accepted(&mut self, note: &Note, revision: Revision) {
        self.in_force = self.in_force.max(revision);
        self.dead_keys.extend(withdrawn_keys(note));
        for entry in note.added.iter().chain(&note.changed) {
            match entry {
                Entry::Key { name, .. } => {
                    self.dead_keys.remove(name.as_str());
                }
                Entry::Team { name, limit, .. } => {
                    self.limits.insert(name.clone(), *limit);
                }
                _ => {}
            }
        }
    }

    fn acting(&mut self, daemon: &DaemonId, revision: Revision, fresh: bool) -> Checked {
        let known = self.revisions.entry(daemon.clone()).or_default();
        if revision < *known {
            let seen = format!("{daemon} went from revision {known} back to {revision}");
            return Err((Invariant::Configuration, seen));
        }
        *known = revision;
        if fresh && revision < self.in_force {
            let in_force = self.in_force;
            let seen =
                format!("{daemon} honours keys by revision {revision}, {in_force} is in force");
            return Err((Invariant::Configuration, seen));
        }
        Ok(())
    }

    /// Returns the number of times that a request, or any task of a job, was started.
    pub fn starts(&self, id: &str) -> u64 {
        self.starts.get(id).copied().unwrap_or(0)
    }

    /// Returns the calls that have no answer.
    pub fn unanswered(&self) -> Vec<String> {
        let open = self.calls.values().filter(|call| !call.answered);
        open.map(|call| call.id.clone()).collect()
    }
}
