//! A takeover or a flood leaves late steps without any advice, while steps that can still end in time ask
//! for more than the advice service can answer.

#![allow(clippy::unwrap_used)]

mod cell_world;

use cell_world::{
    desired, queue_with_advice, starts_of, step, with_fill_queue, World, KEY, OTHER_KEY,
};

/// How long a call for advice takes; the three daemons together make 150 of them in a second.
const ADVICE_MS: u64 = 20;
/// How long a late step may wait for its first advice.
const MAX_WAIT_MS: u64 = 2_000;

/// Guards against late steps whose calls for advice wait for as long as steps in time ask for advice.
#[test]
fn a_late_step_gets_advice_beside_a_flood_of_steps_in_time() {
    let mut state = with_fill_queue(desired(1, queue_with_advice(ADVICE_MS * 1_000, 0, 2_000)));
    for team in &mut state.teams {
        team.weight = 100_000;
    }
    // The second job of this team is beyond its share, so it ranks with late work.
    state.teams[0].weight = 1;
    let mut world = World::new(3, 40, state);
    world.advice_ms = ADVICE_MS;
    world.run(3_000);
    world.key = OTHER_KEY.into();
    let flood = |world: &mut World, first: u64, span_ms: u64| {
        world.key = OTHER_KEY.into();
        for at in 0..span_ms / 10 {
            for job in 0..3 {
                world.submit(1, first + 3 * at + job, vec![step(1, 10)]);
            }
            world.run(10);
        }
    };
    flood(&mut world, 1_000, 500);
    world.key = KEY.into();
    world.submit(0, 1, vec![step(1, 10)]);
    world.submit(0, 2, vec![step(1, 10)]);
    flood(&mut world, 5_000, MAX_WAIT_MS);
    assert_eq!(starts_of(&world, 1), 1, "in time");
    assert_eq!(starts_of(&world, 2), 1, "late");
}
