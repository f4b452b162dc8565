//! How long requests take at workers.

use crate::Millis;

/// The part by which one request moves the mean.
const MEAN_WEIGHT: u64 = 16;

/// The mean time that requests ran lately, from which waiting times are estimated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// The mean in parts of a millisecond.
    scaled_mean: u64,
}

impl ServiceTime {
    /// Takes in a request's run time.
    pub fn observe(&mut self, ran_ms: Millis) {
        let scaled_ms = ran_ms.0 * MEAN_WEIGHT;
        self.scaled_mean = match self.scaled_mean {
            0 => scaled_ms,
            mean => (mean * (MEAN_WEIGHT - 1) + scaled_ms) / MEAN_WEIGHT,
        };
    }

    /// Estimates how long it takes to serve waiting requests, so many at a time; zero where nothing
    /// was observed yet.
    pub const fn estimate_wait_ms(&self, waiting: usize, concurrency: u64) -> Millis {
        let concurrency = if concurrency == 0 { 1 } else { concurrency };
        Millis(waiting as u64 * self.scaled_mean / MEAN_WEIGHT / concurrency)
    }
}
