//! Advances VMs through a maintenance wave.
//!
//! A wave starts draining a VM whenever the pool's budget allows it, so that a slow VM does not
//! delay the others. The order of the VMs determines how often jobs move. VMs without jobs that
//! must move come first, because such jobs go to VMs that are already serviced; then come those
//! whose jobs fit there.

use std::collections::BTreeMap;

use crosspath_state::budget::Usage;
use crosspath_state::name::{PoolName, VmName, WaveName};
use crosspath_state::record::{Change, Step};
use crosspath_state::{State, Stored, vm, wave};
use serde::Serialize;

use crate::capacity::Capacity;
use crate::evacuate;
use crate::view::View;

/// Observations of a VM that is in maintenance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// No member selects the VM any more or has requests in flight on it.
    pub daemons_done: bool,
    /// The VM's worker refuses new requests, and runs neither requests nor jobs.
    pub worker_idle: bool,
    /// The VM's worker is up after the reboot that was ordered for this step.
    pub rebooted: bool,
}

/// Reason why a VM does not advance to its next step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Obstacle {
    /// The pool's disruption budget is used up.
    Budget {
        /// Name of the pool.
        pool: PoolName,
        /// Numbers of the pool's VMs that serve, are in maintenance and have failed.
        usage: Usage,
        /// Maximum number of unavailable VMs in the pool.
        max_unavailable: u32,
        /// Part of the budget that is reserved for failures.
        reserve: u32,
    },
    /// The wave is paused.
    Paused {
        /// Cause of the pause.
        cause: wave::Cause,
    },
    /// The pool's canary VM has not returned to service yet.
    Canary {
        /// Name of the canary VM.
        vm: VmName,
    },
    /// A daemon may still send requests to the VM.
    DaemonsNotDone,
    /// The VM's worker still accepts requests, or runs requests or jobs.
    WorkerBusy,
    /// The VM has not come back from its reboot.
    Rebooting,
}

/// Changes that start draining the next VMs of every running wave.
#[must_use]
pub fn next_drains(view: &View<'_>) -> Vec<Change> {
    let waves = view.state.waves.iter();
    let running = waves.filter(|(_, wave)| wave.status.phase == wave::Phase::Running);
    running.flat_map(|(name, wave)| drains_of_wave(view, name, wave)).collect()
}

type Wave = Stored<wave::Spec, wave::Status>;

fn drains_of_wave(view: &View<'_>, name: &WaveName, wave: &Wave) -> Vec<Change> {
    let pools = wave.spec.pools.iter();
    let chosen = pools.flat_map(|pool| drains_of_pool(view, wave, pool));
    chosen.map(|vm| Change::Step { vm, step: Step::Drain { wave: name.clone() } }).collect()
}

fn drains_of_pool(view: &View<'_>, wave: &Wave, pool: &PoolName) -> Vec<VmName> {
    let state = view.state;
    let Some(spec) = state.pools.get(pool).map(|pool| &pool.spec) else {
        return Vec::new();
    };
    let usage = Usage::of(state, pool);
    let free = usage.allowed_disruptions(spec) as usize;
    let free = match canary(state, wave, pool) {
        Canary::Passed => free,
        Canary::Pending => free.min(1),
        Canary::InMaintenance(_) => 0,
    };
    if free == 0 {
        return Vec::new();
    }
    candidates(view, wave, pool).into_iter().take(free).collect()
}

enum Canary {
    Passed,
    Pending,
    InMaintenance(VmName),
}

fn canary(state: &State, wave: &Wave, pool: &PoolName) -> Canary {
    let of_pool = |vm: &&VmName| state.vms.get(*vm).is_some_and(|vm| vm.spec.pool == *pool);
    if !wave.spec.canary || wave.status.serviced.iter().any(|vm| of_pool(&vm)) {
        return Canary::Passed;
    }
    let out = state.vms_of(pool).find(|(_, vm)| vm.status.wave().is_some());
    out.map_or(Canary::Pending, |(vm, _)| Canary::InMaintenance(vm.clone()))
}

