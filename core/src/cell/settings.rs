//! What the reducer of a cell's daemon is given at its start.

use crate::Millis;
use compact_str::CompactString;

/// The settings of a cell's daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSettings {
    /// The host's name.
    pub host: CompactString,
    /// The failure domain.
    pub domain: CompactString,
    /// Where the other daemons connect, as `IP:port`.
    pub address: CompactString,
    /// The host's processor share, in thousandths of a core; stronger hosts lead.
    pub cpu_milli: u64,
    /// The longest lease that workers grant.
    pub max_lease_ms: Millis,
    /// How long after its withdrawal a key may at most be honoured.
    pub revoke_ms: Millis,
    /// How long after a planned stop was asked for the process is ended.
    pub grace_ms: Millis,
    /// How long an ended job can be asked for.
    pub retention_ms: Millis,
}

/// Builds [`CellSettings`] from the bounds that hold where nothing else is said.
#[derive(Clone, Debug)]
pub struct CellSettingsBuilder(CellSettings);

impl CellSettingsBuilder {
    /// Begins with what has no default.
    pub fn new(host: &str, domain: &str, address: &str) -> Self {
        Self(CellSettings {
            host: host.into(),
            domain: domain.into(),
            address: address.into(),
            cpu_milli: 1_000,
            max_lease_ms: Millis(10_000),
            revoke_ms: Millis(5_000),
            grace_ms: Millis(6_000),
            retention_ms: Millis(120_000),
        })
    }

    /// Sets the host's processor share.
    pub fn cpu_milli(mut self, share: u64) -> Self {
        self.0.cpu_milli = share;
        self
    }

    /// Sets the longest lease of workers.
    pub fn max_lease_ms(mut self, span_ms: Millis) -> Self {
        self.0.max_lease_ms = span_ms;
        self
    }

    /// Sets how long a withdrawn key may be honoured.
    pub fn revoke_ms(mut self, span_ms: Millis) -> Self {
        self.0.revoke_ms = span_ms;
        self
    }

    /// Sets how long a planned stop may take.
    pub fn grace_ms(mut self, span_ms: Millis) -> Self {
        self.0.grace_ms = span_ms;
        self
    }

    /// Sets how long ended jobs are kept.
    pub fn retention_ms(mut self, span_ms: Millis) -> Self {
        self.0.retention_ms = span_ms;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> CellSettings {
        self.0
    }
}
