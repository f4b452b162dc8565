//! Which queue a job belongs to.
//!
//! A queue is known by its address, the host and path prefix that clients use: it stays the same queue
//! under another name or with another service. The name stands in for the address in jobs that are recorded
//! without one, and where no queue is at the address any more.

use crate::{
    cell::{JobRow, Queue},
    QueueName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The address of a queue.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueueAddress {
    /// The host name that clients use in requests.
    pub host: CompactString,
    /// The prefix of the paths of its requests.
    pub path_prefix: CompactString,
}

/// The queue of a job, as recorded with the job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    pub(crate) name: QueueName,
    /// `None` in rows of earlier versions.
    pub(crate) address: Option<QueueAddress>,
}

/// The number of pending jobs of a queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueCount {
    /// The queue's address.
    pub address: QueueAddress,
    /// The number of its pending jobs.
    pub pending: u64,
}

impl Queue {
    /// Returns its address.
    pub fn address(&self) -> QueueAddress {
        QueueAddress {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }

    /// Returns whether it has an address.
    pub(crate) fn has_address(&self, address: &QueueAddress) -> bool {
        self.is_at(&address.host, &address.path_prefix)
    }
}

impl JobRow {
    /// Returns the key of its queue.
    pub(crate) fn queue_key(&self) -> QueueKey {
        QueueKey {
            name: self.queue.clone(),
            address: self.queue_spec.as_deref().map(Queue::address),
        }
    }
}
