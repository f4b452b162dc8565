//! The daemon's settings.

use pomelotide_core::{CoreSettings, DaemonId, DomainName, KeyDigest, Millis};
use std::{
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

/// What a daemon is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The host's name, without the part that changes with each start.
    pub name: String,
    /// The failure domain.
    pub domain: DomainName,
    /// The address for callers and operators.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// How long the balancer may keep sending after a stop was asked for.
    pub drain_grace_ms: Millis,
    /// The digest of the secret that operators show; without it, no one may change anything.
    pub operator: Option<KeyDigest>,
    /// Where to record all events, for a replay.
    pub trace: Option<String>,
    /// What a daemon of a cell needs; without it, the failure domain's own protocol is spoken.
    pub cell: Option<CellSection>,
}

/// What a daemon of a cell is told beside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSection {
    /// Where the balancer asks whether new clients are taken.
    pub readiness: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where the advice service is.
    pub advice: Option<SocketAddr>,
    /// The host's processor share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The longest lease that workers grant.
    pub max_lease_ms: Millis,
    /// How long a withdrawn key may at most be honoured.
    pub key_revocation_ms: Millis,
    /// How long an ended job can be asked for.
    pub retention_ms: Millis,
}

/// Builds [`Settings`] from defaults.
#[derive(Clone, Debug)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Begins with what has no default.
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

    /// Sets the address for callers and operators.
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.0.callers = address;
        self
    }

    /// Sets the address for peers.
    pub fn peers(mut self, address: SocketAddr) -> Self {
        self.0.peers = address;
        self
    }

    /// Sets the platform's address.
    pub fn platform(mut self, address: SocketAddr) -> Self {
        self.0.platform = address;
        self
    }

    /// Sets how long the balancer may keep sending after a stop was asked for.
    pub fn drain_grace_ms(mut self, grace_ms: Millis) -> Self {
        self.0.drain_grace_ms = grace_ms;
        self
    }

    /// Sets the digest of the secret that operators show.
    pub fn operator(mut self, digest: KeyDigest) -> Self {
        self.0.operator = Some(digest);
        self
    }

    /// Sets where to record all events.
    pub fn trace(mut self, path: impl Into<String>) -> Self {
        self.0.trace = Some(path.into());
        self
    }

    /// Makes it a daemon of a cell.
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
    /// Returns the part that the reducer needs, under an id that no earlier start had.
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
