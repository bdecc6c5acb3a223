//! Placement, suspension and moves of jobs.

use snafu::{OptionExt as _, ensure};

use super::Context;
use crate::conflict::{
    Conflict, JobPhaseSnafu, NoRoomSnafu, NotFoundSnafu, OtherPoolSnafu, QuotaExceededSnafu,
    WrongPhaseSnafu,
};
use crate::job::{Phase, Spec, Status};
use crate::name::{JobName, ResourceName, VmName};
use crate::record::JobAction;
use crate::resource::{Id, Kind};
use crate::state::{State, Stored};
use crate::vm;

/// Resources that a set of jobs takes together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Allocation {
    cores: u32,
    memory_mb: u64,
    accelerators: u32,
}

impl Allocation {
    fn plus(self, job: &Spec) -> Self {
        Self {
            cores: self.cores.saturating_add(job.cores),
            memory_mb: self.memory_mb.saturating_add(job.memory_mb),
            accelerators: self.accelerators.saturating_add(job.accelerators),
        }
    }

    /// Name of the first resource of which `vm` has too little, if any.
    pub(super) fn shortage_on(self, vm: &vm::Spec) -> Option<&'static str> {
        match () {
            () if self.cores > vm.cores => Some("cores"),
            () if self.memory_mb > vm.memory_mb => Some("memory"),
            () if self.accelerators > vm.accelerators => Some("accelerators"),
            () => None,
        }
    }
}

impl State {
    /// Resources that the running and suspended jobs on a VM take.
    pub(super) fn allocation_on(&self, vm: &VmName) -> Allocation {
        self.jobs_on(vm)
            .fold(Allocation::default(), |allocation, (_, job)| allocation.plus(&job.spec))
    }

    pub(super) fn apply_job_action(
        &mut self,
        context: &Context<'_>,
        name: &JobName,
        action: &JobAction,
    ) -> Result<(), Conflict> {
        let id =
            ResourceName::new(name.as_str()).expect("all kinds of names follow the same rules");
        let id = Id::new(Kind::Job, id);
        let job = self.jobs.get(name).context(NotFoundSnafu { id })?;
        let status = self.next_status(name, job, action)?;
        if let Some(job) = self.jobs.get_mut(name) {
            job.revision = context.offset;
            job.status = status;
        }
        Ok(())
    }

    fn next_status(
        &self,
        name: &JobName,
        job: &Stored<Spec, Status>,
        action: &JobAction,
    ) -> Result<Status, Conflict> {
        let before = &job.status;
        let moves = before.moves;
        let next = match (action, &before.phase) {
            (JobAction::Place { vm }, phase) if phase.vm() != Some(vm) => {
                self.check_placement(name, &job.spec, vm)?;
                let moves = moves + u32::from(phase.vm().is_some());
                Status { phase: Phase::Running { vm: vm.clone() }, moves }
            }
            (JobAction::Suspend, Phase::Running { vm }) if job.spec.checkpointable => {
                Status { phase: Phase::Suspended { vm: vm.clone() }, moves }
            }
            (JobAction::Resume, Phase::Suspended { vm }) => {
                self.check_vm_takes_work(vm)?;
                Status { phase: Phase::Running { vm: vm.clone() }, moves }
            }
            (JobAction::Unplace, Phase::Running { .. } | Phase::Suspended { .. }) => {
                Status { phase: Phase::Pending, moves }
            }
            _ => return JobPhaseSnafu { job: name.clone() }.fail(),
        };
        Ok(next)
    }

    fn check_vm_takes_work(&self, name: &VmName) -> Result<(), Conflict> {
        let phase = self.vms.get(name).map(|vm| &vm.status);
        let takes_work = phase.is_some_and(crate::vm::Phase::takes_work);
        let phase = format!("{phase:?}");
        ensure!(takes_work, WrongPhaseSnafu { vm: name.clone(), phase });
        Ok(())
    }

    fn check_placement(
        &self,
        name: &JobName,
        spec: &Spec,
        vm_name: &VmName,
    ) -> Result<(), Conflict> {
        self.check_vm_takes_work(vm_name)?;
        let vm = self.vms.get(vm_name).map(|vm| &vm.spec);
        let vm = vm.filter(|vm| vm.pool == spec.pool);
        let vm = vm.context(OtherPoolSnafu { vm: vm_name.clone(), job: name.clone() })?;
        let others = self.jobs_on(vm_name).filter(|(job, _)| *job != name);
        let allocation =
            others.fold(Allocation::default(), |allocation, (_, job)| allocation.plus(&job.spec));
        let shortage = allocation.plus(spec).shortage_on(vm);
        if let Some(what) = shortage {
            return NoRoomSnafu { vm: vm_name.clone(), job: name.clone(), what }.fail();
        }
        self.check_quota(name, spec)
    }

    fn check_quota(&self, name: &JobName, spec: &Spec) -> Result<(), Conflict> {
        let placed = self.jobs.iter().filter(|(other, job)| {
            *other != name && job.spec.team == spec.team && job.status.phase.vm().is_some()
        });
        let cores = spec.cores + placed.map(|(_, job)| job.spec.cores).sum::<u32>();
        let max_cores = self.teams.get(&spec.team).map_or(0, |team| team.spec.max_cores);
        let team = spec.team.clone();
        ensure!(cores <= max_cores, QuotaExceededSnafu { team, cores, max_cores });
        Ok(())
    }
}
