//! Simulations of owners and workers with random faults and fixed seeds: 20 for each set of faults,
//! with 2,000 steps under faults and 2,000 without, by the end of which all jobs must have ended.
//! The environment variable `CROSSPATH_SEED` sets another first seed.

use crate::simulation::{Faults, Simulation};

const SIMULATIONS: u64 = 60;
const STEPS: usize = 2_000;

/// Workers that restart under their identifiers, among other faults.
const RESTARTS: Faults = Faults {
    takeover: 1,
    restart: 3,
    partition: 1,
    reply_loss: 3,
    late_delivery: 30,
    task_failure: 8,
    crash: 0,
    outage: 0,
    departure: 0,
};

fn simulate(first: u64, faults: Faults) -> u64 {
    (first..first + SIMULATIONS / 3).map(|seed| simulate_one(seed, faults)).sum()
}

fn simulate_one(seed: u64, faults: Faults) -> u64 {
    let mut simulation = Simulation::new(seed, faults);
    for _ in 0..STEPS {
        simulation.maybe_submit();
        simulation.step();
    }
    simulation.settle();
    simulation.starts
}

fn first_seed() -> u64 {
    std::env::var("CROSSPATH_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

#[test]
fn takeovers_run_no_task_twice_and_lose_none() {
    let faults = Faults { takeover: 2, task_failure: 2, ..Faults::default() };
    assert!(simulate(first_seed(), faults) > 10_000);
}

#[test]
fn lost_and_late_orders_run_no_task_twice_and_lose_none() {
    let faults = Faults {
        takeover: 1,
        reply_loss: 6,
        late_delivery: 50,
        task_failure: 2,
        ..Faults::default()
    };
    assert!(simulate(first_seed() + 1_000, faults) > 10_000);
}

#[test]
fn crashes_and_partitions_run_no_task_twice_and_lose_none() {
    let faults = Faults {
        takeover: 1,
        crash: 1,
        partition: 2,
        reply_loss: 3,
        late_delivery: 30,
        task_failure: 2,
        restart: 0,
        outage: 0,
        departure: 0,
    };
    assert!(simulate(first_seed() + 2_000, faults) > 5_000);
}

/// Guards against tasks that run twice: an entry that goes does not show that a draining worker has
/// ended.
#[test]
fn draining_workers_that_are_cut_off_run_no_task_twice_and_lose_none() {
    let faults = Faults {
        takeover: 1,
        departure: 2,
        partition: 1,
        reply_loss: 3,
        late_delivery: 30,
        task_failure: 2,
        ..Faults::default()
    };
    assert!(simulate(first_seed() + 5_000, faults) > 5_000);
}

/// The list of VMs is behind and arrives late: it must not end a worker that has begun since.
#[test]
fn vms_that_are_listed_as_down_run_no_task_twice_and_lose_none() {
    let faults = Faults {
        takeover: 1,
        crash: 0,
        outage: 4,
        partition: 2,
        reply_loss: 3,
        late_delivery: 30,
        task_failure: 2,
        restart: 0,
        departure: 0,
    };
    assert!(simulate(first_seed() + 4_000, faults) > 5_000);
}

#[test]
fn owners_that_defer_jobs_run_no_task_twice_and_lose_none() {
    let faults = Faults {
        takeover: 2,
        partition: 1,
        late_delivery: 30,
        task_failure: 2,
        ..Faults::default()
    };
    let simulate = |seed| {
        let mut simulation = Simulation::new(seed, faults);
        simulation.prefer_feasible = true;
        for _ in 0..STEPS {
            simulation.maybe_submit();
            simulation.step();
        }
        simulation.settle();
        simulation.starts
    };
    let first = first_seed() + 4_000;
    assert!((first..first + SIMULATIONS / 3).map(simulate).sum::<u64>() > 5_000);
}

#[test]
fn incarnations_under_one_identifier_run_no_task_twice_and_lose_none() {
    assert!(simulate(first_seed() + 3_000, RESTARTS) > 5_000);
}

#[test]
fn a_start_of_the_previous_owner_runs_nothing_twice_on_a_later_incarnation() {
    assert!(simulate_one(903_017, RESTARTS) > 100);
}
