//! A daemon's estimate of the store's monotonic clock.

use crate::Millis;

/// The assumed drift between the clocks of the store and a host, as a divisor of the elapsed time:
/// 0.1%.
const DRIFT_DIVISOR: u64 = 1_000;

/// Bounds of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    /// A time of the host's clock and the highest time that the store's clock may have shown then.
    bound: Option<(Millis, Millis)>,
    /// A time of the host's clock and a time that the store's clock had reached by then.
    reached: Option<(Millis, Millis)>,
}

impl StoreClock {
    /// Updates the bounds with the store's clock from the answer to a call sent at `sent_at`, which
    /// arrives at `now`.
    pub(crate) fn observe(&mut self, sent_at: Millis, now: Millis, clock_ms: Millis) {
        if self.at_least(now).is_none_or(|known| clock_ms > known) {
            self.reached = Some((now, clock_ms));
        }
        let known = self.at_most(sent_at);
        if known.is_none_or(|known| clock_ms < known) {
            self.bound = Some((sent_at, clock_ms));
        }
    }

    /// Returns how long a span of the store's clock takes at most by the host's clock.
    pub(crate) fn longest(span: Millis) -> Millis {
        span + Millis(span.0 / DRIFT_DIVISOR)
    }

    /// Returns a time that the store's clock has certainly reached at `now`; `None` if no answer has
    /// arrived by then.
    pub(crate) fn at_least(&self, now: Millis) -> Option<Millis> {
        let (at, clock_ms) = self.reached?;
        let passed = now.0.checked_sub(at.0)?;
        Some(clock_ms + Millis(passed - passed.div_ceil(DRIFT_DIVISOR)))
    }

    /// Returns the highest time that the store's clock may show at `now`.
    pub(crate) fn at_most(&self, now: Millis) -> Option<Millis> {
        let (at, clock_ms) = self.bound?;
        if now < at {
            return Some(clock_ms);
        }
        let passed = now.since(at);
        Some(clock_ms + passed + Millis(passed.0 / DRIFT_DIVISOR))
    }
}
