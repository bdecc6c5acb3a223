//! Simple strategies that an operator could follow without the planner, as baselines.

use std::collections::{BTreeMap, BTreeSet};

use crosspath_plan::capacity::Capacity;
use crosspath_plan::view::View;
use crosspath_plan::wave::Observation;
use crosspath_plan::{evacuate, place, wave};
use crosspath_state::name::{PoolName, VmName};
use crosspath_state::record::{Change, Step};
use crosspath_state::{State, job, vm};

use crate::wave::{Planner, Strategy};

/// Drains one VM at a time in each pool.
#[derive(Debug, Clone, Copy)]
pub struct OneAtATime;

impl Strategy for OneAtATime {
    fn next_changes(&self, state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change> {
        let changes = Planner.next_changes(state, observed);
        let mut busy_pools: BTreeSet<PoolName> =
            in_maintenance(state).map(|vm| vm.spec.pool.clone()).collect();
        let is_first_of_pool = |change: &Change| match change {
            Change::Step { vm, step: Step::Drain { .. } } => {
                let pool = state.vms.get(vm).map(|vm| vm.spec.pool.clone());
                pool.is_some_and(|pool| busy_pools.insert(pool))
            }
            _ => true,
        };
        changes.into_iter().filter(is_first_of_pool).collect()
    }
}

/// VMs that are out of service for a wave.
fn in_maintenance(
    state: &State,
) -> impl Iterator<Item = &crosspath_state::Stored<vm::Spec, vm::Phase>> {
    state.vms.values().filter(|vm| vm.status.wave().is_some())
}

/// Drains batches as large as the budget allows, in the order of the wave's targets; the next
/// batch of a pool starts once all VMs of the previous one are back.
#[derive(Debug, Clone, Copy)]
pub struct FixedBatches;

impl Strategy for FixedBatches {
    fn next_changes(&self, state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change> {
        let mut changes = Planner.next_changes(state, observed);
        let drain_count = crate::wave::drained_vms(&changes).len();
        changes.retain(|change| !matches!(change, Change::Step { step: Step::Drain { .. }, .. }));
        if drain_count > 0 {
            changes.extend(drain_batches(state));
        }
        changes
    }
}

fn drain_batches(state: &State) -> Vec<Change> {
    let busy_pools: BTreeSet<&PoolName> = in_maintenance(state).map(|vm| &vm.spec.pool).collect();
    let mut changes = Vec::new();
    for (name, wave) in state.waves.iter().filter(|(_, w)| !w.status.phase.is_terminal()) {
        for pool in wave.spec.pools.iter().filter(|pool| !busy_pools.contains(pool)) {
            let Some(spec) = state.pools.get(pool) else { continue };
            let batch_size = spec.spec.max_unavailable.saturating_sub(spec.spec.reserve) as usize;
            let due = wave.status.remaining().filter(|vm| {
                let vm = state.vms.get(*vm);
                vm.is_some_and(|vm| vm.spec.pool == *pool && vm.status.takes_work())
            });
            let drain = |vm: &VmName| Change::Step {
                vm: vm.clone(),
                step: Step::Drain { wave: name.clone() },
            };
            changes.extend(due.take(batch_size).map(drain));
        }
    }
    changes
}

/// Places each job on the first VM with enough free resources, and moves jobs that could be
/// suspended like the others.
#[derive(Debug, Clone, Copy)]
pub struct FirstFitMoveAll;

impl Strategy for FirstFitMoveAll {
    fn next_changes(&self, state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change> {
        let draining =
            state.vms.iter().filter(|(_, vm)| matches!(vm.status, vm::Phase::Draining { .. }));
        let mut placements = Vec::new();
        for (name, vm) in draining {
            placements.extend(first_fit(state, name, &vm.spec.pool));
        }
        if !placements.is_empty() {
            return placements;
        }
        let view = View::new(state);
        let mut capacity = Capacity::new(&view);
        let mut changes = wave::advance(&view, &mut capacity, observed);
        changes.extend(evacuate::resume(state));
        changes.extend(drain_within_budget(state));
        changes.extend(place::pending(&view, &mut capacity).changes);
        changes
    }
}

fn first_fit(state: &State, from: &VmName, pool: &PoolName) -> Vec<Change> {
    let view = View::new(state);
    let mut capacity = Capacity::new(&view);
    let running = state
        .jobs_on(from)
        .filter(|(_, job)| matches!(job.status.phase, job::Phase::Running { .. }));
    let mut changes = Vec::new();
    for (name, job) in running {
        let target = capacity.of(pool).iter().find(|(_, free)| free.fits(&job.spec));
        let Some(to) = target.map(|(vm, _)| vm.clone()) else { continue };
        capacity.reserve(pool, &to, &job.spec);
        changes.push(place::place(name, to));
    }
    changes
}

/// Drains VMs in the order of the wave's targets, as many as the budget allows.
fn drain_within_budget(state: &State) -> Vec<Change> {
    let mut used_budget: BTreeMap<PoolName, usize> = BTreeMap::new();
    let mut changes = Vec::new();
    for (wave_name, wave) in state.waves.iter().filter(|(_, w)| !w.status.phase.is_terminal()) {
        for vm in wave.status.remaining() {
            let Some(stored) = state.vms.get(vm).filter(|vm| vm.status.takes_work()) else {
                continue;
            };
            let pool = &stored.spec.pool;
            let Some(spec) = state.pools.get(pool) else { continue };
            let budget = crosspath_state::budget::Usage::of(state, pool)
                .allowed_disruptions(&spec.spec) as usize;
            let used = used_budget.entry(pool.clone()).or_default();
            if *used < budget {
                *used += 1;
                let step = Step::Drain { wave: wave_name.clone() };
                changes.push(Change::Step { vm: vm.clone(), step });
            }
        }
    }
    changes
}
