//! Workers: their entries in the worker list, and the protocol by which tasks run on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_job::TaskId;
use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Entry of the worker list, which the worker writes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of the worker, issued for the current incarnation of its VM.
    pub id: Arc<str>,
    /// Pool that the worker serves.
    pub pool: Arc<str>,
    /// Name of the VM on which the worker runs.
    pub vm: Arc<str>,
    /// Data centre of the VM. Nothing is placed on the worker while that is evacuated.
    pub data_centre: Arc<str>,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
    /// Whether the worker will shut down soon and accepts no further tasks.
    pub draining: bool,
    /// Minimum time until shutdown while draining, in ms.
    pub remaining_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker, such as its kind and rack.
    pub labels: Vec<Arc<str>>,
    /// The worker's clock when the entry was written, in ms.
    pub clock_ms: u64,
    /// Start of the worker's incarnation in ms since 1970; 0 if it is not reported. A later
    /// incarnation may have the same identifier.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Remaining time for which the worker is slow after its start, in ms, when the entry was
    /// written; 0 if it works at full speed or does not say.
    #[serde(default)]
    pub warm_up_ms: u64,
}

/// Difference up to which the ends of the warm-up in two entries of a worker are the same: a worker
/// reads its clock and the remaining time at slightly different moments.
const WARM_UP_END_TOLERANCE_MS: u64 = 500;

impl Entry {
    /// Whether both entries are equal apart from the time at which they were written. The remaining
    /// time of the warm-up is compared by its end.
    #[must_use]
    pub fn eq_ignoring_clock(&self, other: &Self) -> bool {
        let (clock_ms, warm_up_ms) = (other.clock_ms, other.warm_up_ms);
        self.has_same_warm_up(other) && Self { clock_ms, warm_up_ms, ..self.clone() } == *other
    }

    /// End of the warm-up on the worker's clock in ms; `None` if the worker is warm.
    #[must_use]
    pub fn warm_up_end_ms(&self) -> Option<u64> {
        (self.warm_up_ms > 0).then(|| self.clock_ms.saturating_add(self.warm_up_ms))
    }

    fn has_same_warm_up(&self, other: &Self) -> bool {
        match (self.warm_up_end_ms(), other.warm_up_end_ms()) {
            (None, None) => true,
            // Without a clock the end is not known; that the worker is cold has not changed.
            (Some(_), Some(_)) if self.clock_ms == 0 || other.clock_ms == 0 => true,
            (Some(end), Some(other)) => end.abs_diff(other) <= WARM_UP_END_TOLERANCE_MS,
            _ => false,
        }
    }
}

/// Address and incarnation of the worker that a request is meant for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Address at which the worker accepts requests, as [`Entry::address`].
    pub address: SocketAddr,
    /// Identifier of the worker.
    pub id: Arc<str>,
    /// Start of the incarnation, as [`Entry::started_ms`].
    pub started_ms: u64,
    /// Data centre of the worker's VM, as [`Entry::data_centre`].
    pub data_centre: Arc<str>,
}

/// Request to start a run of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; later runs of a task have higher numbers.
    pub run: u64,
    /// Text of the job, passed to the task unchanged.
    pub text: Arc<str>,
    /// Lease deadline on the worker's clock in ms, until which everything on the worker may run.
    pub deadline_ms: u64,
    /// Fencing token of the shard owner.
    pub token: u64,
    /// Checkpoint to resume from; `None` starts from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the advice service; `None` if the queue requires none.
    pub ticket: Option<Arc<str>>,
}

/// Answer of a worker to a [`Start`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// The worker accepted the start of the run.
    Yes,
    /// A shard owner with a higher fencing token has already sent requests.
    Fenced,
    /// This run or a later one has already been stopped or has ended on the worker.
    Old,
    /// The lease deadline in the request has passed.
    Late,
    /// The worker lacks the resources.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy; the start had no effect.
    Unhealthy,
    /// The worker could not interpret the request.
    Malformed,
}

/// Run that is in progress, as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run, as in [`Start::run`].
    pub run: u64,
    /// Newest checkpoint of the run; `None` if it has saved none.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent. For a long-running task, 100 means that it is ready to serve.
    pub percent: u32,
    /// Measured over the last half second: tail latency in ms for tasks with a tail latency target,
    /// and processor use in thousandths of a core for all others.
    pub gauge: u64,
}

