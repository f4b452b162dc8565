//! Whose turn it is in one pass over the queues.

use crate::{Class, TeamName};
use std::collections::{BTreeMap, BTreeSet};

/// The teams that still have work to try, the one furthest below its share first.
///
/// A pass asks for a team's share once, and again only after the team got something.
#[derive(Debug, Default)]
pub(super) struct TeamOrder {
    order: BTreeSet<(u64, TeamName)>,
    teams: BTreeMap<TeamName, TeamEntry>,
}

/// A team's share and the classes that are still to be tried, in order.
#[derive(Debug, Default)]
struct TeamEntry {
    share_ppm: u64,
    classes: Vec<Class>,
}

impl TeamOrder {
    /// Adds a class of a team; a team's classes are tried in the order in which they are added.
    pub(super) fn add_class(&mut self, team: TeamName, class: Class) {
        self.teams.entry(team).or_default().classes.push(class);
    }

    /// Puts the teams in order by their shares.
    pub(super) fn sort_by_share(&mut self, share_ppm: impl Fn(&TeamName) -> u64) {
        for (team, entry) in &mut self.teams {
            entry.share_ppm = share_ppm(team);
            self.order.insert((entry.share_ppm, team.clone()));
        }
    }

    /// Returns the team whose turn it is, and its class.
    pub(super) fn first(&self) -> Option<(TeamName, Class)> {
        let (_, team) = self.order.first()?;
        let class = self.teams.get(team)?.classes.first()?;
        Some((team.clone(), *class))
    }

    /// Ends the turns of a class of a team.
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

    /// Ends the turns of all teams but some.
    pub(super) fn retain_teams(&mut self, kept: &[&TeamName]) {
        self.teams.retain(|team, _| kept.contains(&team));
        self.order.retain(|(_, team)| kept.contains(&team));
    }

    /// Moves a team to its place by a share that changed.
    pub(super) fn update_share(&mut self, team: &TeamName, share_ppm: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            self.order.remove(&(entry.share_ppm, team.clone()));
            entry.share_ppm = share_ppm;
            self.order.insert((share_ppm, team.clone()));
        }
    }
}
