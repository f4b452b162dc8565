//! A daemon's recorded trace, and its replay.

use pomelotide_core::{Core, CoreSettings, Effect, Event, Millis};
use pomelotide_wire::{decode, encode, FrameError};

/// One step of a reducer: the encoded event with its time, and the encoded effects.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Step {
    event: Vec<u8>,
    effects: Vec<u8>,
}

/// Everything that one daemon took in and gave out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recording {
    settings: CoreSettings,
    steps: Vec<Step>,
    on: bool,
}

impl Recording {
    pub(crate) const fn new(settings: CoreSettings) -> Self {
        Self {
            settings,
            steps: Vec::new(),
            on: false,
        }
    }

    pub(crate) fn switch_on(&mut self) {
        self.on = true;
    }

    /// Records a step; anything that can't be encoded breaks the replay.
    pub(crate) fn record(&mut self, now_ms: Millis, event: &Event, effects: &[Effect]) {
        if self.on {
            let event = encode(&(now_ms, event)).unwrap_or_default();
            let effects = encode(&effects).unwrap_or_default();
            self.steps.push(Step { event, effects });
        }
    }

    /// Returns the number of steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Says whether nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Gives the recorded events to a new reducer; returns the first step whose effects differ.
    pub fn replay(&self) -> Result<Option<usize>, FrameError> {
        let mut core = Core::new(self.settings.clone());
        for (number, step) in self.steps.iter().enumerate() {
            let (now_ms, event): (Millis, Event) = decode(&step.event)?;
            if encode(&core.step(now_ms, event))? != step.effects {
                return Ok(Some(number));
            }
        }
        Ok(None)
    }
}
