//! Text form of resources, as in `cpu 4, memory 8GiB, accelerators 1, slots 2`.

use crate::closest_name;
use pomelotide_core::Resources;
use std::fmt;

/// The reason why a text is not an amount of resources.
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

/// The names of the kinds of resources.
const RESOURCE_KINDS: [&str; 4] = ["cpu", "memory", "accelerators", "slots"];
/// The memory units with their sizes in MiB.
const MEMORY_UNITS_MIB: [(&str, u64); 3] = [("MiB", 1), ("GiB", 1_024), ("TiB", 1_048_576)];

/// Parses an amount of resources; a kind that is not listed is zero.
///
/// ```
/// let need = pomelotide_wire::parse_resources("cpu 0.5, memory 2GiB").unwrap();
/// assert_eq!((need.cpu_milli, need.memory_mib), (500, 2_048));
/// ```
pub fn parse_resources(text: &str) -> Result<Resources, ResourcesError> {
    if text.trim().is_empty() {
        return Err(ResourcesError("no resource is named".into()));
    }
    let mut resources = Resources::default();
    let mut seen = Vec::new();
    for part in text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
    {
        let (kind, amount) = part.split_once(char::is_whitespace).unwrap_or((part, ""));
        let amount = amount.trim();
        if seen.contains(&kind) {
            return Err(ResourcesError(format!("{kind} is named twice")));
        }
        seen.push(kind);
        let invalid = || ResourcesError(format!("{part:?} is not an amount"));
        match kind {
            "cpu" => resources.cpu_milli = parse_cpu(amount).ok_or_else(invalid)?,
            "memory" => resources.memory_mib = parse_memory(amount).ok_or_else(invalid)?,
            "accelerators" => resources.accelerators = amount.parse().map_err(|_| invalid())?,
            "slots" => resources.slots = amount.parse().map_err(|_| invalid())?,
            _ => return Err(unknown_kind(kind)),
        }
    }
    Ok(resources)
}

fn unknown_kind(kind: &str) -> ResourcesError {
    let suggestion = closest_name(kind, RESOURCE_KINDS).map_or_else(String::new, |suggestion| {
        format!(", did you mean {suggestion}?")
    });
    ResourcesError(format!("{kind:?} is not a kind of resource{suggestion}"))
}

/// Parses the resources that a task takes. They can't all be zero, as no limit
/// would apply to such a task.
pub fn parse_need(text: &str) -> Result<Resources, ResourcesError> {
    match parse_resources(text)? {
        empty if empty == Resources::default() => {
            Err(ResourcesError("a task has to take something".into()))
        }
        need => Ok(need),
    }
}

fn parse_cpu(text: &str) -> Option<u64> {
    if let Some(milli) = text.strip_suffix('m') {
        return milli.parse().ok();
    }
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if fraction.len() > 3 {
        return None;
    }
    let fraction: u64 = format!("{fraction:0<3}").parse().ok()?;
    whole
        .parse::<u64>()
        .ok()?
        .checked_mul(1_000)?
        .checked_add(fraction)
}

fn parse_memory(text: &str) -> Option<u64> {
    let unit = MEMORY_UNITS_MIB
        .iter()
        .find(|(suffix, _)| text.ends_with(suffix))?;
    let number = text.strip_suffix(unit.0)?.trim();
    number.parse::<u64>().ok()?.checked_mul(unit.1)
}

/// Formats an amount of resources so that [`parse_resources`] returns the same amount; kinds whose
/// amount is zero are omitted.
pub fn format_resources(resources: &Resources) -> String {
    let Resources {
        cpu_milli,
        memory_mib,
        accelerators,
        slots,
    } = *resources;
    let parts = [
        (cpu_milli, format!("cpu {}", format_cpu(cpu_milli))),
        (memory_mib, format!("memory {}", format_memory(memory_mib))),
        (accelerators, format!("accelerators {accelerators}")),
        (slots, format!("slots {slots}")),
    ];
    let non_zero = parts.into_iter().filter(|(amount, _)| *amount > 0);
    let non_zero: Vec<String> = non_zero.map(|(_, text)| text).collect();
    if non_zero.is_empty() {
        return "cpu 0".into();
    }
    non_zero.join(", ")
}

fn format_cpu(milli: u64) -> String {
    match milli % 1_000 {
        0 => (milli / 1_000).to_string(),
        _ => format!("{milli}m"),
    }
}

fn format_memory(mib: u64) -> String {
    let is_multiple = |size: &u64| mib.is_multiple_of(*size) && mib > 0;
    let largest = MEMORY_UNITS_MIB
        .iter()
        .rev()
        .find(|(_, size)| is_multiple(size));
    let (unit, size) = largest.unwrap_or(&MEMORY_UNITS_MIB[0]);
    format!("{}{unit}", mib / size)
}
