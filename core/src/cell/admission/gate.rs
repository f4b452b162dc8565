//! The decisions on submissions at one daemon.

use crate::{
    cell::admission::{
        decide, Admission, AdmissionTable, JobDemand, RefusalReason, RetryPlaces, MAX_TABLE_AGE_MS,
    },
    JobId, Millis, TeamName,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// A service and a team.
type TeamKey = (CompactString, Option<TeamName>);

/// The last table from the leader, and what this daemon has accepted since.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    table: Option<(Millis, AdmissionTable)>,
    /// The longest expected wait by this table.
    longest_wait_ms: Millis,
    accepted: BTreeMap<TeamKey, u64>,
    places: RetryPlaces,
}

/// A refusal with the inputs of its decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Why the job is refused.
    pub reason: RefusalReason,
    /// When its caller may come back.
    pub retry_after_ms: Millis,
    /// After which time it was expected to start.
    pub expected_start_ms: Millis,
    /// The bound of the expected start.
    pub last_useful_start_ms: Millis,
    /// The version of the table.
    pub table_version: u64,
    /// The time since the table arrived.
    pub table_age_ms: Millis,
}

impl AdmissionGate {
    /// Replaces the table; `None` while the leader has none.
    pub fn set_table(&mut self, now: Millis, table: Option<AdmissionTable>) {
        let longest_wait_ms = table.as_ref().map(AdmissionTable::longest_wait_ms);
        self.longest_wait_ms = longest_wait_ms.unwrap_or_default();
        self.table = table.map(|table| (now, table));
        self.accepted.clear();
    }

    /// Returns the longest time after which a new job of a listed team would start, by a recent table.
    pub fn expected_wait_ms(&self, now: Millis) -> Option<Millis> {
        let (at, _) = self.table.as_ref()?;
        let is_recent = now.since(*at).0 <= MAX_TABLE_AGE_MS;
        is_recent.then_some(self.longest_wait_ms)
    }

    /// Decides on a submission; returns why it is refused, or `None` if it is accepted, and then counts
    /// its work.
    pub fn check(&mut self, now: Millis, id: &JobId, mut job: JobDemand) -> Option<Verdict> {
        let (at, table) = self.table.as_ref()?;
        let key = (job.service.clone(), job.team.clone());
        job.accepted_work = self.accepted.get(&key).copied().unwrap_or(0);
        let age_ms = now.since(*at);
        let (reason, excess, expected_start_ms, last_useful_start_ms) =
            match decide(table, age_ms, &job) {
                Admission::Accept => {
                    let sum = job.accepted_work.saturating_add(job.work);
                    self.accepted.insert(key, sum);
                    return None;
                }
                Admission::Refuse {
                    reason,
                    retry_after_ms,
                    expected_start_ms,
                    last_useful_start_ms,
                } => (
                    reason,
                    retry_after_ms,
                    expected_start_ms,
                    last_useful_start_ms,
                ),
            };
        let pool = table.pool(&job.service)?;
        let service_ms = job.service_ms(pool, table.daemons);
        let retry_after_ms = self.places.retry_after_ms(now, id, key, excess, service_ms);
        Some(Verdict {
            reason,
            retry_after_ms,
            expected_start_ms,
            last_useful_start_ms,
            table_version: table.version,
            table_age_ms: age_ms,
        })
    }
}
