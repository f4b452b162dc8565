//! Which team's jobs exceed its share: a bucket for each team, filled by its weight.
//!
//! The load: one team sends many times its usual. Its surplus waits behind what the others sent.

use crate::{Millis, TeamName};
use std::collections::BTreeMap;

/// The thousandths of a job that stand for a whole one.
const WHOLE: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level_milli: u64,
    filled_at: Millis,
}

/// The teams' buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRateLimiter {
    buckets: BTreeMap<TeamName, Bucket>,
}

impl TeamRateLimiter {
    /// Takes a job of a team with a weight in jobs a second; says whether it is within its share.
    pub(crate) fn admit(&mut self, now: Millis, team: &TeamName, weight: u64) -> bool {
        let most = weight * WHOLE;
        let bucket = self.buckets.entry(team.clone()).or_insert(Bucket {
            level_milli: most,
            filled_at: now,
        });
        // A weight in jobs a second is the same number in thousandths a millisecond.
        let filled = bucket.level_milli + now.since(bucket.filled_at).0 * weight;
        bucket.filled_at = now;
        bucket.level_milli = filled.min(most);
        if bucket.level_milli < WHOLE {
            return false;
        }
        bucket.level_milli -= WHOLE;
        true
    }
}
