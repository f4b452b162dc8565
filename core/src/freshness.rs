//! How long a daemon may accept keyed work under its present configuration.

use crate::{consts::CONFIG_VALIDITY_MS, DomainName, Millis};
use std::collections::BTreeMap;

/// The times, on this daemon's clock, at which the configuration was last confirmed as the latest
/// one and at which each failure domain was last known to be cut off from the table.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed_ms: Option<Millis>,
    unreachable_ms: BTreeMap<DomainName, Millis>,
}

impl Freshness {
    /// Records that the present configuration was the latest one at `at_ms`.
    pub fn confirm(&mut self, at_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Records that no daemon of a failure domain could reach the table at `at_ms`.
    pub fn record_unreachable(&mut self, domain: &DomainName, at_ms: Millis) {
        let known = self.unreachable_ms.entry(domain.clone()).or_default();
        *known = at_ms.max(*known);
    }

    /// Returns the time since the latest confirmation.
    pub fn age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Returns whether the configuration was confirmed at `at_ms` or later.
    pub fn was_confirmed_since(&self, at_ms: Millis) -> bool {
        self.confirmed_ms >= Some(at_ms)
    }

    /// Returns whether the configuration is recent enough for keyed work.
    pub fn is_fresh(&self, now_ms: Millis) -> bool {
        let is_recent = |at_ms: Millis| now_ms.since(at_ms) <= CONFIG_VALIDITY_MS;
        self.confirmed_ms.is_some_and(is_recent)
    }

    /// Extends a valid confirmation if every failure domain is cut off from the table, because then
    /// no change can have been accepted.
    ///
    /// An expired confirmation is not extended: a daemon that has since become unresponsive may
    /// have accepted a change in the meantime.
    pub fn extend<'a>(&mut self, now_ms: Millis, domains: impl Iterator<Item = &'a DomainName>) {
        if !self.is_fresh(now_ms) {
            return;
        }
        let unreachable_ms = |domain| self.unreachable_ms.get(domain).copied();
        let oldest_ms = domains.map(unreachable_ms).collect::<Option<Vec<_>>>();
        let oldest_ms = oldest_ms.and_then(|all| all.into_iter().min());
        self.confirmed_ms = self.confirmed_ms.max(oldest_ms);
    }
}
