//! Counted figures, which are the same on every run.

use std::time::Duration;

use crosspath_state::record::{Entry, Incarnation, Writer};
use crosspath_state::snapshot;

use crate::baseline::{FirstFitMoveAll, FixedBatches, OneAtATime};
use crate::figure::Figure;
use crate::fleet::{self, Fleet, Size};
use crate::wave::{self, Failure, Outcome, Planner};
use crate::{overload, slots};

const SEED: u64 = 11;
/// Offered load as a multiple of what the pool can serve.
const OVERLOAD_FACTOR: f64 = 3.0;
/// As [`OVERLOAD_FACTOR`], for the pool at low load.
const UNLOADED_FACTOR: f64 = 0.3;

fn fleets() -> [(&'static str, Fleet); 3] {
    [
        ("cobros", fleet::cobros()),
        ("association", fleet::association()),
        ("later", fleet::generate(Size::PROJECTED, SEED)),
    ]
}

/// Three VMs, spread over the fleet, that fail during a wave and recover after ten minutes.
#[must_use]
pub fn failures(vms: usize) -> Vec<Failure> {
    let failure = |(number, at): (usize, u64)| Failure {
        vm_index: vms * number / 5,
        fails_at: Duration::from_secs(at),
        recovers_at: Duration::from_secs(at + 600),
    };
    [(1, 95), (2, 200), (4, 410)].into_iter().map(failure).collect()
}

/// Every counted figure, without its bound.
#[must_use]
pub fn all() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, fleet) in fleets() {
        figures.extend(wave_figures(name, &fleet));
    }
    figures.extend(size_figures());
    figures.extend(routing_figures());
    figures
}

/// Figures of one maintenance wave over all pools of a fleet.
fn wave_figures(name: &str, fleet: &Fleet) -> Vec<Figure> {
    let run = |failures: &[Failure]| wave::run(fleet.clone(), &Planner, failures);
    let planner = run(&[]);
    let with_failures = run(&failures(fleet.state.vms.len()));
    let one_at_a_time = wave::run(fleet.clone(), &OneAtATime, &[]);
    let fixed_batches = wave::run(fleet.clone(), &FixedBatches, &[]);
    let first_fit = wave::run(fleet.clone(), &FirstFitMoveAll, &[]);
    let figure = |what: &str, value, unit| Figure::new(format!("{what}_{name}"), value, unit);
    let unfinished =
        [&planner, &with_failures].into_iter().filter(|outcome| !outcome.finished).count();
    let total_violations = |outcomes: [&Outcome; 2]| {
        outcomes.iter().map(|outcome| outcome.budget_violations).sum::<u32>()
    };
    vec![
        figure("wave_over_bound", planner.time_over_bound, "ratio")
            .with_baseline(one_at_a_time.time_over_bound),
        figure("wave_over_bound_batches", planner.time_over_bound, "ratio")
            .with_baseline(fixed_batches.time_over_bound),
        figure("wave_over_bound_failures", with_failures.time_over_bound, "ratio"),
        figure("moves_over_bound", planner.moves_over_bound, "ratio")
            .with_baseline(first_fit.moves_over_bound),
        figure("moves_over_bound_batches", planner.moves_over_bound, "ratio")
            .with_baseline(fixed_batches.moves_over_bound),
        figure("most_moves_of_a_job", f64::from(planner.max_moves_per_job), "moves")
            .with_baseline(f64::from(first_fit.max_moves_per_job)),
        figure("appends_per_vm", planner.appends_per_vm, "appends"),
        figure("waves_unfinished", unfinished as f64, "waves"),
        figure(
            "budget_violations",
            f64::from(total_violations([&planner, &with_failures])),
            "revisions",
        ),
        figure("decisions_rejected", f64::from(planner.rejected_changes), "changes"),
    ]
}

/// Sizes of the state and its snapshots at several fleet sizes, and appends of a snapshot.
fn size_figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for workers in [50, 200, 780, 3_120] {
        let fleet = fleet::generate(Size::scaled_to(workers), SEED);
        let daemon = "entry-1".parse().expect("a valid name");
        let writer = Writer { daemon, incarnation: Incarnation(1) };
        let chunks = snapshot::split(&fleet.state, &writer);
        let state_bytes: usize = chunks.iter().map(|chunk| chunk.data.len()).sum();
        let appends = chunks.len();
        let snapshot_bytes: usize =
            chunks.into_iter().map(|chunk| Entry::Snapshot(chunk).encode().len()).sum();
        figures.push(Figure::new(format!("state_bytes_{workers}"), state_bytes as f64, "bytes"));
        figures.push(Figure::new(
            format!("snapshot_bytes_{workers}"),
            snapshot_bytes as f64,
            "bytes",
        ));
        figures.push(Figure::new(format!("snapshot_appends_{workers}"), appends as f64, "appends"));
    }
    figures
}

/// Figures of the slots and of the latency of urgent requests under overload.
fn routing_figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for daemons in [6, 24] {
        let (waste, overshoot) = slots::waste_and_overshoot(daemons, SEED);
        figures.push(Figure::new(format!("slot_waste_{daemons}"), waste, "share of requests"));
        figures.push(Figure::new(format!("slot_overshoot_{daemons}"), overshoot, "slots"));
    }
    let unloaded = overload::dispatch(UNLOADED_FACTOR, SEED);
    let dispatch = overload::dispatch(OVERLOAD_FACTOR, SEED);
    let fifo = overload::fifo(OVERLOAD_FACTOR, SEED);
    let p99_ratio = |summary: overload::Summary| summary.p99_ms as f64 / unloaded.p99_ms as f64;
    figures.push(
        Figure::new("urgent_p99_overload_over_unloaded", p99_ratio(dispatch), "ratio")
            .with_baseline(p99_ratio(fifo)),
    );
    figures.push(
        Figure::new(
            "urgent_unanswered_at_overload",
            1.0 - dispatch.answered_fraction,
            "share of requests",
        )
        .with_baseline(1.0 - fifo.answered_fraction),
    );
    figures
}
