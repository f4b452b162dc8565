//! What a daemon knows from the leader's latest heartbeat.

use crate::{
    cell::{consts, Queue, QueueAddress},
    Millis, QueueName,
};
use std::collections::BTreeMap;

/// The contents of the leader's latest heartbeat.
#[derive(Debug, Default)]
pub(super) struct LeaderReport {
    pub(super) counts: BTreeMap<QueueName, u64>,
    /// The counts by address; `None` from a leader of an earlier version.
    pub(super) counts_at: Option<BTreeMap<QueueAddress, u64>>,
    pub(super) closed: BTreeMap<QueueName, Millis>,
    /// The length of the longest worker's id.
    pub(super) worker_id_bytes: Option<usize>,
    pub(super) at: Option<Millis>,
    pub(super) ready: bool,
}

impl LeaderReport {
    /// Returns the number of a queue's pending jobs.
    pub(super) fn pending_jobs(&self, queue: &Queue) -> u64 {
        let count = match &self.counts_at {
            Some(counts) => counts.get(&queue.address()),
            None => self.counts.get(&queue.name),
        };
        count.copied().unwrap_or(0)
    }

    /// Returns the length of the longest worker's id, if the leader has recently reported it.
    pub(super) fn worker_id_bytes(&self, now: Millis) -> Option<usize> {
        let is_recent = |at: Millis| now.since(at) < consts::MAX_LEADER_REPORT_AGE_MS;
        self.worker_id_bytes
            .filter(|_| self.at.is_some_and(is_recent))
    }
}
