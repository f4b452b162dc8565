//! A worker's entry in the store beside the incarnation that the worker's reports state.
//!
//! A worker may start again under its id as another kind, and its entry and its reports reach the leader by
//! different ways. Service, labels, rack, domain, capacity and whether it drains are only available while
//! entry and reports belong to one incarnation.

use crate::{
    cell::{Incarnation, WorkerEntry},
    Millis, WorkerId,
};
use compact_str::CompactString;
use std::ops::Deref;

/// The latest entry of a worker, and the incarnation of its latest report.
#[derive(Clone, Debug)]
pub(crate) struct EntryPair {
    entry: WorkerEntry,
    /// `None` before the first report and after one that states no incarnation.
    reported: Option<Incarnation>,
}

/// An entry of the incarnation that the worker reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PairedEntry<'a>(&'a WorkerEntry);

/// Identifies the incarnation of a pair whose entry and report belong together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PairedIncarnation(Option<Incarnation>);

/// What a new entry changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct EntryChange {
    pub(crate) address: bool,
    pub(crate) cold: bool,
    pub(crate) domain: bool,
    pub(crate) draining: bool,
}

impl EntryPair {
    pub(crate) fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            reported: None,
        }
    }

    /// Returns the worker's id.
    pub(crate) fn id(&self) -> &WorkerId {
        &self.entry.id
    }

    /// Returns the address for calls. Polls go on while the entry is outdated: the worker's answer shows
    /// which incarnation listens there.
    pub(crate) fn address(&self) -> &CompactString {
        &self.entry.address
    }

    /// Returns the failure domain that the entry states. A drain applies to it whichever incarnation reports.
    pub(crate) fn domain(&self) -> &CompactString {
        &self.entry.domain
    }

    /// Returns for how long the worker stays slow by its entry.
    pub(crate) fn cold_remaining_ms(&self) -> Millis {
        self.entry.cold_remaining_ms
    }

    /// Returns the incarnation of the latest report.
    pub(crate) fn reported(&self) -> Option<Incarnation> {
        self.reported
    }

    /// Returns the incarnation that the entry states.
    pub(crate) fn listed(&self) -> Option<Incarnation> {
        self.entry.incarnation
    }

    /// Returns the entry if it belongs to the incarnation that reports. An entry or a report that states
    /// no incarnation pairs with any.
    pub(crate) fn paired(&self) -> Option<PairedEntry<'_>> {
        let is_pair = match (self.entry.incarnation, self.reported) {
            (Some(listed), Some(reported)) => listed == reported,
            (None, _) | (_, None) => true,
        };
        is_pair.then_some(PairedEntry(&self.entry))
    }

    /// Returns the incarnation that reports, if the entry belongs to it.
    pub(crate) fn paired_incarnation(&self) -> Option<PairedIncarnation> {
        self.paired().map(|_| PairedIncarnation(self.reported))
    }

    /// Replaces the entry; returns what changes.
    pub(crate) fn set_entry(&mut self, entry: WorkerEntry) -> EntryChange {
        let change = EntryChange {
            address: entry.address != self.entry.address,
            cold: entry.cold_remaining_ms != self.entry.cold_remaining_ms,
            domain: entry.domain != self.entry.domain,
            draining: entry.draining != self.entry.draining,
        };
        self.entry = entry;
        change
    }

    /// Records the incarnation of a report.
    pub(crate) fn set_reported(&mut self, reported: Option<Incarnation>) {
        self.reported = reported;
    }
}

impl Deref for PairedEntry<'_> {
    type Target = WorkerEntry;

    fn deref(&self) -> &WorkerEntry {
        self.0
    }
}

impl<'a> PairedEntry<'a> {
    /// Returns whether the worker has a label.
    pub(crate) fn has_label(self, label: &str) -> bool {
        self.labels.iter().any(|own_label| own_label == label)
    }

    /// Returns the worker's rack, which is its last label.
    pub(crate) fn rack(self) -> Option<&'a CompactString> {
        self.0.labels.last()
    }
}
