//! Times of decisions and of applying a batch, with their spread.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crosspath_state::record::{Change, Step};

use crate::figure::Figure;
use crate::fleet::{self, Fleet, Size};

const RUNS: usize = 15;
const SEED: u64 = 11;

/// Shortest, median and longest time of several runs.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Shortest of the measured times.
    pub min: Duration,
    /// Median of the measured times.
    pub median: Duration,
    /// Longest of the measured times.
    pub max: Duration,
}

/// Runs `work` repeatedly and measures the time of each run.
pub fn measure<T>(mut work: impl FnMut() -> T) -> Spread {
    let mut durations: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            std::hint::black_box(work());
            started.elapsed()
        })
        .collect();
    durations.sort_unstable();
    Spread { min: durations[0], median: durations[RUNS / 2], max: durations[RUNS - 1] }
}

fn figures_of(name: &str, spread: Spread) -> [Figure; 3] {
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    [
        Figure::new(format!("{name}_ms"), ms(spread.median), "ms"),
        Figure::new(format!("{name}_ms_least"), ms(spread.min), "ms"),
        Figure::new(format!("{name}_ms_most"), ms(spread.max), "ms"),
    ]
}

/// The fleet with all of its jobs unplaced.
fn with_jobs_unplaced(fleet: &Fleet) -> Fleet {
    let mut fleet = fleet.clone();
    let action = crosspath_state::record::JobAction::Unplace;
    let jobs = fleet.state.jobs.keys().cloned();
    let changes = jobs.map(|job| Change::Job { job, action: action.clone() }).collect();
    fleet.apply(changes);
    fleet
}

/// Times of decisions, digests and applied batches at several fleet sizes.
#[must_use]
pub fn decisions() -> Vec<Figure> {
    let mut figures = Vec::new();
    let no_observations = BTreeMap::new();
    for workers in [50, 200, 780, 3_120] {
        let fleet = fleet::generate(Size::scaled_to(workers), SEED);
        let unplaced = with_jobs_unplaced(&fleet);
        let full = measure(|| crosspath_plan::decide(&unplaced.state, &no_observations));
        figures.extend(figures_of(&format!("full_plan_{workers}"), full));
        let quiet = measure(|| crosspath_plan::decide(&fleet.state, &no_observations));
        figures.extend(figures_of(&format!("quiet_round_{workers}"), quiet));
        let one_unplaced = with_one_job_unplaced(&fleet);
        let incremental = measure(|| crosspath_plan::decide(&one_unplaced.state, &no_observations));
        figures.extend(figures_of(&format!("one_job_{workers}"), incremental));
        let digest = measure(|| fleet.state.digest());
        figures.extend(figures_of(&format!("digest_{workers}"), digest));
        let apply = measure(|| {
            let mut copy = fleet.clone();
            let vm = copy.state.vms.keys().next().cloned().expect("the fleet has a VM");
            copy.apply(vec![Change::Step { vm, step: Step::Undrain }])
        });
        figures.extend(figures_of(&format!("fold_{workers}"), apply));
    }
    figures
}

/// The fleet with one of its placed jobs unplaced.
fn with_one_job_unplaced(fleet: &Fleet) -> Fleet {
    let mut fleet = fleet.clone();
    let placed = fleet.state.jobs.iter().find(|(_, job)| job.status.phase.vm().is_some());
    let job = placed.map(|(job, _)| job.clone()).expect("a job is placed");
    let action = crosspath_state::record::JobAction::Unplace;
    fleet.apply(vec![Change::Job { job, action }]);
    fleet
}
