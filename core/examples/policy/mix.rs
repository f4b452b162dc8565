//! The arrivals of each deployment, drawn from a seed.

use crate::support::{cpu, Draw};
use pomelotide_core::{Class, Resources};

/// The span over which work arrives.
pub const SPAN_MS: u64 = 300_000;
/// The time from which measures count: the fleet is full by then.
pub const MEASURED_FROM_MS: u64 = 120_000;

/// The teams with their shares; the first two are the large clients.
pub const TEAMS: [(&str, u64); 6] = [("a", 6), ("b", 4), ("c", 2), ("d", 2), ("e", 1), ("f", 1)];

/// A deployment's fleet and load.
pub struct Mix {
    pub name: &'static str,
    pub workers: usize,
    pub capacity: Resources,
    pub question: Resources,
    /// The most processors of one batch task.
    widest: u64,
    /// The tasks of the largest gang.
    largest_gang: u64,
    questions_a_second: u64,
    seed: u64,
}

/// One piece of work.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub team: &'static str,
    pub class: Class,
    pub tasks: u32,
    pub need: Resources,
    pub run_ms: u64,
}

impl Mix {
    /// Fruit presses: many questions, small batch, a few approvals as gangs.
    pub fn bennani() -> Self {
        Self {
            name: "bennani",
            workers: 48,
            capacity: Resources {
                slots: 8,
                ..cpu(16_000, 32_768)
            },
            question: Resources {
                slots: 1,
                ..cpu(250, 128)
            },
            widest: 4,
            largest_gang: 12,
            questions_a_second: 400,
            seed: 1,
        }
    }

    /// Shop signs: wide batch and gangs, fewer questions.
    pub fn nyabugogo() -> Self {
        Self {
            name: "nyabugogo",
            workers: 48,
            capacity: Resources {
                slots: 8,
                ..cpu(64_000, 262_144)
            },
            question: Resources {
                slots: 1,
                ..cpu(500, 512)
            },
            widest: 16,
            largest_gang: 24,
            questions_a_second: 200,
            seed: 2,
        }
    }

    /// Returns everything that arrives, in order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut draw = Draw(self.seed);
        let mut all = self.questions(&mut draw);
        for (team, share) in TEAMS {
            all.extend(self.batch(&mut draw, team, share));
            all.extend(self.gangs(&mut draw, team));
            all.extend(self.services(&mut draw, team, share));
        }
        all.sort_by_key(|arrival| arrival.at_ms);
        all
    }

    /// Questions come mostly from the large clients.
    fn questions(&self, draw: &mut Draw) -> Vec<Arrival> {
        let count = self.questions_a_second * SPAN_MS / 1_000;
        let question = |_| {
            let place = [0, 0, 0, 0, 1, 1, 1, 2, 3, 4, 5][draw.below(11) as usize];
            Arrival {
                at_ms: draw.below(SPAN_MS),
                team: TEAMS[place].0,
                class: Class::Small,
                tasks: 1,
                need: self.question,
                run_ms: draw.within(20, 200),
            }
        };
        (0..count).map(question).collect()
    }

    /// Each team sends half as much again as its share of the fleet can run.
    fn batch(&self, draw: &mut Draw, team: &'static str, share: u64) -> Vec<Arrival> {
        let shares: u64 = TEAMS.iter().map(|(_, share)| share).sum();
        let fleet = self.capacity.cpu_milli * self.workers as u64;
        let wanted = fleet * share / shares * SPAN_MS * 3 / 2;
        let mut sent = 0;
        let mut all = Vec::new();
        while sent < wanted {
            let tasks = draw.within(1, 12) as u32;
            let cpu_milli = draw.within(1, self.widest) * 1_000;
            let run_ms = draw.within(4_000, 30_000);
            sent += u64::from(tasks) * cpu_milli * run_ms;
            all.push(Arrival {
                at_ms: draw.below(SPAN_MS),
                team,
                class: Class::Batch,
                tasks,
                need: cpu(cpu_milli, cpu_milli),
                run_ms,
            });
        }
        all
    }

    fn gangs(&self, draw: &mut Draw, team: &'static str) -> Vec<Arrival> {
        let gang = |place: u64| Arrival {
            at_ms: place * 60_000 + draw.below(60_000),
            team,
            class: Class::Gang,
            tasks: draw.within(4, self.largest_gang) as u32,
            need: cpu(self.widest * 1_000, self.widest * 1_000),
            run_ms: draw.within(5_000, 15_000),
        };
        (0..SPAN_MS / 60_000).map(gang).collect()
    }

    fn services(&self, draw: &mut Draw, team: &'static str, share: u64) -> Vec<Arrival> {
        let service = |_| Arrival {
            at_ms: draw.below(SPAN_MS),
            team,
            class: Class::Service,
            tasks: draw.within(1, 4) as u32,
            need: cpu(self.widest * 500, self.widest * 500),
            run_ms: draw.within(60_000, 120_000),
        };
        (0..share * 2).map(service).collect()
    }
}
