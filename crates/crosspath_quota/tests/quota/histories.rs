//! Random fault histories. Guards against exceeding the maximum and against tasks that never start.

use crate::simulation::{Faults, Simulation};

const HISTORIES: u64 = 120;
const STEPS: u32 = 3_000;
/// Steps of 10 ms after the last fault within which every waiting task must have started. Under the
/// smallest maximum of 5 cores, tasks run one at a time for 0.1 s on average, and up to 240 of them
/// wait.
const RECOVERY_STEPS: u32 = 20_000;

const NO_FAULTS: Faults =
    Faults { new_ledger: 0, new_owner: 0, lost: 0, duplicated: 0, new_limit: 0, max_delay_ms: 4 };

fn run_histories(faults: Faults) -> u64 {
    let mut starts = 0;
    for seed in 0..HISTORIES {
        let mut simulation = Simulation::new(seed, faults);
        for _ in 0..STEPS {
            simulation.step(20);
        }
        simulation.stop_faults();
        let drained = (0..RECOVERY_STEPS).any(|_| {
            simulation.step(0);
            simulation.waiting_tasks() == 0
        });
        assert!(drained, "seed {seed}: {} tasks never start", simulation.waiting_tasks());
        starts += simulation.starts;
    }
    starts
}

#[test]
fn histories_without_faults() {
    assert!(run_histories(NO_FAULTS) > 10_000);
}

#[test]
fn messages_are_lost_delayed_duplicated_and_reordered() {
    assert!(
        run_histories(Faults { lost: 200, duplicated: 100, max_delay_ms: 400, ..NO_FAULTS })
            > 10_000
    );
}

#[test]
fn maxima_rise_and_fall() {
    assert!(run_histories(Faults { new_limit: 10, ..NO_FAULTS }) > 10_000);
}

#[test]
fn owners_and_ledgers_change() {
    assert!(
        run_histories(Faults { new_ledger: 3, new_owner: 10, max_delay_ms: 100, ..NO_FAULTS })
            > 10_000
    );
}

#[test]
fn all_faults_at_once() {
    let faults = Faults {
        new_ledger: 3,
        new_owner: 10,
        lost: 100,
        duplicated: 100,
        new_limit: 5,
        max_delay_ms: 200,
    };
    assert!(run_histories(faults) > 10_000);
}
