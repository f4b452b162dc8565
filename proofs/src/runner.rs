//! Running a scenario: statement by statement, checked after each step.

use crate::{
    checks::Violation,
    history::{CallNumber, Observation},
    recording::Recording,
    script::Script,
    statement::{Expected, Statement, Work},
    world::World,
};
use pomelotide_core::{
    Answer, Event, JobId, JobSpec, JobState, KeyDigest, Millis, Note, NoteVerdict, Payload,
    QueueName, Request, RequestId, Resources,
};
use pomelotide_wire::{parse_note, secret_digest};
use std::{collections::BTreeMap, fmt, fs, path::Path};

/// The span between two looks at what is expected.
const LOOK_MS: Millis = Millis(20);
/// The span between two questions after a job.
const ASK_MS: Millis = Millis(500);
/// The workers of one rack.
const PER_RACK: u32 = 2;

/// Why a scenario failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// An invariant was broken.
    Broken(Violation),
    /// An expectation did not come true.
    Unmet {
        /// The line of the script.
        line: usize,
        /// What was seen instead.
        seen: String,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Broken(violation) => violation.fmt(f),
            Failure::Unmet { line, seen } => write!(f, "line {line}: {seen}"),
        }
    }
}

/// What a scenario came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The reducer steps that were checked.
    pub steps: u64,
    /// The first failure.
    pub failure: Option<Failure>,
}

/// Runs a scenario; notes are read from a folder.
pub fn run_script(script: &Script, notes: &Path) -> Verdict {
    run_world(World::new(script.seed), script, notes).0
}

/// Runs a scenario and returns what each daemon took in and gave out.
pub fn record_script(script: &Script, notes: &Path) -> (Verdict, Vec<Recording>) {
    let mut world = World::new(script.seed);
    world.record();
    let (verdict, world) = run_world(world, script, notes);
    (verdict, world.recordings())
}

fn run_world(world: World, script: &Script, notes: &Path) -> (Verdict, World) {
    let (works, files) = (BTreeMap::new(), BTreeMap::new());
    let mut runner = Runner {
        world,
        notes,
        works,
        files,
    };
    let mut failure = None;
    for (line, statement) in &script.statements {
        let outcome = runner.carry_out(statement);
        if let Some(violation) = runner.world.violation() {
            failure = Some(Failure::Broken(violation.clone()));
            break;
        }
        if let Err(seen) = outcome {
            failure = Some(Failure::Unmet { line: *line, seen });
            break;
        }
    }
    runner.world.print_state();
    let steps = runner.world.steps();
    (Verdict { steps, failure }, runner.world)
}

/// Work that was sent, with its calls.
#[derive(Debug)]
struct Sent {
    work: Work,
    calls: Vec<Option<CallNumber>>,
    lookup: Option<(CallNumber, Millis)>,
}

/// A note that was proposed.
#[derive(Debug)]
struct Proposed {
    note: Note,
    call: Option<CallNumber>,
    /// Whether the checker knows that it is in force.
    seen: bool,
}

struct Runner<'a> {
    world: World,
    notes: &'a Path,
    works: BTreeMap<String, Sent>,
    files: BTreeMap<String, Proposed>,
}

