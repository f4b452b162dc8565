//! Preemption: stops and requeues a team's youngest tasks when its limit was lowered below its
//! usage.

use super::Core;
use crate::{consts, Link, Millis, Resources, TaskId, TeamName, UnitKind, WorkerCommand, WorkerIx};
use std::cmp::Reverse;

/// A job's task that may be stopped and run again later.
struct StoppableTask {
    since_ms: Millis,
    worker_ix: WorkerIx,
    task: TaskId,
    need: Resources,
}

impl Core {
    /// Repeats the check periodically, since a worker may have been disconnected when its tasks
    /// were to stop.
    pub(super) fn scan_surplus(&mut self) {
        if self.next_surplus_scan_ms <= self.now_ms {
            self.next_surplus_scan_ms = self.now_ms + consts::SURPLUS_CHECK_INTERVAL_MS;
            self.stop_surplus();
        }
    }

    /// Stops tasks of teams that exceed their limits.
    ///
    /// Requests run to their end, since callers wait for them.
    pub(super) fn stop_surplus(&mut self) {
        if !self.is_leader() {
            return;
        }
        let teams: Vec<TeamName> = self.config.teams().cloned().collect();
        for team in teams {
            let surplus = self.surplus(&team);
            if surplus != Resources::default() {
                self.stop_youngest(&team, surplus);
            }
        }
    }

    /// Returns how much a team uses beyond its allotment.
    ///
    /// A pending increase of the allotment counts already, so that tasks which were started under the
    /// earlier allotment keep running.
    fn surplus(&self, team: &TeamName) -> Resources {
        self.fleet.usage(team).minus(self.limits.target(team))
    }

    fn stop_youngest(&mut self, team: &TeamName, mut surplus: Resources) {
        let mut tasks = self.stoppable_tasks(team);
        tasks.sort_by_key(|task| (Reverse(task.since_ms), task.task.clone()));
        for StoppableTask {
            worker_ix,
            task,
            need,
            ..
        } in tasks
        {
            if surplus == Resources::default() {
                return;
            }
            if need.min(surplus) != Resources::default() {
                surplus = surplus.minus(need);
                self.send_command(worker_ix, WorkerCommand::Stop(task));
            }
        }
    }

    fn stoppable_tasks(&self, team: &TeamName) -> Vec<StoppableTask> {
        let mut found = Vec::new();
        for worker_ix in self.fleet.indices() {
            let worker = self.fleet.get(worker_ix);
            if worker.link != Link::Ready {
                continue;
            }
            let of_team = worker
                .tasks
                .iter()
                .filter(|(_, running)| running.team == *team);
            let job_tasks =
                of_team.filter(|(_, run)| matches!(run.unit, Some(UnitKind::Task { .. })));
            found.extend(job_tasks.map(|(task, running)| StoppableTask {
                since_ms: running.since_ms,
                worker_ix,
                task: task.clone(),
                need: running.need,
            }));
        }
        found
    }
}
