//! Keeps the backlog up to date with the jobs, and makes the table for the heartbeats.

use crate::{
    cell::{
        admission::{useful_ms, AdmissionTable, WaitingJob, USEFUL_FACTOR},
        ctx::Ctx,
        leader::{jobs::Job, worker::Worker, Leader},
        Queue,
    },
    JobId, Millis, TeamName,
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The part of the processors, as a divisor, that must be in use for waiting work to count as an overload:
/// large tasks may leave almost half of each worker free.
const BUSY_DIVISOR: u64 = 2;

impl Job {
    /// Returns what the job adds to the backlog: nothing once it has ended.
    fn waiting_work(&self) -> u64 {
        if !self.is_open() {
            return 0;
        }
        let steps = self.steps.iter().zip(&self.row.submission.steps);
        let works = steps.map(|(step, spec)| {
            let cpu_milli = u64::from(step.waiting()).saturating_mul(spec.need.cpu_milli);
            cpu_milli.saturating_mul(spec.estimated_ms.0.max(1))
        });
        works.fold(0, u64::saturating_add)
    }

    fn waiting_job(&self, queue: &Queue) -> WaitingJob {
        let chain_ms = self.row.submission.critical_path_ms();
        let useful_ms = useful_ms(queue, chain_ms);
        let start_within = |end_ms: Millis| self.accepted_at + end_ms.since(Millis(chain_ms));
        let latest_start_at = start_within(Millis(useful_ms.0 / USEFUL_FACTOR));
        WaitingJob {
            service: queue.service.clone(),
            team: self.row.team.clone(),
            latest_start_at: (!self.surplus).then_some(latest_start_at),
            useful_start_at: start_within(useful_ms),
            work: 0,
        }
    }
}

impl Leader {
    /// Updates the backlog after a change of a job's runs, done tasks or state. The service and the
    /// latest useful start are those at the time when the leader learned of the job.
    pub(crate) fn refresh_backlog(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut waiting = job.waiting.clone();
        if waiting.service.is_empty() {
            let policy = self.policy.as_ref();
            let current = policy.and_then(|policy| policy.queue(&job.row));
            let Some(queue) = current.or(job.row.queue_spec.as_deref()) else {
                return;
            };
            waiting = job.waiting_job(queue);
        }
        waiting.work = job.waiting_work();
        self.backlog.replace(&job.waiting, &waiting);
        if let Some(job) = self.jobs.get_mut(id) {
            job.waiting = waiting;
        }
    }

    /// Returns the table of the waiting work; `None` while it is not known.
    pub(crate) fn admission_table(&mut self, ctx: &Ctx) -> Option<Box<AdmissionTable>> {
        if !ctx.settings.admission || !self.loader.is_done() {
            return None;
        }
        let policy = self.policy.clone()?;
        let capacities = self.capacities(ctx.now);
        let rates = &self.team_rates;
        let share = |name: Option<&TeamName>| match name.and_then(|name| policy.team(name)) {
            Some(team) => (
                team.weight,
                team.weight > 0 && rates.is_exhausted(ctx.now, &team.name, team.weight),
            ),
            None => (0, false),
        };
        let daemons = self.members.count();
        let table = self.backlog.table(ctx.now, daemons, &capacities, share);
        Some(Box::new(table))
    }

    /// Returns the processors of each service's workers that accept work, in thousandths of a core.
    /// Workers that have not reported to this leader yet are included, those in drained domains are not.
    /// Services whose workers are mostly idle are left out: what waits there waits for something else than
    /// processors.
    fn capacities(&self, now: Millis) -> BTreeMap<CompactString, u64> {
        let accepts_work = |worker: &&Worker| {
            let is_reachable = worker.listed && worker.failed_polls == 0;
            is_reachable && !worker.is_drained && now >= worker.quarantined_until
        };
        let mut sums: BTreeMap<CompactString, (u64, u64)> = BTreeMap::new();
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        for worker in workers.filter(accepts_work) {
            let Some(entry) = worker.paired().filter(|entry| !entry.draining) else {
                continue;
            };
            let (capacity, used) = sums.entry(entry.service.clone()).or_default();
            *capacity = capacity.saturating_add(entry.capacity.cpu_milli);
            *used = used.saturating_add(worker.used.cpu_milli);
        }
        let is_busy = |capacity, used: u64| used.saturating_mul(BUSY_DIVISOR) >= capacity;
        sums.into_iter()
            .filter(|(_, (capacity, used))| is_busy(*capacity, *used))
            .map(|(service, (capacity, _))| (service, capacity))
            .collect()
    }

    /// Returns how many operations the backlog and its tables have taken so far.
    pub fn backlog_operations(&self) -> u64 {
        self.backlog.operations()
    }

    /// Returns the waiting work as it is kept by event and as a count over all jobs gives it, in
    /// thousandths of a core times milliseconds.
    pub fn waiting_work(&self) -> (u64, u64) {
        let counted = self.jobs.values().map(Job::waiting_work);
        let counted = counted.fold(0, u64::saturating_add);
        (self.backlog.total_work(), counted)
    }
}
