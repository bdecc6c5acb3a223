//! Owners in a world of faults, with fixed seeds: 60 worlds of 2,000 steps each, and as many again
//! until all jobs have ended. `CROSSPATH_SEED` plays worlds from another seed on.

use crate::world::{Faults, World};

const WORLDS: u64 = 60;
const STEPS: usize = 2_000;

/// Workers that begin again under their identifier.
const REBORN: Faults =
    Faults { takeover: 1, reborn: 3, cut: 1, lost: 3, late: 30, failing: 8, crash: 0 };

fn play(first: u64, faults: Faults) -> u64 {
    (first..first + WORLDS / 3).map(|seed| play_one(seed, faults)).sum()
}

fn play_one(seed: u64, faults: Faults) -> u64 {
    let mut world = World::new(seed, faults);
    for _ in 0..STEPS {
        world.load();
        world.step();
    }
    world.settle();
    world.starts
}

fn first_seed() -> u64 {
    std::env::var("CROSSPATH_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

#[test]
fn takeovers_run_no_task_twice_and_lose_none() {
    let faults = Faults { takeover: 2, failing: 2, ..Faults::default() };
    assert!(play(first_seed(), faults) > 10_000);
}

#[test]
fn lost_and_late_orders_run_no_task_twice_and_lose_none() {
    let faults = Faults { takeover: 1, lost: 6, late: 50, failing: 2, ..Faults::default() };
    assert!(play(first_seed() + 1_000, faults) > 10_000);
}

#[test]
fn crashes_and_cuts_run_no_task_twice_and_lose_none() {
    let faults = Faults { takeover: 1, crash: 1, cut: 2, lost: 3, late: 30, failing: 2, reborn: 0 };
    assert!(play(first_seed() + 2_000, faults) > 5_000);
}

#[test]
fn lives_under_one_identifier_run_no_task_twice_and_lose_none() {
    assert!(play(first_seed() + 3_000, REBORN) > 5_000);
}

#[test]
fn a_start_of_the_owner_before_runs_nothing_twice_on_a_later_life() {
    assert!(play_one(903_017, REBORN) > 100);
}
