//! A budget for retries in proportion to the requests served.

use crate::consts::{RETRY_BUDGET_BURST, RETRY_BUDGET_PERCENT};

/// The cost of one retry, in hundredths.
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Grants retries as a fixed part of all requests, so that retries never multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: RETRY_BUDGET_BURST * RETRY_COST_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self) {
        self.hundredths = (self.hundredths + RETRY_BUDGET_PERCENT)
            .min(RETRY_BUDGET_BURST * RETRY_COST_HUNDREDTHS);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let granted = self.hundredths >= RETRY_COST_HUNDREDTHS;
        if granted {
            self.hundredths -= RETRY_COST_HUNDREDTHS;
        }
        granted
    }
}
