//! The messages between the control thread and the network thread.

use pomelotide_core::cell::{Effect, Event, LogEvent};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the reducer.
    Event(Event),
    /// SIGHUP was received, as the settings file may have changed. It is only logged; the settings
    /// are not read again.
    Reload,
    /// A line for the log.
    Log(LogEvent),
}

/// A message to the network thread: the effects of a batch of events.
pub(crate) type EffectBatch = Vec<Effect>;
