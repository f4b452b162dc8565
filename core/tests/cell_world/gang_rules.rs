//! The rules for the members of a gang: they begin to work once all are present, end together, and end
//! if another member has ended or has not started in time.

use super::{FakeStore, FakeWorker};
use pomelotide_core::{
    cell::{RowKey, RowValue, RunOutcome, StepKey, Table, TaskKey},
    WorkerId,
};
use std::collections::BTreeMap;

/// How long a member waits for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// One run of a gang.
#[derive(Debug, Default)]
struct GangRun {
    /// The most members that were present.
    present: usize,
    is_complete: bool,
}

/// A member that is present: its worker, its task and when its run began.
type Member = (WorkerId, TaskKey, u64);

/// The runs of all gangs, by step and run number.
#[derive(Debug, Default)]
pub struct GangRuns(BTreeMap<(StepKey, u32), GangRun>);

/// Returns the number of members of a gang; `None` for other steps and for removed jobs.
fn gang_size(store: &FakeStore, key: &StepKey) -> Option<usize> {
    let is_row = |row: &&RowKey| row.table == Table::Jobs && row.key == key.job.as_str();
    let row = store.rows.keys().find(is_row)?;
    let RowValue::Job(job) = &store.rows[row].1 else {
        return None;
    };
    let spec = job.submission.steps.get(usize::from(key.step))?;
    spec.gang.then_some(spec.count as usize)
}

impl GangRuns {
    /// Lets the members of each gang begin or end.
    pub fn apply(
        &mut self,
        now: u64,
        store: &FakeStore,
        workers: &mut BTreeMap<WorkerId, FakeWorker>,
    ) {
        let mut members: BTreeMap<(StepKey, u32), Vec<Member>> = BTreeMap::new();
        for worker in workers.values() {
            for (task, run, begin) in worker.active_runs() {
                let list = members.entry((task.step.clone(), run)).or_default();
                list.push((worker.id(), task.clone(), begin));
            }
        }
        for (key, members) in members {
            let Some(size) = gang_size(store, &key.0) else {
                continue;
            };
            let gang = self.0.entry(key).or_default();
            let is_broken = members.len() < gang.present;
            let begins_work = !gang.is_complete && members.len() == size;
            gang.present = gang.present.max(members.len());
            gang.is_complete |= begins_work;
            for (id, task, begin) in members {
                let Some(worker) = workers.get_mut(&id) else {
                    continue;
                };
                if is_broken {
                    worker.end(now, &task, RunOutcome::Broken);
                } else if begins_work {
                    worker.set_until(&task, now + worker.work_ms);
                } else if !gang.is_complete && now >= begin + GANG_TIMEOUT_MS {
                    worker.end(now, &task, RunOutcome::Alone);
                } else if !gang.is_complete {
                    worker.set_until(&task, u64::MAX);
                }
            }
        }
    }
}
