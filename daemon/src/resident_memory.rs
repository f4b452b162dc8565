//! The memory of the process, as the kernel reports it.

use crate::byte_size::ByteSize;
use std::fs;

/// The kernel's report about the process.
const STATUS_FILE: &str = "/proc/self/status";
/// The field with the resident memory.
const RESIDENT_FIELD: &str = "VmRSS:";

/// Returns the resident memory of the process, or why it is unknown.
pub(crate) fn resident_memory() -> Result<ByteSize, String> {
    let status = fs::read_to_string(STATUS_FILE).map_err(|error| error.to_string())?;
    let mut lines = status.lines();
    let field = lines.find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    field.ok_or("no resident memory")?.parse()
}