/// VMs of the pool that are due for service and in use, the cheapest to drain first.
fn candidates(view: &View<'_>, wave: &Wave, pool: &PoolName) -> Vec<VmName> {
    let status = &wave.status;
    let is_due = |vm: &VmName| {
        status.targets.contains(vm) && !status.serviced.contains(vm) && !status.failed.contains(vm)
    };
    let serving = view.vms_of(pool).iter().filter(|(_, vm)| vm.status.takes_work());
    let due = serving.map(|(name, _)| *name).filter(|name| is_due(name));
    let mut capacity = Capacity::new(view);
    let serviced = capacity.of(pool).iter().filter(|(vm, _)| status.serviced.contains(*vm));
    let free_cores: u32 = serviced.map(|(_, free)| free.cores).sum();
    let mut keyed: Vec<_> = due.map(|vm| (move_cost(view, vm, free_cores), vm.clone())).collect();
    keyed.sort();
    keyed.into_iter().map(|(_, vm)| vm).collect()
}

/// Cost of draining a VM: whether its jobs exceed the `free_cores` of the serviced VMs, so that
/// some would move to VMs that are still due; and the cores of the jobs that must move.
fn move_cost(view: &View<'_>, vm: &VmName, free_cores: u32) -> (bool, u32) {
    let cores = evacuate::non_checkpointable_cores(view, vm);
    (cores > free_cores, cores)
}

/// Next changes for the VMs in maintenance, given the observations of each.
#[must_use]
pub fn advance(
    view: &View<'_>,
    capacity: &mut Capacity<'_>,
    observed: &BTreeMap<VmName, Observation>,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for (name, vm) in view.state.vms.iter().filter(|(_, vm)| vm.status.wave().is_some()) {
        let observation = observed.get(name).copied().unwrap_or_default();
        changes.extend(advance_vm(view, capacity, name, &vm.status, observation));
    }
    changes
}

fn advance_vm(
    view: &View<'_>,
    capacity: &mut Capacity<'_>,
    name: &VmName,
    phase: &vm::Phase,
    observation: Observation,
) -> Vec<Change> {
    let step = |step| vec![Change::Step { vm: name.clone(), step }];
    match phase {
        vm::Phase::Draining { wave } if is_cancelled(view.state, wave) => step(Step::Undrain),
        vm::Phase::Draining { wave } => {
            let changes = evacuate::vacate(view, capacity, name, wave);
            let ready = changes.is_empty() && observation.daemons_done && observation.worker_idle;
            if ready { step(Step::Reboot) } else { changes }
        }
        vm::Phase::Rebooting { .. } if observation.rebooted => step(Step::Return),
        _ => Vec::new(),
    }
}

fn is_cancelled(state: &State, wave: &WaveName) -> bool {
    let phase = state.waves.get(wave).map(|wave| &wave.status.phase);
    phase.is_none_or(|phase| *phase == wave::Phase::Cancelled)
}

/// Reason why `vm` does not advance; none when it can advance or is not due for service.
#[must_use]
pub fn obstacle(state: &State, vm: &VmName, observation: Observation) -> Option<Obstacle> {
    let stored = state.vms.get(vm)?;
    match &stored.status {
        vm::Phase::Draining { .. } if !observation.daemons_done => Some(Obstacle::DaemonsNotDone),
        vm::Phase::Draining { .. } if !observation.worker_idle => Some(Obstacle::WorkerBusy),
        vm::Phase::Rebooting { .. } if !observation.rebooted => Some(Obstacle::Rebooting),
        vm::Phase::Serving => {
            let mut open = state.waves.values().filter(|wave| !wave.status.phase.is_terminal());
            let wave = open.find(|wave| wave.status.remaining().any(|due| due == vm))?;
            drain_obstacle(state, wave, &stored.spec.pool)
        }
        _ => None,
    }
}

fn drain_obstacle(state: &State, wave: &Wave, pool: &PoolName) -> Option<Obstacle> {
    if let wave::Phase::Paused { cause } = wave.status.phase {
        return Some(Obstacle::Paused { cause });
    }
    if let Canary::InMaintenance(vm) = canary(state, wave, pool) {
        return Some(Obstacle::Canary { vm });
    }
    let spec = &state.pools.get(pool)?.spec;
    let usage = Usage::of(state, pool);
    let (max_unavailable, reserve) = (spec.max_unavailable, spec.reserve);
    let blocked = usage.allowed_disruptions(spec) == 0;
    blocked.then(|| Obstacle::Budget { pool: pool.clone(), usage, max_unavailable, reserve })
}
