//! The average share of each team.

use crate::{consts, TeamName};
use std::collections::BTreeMap;

/// The moving average of each team's dominant share. Ordering teams by it compensates others for a
/// team's past excess.
#[derive(Debug, Default)]
pub struct ShareMeter {
    means_ppm: BTreeMap<TeamName, u64>,
}

impl ShareMeter {
    /// Adds a sample of a team's present share.
    pub fn sample(&mut self, team: &TeamName, share_ppm: u64) {
        let mean_ppm = self.means_ppm.entry(team.clone()).or_default();
        let kept = *mean_ppm * (consts::SHARE_AVERAGE_SAMPLES - 1);
        *mean_ppm = (kept + share_ppm) / consts::SHARE_AVERAGE_SAMPLES;
    }

    /// Returns a team's average share in millionths.
    pub fn mean_ppm(&self, team: &TeamName) -> u64 {
        self.means_ppm.get(team).copied().unwrap_or(0)
    }

    /// Removes all averages.
    pub fn clear(&mut self) {
        self.means_ppm.clear();
    }
}
