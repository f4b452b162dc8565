//! Counts of what scheduling looks at, as a measure of its cost that does not depend on the host.

/// What a leader's scheduling has looked at so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulingWork {
    /// How many pending steps were examined, each time counted.
    pub steps_examined: u64,
    /// How many workers were considered for a step, each time counted.
    pub workers_considered: u64,
}

impl SchedulingWork {
    /// Returns what was looked at since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            steps_examined: self.steps_examined.saturating_sub(earlier.steps_examined),
            workers_considered: self
                .workers_considered
                .saturating_sub(earlier.workers_considered),
        }
    }

    /// Returns the sum of both counts.
    pub fn total(self) -> u64 {
        self.steps_examined + self.workers_considered
    }
}
