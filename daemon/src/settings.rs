//! The daemon's settings.

use crate::HostLimits;
use pomelotide_core::{CoreSettings, DaemonId, DomainName, KeyDigest, Millis};
use std::{
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

/// The settings of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The host's name; the daemon's id adds the time of its start.
    pub name: String,
    /// The failure domain.
    pub domain: DomainName,
    /// The address that serves callers and operators.
    pub callers: SocketAddr,
    /// The address that accepts connections of peers.
    pub peers: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// How long calls are still accepted after a planned stop was requested, in milliseconds; the
    /// balancer may send some until it notices.
    pub drain_grace_ms: Millis,
    /// The digest of the operators' secret; without it, release notes are rejected.
    pub operator: Option<KeyDigest>,
    /// The file that all events are recorded to for a replay.
    pub trace: Option<String>,
    /// The settings of a cell's daemon; without them, the daemon does not join a cell.
    pub cell: Option<CellSection>,
}

/// The additional settings of a cell's daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSection {
    /// The address where the balancer checks whether the daemon accepts new clients.
    pub readiness: Option<SocketAddr>,
    /// The address that serves metrics.
    pub metrics: Option<SocketAddr>,
    /// The address of the advice service.
    pub advice: Option<SocketAddr>,
    /// The host's processor share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The rate of the host's link, if it is set.
    pub link_kbps: Option<u64>,
    /// The longest lease that workers grant, in milliseconds.
    pub max_lease_ms: Millis,
    /// The maximum time for which a withdrawn key is still accepted, in milliseconds.
    pub key_revocation_ms: Millis,
    /// How long an ended job can be queried, in milliseconds.
    pub retention_ms: Millis,
    /// The most bytes of a row's value in the store, as base64.
    pub max_row_bytes: usize,
    /// How long after a request to drain a failure domain tasks may still start there, in milliseconds;
    /// `None` if such requests are ignored.
    pub drain_bound_ms: Option<Millis>,
    /// Whether jobs that can't start while their result is useful are refused.
    pub admission: bool,
    /// The memory and descriptors of the host, which bound connections and unfinished requests.
    pub host: HostLimits,
}

/// Builds [`Settings`] from defaults.
#[derive(Clone, Debug)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Creates settings with defaults for all fields but the given ones.
    pub fn new(name: impl Into<String>, domain: DomainName) -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self(Settings {
            name: name.into(),
            domain,
            callers: local(7100),
            peers: local(7200),
            platform: local(7000),
            drain_grace_ms: Millis(5_000),
            operator: None,
            trace: None,
            cell: None,
        })
    }

    /// Sets the address that serves callers and operators.
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.0.callers = address;
        self
    }

    /// Sets the address that accepts connections of peers.
    pub fn peers(mut self, address: SocketAddr) -> Self {
        self.0.peers = address;
        self
    }

    /// Sets the platform's address.
    pub fn platform(mut self, address: SocketAddr) -> Self {
        self.0.platform = address;
        self
    }

    /// Sets how long calls are still accepted after a planned stop was requested.
    pub fn drain_grace_ms(mut self, grace_ms: Millis) -> Self {
        self.0.drain_grace_ms = grace_ms;
        self
    }

    /// Sets the digest of the operators' secret.
    pub fn operator(mut self, digest: KeyDigest) -> Self {
        self.0.operator = Some(digest);
        self
    }

    /// Sets the file that all events are recorded to.
    pub fn trace(mut self, path: impl Into<String>) -> Self {
        self.0.trace = Some(path.into());
        self
    }

    /// Makes the daemon join a cell with the given settings.
    pub fn cell(mut self, section: CellSection) -> Self {
        self.0.cell = Some(section);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}

impl Settings {
    /// Returns the settings of the reducer. The daemon's id contains the current time, so that it
    /// differs from the ids of earlier starts.
    pub fn core_settings(&self) -> CoreSettings {
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        CoreSettings {
            daemon: DaemonId::new(format!("{}.{}", self.name, started.as_millis())),
            domain: self.domain.clone(),
            address: self.peers.to_string(),
            drain_grace_ms: self.drain_grace_ms,
        }
    }
}
