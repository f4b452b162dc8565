//! Paths between processes, and what is wrong with them.

use crate::statement::Place;
use pomelotide_core::Millis;
use std::collections::BTreeMap;

/// The name of the platform as an end of a path.
pub(crate) const PLATFORM: &str = "platform";
/// The one-way delay inside a failure domain.
const NEAR_MS: Millis = Millis(1);
/// The one-way delay between failure domains.
const FAR_MS: Millis = Millis(4);
/// The one-way delay to the platform.
const PLATFORM_MS: Millis = Millis(2);

/// What is wrong between two places.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    cut: bool,
    delay_ms: Millis,
    loss_percent: u64,
}

/// One end of a path: a process and its failure domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End<'a> {
    pub(crate) name: &'a str,
    pub(crate) domain: &'a str,
}

impl<'a> End<'a> {
    pub(crate) const fn platform() -> End<'static> {
        End {
            name: PLATFORM,
            domain: PLATFORM,
        }
    }

    fn is_in(&self, place: &Place) -> bool {
        place.0 == self.name || place.0 == self.domain
    }
}

/// What happens to a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Passage {
    /// It arrives after a delay.
    After(Millis),
    /// It is lost.
    Lost,
}

/// All faults of paths.
#[derive(Clone, Debug, Default)]
pub(crate) struct Paths {
    faults: BTreeMap<(Place, Place), Fault>,
}

impl Paths {
    fn fault(&mut self, a: Place, b: Place) -> &mut Fault {
        let pair = if a <= b { (a, b) } else { (b, a) };
        self.faults.entry(pair).or_default()
    }

    pub(crate) fn cut(&mut self, a: Place, b: Place) {
        self.fault(a, b).cut = true;
    }

    pub(crate) fn delay(&mut self, a: Place, b: Place, delay_ms: Millis) {
        self.fault(a, b).delay_ms = delay_ms;
    }

    pub(crate) fn lose(&mut self, a: Place, b: Place, loss_percent: u64) {
        self.fault(a, b).loss_percent = loss_percent;
    }

    pub(crate) fn heal(&mut self, a: Place, b: Place) {
        *self.fault(a, b) = Fault::default();
    }

    pub(crate) fn heal_all(&mut self) {
        self.faults.clear();
    }

    /// Decides what happens to a message between two processes.
    pub(crate) fn pass(&self, a: End<'_>, b: End<'_>, rng: &mut fastrand::Rng) -> Passage {
        let between = |(from, to): &(Place, Place)| {
            (a.is_in(from) && b.is_in(to)) || (a.is_in(to) && b.is_in(from))
        };
        let mut delay_ms = base_delay_ms(a, b);
        for (_, fault) in self.faults.iter().filter(|(pair, _)| between(pair)) {
            if fault.cut || rng.u64(0..100) < fault.loss_percent {
                return Passage::Lost;
            }
            delay_ms = delay_ms + fault.delay_ms;
        }
        Passage::After(delay_ms + Millis(rng.u64(0..2)))
    }
}

fn base_delay_ms(a: End<'_>, b: End<'_>) -> Millis {
    if a.name == PLATFORM || b.name == PLATFORM {
        PLATFORM_MS
    } else if a.domain == b.domain {
        NEAR_MS
    } else {
        FAR_MS
    }
}
