//! Measures the time that the reducers of a cell take under a load, in virtual time.
#![allow(clippy::unwrap_used)]
#[path = "../tests/cell_world/mod.rs"]
mod cell_world;
use cell_world::{desired, queue, step, World};
use pomelotide_core::{cell::AdviceCost, Millis};
use std::time::Instant;
fn main() {
    let workers: usize = std::env::args().nth(1).unwrap().parse().unwrap();
    let per_s: u64 = std::env::args().nth(2).unwrap().parse().unwrap();
    let mut q = queue();
    q.advice = Some(AdviceCost {
        base_us: 9_000,
        per_worker_us: 130,
        valid_ms: Millis(2_000),
    });
    let mut world = World::new(3, workers, desired(1, q));
    world.run(3_000);
    let begin = Instant::now();
    let mut job = 0;
    for _ in 0..5_000 / 20 {
        for _ in 0..per_s * 20 / 1000 {
            job += 1;
            world.submit((job % 3) as usize, job, vec![step(4, 900)]);
        }
        world.run(20);
    }
    let took = begin.elapsed();
    println!(
        "workers {workers} jobs/s {per_s}: {:.3} s of 5 s, in step {:.3} s, starts {}",
        took.as_secs_f64(),
        world.step_s,
        world.starts().len()
    );
}
