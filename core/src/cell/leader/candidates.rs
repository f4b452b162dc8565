//! The workers that may run a step and have room for it.

use crate::{
    cell::{
        consts,
        leader::{
            fit::Candidate, fleet::WorkerIx, jobs::Job, schedule::MAX_CLOCK_AGE_MS, worker::Worker,
            Leader,
        },
        Queue, StepKey, StepSpec,
    },
    Millis,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Penalty of a worker whose runs are slower than usual: it comes after all others that have not failed.
const COLD_WORKER_PENALTY: u32 = 3;
/// Penalty of a worker on which a run of the step has failed.
const FAILED_STEP_PENALTY: u32 = 4;
/// Penalty of a worker outside the rack near the step's data.
const REMOTE_DATA_PENALTY: u32 = 2;
/// Penalty of a worker whose last [`consts::QUARANTINE_FAILURES`] runs or more have all failed.
const FAILING_WORKER_PENALTY: u32 = 8;
/// How many workers without a penalty are compared for each step of single tasks.
const MIN_COMPARED_WORKERS: usize = 64;

impl Leader {
    /// Returns the workers that may run a step and have room for a task of it, with their free room.
    /// Without advice, the fullest workers come first and not all are listed for single tasks.
    pub(crate) fn candidates(
        &mut self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let at = usize::from(key.step);
        let spec = &job.row.submission.steps[at];
        let mut racks = BTreeMap::new();
        let mut considered = 0;
        let mut list = Vec::new();
        if queue.advice.is_some() {
            for ix in job.steps[at].advice.allowed() {
                considered += 1;
                list.extend(self.candidate(now, queue, key, job, ix, &mut racks));
            }
        } else {
            let enough = match spec.gang {
                true => usize::MAX,
                false => MIN_COMPARED_WORKERS.max(2 * spec.count as usize),
            };
            let mut compared = 0;
            for ix in self.fleet.by_free(spec.need.cpu_milli) {
                considered += 1;
                let candidate = self.candidate(now, queue, key, job, ix, &mut racks);
                compared += usize::from(candidate.as_ref().is_some_and(|own| own.penalty == 0));
                list.extend(candidate);
                if compared >= enough {
                    break;
                }
            }
        }
        if spec.gang {
            let max_id_bytes = self.max_gang_id_bytes(job, at);
            let fits_row =
                |own: &Candidate| self.fleet.get(own.ix).id().as_str().len() <= max_id_bytes;
            list.retain(fits_row);
        }
        self.work.workers_considered += considered;
        list
    }

    fn candidate<'a>(
        &'a self,
        now: Millis,
        queue: &Queue,
        key: &StepKey,
        job: &Job,
        ix: WorkerIx,
        racks: &mut BTreeMap<&'a CompactString, u32>,
    ) -> Option<Candidate> {
        let at = usize::from(key.step);
        let (spec, step) = (&job.row.submission.steps[at], &job.steps[at]);
        let worker = self.fleet.get(ix);
        let free = worker.free();
        let is_kept = self.kept_workers.keeper(ix).is_some_and(|own| own != key);
        if is_kept || !spec.need.fits(&free) || !may_run(worker, queue, spec) {
            return None;
        }
        if !worker.is_usable(now, MAX_CLOCK_AGE_MS) {
            return None;
        }
        let affinity = spec.affinity.as_ref();
        let is_remote = affinity.is_some_and(|rack| worker.rack() != Some(rack));
        let count = racks.len() as u32;
        let grouped = worker.rack().filter(|_| spec.same_rack);
        let failed = u32::from(step.failed_on.contains(&ix)) * FAILED_STEP_PENALTY;
        let cold = u32::from(worker.is_cold(now)) * COLD_WORKER_PENALTY;
        let is_failing = worker.failures >= consts::QUARANTINE_FAILURES;
        let failing = u32::from(is_failing) * FAILING_WORKER_PENALTY;
        Some(Candidate {
            ix,
            free,
            tasks_left: spec
                .per_worker
                .map_or(u32::MAX, |limit| limit.saturating_sub(step.runs_on(ix))),
            penalty: u32::from(is_remote) * REMOTE_DATA_PENALTY + cold + failed + failing,
            rack: grouped.map_or(0, |rack| *racks.entry(rack).or_insert(count + 1)),
        })
    }
}

/// Returns whether a worker serves the queue of a step and has the label that the step requires; not
/// while its entry is that of another incarnation.
pub(crate) fn may_run(worker: &Worker, queue: &Queue, spec: &StepSpec) -> bool {
    let label = spec.requirement.as_ref();
    worker.paired().is_some_and(|entry| {
        let has_label = label.is_none_or(|label| entry.has_label(label));
        entry.service == queue.service && has_label
    })
}
