//! The messages between the control thread and the network thread.

use pomelotide_core::cell::{Effect, Event};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the reducer.
    Event(Event),
    /// A request (SIGHUP) to reload the settings.
    Reload,
}

/// A message to the network thread: the effects of a batch of events.
pub(crate) type EffectBatch = Vec<Effect>;
