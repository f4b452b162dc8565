//! Splitting a team's limit among the failure domains.

use crate::{DomainName, Resources};

/// The failure domains' parts of a limit.
pub type SplitParts = Vec<(DomainName, Resources)>;

/// Returns one of `count` even parts of a limit; the remainder goes to the first parts.
pub fn even_part(limit: Resources, count: usize, index: usize) -> Resources {
    let count = count.max(1) as u64;
    let part = |whole: u64| whole / count + u64::from((index as u64) < whole % count);
    Resources::from_amounts(limit.amounts().map(part))
}

/// Returns the sum of all parts.
pub fn total(parts: &SplitParts) -> Resources {
    let amounts = parts.iter().map(|(_, amount)| *amount);
    amounts.fold(Resources::default(), Resources::plus)
}

/// Returns the parts scaled to a new limit. The rounding remainder goes to the first part.
pub fn rescaled(parts: &SplitParts, limit: Resources) -> SplitParts {
    let (old, new) = (total(parts).amounts(), limit.amounts());
    let scale = |i: usize, amount: u64| match old[i] {
        0 => 0,
        old => (u128::from(amount) * u128::from(new[i]) / u128::from(old)) as u64,
    };
    let scaled = |amount: Resources| {
        let amounts = amount.amounts();
        Resources::from_amounts(std::array::from_fn(|i| scale(i, amounts[i])))
    };
    let mut parts: SplitParts = parts
        .iter()
        .map(|(domain, amount)| (domain.clone(), scaled(*amount)))
        .collect();
    let remainder = limit.minus(total(&parts));
    if let Some((_, first)) = parts.first_mut() {
        *first = first.plus(remainder);
    }
    parts
}
