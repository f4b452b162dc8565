//! Parts of the teams' limits that are reserved for steps which need much of the limit at once.
//!
//! A gang starts only when its team may run all members. While smaller tasks of the team keep using
//! the rest of the limit, that never happens. The part that it needs is therefore reserved: other
//! steps of the team start only tasks that leave it free. A reservation lasts for a limited time and
//! is followed by a pause of the same length, so that the others are never blocked for more than half
//! of the time. If it was too short for the team's running tasks to end, the next one is longer.
//!
//! By the terms of the service, no step waits for 3 s while its team uses less than half of its limit. A
//! reservation therefore ends earlier if the step that it is for does not start soon after the team's
//! use fell below that. A step that needs tickets is let through before that end, by the time that a
//! call for them takes.

use crate::{
    cell::{
        consts,
        ctx::Ctx,
        leader::{candidates::may_run, jobs::Job, policy::Policy, Leader},
        LogEvent, StepKey, Team,
    },
    Millis, Resources, TeamName,
};
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter, Result},
};

/// How long the first reservation lasts.
const MIN_RESERVATION_MS: Millis = Millis(4_000);
/// How long a reservation lasts at most.
const MAX_RESERVATION_MS: Millis = Millis(64_000);
/// For how many steps a tick checks whether the workers could run them at all.
const MAX_CHECKED_STEPS: usize = 16;
/// How long a reservation may last while the team uses less than half of its limit.
const MAX_UNDERUSE_MS: Millis = Millis(2_500);

/// A part of a team's limit that is reserved for a step.
#[derive(Clone, Debug)]
struct Reservation {
    step: StepKey,
    need: Resources,
    since: Millis,
    /// Since when the team has used less than half of its limit.
    underused_since: Option<Millis>,
    /// Whether a task of the step has been placed since.
    is_used: bool,
}

/// The reservations of one team.
#[derive(Clone, Debug)]
struct TeamReservation {
    current: Option<Reservation>,
    duration_ms: Millis,
    paused_until: Millis,
}

/// The reserved part of each team's limit, for at most one step a team.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitReservations {
    teams: BTreeMap<TeamName, TeamReservation>,
}

/// Whether the steps of a team that come after a step may get a reservation before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LimitCheck {
    /// They may not: the step has a reservation, or will get one if it goes on waiting.
    Considered,
    /// They may: the step needs no reservation or can't use one.
    Skipped,
}

/// Why a reservation ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReservationEnd {
    /// A task of the step has been placed.
    Placed,
    /// The step no longer waits, or its need exceeds the team's limit now.
    NotNeeded,
    /// It has lasted for its full duration, or for too long while most of the limit was unused.
    TimedOut,
}

impl Display for ReservationEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::Placed => "placed",
            Self::NotNeeded => "not_needed",
            Self::TimedOut => "timed_out",
        })
    }
}

impl Reservation {
    /// Returns whether a step that has waited since `waiting_since` may use the reserved part, because its
    /// tickets take `call_ms` and would arrive too late if they were requested after the reservation.
    fn lets_through(&self, now: Millis, waiting_since: Option<Millis>, call_ms: Millis) -> bool {
        let (Some(since), Some(waiting_since)) = (self.underused_since, waiting_since) else {
            return false;
        };
        call_ms > Millis(0) && now.since(since.max(waiting_since)) >= MAX_UNDERUSE_MS.since(call_ms)
    }

    fn is_timed_out(&self, now: Millis, duration_ms: Millis) -> bool {
        let underused_ms = self.underused_since.map(|since| now.since(since));
        let is_underused = underused_ms.is_some_and(|span_ms| span_ms >= MAX_UNDERUSE_MS);
        is_underused || now.since(self.since) >= duration_ms
    }
}

impl TeamReservation {
    /// Ends the current reservation and begins the pause after it.
    fn end(&mut self, now: Millis, why: ReservationEnd) -> Option<Reservation> {
        let ended = self.current.take()?;
        self.paused_until = now + now.since(ended.since);
        self.duration_ms = match why {
            ReservationEnd::TimedOut => {
                (self.duration_ms + self.duration_ms).min(MAX_RESERVATION_MS)
            }
            _ => MIN_RESERVATION_MS,
        };
        Some(ended)
    }
}

