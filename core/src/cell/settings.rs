//! Settings of a cell's daemon.

use crate::Millis;
use compact_str::CompactString;

/// The settings of a cell's daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSettings {
    /// The name of the host.
    pub host: CompactString,
    /// The failure domain of the host.
    pub domain: CompactString,
    /// The address for connections of other daemons, as `IP:port`.
    pub address: CompactString,
    /// The host's processor share, in thousandths of a core; larger ones are preferred as leader.
    pub cpu_milli: u64,
    /// The longest lease that workers accept.
    pub max_lease_ms: Millis,
    /// The longest time that an API key may be accepted after its withdrawal.
    pub key_revocation_ms: Millis,
    /// The grace period of a planned stop, after which the process is killed.
    pub stop_grace_ms: Millis,
    /// How long the state of an ended job stays available.
    pub retention_ms: Millis,
    /// The most bytes of a row's value in the store, as base64.
    pub max_row_bytes: usize,
    /// Whether jobs that can't start while their result is useful are refused.
    pub admission: bool,
}

impl CellSettings {
    /// Returns the most bytes of a row's value before it is encoded as base64.
    pub fn max_value_bytes(&self) -> usize {
        self.max_row_bytes / 4 * 3
    }
}

/// Builds [`CellSettings`], with defaults for everything but names and the address.
#[derive(Clone, Debug)]
pub struct CellSettingsBuilder(CellSettings);

impl CellSettingsBuilder {
    /// Creates a builder with the settings that have no default.
    pub fn new(host: &str, domain: &str, address: &str) -> Self {
        Self(CellSettings {
            host: host.into(),
            domain: domain.into(),
            address: address.into(),
            cpu_milli: 1_000,
            max_lease_ms: Millis(10_000),
            key_revocation_ms: Millis(5_000),
            stop_grace_ms: Millis(6_000),
            retention_ms: Millis(120_000),
            max_row_bytes: 65_536,
            admission: true,
        })
    }

    /// Sets the host's processor share, in thousandths of a core.
    pub fn cpu_milli(mut self, share: u64) -> Self {
        self.0.cpu_milli = share;
        self
    }

    /// Sets the longest lease that workers accept.
    pub fn max_lease_ms(mut self, span_ms: Millis) -> Self {
        self.0.max_lease_ms = span_ms;
        self
    }

    /// Sets how long an API key may be accepted after its withdrawal.
    pub fn key_revocation_ms(mut self, span_ms: Millis) -> Self {
        self.0.key_revocation_ms = span_ms;
        self
    }

    /// Sets the grace period of a planned stop.
    pub fn stop_grace_ms(mut self, span_ms: Millis) -> Self {
        self.0.stop_grace_ms = span_ms;
        self
    }

    /// Sets how long the state of ended jobs stays available.
    pub fn retention_ms(mut self, span_ms: Millis) -> Self {
        self.0.retention_ms = span_ms;
        self
    }

    /// Sets the most bytes of a row's value in the store, as base64.
    pub fn max_row_bytes(mut self, bytes: usize) -> Self {
        self.0.max_row_bytes = bytes;
        self
    }

    /// Sets whether jobs that can't start while their result is useful are refused.
    pub fn admission(mut self, enabled: bool) -> Self {
        self.0.admission = enabled;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> CellSettings {
        self.0
    }
}
