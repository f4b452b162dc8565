//! What this daemon can't reach, told at each change.

use super::Core;
use crate::{consts, Millis, Told};

/// What was told last; a daemon that just started has reached nothing and honours no key.
#[derive(Debug)]
pub(super) struct Health {
    table_silent: bool,
    keys_stale: bool,
    hosts_stale: bool,
    /// When the host list was last read, or this daemon started.
    hosts_ms: Millis,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            table_silent: false,
            keys_stale: true,
            hosts_stale: false,
            hosts_ms: Millis(0),
        }
    }
}

impl Core {
    pub(super) fn hosts_are_read(&mut self) {
        self.health.hosts_ms = self.now_ms;
    }

    pub(super) fn scan_health(&mut self) {
        let silent = self.own_silent_ms().is_some();
        if std::mem::replace(&mut self.health.table_silent, silent) != silent {
            self.tell(Told::TableSilent { silent });
        }
        let stale = !self.is_fresh();
        if std::mem::replace(&mut self.health.keys_stale, stale) != stale {
            self.tell(Told::KeysStale { stale });
        }
        let stale = self.now_ms.since(self.health.hosts_ms) > consts::HOSTS_STALE_MS;
        if std::mem::replace(&mut self.health.hosts_stale, stale) != stale {
            self.tell(Told::HostsStale { stale });
        }
    }
}