impl LimitReservations {
    /// Returns the part of a team's limit that a step of a job may not use. A call for its tickets takes
    /// `call_ms`.
    pub(crate) fn reserved_from(
        &self,
        now: Millis,
        team: &TeamName,
        job: &Job,
        at: usize,
        call_ms: Millis,
    ) -> Resources {
        let reservation = self.teams.get(team).and_then(|team| team.current.as_ref());
        let is_other = |reservation: &&Reservation| {
            let own = &reservation.step;
            own.job != job.row.id || usize::from(own.step) != at
        };
        let waiting_since = job.steps[at].waiting_since;
        let holds = |reservation: &&Reservation| {
            !reservation.is_used && !reservation.lets_through(now, waiting_since, call_ms)
        };
        let others = reservation.filter(is_other).filter(holds);
        others.map_or(Resources::default(), |reservation| reservation.need)
    }

    /// Records that a task of a step has been placed.
    pub(crate) fn mark_placed(&mut self, team: &TeamName, step: &StepKey) {
        let team = self.teams.get_mut(team);
        if let Some(reservation) = team.and_then(|team| team.current.as_mut()) {
            reservation.is_used |= reservation.step == *step;
        }
    }

    /// Returns whether a part of a team's limit may be reserved now: no other part is, and the pause
    /// after the last reservation is over.
    fn may_reserve(&self, now: Millis, team: &TeamName) -> bool {
        let team = self.teams.get(team);
        team.is_none_or(|team| team.current.is_none() && now >= team.paused_until)
    }

    /// Reserves a part of a team's limit for a step.
    fn reserve(&mut self, now: Millis, team: &TeamName, step: &StepKey, need: Resources) {
        let team = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamReservation {
                current: None,
                duration_ms: MIN_RESERVATION_MS,
                paused_until: now,
            });
        team.current = Some(Reservation {
            step: step.clone(),
            need,
            since: now,
            underused_since: None,
            is_used: false,
        });
    }
}

/// Returns a team's limit with the maximum in place of resources that are not limited.
fn effective_limit(team: &Team) -> Resources {
    let amounts = team.limit.amounts().map(|amount| match amount {
        0 => u64::MAX,
        amount => amount,
    });
    Resources::from_amounts(amounts)
}

/// Returns how many tasks of a step must start at the same time.
pub(crate) fn min_tasks(job: &Job, at: usize) -> u64 {
    let spec = &job.row.submission.steps[at];
    match spec.gang {
        true => u64::from(spec.count),
        false => 1,
    }
}

impl Leader {
    /// Ends the reservations that are used, not needed any more or have timed out.
    pub(crate) fn end_limit_reservations(&mut self, ctx: &mut Ctx, policy: &Policy) {
        let pending = &self.pending;
        let reservations = &mut self.limit_reservations;
        reservations
            .teams
            .retain(|name, _| policy.team(name).is_some());
        for (name, team) in &mut reservations.teams {
            let Some(current) = &mut team.current else {
                continue;
            };
            let limit = policy.team(name).map(effective_limit).unwrap_or_default();
            let used = self.used.get(name).copied().unwrap_or_default();
            let is_underused = used.times(2).fits(&limit);
            let underused_since = current.underused_since.unwrap_or(ctx.now);
            current.underused_since = is_underused.then_some(underused_since);
            let is_needed = pending.contains(&current.step) && current.need.fits(&limit);
            if is_underused && self.limits_due {
                // Steps may be let through by now.
                self.freed_teams.insert(name.clone());
            }
            let why = match (current.is_used, is_needed) {
                (true, _) => ReservationEnd::Placed,
                (false, false) => ReservationEnd::NotNeeded,
                (false, true) if current.is_timed_out(ctx.now, team.duration_ms) => {
                    ReservationEnd::TimedOut
                }
                (false, true) => continue,
            };
            let age_ms = ctx.now.since(current.since);
            if let Some(ended) = team.end(ctx.now, why) {
                let event = LogEvent::info("limit_released").with("step", &ended.step);
                let event = event.with("team", name).with("why", why);
                ctx.log(event.with("reserved_ms", age_ms.0));
                self.freed_teams.insert(name.clone());
            }
        }
    }

