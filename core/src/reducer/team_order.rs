//! The order in which a scheduling pass serves the teams.

use crate::{Class, TeamName};
use std::collections::{BTreeMap, BTreeSet};

/// The teams with work that the pass has not tried yet, the one with the lowest weighted share
/// first.
///
/// A share is computed once in a pass, and again only after a unit of the team was started or
/// removed.
#[derive(Debug, Default)]
pub(super) struct TeamOrder {
    order: BTreeSet<(u64, TeamName)>,
    teams: BTreeMap<TeamName, TeamEntry>,
}

/// A team's share and its classes that are still to be tried, in order.
#[derive(Debug, Default)]
struct TeamEntry {
    share_ppm: u64,
    classes: Vec<Class>,
}

impl TeamOrder {
    /// Adds a class of a team; the classes of a team are tried in the order in which they were added.
    pub(super) fn add_class(&mut self, team: TeamName, class: Class) {
        self.teams.entry(team).or_default().classes.push(class);
    }

    /// Orders the teams by their shares.
    pub(super) fn sort_by_share(&mut self, share_ppm: impl Fn(&TeamName) -> u64) {
        for (team, entry) in &mut self.teams {
            entry.share_ppm = share_ppm(team);
            self.order.insert((entry.share_ppm, team.clone()));
        }
    }

    /// Returns the first team and its class to try next.
    pub(super) fn first(&self) -> Option<(TeamName, Class)> {
        let (_, team) = self.order.first()?;
        let class = self.teams.get(team)?.classes.first()?;
        Some((team.clone(), *class))
    }

    /// Removes a class of a team, and the team if no class is left.
    pub(super) fn remove_class(&mut self, team: &TeamName, class: Class) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.classes.retain(|other| *other != class);
        if entry.classes.is_empty() {
            self.order.remove(&(entry.share_ppm, team.clone()));
            self.teams.remove(team);
        }
    }

    /// Removes all teams except the given ones.
    pub(super) fn retain_teams(&mut self, remaining: &[&TeamName]) {
        self.teams.retain(|team, _| remaining.contains(&team));
        self.order.retain(|(_, team)| remaining.contains(&team));
    }

    /// Updates the share of a team and with it the team's position.
    pub(super) fn update_share(&mut self, team: &TeamName, share_ppm: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            self.order.remove(&(entry.share_ppm, team.clone()));
            entry.share_ppm = share_ppm;
            self.order.insert((share_ppm, team.clone()));
        }
    }
}
