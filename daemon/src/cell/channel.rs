//! What passes between the control thread and the thread of the sockets.

use pomelotide_core::cell::{Effect, Event};

/// What the control thread takes.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the reducer.
    Event(Event),
    /// The settings file may have changed.
    Reload,
}

/// What the thread of the sockets takes: the effects of one step.
pub(crate) type EffectBatch = Vec<Effect>;
