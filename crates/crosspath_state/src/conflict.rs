//! Why the fold rejects a change.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::name::{DaemonName, JobName, PoolName, TeamName, VmName, WaveName};
use crate::record::Revision;
use crate::resource::Id;

/// Why a change was rejected; the state is as it was.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "reason", rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum Conflict {
    /// Someone else changed the resource first.
    #[snafu(display("{id} has changed: it is at revision {current}; read it and decide anew"))]
    Stale {
        /// Which resource.
        id: Id,
        /// Where it is; 0 when it does not exist.
        current: Revision,
    },
    /// The resource does not exist.
    #[snafu(display("{id} does not exist"))]
    NotFound {
        /// Which resource.
        id: Id,
    },
    /// A spec does not fit the kind or name it was declared under.
    #[snafu(display("{id} was declared with the spec of another kind"))]
    KindMismatch {
        /// Which resource.
        id: Id,
    },
    /// The spec names something that does not exist.
    #[snafu(display("{id} refers to {to}, which does not exist; declare that first"))]
    MissingReference {
        /// Which resource.
        id: Id,
        /// What it refers to.
        to: Id,
    },
    /// Something still refers to the resource.
    #[snafu(display("{id} is still used by {by}; change or delete that first"))]
    StillUsed {
        /// Which resource.
        id: Id,
        /// A resource that uses it.
        by: Id,
    },
    /// The pool's availability budget leaves no room for the step.
    #[snafu(display(
        "budget of pool {pool} is used up: {voluntary} taken out and {withheld} failed or kept \
         for failures, of {max_unavailable}"
    ))]
    BudgetExceeded {
        /// Which pool.
        pool: PoolName,
        /// Its budget.
        max_unavailable: u32,
        /// VMs taken out, this step included.
        voluntary: u32,
        /// VMs failed, or kept free for failures if that is more.
        withheld: u32,
    },
    /// The step would leave too few VMs serving.
    #[snafu(display("pool {pool} would have {serving} VMs serving, fewer than {min_available}"))]
    BelowMinimum {
        /// Which pool.
        pool: PoolName,
        /// VMs serving after the step.
        serving: u32,
        /// VMs that must serve.
        min_available: u32,
    },
    /// The VM is not where the step starts.
    #[snafu(display("VM {vm} is {phase}, where this step does not start"))]
    WrongPhase {
        /// Which VM.
        vm: VmName,
        /// Where it is.
        phase: String,
    },
    /// The wave does not start VMs now, or not this one.
    #[snafu(display("wave {wave} does not take out VM {vm} now"))]
    NotInWave {
        /// Which wave.
        wave: WaveName,
        /// Which VM.
        vm: VmName,
    },
    /// The wave cannot go there from where it is.
    #[snafu(display("wave {wave} is finished"))]
    WaveFinished {
        /// Which wave.
        wave: WaveName,
    },
    /// A pool is in another unfinished wave.
    #[snafu(display("pool {pool} is in wave {wave}, which is not finished"))]
    WaveOverlap {
        /// Which pool.
        pool: PoolName,
        /// The other wave.
        wave: WaveName,
    },
    /// What the spec changes is fixed once declared.
    #[snafu(display("{id}: field {field} is fixed once declared; delete and declare it anew"))]
    Fixed {
        /// Which resource.
        id: Id,
        /// Which field.
        field: String,
    },
    /// A job still runs where the reboot would end it.
    #[snafu(display("job {job} still runs on VM {vm}"))]
    JobRunning {
        /// Which VM.
        vm: VmName,
        /// Which job.
        job: JobName,
    },
    /// The VM has no room for the job.
    #[snafu(display("VM {vm} has too few free {what} for job {job}"))]
    NoRoom {
        /// Which VM.
        vm: VmName,
        /// Which job.
        job: JobName,
        /// Cores, memory or accelerators.
        what: String,
    },
    /// The VM is not in the job's pool.
    #[snafu(display("VM {vm} is not in the pool of job {job}"))]
    OtherPool {
        /// Which VM.
        vm: VmName,
        /// Which job.
        job: JobName,
    },
    /// The job is not where the action starts.
    #[snafu(display("job {job} is not where this action starts"))]
    JobPhase {
        /// Which job.
        job: JobName,
    },
    /// The team has used up its quota.
    #[snafu(display("team {team} would use {cores} cores, more than {max_cores}"))]
    QuotaExceeded {
        /// Which team.
        team: TeamName,
        /// Cores after the action.
        cores: u32,
        /// Its quota.
        max_cores: u32,
    },
    /// The writer is not a member, or no longer in this life.
    #[snafu(display("daemon {daemon} is not a member in this life"))]
    NotMember {
        /// Which daemon.
        daemon: DaemonName,
    },
    /// The writer is not the guard of the member.
    #[snafu(display("daemon {daemon} is not the guard of {member}"))]
    NotGuard {
        /// Which daemon.
        daemon: DaemonName,
        /// Which member.
        member: DaemonName,
    },
    /// The writer does not own the partition.
    #[snafu(display("daemon {daemon} does not own partition {partition}"))]
    NotOwner {
        /// Which daemon.
        daemon: DaemonName,
        /// Which partition.
        partition: u16,
    },
}
