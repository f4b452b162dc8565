//! Malformed rows, entries, answers and jobs, in virtual time: the cell works on without them.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, gang, queue, step, FakeWorker, World};
use pomelotide_core::{
    cell::{
        ActiveRun, ClientAnswer, FinishedRun, JobState, LogEvent, RowValue, RunOutcome, StepKey,
        StepSpec, Submission, Table, TaskKey, UnreadableRows, WorkerAnswer, WorkerRuns,
    },
    JobId, Millis, Resources,
};

const MAX_RESOURCES: Resources = Resources {
    cpu_milli: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
    slots: u64::MAX,
};

fn world(workers: usize) -> World {
    let mut world = World::new(2, workers, desired(1, queue()));
    world.run(3_000);
    assert!(world.leader().is_some(), "there is no leader");
    world
}

fn first_worker(world: &mut World) -> &mut FakeWorker {
    world.workers.values_mut().next().unwrap()
}

/// Makes the first worker answer polls with `runs` of task 0 of job 1 as active ones and with `ends`,
/// pairs of an end's number and a run of that task.
fn override_lists(world: &mut World, clock_ms: u64, runs: &[u32], ends: &[(u64, u32)]) {
    let step = StepKey {
        job: JobId::new(format!("{:016x}", 1)),
        occurrence: 0,
        step: 0,
    };
    let task = TaskKey { step, index: 0 };
    let active = runs.iter().map(|&run| ActiveRun {
        task: task.clone(),
        run,
        checkpoint: None,
        percent: 255,
    });
    let finished = ends.iter().map(|&(number, run)| FinishedRun {
        number,
        task: task.clone(),
        run,
        outcome: RunOutcome::Stopped,
        checkpoint: None,
    });
    let worker = first_worker(world);
    let view = WorkerRuns {
        incarnation: worker.entry.incarnation,
        active: active.collect(),
        finished: finished.collect(),
        ..WorkerRuns::default()
    };
    worker.answer_override = Some(WorkerAnswer::Listed(Millis(clock_ms), view));
    worker.polls = 0;
}

