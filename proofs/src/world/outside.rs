//! The platform in the world, and the faults that a script switches on.

use super::{Due, World};
use crate::{
    faults::{End, Passage},
    history::Observation,
    statement::Statement,
};
use pomelotide_core::{DaemonId, Event, Host, Millis, OpId, Query, TableReply, Txn, WorkerId};
use pomelotide_standins::TableModel;
use pomelotide_wire::{WireRead, WireTxn};
use std::collections::BTreeMap;

/// How long a daemon waits for the platform's answer.
const PLATFORM_LIMIT_MS: Millis = Millis(2_000);

/// The platform.
#[derive(Debug, Default)]
pub(super) struct Platform {
    pub(super) table: TableModel,
    pub(super) hosts: BTreeMap<String, Host>,
    stale: Option<Vec<Host>>,
    down: bool,
    slow_ms: Millis,
    lose: u32,
}

/// What a daemon asks of the table.
#[derive(Clone, Debug)]
pub(super) enum Job {
    Write(WireTxn),
    Read(WireRead),
    Malformed,
}

/// A call on its way to the table.
#[derive(Clone, Debug)]
pub(super) struct TableCall {
    daemon: DaemonId,
    op: OpId,
    job: Job,
}

impl Job {
    pub(super) fn write(txn: &Txn) -> Self {
        WireTxn::try_from(txn).map_or(Job::Malformed, Job::Write)
    }

    pub(super) fn read(query: &Query) -> Self {
        Job::Read(WireRead::from(query))
    }
}

impl World {
    fn platform_passage(&mut self, daemon: &DaemonId) -> Passage {
        let mut rng = self.rng.clone();
        let passage = self
            .paths
            .pass(self.end_of(daemon), End::platform(), &mut rng);
        self.rng = rng;
        passage
    }

    pub(super) fn call_table(&mut self, daemon: &DaemonId, op: OpId, job: Job) {
        let passage = self.platform_passage(daemon);
        // Whatever happens, the daemon's adapter gives up after its time limit.
        self.answer_table(
            daemon,
            op,
            TableReply::Lost,
            self.now_ms + PLATFORM_LIMIT_MS,
        );
        if let Passage::After(delay_ms) = passage {
            let at_ms = self.now_ms + delay_ms + self.platform.slow_ms;
            let call = TableCall {
                daemon: daemon.clone(),
                op,
                job,
            };
            self.schedule(at_ms, Due::Table(Box::new(call)));
        }
    }

    pub(super) fn table_reached(&mut self, call: TableCall) {
        let TableCall { daemon, op, job } = call;
        let lost = self.platform.lose > 0 && matches!(job, Job::Write(_));
        let reply = self.platform.answer(&job);
        if lost && reply != TableReply::Refused {
            self.platform.lose -= 1;
            return;
        }
        if let Passage::After(delay_ms) = self.platform_passage(&daemon) {
            self.answer_table(&daemon, op, reply, self.now_ms + delay_ms);
        }
    }

    fn answer_table(&mut self, daemon: &DaemonId, op: OpId, reply: TableReply, at_ms: Millis) {
        let event = Event::TableAnswered { op, reply };
        self.schedule(at_ms, Due::ToDaemon(daemon.clone(), Box::new(event)));
    }

    pub(super) fn read_hosts(&mut self, daemon: &DaemonId) {
        let passage = self.platform_passage(daemon);
        if let (Passage::After(delay_ms), false) = (passage, self.platform.down) {
            let hosts = self.platform.list();
            let event = Event::HostsRead { hosts };
            let at_ms = self.now_ms + delay_ms + delay_ms;
            self.schedule(at_ms, Due::ToDaemon(daemon.clone(), Box::new(event)));
        }
    }

