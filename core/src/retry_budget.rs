//! A budget for retries in proportion to requests.

use crate::consts::{RETRY_BUDGET_BURST, RETRY_BUDGET_PERCENT};

/// The cost of one retry in hundredths.
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Grants retries up to a fixed percentage of requests, so that retries do not amplify an overload.
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
    /// Adds the retries that one request grants, up to the maximum of the budget.
    pub fn record_request(&mut self) {
        self.hundredths = (self.hundredths + RETRY_BUDGET_PERCENT)
            .min(RETRY_BUDGET_BURST * RETRY_COST_HUNDREDTHS);
    }

    /// Takes one retry from the budget and returns whether one was left.
    pub fn try_spend(&mut self) -> bool {
        let granted = self.hundredths >= RETRY_COST_HUNDREDTHS;
        if granted {
            self.hundredths -= RETRY_COST_HUNDREDTHS;
        }
        granted
    }
}
