//! Whether a job is accepted.

use crate::{
    cell::admission::{
        AdmissionTable, JobDemand, PoolTable, RefusalReason, MAX_TABLE_AGE_MS, USEFUL_FACTOR,
    },
    Millis,
};

/// The least part of an estimate that a run takes, in thousandths: estimates are off by up to 0.9.
const LEAST_RUN_PERMILLE: u64 = 100;
/// Three times the standard deviation of the relative error of one estimate, in thousandths: an error
/// between -0.9 and 0.9 without a preference has a standard deviation of 0.9 / sqrt(3) = 0.52.
const ERROR_PERMILLE: u64 = 1_560;

/// The decision on a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job can't start while its result is useful.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// After which time the same job would be accepted if nothing else were.
        retry_after_ms: Millis,
        /// After which time it was expected to start.
        expected_start_ms: Millis,
        /// The bound of the expected start, with the margin for errors of estimates.
        last_useful_start_ms: Millis,
    },
}

/// Decides whether a job is accepted, by a table that arrived `age` ago. A table that is too old, a
/// service without waiting work or usable workers and a team without a weight refuse nothing.
pub fn decide(table: &AdmissionTable, age: Millis, job: &JobDemand) -> Admission {
    if age.0 > MAX_TABLE_AGE_MS || job.weight == 0 {
        return Admission::Accept;
    }
    let Some(pool) = table.pool(&job.service) else {
        return Admission::Accept;
    };
    let team = job.team.as_ref();
    let load = pool.load(team);
    // The other daemons are assumed to accept as much as this one.
    let added = job.accepted_work.saturating_mul(table.daemons.max(1));
    let is_surplus = load.is_some_and(|load| load.is_surplus);
    if !is_surplus && pool.in_time_start_ms(team, job.weight, added) <= job.latest_start_ms() {
        // Work that can end in time goes before all other work.
        return Admission::Accept;
    }
    let bound_ms = last_useful_start_ms(job, load.map_or(0, |load| load.jobs));
    let expected_start_ms = pool.expected_start_ms(team, job.weight, added);
    if expected_start_ms <= bound_ms {
        return Admission::Accept;
    }
    let own_work = load.map_or(0, |load| load.work).saturating_add(added);
    let alone_ms = own_work.checked_div(pool.capacity_milli).unwrap_or(0);
    Admission::Refuse {
        reason: match alone_ms > bound_ms.0 {
            true => RefusalReason::TeamBacklog,
            false => RefusalReason::FleetFull,
        },
        retry_after_ms: expected_start_ms.since(bound_ms),
        expected_start_ms,
        last_useful_start_ms: bound_ms,
    }
}

/// Returns the expected start from which on a job is refused, with `jobs` jobs of its team ahead.
///
/// The job itself may take a tenth of its estimate. The work ahead is certainly more than its estimate
/// less three standard deviations of the sum of its errors, which shrink with the number of jobs.
fn last_useful_start_ms(job: &JobDemand, jobs: u64) -> Millis {
    let least_run_ms = job.chain_ms.0 / 1_000 * LEAST_RUN_PERMILLE
        + job.chain_ms.0 % 1_000 * LEAST_RUN_PERMILLE / 1_000;
    let last_start_ms = job.useful_ms.0.saturating_sub(least_run_ms);
    let error_permille = ERROR_PERMILLE * 1_000 / (jobs.saturating_mul(1_000_000)).isqrt().max(1);
    let least_permille = 1_000u64
        .saturating_sub(error_permille)
        .max(LEAST_RUN_PERMILLE);
    Millis(last_start_ms.saturating_mul(1_000) / least_permille)
}

impl JobDemand {
    /// Returns the latest start with which the job can end in time.
    fn latest_start_ms(&self) -> Millis {
        Millis(self.useful_ms.0 / USEFUL_FACTOR).since(self.chain_ms)
    }

    /// Returns how long the share of its team takes for its work, with as much work from each other
    /// daemon.
    pub(super) fn service_ms(&self, pool: &PoolTable, daemons: u64) -> Millis {
        let share_milli = pool.share_milli(self.team.as_ref(), self.weight);
        let work = self.work.saturating_mul(daemons.max(1));
        Millis(work / share_milli.max(1))
    }
}
