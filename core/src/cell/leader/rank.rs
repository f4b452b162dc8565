//! The position of a step in scheduling order.
//!
//! While there is more work than the fleet has room for, steps that can still end in time come
//! first, by their latest start. The rest is late work and the surplus of teams beyond their share.
//! Of these, steps whose result is still useful come first, the smallest job before larger ones, so
//! that many callers with small jobs are served in the room of one large job; the others follow,
//! the least late first.

/// What determines the position of a step in scheduling order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Rank {
    /// The latest start with which its job can still end in time, in milliseconds.
    pub(crate) latest_start_ms: u64,
    /// The latest start with which the result of its job is still useful, in milliseconds.
    pub(crate) useful_start_ms: u64,
    /// The estimated work of the whole job, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
}

/// What a step can still achieve; the first tier goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Tier {
    InTime,
    Useful,
    Useless,
}

/// The position of a step at one time; a smaller one goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Order {
    pub(crate) tier: Tier,
    /// The position within the tier.
    position: u64,
}

impl Rank {
    /// Returns the position at `now_ms`, and the time at which it changes.
    pub(crate) fn order(&self, now_ms: u64) -> (Order, Option<u64>) {
        let (tier, position, last_ms) = if self.latest_start_ms >= now_ms {
            (Tier::InTime, self.latest_start_ms, self.latest_start_ms)
        } else if self.useful_start_ms >= now_ms {
            (Tier::Useful, self.work, self.useful_start_ms)
        } else {
            (Tier::Useless, u64::MAX - self.latest_start_ms, u64::MAX)
        };
        (Order { tier, position }, last_ms.checked_add(1))
    }
}
