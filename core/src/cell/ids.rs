//! Fencing tokens, versions and ids of open operations.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

define_ids! {
    /// Identifies a query to another daemon that waits for its answer.
    QueryId;
    /// Orders leaders: a worker refuses calls with a lower token than the highest it has seen.
    FencingToken;
    /// Distinguishes restarts of a worker: the Unix time of its start, in milliseconds.
    Incarnation;
    /// Identifies a connection to another daemon, within one daemon.
    LinkId;
    /// Identifies a call to the store, a worker or the advice service, within one daemon.
    RpcId;
    /// The position of a transaction in the store's order.
    RowVersion;
}
