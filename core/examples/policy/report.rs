//! The printed lines and their bounds.

use crate::{
    mix::{Mix, TEAMS},
    outcome::Outcome,
};
use pomelotide_core::Class;

/// The most that small questions may wait at p99 while batch fills the fleet.
const SMALL_P99_MS: u64 = 50;
/// The most by which a team may miss its share, averaged over a minute.
const NEARNESS_PERMILLE: u64 = 50;

/// Whether a measure may not be above or below its bound.
#[derive(Clone, Copy)]
enum Bound {
    None,
    Most(u64),
    Least(u64),
}

/// Prints measures and remembers whether any broke its bound.
#[derive(Default)]
pub struct Report {
    broken: bool,
}

impl Report {
    /// Says whether a bound was broken.
    pub const fn is_broken(&self) -> bool {
        self.broken
    }

    /// Prints the measures of all policies; today's are bounded by the targets and strict FIFO.
    pub fn compare(&mut self, mix: &Mix, today: &Outcome, strict: &Outcome, skipping: &Outcome) {
        let policies = [today, strict, skipping];
        for (class, name) in Class::ALL {
            for (permille, rank) in [(500, "p50"), (990, "p99"), (999, "p99.9")] {
                let measure = format!("wait_{name}_{rank}");
                let values = policies.map(|policy| policy.wait_ms(class, permille));
                let most = match class {
                    Class::Small => SMALL_P99_MS.min(values[1]),
                    _ => values[1],
                };
                let bounded = rank == "p99" && class != Class::Batch;
                let bound = if bounded {
                    Bound::Most(most)
                } else {
                    Bound::None
                };
                self.lines(mix, &measure, values, "ms", bound);
            }
        }
        let values = policies.map(Outcome::wait_all_ms);
        self.lines(mix, "wait_mean", values, "ms", Bound::Most(values[1]));
        let values = policies.map(Outcome::packing_permille);
        self.lines(mix, "packing", values, "permille", Bound::Least(values[1]));
        for (place, (team, _)) in TEAMS.iter().enumerate() {
            let values = policies.map(|policy| policy.distance_permille(place));
            let most = NEARNESS_PERMILLE.min(values[1]);
            self.lines(
                mix,
                &format!("share_distance_{team}"),
                values,
                "permille",
                Bound::Most(most),
            );
        }
    }

    fn lines(&mut self, mix: &Mix, measure: &str, values: [u64; 3], unit: &str, bound: Bound) {
        self.line(mix, &format!("{measure}.today"), values[0], unit, bound);
        self.line(
            mix,
            &format!("{measure}.fifo"),
            values[1],
            unit,
            Bound::None,
        );
        self.line(
            mix,
            &format!("{measure}.fifo_skip"),
            values[2],
            unit,
            Bound::None,
        );
    }

    fn line(&mut self, mix: &Mix, measure: &str, value: u64, unit: &str, bound: Bound) {
        let (text, kept) = match bound {
            Bound::None => ("-".to_owned(), true),
            Bound::Most(most) => (format!("<={most}"), value <= most),
            Bound::Least(least) => (format!(">={least}"), value >= least),
        };
        self.broken |= !kept;
        let mark = if kept { "" } else { " BROKEN" };
        println!("{}.{measure} {value} {unit} {text}{mark}", mix.name);
    }
}
