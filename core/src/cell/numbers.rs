//! Numbers that order things: tokens, versions and ids of open operations.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
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

numbers! {
    /// Numbers a question that waits for another daemon's answer.
    QueryId;
    /// Orders leaders; a worker refuses orders with a lower token than it has seen.
    FencingToken;
    /// Tells the lives of a worker apart: the Unix millisecond of its start.
    Incarnation;
    /// Numbers a connection between two daemons inside one of them.
    LinkId;
    /// Numbers a call to the store, a worker or the advice service inside one daemon.
    RpcId;
    /// Orders the store's transactions.
    RowVersion;
}