impl Runner<'_> {
    fn carry_out(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Domain {
                name,
                daemons,
                workers,
                capacity,
            } => {
                self.add_domain(name, *daemons, *workers, *capacity);
                Ok(())
            }
            Statement::Wait(span_ms) => {
                self.world.run_until(self.world.now_ms() + *span_ms);
                self.note_in_force();
                Ok(())
            }
            Statement::Note(file, daemon) => self.apply_note(file, daemon),
            Statement::Send(work) => {
                self.send(work.clone());
                Ok(())
            }
            Statement::Times(count, every_ms, work) => {
                self.send_times(*count, *every_ms, work);
                Ok(())
            }
            Statement::Cancel(id, key, at) => self.cancel(id, key, at),
            Statement::Expect(name, expected, within_ms) => {
                self.expect(*within_ms, |runner| runner.judge(name, expected))
            }
            Statement::ExpectRace(a, b, within_ms) => {
                self.expect(*within_ms, |runner| runner.judge_race(a, b))
            }
            Statement::ExpectQuiet(within_ms) => self.expect(*within_ms, Runner::judge_quiet),
            Statement::ExpectStarts(id, count) => self.judge_starts(id, *count),
            Statement::ExpectDone(prefix, count) => self.judge_done(prefix, *count),
            Statement::ExpectKeeper(daemon, within_ms) => {
                self.expect(*within_ms, |runner| runner.judge_keeper(daemon))
            }
            fault => {
                self.world.afflict(fault);
                Ok(())
            }
        }
    }

    fn send_times(&mut self, count: u32, every_ms: Millis, work: &Work) {
        for n in 0..count {
            let id = work.id.replace('#', &n.to_string());
            self.send(Work { id, ..work.clone() });
            self.world.run_until(self.world.now_ms() + every_ms);
            self.note_in_force();
        }
    }

    fn judge_starts(&self, id: &str, count: u64) -> Result<(), String> {
        match self.world.checker().starts(id) {
            starts if starts == count => Ok(()),
            starts => Err(format!("{id} started {starts} times")),
        }
    }

    fn add_domain(&mut self, name: &str, daemons: u32, workers: u32, capacity: Resources) {
        for n in 1..=daemons {
            self.world.start(&format!("{name}-{n}"), name);
        }
        for n in 0..workers {
            let rack = format!("{name}-r{}", n / PER_RACK);
            self.world
                .add_worker(&format!("{name}-w{n}"), name, &rack, capacity);
        }
    }

    /// Waits until a judgement is good; the last one counts.
    fn expect(
        &mut self,
        within_ms: Millis,
        judge: impl Fn(&mut Self) -> Result<(), String>,
    ) -> Result<(), String> {
        let until_ms = self.world.now_ms() + within_ms;
        loop {
            let judged = judge(self);
            let over = self.world.now_ms() >= until_ms || self.world.violation().is_some();
            if judged.is_ok() || over {
                return judged;
            }
            self.world.run_until(self.world.now_ms() + LOOK_MS);
            self.note_in_force();
        }
    }

    fn apply_note(&mut self, file: &str, daemon: &str) -> Result<(), String> {
        let text = fs::read_to_string(self.notes.join(file)).map_err(|e| format!("{file}: {e}"))?;
        let note = parse_note(file, &text).map_err(|problems| problems.to_string())?;
        let proposed = note.clone();
        let event = move |call| Event::NoteArrived {
            call,
            note: proposed,
        };
        let call = self.world.call(daemon, |_| None, event);
        let seen = false;
        self.files
            .insert(file.into(), Proposed { note, call, seen });
        Ok(())
    }

    /// Tells the checker of notes whose operators were just told that they are in force.
    fn note_in_force(&mut self) {
        let mut told = Vec::new();
        for proposed in self.files.values_mut().filter(|proposed| !proposed.seen) {
            let answer = proposed.call.and_then(|call| self.world.answer(call));
            if let Some(Answer::Note(NoteVerdict::InForce(revision))) = answer {
                proposed.seen = true;
                told.push(Observation::InForce {
                    note: proposed.note.clone(),
                    revision: *revision,
                });
            }
        }
        for seen in told {
            self.world.observe(&seen);
        }
    }

    fn send(&mut self, work: Work) {
        let call = if work.tasks == 0 {
            self.ask(&work)
        } else {
            self.submit(&work)
        };
        let sent = self.works.entry(work.id.clone());
        let sent = sent.or_insert(Sent {
            work,
            calls: Vec::new(),
            lookup: None,
        });
        sent.calls.push(call);
    }

    fn ask(&mut self, work: &Work) -> Option<CallNumber> {
        let echo = format!("echo of {}", work.id);
        let end = if work.fails { "fail" } else { "ok" };
        let request = Request {
            id: RequestId::new(&work.id),
            key: key_digest(work),
            queue: QueueName::new(&work.queue),
            idempotent: work.idempotent,
            deadline_ms: work.deadline_ms,
            payload: Payload::from(format!("#run {} {end} {echo}", work.run_ms.0).as_str()),
        };
        let (id, key, idempotent) = (work.id.clone(), work.key.clone(), work.idempotent);
        let asked = |call| {
            Some(Observation::Asked {
                call,
                id,
                key,
                idempotent,
                echo,
            })
        };
        self.world
            .call(&work.at, asked, |call| Event::RequestArrived {
                call,
                request,
            })
    }

    fn submit(&mut self, work: &Work) -> Option<CallNumber> {
        let end = if work.fails { "fail" } else { "ok" };
        let payload = match work.run_ms {
            Millis(0) => String::new(),
            run_ms => format!("#run {} {end} ", run_ms.0),
        };
        let spec = JobSpec {
            queue: QueueName::new(&work.queue),
            tasks: work.tasks,
            need: work.need,
            run_ms: work.declared_ms.unwrap_or(work.run_ms),
            payload: Payload::from(payload.as_str()),
        };
        let (request, key) = (RequestId::new(&work.id), key_digest(work));
        let event = move |call| Event::JobArrived {
            call,
            request,
            key,
            spec,
        };
        self.world.call(&work.at, |_| None, event)
    }

    fn cancel(&mut self, id: &str, key: &str, at: &str) -> Result<(), String> {
        let job = self.job_of(id).ok_or_else(|| format!("{id} has no job"))?;
        let key = Some(secret_digest(key));
        self.world
            .call(at, |_| None, |call| Event::CancelArrived { call, job, key });
        Ok(())
    }

    fn answers(&self, id: &str) -> Vec<Answer> {
        let calls = self
            .works
            .get(id)
            .into_iter()
            .flat_map(|sent| sent.calls.iter().flatten());
        calls
            .filter_map(|call| self.world.answer(*call).cloned())
            .collect()
    }

    fn job_of(&self, id: &str) -> Option<JobId> {
        self.answers(id)
            .into_iter()
            .find_map(|answer| match answer {
                Answer::JobAccepted(job) => Some(job),
                _ => None,
            })
    }

    fn judge(&mut self, name: &str, expected: &Expected) -> Result<(), String> {
        match expected {
            Expected::InForce | Expected::Rejected => self.judge_note(name, expected),
            Expected::State(state) => self.judge_job(name, state),
            _ => self.judge_answers(name, expected),
        }
    }

    fn judge_race(&self, a: &str, b: &str) -> Result<(), String> {
        let one = |winner, loser| {
            self.judge_note(winner, &Expected::InForce)?;
            self.judge_note(loser, &Expected::Rejected)
        };
        one(a, b).or_else(|_| one(b, a))
    }

    fn judge_note(&self, file: &str, expected: &Expected) -> Result<(), String> {
        let call = self.files.get(file).and_then(|proposed| proposed.call);
        let answer = call.and_then(|call| self.world.answer(call));
        match (answer, expected) {
            (Some(Answer::Note(NoteVerdict::InForce(_))), Expected::InForce) => Ok(()),
            (Some(Answer::Note(NoteVerdict::Rejected(_))), Expected::Rejected) => Ok(()),
            (answer, _) => Err(format!("{file}: {answer:?}")),
        }
    }

    /// Judges the latest call of a piece of work.
    fn judge_answers(&self, id: &str, expected: &Expected) -> Result<(), String> {
        let sent = self
            .works
            .get(id)
            .ok_or_else(|| format!("{id} was not sent"))?;
        let call = sent.calls.last().copied().flatten();
        let answer = call.and_then(|call| self.world.answer(call));
        let met = match (answer, expected) {
            (Some(_), Expected::Answered) => true,
            (Some(Answer::Done(_)), Expected::Done) => true,
            (Some(Answer::NotRun { .. }), Expected::NotRun(None)) => true,
            (Some(Answer::NotRun { reason, .. }), Expected::NotRun(Some(want))) => {
                reason.to_string() == *want
            }
            (Some(Answer::OutcomeUnknown), Expected::Unknown) => true,
            (Some(Answer::JobAccepted(_)), Expected::Accepted) => true,
            _ => false,
        };
        if met {
            Ok(())
        } else {
            Err(format!("{id}: {answer:?}"))
        }
    }

    fn judge_job(&mut self, id: &str, want: &str) -> Result<(), String> {
        let job = self
            .job_of(id)
            .ok_or_else(|| format!("{id}: {:?}", self.answers(id)))?;
        let state = self.job_state(id, job);
        let met = match state {
            Some(JobState::Succeeded) => want == "succeeded",
            Some(JobState::Failed) => want == "failed",
            Some(JobState::Cancelled) => want == "cancelled",
            _ => false,
        };
        if met {
            Ok(())
        } else {
            Err(format!("{id}: {state:?}"))
        }
    }

    /// Asks a running daemon for a job's state now and then; returns the latest answer.
    fn job_state(&mut self, id: &str, job: JobId) -> Option<JobState> {
        let now_ms = self.world.now_ms();
        let known = self.works.get(id)?.lookup;
        let answer = known.and_then(|(call, _)| self.world.answer(call).cloned());
        let due = known.is_none_or(|(_, at_ms)| now_ms.since(at_ms) >= ASK_MS);
        if due {
            let live = self.world.live();
            let daemon = live.first()?;
            let call = self
                .world
                .call(daemon, |_| None, |call| Event::JobAsked { call, job })?;
            self.works.get_mut(id)?.lookup = Some((call, now_ms));
        }
        match answer {
            Some(Answer::Job(state)) => Some(state),
            _ => None,
        }
    }

    fn judge_quiet(&mut self) -> Result<(), String> {
        let unanswered = self.world.checker().unanswered();
        if let Some(id) = unanswered.first() {
            return Err(format!(
                "{id} has no answer, with {} others",
                unanswered.len() - 1
            ));
        }
        let jobs: Vec<(String, JobId)> = self
            .works
            .iter()
            .filter(|(_, sent)| sent.work.run_ms > Millis(0))
            .filter_map(|(id, _)| Some((id.clone(), self.job_of(id)?)))
            .collect();
        for (id, job) in jobs {
            let state = self.job_state(&id, job);
            if !state.is_some_and(JobState::is_final) {
                return Err(format!("{id} is not over: {state:?}"));
            }
        }
        Ok(())
    }

    fn judge_done(&self, prefix: &str, count: u64) -> Result<(), String> {
        let named = self.works.keys().filter(|id| id.starts_with(prefix));
        let done = |id: &&String| {
            self.answers(id)
                .iter()
                .any(|a| matches!(a, Answer::Done(_)))
        };
        let found = named.filter(done).count() as u64;
        if found >= count {
            Ok(())
        } else {
            Err(format!("{found} of {prefix} done"))
        }
    }

    fn judge_keeper(&self, daemon: &str) -> Result<(), String> {
        let core = self
            .world
            .core(daemon)
            .ok_or_else(|| format!("{daemon} does not run"))?;
        let status = core.status();
        match status.leader {
            Some(keeper) if keeper == status.daemon => Ok(()),
            keeper => Err(format!("the keeper is {keeper:?}")),
        }
    }
}

fn key_digest(work: &Work) -> Option<KeyDigest> {
    work.key.as_ref().map(|key| secret_digest(key))
}
