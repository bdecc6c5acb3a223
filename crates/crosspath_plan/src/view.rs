//! The state, indexed once for a round of decisions.

use std::collections::BTreeMap;

use crosspath_state::name::{JobName, PoolName, VmName};
use crosspath_state::{State, Stored, job, vm};

/// A job in the state.
pub type Job = Stored<job::Spec, job::Status>;

/// A VM in the state.
pub type Vm = Stored<vm::Spec, vm::Phase>;

/// Jobs by VM and VMs by pool.
#[derive(Debug)]
pub struct View<'a> {
    /// What it is a view of.
    pub state: &'a State,
    jobs: BTreeMap<&'a VmName, Vec<(&'a JobName, &'a Job)>>,
    vms: BTreeMap<&'a PoolName, Vec<(&'a VmName, &'a Vm)>>,
}

impl<'a> View<'a> {
    /// Indexes a state.
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

    /// Jobs that take room on a VM.
    #[must_use]
    pub fn jobs_on(&self, vm: &VmName) -> &[(&'a JobName, &'a Job)] {
        self.jobs.get(vm).map_or(&[], Vec::as_slice)
    }

    /// VMs of a pool.
    #[must_use]
    pub fn vms_of(&self, pool: &PoolName) -> &[(&'a VmName, &'a Vm)] {
        self.vms.get(pool).map_or(&[], Vec::as_slice)
    }
}
