//! Steps a wave through the pure decisions, with instant platform fakes and a clock of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crosspath_plan::bound;
use crosspath_plan::wave::Observed;
use crosspath_state::budget::Usage;
use crosspath_state::name::{PoolName, VmName};
use crosspath_state::record::{Change, Step};
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::time::Wall;
use crosspath_state::{State, vm};

use crate::fleet::{self, Folded};

/// Time from a drain to the reboot, at the least.
pub const DRAIN: Duration = Duration::from_secs(10);

/// Time that a reboot takes.
pub const REBOOT: Duration = Duration::from_secs(170);

/// A VM that fails during the wave, and comes back.
#[derive(Debug, Clone)]
pub struct Failure {
    /// Which VM, in name order.
    pub place: usize,
    /// When it fails.
    pub at: Duration,
    /// When it is back.
    pub back: Duration,
}

/// Decides what happens next; [`Planner`] is ours, the others are in [`crate::baseline`].
pub trait Strategy {
    /// Changes for the log.
    fn next(&self, state: &State, observed: &BTreeMap<VmName, Observed>) -> Vec<Change>;
}

/// The product's own decisions, as the daemon commits them.
#[derive(Debug, Clone, Copy)]
pub struct Planner;

impl Strategy for Planner {
    fn next(&self, state: &State, observed: &BTreeMap<VmName, Observed>) -> Vec<Change> {
        crosspath_plan::decide(state, observed)
    }
}

/// How a wave went.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Whether it ended.
    pub done: bool,
    /// Time it took over its lower bound.
    pub over_bound: f64,
    /// Moves over their lower bound: each job that can only move must move once.
    pub moves_over_bound: f64,
    /// Most often that one job moved.
    pub most_moves: u32,
    /// Batches appended for each VM serviced.
    pub appends_per_vm: f64,
    /// Revisions at which a pool exceeded its budget.
    pub violations: u32,
    /// Changes that the fold rejected.
    pub rejected: u32,
}

struct World<'a> {
    fleet: Folded,
    now: Duration,
    since: BTreeMap<VmName, Duration>,
    failures: &'a [Failure],
    down: BTreeSet<VmName>,
    violations: u32,
    rejected: u32,
}

/// Runs one wave over every pool.
///
/// # Panics
///
/// When the wave itself is not accepted.
#[must_use]
pub fn run(fleet: Folded, strategy: &impl Strategy, failures: &[Failure]) -> Outcome {
    let vms = fleet.state.vms.len();
    let fixed = fleet::fixed_jobs(&fleet.state).len();
    let before = fleet.batches;
    let (down, since) = (BTreeSet::new(), BTreeMap::new());
    let now = Duration::ZERO;
    let mut world = World { fleet, now, since, failures, down, violations: 0, rejected: 0 };
    let bound = world.declare();
    while world.step(strategy) {}
    let state = &world.fleet.state;
    let moves: u32 = state.jobs.values().map(|job| job.status.moves).sum();
    let done = state.waves.values().all(|wave| wave.status.phase.is_final());
    Outcome {
        done,
        over_bound: world.now.as_secs_f64() / bound.as_secs_f64(),
        moves_over_bound: f64::from(moves) / fixed.max(1) as f64,
        most_moves: state.jobs.values().map(|job| job.status.moves).max().unwrap_or_default(),
        appends_per_vm: (world.fleet.batches - before) as f64 / vms as f64,
        violations: world.violations,
        rejected: world.rejected,
    }
}

impl World<'_> {
    fn declare(&mut self) -> Duration {
        let pools: Vec<PoolName> = self.fleet.state.pools.keys().cloned().collect();
        let failures = self.failures.len();
        let pause_after_failures = u32::try_from(failures).unwrap_or(u32::MAX).saturating_add(1);
        let spec = crosspath_state::wave::Spec { pools, canary: false, pause_after_failures };
        let bound = bound::wave_time(&self.fleet.state, &spec, DRAIN + REBOOT);
        let id = Id::new(Kind::Wave, "wave".parse().expect("a name"));
        let put = Change::Put { id, spec: Box::new(Spec::Wave(spec)), expected: None };
        let verdicts = self.fleet.fold(vec![put]);
        assert!(verdicts.iter().all(Result::is_ok), "{verdicts:?}");
        bound.expect("every budget lets one VM out")
    }

    /// Commits what is decided, or else lets time pass; whether the wave goes on.
    fn step(&mut self, strategy: &impl Strategy) -> bool {
        let observed = self.observe();
        let changes = strategy.next(&self.fleet.state, &observed);
        let before = self.fleet.state.clone();
        if !changes.is_empty() {
            self.commit(changes);
        }
        if self.fleet.state.waves != before.waves
            || self.fleet.state.vms != before.vms
            || self.fleet.state.jobs != before.jobs
        {
            return self.fleet.state.waves.values().any(|wave| !wave.status.phase.is_final());
        }
        self.pass()
    }

    fn commit(&mut self, changes: Vec<Change>) {
        let verdicts = self.fleet.fold(changes);
        self.rejected += u32::try_from(verdicts.iter().filter(|v| v.is_err()).count()).unwrap_or(0);
        let state = &self.fleet.state;
        for (name, vm) in &state.vms {
            let out = vm.status.wave().is_some();
            let started = matches!(vm.status, vm::Phase::Draining { .. });
            if out && (started || self.since.contains_key(name)) {
                self.since.entry(name.clone()).or_insert(self.now);
            }
            if !out {
                self.since.remove(name);
            }
        }
        let exceeded =
            state.pools.iter().filter(|(name, pool)| Usage::of(state, name).exceeds(&pool.spec));
        self.violations += u32::try_from(exceeded.count()).unwrap_or(u32::MAX);
    }

    fn observe(&self) -> BTreeMap<VmName, Observed> {
        let seen = |(name, since): (&VmName, &Duration)| {
            let out_for = self.now.saturating_sub(*since);
            let observed = Observed {
                daemons_done: true,
                worker_idle: out_for >= DRAIN,
                rebooted: out_for >= DRAIN + REBOOT,
            };
            (name.clone(), observed)
        };
        self.since.iter().map(seen).collect()
    }

    /// Goes to the next time at which something happens.
    fn pass(&mut self) -> bool {
        let ends = self.since.values().flat_map(|since| [*since + DRAIN, *since + DRAIN + REBOOT]);
        let failures = self.failures.iter().flat_map(|failure| [failure.at, failure.back]);
        let next = ends.chain(failures).filter(|at| *at > self.now).min();
        let Some(next) = next else { return false };
        self.now = next;
        self.fail_and_recover();
        true
    }

    fn fail_and_recover(&mut self) {
        let names: Vec<VmName> = self.fleet.state.vms.keys().cloned().collect();
        let mut changes = Vec::new();
        for failure in self.failures {
            let Some(vm) = names.get(failure.place).cloned() else { continue };
            if failure.at == self.now && self.down.insert(vm.clone()) {
                changes.push(Change::Failure { vm, seen_at: Wall(0) });
            } else if failure.back == self.now && self.down.remove(&vm) {
                changes.push(Change::Recovery { vm });
            }
        }
        if !changes.is_empty() {
            self.commit(changes);
        }
    }
}

/// The steps that start VMs among some changes.
#[must_use]
pub fn drains(changes: &[Change]) -> Vec<VmName> {
    let drain = |change: &Change| match change {
        Change::Step { vm, step: Step::Drain { .. } } => Some(vm.clone()),
        _ => None,
    };
    changes.iter().filter_map(drain).collect()
}