    /// Reserves parts of the teams' limits for steps that the limits block. Only the first step of a
    /// team that the workers could run is considered: late work is not placed before work that can still
    /// end in time.
    pub(crate) fn reserve_limits(&mut self, ctx: &mut Ctx, policy: &Policy) {
        let teams: Vec<TeamName> = self.pending.limited_teams().cloned().collect();
        let mut checked_steps = 0;
        for team in teams {
            let waiting = self
                .pending
                .waiting_for_team(&team, u64::MAX, MAX_CHECKED_STEPS);
            for id in waiting {
                let Some(key) = self.pending.key(id).cloned() else {
                    continue;
                };
                let reserved = self.reserve_limit(ctx, policy, &key, &mut checked_steps);
                if reserved == LimitCheck::Considered {
                    break;
                }
            }
        }
    }

    /// Reserves a part of its team's limit for a step that the limit blocks. Most steps start soon
    /// without a reservation, so nothing is reserved before the step has stalled or, if it needs much at
    /// once, before half of the time is over in which it can still start in time.
    fn reserve_limit(
        &mut self,
        ctx: &mut Ctx,
        policy: &Policy,
        key: &StepKey,
        checked_steps: &mut usize,
    ) -> LimitCheck {
        let at = usize::from(key.step);
        let Some(job) = self.jobs.get(&key.job) else {
            return LimitCheck::Skipped;
        };
        let team = job.row.team.as_ref().and_then(|name| policy.team(name));
        let Some(team) = team else {
            return LimitCheck::Skipped;
        };
        let (spec, count) = (&job.row.submission.steps[at], min_tasks(job, at));
        let (need, limit) = (spec.need.times(count), effective_limit(team));
        let is_blocked = self.team_headroom(policy, job, at) < count;
        // A step that exceeds the whole limit can never start.
        if !need.fits(&limit) {
            return LimitCheck::Skipped;
        }
        if !is_blocked {
            // The next pass wakes it.
            return LimitCheck::Considered;
        }
        let is_large = spec.gang || !need.times(2).fits(&limit);
        if !self.has_waited_long(ctx.now, policy, key, is_large)
            || !self.limit_reservations.may_reserve(ctx.now, &team.name)
        {
            return LimitCheck::Considered;
        }
        // A step that the workers can't run must not block the team's other steps.
        if *checked_steps >= MAX_CHECKED_STEPS {
            return LimitCheck::Skipped;
        }
        *checked_steps += 1;
        if !self.has_workers_for(policy, job, at) {
            return LimitCheck::Skipped;
        }
        let reservations = &mut self.limit_reservations;
        reservations.reserve(ctx.now, &team.name, key, need);
        self.freed_teams.insert(team.name.clone());
        let event = LogEvent::info("limit_reserved").with("step", key);
        ctx.log(event.with("team", &team.name).with("need", need));
        LimitCheck::Considered
    }

    /// Returns whether a step has stalled or, if it needs much of the limit at once, has waited for half of
    /// the time in which it can still start in time.
    fn has_waited_long(&self, now: Millis, policy: &Policy, key: &StepKey, is_large: bool) -> bool {
        let job = self.jobs.get(&key.job);
        let waiting_since = job.and_then(|job| job.steps[usize::from(key.step)].waiting_since);
        let waiting_since = waiting_since.unwrap_or(now);
        let slack_ms = Millis(self.rank(policy, key).latest_start_ms).since(waiting_since);
        let min_wait_ms = match is_large {
            true => Millis(slack_ms.0 / 2).min(consts::STALL_THRESHOLD_MS),
            false => consts::STALL_THRESHOLD_MS,
        };
        now.since(waiting_since) >= min_wait_ms
    }

    /// Returns whether the workers that may run a step could hold the tasks that must start at the same
    /// time, if no other tasks of the team ran on them.
    fn has_workers_for(&self, policy: &Policy, job: &Job, at: usize) -> bool {
        let Some(queue) = policy.queue(&job.row) else {
            return false;
        };
        let (spec, advice) = (&job.row.submission.steps[at], &job.steps[at].advice);
        let max_on_worker = spec.per_worker.map_or(u64::MAX, u64::from);
        let mut missing = min_tasks(job, at);
        for (ix, worker) in self.fleet.iter() {
            let is_denied = queue.advice.is_some() && advice.denies(ix);
            if worker.listed && !is_denied && may_run(worker, queue, spec) {
                let others = worker.runs.values().filter(|run| run.team != job.row.team);
                let others = others.fold(Resources::default(), |sum, run| sum.plus(run.need));
                let slots = spec.need.count_in(&worker.capacity().minus(others));
                missing = missing.saturating_sub(slots.min(max_on_worker));
            }
            if missing == 0 {
                return true;
            }
        }
        false
    }
}
