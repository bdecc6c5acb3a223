//! Simulates a maintenance wave on the pure decision functions, with a platform that acts at once
//! and a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crosspath_plan::bound;
use crosspath_plan::wave::Observation;
use crosspath_state::budget::Usage;
use crosspath_state::name::{PoolName, VmName};
use crosspath_state::record::{Change, Step};
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::time::Wall;
use crosspath_state::{State, vm};

use crate::fleet::{self, Fleet};

/// Time from a VM's drain until its worker is idle, and its reboot can start.
pub const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Duration of a VM's reboot, which starts after [`DRAIN_TIME`].
pub const REBOOT_TIME: Duration = Duration::from_secs(170);

/// Failure of a VM during the wave, and its recovery.
#[derive(Debug, Clone)]
pub struct Failure {
    /// Index of the VM in name order.
    pub vm_index: usize,
    /// Time of the failure, from the start of the wave.
    pub fails_at: Duration,
    /// Time of the recovery, from the start of the wave.
    pub recovers_at: Duration,
}

/// Decides the next changes: [`Planner`], or a baseline of [`crate::baseline`].
pub trait Strategy {
    /// Changes to append to the log; empty when nothing can be done before time passes.
    fn next_changes(&self, state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change>;
}

/// The decisions that a daemon commits, from [`crosspath_plan::decide`].
#[derive(Debug, Clone, Copy)]
pub struct Planner;

impl Strategy for Planner {
    fn next_changes(&self, state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change> {
        crosspath_plan::decide(state, observed)
    }
}

/// Result of a simulated wave.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Whether the wave ended.
    pub finished: bool,
    /// Duration of the wave divided by its lower bound.
    pub time_over_bound: f64,
    /// Moves of jobs divided by their lower bound: one move for each job that cannot be suspended.
    pub moves_over_bound: f64,
    /// Highest number of moves of one job.
    pub max_moves_per_job: u32,
    /// Batches appended during the wave, per VM of the fleet.
    pub appends_per_vm: f64,
    /// Number of batches after which a pool exceeded its budget, summed over the pools.
    pub budget_violations: u32,
    /// Changes that were rejected when their batch was applied.
    pub rejected_changes: u32,
}

/// A wave in progress.
struct Simulation<'a> {
    fleet: Fleet,
    now: Duration,
    /// When each VM in maintenance was drained.
    maintenance_since: BTreeMap<VmName, Duration>,
    failures: &'a [Failure],
    /// VMs that have failed and not yet recovered.
    down: BTreeSet<VmName>,
    budget_violations: u32,
    rejected_changes: u32,
}

/// Simulates one wave over all pools.
///
/// # Panics
///
/// When the wave itself is rejected, or a budget lets no VM out.
#[must_use]
pub fn run(fleet: Fleet, strategy: &impl Strategy, failures: &[Failure]) -> Outcome {
    let vms = fleet.state.vms.len();
    let movable_jobs = fleet::non_checkpointable_jobs(&fleet.state).len();
    let before = fleet.batches;
    let (down, maintenance_since) = (BTreeSet::new(), BTreeMap::new());
    let now = Duration::ZERO;
    let mut simulation = Simulation {
        fleet,
        now,
        maintenance_since,
        failures,
        down,
        budget_violations: 0,
        rejected_changes: 0,
    };
    let bound = simulation.declare_wave();
    while simulation.step(strategy) {}
    let state = &simulation.fleet.state;
    let moves: u32 = state.jobs.values().map(|job| job.status.moves).sum();
    let finished = state.waves.values().all(|wave| wave.status.phase.is_terminal());
    Outcome {
        finished,
        time_over_bound: simulation.now.as_secs_f64() / bound.as_secs_f64(),
        moves_over_bound: f64::from(moves) / movable_jobs.max(1) as f64,
        max_moves_per_job: state
            .jobs
            .values()
            .map(|job| job.status.moves)
            .max()
            .unwrap_or_default(),
        appends_per_vm: (simulation.fleet.batches - before) as f64 / vms as f64,
        budget_violations: simulation.budget_violations,
        rejected_changes: simulation.rejected_changes,
    }
}

