//! The leadership of a daemon.

use crate::{cell::FencingToken, Millis};

/// The leadership of one daemon until another one leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Term {
    pub(crate) token: FencingToken,
    pub(crate) generation: u32,
    /// When the leases of all earlier leaders have certainly expired.
    pub(crate) earlier_leads_end_at: Millis,
}
