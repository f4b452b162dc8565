//! What workers, callers and operators saw, in the order in which it happened.

use pomelotide_core::{
    Answer, DaemonId, EntryName, Note, Resources, Revision, TaskEnd, TaskId, TeamName, WorkerId,
};

/// Numbers the calls of all callers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// One thing that was seen from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller sent a request.
    Asked {
        /// The call.
        call: CallNumber,
        /// The request's id.
        id: String,
        /// The key's name in the script, for a keyed request.
        key: Option<String>,
        /// Whether running it twice does no harm.
        idempotent: bool,
        /// What the backend server would answer.
        echo: String,
    },
    /// A caller got its answer.
    Answered {
        /// The call.
        call: CallNumber,
        /// The answer.
        answer: Answer,
    },
    /// A caller's connection broke with its daemon's death.
    Broken {
        /// The call.
        call: CallNumber,
    },
    /// A worker came with a capacity.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// What it has.
        capacity: Resources,
    },
    /// A worker started a task.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        task: TaskId,
        /// The team.
        team: TeamName,
        /// What it takes.
        need: Resources,
    },
    /// A worker was told to start a task for which it has no room.
    Overcommitted {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        task: TaskId,
    },
    /// A task ended at its worker.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        task: TaskId,
        /// How.
        end: TaskEnd,
    },
    /// A worker died with all its tasks.
    Crashed {
        /// The worker.
        worker: WorkerId,
    },
    /// The host list shows a worker as leaving.
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// An operator was told that a note is in force everywhere.
    InForce {
        /// The note.
        note: Note,
        /// Its revision.
        revision: Revision,
    },
    /// A daemon's revision, and whether it honours keys.
    Acting {
        /// The daemon.
        daemon: DaemonId,
        /// The revision.
        revision: Revision,
        /// Whether it honours keys.
        fresh: bool,
    },
}

/// Returns the names of the keys that a note withdraws.
pub(crate) fn withdrawn_keys(note: &Note) -> impl Iterator<Item = String> + '_ {
    note.withdrawn.iter().filter_map(|name| match name {
        EntryName::Key(key) => Some(key.to_string()),
        _ => None,
    })
}
