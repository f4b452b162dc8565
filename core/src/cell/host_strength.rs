//! What a host has for the work of a leader.

use crate::{cell::consts, Millis};

/// The processor share and the link of a host, which decide whether it should lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HostStrength {
    cpu_milli: u64,
    /// At most [`consts::USEFUL_LINK_KBPS`], more than which a leader does not use.
    link_kbps: u64,
}

impl HostStrength {
    /// Creates the strength of a host; one whose link is unknown counts as having a fast one.
    pub(crate) fn new(cpu_milli: u64, link_kbps: Option<u64>) -> Self {
        let useful_kbps = consts::USEFUL_LINK_KBPS;
        Self {
            cpu_milli,
            link_kbps: link_kbps.unwrap_or(useful_kbps).clamp(1, useful_kbps),
        }
    }

    /// Returns the processor share, in thousandths of a core.
    pub(crate) fn cpu_milli(self) -> u64 {
        self.cpu_milli
    }

    /// Returns the rate of the link as far as a leader uses it.
    pub(crate) fn link_kbps(self) -> u64 {
        self.link_kbps
    }

    /// Returns the larger processor share and the faster link of both hosts.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            link_kbps: self.link_kbps.max(other.link_kbps),
        }
    }

    /// Returns whether a leader on `other` should hand over to this host: it has several times as much of
    /// one and no less of the other. A change for more of one and less of the other might go back again.
    pub(crate) fn is_much_stronger_than(self, other: Self) -> bool {
        let factor = consts::YIELD_FACTOR;
        let has_no_less = self.cpu_milli >= other.cpu_milli && self.link_kbps >= other.link_kbps;
        let has_more_cpu = self.cpu_milli >= other.cpu_milli.saturating_mul(factor);
        let has_faster_link = self.link_kbps >= other.link_kbps.saturating_mul(factor);
        has_no_less && (has_more_cpu || has_faster_link)
    }

    /// Returns how much longer this host waits before it tries to lead than one with the strength
    /// `strongest`.
    pub(crate) fn election_delay_ms(self, strongest: Self) -> Millis {
        let missing_milli = strongest.cpu_milli.saturating_sub(self.cpu_milli);
        let cpu_delay_ms = missing_milli.saturating_mul(consts::WEAK_HOST_DELAY_US) / 1_000;
        let missing_kbps = strongest.link_kbps.saturating_sub(self.link_kbps);
        let link_delay_ms = consts::SLOW_LINK_DELAY_MS.0 * missing_kbps / strongest.link_kbps;
        Millis(cpu_delay_ms.saturating_add(link_delay_ms))
    }
}
