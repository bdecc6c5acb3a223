//! Declaration and deletion of resources.

use snafu::{OptionExt as _, ensure};

use super::Context;
use crate::budget::{self, Usage};
use crate::conflict::{
    Conflict, FixedSnafu, KindMismatchSnafu, MissingReferenceSnafu, NoRoomSnafu, NotFoundSnafu,
    StaleSnafu, StillUsedSnafu, WaveOverlapSnafu, WrongPhaseSnafu,
};
use crate::name::{
    CallerName, JobName, PoolName, ResourceName, ServiceName, TeamName, VmName, WaveName,
};
use crate::record::{Expected, Revision};
use crate::resource::{Id, Kind, Pool, Spec};
use crate::state::{State, Stored};
use crate::{job, vm, wave};

/// Name of the resource as the type of its kind; all kinds of names follow the same rules.
fn parse_name<N: std::str::FromStr>(id: &Id) -> Result<N, Conflict> {
    id.name.as_str().parse().ok().context(KindMismatchSnafu { id: id.clone() })
}

fn id(kind: Kind, name: &str) -> Id {
    Id::new(kind, ResourceName::new(name).expect("all kinds of names follow the same rules"))
}

impl State {
    pub(super) fn put(
        &mut self,
        context: &Context<'_>,
        id: &Id,
        spec: &Spec,
        expected: Option<Expected>,
    ) -> Result<(), Conflict> {
        ensure!(spec.kind() == id.kind, KindMismatchSnafu { id: id.clone() });
        self.check_expected(id, expected)?;
        self.check_references(id, spec)?;
        let revision = context.offset;
        match spec {
            Spec::Pool(spec) => self.put_pool(revision, parse_name(id)?, spec),
            Spec::Service(spec) => {
                let stored = Stored { revision, spec: spec.clone(), status: () };
                self.services.insert(parse_name::<ServiceName>(id)?, stored);
                Ok(())
            }
            Spec::Team(spec) => {
                let stored = Stored { revision, spec: spec.clone(), status: () };
                self.teams.insert(parse_name::<TeamName>(id)?, stored);
                Ok(())
            }
            Spec::Caller(spec) => {
                let stored = Stored { revision, spec: spec.clone(), status: () };
                self.callers.insert(parse_name::<CallerName>(id)?, stored);
                Ok(())
            }
            Spec::Vm(spec) => self.put_vm(revision, parse_name(id)?, spec),
            Spec::Job(spec) => self.put_job(revision, parse_name(id)?, spec, id),
            Spec::Wave(spec) => self.put_wave(revision, parse_name(id)?, spec, id),
        }
    }

    fn check_expected(&self, id: &Id, expected: Option<Expected>) -> Result<(), Conflict> {
        let current = self.revision(id);
        let matches = match expected {
            None => true,
            Some(Expected::Absent) => current.is_none(),
            Some(Expected::At(revision)) => current == Some(revision),
        };
        let current = current.unwrap_or_default();
        ensure!(matches, StaleSnafu { id: id.clone(), current });
        Ok(())
    }

    fn check_references(&self, from: &Id, spec: &Spec) -> Result<(), Conflict> {
        let references: Vec<Id> = match spec {
            Spec::Pool(_) | Spec::Team(_) | Spec::Caller(_) => Vec::new(),
            Spec::Service(spec) => vec![id(Kind::Pool, spec.pool.as_str())],
            Spec::Vm(spec) => vec![id(Kind::Pool, spec.pool.as_str())],
            Spec::Job(spec) => {
                vec![id(Kind::Pool, spec.pool.as_str()), id(Kind::Team, spec.team.as_str())]
            }
            Spec::Wave(spec) => {
                spec.pools.iter().map(|pool| id(Kind::Pool, pool.as_str())).collect()
            }
        };
        let missing = references.into_iter().find(|to| self.revision(to).is_none());
        match missing {
            Some(to) => MissingReferenceSnafu { id: from.clone(), to }.fail(),
            None => Ok(()),
        }
    }

