//! An amount of memory.

use std::{
    fmt::{Display, Formatter, Result as FmtResult},
    str::FromStr,
};

/// The units with their sizes, the largest first. The kernel's `kB` is 1,024 bytes.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("kB", 1 << 10),
    ("B", 1),
];

/// An amount of memory in bytes, written as in `24 MiB`.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Returns a size given in units of 1,048,576 bytes.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// Returns how much more this is than another size, or zero.
    pub const fn beyond(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Writes the largest unit of which the size is a multiple.
impl Display for ByteSize {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        let divides = |size_bytes: u64| self.0 >= size_bytes && self.0.is_multiple_of(size_bytes);
        let unit = UNITS.iter().find(|(_, size_bytes)| divides(*size_bytes));
        let (name, size_bytes) = unit.unwrap_or(&("B", 1));
        write!(f, "{} {name}", self.0 / size_bytes)
    }
}

impl FromStr for ByteSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is no size; expected for example: 24 MiB");
        let (number, unit) = text.trim().split_once(' ').ok_or_else(invalid)?;
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let unit = UNITS.iter().find(|(name, _)| *name == unit.trim());
        let (_, size_bytes) = unit.ok_or_else(invalid)?;
        number
            .checked_mul(*size_bytes)
            .map(Self)
            .ok_or_else(invalid)
    }
}
