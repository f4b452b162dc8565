//! When the callers of refused jobs come back.

use crate::{JobId, Millis, TeamName};
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};

/// The least delay before a retry. A daemon that receives the retry recognizes it as later than the
/// refusal by the time of the refusal's record, whose write may take `STORE_TIMEOUT_MS`.
pub const MIN_RETRY_AFTER_MS: Millis = Millis(2_000);
/// The longest delay before a retry; a place further away tells a caller that it need not come back.
pub const MAX_RETRY_AFTER_MS: Millis = Millis(60_000);
/// The most refused jobs whose places are remembered; the oldest are forgotten first.
const MAX_PLACES: usize = 4_096;

/// The order in which the callers of refused jobs come back: by their first refusal, at the rate at which
/// the backlog of their team drains.
#[derive(Clone, Debug, Default)]
pub struct RetryPlaces {
    /// The place of each refused job.
    places: BTreeMap<JobId, Millis>,
    order: VecDeque<JobId>,
    /// The last place that was given for each service and team.
    last: BTreeMap<(CompactString, Option<TeamName>), Millis>,
}

impl RetryPlaces {
    /// Returns the delay before the retry of a job that would be accepted `excess` from now, and whose
    /// work takes `service_ms` of its team's share.
    pub fn retry_after_ms(
        &mut self,
        now: Millis,
        id: &JobId,
        team: (CompactString, Option<TeamName>),
        excess: Millis,
        service_ms: Millis,
    ) -> Millis {
        let delay = |at: Millis| at.since(now).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        if let Some(place) = self.places.get(id) {
            return delay(*place);
        }
        let last = self.last.entry(team).or_default();
        let place = (now + excess.max(MIN_RETRY_AFTER_MS)).max(*last + service_ms);
        // Beyond the longest delay there is no order to keep.
        *last = place.min(now + MAX_RETRY_AFTER_MS);
        self.places.insert(id.clone(), place);
        self.order.push_back(id.clone());
        if self.order.len() > MAX_PLACES {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
        if self.last.len() > MAX_PLACES {
            self.last.retain(|_, at| *at > now);
        }
        delay(place)
    }
}
