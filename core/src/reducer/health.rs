//! What this daemon can't reach, told at each change.

use super::Core;
use crate::{consts, DecisionEvent, Millis};

/// What was told last; a daemon that just started has reached nothing and honours no key.
#[derive(Debug)]
pub(super) struct Health {
    table_silent: bool,
    keys_stale: bool,
    hosts_stale: bool,
    /// When the host list was asked for, if that is not answered.
    hosts_asked_ms: Option<Millis>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            table_silent: false,
            keys_stale: true,
            hosts_stale: false,
            hosts_asked_ms: None,
        }
    }
}

impl Core {
    pub(super) fn hosts_are_read(&mut self) {
        self.health.hosts_asked_ms = None;
    }

    pub(super) fn hosts_are_asked(&mut self) {
        self.health.hosts_asked_ms.get_or_insert(self.now_ms);
    }

    pub(super) const fn hosts_are_awaited(&self) -> bool {
        self.health.hosts_asked_ms.is_some()
    }

    pub(super) fn scan_health(&mut self) {
        let silent = self.is_table_unreachable();
        if std::mem::replace(&mut self.health.table_silent, silent) != silent {
            self.log(DecisionEvent::TableUnreachable {
                unreachable: silent,
            });
        }
        let stale = !self.is_fresh();
        if std::mem::replace(&mut self.health.keys_stale, stale) != stale {
            self.log(DecisionEvent::KeysStale { stale });
        }
        let silent_ms = self
            .health
            .hosts_asked_ms
            .map(|at_ms| self.now_ms.since(at_ms));
        let stale = silent_ms.is_some_and(|span_ms| span_ms > consts::HOST_LIST_TIMEOUT_MS);
        if std::mem::replace(&mut self.health.hosts_stale, stale) != stale {
            self.log(DecisionEvent::HostsStale { stale });
        }
    }
}