    /// Switches a fault on or off, or does something to a process.
    pub(crate) fn afflict(&mut self, statement: &Statement) {
        match statement {
            Statement::Trace => self.trace = true,
            Statement::Kill(name) => self.kill(name),
            Statement::Start(name) => {
                self.kill(name);
                let domain = self.nodes.get(name).map(|node| node.domain.clone());
                self.start(name, &domain.unwrap_or_default());
            }
            Statement::Pause(name) => self.pause(name),
            Statement::Resume(name) => self.resume(name),
            Statement::Drain(name) => self.drain(name),
            Statement::Drift(name, percent) => {
                if let Some(node) = self.nodes.get_mut(name) {
                    node.drift(*percent);
                }
            }
            Statement::Cut(a, b) => self.paths.cut(a.clone(), b.clone()),
            Statement::Heal(a, b) => self.paths.heal(a.clone(), b.clone()),
            Statement::HealAll => self.heal_all(),
            Statement::Delay(a, b, delay_ms) => self.paths.delay(a.clone(), b.clone(), *delay_ms),
            Statement::Loss(a, b, percent) => self.paths.lose(a.clone(), b.clone(), *percent),
            Statement::Silence(daemon, worker) => self.silence(daemon, worker),
            Statement::TableDown(down) => self.platform.down = *down,
            Statement::TableSlow(slow_ms) => self.platform.slow_ms = *slow_ms,
            Statement::TableLose(count) => self.platform.lose = *count,
            Statement::HostsStale(stale) => self.platform.freeze(*stale),
            Statement::Leave(worker) => self.leave(worker),
            Statement::Crash(worker) => self.crash(worker, true),
            Statement::Remove(worker) => {
                self.crash(worker, false);
                self.platform.hosts.remove(worker);
            }
            Statement::Fails(worker) => {
                self.with_worker(worker, |node| node.model.faults.fails_all = true);
            }
            Statement::IgnoreClaims(worker) => {
                self.with_worker(worker, |node| node.model.faults.ignores_claims = true);
            }
            _ => {}
        }
    }

    fn with_worker(&mut self, worker: &str, job: impl FnOnce(&mut super::WorkerNode)) {
        if let Some(node) = self.workers.get_mut(worker) {
            job(node);
        }
    }

    fn kill(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.core = None;
        for call in std::mem::take(&mut node.calls).into_values() {
            self.observe(&Observation::Broken { call });
        }
    }

    fn pause(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused = true;
        }
    }

    fn resume(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.paused = false;
        let daemon = node.id.clone();
        for event in std::mem::take(&mut node.backlog) {
            self.step(&daemon, event);
        }
    }

    fn drain(&mut self, name: &str) {
        if let Some(daemon) = self.nodes.get(name).map(|node| node.id.clone()) {
            self.give(&daemon, Event::DrainAsked);
        }
    }

    fn heal_all(&mut self) {
        self.paths.heal_all();
        self.platform.down = false;
        self.platform.slow_ms = Millis(0);
        self.platform.lose = 0;
        self.platform.freeze(false);
        let paused: Vec<String> = self.nodes.keys().cloned().collect();
        for name in paused {
            self.resume(&name);
        }
    }

    fn silence(&mut self, daemon: &str, worker: &str) {
        let Some(id) = self.nodes.get(daemon).map(|node| node.id.clone()) else {
            return;
        };
        self.with_worker(worker, |node| node.silence(&id));
    }

    fn leave(&mut self, worker: &str) {
        if let Some(host) = self.platform.hosts.get_mut(worker) {
            host.leaving = true;
            let worker = WorkerId::new(worker);
            self.observe(&Observation::Leaving { worker });
        }
    }

    fn crash(&mut self, worker: &str, comes_back: bool) {
        let Some(node) = self.workers.get_mut(worker) else {
            return;
        };
        let links = node.links();
        node.crash();
        node.up = comes_back;
        let worker = WorkerId::new(worker);
        self.observe(&Observation::Crashed {
            worker: worker.clone(),
        });
        for (daemon, link) in links {
            let event = Event::WorkerUnlinked {
                worker: worker.clone(),
                link,
            };
            self.schedule(
                self.now_ms + Millis(1),
                Due::ToDaemon(daemon, Box::new(event)),
            );
        }
    }
}

impl Platform {
    fn answer(&mut self, job: &Job) -> TableReply {
        if self.down {
            return TableReply::Refused;
        }
        let reply = match job {
            Job::Write(txn) => TableReply::try_from(&self.table.apply(txn)),
            Job::Read(read) => TableReply::try_from(&self.table.read(read)),
            Job::Malformed => return TableReply::Refused,
        };
        reply.unwrap_or(TableReply::Lost)
    }

    fn list(&self) -> Vec<Host> {
        match &self.stale {
            Some(hosts) => hosts.clone(),
            None => self.hosts.values().cloned().collect(),
        }
    }

    fn freeze(&mut self, stale: bool) {
        self.stale = stale.then(|| self.hosts.values().cloned().collect());
    }
}
