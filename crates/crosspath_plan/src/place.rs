//! Placement of pending jobs on VMs.
//!
//! Urgent jobs are placed first, and large jobs before small ones. A job goes to the data centre
//! and rack that have the fewest jobs of its team and pool, so that these are spread. Among the VMs
//! there, it goes to the fullest one on which it fits, so that whole VMs stay free for large jobs.
//! Running jobs are never moved by this module.

use std::collections::BTreeMap;

use crosspath_state::name::{DataCentre, JobName, PoolName, Rack, TeamName, VmName};
use crosspath_state::record::{Change, JobAction};
use crosspath_state::{State, job};
use serde::Serialize;

use crate::capacity::{Capacity, Free};
use crate::view::View;

/// Reason why a job has no VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Obstacle {
    /// No VM of the pool is large enough, even empty.
    NeverFits {
        /// Resources of which no VM has enough.
        what: &'static str,
    },
    /// The team's quota is smaller than the job.
    NeverWithinQuota,
    /// The job fits on no VM of the pool at present.
    NoRoomNow,
    /// The job would exceed what is left of the team's quota.
    QuotaUsed,
}

/// Result of a placement round.
#[derive(Debug, Default)]
pub struct Placement {
    /// Changes that place jobs, for the log.
    pub changes: Vec<Change>,
    /// Jobs that stay pending, with the reason.
    pub obstacles: BTreeMap<JobName, Obstacle>,
}

/// Places every pending job that fits within the free capacity and its team's quota.
#[must_use]
pub fn pending(view: &View<'_>, capacity: &mut Capacity<'_>) -> Placement {
    let state = view.state;
    let mut placement = Placement::default();
    let waiting = state.jobs.iter().filter(|(_, job)| job.status.phase == job::Phase::Pending);
    let mut waiting: Vec<_> = waiting.map(|(name, job)| (name, &job.spec)).collect();
    if waiting.is_empty() {
        return placement;
    }
    waiting.sort_by_key(|(_, job)| (job.class, std::cmp::Reverse((job.cores, job.memory_mb))));
    let mut planner = Planner::new(view);
    for (name, spec) in waiting {
        match planner.place(capacity, spec) {
            Ok(vm) => placement.changes.push(place(name, vm)),
            Err(obstacle) => drop(placement.obstacles.insert(name.clone(), obstacle)),
        }
    }
    placement
}

/// Change that places a job on a VM.
#[must_use]
pub fn place(job: &JobName, vm: VmName) -> Change {
    Change::Job { job: job.clone(), action: JobAction::Place { vm } }
}

/// Reason why a job is pending; none when it is not pending or could be placed now.
#[must_use]
pub fn obstacle(state: &State, job: &JobName) -> Option<Obstacle> {
    let job = state.jobs.get(job).filter(|job| job.status.phase == job::Phase::Pending)?;
    let view = View::new(state);
    Planner::new(&view).place(&mut Capacity::new(&view), &job.spec).err()
}

type Domain<'a> = (&'a TeamName, &'a PoolName, &'a DataCentre, &'a Rack);
type Spread<'a> = BTreeMap<Domain<'a>, u32>;

struct Planner<'a> {
    view: &'a View<'a>,
    used_cores: BTreeMap<&'a TeamName, u32>,
    spread: Spread<'a>,
}

impl<'a> Planner<'a> {
    fn new(view: &'a View<'a>) -> Self {
        let state = view.state;
        let mut used_cores: BTreeMap<&TeamName, u32> = BTreeMap::new();
        let mut spread = Spread::new();
        for job in state.jobs.values() {
            let Some(vm) = job.status.phase.vm().and_then(|vm| state.vms.get(vm)) else {
                continue;
            };
            *used_cores.entry(&job.spec.team).or_default() += job.spec.cores;
            *spread.entry(domain(&job.spec, &vm.spec)).or_default() += 1;
        }
        Self { view, used_cores, spread }
    }

    fn place(
        &mut self,
        capacity: &mut Capacity<'_>,
        job: &'a job::Spec,
    ) -> Result<VmName, Obstacle> {
        self.check_feasible(job)?;
        let state = self.view.state;
        let quota = state.teams.get(&job.team).map_or(0, |team| team.spec.max_cores);
        let used = self.used_cores.entry(&job.team).or_default();
        if *used + job.cores > quota {
            return Err(Obstacle::QuotaUsed);
        }
        let spread = &self.spread;
        let cost = |vm: &VmName, free: &Free| {
            let spec = state.vms.get(vm).map(|vm| &vm.spec);
            let nearby = spec.and_then(|spec| spread.get(&domain(job, spec)));
            (nearby.copied().unwrap_or_default(), free.cores, free.memory_mb)
        };
        let fitting = capacity.of(&job.pool).iter().filter(|(_, free)| free.fits(job));
        let best = fitting.min_by_key(|(vm, free)| cost(vm, free));
        let vm = best.map(|(vm, _)| vm.clone()).ok_or(Obstacle::NoRoomNow)?;
        *used += job.cores;
        capacity.reserve(&job.pool, &vm, job);
        if let Some(spec) = state.vms.get(&vm).map(|vm| &vm.spec) {
            *self.spread.entry(domain(job, spec)).or_default() += 1;
        }
        Ok(vm)
    }

    /// Whether the job could run on an empty pool with an unused quota.
    fn check_feasible(&self, job: &job::Spec) -> Result<(), Obstacle> {
        let quota = self.view.state.teams.get(&job.team).map_or(0, |team| team.spec.max_cores);
        if job.cores > quota {
            return Err(Obstacle::NeverWithinQuota);
        }
        let vms = || self.view.vms_of(&job.pool).iter().map(|(_, vm)| &vm.spec);
        if vms().any(|vm| Free::total(vm).fits(job)) {
            return Ok(());
        }
        let what = match () {
            () if vms().all(|vm| vm.cores < job.cores) => "cores",
            () if vms().all(|vm| vm.memory_mb < job.memory_mb) => "memory",
            () if vms().all(|vm| vm.accelerators < job.accelerators) => "accelerators",
            () => "cores, memory and accelerators together",
        };
        Err(Obstacle::NeverFits { what })
    }
}

fn domain<'a>(job: &'a job::Spec, vm: &'a crosspath_state::vm::Spec) -> Domain<'a> {
    (&job.team, &job.pool, &vm.data_centre, &vm.rack)
}
