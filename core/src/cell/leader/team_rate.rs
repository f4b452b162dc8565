//! Detects jobs beyond a team's share, with a token bucket for each team that refills by its
//! weight.
//!
//! When one team submits many times its usual rate, its surplus waits behind the jobs of the
//! others.

use crate::{Millis, TeamName};
use std::collections::BTreeMap;

const MILLI_PER_JOB: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens_milli: u64,
    refilled_at: Millis,
}

/// The token buckets of all teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRateLimiter {
    buckets: BTreeMap<TeamName, Bucket>,
}

impl TeamRateLimiter {
    /// Returns whether a job of a team would be beyond its share now.
    pub(crate) fn is_exhausted(&self, now: Millis, team: &TeamName, weight: u64) -> bool {
        self.buckets.get(team).is_some_and(|bucket| {
            let gained = now.since(bucket.refilled_at).0.saturating_mul(weight);
            bucket.tokens_milli.saturating_add(gained) < MILLI_PER_JOB
        })
    }

    /// Charges a job to a team, whose weight is in jobs per second; returns whether the job is
    /// within the team's share.
    pub(crate) fn admit(&mut self, now: Millis, team: &TeamName, weight: u64) -> bool {
        let capacity_milli = weight.saturating_mul(MILLI_PER_JOB);
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            tokens_milli: capacity_milli,
            refilled_at: now,
        });
        // Jobs per second equal thousandths of a job per millisecond.
        let gained = now.since(bucket.refilled_at).0.saturating_mul(weight);
        let refilled = bucket.tokens_milli.saturating_add(gained);
        bucket.refilled_at = now;
        bucket.tokens_milli = refilled.min(capacity_milli);
        if bucket.tokens_milli < MILLI_PER_JOB {
            return false;
        }
        bucket.tokens_milli -= MILLI_PER_JOB;
        true
    }
}
