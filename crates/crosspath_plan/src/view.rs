//! Index of the state, built once for each round of decisions.

use std::collections::BTreeMap;

use crosspath_state::name::{JobName, PoolName, VmName};
use crosspath_state::{State, Stored, job, vm};

/// Job with its specification and status.
pub type Job = Stored<job::Spec, job::Status>;

/// VM with its specification and phase.
pub type Vm = Stored<vm::Spec, vm::Phase>;

/// State with indexes of the jobs by VM and of the VMs by pool.
#[derive(Debug)]
pub struct View<'a> {
    /// State from which the indexes were built.
    pub state: &'a State,
    jobs: BTreeMap<&'a VmName, Vec<(&'a JobName, &'a Job)>>,
    vms: BTreeMap<&'a PoolName, Vec<(&'a VmName, &'a Vm)>>,
}

impl<'a> View<'a> {
    /// Builds the indexes of a state.
    #[must_use]
    pub fn new(state: &'a State) -> Self {
        let mut view = Self { state, jobs: BTreeMap::new(), vms: BTreeMap::new() };
        for (name, job) in &state.jobs {
            if let Some(vm) = job.status.phase.vm() {
                view.jobs.entry(vm).or_default().push((name, job));
            }
        }
        for (name, vm) in &state.vms {
            view.vms.entry(&vm.spec.pool).or_default().push((name, vm));
        }
        view
    }

    /// Jobs that occupy resources of a VM, whether running or suspended.
    #[must_use]
    pub fn jobs_on(&self, vm: &VmName) -> &[(&'a JobName, &'a Job)] {
        self.jobs.get(vm).map_or(&[], Vec::as_slice)
    }

    /// All VMs of a pool, in any phase.
    #[must_use]
    pub fn vms_of(&self, pool: &PoolName) -> &[(&'a VmName, &'a Vm)] {
        self.vms.get(pool).map_or(&[], Vec::as_slice)
    }
}
