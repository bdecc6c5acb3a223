//! Maintenance steps, failures and recoveries of VMs, and phases of waves.

use snafu::{OptionExt as _, ensure};

use super::Context;
use crate::budget::{self, Usage};
use crate::conflict::{
    Conflict, JobRunningSnafu, NotFoundSnafu, NotInWaveSnafu, WaveFinishedSnafu, WrongPhaseSnafu,
};
use crate::name::{ResourceName, VmName, WaveName};
use crate::record::Step;
use crate::resource::{Id, Kind};
use crate::state::{State, Stored};
use crate::time::Wall;
use crate::{job, vm, wave};

type Vm = Stored<vm::Spec, vm::Phase>;
type Wave = Stored<wave::Spec, wave::Status>;

fn not_found(kind: Kind, name: &str) -> NotFoundSnafu<Id> {
    let name = ResourceName::new(name).expect("all kinds of names follow the same rules");
    NotFoundSnafu { id: Id::new(kind, name) }
}

fn wrong_phase<T>(vm: &VmName, phase: &vm::Phase) -> Result<T, Conflict> {
    WrongPhaseSnafu { vm: vm.clone(), phase: format!("{phase:?}") }.fail()
}

impl State {
    fn find_vm(&self, name: &VmName) -> Result<&Vm, Conflict> {
        self.vms.get(name).context(not_found(Kind::Vm, name.as_str()))
    }

    fn find_wave(&self, name: &WaveName) -> Result<&Wave, Conflict> {
        self.waves.get(name).context(not_found(Kind::Wave, name.as_str()))
    }

    fn set_vm_phase(&mut self, context: &Context<'_>, name: &VmName, phase: vm::Phase) {
        if let Some(vm) = self.vms.get_mut(name) {
            vm.revision = context.offset;
            vm.status = phase;
        }
    }

    pub(super) fn apply_step(
        &mut self,
        context: &Context<'_>,
        name: &VmName,
        step: &Step,
    ) -> Result<(), Conflict> {
        let vm = self.find_vm(name)?;
        let next = match (step, &vm.status) {
            (Step::Drain { wave }, vm::Phase::Serving) => {
                self.check_drain(name, vm, wave)?;
                vm::Phase::Draining { wave: wave.clone() }
            }
            (Step::Undrain, vm::Phase::Draining { .. }) => vm::Phase::Serving,
            (Step::Reboot, vm::Phase::Draining { wave }) => {
                self.check_no_running_job(name)?;
                vm::Phase::Rebooting { wave: wave.clone() }
            }
            (Step::Return, vm::Phase::Rebooting { wave }) => {
                let wave = wave.clone();
                self.mark_serviced(context, &wave, name);
                vm::Phase::Serving
            }
            (_, phase) => return wrong_phase(name, phase),
        };
        self.set_vm_phase(context, name, next);
        Ok(())
    }

    fn check_drain(&self, name: &VmName, vm: &Vm, wave: &WaveName) -> Result<(), Conflict> {
        let status = &self.find_wave(wave)?.status;
        let running = status.phase == wave::Phase::Running;
        let is_pending = status.targets.contains(name) && !status.serviced.contains(name);
        ensure!(running && is_pending, NotInWaveSnafu { wave: wave.clone(), vm: name.clone() });
        let pool = &vm.spec.pool;
        let spec = &self.pools.get(pool).context(not_found(Kind::Pool, pool.as_str()))?.spec;
        budget::check_disruption(pool, spec, Usage::of(self, pool))
    }

    /// Checks that no job runs on the VM: a reboot would end it. A suspended job survives a reboot.
    fn check_no_running_job(&self, name: &VmName) -> Result<(), Conflict> {
        let mut jobs = self.jobs_on(name);
        let running = jobs.find(|(_, job)| matches!(job.status.phase, job::Phase::Running { .. }));
        match running {
            Some((job, _)) => JobRunningSnafu { vm: name.clone(), job: job.clone() }.fail(),
            None => Ok(()),
        }
    }

    fn mark_serviced(&mut self, context: &Context<'_>, wave: &WaveName, vm: &VmName) {
        if let Some(wave) = self.waves.get_mut(wave) {
            wave.revision = context.offset;
            wave.status.serviced.insert(vm.clone());
            wave.status.failed.remove(vm);
            wave.status.complete_if_finished();
        }
    }

    pub(super) fn record_failure(
        &mut self,
        context: &Context<'_>,
        name: &VmName,
        seen_at: Wall,
    ) -> Result<(), Conflict> {
        let vm = self.find_vm(name)?;
        if matches!(vm.status, vm::Phase::Failed { .. }) {
            return wrong_phase(name, &vm.status);
        }
        self.set_vm_phase(context, name, vm::Phase::Failed { seen_at });
        self.requeue_jobs(context, name);
        self.count_failure(context, name);
        Ok(())
    }

    fn requeue_jobs(&mut self, context: &Context<'_>, vm: &VmName) {
        let requeued: Vec<_> = self.jobs_on(vm).map(|(name, _)| name.clone()).collect();
        for name in requeued {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.revision = context.offset;
                job.status.phase = job::Phase::Pending;
            }
        }
    }

    fn count_failure(&mut self, context: &Context<'_>, vm: &VmName) {
        self.update_waves(|wave| {
            if wave.status.phase.is_terminal() || !wave.status.targets.contains(vm) {
                return;
            }
            wave.revision = context.offset;
            wave.status.failed.insert(vm.clone());
            let failed = u32::try_from(wave.status.failed.len()).unwrap_or(u32::MAX);
            let running = wave.status.phase == wave::Phase::Running;
            if running && failed >= wave.spec.pause_after_failures {
                let cause = wave::Cause::CorrelatedFailures;
                wave.status.phase = wave::Phase::Paused { cause };
            }
            wave.status.complete_if_finished();
        });
    }

    /// Calls `update` on every wave, in name order.
    pub(super) fn update_waves(&mut self, update: impl Fn(&mut Wave)) {
        let names: Vec<_> = self.waves.keys().cloned().collect();
        for name in names {
            if let Some(wave) = self.waves.get_mut(&name) {
                update(wave);
            }
        }
    }

    pub(super) fn record_recovery(
        &mut self,
        context: &Context<'_>,
        name: &VmName,
    ) -> Result<(), Conflict> {
        let vm = self.find_vm(name)?;
        if !matches!(vm.status, vm::Phase::Failed { .. }) {
            return wrong_phase(name, &vm.status);
        }
        self.set_vm_phase(context, name, vm::Phase::Serving);
        self.update_waves(|wave| {
            wave.status.failed.remove(name);
        });
        Ok(())
    }

    pub(super) fn set_wave_phase(
        &mut self,
        context: &Context<'_>,
        name: &WaveName,
        phase: &wave::Phase,
    ) -> Result<(), Conflict> {
        let finished = self.find_wave(name)?.status.phase.is_terminal();
        let allowed = !finished && *phase != wave::Phase::Done;
        ensure!(allowed, WaveFinishedSnafu { wave: name.clone() });
        if let Some(wave) = self.waves.get_mut(name) {
            wave.revision = context.offset;
            wave.status.phase = phase.clone();
            wave.status.complete_if_finished();
        }
        Ok(())
    }
}
