//! The statements of a scenario script.

use pomelotide_core::{Millis, Resources};

/// One end of a path: a failure domain, a daemon, a worker or the platform.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Place(pub String);

/// Work that a caller sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
    /// The caller's id.
    pub id: String,
    /// The queue.
    pub queue: String,
    /// The key's name; its secret is the name.
    pub key: Option<String>,
    /// The daemon at which it comes in.
    pub at: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How long the caller waits.
    pub deadline_ms: Millis,
    /// How long the work takes in truth.
    pub run_ms: Millis,
    /// The run time that is declared, where it differs from the truth.
    pub declared_ms: Option<Millis>,
    /// The number of tasks; zero for a request.
    pub tasks: u32,
    /// The need of one task.
    pub need: Resources,
    /// Whether it fails at the worker.
    pub fails: bool,
}

/// What is expected of a piece of work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The backend server's own answer.
    Done,
    /// Refused before it ran, for a reason if one is given.
    NotRun(Option<String>),
    /// Nobody can tell.
    Unknown,
    /// A whole answer, or a truthful refusal, or unknown: any final answer.
    Answered,
    /// A job on record.
    Accepted,
    /// A job in a state: succeeded, failed or cancelled.
    State(String),
    /// A note in force everywhere.
    InForce,
    /// A note that was rejected.
    Rejected,
}

/// One line of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Adds a failure domain.
    Domain {
        /// Its name.
        name: String,
        /// The number of daemons.
        daemons: u32,
        /// The number of workers.
        workers: u32,
        /// What each worker has.
        capacity: Resources,
    },
    /// Prints every decision from here on.
    Trace,
    /// Lets time pass.
    Wait(Millis),
    /// Starts a daemon anew.
    Start(String),
    /// Kills a daemon.
    Kill(String),
    /// Freezes a daemon.
    Pause(String),
    /// Lets a frozen daemon go on.
    Resume(String),
    /// Asks a daemon to stop.
    Drain(String),
    /// Lets a daemon's clock run faster or slower, in percent.
    Drift(String, i64),
    /// Loses everything between two places.
    Cut(Place, Place),
    /// Ends the cuts, delays and losses between two places.
    Heal(Place, Place),
    /// Ends all faults of paths, table and host list; paused daemons go on.
    HealAll,
    /// Delays everything between two places.
    Delay(Place, Place, Millis),
    /// Loses a part of everything between two places, in percent.
    Loss(Place, Place, u64),
    /// Lets the open connection of a daemon to a worker go silent; new ones work.
    Silence(String, String),
    /// Turns the table off or on.
    TableDown(bool),
    /// Delays the table's answers.
    TableSlow(Millis),
    /// Loses the answers to the next writes after they took effect.
    TableLose(u32),
    /// Freezes or unfreezes the host list.
    HostsStale(bool),
    /// Marks a worker as leaving on the host list.
    Leave(String),
    /// Kills a worker's tasks and starts it anew.
    Crash(String),
    /// Takes a worker off for good; the host list drops it.
    Remove(String),
    /// Lets a worker fail everything.
    Fails(String),
    /// Lets a worker ignore claims: a seeded fault in the guard of ownership.
    IgnoreClaims(String),
    /// Applies a note from a file at a daemon.
    Note(String, String),
    /// Sends work.
    Send(Work),
    /// Sends work a number of times; `#` in its id becomes the count.
    Times(u32, Millis, Work),
    /// Cancels a job with a key at a daemon.
    Cancel(String, String, String),
    /// Waits until work or a note got what is expected.
    Expect(String, Expected, Millis),
    /// Waits until exactly one of two notes is in force and the other one is rejected.
    ExpectRace(String, String, Millis),
    /// Waits until everything is answered and every job over.
    ExpectQuiet(Millis),
    /// The number of starts of a request or of a job's tasks.
    ExpectStarts(String, u64),
    /// The least number of requests whose ids begin so and which were done.
    ExpectDone(String, u64),
    /// Whether a daemon is the keeper of its failure domain.
    ExpectKeeper(String, Millis),
}
