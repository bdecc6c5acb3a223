//! Vacates a draining VM: suspends the jobs that can be checkpointed and moves the others.
//!
//! A suspended job stays on its VM across the reboot, so it does not count as a move. A job that
//! must move goes to a VM that the wave has already serviced, where it stays for the rest of the
//! wave. Only if none of those has capacity does it go to a VM that the wave has yet to service.

use crosspath_state::name::{JobName, VmName, WaveName};
use crosspath_state::record::{Change, JobAction};
use crosspath_state::{State, job};

use crate::capacity::{self, Capacity};
use crate::place;
use crate::view::View;

/// Changes that vacate `vm` for `wave`. Jobs for which no VM has capacity are left out.
#[must_use]
pub fn vacate(
    view: &View<'_>,
    capacity: &mut Capacity<'_>,
    vm: &VmName,
    wave: &WaveName,
) -> Vec<Change> {
    let state = view.state;
    let Some(stored) = state.vms.get(vm) else { return Vec::new() };
    let running = view.jobs_on(vm).iter().filter(|(_, job)| is_running(&job.status));
    let mut running: Vec<_> = running.copied().collect();
    if running.is_empty() {
        return Vec::new();
    }
    let pool = &stored.spec.pool;
    running.sort_by_key(|(_, job)| std::cmp::Reverse((job.spec.cores, job.spec.memory_mb)));
    let mut changes = Vec::new();
    for (name, job) in running {
        if job.spec.checkpointable {
            changes.push(suspend(name));
            continue;
        }
        let Some(to) = destination(state, capacity.of(pool), wave, &job.spec) else {
            continue;
        };
        capacity.reserve(pool, &to, &job.spec);
        changes.push(place::place(name, to));
    }
    changes
}

/// Cores of the jobs on a VM that cannot be checkpointed and therefore must move before a reboot.
#[must_use]
pub fn non_checkpointable_cores(view: &View<'_>, vm: &VmName) -> u32 {
    let unmovable = view.jobs_on(vm).iter().filter(|(_, job)| !job.spec.checkpointable);
    unmovable.map(|(_, job)| job.spec.cores).sum()
}

/// Changes that resume the suspended jobs on VMs that accept work again.
#[must_use]
pub fn resume(state: &State) -> Vec<Change> {
    let resumable = state.jobs.iter().filter(|(_, job)| match &job.status.phase {
        job::Phase::Suspended { vm } => state.vms.get(vm).is_some_and(|vm| vm.status.takes_work()),
        job::Phase::Pending | job::Phase::Running { .. } => false,
    });
    let action = JobAction::Resume;
    resumable.map(|(job, _)| Change::Job { job: job.clone(), action: action.clone() }).collect()
}

fn is_running(status: &job::Status) -> bool {
    matches!(status.phase, job::Phase::Running { .. })
}

fn suspend(job: &JobName) -> Change {
    Change::Job { job: job.clone(), action: JobAction::Suspend }
}

/// The VM with the fewest free cores on which the job fits: a VM that is not due for service if
/// there is one, otherwise one that is.
fn destination(
    state: &State,
    capacity: &capacity::Pool,
    wave: &WaveName,
    job: &job::Spec,
) -> Option<VmName> {
    let wave = state.waves.get(wave).map(|wave| &wave.status);
    let due = |vm: &VmName| {
        wave.is_some_and(|wave| wave.targets.contains(vm) && !wave.serviced.contains(vm))
    };
    let fitting = capacity.iter().filter(|(_, free)| free.fits(job));
    fitting.min_by_key(|(vm, free)| (due(vm), free.cores)).map(|(vm, _)| vm.clone())
}