    fn put_pool(
        &mut self,
        revision: Revision,
        name: PoolName,
        spec: &Pool,
    ) -> Result<(), Conflict> {
        budget::check_limit(&name, spec, Usage::of(self, &name))?;
        self.pools.insert(name, Stored { revision, spec: spec.clone(), status: () });
        Ok(())
    }

    fn put_vm(
        &mut self,
        revision: Revision,
        name: VmName,
        spec: &vm::Spec,
    ) -> Result<(), Conflict> {
        let before = self.vms.get(&name);
        if let Some(before) = before.filter(|before| before.spec.pool != spec.pool) {
            self.check_removal(&name, before)?;
            self.check_arrival(&before.status, &spec.pool)?;
        }
        self.check_capacity(&name, spec)?;
        let status = before.map(|before| before.status.clone()).unwrap_or_default();
        self.vms.insert(name, Stored { revision, spec: spec.clone(), status });
        Ok(())
    }

    /// Checks that a VM may leave its pool: it must be in no maintenance step and hold no job, and
    /// the pool must keep its minimum of serving VMs.
    fn check_removal(
        &self,
        name: &VmName,
        vm: &Stored<vm::Spec, vm::Phase>,
    ) -> Result<(), Conflict> {
        let phase = format!("{:?}", vm.status);
        ensure!(vm.status.wave().is_none(), WrongPhaseSnafu { vm: name.clone(), phase });
        if let Some((job, _)) = self.jobs_on(name).next() {
            let job = id(Kind::Job, job.as_str());
            return StillUsedSnafu { id: id(Kind::Vm, name.as_str()), by: job }.fail();
        }
        let pool = self.pools.get(&vm.spec.pool);
        match pool {
            Some(pool) if vm.status.takes_work() => {
                let usage = Usage::of(self, &vm.spec.pool);
                budget::check_removal(&vm.spec.pool, &pool.spec, usage)
            }
            _ => Ok(()),
        }
    }

    /// Checks the budget of the pool that a VM moves to: a failed VM counts against it.
    fn check_arrival(&self, phase: &vm::Phase, to: &PoolName) -> Result<(), Conflict> {
        let Some(pool) = self.pools.get(to) else { return Ok(()) };
        let usage = Usage::of(self, to).add(phase);
        budget::check_limit(to, &pool.spec, usage)
    }

    /// Checks that a changed VM still has enough resources for the jobs that it holds.
    fn check_capacity(&self, name: &VmName, spec: &vm::Spec) -> Result<(), Conflict> {
        let allocation = self.allocation_on(name);
        let shortage = allocation.shortage_on(spec);
        let job = self.jobs_on(name).next().map(|(job, _)| job.clone());
        match (shortage, job) {
            (Some(what), Some(job)) => NoRoomSnafu { vm: name.clone(), job, what }.fail(),
            _ => Ok(()),
        }
    }

    fn put_job(
        &mut self,
        revision: Revision,
        name: JobName,
        spec: &job::Spec,
        id: &Id,
    ) -> Result<(), Conflict> {
        let before = self.jobs.get(&name);
        let placed = before.filter(|job| job.status.phase.vm().is_some());
        if let Some(before) = placed.filter(|before| before.spec != *spec) {
            let field = changed_job_field(&before.spec, spec);
            return FixedSnafu { id: id.clone(), field }.fail();
        }
        let status = before.map(|before| before.status.clone()).unwrap_or_default();
        self.jobs.insert(name, Stored { revision, spec: spec.clone(), status });
        Ok(())
    }

    fn put_wave(
        &mut self,
        revision: Revision,
        name: WaveName,
        spec: &wave::Spec,
        id: &Id,
    ) -> Result<(), Conflict> {
        let before = self.waves.get(&name);
        let status = match before {
            Some(before) => {
                let same = before.spec.pools == spec.pools;
                ensure!(same, FixedSnafu { id: id.clone(), field: "pools" });
                before.status.clone()
            }
            None => {
                self.check_wave_overlap(spec)?;
                self.new_wave(revision, spec)
            }
        };
        self.waves.insert(name, Stored { revision, spec: spec.clone(), status });
        Ok(())
    }