/// Outcome of a run, as reported by its worker. The names of the variants appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run ended successfully.
    Done,
    /// The task ended by itself without success.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not arrive in time.
    Alone,
}

/// Run that has ended, as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number of this report within the worker's incarnation, counted from 1.
    pub number: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run, as in [`Start::run`].
    pub run: u64,
    /// Success, or the reason why the run ended without it.
    pub outcome: Outcome,
    /// Newest checkpoint of the run; `None` if it saved none.
    pub checkpoint: Option<Arc<str>>,
}

/// Request for a worker's runs, which can also extend their leases.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Poll {
    /// Fencing token of the shard owner.
    pub token: u64,
    /// Ended runs up to this sequence number are stored durably, and the worker may forget them.
    /// Applies to the targeted incarnation only; no other incarnation is sent it.
    pub acknowledged: u64,
    /// New lease deadline on the worker's clock in ms, until which everything on the worker may
    /// run; `None` leaves the leases unchanged.
    pub deadline_ms: Option<u64>,
    /// How long the worker waits for a run to end before it answers.
    pub wait: Duration,
}

/// Answer of a worker to a [`Poll`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PollReply {
    /// The worker's clock, in ms.
    pub clock_ms: u64,
    /// Start of the incarnation that answers, as [`Entry::started_ms`].
    pub started_ms: u64,
    /// All runs in progress on the worker.
    pub running: Vec<Running>,
    /// Ended runs that are not acknowledged yet, or the first of them.
    pub ended: Vec<Ended>,
    /// Whether there may be further ended runs that are not acknowledged yet. A run that is neither
    /// in `running` nor in `ended` may then be among them.
    #[serde(default)]
    pub has_more_ended: bool,
}

/// Answer of a worker, with a reading of its clock.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Timestamped<T> {
    /// Answer without the clock reading.
    pub value: T,
    /// The worker's clock when it answered, in ms; `None` if the answer does not include it.
    pub clock_ms: Option<u64>,
}

/// Failed request to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Error {
    /// The worker could not be reached; the request had no effect.
    #[snafu(display("worker could not be reached"))]
    NotReached,
    /// No answer came. The request may have taken effect or may still do so.
    #[snafu(display("worker did not answer"))]
    NoAnswer,
    /// Another incarnation answers at the address.
    #[snafu(display("another worker incarnation answers at the address"))]
    OtherLife,
    /// A shard owner with a higher fencing token has already sent requests.
    #[snafu(display("fenced off by a shard owner with a higher token"))]
    Fenced,
    /// The worker rejected the request for the moment, for instance because it is unhealthy; it had
    /// no effect.
    #[snafu(display("worker rejected the request with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Client for requests of shard owners to workers.
#[async_trait]
pub trait Runner: Send + Sync + std::fmt::Debug {
    /// Starts a run of a task. Refusals that [`Started`] names are answers, not errors.
    ///
    /// # Errors
    ///
    /// [`Error`] if the worker gives no usable answer.
    async fn start(&self, target: &Target, start: &Start) -> Result<Timestamped<Started>, Error>;

    /// Stops a run. A run that has not reached the worker yet is never started there.
    ///
    /// # Errors
    ///
    /// [`Error`] if the worker gives no usable answer or rejects the request.
    async fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        token: u64,
    ) -> Result<Timestamped<()>, Error>;

    /// Retrieves the running and ended tasks, and extends the leases if the poll has a deadline.
    ///
    /// # Errors
    ///
    /// [`Error`] if the worker gives no usable answer or rejects the request.
    async fn poll(&self, target: &Target, poll: &Poll) -> Result<PollReply, Error>;

    /// Limits a run to `percent` of its full speed.
    ///
    /// # Errors
    ///
    /// [`Error`] if the worker gives no usable answer or rejects the request.
    async fn throttle(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        percent: u32,
        token: u64,
    ) -> Result<Timestamped<()>, Error>;

    /// Drops the connections to a worker that no longer exists.
    fn forget(&self, target: &Target);
}
