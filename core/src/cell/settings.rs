//! Settings of a cell's daemon.

use crate::{
    cell::{consts, host_strength::HostStrength, row_size},
    Millis,
};
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
    /// The rate of the host's link, if it is known; faster ones are preferred as leader.
    pub link_kbps: Option<u64>,
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
    /// How long after a request to drain a failure domain tasks may still start there; `None` if such
    /// requests are ignored.
    pub drain_bound_ms: Option<Millis>,
    /// Whether jobs that can't start while their result is useful are refused.
    pub admission: bool,
}

impl CellSettings {
    /// Returns what the host has for the work of a leader.
    pub(crate) fn strength(&self) -> HostStrength {
        HostStrength::new(self.cpu_milli, self.link_kbps)
    }

    /// Returns the age of the last read of the requests to drain domains up to which tasks may start.
    /// A start that is sent before is carried out within the bound after a request that is not known yet.
    pub(crate) fn max_drains_age_ms(&self) -> Option<Millis> {
        let bound_ms = self.drain_bound_ms?;
        let age_ms = bound_ms.since(consts::DRAIN_MARGIN_MS);
        Some(age_ms.max(Millis(bound_ms.0 / 2)))
    }

    /// Returns how long a read of the desired state waits at the store for a change: the age of the
    /// requests to drain domains, which is twice that at most, stays well below its limit.
    pub(crate) fn follow_wait_ms(&self) -> Millis {
        let max_age_ms = self.max_drains_age_ms().unwrap_or(Millis(u64::MAX));
        consts::FOLLOW_WAIT_MS.min(Millis(max_age_ms.0 / 4))
    }

    /// Returns the most bytes of a row's value before it is encoded as base64.
    pub fn max_value_bytes(&self) -> usize {
        self.max_row_bytes / 4 * 3
    }

    /// Returns the most steps of a job; the row of one with more does not fit into the store.
    pub fn max_steps(&self) -> usize {
        row_size::max_steps(self.max_value_bytes())
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
            link_kbps: None,
            max_lease_ms: Millis(10_000),
            key_revocation_ms: Millis(5_000),
            stop_grace_ms: Millis(6_000),
            retention_ms: Millis(120_000),
            max_row_bytes: 65_536,
            drain_bound_ms: None,
            admission: false,
        })
    }

    /// Sets the host's processor share, in thousandths of a core.
    pub fn cpu_milli(mut self, share: u64) -> Self {
        self.0.cpu_milli = share;
        self
    }

    /// Sets the rate of the host's link.
    pub fn link_kbps(mut self, rate: Option<u64>) -> Self {
        self.0.link_kbps = rate;
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

    /// Sets how long after a request to drain a failure domain tasks may still start there.
    pub fn drain_bound_ms(mut self, bound_ms: Option<Millis>) -> Self {
        self.0.drain_bound_ms = bound_ms;
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
