//! A submission that is not recorded yet.

use crate::{
    cell::{frontend::Frontend, JobRow, LinkId, QueryId, RowValue, RowVersion, Withdrawal},
    CallId, Millis,
};

/// A client or another daemon that waits for the outcome of a submission.
#[derive(Clone, Copy, Debug)]
pub(super) enum Waiter {
    Client(CallId),
    Peer(LinkId, QueryId),
}

/// A submission that is not recorded yet.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    pub(super) job: JobRow,
    pub(super) waiters: Vec<Waiter>,
    pub(super) submitted_at: Millis,
    /// A time that the store's clock had reached when the submission came in.
    pub(super) received_ms: Option<Millis>,
    /// Whether a write without an answer may have recorded the job.
    pub(super) maybe_written: bool,
    /// The version of the row in its place: zero, or that of a withdrawal by callers that may not end it.
    pub(super) expected: RowVersion,
    /// The query to the leader to record the job, if one is open.
    pub(super) relay_query: Option<QueryId>,
    /// The refusal to record in place of the job, if it is refused for load.
    pub(super) refusal: Option<Refusal>,
}

/// A refusal for load, which is answered once it is recorded.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    pub(super) retry_after_ms: Millis,
    /// The row that it replaces: cancellations by callers that may not end the job, or an earlier refusal.
    pub(super) replaced: Withdrawal,
}

impl PendingSubmission {
    /// Returns whether the job may be recorded by now, or may be later.
    pub(super) fn may_be_recorded(&self) -> bool {
        self.maybe_written || self.relay_query.is_some()
    }

    /// Returns the row to write: the job, or its refusal, which is recorded by `recorded_by` of the
    /// store's clock or its answer counts as lost.
    pub(super) fn row_value(&self, recorded_by: Option<Millis>) -> RowValue {
        match &self.refusal {
            Some(refusal) => {
                // Without a time, which is known where a job is refused, no retry replaces the row.
                let time = recorded_by.unwrap_or(Millis(u64::MAX));
                let withdrawal = refusal.replaced.clone().with_refusal(time);
                RowValue::Withdrawn(Box::new(withdrawal))
            }
            None => RowValue::Job(Box::new(self.job.clone())),
        }
    }

    /// Returns the row that its refusal replaces.
    pub(super) fn replaced(&self) -> Withdrawal {
        let refusal = self.refusal.as_ref();
        refusal.map_or_else(Withdrawal::default, |refusal| refusal.replaced.clone())
    }

    /// Returns whether a client of this daemon still waits for the outcome.
    pub(super) fn has_open_client(&self, frontend: &Frontend) -> bool {
        let is_open = |waiter: &Waiter| match waiter {
            Waiter::Client(call) => frontend.is_open(*call),
            Waiter::Peer(..) => false,
        };
        self.waiters.iter().any(is_open)
    }
}
