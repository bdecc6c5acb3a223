//! Free resources of the VMs of a pool.

use std::collections::BTreeMap;

use crosspath_state::name::{PoolName, VmName};
use crosspath_state::{job, vm};

use crate::view::View;

/// Free resources of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Free {
    /// Free processor cores.
    pub cores: u32,
    /// Free memory in MB.
    pub memory_mb: u64,
    /// Free accelerators.
    pub accelerators: u32,
}

impl Free {
    /// All resources of a VM, as if it ran no job.
    #[must_use]
    pub fn total(vm: &vm::Spec) -> Self {
        Self { cores: vm.cores, memory_mb: vm.memory_mb, accelerators: vm.accelerators }
    }

    /// Whether the job fits in these resources.
    #[must_use]
    pub fn fits(&self, job: &job::Spec) -> bool {
        job.cores <= self.cores
            && job.memory_mb <= self.memory_mb
            && job.accelerators <= self.accelerators
    }

    /// Resources that remain when the job is placed here; never below 0.
    #[must_use]
    pub fn minus(&self, job: &job::Spec) -> Self {
        Self {
            cores: self.cores.saturating_sub(job.cores),
            memory_mb: self.memory_mb.saturating_sub(job.memory_mb),
            accelerators: self.accelerators.saturating_sub(job.accelerators),
        }
    }
}

/// Free resources by VM.
pub type Pool = BTreeMap<VmName, Free>;

/// Free resources by pool, less those reserved earlier in the same round of decisions.
#[derive(Debug)]
pub struct Capacity<'a> {
    view: &'a View<'a>,
    pools: BTreeMap<PoolName, Pool>,
}

impl<'a> Capacity<'a> {
    /// Starts a round, in which nothing is reserved yet.
    #[must_use]
    pub fn new(view: &'a View<'a>) -> Self {
        Self { view, pools: BTreeMap::new() }
    }

    /// Free resources of every VM of `pool` that accepts work; computed on first use.
    pub fn of(&mut self, pool: &PoolName) -> &mut Pool {
        let view = self.view;
        self.pools.entry(pool.clone()).or_insert_with(|| free_now(view, pool))
    }

    /// Reserves a VM's resources for a job.
    pub fn reserve(&mut self, pool: &PoolName, vm: &VmName, job: &job::Spec) {
        if let Some(free) = self.of(pool).get_mut(vm) {
            *free = free.minus(job);
        }
    }
}

fn free_now(view: &View<'_>, pool: &PoolName) -> Pool {
    let serving = view.vms_of(pool).iter().filter(|(_, vm)| vm.status.takes_work());
    let capacity = serving.map(|(name, vm)| {
        let jobs = view.jobs_on(name).iter();
        let free = jobs.fold(Free::total(&vm.spec), |free, (_, job)| free.minus(&job.spec));
        ((*name).clone(), free)
    });
    capacity.collect()
}
