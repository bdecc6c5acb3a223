//! Counted figures: the same on every run.

use std::time::Duration;

use crosspath_state::record::{Entry, Incarnation, Writer};
use crosspath_state::snapshot;

use crate::baseline::{FirstFitMovingAll, FixedBatches, OneAtATime};
use crate::figure::Figure;
use crate::fleet::{self, Folded, Size};
use crate::wave::{self, Failure, Outcome, Planner};
use crate::{overload, slots};

const SEED: u64 = 11;
const OVERLOAD: f64 = 3.0;
const UNLOADED: f64 = 0.3;

fn fleets() -> [(&'static str, Folded); 3] {
    [
        ("cobros", fleet::cobros()),
        ("association", fleet::association()),
        ("later", fleet::generated(Size::LATER, SEED)),
    ]
}

/// Three VMs that fail in the middle of a wave and are back after ten minutes.
#[must_use]
pub fn failures(vms: usize) -> Vec<Failure> {
    let failure = |(number, at): (usize, u64)| Failure {
        place: vms * number / 5,
        at: Duration::from_secs(at),
        back: Duration::from_secs(at + 600),
    };
    [(1, 95), (2, 200), (4, 410)].into_iter().map(failure).collect()
}

/// Every counted figure, without its bound.
#[must_use]
pub fn all() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, fleet) in fleets() {
        figures.extend(waves(name, &fleet));
    }
    figures.extend(sizes());
    figures.extend(routing());
    figures
}

fn waves(name: &str, fleet: &Folded) -> Vec<Figure> {
    let run = |failures: &[Failure]| wave::run(fleet.clone(), &Planner, failures);
    let ours = run(&[]);
    let faulty = run(&failures(fleet.state.vms.len()));
    let one = wave::run(fleet.clone(), &OneAtATime, &[]);
    let batches = wave::run(fleet.clone(), &FixedBatches, &[]);
    let moving = wave::run(fleet.clone(), &FirstFitMovingAll, &[]);
    let figure = |what: &str, value, unit| Figure::new(format!("{what}_{name}"), value, unit);
    let unfinished = [&ours, &faulty].into_iter().filter(|outcome| !outcome.done).count();
    let violations = |outcomes: [&Outcome; 2]| outcomes.iter().map(|o| o.violations).sum::<u32>();
    vec![
        figure("wave_over_bound", ours.over_bound, "ratio").against(one.over_bound),
        figure("wave_over_bound_batches", ours.over_bound, "ratio").against(batches.over_bound),
        figure("wave_over_bound_failures", faulty.over_bound, "ratio"),
        figure("moves_over_bound", ours.moves_over_bound, "ratio").against(moving.moves_over_bound),
        figure("moves_over_bound_batches", ours.moves_over_bound, "ratio")
            .against(batches.moves_over_bound),
        figure("most_moves_of_a_job", f64::from(ours.most_moves), "moves")
            .against(f64::from(moving.most_moves)),
        figure("appends_per_vm", ours.appends_per_vm, "appends"),
        figure("waves_unfinished", unfinished as f64, "waves"),
        figure("budget_violations", f64::from(violations([&ours, &faulty])), "revisions"),
        figure("decisions_rejected", f64::from(ours.rejected), "changes"),
    ]
}

/// Bytes of state and snapshots.
fn sizes() -> Vec<Figure> {
    let mut figures = Vec::new();
    for workers in [50, 200, 780, 3_120] {
        let fleet = fleet::generated(Size::of(workers), SEED);
        let daemon = "entry-1".parse().expect("a name");
        let writer = Writer { daemon, incarnation: Incarnation(1) };
        let chunks = snapshot::cut(&fleet.state, &writer);
        let state: usize = chunks.iter().map(|chunk| chunk.data.len()).sum();
        let appends = chunks.len();
        let written: usize =
            chunks.into_iter().map(|chunk| Entry::Snapshot(chunk).encode().len()).sum();
        figures.push(Figure::new(format!("state_bytes_{workers}"), state as f64, "bytes"));
        figures.push(Figure::new(format!("snapshot_bytes_{workers}"), written as f64, "bytes"));
        figures.push(Figure::new(format!("snapshot_appends_{workers}"), appends as f64, "appends"));
    }
    figures
}

fn routing() -> Vec<Figure> {
    let mut figures = Vec::new();
    for daemons in [6, 24] {
        let (waste, overshoot) = slots::waste_and_overshoot(daemons, SEED);
        figures.push(Figure::new(format!("slot_waste_{daemons}"), waste, "share of requests"));
        figures.push(Figure::new(format!("slot_overshoot_{daemons}"), overshoot, "slots"));
    }
    let unloaded = overload::ours(UNLOADED, SEED);
    let ours = overload::ours(OVERLOAD, SEED);
    let fifo = overload::first_in_first_out(OVERLOAD, SEED);
    let over = |felt: overload::Felt| felt.p99_ms as f64 / unloaded.p99_ms as f64;
    figures.push(
        Figure::new("urgent_p99_overload_over_unloaded", over(ours), "ratio").against(over(fifo)),
    );
    figures.push(
        Figure::new("urgent_unanswered_at_overload", 1.0 - ours.answered, "share of requests")
            .against(1.0 - fifo.answered),
    );
    figures
}