    fn check_wave_overlap(&self, spec: &wave::Spec) -> Result<(), Conflict> {
        let unfinished = self.waves.iter().filter(|(_, wave)| !wave.status.phase.is_terminal());
        for (wave, other) in unfinished {
            let shared = spec.pools.iter().find(|pool| other.spec.pools.contains(pool));
            if let Some(pool) = shared {
                return WaveOverlapSnafu { pool: pool.clone(), wave: wave.clone() }.fail();
            }
        }
        Ok(())
    }

    fn new_wave(&self, declared_at: Revision, spec: &wave::Spec) -> wave::Status {
        let targets = self.vms.iter();
        let targets = targets.filter(|(_, vm)| spec.pools.contains(&vm.spec.pool));
        let targets: imbl::OrdSet<_> = targets.map(|(name, _)| name.clone()).collect();
        let mut status = wave::Status { targets, declared_at, ..wave::Status::default() };
        status.complete_if_finished();
        status
    }

    pub(super) fn delete(&mut self, id: &Id, expected: Option<Expected>) -> Result<(), Conflict> {
        self.check_expected(id, expected)?;
        ensure!(self.revision(id).is_some(), NotFoundSnafu { id: id.clone() });
        if let Some(by) = self.find_user_of(id) {
            return StillUsedSnafu { id: id.clone(), by }.fail();
        }
        match id.kind {
            Kind::Pool => drop(self.pools.remove(&parse_name::<PoolName>(id)?)),
            Kind::Service => drop(self.services.remove(&parse_name::<ServiceName>(id)?)),
            Kind::Team => drop(self.teams.remove(&parse_name::<TeamName>(id)?)),
            Kind::Caller => drop(self.callers.remove(&parse_name::<CallerName>(id)?)),
            Kind::Vm => self.delete_vm(&parse_name(id)?)?,
            Kind::Job => drop(self.jobs.remove(&parse_name::<JobName>(id)?)),
            Kind::Wave => drop(self.waves.remove(&parse_name::<WaveName>(id)?)),
        }
        Ok(())
    }

    fn delete_vm(&mut self, name: &VmName) -> Result<(), Conflict> {
        if let Some(vm) = self.vms.get(name) {
            self.check_removal(name, vm)?;
        }
        self.vms.remove(name);
        self.update_waves(|wave| {
            wave.status.targets.remove(name);
            wave.status.complete_if_finished();
        });
        Ok(())
    }

    fn find_user_of(&self, of: &Id) -> Option<Id> {
        match of.kind {
            Kind::Pool => self.find_user_of_pool(of.name.as_str()),
            Kind::Team => {
                let job = self.jobs.iter().find(|(_, j)| j.spec.team.as_str() == of.name.as_str());
                job.map(|(name, _)| id(Kind::Job, name.as_str()))
            }
            Kind::Wave => {
                let vm = self.vms.iter().find(|(_, vm)| {
                    vm.status.wave().is_some_and(|wave| wave.as_str() == of.name.as_str())
                });
                vm.map(|(name, _)| id(Kind::Vm, name.as_str()))
            }
            Kind::Service | Kind::Caller | Kind::Vm | Kind::Job => None,
        }
    }

    fn find_user_of_pool(&self, pool: &str) -> Option<Id> {
        let vm = self.vms.iter().find(|(_, vm)| vm.spec.pool.as_str() == pool);
        let service = self.services.iter().find(|(_, service)| service.spec.pool.as_str() == pool);
        let job = self.jobs.iter().find(|(_, job)| job.spec.pool.as_str() == pool);
        let vm = vm.map(|(name, _)| id(Kind::Vm, name.as_str()));
        let service = service.map(|(name, _)| id(Kind::Service, name.as_str()));
        let job = job.map(|(name, _)| id(Kind::Job, name.as_str()));
        vm.or(service).or(job)
    }
}

fn changed_job_field(before: &job::Spec, after: &job::Spec) -> &'static str {
    match () {
        () if before.pool != after.pool => "pool",
        () if before.team != after.team => "team",
        () if before.class != after.class => "class",
        () if before.cores != after.cores => "cores",
        () if before.memory_mb != after.memory_mb => "memory_mb",
        () if before.accelerators != after.accelerators => "accelerators",
        () => "checkpointable",
    }
}
