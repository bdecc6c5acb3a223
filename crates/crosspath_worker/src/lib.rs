//! Interface to the platform's workers: drain, reboot and jobs of a VM.
//!
//! Every order is idempotent, so that it can safely be repeated: drain and undrain set a state, a
//! reboot has an identifier and is carried out once for it, and a job order names the target state.

mod http;

use async_trait::async_trait;
use crosspath_state::name::{JobName, VmName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use crate::http::HttpWorker;

/// Failure of an order or of a request for a report.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The platform gave no usable answer; the order may have been carried out.
    #[snafu(display("no usable answer from the platform for VM {vm}"))]
    Unavailable {
        /// VM to which the call referred.
        vm: VmName,
    },
    /// The platform refused the order or request.
    #[snafu(display("platform refused the call for VM {vm}: {detail}"))]
    Refused {
        /// VM to which the call referred.
        vm: VmName,
        /// Body of the platform's response.
        detail: String,
    },
}

/// Identifier of one reboot, from the wave, the VM and the revision at which it began to drain.
pub type RebootId = String;

/// Status of a worker, as it reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the worker is up.
    pub up: bool,
    /// Whether the worker refuses new requests.
    pub drained: bool,
    /// Number of requests that the worker is running.
    pub in_flight: u32,
    /// Last reboot that was ordered; none if there was none.
    pub reboot: Option<RebootId>,
    /// Jobs that run or are suspended on the worker.
    pub jobs: Vec<JobReport>,
}

/// Status of a job, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Name of the job.
    pub job: JobName,
    /// Current state of the job on this worker.
    pub state: JobState,
    /// Processor use in thousandths of a core; the value lags.
    pub used_millicores: u32,
}

/// State of a job on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is running.
    Running,
    /// The job is checkpointed and stopped.
    Suspended,
    /// The worker does not have the job.
    Absent,
}

/// Calls to the workers of all VMs.
#[async_trait]
pub trait Worker: Send + Sync + std::fmt::Debug {
    /// Returns the status of a VM's worker.
    ///
    /// # Errors
    ///
    /// [`Error`] when the platform refuses or gives no usable answer.
    async fn report(&self, vm: &VmName) -> Result<Report, Error>;

    /// Makes a VM refuse new requests, or accept them again.
    ///
    /// # Errors
    ///
    /// [`Error`] when the platform refuses or gives no usable answer.
    async fn set_drained(&self, vm: &VmName, drained: bool) -> Result<(), Error>;

    /// Reboots a VM, once for each identifier.
    ///
    /// # Errors
    ///
    /// [`Error`] when the platform refuses or gives no usable answer.
    async fn reboot(&self, vm: &VmName, id: &RebootId) -> Result<(), Error>;

    /// Starts, suspends or removes a job on a VM so that it reaches `state`.
    ///
    /// # Errors
    ///
    /// [`Error`] when the platform refuses or gives no usable answer.
    async fn set_job(&self, vm: &VmName, job: &JobName, state: JobState) -> Result<(), Error>;
}
