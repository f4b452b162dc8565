//! The failure domains in which nothing may start, at the request of operators.

use crate::{cell::RowVersion, Millis};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How a row changed the set of drained domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DrainChange {
    Drained(CompactString, RowVersion),
    /// A request was withdrawn, whose row had this version.
    Restored(CompactString, RowVersion),
}

/// The drained failure domains, with the version of each request's row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainDrains {
    rows: BTreeMap<CompactString, RowVersion>,
    /// When this daemon read that the last request for a domain was withdrawn.
    restored: BTreeMap<CompactString, Millis>,
    /// The number of changes so far.
    revision: u64,
}

impl DomainDrains {
    /// Returns whether nothing may start in a domain.
    pub fn is_drained(&self, domain: &str) -> bool {
        self.rows.contains_key(domain)
    }

    /// Returns the number of drained domains.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no domain is drained.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns when the last request for a domain was withdrawn, as far as this daemon knows.
    pub(crate) fn restored_at(&self, domain: &str) -> Option<Millis> {
        self.restored.get(domain).copied()
    }

    /// Returns a number that differs after each change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a row with a request. A row that can't be read has version 0.
    pub(crate) fn request(&mut self, domain: &str, version: RowVersion) -> Option<DrainChange> {
        let known = self.rows.get_mut(domain);
        if let Some(known) = known {
            *known = version.max(*known);
            return None;
        }
        self.rows.insert(domain.into(), version);
        self.restored.remove(domain);
        self.revision += 1;
        Some(DrainChange::Drained(domain.into(), version))
    }

    /// Applies the removal of a row, unless a newer request is known. The version is 0 if the store does
    /// not state it.
    pub(crate) fn withdraw(
        &mut self,
        now: Millis,
        domain: &str,
        version: RowVersion,
    ) -> Option<DrainChange> {
        let known = *self.rows.get(domain)?;
        if version != RowVersion(0) && version < known {
            return None;
        }
        self.rows.remove(domain);
        self.restored.insert(domain.into(), now);
        self.revision += 1;
        Some(DrainChange::Restored(domain.into(), known))
    }

    /// Replaces all requests by those of a full read.
    pub(crate) fn replace(
        &mut self,
        now: Millis,
        read: BTreeMap<CompactString, RowVersion>,
    ) -> Vec<DrainChange> {
        let known = self.rows.keys();
        let gone: Vec<CompactString> = known
            .filter(|own| !read.contains_key(*own))
            .cloned()
            .collect();
        let gone = gone
            .iter()
            .filter_map(|domain| self.withdraw(now, domain, RowVersion(0)));
        let mut changes: Vec<DrainChange> = gone.collect();
        let read = read.iter();
        changes.extend(read.filter_map(|(domain, version)| self.request(domain, *version)));
        changes
    }
}
