//! The size of the pages of full reads.

use crate::{cell::consts, Millis};

/// How many rows a full read requests at a time: few enough that a page takes a small part of the
/// time-out on this host's link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PageSize(u32);

impl Default for PageSize {
    fn default() -> Self {
        Self(consts::FIRST_PAGE_ROWS)
    }
}

impl PageSize {
    /// Returns the number of rows to request.
    pub(crate) fn rows(self) -> u32 {
        self.0
    }

    /// Adapts the size after a page of at most `requested` rows that took `took_ms`. A page that is the
    /// last of its partition may be small, and gives no reason for a larger size.
    pub(crate) fn on_page(&mut self, requested: u32, took_ms: Millis, is_last: bool) {
        let target_ms = consts::PAGE_TARGET_MS;
        if took_ms > target_ms {
            self.0 = self.0.min(requested / 2).max(1);
        } else if Millis(took_ms.0 * 2) <= target_ms && !is_last {
            let doubled = requested.saturating_mul(2);
            self.0 = self.0.max(doubled.min(consts::MAX_PAGE_ROWS));
        }
    }

    /// Adapts the size after a page of at most `requested` rows that got no answer in time. Pages that
    /// were requested together are lost together, and count once.
    pub(crate) fn on_lost(&mut self, requested: u32) {
        self.0 = self.0.min(requested / 4).max(1);
    }
}
