//! Logs when the table, a fresh configuration or the host list becomes available or unavailable.

use super::Core;
use crate::{consts, DecisionEvent, Millis};

/// The conditions that were logged last. Keys start as stale, since a daemon accepts none before it
/// has read the configuration.
#[derive(Debug)]
pub(super) struct Health {
    table_unreachable: bool,
    keys_stale: bool,
    hosts_stale: bool,
    /// When the host list was requested, if the request is unanswered.
    hosts_requested_ms: Option<Millis>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            table_unreachable: false,
            keys_stale: true,
            hosts_stale: false,
            hosts_requested_ms: None,
        }
    }
}

impl Core {
    pub(super) fn record_hosts_read(&mut self) {
        self.health.hosts_requested_ms = None;
    }

    pub(super) fn record_hosts_requested(&mut self) {
        self.health.hosts_requested_ms.get_or_insert(self.now_ms);
    }

    pub(super) const fn is_awaiting_hosts(&self) -> bool {
        self.health.hosts_requested_ms.is_some()
    }

    pub(super) fn scan_health(&mut self) {
        let unreachable = self.is_table_unreachable();
        if std::mem::replace(&mut self.health.table_unreachable, unreachable) != unreachable {
            self.log(DecisionEvent::TableUnreachable { unreachable });
        }
        let stale = !self.is_fresh();
        if std::mem::replace(&mut self.health.keys_stale, stale) != stale {
            self.log(DecisionEvent::KeysStale { stale });
        }
        let unanswered_ms = self
            .health
            .hosts_requested_ms
            .map(|at_ms| self.now_ms.since(at_ms));
        let stale = unanswered_ms.is_some_and(|age_ms| age_ms > consts::HOST_LIST_TIMEOUT_MS);
        if std::mem::replace(&mut self.health.hosts_stale, stale) != stale {
            self.log(DecisionEvent::HostsStale { stale });
        }
    }
}
