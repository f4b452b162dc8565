//! Upper bounds of the encoded sizes of rows, which the store limits.

use crate::cell::{consts, JobRow, Progress, Queue, RowValue, StepProgress, StepSpec};
use compact_str::CompactString;

/// The fixed part of a row: field names, numbers and the headers of texts and lists.
const ROW_BYTES: usize = 1_024;
/// The fixed part of a job's step.
const STEP_SPEC_BYTES: usize = 384;
/// The index of a step in the list of the steps that another one follows.
const STEP_INDEX_BYTES: usize = 3;
/// The fixed part of the progress of a step.
const STEP_PROGRESS_BYTES: usize = 64;
/// A task's index, the number of one of its runs, or the header of a list or text.
const NUMBER_BYTES: usize = 5;
/// A placement without the worker's id, with the end of a lease.
const PLACEMENT_BYTES: usize = 50;

fn text_bytes(text: Option<&CompactString>) -> usize {
    text.map_or(0, CompactString::len)
}

/// Returns an upper bound of the encoded size of a placement on a worker with an id of this length.
pub(crate) const fn max_placement_bytes(id_bytes: usize) -> usize {
    PLACEMENT_BYTES + id_bytes
}

/// Returns the longest id of a worker for which `count` placements fit into `free_bytes`.
pub(crate) fn max_id_bytes(free_bytes: usize, count: u32) -> usize {
    let each = free_bytes / (count.max(1) as usize);
    each.saturating_sub(PLACEMENT_BYTES)
}

/// Returns how many steps a job can have at most for its row to fit into the store.
pub(crate) const fn max_steps(max_value_bytes: usize) -> usize {
    max_value_bytes.saturating_sub(ROW_BYTES) / STEP_SPEC_BYTES
}

/// Whether a job's rows fit into the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SizeCheck {
    Fits,
    /// It can't be recorded, for this reason.
    TooLarge(&'static str),
    /// That depends on the length of the workers' ids, which is unknown.
    Undecided,
}

impl StepProgress {
    /// Returns an upper bound of the encoded size without placements and checkpoints.
    fn max_base_bytes(&self) -> usize {
        let runs = self.failed.values().map(|runs| 2 + runs.len());
        STEP_PROGRESS_BYTES + self.done.len() + runs.sum::<usize>() * NUMBER_BYTES
    }

    /// Returns an upper bound of the encoded size.
    fn max_encoded_bytes(&self) -> usize {
        let texts = self.checkpoints.values();
        let texts = texts.map(|text| 2 * NUMBER_BYTES + text.len());
        let ids = self.placed.values().map(|run| run.worker.as_str().len());
        self.max_base_bytes() + texts.sum::<usize>() + ids.map(max_placement_bytes).sum::<usize>()
    }
}

impl Progress {
    /// Returns an upper bound of the encoded size without placements and checkpoints.
    pub(crate) fn max_base_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepProgress::max_base_bytes);
        ROW_BYTES + steps.sum::<usize>()
    }

    /// Returns an upper bound of the encoded size.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepProgress::max_encoded_bytes);
        ROW_BYTES + steps.sum::<usize>()
    }
}

impl StepSpec {
    fn max_encoded_bytes(&self) -> usize {
        STEP_SPEC_BYTES
            + self.after.len() * STEP_INDEX_BYTES
            + text_bytes(self.requirement.as_ref())
            + text_bytes(self.affinity.as_ref())
    }
}

impl Queue {
    fn text_bytes(&self) -> usize {
        let texts = [&self.host, &self.path_prefix, &self.service];
        let texts = texts.map(CompactString::len);
        self.name.as_str().len() + texts.iter().sum::<usize>()
    }
}

impl JobRow {
    /// Returns an upper bound of the encoded size.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        let steps = self.submission.steps.iter();
        let team = self.team.as_ref().map_or(0, |team| team.as_str().len());
        ROW_BYTES
            + self.id.as_str().len()
            + self.queue.as_str().len()
            + team
            + self.submission.payload.len()
            + steps.map(StepSpec::max_encoded_bytes).sum::<usize>()
            + self.queue_spec.as_deref().map_or(0, Queue::text_bytes)
    }

    /// Checks whether the job can be recorded in rows of this size: its own row, and the placements of a
    /// gang, all of which are recorded before its start, on workers whose ids have up to `id_bytes` bytes.
    pub(crate) fn check_size(&self, max_value_bytes: usize, id_bytes: Option<usize>) -> SizeCheck {
        if self.max_encoded_bytes() > max_value_bytes {
            return SizeCheck::TooLarge("steps: the job is too large");
        }
        let fits = |id_bytes| self.max_gang_bytes(id_bytes) <= max_value_bytes;
        let id_bytes = id_bytes.map(|bytes| bytes.clamp(1, consts::MAX_WORKER_ID_BYTES));
        match id_bytes {
            _ if fits(consts::MAX_WORKER_ID_BYTES) => SizeCheck::Fits,
            Some(bytes) if fits(bytes) => SizeCheck::Fits,
            None if fits(1) => SizeCheck::Undecided,
            _ => SizeCheck::TooLarge("count: a gang has too many tasks"),
        }
    }

    /// Returns an upper bound of the encoded size of the progress while the largest gang is placed.
    fn max_gang_bytes(&self, id_bytes: usize) -> usize {
        let steps = &self.submission.steps;
        let counts = steps.iter().map(|step| step.count as usize);
        let progress_bytes =
            ROW_BYTES + steps.len() * STEP_PROGRESS_BYTES + counts.sum::<usize>().div_ceil(8);
        let gangs = steps.iter().filter(|step| step.gang);
        let members = gangs.map(|step| step.count as usize).max().unwrap_or(0);
        progress_bytes.saturating_add(members.saturating_mul(max_placement_bytes(id_bytes)))
    }
}

impl RowValue {
    /// Returns an upper bound of the encoded size of a row that a daemon writes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            RowValue::Job(job) => job.max_encoded_bytes(),
            RowValue::Withdrawn(withdrawal) => ROW_BYTES + withdrawal.text_bytes(),
            RowValue::Progress(progress) => progress.max_encoded_bytes(),
            RowValue::Term(term) => ROW_BYTES + text_bytes(term.holder.as_ref()),
            RowValue::Member(member) => ROW_BYTES + member.address.len(),
            RowValue::DesiredState(_)
            | RowValue::DomainDrain
            | RowValue::Gone
            | RowValue::Lease(_)
            | RowValue::Unusable(_)
            | RowValue::Worker(_) => ROW_BYTES,
        }
    }
}