impl Simulation<'_> {
    /// Declares the wave. Returns the lower bound of its duration.
    fn declare_wave(&mut self) -> Duration {
        let pools: Vec<PoolName> = self.fleet.state.pools.keys().cloned().collect();
        let failures = self.failures.len();
        let pause_after_failures = u32::try_from(failures).unwrap_or(u32::MAX).saturating_add(1);
        let spec = crosspath_state::wave::Spec { pools, canary: false, pause_after_failures };
        let bound = bound::wave_time(&self.fleet.state, &spec, DRAIN_TIME + REBOOT_TIME);
        let id = Id::new(Kind::Wave, "wave".parse().expect("a valid name"));
        let put = Change::Put { id, spec: Box::new(Spec::Wave(spec)), expected: None };
        let verdicts = self.fleet.apply(vec![put]);
        assert!(verdicts.iter().all(Result::is_ok), "wave rejected: {verdicts:?}");
        bound.expect("every budget lets at least one VM out")
    }

    /// Commits the decided changes; advances the clock if they changed nothing. Returns whether the
    /// wave goes on.
    fn step(&mut self, strategy: &impl Strategy) -> bool {
        let observed = self.observe();
        let changes = strategy.next_changes(&self.fleet.state, &observed);
        let before = self.fleet.state.clone();
        if !changes.is_empty() {
            self.commit(changes);
        }
        if self.fleet.state.waves != before.waves
            || self.fleet.state.vms != before.vms
            || self.fleet.state.jobs != before.jobs
        {
            return self.fleet.state.waves.values().any(|wave| !wave.status.phase.is_terminal());
        }
        self.advance()
    }

    fn commit(&mut self, changes: Vec<Change>) {
        let verdicts = self.fleet.apply(changes);
        self.rejected_changes +=
            u32::try_from(verdicts.iter().filter(|v| v.is_err()).count()).unwrap_or(0);
        let state = &self.fleet.state;
        for (name, vm) in &state.vms {
            let in_maintenance = vm.status.wave().is_some();
            let is_draining = matches!(vm.status, vm::Phase::Draining { .. });
            if in_maintenance && (is_draining || self.maintenance_since.contains_key(name)) {
                self.maintenance_since.entry(name.clone()).or_insert(self.now);
            }
            if !in_maintenance {
                self.maintenance_since.remove(name);
            }
        }
        let exceeded =
            state.pools.iter().filter(|(name, pool)| Usage::of(state, name).exceeds(&pool.spec));
        self.budget_violations += u32::try_from(exceeded.count()).unwrap_or(u32::MAX);
    }

    fn observe(&self) -> BTreeMap<VmName, Observation> {
        let observe_vm = |(name, maintenance_since): (&VmName, &Duration)| {
            let maintenance_time = self.now.saturating_sub(*maintenance_since);
            let observed = Observation {
                daemons_done: true,
                worker_idle: maintenance_time >= DRAIN_TIME,
                rebooted: maintenance_time >= DRAIN_TIME + REBOOT_TIME,
            };
            (name.clone(), observed)
        };
        self.maintenance_since.iter().map(observe_vm).collect()
    }

    /// Advances the clock to the next event. Returns false when there is none.
    fn advance(&mut self) -> bool {
        let ends = self.maintenance_since.values().flat_map(|maintenance_since| {
            [*maintenance_since + DRAIN_TIME, *maintenance_since + DRAIN_TIME + REBOOT_TIME]
        });
        let failures =
            self.failures.iter().flat_map(|failure| [failure.fails_at, failure.recovers_at]);
        let next = ends.chain(failures).filter(|at| *at > self.now).min();
        let Some(next) = next else { return false };
        self.now = next;
        self.apply_failures();
        true
    }

    /// Commits the failures and recoveries of the current time.
    fn apply_failures(&mut self) {
        let names: Vec<VmName> = self.fleet.state.vms.keys().cloned().collect();
        let mut changes = Vec::new();
        for failure in self.failures {
            let Some(vm) = names.get(failure.vm_index).cloned() else { continue };
            if failure.fails_at == self.now && self.down.insert(vm.clone()) {
                changes.push(Change::Failure { vm, seen_at: Wall(0) });
            } else if failure.recovers_at == self.now && self.down.remove(&vm) {
                changes.push(Change::Recovery { vm });
            }
        }
        if !changes.is_empty() {
            self.commit(changes);
        }
    }
}

/// VMs that the changes drain.
#[must_use]
pub fn drained_vms(changes: &[Change]) -> Vec<VmName> {
    let drain = |change: &Change| match change {
        Change::Step { vm, step: Step::Drain { .. } } => Some(vm.clone()),
        _ => None,
    };
    changes.iter().filter_map(drain).collect()
}
