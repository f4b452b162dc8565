//! The leader's state of one step of a job: which tasks are done and which runs they have.

use crate::{
    cell::leader::{
        advice::StepAdvice, awaited_places::AwaitedPlaces, fleet::WorkerIx, gang_wait::GangWait,
    },
    Millis,
};

/// A run of a task that may be active on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TaskRun {
    pub(crate) worker: WorkerIx,
    pub(crate) number: u32,
}

/// A task of a step.
#[derive(Clone, Debug, Default)]
struct Task {
    /// The runs that may be active: the one that this leader or an earlier one placed, and runs that
    /// workers list without a placement.
    runs: Vec<TaskRun>,
    /// The highest run number used so far.
    last_run: u32,
    is_done: bool,
}

/// One step of a job.
///
/// A run is added here when it is added to its worker, and removed when it is removed there; nothing
/// else decides whether a task may start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Step {
    tasks: Vec<Task>,
    /// How many tasks have succeeded.
    done: u32,
    /// How many tasks that have not succeeded have a run.
    running: u32,
    /// How many runs the tasks have, those of tasks that have succeeded included.
    runs: u32,
    pub(crate) advice: StepAdvice,
    /// Workers on which a run of the step has failed.
    pub(crate) failed_on: Vec<WorkerIx>,
    pub(crate) awaited: AwaitedPlaces,
    /// Why the last pass did not place the gang, and when that was logged last.
    pub(crate) logged_wait: Option<(GangWait, Millis)>,
    /// Since when a task has waited for its start while no task of the step has a run or, in a gang,
    /// while not all members have one.
    pub(crate) waiting_since: Option<Millis>,
    /// Whether the gang lost a member, so that all its runs have to end before it starts again.
    pub(crate) aborted: bool,
    /// The longest estimated run time from the start of this step to the end of the job.
    pub(crate) remaining_path_ms: u64,
}

impl Step {
    pub(crate) fn new(count: u32, remaining_path_ms: u64) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            remaining_path_ms,
            ..Self::default()
        }
    }

    /// Returns the number of tasks.
    pub(crate) fn count(&self) -> u32 {
        self.tasks.len() as u32
    }

    /// Returns how many tasks that have not succeeded have a run.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether a task has a run that may be active, whether the task has succeeded or not.
    pub(crate) fn has_runs(&self) -> bool {
        self.runs > 0
    }

    /// Returns how many runs the tasks have, those of tasks that have succeeded included.
    pub(crate) fn run_count(&self) -> usize {
        self.runs as usize
    }

    /// Returns whether all tasks have succeeded.
    pub(crate) fn is_done(&self) -> bool {
        self.done == self.count()
    }

    /// Returns whether a task may start, as far as the step itself decides: all members of a gang at
    /// once, other tasks each on their own.
    pub(crate) fn has_startable_task(&self, gang: bool) -> bool {
        let can_place = !gang || self.runs == 0;
        can_place && self.has_task_without_run()
    }

    /// Returns whether a task that has not succeeded has no run.
    pub(crate) fn has_task_without_run(&self) -> bool {
        self.count() > self.done + self.running
    }

    /// Returns how many tasks that have not succeeded have no run.
    pub(crate) fn waiting(&self) -> u32 {
        self.count() - self.done - self.running
    }

    /// Returns the tasks that have not succeeded and have no run.
    pub(crate) fn tasks_without_run(&self) -> impl Iterator<Item = u32> + '_ {
        let tasks = (0..).zip(&self.tasks);
        let is_free = |(_, task): &(u32, &Task)| !task.is_done && task.runs.is_empty();
        tasks.filter(is_free).map(|(index, _)| index)
    }

    /// Returns all runs with their tasks.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (u32, TaskRun)> + '_ {
        let tasks = (0..).zip(&self.tasks);
        tasks.flat_map(|(index, task)| task.runs.iter().map(move |run| (index, *run)))
    }

    /// Returns the runs of a task.
    pub(crate) fn runs_of(&self, index: u32) -> &[TaskRun] {
        self.task(index).map_or(&[], |task| &task.runs)
    }

    /// Returns the run of each task that has not succeeded, the newest if there are several.
    pub(crate) fn newest_runs(&self) -> impl Iterator<Item = (u32, TaskRun)> + '_ {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| !task.is_done)
            .filter_map(|(index, task)| {
                let newest = task.runs.iter().max_by_key(|run| run.number)?;
                Some((index, *newest))
            })
    }

    /// Returns how many tasks have a run on a worker.
    pub(crate) fn runs_on(&self, ix: WorkerIx) -> u32 {
        self.runs().filter(|(_, run)| run.worker == ix).count() as u32
    }

    /// Returns the highest run number that a task has used.
    pub(crate) fn last_run(&self, index: u32) -> u32 {
        self.task(index).map_or(0, |task| task.last_run)
    }

    /// Returns the highest run number that any task has used.
    pub(crate) fn last_run_of_all(&self) -> u32 {
        let runs = self.tasks.iter().map(|task| task.last_run);
        runs.max().unwrap_or(0)
    }

    /// Adds a run of a task.
    pub(crate) fn add_run(&mut self, index: u32, run: TaskRun) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        self.running += u32::from(!task.is_done && task.runs.is_empty());
        self.runs += 1;
        task.last_run = task.last_run.max(run.number);
        task.runs.push(run);
    }

    /// Removes a run of a task.
    pub(crate) fn remove_run(&mut self, index: u32, run: TaskRun) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        let Some(at) = task.runs.iter().position(|own| *own == run) else {
            return;
        };
        task.runs.swap_remove(at);
        self.runs -= 1;
        self.running -= u32::from(!task.is_done && task.runs.is_empty());
        self.aborted &= self.runs > 0;
    }

    /// Marks a task as succeeded; returns whether it was not before.
    pub(crate) fn set_done(&mut self, index: u32) -> bool {
        let task = self.tasks.get_mut(index as usize);
        let Some(task) = task.filter(|task| !task.is_done) else {
            return false;
        };
        task.is_done = true;
        self.done += 1;
        self.running -= u32::from(!task.runs.is_empty());
        true
    }

    fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }
}
