//! Connections between daemons and workers in the world.

use super::{Command, Due, World, DIAL_MS, WORKER_TICK_MS};
use crate::{faults::Passage, history::Observation};
use pomelotide_core::{DaemonId, Event, TaskStart, WorkerCommand, WorkerId, WorkerReport};

impl World {
    pub(super) fn worker_passage(&mut self, daemon: &DaemonId, worker: &WorkerId) -> Passage {
        let mut rng = self.rng.clone();
        let passage = self
            .paths
            .pass(self.end_of(daemon), self.end_of_worker(worker), &mut rng);
        self.rng = rng;
        passage
    }

    pub(super) fn link_opened(&mut self, daemon: &DaemonId, worker: &WorkerId, link: u64) {
        let passage = self.worker_passage(daemon, worker);
        let up = self
            .workers
            .get(worker.as_str())
            .is_some_and(|node| node.up);
        let worker = worker.clone();
        if up && matches!(passage, Passage::After(_)) {
            if let Some(node) = self.workers.get_mut(worker.as_str()) {
                node.link(daemon, link);
            }
            self.give(daemon, Event::WorkerLinked { worker, link });
        } else {
            let event = Event::WorkerUnlinked { worker, link };
            self.schedule(
                self.now_ms + DIAL_MS,
                Due::ToDaemon(daemon.clone(), Box::new(event)),
            );
        }
    }

    pub(super) fn send_worker(&mut self, command: Command) {
        let passage = self.worker_passage(&command.daemon, &command.worker);
        // Each connection keeps its own order: what a silent one still holds may come late.
        let from = format!("{}#{}", command.daemon, command.link);
        self.break_if_lost(passage, &command.worker, &command.daemon, command.link);
        if let Some(at_ms) = self.arrival(&from, command.worker.as_str(), passage) {
            self.schedule(at_ms, Due::ToWorker(Box::new(command)));
        }
    }

    /// Lets a connection that lost a message go silent for good: a stream never skips one.
    fn break_if_lost(&mut self, passage: Passage, worker: &WorkerId, daemon: &DaemonId, link: u64) {
        let node = self.workers.get_mut(worker.as_str());
        if let (Passage::Lost, Some(node)) = (passage, node) {
            node.break_link(daemon, link);
        }
    }

    pub(super) fn worker_commanded(&mut self, command: Command) {
        let now_ms = self.now_ms;
        let Command {
            daemon,
            worker,
            link,
            claim,
            command,
        } = command;
        let Some(node) = self.workers.get_mut(worker.as_str()) else {
            return;
        };
        if !node.up || node.is_silent(&daemon, link) {
            return;
        }
        let before = node.model.started().len();
        let start = match &command {
            WorkerCommand::Start(start) => Some(start.clone()),
            _ => None,
        };
        let reports = node.model.handle_command(now_ms, claim, command);
        let started = node.model.started().len() > before;
        if reports
            .iter()
            .any(|report| matches!(report, WorkerReport::Claimed { .. }))
        {
            node.claimer = Some((daemon.clone(), link));
        }
        if let Some(start) = start {
            self.see_start(&worker, start, started, &reports);
        }
        for report in reports {
            self.see_report(&worker, &report);
            self.report(&worker, &daemon, link, report);
        }
    }

    fn see_start(
        &mut self,
        worker: &WorkerId,
        start: TaskStart,
        started: bool,
        reports: &[WorkerReport],
    ) {
        let (worker, task) = (worker.clone(), start.task);
        if reports
            .iter()
            .any(|report| matches!(report, WorkerReport::NoRoom(_)))
        {
            self.observe(&Observation::Overcommitted { worker, task });
        } else if started {
            let (team, need) = (start.team, start.need);
            self.observe(&Observation::Started {
                worker,
                task,
                team,
                need,
            });
        }
    }

    fn see_report(&mut self, worker: &WorkerId, report: &WorkerReport) {
        if let WorkerReport::Ended(ended) = report {
            let (worker, task, end) = (worker.clone(), ended.task.clone(), ended.end);
            self.observe(&Observation::Ended { worker, task, end });
        }
    }

    fn report(&mut self, worker: &WorkerId, daemon: &DaemonId, link: u64, report: WorkerReport) {
        let silent = self
            .workers
            .get(worker.as_str())
            .is_some_and(|n| n.is_silent(daemon, link));
        if silent {
            return;
        }
        let passage = self.worker_passage(daemon, worker);
        let to = format!("{daemon}#{link}");
        self.break_if_lost(passage, worker, daemon, link);
        if let Some(at_ms) = self.arrival(worker.as_str(), &to, passage) {
            let event = Event::WorkerHeard {
                worker: worker.clone(),
                link,
                report,
            };
            self.schedule(at_ms, Due::ToDaemon(daemon.clone(), Box::new(event)));
        }
    }

    pub(super) fn worker_tick(&mut self, worker: &WorkerId) {
        let now_ms = self.now_ms;
        let Some(node) = self.workers.get_mut(worker.as_str()) else {
            return;
        };
        let reports = if node.up {
            node.model.tick(now_ms)
        } else {
            Vec::new()
        };
        let claimer = node.claimer.clone();
        self.schedule(now_ms + WORKER_TICK_MS, Due::WorkerTick(worker.clone()));
        for report in reports {
            self.see_report(worker, &report);
            if let Some((daemon, link)) = &claimer {
                self.report(worker, daemon, *link, report);
            }
        }
    }
}
