//! How fast a failure domain is used again after the request to drain it was withdrawn.

use crate::Millis;

/// How long the refill of a domain takes whose workers state no cold time: longer than a call to a worker
/// may take, so that workers that fail show before all tasks are there.
const SHORT_RAMP_MS: Millis = Millis(1_000);
/// The longest refill: the longest usual lease. Capacity that is held back for longer costs callers more
/// than cold runs do.
const MAX_RAMP_MS: Millis = Millis(10_000);

/// The part of a worker in the refill of its domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refill {
    /// When the request was withdrawn.
    pub(crate) restored_at: Millis,
    /// The worker's position among the `count` workers of the domain, from 0.
    pub(crate) position: usize,
    pub(crate) count: usize,
}

impl Refill {
    /// Returns whether work is offered to the worker at `now`, if it stays slow until `cold_until`. The
    /// workers of a domain are offered in turn, at equal intervals.
    pub(crate) fn is_offered(&self, now: Millis, cold_until: Millis) -> bool {
        let ramp_ms = ramp_ms(cold_until.since(self.restored_at));
        let delay_ms = ramp_ms.0 * self.position as u64 / self.count.max(1) as u64;
        now.since(self.restored_at) >= Millis(delay_ms)
    }
}

/// Returns how long the refill of a domain takes whose workers stay slow for `cold_ms` after it was
/// restored.
fn ramp_ms(cold_ms: Millis) -> Millis {
    cold_ms.max(SHORT_RAMP_MS).min(MAX_RAMP_MS)
}
