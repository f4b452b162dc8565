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

/// Answers the wants of other failure domains out of what is spare here: the whole want where it
/// is spare, the largest wants first.
pub fn grant_requests(
    spare: &BTreeMap<TeamName, Resources>,
    wants: &BTreeMap<DomainName, Vec<LimitRequest>>,
) -> Vec<LimitTransfer> {
    let mut spare = spare.clone();
    let all = wants.iter();
    let mut all: Vec<(&DomainName, &LimitRequest)> = all
        .flat_map(|(domain, wants)| wants.iter().map(move |want| (domain, want)))
        .collect();
    all.sort_by_key(|(_, want)| std::cmp::Reverse(want.amount.amounts()));
    let mut moves = Vec::new();
    for (domain, want) in all {
        let Some(left) = spare.get_mut(&want.team) else {
            continue;
        };
        let amount = want.amount.min(*left);
        if amount == Resources::default() {
            continue;
        }
        *left = left.minus(amount);
        let (team, to) = (want.team.clone(), domain.clone());
        moves.push(LimitTransfer { team, to, amount });
        if moves.len() == consts::MAX_TRANSFERS_PER_NOTE {
            break;
        }
    }
    moves
}

/// Returns the entries of a note that makes moves out of a failure domain: the parts that change.
pub fn split_entries(config: &Config, from: &DomainName, moves: &[LimitTransfer]) -> Vec<Entry> {
    let mut changed: BTreeMap<&TeamName, BTreeMap<DomainName, Resources>> = BTreeMap::new();
    for part in moves {
        let parts = changed.entry(&part.team).or_default();
        let now = |domain: &DomainName| config.allotment(&part.team, domain);
        let given = parts.entry(from.clone()).or_insert_with(|| now(from));
        *given = given.minus(part.amount);
        let taken = parts
            .entry(part.to.clone())
            .or_insert_with(|| now(&part.to));
        *taken = taken.plus(part.amount);
    }
    let entry = |(team, parts): (&TeamName, BTreeMap<DomainName, Resources>)| Entry::Split {
        team: team.clone(),
        parts: parts.into_iter().collect(),
    };
    changed.into_iter().map(entry).collect()
}
