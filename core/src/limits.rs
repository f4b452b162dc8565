//! A failure domain's parts of the fleet-wide upper limits.

use crate::{consts::CONFIG_ACTIVATION_DELAY_MS, Config, DomainName, Millis, Resources, TeamName};
use std::collections::BTreeMap;

/// What one team may have running in this failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct TeamLimit {
    spendable: Resources,
    pending_increase: Option<(Millis, Resources)>,
}

/// The allotments that this daemon may spend.
///
/// A smaller allotment counts at once. A larger one counts only when every daemon that may still
/// act on the older configuration has stopped doing so, so that the sum over the failure domains
/// never exceeds the limit.
#[derive(Debug, Default)]
pub struct Limits {
    teams: BTreeMap<TeamName, TeamLimit>,
    /// What is about to be given away.
    set_aside: BTreeMap<TeamName, Resources>,
}

impl Limits {
    /// Takes over the allotments of a new configuration.
    pub fn update(&mut self, config: &Config, domain: &DomainName, now_ms: Millis) {
        let mut teams = std::mem::take(&mut self.teams);
        for team in config.teams() {
            let target = config.allotment(team, domain);
            let held = teams
                .remove(team)
                .unwrap_or_default()
                .retargeted(target, now_ms);
            self.teams.insert(team.clone(), held);
        }
    }

    /// Lets larger allotments count whose wait is over; says whether any did.
    pub fn apply_due_increases(&mut self, now_ms: Millis) -> bool {
        let mut grew = false;
        for held in self.teams.values_mut() {
            let due = held.pending_increase.filter(|(at_ms, _)| *at_ms <= now_ms);
            if let Some((_, amount)) = due {
                held.spendable = amount;
                held.pending_increase = None;
                grew = true;
            }
        }
        grew
    }

    /// Returns what a team may have running here.
    pub fn spendable(&self, team: &TeamName) -> Resources {
        let held = self.teams.get(team).map(|held| held.spendable);
        let held = held.unwrap_or_default();
        match self.set_aside.get(team) {
            Some(amount) => held.minus(*amount),
            None => held,
        }
    }

    /// Spends a part of a team's allotment no more, until [`Limits::release_set_aside`].
    pub fn set_aside(&mut self, team: &TeamName, amount: Resources) {
        let known = self.set_aside.entry(team.clone()).or_default();
        *known = known.plus(amount);
    }

    /// Ends the setting aside of all parts.
    pub fn release_set_aside(&mut self) {
        self.set_aside.clear();
    }

    /// Returns what a team may have running here once pending increases count.
    pub fn target(&self, team: &TeamName) -> Resources {
        let Some(held) = self.teams.get(team) else {
            return Resources::default();
        };
        held.pending_increase
            .map_or(held.spendable, |(_, amount)| amount)
    }
}

impl TeamLimit {
    fn retargeted(mut self, target: Resources, now_ms: Millis) -> Self {
        let known = self
            .pending_increase
            .map_or(self.spendable, |(_, amount)| amount);
        if target == known {
            return self;
        }
        self.spendable = self.spendable.min(target);
        let grows = self.spendable != target;
        self.pending_increase = grows.then_some((now_ms + CONFIG_ACTIVATION_DELAY_MS, target));
        self
    }
}
