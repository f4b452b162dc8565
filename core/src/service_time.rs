//! How long requests take at workers.

use crate::Millis;

/// The part by which one request moves the mean.
const WEIGHT: u64 = 16;

/// The mean time that requests ran lately, from which waiting times are estimated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// The mean in parts of a millisecond.
    mean_parts: u64,
}

impl ServiceTime {
    /// Takes in a request's run time.
    pub fn observe(&mut self, ran_ms: Millis) {
        let ran_parts = ran_ms.0 * WEIGHT;
        self.mean_parts = match self.mean_parts {
            0 => ran_parts,
            mean => (mean * (WEIGHT - 1) + ran_parts) / WEIGHT,
        };
    }

    /// Estimates how long it takes to serve waiting requests, so many at a time; zero where nothing
    /// was observed yet.
    pub const fn wait_ms(&self, waiting: usize, at_a_time: u64) -> Millis {
        let at_a_time = if at_a_time == 0 { 1 } else { at_a_time };
        Millis(waiting as u64 * self.mean_parts / WEIGHT / at_a_time)
    }
}
