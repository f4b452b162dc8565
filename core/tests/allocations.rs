//! Bounds on allocations and memory at the target's size; a binary of its own, since the counting
//! allocator counts for all of it.

mod fixture;

use fixture::{
    alloc::{live_bytes, Counting},
    Domain, Size,
};
use pomelotide_core::{Class, Event};

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const WORKERS: usize = 3_000;
const TEAMS: usize = 120;
/// What a daemon may hold for control.
const CONTROL_BYTES: u64 = 32 * 1_024 * 1_024;
/// What a daemon may hold beside the reducer: links, buffers, threads.
const PROCESS_BYTES: u64 = 8 * 1_024 * 1_024;

/// Returns the most allocations of one reducer step while a task of a class is placed.
fn placement_allocations(workers: usize, class: Class) -> u64 {
    let mut domain = Domain::settled(Size::new(workers, TEAMS));
    domain.place_job(class, 1);
    domain.reset();
    domain.place_job(class, 1);
    domain.most_allocations
}

/// All in one test, since tests of one binary run side by side.
#[test]
fn allocations_and_memory_keep_to_the_target() {
    for class in [Class::Service, Class::Batch, Class::Gang] {
        let (few, many) = (
            placement_allocations(48, class),
            placement_allocations(WORKERS, class),
        );
        assert!(many <= few + 16, "{class}: {few} at 48 workers, {many}");
    }
    idle_ticks_allocate_little();
    a_keeper_at_the_target_fits_its_memory();
}

fn idle_ticks_allocate_little() {
    let mut domain = Domain::settled(Size::new(WORKERS, TEAMS));
    for _ in 0..99 {
        domain.now_ms = domain.now_ms + pomelotide_core::Millis(10);
        domain.step(Event::Tick);
    }
    // A tick that renews every worker writes two texts for each.
    let most = domain.most_allocations;
    assert!(most <= 2 * WORKERS as u64, "{most} in one step");
}

fn a_keeper_at_the_target_fits_its_memory() {
    let mut domain = Domain::settled(Size::new(WORKERS, TEAMS));
    domain.submit(Class::Batch, 2_600, 10);
    let before = live_bytes();
    drop(domain.take_core());
    let bytes = before - live_bytes();
    assert!(bytes <= CONTROL_BYTES - PROCESS_BYTES, "{bytes} bytes");
}
