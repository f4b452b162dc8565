//! A failure domain's parts of the teams' fleet-wide limits.

use crate::{consts::CONFIG_ACTIVATION_DELAY_MS, Config, DomainName, Millis, Resources, TeamName};
use std::collections::BTreeMap;

/// A team's limit in this failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct TeamLimit {
    spendable: Resources,
    /// A larger limit and the time from which it applies.
    pending_increase: Option<(Millis, Resources)>,
}

/// The teams' limits in this failure domain.
///
/// A decrease applies at once. An increase applies only after [`CONFIG_ACTIVATION_DELAY_MS`], when
/// no daemon still acts on the older configuration, so that the sum over the failure domains never
/// exceeds a team's limit.
#[derive(Debug, Default)]
pub struct Limits {
    teams: BTreeMap<TeamName, TeamLimit>,
    /// The amounts that are about to be transferred to other failure domains.
    set_aside: BTreeMap<TeamName, Resources>,
}

impl Limits {
    /// Updates the limits from a new configuration.
    pub fn update(&mut self, config: &Config, domain: &DomainName, now_ms: Millis) {
        let mut teams = std::mem::take(&mut self.teams);
        for team in config.teams() {
            let target = config.allotment(team, domain);
            let limit = teams
                .remove(team)
                .unwrap_or_default()
                .with_target(target, now_ms);
            self.teams.insert(team.clone(), limit);
        }
    }

    /// Applies the increases that are due and returns whether there were any.
    pub fn apply_due_increases(&mut self, now_ms: Millis) -> bool {
        let mut increased = false;
        for limit in self.teams.values_mut() {
            let due = limit.pending_increase.filter(|(at_ms, _)| *at_ms <= now_ms);
            if let Some((_, amount)) = due {
                limit.spendable = amount;
                limit.pending_increase = None;
                increased = true;
            }
        }
        increased
    }

    /// Returns the limit of what a team may have running here now.
    pub fn spendable(&self, team: &TeamName) -> Resources {
        let limit = self.teams.get(team).map(|limit| limit.spendable);
        let limit = limit.unwrap_or_default();
        match self.set_aside.get(team) {
            Some(amount) => limit.minus(*amount),
            None => limit,
        }
    }

    /// Excludes an amount from a team's spendable limit until [`Limits::release_set_aside`].
    pub fn set_aside(&mut self, team: &TeamName, amount: Resources) {
        let total = self.set_aside.entry(team.clone()).or_default();
        *total = total.plus(amount);
    }

    /// Makes all amounts that were set aside spendable again.
    pub fn release_set_aside(&mut self) {
        self.set_aside.clear();
    }

    /// Returns a team's limit here once its pending increase applies.
    pub fn target(&self, team: &TeamName) -> Resources {
        let Some(limit) = self.teams.get(team) else {
            return Resources::default();
        };
        limit
            .pending_increase
            .map_or(limit.spendable, |(_, amount)| amount)
    }
}

impl TeamLimit {
    fn with_target(mut self, target: Resources, now_ms: Millis) -> Self {
        let current = self
            .pending_increase
            .map_or(self.spendable, |(_, amount)| amount);
        if target == current {
            return self;
        }
        self.spendable = self.spendable.min(target);
        let is_increase = self.spendable != target;
        self.pending_increase =
            is_increase.then_some((now_ms + CONFIG_ACTIVATION_DELAY_MS, target));
        self
    }
}
