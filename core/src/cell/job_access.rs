//! Which jobs a caller may see and end.

use crate::{cell::JobRow, TeamName};
use serde::{Deserialize, Serialize};

/// The fixed part of the encoded size.
const ACCESS_BYTES: usize = 64;

/// The jobs that a call may see and end, as decided when the call came in.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAccess {
    /// The team that the caller's key belongs to; `None` without a key on an open queue.
    pub team: Option<TeamName>,
}

impl JobAccess {
    /// Returns whether a job is one of them.
    pub fn covers(&self, job: &JobRow) -> bool {
        job.team.is_none() || job.team == self.team
    }

    /// Returns an upper bound of the encoded size.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        ACCESS_BYTES + self.team.as_ref().map_or(0, |team| team.as_str().len())
    }
}
