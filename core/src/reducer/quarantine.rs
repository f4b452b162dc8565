//! Failure attribution: quarantines workers that keep failing work that succeeds elsewhere.
//!
//! A single failure may be caused by the worker or by the work. If the work then succeeds on
//! another worker, the failure is attributed to the first worker; if it fails there too, to the
//! work.

use super::Core;
use crate::{consts, DecisionEvent, TeamName, WorkerId, WorkerIx};

impl Core {
    /// Records a success of a worker, and attributes a failure to the worker that failed the same
    /// work before.
    pub(super) fn on_worker_success(&mut self, ix: WorkerIx, failed_at: Option<WorkerId>) {
        let worker = self.fleet.get_mut(ix);
        worker.failures = 0;
        worker.unattributed_failures = 0;
        let failed_ix = failed_at.and_then(|worker| self.fleet.index_of(&worker));
        if let Some(failed_ix) = failed_ix.filter(|failed_ix| *failed_ix != ix) {
            self.attribute_failure(failed_ix);
        }
    }

    fn attribute_failure(&mut self, ix: WorkerIx) {
        let worker = self.fleet.get_mut(ix);
        worker.failures += 1;
        if worker.failures >= consts::QUARANTINE_FAILURES {
            self.quarantine(ix);
        }
    }

    /// Records a successful request of a team.
    pub(super) fn record_team_success(&mut self, team: &TeamName) {
        self.last_success_ms.insert(team.clone(), self.now_ms);
    }

    /// Returns whether a request of a team succeeded within [`consts::RECENT_SUCCESS_MS`].
    pub(super) fn has_recent_success(&self, team: &TeamName) -> bool {
        let last_ms = self.last_success_ms.get(team);
        last_ms.is_some_and(|last_ms| self.now_ms.since(*last_ms) <= consts::RECENT_SUCCESS_MS)
    }

    /// Records a failure that the worker or the work may have caused.
    ///
    /// It counts as unattributed if the work is not retried on another worker and other requests of
    /// its team succeed. A worker on probation, which has reached
    /// [`consts::QUARANTINE_FAILURES`] and has not succeeded since, is quarantined at once.
    pub(super) fn on_worker_failure(&mut self, ix: WorkerIx, is_unattributed: bool) {
        let worker = self.fleet.get_mut(ix);
        worker.unattributed_failures += u32::from(is_unattributed);
        let is_on_probation = worker.failures >= consts::QUARANTINE_FAILURES;
        if is_on_probation
            || worker.unattributed_failures >= consts::QUARANTINE_UNATTRIBUTED_FAILURES
        {
            self.quarantine(ix);
        }
    }

    fn quarantine(&mut self, ix: WorkerIx) {
        let now_ms = self.now_ms;
        let is_quarantined = self.fleet.get(ix).quarantined_until_ms > now_ms;
        if is_quarantined || !self.can_quarantine_another() {
            return;
        }
        let worker = self.fleet.get_mut(ix);
        worker.failures = worker.failures.max(consts::QUARANTINE_FAILURES);
        worker.quarantined_until_ms = now_ms + consts::QUARANTINE_MS;
        let worker = worker.host.worker.clone();
        self.log(DecisionEvent::WorkerQuarantined { worker });
    }

    fn can_quarantine_another(&self) -> bool {
        let now_ms = self.now_ms;
        let quarantined = self
            .fleet
            .iter()
            .filter(|worker| worker.quarantined_until_ms > now_ms)
            .count();
        let listed = self.fleet.iter().filter(|worker| worker.listed).count();
        quarantined * 100 < listed * consts::MAX_QUARANTINED_PERCENT
    }
}