/// Guards against a worker that loses its runs, or gets no work again, after its entry was malformed
/// for some time.
#[test]
fn a_worker_gets_no_new_work_while_its_entry_is_malformed() {
    let mut world = world(1);
    first_worker(&mut world).work_ms = 6_000;
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(500);
    let good = first_worker(&mut world).clone();
    let unusable = RowValue::Unusable("malformed".into());
    world.store.put_row(Table::Workers, "", "w00", unusable);
    world.run(500);
    world.submit(0, 2, vec![step(1, 1_000)]);
    world.run(8_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_state(0, 2, JobState::Pending);
    assert_eq!(world.starts().len(), 1);
    world.store.put_worker(&good);
    world.run(8_000);
    world.assert_state(0, 2, JobState::Completed);
    world.assert_once();
}

/// Guards against an oversized capacity that attracts all work to a worker that does not exist, or
/// that overflows if the worker exists.
#[test]
fn an_oversized_capacity_neither_attracts_all_work_nor_panics() {
    for exists in [false, true] {
        let mut world = World::new(2, 4, desired(1, queue()));
        let mut worker = match exists {
            true => first_worker(&mut world).clone(),
            false => FakeWorker::new(90),
        };
        worker.entry.capacity = MAX_RESOURCES;
        worker.entry.labels = vec!["l".repeat(20).into(); 5_000];
        world.store.put_worker(&worker);
        world.run(3_000);
        let in_rack = StepSpec {
            same_rack: true,
            ..gang(5, 0)
        };
        world.submit(0, 1, vec![step(8, 1_000)]);
        world.submit(1, 2, vec![gang(4, 3_000)]);
        world.submit(1, 3, vec![in_rack]);
        world.run(8_000);
        for job in 1..4 {
            world.assert_state(0, job, JobState::Completed);
        }
        world.assert_once();
    }
}

/// Guards against text of an entry that begins a new line of the log.
#[test]
fn a_field_with_control_characters_stays_in_its_line() {
    let line = LogEvent::info("x").with("key", "a\r\nlevel\u{1b}[0m");
    let text = line.to_string();
    assert!(!text.contains(char::is_control), "{text:?}");
    assert!(text.contains(r"\r\nlevel"), "{text:?}");
    let line = LogEvent::info("x").with("key", "\u{e9}".repeat(100_000));
    assert!(line.to_string().len() < 2_000);
}

/// Guards against a table whose reads fail and are retried without a log line.
#[test]
fn a_table_that_cant_be_read_is_logged_and_read_later() {
    let mut world = World::new(2, 2, desired(1, queue()));
    world.store.worker_reads_lost = true;
    world.run(8_000);
    let lines = world.count("read_failed");
    assert!((1..20).contains(&lines), "{lines}");
    world.store.worker_reads_lost = false;
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(6_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against a full read that can't continue after a page whose last row has no readable key.
#[test]
fn a_row_without_a_key_does_not_stop_a_full_read() {
    let mut world = World::new(1, 600, desired(1, queue()));
    world.store.unreadable_page_ends = true;
    world.run(5_000);
    let mut lines = world.lines.iter().map(|(_, _, line)| line);
    let loaded = lines.find(|line| line.event == "leader_loaded");
    let loaded = loaded.expect("the leader is not loaded").to_string();
    assert!(loaded.contains("workers=600"), "{loaded}");
}

/// Guards against a full read that ends early, without the rest of the table, after a page on which no
/// row has a readable key; a table with such a page for ever does not keep a leader from working.
#[test]
fn a_page_without_any_key_is_read_again() {
    for (pages, workers) in [(3, 600), (usize::MAX, 0)] {
        let mut world = World::new(1, 600, desired(1, queue()));
        world.store.unreadable_pages = pages;
        world.run(5_000);
        let mut lines = world.lines.iter().map(|(_, _, line)| line);
        let loaded = lines.find(|line| line.event == "leader_loaded");
        let loaded = loaded.expect("the leader is not loaded").to_string();
        assert!(loaded.contains(&format!("workers={workers} ")), "{loaded}");
        let cut_short = usize::from(workers == 0);
        assert_eq!(world.count("read_cut_short"), cut_short);
    }
}

/// Guards against a panic at a run number near the largest number.
#[test]
fn extreme_numbers_in_the_lists_of_a_worker_do_not_panic() {
    let mut world = world(2);
    for worker in world.workers.values_mut() {
        worker.work_ms = 9_000;
    }
    world.submit(0, 1, vec![step(2, 3_000)]);
    world.run(500);
    override_lists(&mut world, u64::MAX, &[u32::MAX], &[(3, u32::MAX)]);
    world.run(4_000);
    let id = first_worker(&mut world).id();
    first_worker(&mut world).answer_override = None;
    world.restart_worker(&id);
    world.run(20_000);
    world.assert_state(0, 1, JobState::Completed);
}

/// Guards against an end with an oversized number, after which no end of the worker is seen.
#[test]
fn an_oversized_end_number_does_not_hide_later_ends() {
    let mut world = world(1);
    let now = world.now;
    override_lists(&mut world, now, &[], &[(u64::MAX, 1)]);
    world.run(4_000);
    first_worker(&mut world).answer_override = None;
    world.run(4_000);
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(8_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
}

/// Guards against a task that is never started again after its run ended in a way that this version
/// does not know.
#[test]
fn an_unknown_outcome_ends_the_run() {
    let mut world = world(1);
    first_worker(&mut world).how = RunOutcome::Unknown;
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(1_500);
    first_worker(&mut world).how = RunOutcome::Done;
    world.run(4_000);
    world.assert_state(0, 1, JobState::Completed);
    world.assert_once();
    assert_eq!(first_worker(&mut world).unacknowledged_ends(), 0);
}

/// Guards against an end that can't be read and is listed for ever, or whose task never starts again.
#[test]
fn an_unreadable_end_is_acknowledged_and_its_task_starts_again() {
    let mut world = world(1);
    first_worker(&mut world).ends_unreadable = true;
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(1_500);
    assert!(world.count("end_unreadable") >= 2);
    assert_eq!(first_worker(&mut world).unacknowledged_ends(), 0);
    first_worker(&mut world).ends_unreadable = false;
    world.run(6_000);
    world.assert_state(0, 1, JobState::Completed);
    assert_eq!(first_worker(&mut world).unacknowledged_ends(), 0);
}

/// Lists a run that can't be read in place of the first worker's runs.
fn list_an_unreadable_run(world: &mut World) {
    let clock = Millis(world.now);
    let worker = first_worker(world);
    let view = WorkerRuns {
        incarnation: worker.entry.incarnation,
        ..WorkerRuns::default()
    };
    let unreadable = UnreadableRows {
        active: 1,
        ..UnreadableRows::default()
    };
    worker.answer_override = Some(WorkerAnswer::PartlyListed(clock, view, unreadable));
    worker.polls = 0;
}

/// Guards against a second run of a task beside the first one, whose row can't be read.
#[test]
fn a_run_does_not_vanish_while_a_row_cant_be_read() {
    let mut world = world(1);
    first_worker(&mut world).work_ms = 9_000;
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(1_000);
    list_an_unreadable_run(&mut world);
    world.run(2_400);
    assert!(first_worker(&mut world).polls > 0);
    first_worker(&mut world).answer_override = None;
    world.run(9_000);
    world.assert_state(0, 1, JobState::Completed);
    assert_eq!(world.starts().len(), 1);
    world.assert_once();
}

/// Guards against a worker that lists an unreadable run for ever and keeps the runs that it no longer
/// has from starting elsewhere.
#[test]
fn runs_of_a_worker_whose_list_stays_unreadable_start_elsewhere() {
    let mut world = world(2);
    for worker in world.workers.values_mut() {
        worker.work_ms = 60_000;
    }
    world.submit(0, 1, vec![step(1, 4_000), step(1, 4_000)]);
    world.run(1_000);
    list_an_unreadable_run(&mut world);
    world.cancel(0, 1);
    for worker in world.workers.values_mut() {
        worker.work_ms = 1_000;
    }
    world.submit(0, 2, vec![step(2, 4_000)]);
    world.run(30_000);
    world.assert_state(0, 2, JobState::Completed);
    // The overridden lists hide the ends of this worker, so a success there may not be acknowledged.
    assert_eq!(world.double_runs(), []);
    let polls = first_worker(&mut world).polls;
    assert!(polls < 150, "{polls}");
    first_worker(&mut world).answer_override = None;
    world.submit(0, 3, vec![step(2, 4_000)]);
    world.run(6_000);
    world.assert_state(0, 3, JobState::Completed);
}

/// Guards against polling without a pause a worker that answers each poll at once.
#[test]
fn a_worker_that_does_not_wait_is_polled_with_a_pause() {
    let mut world = world(1);
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(500);
    let now = world.now;
    override_lists(&mut world, now, &[1], &[]);
    world.run(5_000);
    let polls = first_worker(&mut world).polls;
    assert!(polls < 40, "{polls}");
}

/// Guards against a task listed with two runs that takes more of the worker's room with each list.
#[test]
fn a_task_that_is_listed_twice_takes_its_room_once() {
    let mut world = world(1);
    world.submit(0, 1, vec![step(1, 1_000)]);
    world.run(500);
    let now = world.now;
    override_lists(&mut world, now, &[1, 2], &[]);
    world.run(4_000);
    first_worker(&mut world).answer_override = None;
    world.submit(0, 2, vec![step(1, 4_000)]);
    world.run(12_000);
    world.assert_state(0, 2, JobState::Completed);
}

/// Guards against a job whose numbers make every leader that reads it panic.
#[test]
fn extreme_numbers_of_a_job_do_not_panic() {
    let mut world = world(2);
    let extreme = StepSpec {
        need: MAX_RESOURCES,
        estimated_ms: Millis(u64::MAX),
        ..step(3, 1)
    };
    let mut chained = extreme.clone();
    chained.after = vec![0];
    let accepted = world.submit(0, 1, vec![extreme, chained]);
    let refused = world.submit(0, 3, vec![step(u32::MAX, 1), gang(u32::MAX, 1)]);
    world.submit(0, 2, vec![step(2, 1_000)]);
    world.run(5_000);
    assert_eq!(world.answers[&accepted], ClientAnswer::Accepted);
    let refused = &world.answers[&refused];
    assert!(matches!(refused, ClientAnswer::Malformed(_)), "{refused:?}");
    world.assert_state(0, 2, JobState::Completed);
}

/// Guards against a search for the longest chain that takes exponential time in the number of steps.
#[test]
fn the_longest_chain_of_many_dependent_steps_is_found_at_once() {
    let steps = (0..60).map(|at| StepSpec {
        after: (0..at).collect(),
        ..step(1, 1)
    });
    let work = Submission {
        steps: steps.collect(),
        ..Submission::default()
    };
    assert_eq!(work.critical_path_ms(), 60_000);
}

/// Guards against answering that a job does not exist if its record can't be read.
#[test]
fn a_query_about_a_job_whose_record_cant_be_read_is_refused() {
    let mut world = world(1);
    let unusable = RowValue::Unusable("malformed".into());
    for part in ["0", "1", "2", "3"] {
        let key = format!("{:016x}", 7);
        world
            .store
            .put_row(Table::Jobs, part, &key, unusable.clone());
    }
    let answer = world.state(0, 7);
    assert!(matches!(answer, ClientAnswer::NotRun { .. }), "{answer:?}");
}
