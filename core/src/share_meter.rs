//! What each team had running lately.

use crate::{consts, TeamName};
use std::collections::BTreeMap;

/// The mean dominant share of each team over the last span, by which an excess is paid back.
#[derive(Debug, Default)]
pub struct ShareMeter {
    means_ppm: BTreeMap<TeamName, u64>,
}

impl ShareMeter {
    /// Takes in what a team has running now.
    pub fn sample(&mut self, team: &TeamName, share_ppm: u64) {
        let mean_ppm = self.means_ppm.entry(team.clone()).or_default();
        let kept = *mean_ppm * (consts::SHARE_AVERAGE_SAMPLES - 1);
        *mean_ppm = (kept + share_ppm) / consts::SHARE_AVERAGE_SAMPLES;
    }

    /// Returns what a team had running lately.
    pub fn mean_ppm(&self, team: &TeamName) -> u64 {
        self.means_ppm.get(team).copied().unwrap_or(0)
    }

    /// Forgets every team.
    pub fn clear(&mut self) {
        self.means_ppm.clear();
    }
}
