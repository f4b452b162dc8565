//! Monotonic time and durations in milliseconds.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr, //
};

/// A time on a daemon's monotonic clock, or a duration, in milliseconds.
///
/// ```
/// use pomelotide_core::Millis;
/// assert_eq!(Millis(1500).to_string(), "1500ms");
/// assert_eq!("2s".parse(), Ok(Millis(2000)));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// The error for a text that is not a duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MillisError;

impl fmt::Display for MillisError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected a whole number with a unit: ms, s, min or h (for example 500ms)"
        )
    }
}

impl std::error::Error for MillisError {}

/// The accepted units with their length in milliseconds. `min` and `ms` precede `s` so that their
/// whole suffix is matched.
const UNITS: [(&str, u64); 4] = [("min", 60_000), ("ms", 1), ("s", 1_000), ("h", 3_600_000)];

impl FromStr for Millis {
    type Err = MillisError;

    fn from_str(text: &str) -> Result<Self, MillisError> {
        for (suffix, unit_ms) in UNITS {
            if let Some(number) = text.strip_suffix(suffix) {
                let count: u64 = number.trim().parse().map_err(|_| MillisError)?;
                return count.checked_mul(unit_ms).map(Millis).ok_or(MillisError);
            }
        }
        Err(MillisError)
    }
}
