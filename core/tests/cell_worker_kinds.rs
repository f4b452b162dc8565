//! Workers that start again under their ids as another kind, while their entries are those of the former
//! incarnation, in virtual time.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{desired, queue, queue_with_advice, starts_of, step, World, WriteKind};
use pomelotide_core::{
    cell::{Incarnation, Queue, RowValue, StepSpec, Table, WorkerEntry},
    WorkerId,
};

/// How long a ticket is valid.
const TICKET_MS: u64 = 4_000;

/// Returns a step of `count` tasks of a core that require a label.
fn labelled(count: u32, label: &str) -> StepSpec {
    StepSpec {
        requirement: Some(label.into()),
        ..step(count, 1_000)
    }
}

/// Returns a cell whose workers number 0 have the label "a", and the id of worker 0.
fn cell(workers: usize, queue: Queue) -> (World, WorkerId) {
    let mut world = World::new(3, workers, desired(1, queue));
    world.run(3_000);
    let id = world.workers.keys().next().unwrap().clone();
    (world, id)
}

fn put_entry(world: &mut World, entry: WorkerEntry) {
    let id = entry.id.clone();
    let value = RowValue::Worker(Box::new(entry));
    world.store.put_row(Table::Workers, "", id.as_str(), value);
}

/// Restarts a worker as another kind. The store keeps the entry of the former incarnation.
fn restart_unnoticed(world: &mut World, id: &WorkerId, change: impl Fn(&mut WorkerEntry)) {
    let former = world.workers[id].entry.clone();
    change(&mut world.workers.get_mut(id).unwrap().entry);
    world.restart_worker(id);
    put_entry(world, former);
}

/// Writes the entry of the present incarnation.
fn update_entry(world: &mut World, id: &WorkerId) {
    let entry = world.workers[id].entry.clone();
    put_entry(world, entry);
}

fn set_kind(entry: &mut WorkerEntry, kind: &str) {
    entry.labels[0] = kind.into();
}

/// Returns the starts of a job's tasks on a worker.
fn starts_on(world: &World, job: u64, id: &WorkerId) -> usize {
    let name = format!("{job:016x}");
    let starts = &world.workers[id].starts;
    starts
        .iter()
        .filter(|start| start.1.starts_with(&name))
        .count()
}

/// Guards against a task on a worker without the label that it requires, because the worker's entry is that
/// of its former incarnation (ROUTE).
#[test]
fn a_worker_gets_no_work_by_the_entry_of_its_former_incarnation() {
    for advice in [None, queue_with_advice(50_000, 0, TICKET_MS).advice] {
        let queue = Queue { advice, ..queue() };
        let (mut world, id) = cell(4, queue);
        world.advice_ms = 50;
        restart_unnoticed(&mut world, &id, |entry| set_kind(entry, "b"));
        world.run(1_200);
        world.submit(0, 1, vec![labelled(16, "a")]);
        world.run(6_000);
        assert_eq!(starts_on(&world, 1, &id), 0);
        assert_eq!(starts_of(&world, 1), 16);
        update_entry(&mut world, &id);
        world.run(1_500);
        world.submit(0, 2, vec![labelled(2, "b")]);
        world.run(3_000);
        assert_eq!(starts_on(&world, 2, &id), 2, "advice: {advice:?}");
    }
}

/// Guards against a smaller worker that is filled up to the capacity of its former incarnation.
#[test]
fn a_smaller_worker_is_not_filled_by_the_entry_of_its_former_incarnation() {
    let (mut world, id) = cell(1, queue());
    restart_unnoticed(&mut world, &id, |entry| entry.capacity.cpu_milli = 1_000);
    world.run(1_200);
    world.submit(0, 1, vec![step(4, 1_000)]);
    world.run(3_000);
    assert!(world.workers[&id].overfull.is_empty());
    update_entry(&mut world, &id);
    world.run(8_000);
    assert!(world.workers[&id].overfull.is_empty());
    assert_eq!(starts_of(&world, 1), 4);
}

/// Guards against work by an entry that is newer than the worker's reports.
#[test]
fn a_worker_gets_no_work_by_the_entry_of_its_next_incarnation() {
    let (mut world, id) = cell(2, queue());
    let mut next = world.workers[&id].entry.clone();
    next.incarnation = Some(Incarnation(2));
    set_kind(&mut next, "b");
    put_entry(&mut world, next.clone());
    world.run(1_200);
    world.submit(0, 1, vec![labelled(2, "b")]);
    world.run(2_000);
    assert_eq!(starts_of(&world, 1), 0);
    world.workers.get_mut(&id).unwrap().entry.labels = next.labels;
    world.restart_worker(&id);
    world.run(3_000);
    assert_eq!(starts_on(&world, 1, &id), 2);
}

/// Guards against workers without work because the writer of their entries states no incarnation.
#[test]
fn an_entry_without_an_incarnation_pairs_with_any_report() {
    let (mut world, id) = cell(1, queue());
    let mut entry = world.workers[&id].entry.clone();
    entry.incarnation = None;
    put_entry(&mut world, entry);
    world.run(1_200);
    world.submit(0, 1, vec![step(2, 1_000)]);
    world.run(2_000);
    assert_eq!(starts_on(&world, 1, &id), 2);
}

/// Guards against a worker that is no longer polled while its entry is outdated.
#[test]
fn a_worker_is_polled_while_its_entry_is_outdated() {
    let (mut world, id) = cell(2, queue());
    restart_unnoticed(&mut world, &id, |entry| set_kind(entry, "b"));
    world.run(1_000);
    let polls = world.workers[&id].polls;
    world.run(6_000);
    assert!(
        world.workers[&id].polls >= polls + 2,
        "{polls} polls before"
    );
}

/// Guards against the start of a recorded placement on a worker that has become another kind meanwhile.
#[test]
fn a_recorded_placement_is_dropped_if_its_worker_becomes_another_kind() {
    let (mut world, id) = cell(1, queue());
    let leader = world.leader().unwrap();
    let call = world.submit((leader + 1) % 3, 1, vec![labelled(1, "a")]);
    while !world.answers.contains_key(&call) {
        world.run(1);
    }
    // The placement is stored only after the change.
    world.late_kind = WriteKind::Of(leader);
    world.late_writes = 1;
    world.run(200);
    assert_eq!(world.late_writes, 0, "no placement is written");
    assert_eq!(starts_of(&world, 1), 0);
    let entry = &mut world.workers.get_mut(&id).unwrap().entry;
    set_kind(entry, "b");
    world.restart_worker(&id);
    world.run(8_000);
    assert_eq!(starts_of(&world, 1), 0);
}
