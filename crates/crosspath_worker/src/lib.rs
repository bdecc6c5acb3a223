//! The platform's workers and pools: drain, reboot, and the jobs on a VM.
//!
//! Every order carries what makes it safe to give again: a drain and an undrain set a state, a
//! reboot names a ticket and is done once for it, a job order names the state that it wants.

mod http;

use async_trait::async_trait;
use crosspath_state::name::{JobName, VmName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use crate::http::HttpWorker;

/// An order or question that was not answered.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No answer; the order may have been carried out.
    #[snafu(display("the platform gives no answer on VM {vm}"))]
    Unavailable {
        /// Which VM.
        vm: VmName,
    },
    /// The platform refuses.
    #[snafu(display("the platform refuses on VM {vm}: {detail}"))]
    Refused {
        /// Which VM.
        vm: VmName,
        /// What it says.
        detail: String,
    },
}

/// Marks one reboot: wave, VM and the revision at which it began to drain.
pub type RebootId = String;

/// What a worker says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it is up.
    pub up: bool,
    /// Whether it refuses new requests.
    pub drained: bool,
    /// Requests it runs.
    pub in_flight: u32,
    /// The last reboot that was ordered.
    pub reboot: Option<RebootId>,
    /// Jobs it holds.
    pub jobs: Vec<JobReport>,
}

/// What a worker says of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Which job.
    pub job: JobName,
    /// What it does.
    pub state: JobState,
    /// Cores it uses, in thousandths; lags.
    pub used_millicores: u32,
}

/// What a job on a worker does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Runs.
    Running,
    /// Is checkpointed.
    Suspended,
    /// Is not there.
    Absent,
}

/// The platform's side of the VMs.
#[async_trait]
pub trait Worker: Send + Sync + std::fmt::Debug {
    /// What a VM says of itself.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn report(&self, vm: &VmName) -> Result<Report, Error>;

    /// Makes a VM refuse new requests, or take them again.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn set_drained(&self, vm: &VmName, drained: bool) -> Result<(), Error>;

    /// Reboots a VM, once for each ticket.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn reboot(&self, vm: &VmName, id: &RebootId) -> Result<(), Error>;

    /// Brings a job on a VM into a state.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn set_job(&self, vm: &VmName, job: &JobName, state: JobState) -> Result<(), Error>;
}
