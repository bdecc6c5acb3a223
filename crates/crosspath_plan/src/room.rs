//! What is free on each VM of a pool.

use std::collections::BTreeMap;

use crosspath_state::name::{PoolName, VmName};
use crosspath_state::{State, job};

/// Free resources of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Free {
    /// Cores.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Free {
    /// Whether the job fits.
    #[must_use]
    pub fn fits(&self, job: &job::Spec) -> bool {
        job.cores <= self.cores
            && job.memory_mb <= self.memory_mb
            && job.accelerators <= self.accelerators
    }

    /// What is left when the job is placed here.
    #[must_use]
    pub fn less(&self, job: &job::Spec) -> Self {
        Self {
            cores: self.cores.saturating_sub(job.cores),
            memory_mb: self.memory_mb.saturating_sub(job.memory_mb),
            accelerators: self.accelerators.saturating_sub(job.accelerators),
        }
    }
}

/// Free resources of every VM of `pool` that takes work.
#[must_use]
pub fn of_pool(state: &State, pool: &PoolName) -> BTreeMap<VmName, Free> {
    let serving = state.vms_of(pool).filter(|(_, vm)| vm.status.takes_work());
    let mut rooms: BTreeMap<_, _> = serving
        .map(|(name, vm)| {
            let spec = &vm.spec;
            let (cores, memory_mb) = (spec.cores, spec.memory_mb);
            (name.clone(), Free { cores, memory_mb, accelerators: spec.accelerators })
        })
        .collect();
    for job in state.jobs.values() {
        let room = job.status.phase.vm().and_then(|vm| rooms.get_mut(vm));
        if let Some(room) = room {
            *room = room.less(&job.spec);
        }
    }
    rooms
}
