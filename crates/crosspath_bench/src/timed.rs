//! Timed figures, as ratios within one run or with their spread.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crosspath_state::record::{Change, Step};

use crate::figure::Figure;
use crate::fleet::{self, Folded, Size};

const RUNS: usize = 15;
const SEED: u64 = 11;

/// Least, middle and most of several runs.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// The least.
    pub least: Duration,
    /// The middle one.
    pub middle: Duration,
    /// The most.
    pub most: Duration,
}

/// Times `work` several times over.
pub fn spread<T>(mut work: impl FnMut() -> T) -> Spread {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            std::hint::black_box(work());
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    Spread { least: times[0], middle: times[RUNS / 2], most: times[RUNS - 1] }
}

fn figures_of(name: &str, spread: Spread) -> [Figure; 3] {
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    [
        Figure::new(format!("{name}_ms"), ms(spread.middle), "ms"),
        Figure::new(format!("{name}_ms_least"), ms(spread.least), "ms"),
        Figure::new(format!("{name}_ms_most"), ms(spread.most), "ms"),
    ]
}

/// A fleet whose jobs have all lost their places.
fn unplaced(fleet: &Folded) -> Folded {
    let mut fleet = fleet.clone();
    let action = crosspath_state::record::JobAction::Unplace;
    let jobs = fleet.state.jobs.keys().cloned();
    let changes = jobs.map(|job| Change::Job { job, action: action.clone() }).collect();
    fleet.fold(changes);
    fleet
}

/// Decisions and folds at several sizes.
#[must_use]
pub fn decisions() -> Vec<Figure> {
    let mut figures = Vec::new();
    let none = BTreeMap::new();
    for workers in [50, 200, 780, 3_120] {
        let fleet = fleet::generated(Size::of(workers), SEED);
        let empty = unplaced(&fleet);
        let full = spread(|| crosspath_plan::decide(&empty.state, &none));
        figures.extend(figures_of(&format!("full_plan_{workers}"), full));
        let quiet = spread(|| crosspath_plan::decide(&fleet.state, &none));
        figures.extend(figures_of(&format!("quiet_round_{workers}"), quiet));
        let one = one_waits(&fleet);
        let incremental = spread(|| crosspath_plan::decide(&one.state, &none));
        figures.extend(figures_of(&format!("one_job_{workers}"), incremental));
        let digest = spread(|| fleet.state.digest());
        figures.extend(figures_of(&format!("digest_{workers}"), digest));
        let folded = spread(|| {
            let mut copy = fleet.clone();
            let vm = copy.state.vms.keys().next().cloned().expect("a VM");
            copy.fold(vec![Change::Step { vm, step: Step::Undrain }])
        });
        figures.extend(figures_of(&format!("fold_{workers}"), folded));
    }
    figures
}

fn one_waits(fleet: &Folded) -> Folded {
    let mut fleet = fleet.clone();
    let placed = fleet.state.jobs.iter().find(|(_, job)| job.status.phase.vm().is_some());
    let job = placed.map(|(job, _)| job.clone()).expect("a job is placed");
    let action = crosspath_state::record::JobAction::Unplace;
    fleet.fold(vec![Change::Job { job, action }]);
    fleet
}
