//! What the store's reply to a write means for one of its submissions.

use super::{job_key, pending_submission::PendingSubmission};
use crate::{
    cell::{consts, JobAccess, JobRow, Row, RowValue, RowVersion, StoreReply, Withdrawal},
    Millis,
};

/// The result of a write for one of its submissions.
pub(super) enum WriteResult {
    /// The job is recorded, with this version of its row. The row of an earlier write is given; its team
    /// may differ.
    Accepted {
        version: RowVersion,
        earlier: Option<Box<JobRow>>,
    },
    /// Another job with the same id is recorded.
    IdTaken,
    /// A caller that may end the job has cancelled it.
    Withdrawn,
    /// The job was refused, possibly after this submission came in.
    RefusedLater,
    /// The write has to be repeated while the row has this version, or the job forwarded to the leader.
    Retry {
        maybe_written: bool,
        expected: RowVersion,
        /// The row that has this version.
        replaced: Withdrawal,
        /// Whether the store answers, so that the write can be repeated at once.
        store_answers: bool,
    },
}

/// Returns the result of a write for a submission that certainly came in when the store's clock had reached
/// `received`; `None` if that is not known, or no client of this daemon waits for it any more. The reply
/// arrived `took_ms` after the write.
pub(super) fn write_result(
    pending: &PendingSubmission,
    reply: &StoreReply,
    received: Option<Millis>,
    took_ms: Millis,
) -> WriteResult {
    let repeat = |maybe_written| WriteResult::Retry {
        maybe_written,
        expected: pending.expected,
        replaced: pending.replaced(),
        store_answers: false,
    };
    match reply {
        // The refusal may be recorded later than its row says.
        StoreReply::Written(version)
            if pending.refusal.is_some() && took_ms > consts::STORE_TIMEOUT_MS =>
        {
            WriteResult::Retry {
                maybe_written: false,
                expected: *version,
                replaced: pending.replaced(),
                store_answers: true,
            }
        }
        StoreReply::Written(version) => WriteResult::Accepted {
            version: *version,
            earlier: None,
        },
        StoreReply::Conflict(rows) => {
            let key = job_key(&pending.job.id);
            let exists = |row: &&Row| row.key == key && row.version > RowVersion(0);
            conflict_result(pending, rows.iter().find(exists), received)
        }
        StoreReply::Refused(_) => repeat(false),
        _ => repeat(true),
    }
}

/// Returns the result of a write that met another row, `found` in the place of the submission.
fn conflict_result(
    pending: &PendingSubmission,
    found: Option<&Row>,
    received: Option<Millis>,
) -> WriteResult {
    let retry = |expected, replaced| WriteResult::Retry {
        maybe_written: false,
        expected,
        replaced,
        store_answers: true,
    };
    let Some(row) = found else {
        return retry(RowVersion(0), Withdrawal::default());
    };
    match &row.value {
        RowValue::Withdrawn(withdrawal) if withdrawal.covers(&pending.job) => {
            WriteResult::Withdrawn
        }
        RowValue::Withdrawn(withdrawal) => {
            let is_known = row.version == pending.expected;
            let may_replace = is_known || withdrawal.is_refused_before(received);
            match may_replace || pending.refusal.is_some() {
                true => retry(row.version, (**withdrawal).clone()),
                false => WriteResult::RefusedLater,
            }
        }
        RowValue::Job(earlier) if is_same_submission(earlier, &pending.job) => {
            WriteResult::Accepted {
                version: row.version,
                earlier: Some(earlier.clone()),
            }
        }
        _ => WriteResult::IdTaken,
    }
}

/// Returns whether two jobs with one id are the same submission, regardless of when they came in: the
/// later caller may see the earlier job, whose key it need not show if the queue has become open. A queue
/// counts as the same by its address or its name: a retry after the queue has moved must not be refused as
/// not run.
pub(super) fn is_same_submission(earlier: &JobRow, job: &JobRow) -> bool {
    let has_same_address = match (&earlier.queue_spec, &job.queue_spec) {
        (Some(earlier), Some(queue)) => earlier.is_at(&queue.host, &queue.path_prefix),
        _ => false,
    };
    let is_same_queue = earlier.queue == job.queue || has_same_address;
    is_same_queue
        && earlier.submission == job.submission
        && JobAccess::of_submitter(job).covers(earlier, None)
}
