//! Reasons for which a change in a log record is rejected.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::name::{DaemonName, JobName, PoolName, TeamName, VmName, WaveName};
use crate::record::Revision;
use crate::resource::Id;

/// Why a change was rejected; the state is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "reason", rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum Conflict {
    /// The resource is not at the expected revision: usually another writer changed it first.
    #[snafu(display("{id} has changed: it is at revision {current}; read it and decide anew"))]
    Stale {
        /// Resource that the change concerns.
        id: Id,
        /// Current revision of the resource; 0 if it does not exist.
        current: Revision,
    },
    /// The resource to be deleted, or one that the change acts on, does not exist.
    #[snafu(display("{id} does not exist"))]
    NotFound {
        /// Resource that the change concerns.
        id: Id,
    },
    /// The spec, or the name, does not fit the kind of resource that it was declared for.
    #[snafu(display("{id} was declared with the spec of another kind"))]
    KindMismatch {
        /// Resource that the change concerns.
        id: Id,
    },
    /// The spec refers to a resource that does not exist.
    #[snafu(display("{id} refers to {to}, which does not exist; declare that first"))]
    MissingReference {
        /// Resource that the change concerns.
        id: Id,
        /// The missing resource.
        to: Id,
    },
    /// Another resource still refers to this one.
    #[snafu(display("{id} is still used by {by}; change or delete that first"))]
    StillUsed {
        /// Resource that the change concerns.
        id: Id,
        /// A resource that refers to it.
        by: Id,
    },
    /// The change would exceed the pool's availability budget.
    #[snafu(display(
        "budget of pool {pool} is used up: {voluntary} taken out and {withheld} failed or kept \
         for failures, of {max_unavailable}"
    ))]
    BudgetExceeded {
        /// Name of the pool.
        pool: PoolName,
        /// VMs of the pool that may be unavailable at one time.
        max_unavailable: u32,
        /// VMs out for maintenance after the change.
        voluntary: u32,
        /// VMs failed, or reserved for failures if that is more.
        withheld: u32,
    },
    /// The change would leave too few VMs of the pool serving.
    #[snafu(display("pool {pool} would have {serving} VMs serving, fewer than {min_available}"))]
    BelowMinimum {
        /// Name of the pool.
        pool: PoolName,
        /// VMs that would serve after the change.
        serving: u32,
        /// VMs that must remain serving.
        min_available: u32,
    },
    /// The change is not allowed in the VM's current phase.
    #[snafu(display("VM {vm} is {phase}, where this step does not start"))]
    WrongPhase {
        /// Name of the VM.
        vm: VmName,
        /// Current phase of the VM, for humans.
        phase: String,
    },
    /// The wave is not running, or does not have this VM left to service.
    #[snafu(display("wave {wave} does not take out VM {vm} now"))]
    NotInWave {
        /// Name of the wave.
        wave: WaveName,
        /// Name of the VM.
        vm: VmName,
    },
    /// The wave has ended, or was set to a phase that cannot be set by request.
    #[snafu(display("wave {wave} is finished"))]
    WaveFinished {
        /// Name of the wave.
        wave: WaveName,
    },
    /// A pool is in another unfinished wave.
    #[snafu(display("pool {pool} is in wave {wave}, which is not finished"))]
    WaveOverlap {
        /// Name of the pool.
        pool: PoolName,
        /// The other, unfinished wave.
        wave: WaveName,
    },
    /// The spec changes a field that is fixed after the declaration.
    #[snafu(display("{id}: field {field} is fixed once declared; delete and declare it anew"))]
    Fixed {
        /// Resource that the change concerns.
        id: Id,
        /// Name of the field.
        field: String,
    },
    /// A job still runs on the VM; a reboot would end it.
    #[snafu(display("job {job} still runs on VM {vm}"))]
    JobRunning {
        /// Name of the VM.
        vm: VmName,
        /// Name of the job.
        job: JobName,
    },
    /// The VM has too few free resources for the job.
    #[snafu(display("VM {vm} has too few free {what} for job {job}"))]
    NoRoom {
        /// Name of the VM.
        vm: VmName,
        /// Name of the job.
        job: JobName,
        /// The resource that is short: cores, memory or accelerators.
        what: String,
    },
    /// The VM is not in the job's pool.
    #[snafu(display("VM {vm} is not in the pool of job {job}"))]
    OtherPool {
        /// Name of the VM.
        vm: VmName,
        /// Name of the job.
        job: JobName,
    },
    /// The action is not allowed in the job's current phase.
    #[snafu(display("job {job} is not where this action starts"))]
    JobPhase {
        /// Name of the job.
        job: JobName,
    },
    /// The action would exceed the team's quota.
    #[snafu(display("team {team} would use {cores} cores, more than {max_cores}"))]
    QuotaExceeded {
        /// Name of the team.
        team: TeamName,
        /// Cores that the team would use after the action.
        cores: u32,
        /// Cores that the team may use.
        max_cores: u32,
    },
    /// The daemon is not a member, or not in this incarnation.
    #[snafu(display("daemon {daemon} is not a member in this life"))]
    NotMember {
        /// Name of the daemon.
        daemon: DaemonName,
    },
    /// The writer is not the guard of the member.
    #[snafu(display("daemon {daemon} is not the guard of {member}"))]
    NotGuard {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Name of the member to be evicted.
        member: DaemonName,
    },
    /// The writer does not own the partition.
    #[snafu(display("daemon {daemon} does not own partition {partition}"))]
    NotOwner {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Index of the partition.
        partition: u16,
    },
}
