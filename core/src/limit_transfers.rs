//! Which parts of the teams' limits a failure domain gives to others.

use crate::{consts, Config, DomainName, Entry, Resources, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a failure domain's waiting work misses of a team's limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRequest {
    /// The team.
    pub team: TeamName,
    /// What is missing.
    pub amount: Resources,
}

/// A part of a team's limit that changes hands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitTransfer {
    /// The team.
    pub team: TeamName,
    /// The failure domain that gets the part.
    pub to: DomainName,
    /// The part.
    pub amount: Resources,
}

/// Answers the requests of other failure domains out of what is spare here: the whole request where it
/// is spare, the largest requests first.
pub fn grant_requests(
    spare: &BTreeMap<TeamName, Resources>,
    requests: &BTreeMap<DomainName, Vec<LimitRequest>>,
) -> Vec<LimitTransfer> {
    let mut spare = spare.clone();
    let mut by_size: Vec<(&DomainName, &LimitRequest)> = requests
        .iter()
        .flat_map(|(domain, requests)| requests.iter().map(move |request| (domain, request)))
        .collect();
    by_size.sort_by_key(|(_, request)| std::cmp::Reverse(request.amount.amounts()));
    let mut transfers = Vec::new();
    for (domain, request) in by_size {
        let Some(remaining) = spare.get_mut(&request.team) else {
            continue;
        };
        let amount = request.amount.min(*remaining);
        if amount == Resources::default() {
            continue;
        }
        *remaining = remaining.minus(amount);
        let (team, to) = (request.team.clone(), domain.clone());
        transfers.push(LimitTransfer { team, to, amount });
        if transfers.len() == consts::MAX_TRANSFERS_PER_NOTE {
            break;
        }
    }
    transfers
}

/// Returns the entries of a note that makes transfers out of a failure domain: the parts that change.
pub fn split_entries(
    config: &Config,
    from: &DomainName,
    transfers: &[LimitTransfer],
) -> Vec<Entry> {
    let mut changed: BTreeMap<&TeamName, BTreeMap<DomainName, Resources>> = BTreeMap::new();
    for transfer in transfers {
        let parts = changed.entry(&transfer.team).or_default();
        let current = |domain: &DomainName| config.allotment(&transfer.team, domain);
        let source = parts.entry(from.clone()).or_insert_with(|| current(from));
        *source = source.minus(transfer.amount);
        let target = parts
            .entry(transfer.to.clone())
            .or_insert_with(|| current(&transfer.to));
        *target = target.plus(transfer.amount);
    }
    let entry = |(team, parts): (&TeamName, BTreeMap<DomainName, Resources>)| Entry::Split {
        team: team.clone(),
        parts: parts.into_iter().collect(),
    };
    changed.into_iter().map(entry).collect()
}
