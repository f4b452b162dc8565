//! A daemon and a worker in the world.

use crate::{history::CallNumber, recording::Recording};
use pomelotide_core::{CallId, Core, CoreSettings, DaemonId, DomainName, Event, Millis, Resources};
use pomelotide_standins::WorkerModel;
use std::collections::{BTreeMap, BTreeSet};

/// How long the balancer keeps sending to a daemon that was asked to stop.
const DRAIN_GRACE_MS: Millis = Millis(1_000);

/// A daemon.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) id: DaemonId,
    pub(super) domain: String,
    pub(super) starts: u32,
    pub(super) core: Option<Core>,
    pub(super) paused: bool,
    pub(super) backlog: Vec<Event>,
    pub(super) calls: BTreeMap<CallId, CallNumber>,
    pub(super) last_call: CallId,
    /// What the daemon took in and gave out, for a replay.
    pub(super) recording: Recording,
    begun_ms: Millis,
    drift_percent: i64,
}

impl Node {
    pub(super) fn new(name: &str, domain: &str, starts: u32, now_ms: Millis) -> Self {
        let id = DaemonId::new(format!("{name}.{starts}"));
        let settings = CoreSettings {
            daemon: id.clone(),
            domain: DomainName::new(domain),
            address: name.into(),
            drain_grace_ms: DRAIN_GRACE_MS,
        };
        let recording = Recording::new(settings.clone());
        Self {
            id,
            domain: domain.into(),
            starts,
            core: Some(Core::new(settings)),
            paused: false,
            backlog: Vec::new(),
            calls: BTreeMap::new(),
            last_call: CallId(0),
            recording,
            begun_ms: now_ms,
            drift_percent: 0,
        }
    }

    /// Returns the daemon's own clock, which counts from its start.
    pub(super) fn clock_ms(&self, now_ms: Millis) -> Millis {
        let true_ms = now_ms.since(self.begun_ms).0 as i64;
        let own_ms = true_ms + true_ms * self.drift_percent / 100;
        Millis(own_ms.max(0) as u64)
    }

    pub(super) fn drift(&mut self, percent: i64) {
        self.drift_percent = percent;
    }
}

/// A worker.
#[derive(Debug)]
pub(super) struct WorkerNode {
    pub(super) domain: String,
    pub(super) up: bool,
    pub(super) model: WorkerModel,
    /// The connection by which the latest claim came.
    pub(super) claimer: Option<(DaemonId, u64)>,
    links: BTreeMap<DaemonId, u64>,
    silent: BTreeSet<(DaemonId, u64)>,
    incarnation: u64,
    capacity: Resources,
}

impl WorkerNode {
    pub(super) fn new(domain: &str, capacity: Resources) -> Self {
        Self {
            domain: domain.into(),
            up: true,
            model: WorkerModel::new(capacity, 1),
            claimer: None,
            links: BTreeMap::new(),
            silent: BTreeSet::new(),
            incarnation: 1,
            capacity,
        }
    }

    pub(super) fn link(&mut self, daemon: &DaemonId, link: u64) {
        self.links.insert(daemon.clone(), link);
    }

    pub(super) fn unlink(&mut self, daemon: &DaemonId) {
        self.links.remove(daemon);
    }

    /// Returns the open connections.
    pub(super) fn links(&self) -> Vec<(DaemonId, u64)> {
        self.links
            .iter()
            .map(|(daemon, link)| (daemon.clone(), *link))
            .collect()
    }

    /// Lets the open connection of a daemon go silent.
    pub(super) fn silence(&mut self, daemon: &DaemonId) {
        if let Some(link) = self.links.get(daemon) {
            self.silent.insert((daemon.clone(), *link));
        }
    }

    pub(super) fn break_link(&mut self, daemon: &DaemonId, link: u64) {
        self.silent.insert((daemon.clone(), link));
    }

    pub(super) fn is_silent(&self, daemon: &DaemonId, link: u64) -> bool {
        self.silent.contains(&(daemon.clone(), link))
    }

    /// Loses all tasks and starts anew.
    pub(super) fn crash(&mut self) {
        self.incarnation += 1;
        let faults = self.model.faults;
        self.model = WorkerModel::new(self.capacity, self.incarnation);
        self.model.faults = faults;
        self.claimer = None;
        self.links.clear();
    }
}
