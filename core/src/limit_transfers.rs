//! Transfers of parts of the teams' limits between failure domains.

use crate::{consts, Config, DomainName, Entry, Resources, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A failure domain's request for a larger part of a team's limit, for its pending work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRequest {
    /// The team.
    pub team: TeamName,
    /// The requested amount.
    pub amount: Resources,
}

/// A transfer of a part of a team's limit to another failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitTransfer {
    /// The team.
    pub team: TeamName,
    /// The failure domain that receives the part.
    pub to: DomainName,
    /// The transferred amount.
    pub amount: Resources,
}

/// Returns the transfers that fulfil the requests of other failure domains, largest first, as far
/// as the spare amounts of this domain suffice.
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

/// Returns the configuration entries of a note that makes transfers from a failure domain. They
/// contain only the changed parts.
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
