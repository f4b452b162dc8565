//! How long the configuration at hand may be acted on for keyed work.

use crate::{consts::CONFIG_VALIDITY_MS, DomainName, Millis};
use std::collections::BTreeMap;

/// Evidence about the configuration, each piece with the time on this daemon's clock before which
/// it certainly held.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed_ms: Option<Millis>,
    unreachable_ms: BTreeMap<DomainName, Millis>,
}

impl Freshness {
    /// Notes that the configuration at hand was the latest one at `at_ms`.
    pub fn confirm(&mut self, at_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Notes that no daemon of a failure domain had reached the table by `at_ms`.
    pub fn record_unreachable(&mut self, domain: &DomainName, at_ms: Millis) {
        let known = self.unreachable_ms.entry(domain.clone()).or_default();
        *known = at_ms.max(*known);
    }

    /// Returns the age of the latest confirmation.
    pub fn age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.confirmed_ms.map(|at_ms| now_ms.since(at_ms))
    }

    /// Says whether the configuration at hand was the latest one at some time from `at_ms` on.
    pub fn was_confirmed_since(&self, at_ms: Millis) -> bool {
        self.confirmed_ms >= Some(at_ms)
    }

    /// Says whether keys may be honoured.
    pub fn is_fresh(&self, now_ms: Millis) -> bool {
        let is_recent = |at_ms: Millis| now_ms.since(at_ms) <= CONFIG_VALIDITY_MS;
        self.confirmed_ms.is_some_and(is_recent)
    }

    /// Prolongs a confirmation that still holds, where the table is silent in every failure
    /// domain, so that no change can have been accepted anywhere since.
    ///
    /// A confirmation that has lapsed stays lapsed: a change may have been accepted meanwhile by a
    /// daemon that is no longer heard.
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
