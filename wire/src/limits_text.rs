//! Resources as text, as in `cpu 4, memory 8GiB, accelerators 1, slots 2`.

use pomelotide_core::Resources;
use std::fmt;

/// Says why a text is not an amount of resources.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResourcesError(String);

impl fmt::Display for ResourcesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; expected for example: cpu 4, memory 8GiB, accelerators 1, slots 2",
            self.0
        )
    }
}

impl std::error::Error for ResourcesError {}

/// Memory units with their size in MiB.
const MEMORY_UNITS: [(&str, u64); 3] = [("MiB", 1), ("GiB", 1_024), ("TiB", 1_048_576)];

/// Parses an amount of resources; a kind that is not named is zero.
pub fn parse_resources(text: &str) -> Result<Resources, ResourcesError> {
    let mut resources = Resources::default();
    for part in text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
    {
        let (kind, amount) = part.split_once(char::is_whitespace).unwrap_or((part, ""));
        let amount = amount.trim();
        let wrong = || ResourcesError(format!("{part:?} is not an amount"));
        match kind {
            "cpu" => resources.cpu_milli = parse_cpu(amount).ok_or_else(wrong)?,
            "memory" => resources.memory_mib = parse_memory(amount).ok_or_else(wrong)?,
            "accelerators" => resources.accelerators = amount.parse().map_err(|_| wrong())?,
            "slots" => resources.slots = amount.parse().map_err(|_| wrong())?,
            _ => {
                return Err(ResourcesError(format!(
                    "{kind:?} is not a kind of resource"
                )))
            }
        }
    }
    Ok(resources)
}

fn parse_cpu(text: &str) -> Option<u64> {
    if let Some(milli) = text.strip_suffix('m') {
        return milli.parse().ok();
    }
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    if part.len() > 3 {
        return None;
    }
    let part: u64 = format!("{part:0<3}").parse().ok()?;
    whole
        .parse::<u64>()
        .ok()?
        .checked_mul(1_000)?
        .checked_add(part)
}

fn parse_memory(text: &str) -> Option<u64> {
    let unit = MEMORY_UNITS
        .iter()
        .find(|(suffix, _)| text.ends_with(suffix))?;
    let number = text.strip_suffix(unit.0)?.trim();
    number.parse::<u64>().ok()?.checked_mul(unit.1)
}

/// Shows an amount so that [`parse_resources`] reads it back.
pub fn show_resources(resources: &Resources) -> String {
    let Resources {
        cpu_milli,
        memory_mib,
        accelerators,
        slots,
    } = resources;
    format!("cpu {cpu_milli}m, memory {memory_mib}MiB, accelerators {accelerators}, slots {slots}")
}
