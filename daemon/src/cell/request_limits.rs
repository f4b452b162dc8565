//! The limits on clients' requests.

use pomelotide_core::cell::RequestLimits;
use std::sync::{Mutex, PoisonError};

/// The limits on clients' requests: those of the desired state, which the control thread sets for the network
/// thread, and that of the store's rows.
#[derive(Debug)]
pub(crate) struct SharedRequestLimits {
    desired: Mutex<RequestLimits>,
    /// The most steps of a job.
    max_steps: usize,
}

impl SharedRequestLimits {
    pub(crate) fn new(max_steps: usize) -> Self {
        Self {
            desired: Mutex::default(),
            max_steps,
        }
    }

    pub(crate) fn set(&self, limits: RequestLimits) {
        *self.desired.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    pub(crate) fn get(&self) -> RequestLimits {
        *self.desired.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn max_steps(&self) -> usize {
        self.max_steps
    }
}
