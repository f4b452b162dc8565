//! What the answer to a look-up of one row shows.

use crate::cell::{Row, RowKey, RowValue, StoreReply};

/// What the store's answer to a read that begins at a row's key shows about this row.
#[derive(Debug)]
pub(crate) enum FoundRow {
    /// The row exists.
    Found(Row),
    /// The row does not exist.
    Absent,
    /// The answer may hide the row, for this reason.
    Unclear(&'static str),
}

impl FoundRow {
    /// Looks for the row `key` in the answer.
    pub(crate) fn new(reply: StoreReply, key: &RowKey) -> Self {
        let StoreReply::Rows { rows, more, .. } = reply else {
            return Self::Unclear("the store does not answer");
        };
        // A row whose key can't be read has an empty one, and may be any row.
        let is_candidate = |row: &Row| row.key == *key || row.key.key.is_empty();
        let is_cut_short = rows.is_empty() && more;
        match rows.into_iter().find(is_candidate) {
            Some(row) if matches!(row.value, RowValue::Unusable(_)) => {
                Self::Unclear("the job's record can't be read")
            }
            Some(row) => Self::Found(row),
            None if is_cut_short => Self::Unclear("the store's answer is incomplete"),
            None => Self::Absent,
        }
    }
}
