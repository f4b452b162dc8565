//! The run time of requests at workers.

use crate::Millis;

/// The inverse weight of a new sample in the moving average.
const INVERSE_SAMPLE_WEIGHT: u64 = 16;

/// The moving average of requests' run times, from which waiting times are estimated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// The average in milliseconds, multiplied by [`INVERSE_SAMPLE_WEIGHT`]; zero before the first
    /// sample.
    scaled_mean: u64,
}

impl ServiceTime {
    /// Adds a request's run time.
    pub fn observe(&mut self, ran_ms: Millis) {
        let scaled_ms = ran_ms.0 * INVERSE_SAMPLE_WEIGHT;
        self.scaled_mean = match self.scaled_mean {
            0 => scaled_ms,
            mean => (mean * (INVERSE_SAMPLE_WEIGHT - 1) + scaled_ms) / INVERSE_SAMPLE_WEIGHT,
        };
    }

    /// Returns the estimated time to serve pending requests at a given concurrency, or zero before
    /// the first sample.
    pub const fn estimate_wait_ms(&self, pending: usize, concurrency: u64) -> Millis {
        let concurrency = if concurrency == 0 { 1 } else { concurrency };
        Millis(pending as u64 * self.scaled_mean / INVERSE_SAMPLE_WEIGHT / concurrency)
    }
}
