//! Which team's jobs exceed its share: a bucket for each team, refilled by its weight.
//!
//! The load: one team sends many times its usual. Its surplus waits behind what the others sent.

use crate::{Millis, TeamName};
use std::collections::BTreeMap;

/// The thousandths of a job that stand for a whole one.
const MILLI_PER_JOB: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens_milli: u64,
    refilled_at: Millis,
}

/// The teams' buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRateLimiter {
    buckets: BTreeMap<TeamName, Bucket>,
}

impl TeamRateLimiter {
    /// Takes a job of a team with a weight in jobs a second; says whether it is within its share.
    pub(crate) fn admit(&mut self, now: Millis, team: &TeamName, weight: u64) -> bool {
        let capacity_milli = weight * MILLI_PER_JOB;
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            tokens_milli: capacity_milli,
            refilled_at: now,
        });
        // A weight in jobs a second is the same number in thousandths a millisecond.
        let refilled = bucket.tokens_milli + now.since(bucket.refilled_at).0 * weight;
        bucket.refilled_at = now;
        bucket.tokens_milli = refilled.min(capacity_milli);
        if bucket.tokens_milli < MILLI_PER_JOB {
            return false;
        }
        bucket.tokens_milli -= MILLI_PER_JOB;
        true
    }
}
